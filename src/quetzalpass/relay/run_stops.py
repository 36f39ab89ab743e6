"""Stops the run of a generation at the server that it leaves.

The end of its connection does not end a run on every server, so the server is also
ordered to stop it. A generation must not run on two servers.
"""

import asyncio
import enum
from typing import TYPE_CHECKING

import logbook
import msgspec
from returns import result

from quetzalpass.backends import base, discovery, relays

if TYPE_CHECKING:
    from quetzalpass.relay import generation_moves, relayed_streams, stream_segments

LOG = logbook.Logger("relay")

# Longest response time of a stop; it can wait for other moves of the server.
STOP_TIMEOUT_S = 2.0
# A generation that resumes elsewhere waits this long for the response to the stop. One
# without a copy of what is new then computes that again.
RESPONSE_WAIT_S = 0.1
# Most servers end a run whose connection has closed within this time.
CLOSE_GRACE_S = 0.05


class StopState(enum.Enum):
    """What is known of the run of a segment whose server was ordered to stop it."""

    ORDERED = "ordered"
    STOPPED = "stopped"
    NO_RUN = "no_run"
    REFUSED = "refused"
    UNKNOWN = "unknown"


MAY_HAVE_STOPPED = frozenset({StopState.ORDERED, StopState.STOPPED, StopState.UNKNOWN})


