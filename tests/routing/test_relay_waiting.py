import random

from quetzalpass.routing import relay_placement, relay_waiting

NEED = relay_placement.GenerationNeed(3_000, 900)


def request(name, rank=0, arrived_s=0.0, objective_s=2.0):
    return relay_waiting.WaitingRequest(
        name, rank, NEED, arrived_s, objective_s, 3 * objective_s
    )


def order(now_s, *requests):
    waiting = relay_waiting.WaitingList()
    for each in requests:
        waiting.add(each)
    return [each.request_id for each in waiting.in_order(now_s)]


class TestOrder:
    def test_order_is_by_priority_then_arrival(self):
        found = order(
            0.5, request("b", 1), request("a2", 0, 0.2), request("a1", 0, 0.1)
        )
        assert found == ["a1", "a2", "b"]

    def test_requests_on_time_are_placed_before_late_ones(self):
        found = order(3.0, request("late", 0, 0.0), request("on-time", 1, 2.8))
        assert found == ["on-time", "late"]

    def test_a_request_is_overtaken_for_a_limited_time(self):
        waiting = relay_waiting.WaitingList()
        slow = request("slow", objective_s=4.0)
        assert not waiting.blocks_others(slow, 0.5)
        assert waiting.blocks_others(slow, 1.2)
        assert not waiting.blocks_others(slow, 3.0)

    def test_requests_expire_after_their_longest_wait(self):
        waiting = relay_waiting.WaitingList()
        waiting.add(request("a"))
        assert waiting.expired(5.9) == []
        assert [each.request_id for each in waiting.expired(6.0)] == ["a"]


class TestRetryDelay:
    def test_callers_refused_together_retry_at_different_times(self):
        rng = random.Random(0)
        times = {relay_waiting.retry_delay_s(6.0, rng) for _ in range(50)}
        assert max(times) - min(times) > 0.15

    def test_delay_is_short_enough_for_callers_to_respect_it(self):
        rng = random.Random(0)
        assert all(
            relay_waiting.retry_delay_s(left_s, rng) <= left_s / 3
            for left_s in (0.1, 0.6, 1.5, 39.0)
        )
