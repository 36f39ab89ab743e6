"""Moves a running generation from a server that is leaving to another one.

The other server resumes from a copy of the generation's memory before the current one
is released. Both servers run it for a short time; duplicate events are dropped.
"""

import asyncio
from typing import TYPE_CHECKING

import msgspec
from returns import result

from quetzalpass import event_log
from quetzalpass.lifecycle import stream_segments
from quetzalpass.membership import discovery

if TYPE_CHECKING:
    from quetzalpass.lifecycle import relayed_streams

COPY_TIMEOUT_S = 2.0
# Backups are sent several times a second, so one exists shortly after the first event.
BACKUP_DELAY_S = 0.5
MOVE_RETRY_S = 0.15
MAX_MOVE_ATTEMPTS = 6
# Longest time for which two servers run the same generation.
MAX_OVERLAP_S = 0.25
STATUS_OK = 200


class MemoryCopy(msgspec.Struct, frozen=True):
    """Location of a copy of a generation's memory.

    Attributes
    ----------
    server : discovery.DiscoveredServer
        Server that stores the copy and can resume from it.
    holder : discovery.DiscoveredServer
        Server whose address identifies the copy, and which frees it.
    copy_id : str
        Identifier of the copy at the holder.
    """

    server: discovery.DiscoveredServer
    holder: discovery.DiscoveredServer
    copy_id: str


class GenerationMove:
    """Move of one generation away from a server that is leaving.

    Parameters
    ----------
    stream : relayed_streams.RelayedStream
        The generation's stream.
    segment : stream_segments.StreamSegment
        Segment on the leaving server.
    """

    def __init__(
        self,
        stream: "relayed_streams.RelayedStream",
        segment: stream_segments.StreamSegment,
    ) -> None:
        self.stream = stream
        self.segment = segment

    async def run(self) -> None:
        """Try to move until another server resumes or the current stream breaks.

        The number of attempts is limited.
        """
        segment = self.segment
        await self.wait_for_backup()
        for _ in range(MAX_MOVE_ATTEMPTS):
            if self.is_refused():
                break
            copy = self.stream.find_backup_copy(segment) or await self.move_memory()
            if copy is not None and await self.open_next_segment(copy):
                return
            if self.stream.is_broken:
                return
            await asyncio.sleep(MOVE_RETRY_S)
        detail = f"after at most {MAX_MOVE_ATTEMPTS} tries"
        if self.is_refused():
            detail = "servers have crashed under the request"
        self.log_decision(
            "not_moved", segment.reservation.server, detail, event_log.Level.NOTICE
        )

    def is_refused(self) -> bool:
        """Return whether the generation may not be sent to any other server."""
        return self.stream.gateway.refusal(self.stream.routed) is not None

    async def wait_for_backup(self) -> None:
        """Wait until the backup server should have received a first copy."""
        if self.segment.reservation.backup is None:
            return
        first_s = self.stream.first_event_s or self.stream.now_s()
        await asyncio.sleep(max(0.0, first_s + BACKUP_DELAY_S - self.stream.now_s()))

    async def open_next_segment(self, copy: MemoryCopy) -> bool:
        """Resume from a copy while the current server still runs it.

        Returns
        -------
        bool
            Whether the other server resumed.
        """
        stream = self.stream
        # The verdict may have come while the memory was copied.
        if self.is_refused() or not stream.try_withdraw_resume():
            return False
        reservation = stream.gateway.reservations.reserve_on(copy.server, stream.need)
        opened = await stream.open_segment(reservation, copy)
        if stream_segments.is_rate_limited(opened):
            return False
        stream.unused_copy = None
        if isinstance(opened, result.Failure):
            if copy.copy_id == stream.request_id:
                self.segment.reservation.set_backup(None)
            return False
        next_segment = opened.unwrap()
        try:
            is_usable = await read_first_batch(next_segment)
        except BaseException:
            stream.end_segment(next_segment)
            raise
        if not is_usable:
            stream.end_segment(next_segment)
            return False
        stream.next_segment = next_segment
        self.segment.server_response.close()
        return True

    async def move_memory(self) -> MemoryCopy | None:
        """Copy the memory to an engine with capacity, while the generation runs."""
        stream = self.stream
        engine = stream.routed.service.engine
        if engine is None or not engine.moves:
            return None
        source = self.segment.reservation.server
        target = await stream.gateway.reservations.reserve_move_target(
            stream.routed, stream.need, source
        )
        if target is None:
            self.log_decision("no_move", source, "no engine has capacity")
            return None
        self.log_decision("move", source, f"to {target.server.id}")
        try:
            return await self.copy_to(target.server)
        finally:
            target.release()

    async def copy_to(self, target: discovery.DiscoveredServer) -> MemoryCopy | None:
        """Copy the memory to a given engine."""
        stream = self.stream
        source = self.segment.reservation.server
        started_s = stream.now_s()
        copied = await stream.gateway.get_relay_server(source).copy_memory(
            stream.request_id, target.address, COPY_TIMEOUT_S
        )
        duration = f"{stream.now_s() - started_s:.3f} s"
        if isinstance(copied, result.Failure):
            message = f"{copied.failure().message} after {duration}"
            self.log_decision("copy_failed", target, message, event_log.Level.NOTICE)
            return None
        moved = copied.unwrap()
        self.log_decision(
            "moved",
            source,
            f"to {target.id}, {moved.event_count} events produced, {duration}",
        )
        stream.reported_events = max(stream.reported_events, moved.event_count)
        stream.unused_copy = MemoryCopy(target, source, moved.copy_id)
        return stream.unused_copy

    def log_decision(
        self,
        decision: str,
        server: discovery.DiscoveredServer,
        detail: str,
        level: event_log.Level = event_log.Level.ROUTINE,
    ) -> None:
        """Log a decision about the move."""
        stream = self.stream
        stream.gateway.record_decision(
            stream.routed, decision, server.id, detail, level
        )


async def read_first_batch(segment: stream_segments.StreamSegment) -> bool:
    """Wait for a segment's first bytes, while the previous server still sends events.

    The wait is bounded, because a generation must not run on two servers for long.

    Returns
    -------
    bool
        Whether the stream can continue from this segment.
    """
    if segment.server_response.head.status != STATUS_OK:
        return False
    try:
        async with asyncio.timeout(MAX_OVERLAP_S):
            received = await segment.next_batch(has_begun=True)
    except TimeoutError:
        return True
    if isinstance(received, result.Failure) or received.unwrap().is_last:
        return False
    segment.read_ahead = received.unwrap()
    return True