class RunStop:
    """The order to the server of one segment to stop its run.

    Parameters
    ----------
    stream : relayed_streams.RelayedStream
        The generation's stream.
    segment : stream_segments.StreamSegment
        The segment.
    successor : discovery.DiscoveredServer
        Server on which the generation continues; the memory is copied to it.

    Attributes
    ----------
    state : StopState
        What is known of the run.
    copy : relays.MovedCopy or None
        Memory of a run that has stopped.
    is_copy_unused : bool
        Whether the copy is to be deleted, also one that the response names later.
    earlier : RunStop or None
        The order before this one, whose effect may be unknown.
    """

    def __init__(
        self,
        stream: "relayed_streams.RelayedStream",
        segment: "stream_segments.StreamSegment",
        successor: discovery.DiscoveredServer,
    ) -> None:
        self.stream = stream
        self.segment = segment
        self.successor = successor
        self.state = StopState.ORDERED
        self.copy: relays.MovedCopy | None = None
        self.is_copy_unused = False
        self.earlier = segment.stop
        segment.stop = self
        self.task = stream.gateway.spawn(self.run())

    async def run(self) -> None:
        """Send the order, and apply the response."""
        server = self.segment.reservation.server
        started_s = self.stream.now_s()
        relay_server = self.stream.gateway.get_relay_server(server)
        stopped = await relay_server.stop_run(
            self.stream.request_id, self.successor.address, STOP_TIMEOUT_S
        )
        self.apply_response(stopped)
        message = ""
        if isinstance(stopped, result.Failure):
            message = stopped.failure().message
        LOG.info(
            "relay: Stop of {} on {}, for {}: {} after {:.3f} s. {}",
            self.stream.request_id,
            server.id,
            self.successor.id,
            self.state.value,
            self.stream.now_s() - started_s,
            message,
        )
        if self.is_copy_unused:
            await self.drop_copy()

    def apply_response(
        self, stopped: result.Result[relays.MovedCopy, base.AttemptFailure]
    ) -> None:
        """Update what is known of the run."""
        if isinstance(stopped, result.Success):
            self.state = StopState.STOPPED
            self.copy = stopped.unwrap()
            return
        failure = stopped.failure()
        self.state = StopState.UNKNOWN
        if failure.kind is base.FailureKind.UNKNOWN_GENERATION:
            self.state = StopState.NO_RUN
        elif failure.end in (base.AttemptEnd.REFUSED, base.AttemptEnd.NOT_SENT):
            self.state = StopState.REFUSED

    async def wait(self) -> None:
        """Wait until the run has stopped or it is known that it has not.

        After a short time, the end of the stream shows it as well. What the response
        brings later is not used.
        """
        await self.wait_for_response()
        if not self.task.done():
            broken = asyncio.create_task(self.segment.broken.wait())
            try:
                await asyncio.wait(
                    {self.task, broken}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                broken.cancel()
        if self.state is StopState.UNKNOWN and not self.segment.broken.is_set():
            await self.wait_for_end()

    async def wait_for_end(self) -> None:
        """Wait for a short time until the stream ends."""
        try:
            async with asyncio.timeout(RESPONSE_WAIT_S):
                await self.segment.broken.wait()
        except TimeoutError:
            return

    async def wait_for_response(self) -> None:
        """Wait for a short time for the response."""
        await asyncio.wait({self.task}, timeout=RESPONSE_WAIT_S)

    def has_no_effect(self) -> bool:
        """Return whether the run may go on in spite of the order."""
        return self.state in (StopState.REFUSED, StopState.UNKNOWN)

    def may_have_stopped(self) -> bool:
        """Return whether the run may have been stopped before its end."""
        if self.earlier is not None and self.earlier.may_have_stopped():
            return True
        return self.state in MAY_HAVE_STOPPED

    def is_confirmed(self) -> bool:
        """Return whether a response has shown that the run has ended."""
        return self.state in (StopState.STOPPED, StopState.NO_RUN)

    def discard_copy(self) -> None:
        """Delete the copy, now or when the response names it."""
        self.is_copy_unused = True
        if self.task.done():
            self.stream.gateway.spawn(self.drop_copy())

    async def drop_copy(self) -> None:
        """Delete the copy on both servers, if there is one."""
        if self.copy is None:
            return
        source = self.segment.reservation.server
        relay_server = self.stream.gateway.get_relay_server(source)
        await relay_server.drop_copy(self.copy.copy_id, STOP_TIMEOUT_S)


def can_stop(stream: "relayed_streams.RelayedStream") -> bool:
    """Return whether the servers of a generation can be ordered to stop it."""
    engine = stream.routed.service.engine
    return engine is not None and engine.moves


def end_run(
    stream: "relayed_streams.RelayedStream",
    segment: "stream_segments.StreamSegment",
    successor: discovery.DiscoveredServer,
) -> None:
    """End the run of a segment after another server has taken the generation over."""
    segment.server_response.close()
    if segment.stop is not None:
        segment.stop.discard_copy()
        confirm_end(stream, segment, successor)
    elif can_stop(stream):
        stream.gateway.spawn(stop_after_close(stream, segment, successor))


async def stop_after_close(
    stream: "relayed_streams.RelayedStream",
    segment: "stream_segments.StreamSegment",
    successor: discovery.DiscoveredServer,
) -> None:
    """Stop the run of a segment unless the close of its connection has ended it."""
    await asyncio.sleep(CLOSE_GRACE_S)
    RunStop(stream, segment, successor).discard_copy()
    confirm_end(stream, segment, successor)


def confirm_end(
    stream: "relayed_streams.RelayedStream",
    segment: "stream_segments.StreamSegment",
    successor: discovery.DiscoveredServer,
) -> None:
    """Repeat the order to stop a run that was left, unless a response confirms it."""
    if segment.stop is None or segment.stop.is_confirmed():
        return
    stream.gateway.spawn(repeat_unconfirmed(stream, segment, successor))


async def repeat_unconfirmed(
    stream: "relayed_streams.RelayedStream",
    segment: "stream_segments.StreamSegment",
    successor: discovery.DiscoveredServer,
) -> None:
    """Order a run to stop until a response shows that it has ended."""
    stop = segment.stop
    await stop.wait_for_response()
    server = segment.reservation.server
    if not stop.is_confirmed() and server.id != successor.id:
        stream.endings.start(server, successor)


async def stop_before_resume(
    stream: "relayed_streams.RelayedStream",
    segment: "stream_segments.StreamSegment",
    copy: "generation_moves.MemoryCopy",
) -> "generation_moves.MemoryCopy":
    """Stop the run of a segment that has broken off, if its server responds soon.

    Returns
    -------
    generation_moves.MemoryCopy
        The newest copy from which the generation can resume.
    """
    stop = segment.stop
    if can_stop(stream) and (stop is None or stop.has_no_effect()):
        stop = RunStop(stream, segment, copy.server)
        await stop.wait_for_response()
    if stop is None:
        return copy
    confirm_end(stream, segment, copy.server)
    if copy.holder.id != segment.reservation.server.id:
        stop.discard_copy()
        return copy
    if stop.copy is None or not stop.copy.is_at_destination:
        # The copy that is used may have the same id as one that is named later.
        return copy
    return msgspec.structs.replace(copy, copy_id=stop.copy.copy_id)
