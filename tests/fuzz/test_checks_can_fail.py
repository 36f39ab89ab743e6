"""Each promise's check is caught failing when the product breaks the promise.

A script runs a world twice: as it is, where the check holds, and with one function of
the product replaced, where the same check must fail.
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

    def start():
        opened.append(session.Session(seed=1))
        return opened[-1]

    yield start
    for each in opened:
        each.close()


def check_events_unchecked(self, events):
    """Accept whatever ids and offsets come."""
    first, texts, reason = self.next_offset, [], None
    for data in events:
        if data == engine_stream.END_MARK:
            return base.TokenBatch(first, texts, reason, ended=True)
        event = engine_stream.EVENT_DECODER.decode(data)
        texts.append(event.choices[0].text)
        reason = event.choices[0].finish_reason
        self.next_offset += 1
    return base.TokenBatch(first, texts, reason)


def stream_with(fault):
    async def script(run):
        for engine in run.world.engines:
            engine.fault = fault
        sent = run.send_generation(0, "draft=30", STREAM)
        await sent.task

    return script


async def lose_answer(run):
    for service in run.world.services:
        service.fault = "lose"
    await run.send_call(0, "key", b"invoice").task


async def resend_elsewhere(run):
    for number in (0, 1):
        await run.send_call(number, "key", b"invoice").task


async def send_after_drain(run):
    await run.apply_once(run.new_apply(run.newest(), LEAVING), run.gateway(0))
    await asyncio.sleep(oracle.IN_FORCE_BOUND_S + 1.0)
    sent = [run.send_generation(0, f"draft-{n}=20", STREAM) for n in range(6)]
    await asyncio.gather(*[each.task for each in sent])


async def shut_down(run):
    sent = run.send_generation(0, "draft=100", STREAM)
    await asyncio.sleep(0.5)
    run.drain_gateway(sent.gateway)
    await asyncio.wait([sent.task])


async def apply_and_wait(run):
    # Questions that were under way before the replacement have ended by then.
    await asyncio.sleep(propagation.LONG_POLL_S + propagation.REPLY_TIMEOUT_S)
    await run.apply_once(run.new_apply(run.newest(), LEAVING), run.gateway(0))
    await asyncio.sleep(oracle.IN_FORCE_BOUND_S + 1.0)


async def offer_old_revision(run):
    holder = run.gateway(0).holder
    first = holder.current
    await run.apply_once(run.new_apply(run.newest(), LEAVING), run.gateway(0))
    await run.wait_in_force(first.revision + 1)
    holder.activate(first.revision, first.digest, first.data)


async def drain_nothing(self):
    self.draining = True


async def pull_nothing(self, client, wait_s, timeout_s):
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


def never_ran(failure):
    return codes.Execution.NOT_RUN


def always_active(*rest):
    return servers.ServerState.ACTIVE


TOKENS = "check_tokens_once_in_order_of_one_generation"
IN_FORCE = "check_accepted_configuration_in_force"
STREAM_CHECK = (engine_stream.HttpTokenStream, "check_events", check_events_unchecked)
CASES = {
    "tokens_repeat": (TOKENS, stream_with("repeat"), *STREAM_CHECK),
    "tokens_skip": (TOKENS, stream_with("skip"), *STREAM_CHECK),
    "answers_cross": (
        "check_whole_answer_to_own_request",
        stream_with("cross"),
        *STREAM_CHECK,
    ),
    "lost_call_is_called_not_run": (
        "check_not_run_did_not_run",
        lose_answer,
        attempts,
        "execution_of",
        never_ran,
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
    "shutdown_does_not_wait": (
        "check_shutdown_cuts_no_request",
        shut_down,
        gateway.Gateway,
        "drain",
        drain_nothing,
    ),
    "revision_does_not_spread": (
        IN_FORCE,
        apply_and_wait,
        propagation.Propagation,
        "pull",
        pull_nothing,
    ),
    "revision_reverts": (
        IN_FORCE,
        offer_old_revision,
        configuration.ConfigurationHolder,
        "activate",
        activate_always,
    ),
}


class TestChecks:
    @pytest.mark.parametrize("case", CASES)
    def test_holds_for_the_product(self, open_session, case):
        promise, script, *_ = CASES[case]
        run = open_session()
        run.run(script(run))
        run.run(self.check(run, promise))

    @pytest.mark.parametrize("case", CASES)
    def test_fails_for_a_broken_product(self, open_session, monkeypatch, case):
        promise, script, owner, name, mutation = CASES[case]
        run = open_session()
        monkeypatch.setattr(owner, name, mutation)
        run.run(script(run))
        with pytest.raises(AssertionError):
            run.run(self.check(run, promise))

    def test_every_promise_has_a_mutation(self, open_session):
        promises = {each.__name__ for each in open_session().oracle.promises()}
        assert promises == {promise for promise, *_ in CASES.values()}

    async def check(self, run, promise):
        getattr(run.oracle, promise)()
