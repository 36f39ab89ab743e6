import asyncio

import pytest

from lifecycle import gateway_harness
from quetzalpass.lifecycle import event_pacing

STEP_S = 0.03


async def relay(pacer, count, lag_s):
    """Pass events on; the server changes half way and goes on after a lag."""
    for number in range(count):
        if number == count // 4:
            pacer.delay_s = event_pacing.SMOOTHING_DELAY_S
        if number == count // 2:
            await asyncio.sleep(lag_s)
            pacer.delay_s = 0.0
        await pacer.put(b"%d " % number)
        await asyncio.sleep(STEP_S)
    await pacer.flush()


def expected(count):
    return b"".join(b"%d " % number for number in range(count))


@pytest.mark.looptime
class TestEventPacer:
    async def test_events_pass_at_once_and_in_order(self):
        response = gateway_harness.FakeResponse()
        pacer = event_pacing.EventPacer(response)
        loop = asyncio.get_running_loop()
        await pacer.put(b"1 ")
        assert response.times_s == [loop.time()]

    async def test_a_pause_between_servers_gets_shorter(self):
        smooth = gateway_harness.FakeResponse()
        await relay(event_pacing.EventPacer(smooth), 40, 0.2)
        assert smooth.data == expected(40)
        assert (
            smooth.longest_pause_s()
            < 0.2 + STEP_S - 0.9 * event_pacing.SMOOTHING_DELAY_S
        )

    async def test_no_event_is_later_than_the_delay(self):
        response = gateway_harness.FakeResponse()
        pacer = event_pacing.EventPacer(response)
        pacer.delay_s = event_pacing.SMOOTHING_DELAY_S
        loop = asyncio.get_running_loop()
        put_s = []
        for number in range(20):
            put_s.append(loop.time())
            await pacer.put(b"%d " % number)
            await asyncio.sleep(STEP_S)
        await pacer.flush()
        late_s = [b - a for a, b in zip(put_s, response.times_s, strict=True)]
        assert max(late_s) <= event_pacing.SMOOTHING_DELAY_S + 0.002

    async def test_a_caller_that_has_gone_ends_the_stream(self):
        response = gateway_harness.FakeResponse()

        async def fail(data):
            raise ConnectionResetError

        response.write = fail
        pacer = event_pacing.EventPacer(response)
        pacer.delay_s = event_pacing.SMOOTHING_DELAY_S
        await pacer.put(b"1 ")
        await asyncio.sleep(1.0)
        with pytest.raises(ConnectionResetError):
            await pacer.put(b"2 ")

    async def test_nothing_is_written_after_the_close(self):
        response = gateway_harness.FakeResponse()
        pacer = event_pacing.EventPacer(response)
        pacer.delay_s = event_pacing.SMOOTHING_DELAY_S
        await pacer.put(b"1 ")
        pacer.close()
        await asyncio.sleep(1.0)
        assert response.data == b""
