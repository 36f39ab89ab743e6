import asyncio

import pytest
from returns import result

from quetzalpass import ids
from quetzalpass.bench import local_cluster
from quetzalpass.control import proposers
from quetzalpass.declarations import schema as declared
from quetzalpass.results import codes, failures
from quetzalpass.standin import faults

from .callers import ReceivedResponse

pytestmark = pytest.mark.looptime
KIND = faults.FaultKind
NO_QUORUM = result.Failure(failures.Failure(codes.Code.NO_QUORUM, "no majority"))


class FaultyProposer(proposers.Proposer):
    """Proposes to a ledger group that loses its quorum before or after the commit."""

    def __init__(self, inner):
        self.inner = inner
        self.fail_before = 0
        self.fail_after = 0
        self.proposals = 0
        self.delay_s = 0.0

    async def propose(self, session, operation, command):
        self.proposals += 1
        await asyncio.sleep(self.delay_s)
        if self.fail_before:
            self.fail_before -= 1
            return NO_QUORUM
        reply = await self.inner.propose(session, operation, command)
        if self.fail_after:
            self.fail_after -= 1
            return NO_QUORUM
        return reply


@pytest.fixture
def open_caller(open_cluster):
    # The test opens it, because its virtual clock starts at zero only there.
    async def start():
        caller = await open_cluster(engines=1, services=1, gateways_count=2)
        caller.proposer = FaultyProposer(caller.cluster.ledger_proposers[0])
        caller.cluster.ledger_proposers[:] = [caller.proposer]
        for gateway in caller.cluster.gateways:
            gateway.gateway.ledger.close()
            gateway.gateway.ledger = caller.cluster.open_ledger(gateway.gateway)
        return caller

    return start


def run_count(caller, key="k"):
    return caller.cluster.services[0].runs.get(key, 0)


