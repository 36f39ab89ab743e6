"""Replays of load on servers with a limit, which several processes share."""

import random

import pytest

from quetzalpass import ids
from quetzalpass.routing import rate_permits

SERVER = ids.ServerId("s-1")
WINDOW_S = 4.0


def most_in_window(times_s):
    return max(sum(s <= t < s + WINDOW_S for t in times_s) for s in times_s)


def allowed(per_s):
    return 1.5 * per_s * WINDOW_S + 5


def replay(permits, per_s, requests_per_s, seconds, start_s=0.0, seed=1):
    """Return when requests of one rank that arrive at random get a permit."""
    rng = random.Random(seed)
    now_s = start_s
    sent_s = []
    while now_s < start_s + seconds:
        now_s += rng.expovariate(requests_per_s)
        if permits.take(SERVER, per_s, 0, now_s) == 0.0:
            sent_s.append(now_s)
    return sent_s


@pytest.mark.parametrize("per_s", [0.2, 1.0, 1.5, 2.0, 4.0, 1000.0])
class TestExcessOfRequests:
    """24 requests a second arrive for one server with a limit."""

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_sum_holds_and_the_limit_is_used_up(self, per_s, seed):
        sent_s = replay(rate_permits.RatePermits(), per_s, 24.0, 60.0, seed=seed)
        assert most_in_window(sent_s) <= allowed(per_s)
        assert len(sent_s) >= 0.7 * min(per_s, 24.0) * 60.0

    def test_replaced_process_does_not_give_out_saved_permits_again(self, per_s):
        sent_s = []
        for number in range(12):
            permits = rate_permits.RatePermits()
            sent_s += replay(permits, per_s, 24.0, 2.0, 2.0 * number, seed=number)
        assert most_in_window(sent_s or [0.0]) <= allowed(per_s)


class TestIdleTime:
    def test_few_permits_are_saved_for_a_burst(self):
        permits = rate_permits.RatePermits()
        assert permits.take(SERVER, 2.0, 0, 0.0) > 0.0
        granted = [permits.take(SERVER, 2.0, 0, 60.0) == 0.0 for _ in range(10)]
        assert sum(granted) == rate_permits.MAX_SAVED

    def test_delay_is_that_of_the_next_permit(self):
        permits = rate_permits.RatePermits()
        permits.take(SERVER, 2.0, 0, 0.0)
        assert permits.take(SERVER, 2.0, 0, 0.1) == pytest.approx(0.4)
        assert permits.take(SERVER, 2.0, 0, 0.5) == 0.0


class TestPriorities:
    def replay_two_ranks(self, urgent_per_s, seconds=60.0):
        """Return how many urgent requests, and of ten others a second, get a permit.

        Returns
        -------
        dict of int to list of bool
            Outcomes by rank.
        """
        rng = random.Random(1)
        permits = rate_permits.RatePermits()
        outcomes = {0: [], 1: []}
        now_s = 0.0
        while now_s < seconds:
            now_s += rng.expovariate(urgent_per_s + 10.0)
            rank = 0 if rng.random() < urgent_per_s / (urgent_per_s + 10.0) else 1
            outcomes[rank].append(permits.take(SERVER, 2.0, rank, now_s) == 0.0)
        return outcomes

    @pytest.mark.parametrize("urgent_per_s", [0.5, 1.0, 1.5, 3.0])
    def test_urgent_requests_are_served_more_often(self, urgent_per_s):
        outcomes = self.replay_two_ranks(urgent_per_s)
        urgent, others = (sum(each) / len(each) for each in outcomes.values())
        assert urgent > 3 * others
        assert sum(map(sum, outcomes.values())) >= 0.7 * 2.0 * 60

    def test_others_get_all_permits_when_no_urgent_ones_come(self):
        outcomes = self.replay_two_ranks(urgent_per_s=0.001)
        assert sum(outcomes[1]) >= 0.7 * 2.0 * 60


class TestOwnParts:
    """Nine gateways that reach no deciding node use an equal part each."""

    @pytest.mark.parametrize("per_s", [0.2, 1.5, 2.0, 4.0])
    def test_sum_holds(self, per_s):
        sent_s = []
        for number in range(9):
            permits = rate_permits.RatePermits(random.Random(number))
            part = per_s / 9
            sent_s += replay(permits, part, 24.0 / 9, 120.0, seed=number)
        assert most_in_window(sent_s) <= allowed(per_s)
