import asyncio

import pytest

from quetzalpass.backends import held_bytes

LIMIT = 1_000
SMALL = 100


class Body:
    """A body that arrives, and whether it was closed."""

    def __init__(self, budget):
        self.is_closed = False
        self.holding = budget.open(self.close)

    def close(self):
        self.is_closed = True

    def add(self, count):
        self.holding.add(b"x" * count)


@pytest.fixture
def budget():
    return held_bytes.HeldBytes(LIMIT, SMALL)


class TestHeldBytes:
    def test_the_largest_that_arrives_is_given_up(self, budget):
        large, small = Body(budget), Body(budget)
        large.add(900)
        small.add(101)
        assert large.is_closed
        assert not small.is_closed
        assert budget.total == 101
        with pytest.raises(held_bytes.NoRoomError):
            large.add(1)

    def test_the_one_that_grows_may_be_the_largest(self, budget):
        large, small = Body(budget), Body(budget)
        small.add(200)
        with pytest.raises(held_bytes.NoRoomError):
            large.add(900)
        assert (large.is_closed, small.is_closed) == (True, False)

    @pytest.mark.looptime
    async def test_one_that_has_stalled_is_given_up_before_a_larger_one(self, budget):
        """A crowd of small bodies without their ends had larger ones refused."""
        stalled, growing = Body(budget), Body(budget)
        stalled.add(400)
        await asyncio.sleep(held_bytes.STALLED_S)
        growing.add(601)
        assert (stalled.is_closed, growing.is_closed) == (True, False)
        assert budget.total == 601

    def test_a_whole_body_is_not_given_up(self, budget):
        whole, other = Body(budget), Body(budget)
        whole.add(900)
        held = whole.holding.complete()
        with pytest.raises(held_bytes.NoRoomError):
            other.add(101)
        assert held.data == b"x" * 900
        assert not whole.is_closed

    def test_small_bodies_are_held_although_there_is_no_room(self, budget):
        whole = Body(budget)
        whole.add(LIMIT)
        held = whole.holding.complete()
        bodies = [Body(budget) for _ in range(20)]
        for each in bodies:
            each.add(SMALL)
        assert not any(each.is_closed for each in bodies)
        assert len(held.data) == LIMIT

    def test_what_nobody_refers_to_takes_no_room(self, budget):
        body = Body(budget)
        body.add(900)
        held = body.holding.complete()
        del body
        assert budget.total == 900
        del held
        assert budget.total == 0

    def test_one_that_stopped_to_arrive_is_not_given_up_later(self, budget):
        """Its request has ended; to give it up then raised in another request."""
        failed, other = Body(budget), Body(budget)
        failed.add(900)
        failed.holding.stop_arriving()
        assert budget.total == 0
        other.add(900)
        assert not failed.is_closed

    def test_a_size_may_shrink(self, budget):
        body = Body(budget)
        body.holding.resize(500)
        body.holding.resize(20)
        assert budget.total == 20

    def test_slices_are_the_whole_body(self):
        body = bytes(range(256)) * 1_000
        parts = list(held_bytes.slices(body))
        assert b"".join(parts) == body
        assert max(len(each) for each in parts) == held_bytes.SLICE_BYTES