class TestCalls:
    async def test_resend_at_another_gateway_gets_the_recorded_response(
        self, open_caller
    ):
        caller = await open_caller()
        first = await caller.call(Idempotency_Key="k")
        resend = await caller.call(gateway=1, Idempotency_Key="k")
        assert (first.code, resend.code) == ("0", "1")
        assert first.body == resend.body and run_count(caller) == 1

    async def test_concurrent_resends_wait_for_the_first_send(self, open_caller):
        caller = await open_caller()
        calls = [caller.call(gateway=n % 2, Idempotency_Key="k") for n in range(8)]
        responses = await asyncio.gather(*calls)
        assert sorted(each.code for each in responses) == ["0"] + ["1"] * 7
        assert run_count(caller) == 1

    async def test_wait_for_the_first_send_is_bounded(self, open_caller):
        caller = await open_caller()
        caller.cluster.services[0].add_fault(KIND.HANG)
        first = asyncio.create_task(caller.call(Idempotency_Key="k"))
        await asyncio.sleep(0.1)
        second = await caller.call(gateway=1, Idempotency_Key="k")
        assert second.error_name == "claim_in_progress"
        assert second.error["retry_after_ms"] == 1000
        first.cancel()

    async def test_other_body_with_the_same_key_is_an_error(self, open_caller):
        caller = await open_caller()
        await caller.call(Idempotency_Key="k", body="one")
        other = await caller.call(Idempotency_Key="k", body="two")
        assert other.error_name == "key_reused" and run_count(caller) == 1

    async def test_key_is_required(self, open_caller):
        caller = await open_caller()
        assert (await caller.call()).error_name == "key_required"

    @pytest.mark.parametrize("kind", [KIND.CLOSE_BEFORE_ANSWER, KIND.CLOSE_AFTER_RUN])
    async def test_call_with_a_lost_response_may_have_run_and_never_runs_again(
        self, open_caller, kind
    ):
        caller = await open_caller()
        caller.cluster.services[0].add_fault(kind)
        for gateway in (0, 1, 0):
            response = await caller.call(gateway=gateway, Idempotency_Key="k")
            assert response.error_name == "outcome_unknown"
            assert response.execution == "may_have_run"
        assert run_count(caller) == (kind is KIND.CLOSE_AFTER_RUN)

    async def test_unknown_outcome_is_resolved_by_a_query(self, open_caller):
        caller = await open_caller()
        service = declared.Service(
            local_cluster.SERVICE,
            (declared.Route("POST", "/waivers"),),
            outcome_path="/runs/{key}",
        )
        caller.cluster.declare(services=(service,))
        caller.cluster.services[0].add_fault(KIND.CLOSE_AFTER_RUN)
        responses = [await caller.call(Idempotency_Key="k") for _ in range(2)]
        assert [each.code for each in responses] == ["1", "1"]
        assert run_count(caller) == 1

    async def test_claim_of_a_refused_call_is_released(self, open_caller):
        caller = await open_caller()
        caller.cluster.services[0].add_fault(KIND.REFUSE)
        refused = await caller.call(Idempotency_Key="k")
        assert refused.execution == "not_run"
        assert (await caller.call(Idempotency_Key="k")).code == "0"
        assert run_count(caller) == 1

    async def test_call_of_a_dead_service_is_not_run_and_its_key_stays_usable(
        self, open_caller
    ):
        caller = await open_caller()
        caller.cluster.services[0].kill()
        refused = await caller.call(Idempotency_Key="k")
        assert refused.execution == "not_run", refused.error
        await caller.cluster.services[0].start()
        await asyncio.sleep(30.0)
        assert (await caller.call(gateway=1, Idempotency_Key="k")).code == "0"

    async def test_caller_that_disconnects_gets_the_response_on_resend(
        self, open_caller
    ):
        caller = await open_caller()
        caller.proposer.delay_s = 0.2
        task = asyncio.create_task(caller.call(Idempotency_Key="k"))
        await asyncio.sleep(0.3)
        task.cancel()
        await asyncio.sleep(1.0)
        assert (await caller.call(gateway=1, Idempotency_Key="k")).code == "1"
        assert run_count(caller) == 1

    async def test_outcome_is_unknown_if_the_gateway_crashes_after_its_claim(
        self, open_caller
    ):
        caller = await open_caller()
        caller.cluster.services[0].add_fault(KIND.HANG)
        task = asyncio.create_task(caller.call(Idempotency_Key="k"))
        await asyncio.sleep(0.2)
        caller.cluster.gateways[0].kill()
        await task
        await caller.cluster.gateways[0].start()
        await caller.call(Idempotency_Key="other")
        response = await caller.call(gateway=1, Idempotency_Key="k")
        assert response.error_name == "outcome_unknown" and run_count(caller) == 0

    async def test_large_body_is_replayed_as_its_digest(self, open_caller):
        caller = await open_caller()
        caller.cluster.declare(retention=declared.Retention(body_bytes=10))
        first = await caller.call(Idempotency_Key="k")
        resend = await caller.call(Idempotency_Key="k")
        assert first.body and not resend.body and resend.code == "1"


