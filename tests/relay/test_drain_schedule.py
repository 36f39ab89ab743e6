import asyncio
import math

import pytest

from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.relay import drain_schedule, relay_requests, response_statuses
from relay import gateway_harness, test_relayed_calls

DRAIN_S = 7.4
# The routes of the harness have this timeout.
TIMEOUT_S = 0.8
SHORT = relay_requests.GenerationSize(2_200, 12)


def schedule():
    return drain_schedule.DrainSchedule(100.0, 100.0 + DRAIN_S)


class TestMayServe:
    def test_request_whose_deadline_comes_first_is_served(self):
        deadline_s = 107.4 - drain_schedule.RESPONSE_MARGIN_S
        assert schedule().may_serve(106.0, 106.0, deadline_s, math.inf)

    def test_request_that_may_last_longer_than_the_drain_is_not(self):
        assert not schedule().may_serve(106.5, 106.5, 107.3, 0.045)
        assert not schedule().may_serve(104.0, 104.0, 114.0, 0.045)

    def test_expected_duration_decides_while_the_balancer_sends_connections(self):
        assert schedule().may_serve(102.0, 102.0, 112.0, 5.0)
        assert not schedule().may_serve(102.0, 102.0, 112.0, 5.2)
        assert not schedule().may_serve(102.0, 102.0, 112.0, math.inf)


class TestRouteDurations:
    ROUTE = ids.RouteName("r")

    def test_unknown_route_may_take_forever(self):
        assert drain_schedule.RouteDurations().expected_s(self.ROUTE, 0.0) == math.inf

    def test_longest_call_of_the_last_window_counts(self):
        durations = drain_schedule.RouteDurations()
        for duration_s in (0.1, 0.4, 0.2):
            durations.observe(self.ROUTE, duration_s, 10.0)
        assert durations.expected_s(self.ROUTE, 45.0) == 0.8

    def test_call_of_long_ago_is_forgotten(self):
        durations = drain_schedule.RouteDurations()
        durations.observe(self.ROUTE, 5.0, 10.0)
        durations.observe(self.ROUTE, 0.1, 45.0)
        assert durations.expected_s(self.ROUTE, 75.0) == 0.2

    def test_number_of_routes_is_bounded(self):
        durations = drain_schedule.RouteDurations()
        for number in range(2 * drain_schedule.MAX_ROUTES):
            durations.observe(ids.RouteName(f"r-{number}"), 1.0, 0.0)
        assert len(durations.by_route) <= drain_schedule.MAX_ROUTES


@pytest.mark.looptime
class TestDrainingGateway:
    @pytest.mark.parametrize("is_idempotent", [True, False])
    async def test_calls_that_may_outlast_the_drain_are_refused_unsent(
        self, is_idempotent
    ):
        make = test_relayed_calls.non_idempotent_harness
        harness = test_relayed_calls.ledger_harness() if is_idempotent else make()
        harness.gateway.requests.begin_drain(DRAIN_S)
        await asyncio.sleep(DRAIN_S - TIMEOUT_S)
        response = await harness.serve()
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert float(response.header("Retry-After")) <= 0.1
        assert test_relayed_calls.total_send_count(harness) == 0

    async def test_call_that_ends_in_time_is_served(self):
        harness = test_relayed_calls.non_idempotent_harness()
        harness.gateway.requests.begin_drain(DRAIN_S)
        await asyncio.sleep(DRAIN_S - TIMEOUT_S - 0.4)
        assert (await harness.serve()).status == 200

    async def test_call_with_a_long_timeout_is_served_while_callers_still_come(self):
        harness = test_relayed_calls.ledger_harness(1, timeout_ms=30_000)
        harness.server("l-1").delay_s = 0.05
        assert (await harness.serve()).status == 200
        harness.gateway.requests.begin_drain(DRAIN_S)
        assert (await harness.serve()).status == 200
        await asyncio.sleep(drain_schedule.BALANCER_REMOVAL_S + 0.1)
        response = await harness.serve()
        assert response.status == response_statuses.STATUS_NOT_RUN

    async def test_no_request_is_sent_once_the_drain_is_over(self):
        harness = test_relayed_calls.non_idempotent_harness()
        harness.gateway.requests.begin_drain(DRAIN_S)
        harness.gateway.requests.is_stopping = True
        response = await harness.serve()
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert test_relayed_calls.total_send_count(harness) == 0

    async def test_generation_that_waits_is_refused_instead_of_sent_too_late(self):
        harness = gateway_harness.GatewayHarness([relay_servers.discovered("e-a")])
        size = relay_requests.GenerationSize(30_000, 900)
        _, first_task = harness.start("/drafts/1", size=size)
        await asyncio.sleep(0.1)
        response, task = harness.start("/drafts/2", size=size)
        await asyncio.sleep(0.1)
        harness.gateway.requests.begin_drain(DRAIN_S)
        await asyncio.gather(first_task, task)
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert b"stops in" in response.data
        assert harness.send_count("e-a") == 1

    async def test_short_generation_that_comes_late_is_refused(self):
        harness = gateway_harness.GatewayHarness([relay_servers.discovered("e-a")])
        harness.gateway.requests.begin_drain(DRAIN_S)
        await asyncio.sleep(drain_schedule.BALANCER_REMOVAL_S + 0.1)
        response = await harness.serve("/drafts/1", size=SHORT)
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert harness.send_count("e-a") == 0
