import asyncio

import pytest
from returns import result

from quetzalpass import ids
from quetzalpass.bench import local_cluster
from quetzalpass.control import proposers
from quetzalpass.declarations import schema as declared
from quetzalpass.results import codes, failures
from quetzalpass.standin import faults

from .callers import Reply

pytestmark = pytest.mark.looptime
KIND = faults.FaultKind
NO_QUORUM = result.Failure(failures.Failure(codes.Code.NO_QUORUM, "no majority"))


class FaultyProposer(proposers.Proposer):
    """A group that loses its quorum, before or after the commit."""

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
        answer = await self.inner.propose(session, operation, command)
        if self.fail_after:
            self.fail_after -= 1
            return NO_QUORUM
        return answer


@pytest.fixture
def open_desk(open_cluster):
    # Opened inside the test: its clock runs from zero only there.
    async def start():
        caller = await open_cluster(engines=1, services=1, gateways_count=2)
        caller.proposer = FaultyProposer(caller.cluster.ledger_proposers[0])
        caller.cluster.ledger_proposers[:] = [caller.proposer]
        for gateway in caller.cluster.gateways:
            gateway.gateway.ledger.close()
            gateway.gateway.ledger = caller.cluster.open_ledger(gateway.gateway)
        return caller

    return start


def runs(caller, key="k"):
    return caller.cluster.services[0].runs.get(key, 0)


class TestCalls:
    async def test_resend_at_another_gateway_gets_the_recorded_answer(self, open_desk):
        desk = await open_desk()
        first = await desk.call(Idempotency_Key="k")
        again = await desk.call(gateway=1, Idempotency_Key="k")
        assert (first.code, again.code) == ("0", "1")
        assert first.body == again.body and runs(desk) == 1

    async def test_concurrent_resends_wait_for_the_first(self, open_desk):
        desk = await open_desk()
        calls = [desk.call(gateway=n % 2, Idempotency_Key="k") for n in range(8)]
        replies = await asyncio.gather(*calls)
        assert sorted(each.code for each in replies) == ["0"] + ["1"] * 7
        assert runs(desk) == 1

    async def test_wait_for_the_first_is_bounded(self, open_desk):
        desk = await open_desk()
        desk.cluster.services[0].add_fault(KIND.HANG)
        first = asyncio.create_task(desk.call(Idempotency_Key="k"))
        await asyncio.sleep(0.1)
        second = await desk.call(gateway=1, Idempotency_Key="k")
        assert second.error_name == "claim_in_progress"
        assert second.error["retry_after_ms"] == 1000
        first.cancel()

    async def test_other_body_under_one_key_is_an_error(self, open_desk):
        desk = await open_desk()
        await desk.call(Idempotency_Key="k", body="one")
        other = await desk.call(Idempotency_Key="k", body="two")
        assert other.error_name == "key_reused" and runs(desk) == 1

    async def test_key_is_required(self, open_desk):
        desk = await open_desk()
        assert (await desk.call()).error_name == "key_required"

    @pytest.mark.parametrize("kind", [KIND.CLOSE_BEFORE_ANSWER, KIND.CLOSE_AFTER_RUN])
    async def test_lost_answer_may_have_run_and_never_runs_again(self, open_desk, kind):
        desk = await open_desk()
        desk.cluster.services[0].add_fault(kind)
        for gateway in (0, 1, 0):
            reply = await desk.call(gateway=gateway, Idempotency_Key="k")
            assert reply.error_name == "outcome_unknown"
            assert reply.execution == "may_have_run"
        assert runs(desk) == (kind is KIND.CLOSE_AFTER_RUN)

    async def test_unknown_outcome_is_resolved_by_asking(self, open_desk):
        desk = await open_desk()
        service = declared.Service(
            local_cluster.SERVICE,
            (declared.Route("POST", "/waivers"),),
            outcome_path="/runs/{key}",
        )
        desk.cluster.declare(services=(service,))
        desk.cluster.services[0].add_fault(KIND.CLOSE_AFTER_RUN)
        replies = [await desk.call(Idempotency_Key="k") for _ in range(2)]
        assert [each.code for each in replies] == ["1", "1"]
        assert runs(desk) == 1

    async def test_proven_refusal_is_released(self, open_desk):
        desk = await open_desk()
        desk.cluster.services[0].add_fault(KIND.REFUSE)
        refused = await desk.call(Idempotency_Key="k")
        assert refused.execution == "not_run"
        assert (await desk.call(Idempotency_Key="k")).code == "0"
        assert runs(desk) == 1

    async def test_dead_service_is_not_run_and_the_key_stays_usable(self, open_desk):
        desk = await open_desk()
        desk.cluster.services[0].kill()
        refused = await desk.call(Idempotency_Key="k")
        assert refused.execution == "not_run", refused.error
        await desk.cluster.services[0].start()
        await asyncio.sleep(30.0)
        assert (await desk.call(gateway=1, Idempotency_Key="k")).code == "0"

    async def test_caller_that_leaves_finds_its_answer_later(self, open_desk):
        desk = await open_desk()
        desk.proposer.delay_s = 0.2
        task = asyncio.create_task(desk.call(Idempotency_Key="k"))
        await asyncio.sleep(0.3)
        task.cancel()
        await asyncio.sleep(1.0)
        assert (await desk.call(gateway=1, Idempotency_Key="k")).code == "1"
        assert runs(desk) == 1

    async def test_gateway_that_dies_after_its_claim_leaves_unknown(self, open_desk):
        desk = await open_desk()
        desk.cluster.services[0].add_fault(KIND.HANG)
        task = asyncio.create_task(desk.call(Idempotency_Key="k"))
        await asyncio.sleep(0.2)
        desk.cluster.gateways[0].kill()
        await task
        await desk.cluster.gateways[0].start()
        await desk.call(Idempotency_Key="other")
        reply = await desk.call(gateway=1, Idempotency_Key="k")
        assert reply.error_name == "outcome_unknown" and runs(desk) == 0

    async def test_large_body_is_replayed_by_its_digest(self, open_desk):
        desk = await open_desk()
        desk.cluster.declare(retention=declared.Retention(body_bytes=10))
        first = await desk.call(Idempotency_Key="k")
        again = await desk.call(Idempotency_Key="k")
        assert first.body and not again.body and again.code == "1"


