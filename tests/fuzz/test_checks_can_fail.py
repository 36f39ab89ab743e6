"""Tests that the check of each guarantee fails when the product breaks it.

Each script runs twice: on the unchanged product, where the check must pass, and with
one function of the product replaced, where the same check must fail.
"""

import asyncio

import pytest

from fuzz import oracle, session
from quetzalpass.backends import base, engine_stream
from quetzalpass.control import ledger
from quetzalpass.lifecycle import attempts, gateway, requests
from quetzalpass.membership import configuration, propagation, server_views
from quetzalpass.results import codes
from quetzalpass.routing import servers

STREAM = requests.Delivery.STREAM
LEAVING = ("vm-engine-0",)


@pytest.fixture
def open_session():
    opened = []

    def create_session():
        opened.append(session.Session(seed=1))
        return opened[-1]

    yield create_session
    for each in opened:
        each.close()


def check_events_unchecked(self, events):
    """Accept events with any id and offset."""
    first, texts, reason = self.next_offset, [], None
    for data in events:
        if data == engine_stream.END_MARK:
            return base.TokenBatch(first, texts, reason, ended=True)
        event = engine_stream.EVENT_DECODER.decode(data)
        texts.append(event.choices[0].text)
        reason = event.choices[0].finish_reason
        self.next_offset += 1
    return base.TokenBatch(first, texts, reason)


def stream_with_fault(fault):
    async def script(active_session):
        for engine in active_session.cluster.engines:
            engine.fault = fault
        sent = active_session.send_generation(0, "draft=30", STREAM)
        await sent.task

    return script


async def lose_response(active_session):
    for service in active_session.cluster.services:
        service.fault = "lose"
    await active_session.send_call(0, "key", b"invoice").task


async def resend_elsewhere(active_session):
    for number in (0, 1):
        await active_session.send_call(number, "key", b"invoice").task


async def send_after_drain(active_session):
    await active_session.apply_once(
        active_session.create_apply(active_session.newest_revision(), LEAVING),
        active_session.gateway(0),
    )
    await asyncio.sleep(oracle.MAX_PROPAGATION_S + 1.0)
    sent = [
        active_session.send_generation(0, f"draft-{n}=20", STREAM) for n in range(6)
    ]
    await asyncio.gather(*[each.task for each in sent])


async def shut_down(active_session):
    sent = active_session.send_generation(0, "draft=100", STREAM)
    await asyncio.sleep(0.5)
    active_session.drain_gateway(sent.gateway)
    await asyncio.wait([sent.task])


async def apply_and_wait(active_session):
    # Polls that started before the function was replaced have ended after this time.
    await asyncio.sleep(propagation.LONG_POLL_S + propagation.REPLY_TIMEOUT_S)
    await active_session.apply_once(
        active_session.create_apply(active_session.newest_revision(), LEAVING),
        active_session.gateway(0),
    )
    await asyncio.sleep(oracle.MAX_PROPAGATION_S + 1.0)


async def activate_old_revision(active_session):
    holder = active_session.gateway(0).holder
    first = holder.current
    await active_session.apply_once(
        active_session.create_apply(active_session.newest_revision(), LEAVING),
        active_session.gateway(0),
    )
    await active_session.wait_in_force(first.revision + 1)
    holder.activate(first.revision, first.digest, first.data)


async def drain_without_waiting(self):
    self.draining = True


async def pull_no_revision(self, client, wait_s, timeout_s):
    await asyncio.sleep(wait_s + 0.1)
    return True


def activate_always(self, revision, digest, data):
    self.current = configuration.Configuration(revision, digest, data)
    for observer in self.observers:
        observer(self.current)
    self.wake_waiters()
    return True


def grant_always(self, stamp, command):
    return self.grant(stamp, command, ())


def always_not_run(failure):
    return codes.Execution.NOT_RUN


def always_active(*rest):
    return servers.ServerState.ACTIVE


TOKENS = "check_tokens_once_in_order_of_one_generation"
IN_FORCE = "check_accepted_configuration_in_force"
STREAM_CHECK = (engine_stream.HttpTokenStream, "check_events", check_events_unchecked)
CASES = {
    "tokens_repeat": (TOKENS, stream_with_fault("repeat"), *STREAM_CHECK),
    "tokens_skip": (TOKENS, stream_with_fault("skip"), *STREAM_CHECK),
    "outputs_are_mixed_up": (
        "check_complete_response_to_own_request",
        stream_with_fault("cross"),
        *STREAM_CHECK,
    ),
    "lost_call_is_reported_as_not_run": (
        "check_not_run_requests_never_ran",
        lose_response,
        attempts,
        "execution_of",
        always_not_run,
    ),
    "claim_is_granted_twice": (
        "check_non_idempotent_at_most_once",
        resend_elsewhere,
        ledger.LedgerState,
        "claim",
        grant_always,
    ),
    "leaving_server_stays_active": (
        "check_leaving_server_gets_no_new_work",
        send_after_drain,
        server_views,
        "routing_state",
        always_active,
    ),
    "shutdown_does_not_wait_for_requests": (
        "check_shutdown_interrupts_no_request",
        shut_down,
        gateway.Gateway,
        "drain",
        drain_without_waiting,
    ),
    "revision_is_not_propagated": (
        IN_FORCE,
        apply_and_wait,
        propagation.Propagation,
        "pull",
        pull_no_revision,
    ),
    "revision_reverts": (
        IN_FORCE,
        activate_old_revision,
        configuration.ConfigurationHolder,
        "activate",
        activate_always,
    ),
}


class TestChecks:
    @pytest.mark.parametrize("case", CASES)
    def test_check_passes_for_the_product(self, open_session, case):
        guarantee, script, *_ = CASES[case]
        active_session = open_session()
        active_session.run(script(active_session))
        active_session.run(self.check(active_session, guarantee))

    @pytest.mark.parametrize("case", CASES)
    def test_check_fails_for_a_broken_product(self, open_session, monkeypatch, case):
        guarantee, script, owner, name, mutation = CASES[case]
        active_session = open_session()
        monkeypatch.setattr(owner, name, mutation)
        active_session.run(script(active_session))
        with pytest.raises(AssertionError):
            active_session.run(self.check(active_session, guarantee))

    def test_every_guarantee_has_a_mutation(self, open_session):
        guarantees = {
            each.__name__ for each in open_session().oracle.guarantee_checks()
        }
        assert guarantees == {guarantee for guarantee, *_ in CASES.values()}

    async def check(self, active_session, guarantee):
        getattr(active_session.oracle, guarantee)()
