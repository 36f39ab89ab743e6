import asyncio

import pytest

from quetzalpass import ids
from quetzalpass.declarations import schema as declared
from quetzalpass.lifecycle import retry_budget
from quetzalpass.standin import faults

pytestmark = pytest.mark.looptime
KIND = faults.FaultKind
ORG = ids.OrganisationId("org")
PROMPT = "a check [tokens=5]"
HEDGED = (declared.PriorityClass(ids.ClassName("check"), hedge_after_s=0.3),)


class TestRetryBudget:
    async def test_retries_are_a_fraction_of_the_successes(self):
        budgets = retry_budget.RetryBudgets()
        while budgets.try_withdraw(ORG, "m"):
            pass
        for _ in range(50):
            budgets.deposit(ORG, "m")
        spent = 0
        while budgets.try_withdraw(ORG, "m"):
            spent += 1
        assert spent == 12
        assert budgets.try_withdraw(ORG, "another model")

    async def test_refusing_servers_cause_no_retry_storm(self, open_cluster):
        caller = await open_cluster(engines=2)
        for engine in caller.cluster.engines:
            engine.add_fault(KIND.REFUSE, times=10_000)
        calls = [caller.generate(PROMPT) for _ in range(100)]
        responses = await asyncio.gather(*calls)
        remaining = [
            each.server.plan.pending[0].times for each in caller.cluster.engines
        ]
        attempts = 20_000 - sum(remaining)
        assert 100 <= attempts <= 100 + retry_budget.RESERVED_RETRIES + 5
        assert {each.execution for each in responses} == {"not_run"}
        assert all(each.error["retry_after_ms"] for each in responses)


class TestHedging:
    async def test_slow_generation_is_hedged_and_its_tokens_are_not_mixed(
        self, open_cluster
    ):
        caller = await open_cluster(engines=2, classes=HEDGED)
        caller.cluster.engines[0].add_fault(KIND.HANG)
        prompts = [f"slow {number} [tokens=30]" for number in range(4)]
        calls = [caller.generate(each, Quetzalpass_Class="check") for each in prompts]
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        responses = await asyncio.gather(*calls)
        assert loop.time() - before_s < 2.5
        for prompt, response in zip(prompts, responses, strict=True):
            assert response.is_complete(prompt) and response.done
        await asyncio.sleep(0.5)
        dispatcher = caller.cluster.gateways[0].gateway.admission_queue.dispatcher
        assert not dispatcher.in_flight

    async def test_class_without_hedging_waits(self, open_cluster):
        caller = await open_cluster(engines=2)
        caller.cluster.engines[0].add_fault(KIND.HANG)
        caller.cluster.engines[1].add_fault(KIND.HANG)
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        response = await caller.generate(PROMPT)
        assert response.is_complete(PROMPT) and loop.time() - before_s > 2.5

    async def test_slow_call_is_hedged(self, open_cluster):
        caller = await open_cluster(engines=1, services=2, classes=HEDGED)
        caller.cluster.services[0].add_fault(KIND.HANG)
        calls = [
            caller.call("look", method="GET", Quetzalpass_Class="check")
            for _ in range(4)
        ]
        responses = await asyncio.gather(*calls)
        assert [each.code for each in responses] == ["0"] * 4
        assert caller.cluster.services[0].server.plan.trigger_count == 1

    async def test_non_idempotent_call_is_never_hedged(self, open_cluster):
        caller = await open_cluster(engines=1, services=2, classes=HEDGED)
        headers = {"Quetzalpass_Class": "check", "Quetzalpass_Timeout_Ms": "2000"}
        for service in caller.cluster.services:
            service.add_fault(KIND.HANG)
        response = await caller.call(Idempotency_Key="k", **headers)
        assert response.error_name == "outcome_unknown"
        struck = [each.server.plan.trigger_count for each in caller.cluster.services]
        assert sum(struck) == 1
