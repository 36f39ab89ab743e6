import asyncio

import pytest

from quetzalpass.inbound import pacing

pytestmark = pytest.mark.looptime
PIECES = 5_000
PAUSE_S = PIECES * pacing.PIECE_PAUSE_S


class TestPacer:
    async def test_connections_read_on_one_after_the_other(self):
        pacer = pacing.Pacer()
        resumed = []
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for number in range(3):
            pacer.enter(PIECES, lambda n=number: resumed.append((n, loop.time())))
        await asyncio.sleep(10 * PAUSE_S)
        assert [number for number, _ in resumed] == [0, 1, 2]
        waits = [(at_s - started_s) / PAUSE_S for _, at_s in resumed]
        assert waits == pytest.approx([0, 1, 2], abs=0.01)

    async def test_one_alone_is_not_held_up(self):
        """A single body of 4 MiB in chunks of one byte took five times as long."""
        pacer = pacing.Pacer()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for _ in range(100):
            resumed = asyncio.Event()
            pacer.enter(PIECES, resumed.set)
            await resumed.wait()
        assert loop.time() - started_s < PAUSE_S

    async def test_it_rests_once_nobody_waits(self):
        pacer = pacing.Pacer()
        pacer.enter(PIECES, lambda: None)
        await asyncio.sleep(10 * PAUSE_S)
        assert pacer.timer is None

    async def test_all_connections_of_a_loop_share_one(self):
        loop = asyncio.get_running_loop()
        assert pacing.pacer_of(loop) is pacing.pacer_of(loop)
