import asyncio

import pytest

from quetzalpass import ids
from quetzalpass.bench import local_cluster
from quetzalpass.declarations import schema as declared
from quetzalpass.lifecycle import limits
from quetzalpass.results import codes

pytestmark = pytest.mark.looptime
CHECK = declared.PriorityClass(ids.ClassName("check"), must_not_drop=True)
DRAFT = declared.PriorityClass(ids.ClassName("draft"))
FAR_DEADLINE_S = 1e6


def organisation(**rest):
    fields = {"requests_per_s": 30.0, "burst_requests": 3, **rest}
    return local_cluster.make_organisation("org", **fields)


def limiters(count):
    return [limits.Limiter(ids.VmId(f"entry-{n}"), count) for n in range(count)]


def exchange_reports(gateways, delivered=None):
    reports = [each.own_usage() for each in gateways]
    for number, gateway in enumerate(gateways):
        for other, report in enumerate(reports):
            if number != other and (delivered is None or (number, other) in delivered):
                gateway.observe_peer_usage(report)


async def send_at_rate(gateway, rate, seconds, org, admitted):
    """Send requests at a steady rate and record which are admitted."""
    for _ in range(int(rate * seconds)):
        if gateway is not None:
            admission = await gateway.admit(org, DRAFT, FAR_DEADLINE_S, 0)
            admitted.append(admission.value_or(None) is not None)
        await asyncio.sleep(1 / rate)


class TestShares:
    @pytest.mark.parametrize("rates", [(90, 90, 90), (200, 10, 10), (200, 1, 1)])
    async def test_total_stays_at_the_limit_and_shares_follow_the_demand(self, rates):
        gateways = limiters(3)
        org = organisation()
        admitted = [[], [], []]

        async def report():
            while True:
                await asyncio.sleep(1.0)
                exchange_reports(gateways)

        reporter = asyncio.create_task(report())
        senders = zip(gateways, rates, admitted, strict=True)
        await asyncio.gather(*[send_at_rate(g, r, 20, org, a) for g, r, a in senders])
        reporter.cancel()
        steady_rates = [sum(each[len(each) // 2 :]) / 10 for each in admitted]
        assert 26 <= sum(steady_rates) <= 33, steady_rates
        assert steady_rates[0] >= 8

    async def test_silent_peer_loses_its_share(self):
        gateways = limiters(3)
        org = organisation()
        for gateway in gateways:
            for _ in range(50):
                await gateway.admit(org, DRAFT, FAR_DEADLINE_S, 0)
        exchange_reports(gateways)
        exchange_reports(gateways)
        assert abs(gateways[0].share(org, limits.Resource.REQUESTS) - 1 / 3) < 0.05
        await asyncio.sleep(limits.LEASE_S)
        exchange_reports(gateways[:2])
        await asyncio.sleep(0.1)
        assert 0.45 < gateways[0].share(org, limits.Resource.REQUESTS) < 0.55

    async def test_partitioned_gateway_falls_back_to_an_equal_share(self):
        gateways = limiters(4)
        exchange_reports(gateways, delivered={(0, 1)})
        assert gateways[0].share(organisation(), limits.Resource.STREAMS) == 0.25


class TestRefusals:
    async def test_refusal_over_the_rate_has_a_retry_after_time(self):
        (limiter,) = limiters(1)
        org = organisation(requests_per_s=2.0, burst_requests=1)
        assert (await limiter.admit(org, DRAFT, FAR_DEADLINE_S, 0)).unwrap()
        failure = (await limiter.admit(org, DRAFT, FAR_DEADLINE_S, 0)).failure()
        assert failure.code is codes.Code.RATE_LIMITED
        assert failure.retry_after_ms == 500
        await asyncio.sleep(failure.retry_after_ms / 1000)
        assert (await limiter.admit(org, DRAFT, FAR_DEADLINE_S, 0)).unwrap()

    async def test_must_not_drop_request_waits_and_others_yield_to_it(self):
        (limiter,) = limiters(1)
        org = organisation(requests_per_s=2.0, burst_requests=1)
        await limiter.admit(org, DRAFT, FAR_DEADLINE_S, 0)
        waiting = asyncio.create_task(limiter.admit(org, CHECK, FAR_DEADLINE_S, 0))
        for _ in range(20):
            await asyncio.sleep(0.03)
            if waiting.done():
                break
            refused = await limiter.admit(org, DRAFT, FAR_DEADLINE_S, 0)
            assert refused.failure().code is codes.Code.RATE_LIMITED
        assert waiting.done() and (await waiting).unwrap()

    async def test_streams_and_tokens_are_refused_as_not_run(self, open_cluster):
        org = local_cluster.make_organisation("org", max_streams=2, tokens_per_s=30.0)
        caller = await open_cluster(engines=1, organisations=(org,))
        calls = [caller.generate(f"d{n} [tokens=60]") for n in range(3)]
        responses = await asyncio.gather(*calls)
        assert [each.error_name for each in responses] == [
            None,
            None,
            "too_many_streams",
        ]
        steady_rates = await caller.generate("late [tokens=5]")
        assert (
            steady_rates.error_name == "rate_limited"
            and steady_rates.execution == "not_run"
        )
        await asyncio.sleep(steady_rates.error["retry_after_ms"] / 1000)
        assert (await caller.generate("late [tokens=5]")).done
        assert len(caller.cluster.engines[0].started) == 3


class TestQueueTimeout:
    async def test_queue_timeout_of_a_class_bounds_the_wait(self, open_cluster):
        impatient = declared.PriorityClass(ids.ClassName("check"), queue_timeout_s=2.0)
        caller = await open_cluster(engines=1, classes=(impatient,))
        for each in caller.cluster.gateways:
            each.gateway.admission_queue.eject(ids.ServerId("engine-0"), "test")
        started_s = asyncio.get_running_loop().time()
        response = await caller.generate("a check", Quetzalpass_Class="check")
        assert asyncio.get_running_loop().time() - started_s < 3.0
        assert (response.error_name, response.execution) == ("queue_full", "not_run")
        assert response.error["retry_after_ms"] >= 500
