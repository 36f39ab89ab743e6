import asyncio
import contextlib

import pytest

from quetzalpass.relay import event_pacing
from relay import gateway_harness

STEP_S = 0.03


async def relay_from_two_servers(pacer, count, gap_s):
    """Relay events from two servers, with a gap between them half way."""
    for number in range(count):
        if number == count // 4:
            pacer.delay_s = event_pacing.SMOOTHING_DELAY_S
        if number == count // 2:
            await asyncio.sleep(gap_s)
            pacer.delay_s = 0.0
        await pacer.put(b"%d " % number)
        await asyncio.sleep(STEP_S)
    await pacer.flush()


def expected_data(count):
    return b"".join(b"%d " % number for number in range(count))


@pytest.mark.looptime
class TestEventPacer:
    async def test_writes_at_once_without_delay(self):
        response = gateway_harness.FakeCallerResponse()
        pacer = event_pacing.EventPacer(response)
        loop = asyncio.get_running_loop()
        await pacer.put(b"1 ")
        assert response.times_s == [loop.time()]

    async def test_delay_shortens_the_gap_between_servers(self):
        smooth = gateway_harness.FakeCallerResponse()
        await relay_from_two_servers(event_pacing.EventPacer(smooth), 40, 0.2)
        assert smooth.data == expected_data(40)
        assert (
            smooth.longest_pause_s()
            < 0.2 + STEP_S - 0.9 * event_pacing.SMOOTHING_DELAY_S
        )

    async def test_no_event_is_delayed_longer_than_the_delay(self):
        response = gateway_harness.FakeCallerResponse()
        pacer = event_pacing.EventPacer(response)
        pacer.delay_s = event_pacing.SMOOTHING_DELAY_S
        loop = asyncio.get_running_loop()
        put_s = []
        for number in range(20):
            put_s.append(loop.time())
            await pacer.put(b"%d " % number)
            await asyncio.sleep(STEP_S)
        await pacer.flush()
        delays_s = [b - a for a, b in zip(put_s, response.times_s, strict=True)]
        assert max(delays_s) <= event_pacing.SMOOTHING_DELAY_S + 0.002

    async def test_disconnect_of_the_caller_is_raised(self):
        response = gateway_harness.FakeCallerResponse()

        async def fail(data):
            raise ConnectionResetError

        response.write = fail
        pacer = event_pacing.EventPacer(response)
        pacer.delay_s = event_pacing.SMOOTHING_DELAY_S
        await pacer.put(b"1 ")
        await asyncio.sleep(1.0)
        with pytest.raises(ConnectionResetError):
            await pacer.put(b"2 ")

    async def test_nothing_is_written_after_close(self):
        response = gateway_harness.FakeCallerResponse()
        pacer = event_pacing.EventPacer(response)
        pacer.delay_s = event_pacing.SMOOTHING_DELAY_S
        await pacer.put(b"1 ")
        pacer.close()
        await asyncio.sleep(1.0)
        assert response.data == b""

    async def test_a_slow_caller_holds_up_a_server_that_sends_without_end(self):
        response = SlowCallerResponse()
        pacer = event_pacing.EventPacer(response)
        pacer.delay_s = event_pacing.SMOOTHING_DELAY_S
        block = b"x" * 65_536
        count = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(10.0):
                while True:
                    await pacer.put(block)
                    count += 1
                    assert pacer.waiting_bytes <= event_pacing.MAX_WAITING_BYTES + len(
                        block
                    )
        assert count < 30
        pacer.close()


class SlowCallerResponse(gateway_harness.FakeCallerResponse):
    """A response whose caller reads a block in a second."""

    async def write(self, data):
        await asyncio.sleep(1.0)
        await super().write(data)