class TestQuorum:
    async def test_without_a_majority_nothing_runs(self, open_desk):
        desk = await open_desk()
        desk.proposer.fail_before = 1
        reply = await desk.call(Idempotency_Key="k")
        assert (reply.error_name, reply.execution) == ("ledger_unavailable", "not_run")
        assert reply.error["retry_after_ms"] and runs(desk) == 0
        assert (await desk.call(Idempotency_Key="k")).code == "0"

    @pytest.mark.parametrize("gateway", [0, 1])
    async def test_claim_that_was_committed_all_the_same_stays_usable(
        self, open_desk, gateway
    ):
        desk = await open_desk()
        desk.proposer.fail_after = 1
        reply = await desk.call(Idempotency_Key="k")
        assert reply.execution == "not_run"
        again = await desk.call(gateway=gateway, Idempotency_Key="k")
        assert again.code == "0" and runs(desk) == 1

    async def test_record_is_repeated_until_it_is_committed(self, open_desk):
        desk = await open_desk()
        task = asyncio.create_task(desk.call(Idempotency_Key="k"))
        while not runs(desk):
            await asyncio.sleep(0)
        desk.proposer.fail_before = 4
        assert (await task).code == "0"
        await asyncio.sleep(10.0)
        assert (await desk.call(gateway=1, Idempotency_Key="k")).code == "1"
        assert runs(desk) == 1

    async def test_claims_that_arrive_together_share_proposals(self, open_desk):
        desk = await open_desk()
        desk.proposer.delay_s = 0.05
        before = desk.proposer.proposals
        calls = [desk.call(Idempotency_Key=f"k{number}") for number in range(40)]
        replies = await asyncio.gather(*calls)
        assert {each.code for each in replies} == {"0"}
        assert desk.proposer.proposals - before < 12


class TestGenerations:
    PROMPT = "an invoice [tokens=30]"

    def once(self, desk, gateway=0, **rest):
        return desk.generate(
            self.PROMPT,
            gateway,
            Quetzalpass_Non_Idempotent="true",
            Idempotency_Key="g",
            **rest,
        )

    async def test_key_is_required(self, open_desk):
        desk = await open_desk()
        reply = await desk.generate(self.PROMPT, Quetzalpass_Non_Idempotent="true")
        assert reply.error_name == "key_required"

    @pytest.mark.parametrize("stream", [True, False])
    async def test_resend_replays_the_whole_generation(self, open_desk, stream):
        desk = await open_desk()
        first = await self.once(desk, stream=stream)
        again = await self.once(desk, 1, stream=stream)
        assert (first.code, again.code) == ("0", "1")
        assert first.whole(self.PROMPT) and again.whole(self.PROMPT) and again.done
        assert len(desk.cluster.engines[0].started) == 1

    @pytest.mark.parametrize("after_s", [0.001, 0.3])
    async def test_runs_to_its_end_without_its_caller(self, open_desk, after_s):
        desk = await open_desk()
        task = asyncio.create_task(self.once(desk))
        await asyncio.sleep(after_s)
        task.cancel()
        await asyncio.sleep(4.0)
        again = await self.once(desk, 1)
        assert again.whole(self.PROMPT)
        assert len(desk.cluster.engines[0].started) == 1

    async def test_silent_link_is_resumed_without_a_second_run(self, open_desk):
        desk = await open_desk()
        desk.cluster.engines[0].add_fault(KIND.SILENCE, at_offset=9)
        reply = await self.once(desk)
        assert reply.whole(self.PROMPT)
        assert len(desk.cluster.engines[0].started) == 1

    async def test_dead_engine_leaves_unknown(self, open_desk):
        desk = await open_desk()
        reply = Reply()
        task = asyncio.create_task(self.once(desk, reply=reply))
        while reply.tokens < 5:
            await asyncio.sleep(0.01)
        desk.cluster.engines[0].kill()
        await task
        assert reply.error_name == "outcome_unknown"
        await desk.cluster.engines[0].start()
        again = await self.once(desk, 1)
        assert again.error_name == "outcome_unknown"
        assert len(desk.cluster.engines[0].started) == 1


class TestShards:
    async def test_keys_spread_over_the_groups(self, open_cluster):
        caller = await open_cluster(engines=1)
        calls = [caller.call(Idempotency_Key=f"k{number}") for number in range(40)]
        await asyncio.gather(*calls)
        states = [each.state_machine for each in caller.cluster.ledger_proposers]
        counts = [len(each.claims) for each in states]
        assert sum(counts) == 40 and min(counts) > 8
        assert ids.VmId("entry-0") in states[0].owners
