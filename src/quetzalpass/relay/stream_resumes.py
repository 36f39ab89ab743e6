"""Continues a relayed generation whose server has broken off."""

import asyncio
from typing import TYPE_CHECKING

from returns import result

from quetzalpass.backends import base
from quetzalpass.relay import (
    generation_moves,
    run_stops,
    stream_failures,
    stream_segments,
)

if TYPE_CHECKING:
    from quetzalpass.relay import relayed_streams

# A generation waits this long for a server at its limit to resume on; callers leave
# after a longer pause.
MAX_RESUME_DELAY_S = 1.0
MS_PER_S = 1000


class StreamResume:
    """The continuation of one generation after its server has broken off.

    Parameters
    ----------
    stream : relayed_streams.RelayedStream
        The generation's stream.
    """

    def __init__(self, stream: "relayed_streams.RelayedStream") -> None:
        self.stream = stream

    async def run(self) -> None:
        """Continue with the next segment, or resume on a server with a copy.

        Raises
        ------
        StreamFailedError
            If no copy of the memory is left.
        """
        stream = self.stream
        broken = stream.segment
        stream.is_broken = True
        await stream.gateway.crash_checks.wait_for_check(broken.reservation.server.id)
        if stream.next_segment is None and stream.move_task is not None:
            await asyncio.wait(
                [stream.move_task], timeout=generation_moves.COPY_TIMEOUT_S
            )
            if stream.next_segment is None and not stream.move_task.done():
                # It must not resume beside what follows.
                stream.move_task.cancel()
                await asyncio.wait([stream.move_task])
        if stream.next_segment is None:
            stream.next_segment = await self.open_from_copy(broken)
        stream.segment, stream.next_segment = stream.next_segment, None
        stream.pacer.delay_s = 0.0
        stream.is_broken = False
        stream.end_segment(broken)

    async def open_from_copy(
        self, broken: stream_segments.StreamSegment
    ) -> stream_segments.StreamSegment:
        """Resume from the remaining copy of a broken segment.

        Raises
        ------
        StreamFailedError
            If there is none, or if its server fails too.
        """
        stream = self.stream
        copy = stream.unused_copy or stream.find_backup_copy(broken)
        if copy is None:
            raise stream_failures.server_lost("the server was lost and no copy is left")
        broken.server_response.close()
        stream.raise_if_refused()
        if not stream.try_withdraw_resume():
            raise stream_failures.server_lost("the retry budget is used up")
        copy = await run_stops.stop_before_resume(stream, broken, copy)
        stream.raise_if_refused()
        opened = await self.open_on_copy(copy)
        stream.unused_copy = None
        if isinstance(opened, result.Failure):
            raise stream_failures.server_lost(opened.failure().message)
        return opened.unwrap()

    async def open_on_copy(
        self, copy: generation_moves.MemoryCopy
    ) -> result.Result[stream_segments.StreamSegment, base.AttemptFailure]:
        """Resume from a copy; wait for a short time if its server is at its limit."""
        stream = self.stream
        reservations = stream.gateway.reservations
        opened = await stream.open_segment(
            reservations.reserve_on(copy.server, stream.need), copy
        )
        if not stream_segments.is_rate_limited(opened):
            return opened
        delay_s = opened.failure().retry_after_ms / MS_PER_S
        if delay_s > MAX_RESUME_DELAY_S:
            return opened
        await asyncio.sleep(delay_s)
        return await stream.open_segment(
            reservations.reserve_on(copy.server, stream.need), copy
        )