class TestQuorum:
    async def test_nothing_runs_without_a_quorum(self, open_caller):
        caller = await open_caller()
        caller.proposer.fail_before = 1
        response = await caller.call(Idempotency_Key="k")
        assert (response.error_name, response.execution) == (
            "ledger_unavailable",
            "not_run",
        )
        assert response.error["retry_after_ms"] and run_count(caller) == 0
        assert (await caller.call(Idempotency_Key="k")).code == "0"

    @pytest.mark.parametrize("gateway", [0, 1])
    async def test_key_stays_usable_if_an_unconfirmed_claim_was_committed(
        self, open_caller, gateway
    ):
        caller = await open_caller()
        caller.proposer.fail_after = 1
        response = await caller.call(Idempotency_Key="k")
        assert response.execution == "not_run"
        resend = await caller.call(gateway=gateway, Idempotency_Key="k")
        assert resend.code == "0" and run_count(caller) == 1

    async def test_record_is_retried_until_it_is_committed(self, open_caller):
        caller = await open_caller()
        task = asyncio.create_task(caller.call(Idempotency_Key="k"))
        while not run_count(caller):
            await asyncio.sleep(0)
        caller.proposer.fail_before = 4
        assert (await task).code == "0"
        await asyncio.sleep(10.0)
        assert (await caller.call(gateway=1, Idempotency_Key="k")).code == "1"
        assert run_count(caller) == 1

    async def test_concurrent_claims_share_proposals(self, open_caller):
        caller = await open_caller()
        caller.proposer.delay_s = 0.05
        before = caller.proposer.proposals
        calls = [caller.call(Idempotency_Key=f"k{number}") for number in range(40)]
        responses = await asyncio.gather(*calls)
        assert {each.code for each in responses} == {"0"}
        assert caller.proposer.proposals - before < 12


class TestGenerations:
    PROMPT = "an invoice [tokens=30]"

    def generate_once(self, caller, gateway=0, **rest):
        return caller.generate(
            self.PROMPT,
            gateway,
            Quetzalpass_Non_Idempotent="true",
            Idempotency_Key="g",
            **rest,
        )

    async def test_key_is_required(self, open_caller):
        caller = await open_caller()
        response = await caller.generate(self.PROMPT, Quetzalpass_Non_Idempotent="true")
        assert response.error_name == "key_required"

    @pytest.mark.parametrize("stream", [True, False])
    async def test_resend_replays_the_complete_generation(self, open_caller, stream):
        caller = await open_caller()
        first = await self.generate_once(caller, stream=stream)
        resend = await self.generate_once(caller, 1, stream=stream)
        assert (first.code, resend.code) == ("0", "1")
        assert (
            first.is_complete(self.PROMPT)
            and resend.is_complete(self.PROMPT)
            and resend.done
        )
        assert len(caller.cluster.engines[0].started) == 1

    @pytest.mark.parametrize("after_s", [0.001, 0.3])
    async def test_generation_completes_after_its_caller_disconnects(
        self, open_caller, after_s
    ):
        caller = await open_caller()
        task = asyncio.create_task(self.generate_once(caller))
        await asyncio.sleep(after_s)
        task.cancel()
        await asyncio.sleep(4.0)
        resend = await self.generate_once(caller, 1)
        assert resend.is_complete(self.PROMPT)
        assert len(caller.cluster.engines[0].started) == 1

    async def test_silent_connection_is_resumed_without_a_second_run(self, open_caller):
        caller = await open_caller()
        caller.cluster.engines[0].add_fault(KIND.SILENCE, at_offset=9)
        response = await self.generate_once(caller)
        assert response.is_complete(self.PROMPT)
        assert len(caller.cluster.engines[0].started) == 1

    async def test_outcome_is_unknown_after_an_engine_crash(self, open_caller):
        caller = await open_caller()
        response = ReceivedResponse()
        task = asyncio.create_task(self.generate_once(caller, response=response))
        while response.tokens < 5:
            await asyncio.sleep(0.01)
        caller.cluster.engines[0].kill()
        await task
        assert response.error_name == "outcome_unknown"
        await caller.cluster.engines[0].start()
        resend = await self.generate_once(caller, 1)
        assert resend.error_name == "outcome_unknown"
        assert len(caller.cluster.engines[0].started) == 1


class TestGroups:
    async def test_keys_are_distributed_over_the_groups(self, open_cluster):
        caller = await open_cluster(engines=1)
        calls = [caller.call(Idempotency_Key=f"k{number}") for number in range(40)]
        await asyncio.gather(*calls)
        states = [each.state_machine for each in caller.cluster.ledger_proposers]
        counts = [len(each.claims) for each in states]
        assert sum(counts) == 40 and min(counts) > 8
        assert ids.VmId("entry-0") in states[0].owners
