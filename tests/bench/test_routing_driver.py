import collections

import pytest

from quetzalpass.bench import routing_driver, routing_figures, routing_workloads
from quetzalpass.routing import settings

CAPACITY = 3.0


def finish(policy, condition, load=1.0):
    cell = routing_driver.Cell(
        routing_workloads.SCHELDEKAAI, load, condition, gateways=2
    )
    run = routing_driver.Run(cell, policy, CAPACITY, seed=5)
    run.run()
    return run


class TestRun:
    @pytest.mark.parametrize(
        "condition",
        [
            routing_workloads.Condition.BASE,
            routing_workloads.Condition.DATA_CENTRE_LOST,
        ],
    )
    def test_request_ends_at_most_once_and_refused_request_never_ran(self, condition):
        run = finish(settings.PolicyName.PREDICTIVE, condition, load=2.5)
        assert not run.current
        for stream in run.streams:
            ended = (stream.finished_s is not None) + stream.refused
            assert ended <= 1
            if stream.refused and stream.attempt == 1:
                assert stream.first_token_s is None
        for server in run.engines.values():
            assert server.is_lost or server.model.idle
        for gateway in run.gateways:
            assert not gateway.in_flight
            assert not gateway.queued

    def test_same_seed_produces_same_figures(self):
        first, second = (
            routing_figures.compute_figures(
                finish(settings.PolicyName.PREDICTIVE, routing_workloads.Condition.BASE)
            )
            for _ in range(2)
        )
        assert first.stall_s == second.stall_s
        assert first.goodput == second.goodput
        assert first.gap_p999_ms == second.gap_p999_ms


class TestFigures:
    def test_jain_index_is_high_for_fair_shares_and_lower_with_starved_organisation(
        self,
    ):
        run = finish(settings.PolicyName.ROUND_ROBIN, routing_workloads.Condition.BASE)
        fair_index = routing_figures.jain_index(run.streams)
        by_name = collections.Counter(s.arrival.organisation for s in run.streams)
        starved = by_name.most_common(1)[0][0]
        for stream in run.streams:
            if stream.arrival.organisation == starved:
                stream.finished_s = None
        assert 0.8 < fair_index <= 1.0
        assert routing_figures.jain_index(run.streams) < fair_index
