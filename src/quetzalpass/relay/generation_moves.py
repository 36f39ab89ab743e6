"""Moves a running generation from a server that is leaving to another one.

Without a backup, its memory is copied while it runs. The run is then stopped, which
copies the little that is new, and resumes at the other server. A server with a backup
resumes while the run goes on, and the run is stopped as soon as that one has begun, or
after a short time; duplicate events are dropped.
"""

import asyncio
import enum
import functools
from typing import TYPE_CHECKING

import msgspec
from returns import result

from quetzalpass import event_log
from quetzalpass.backends import base, discovery
from quetzalpass.relay import run_stops, server_reservation, stream_segments

if TYPE_CHECKING:
    from quetzalpass.relay import relayed_streams

COPY_TIMEOUT_S = 2.0
# Backups are sent several times a second, so one exists shortly after the first event.
BACKUP_DELAY_S = 0.5
MOVE_RETRY_S = 0.15
MAX_MOVE_ATTEMPTS = 6
# Longest time from the request to a backup's server to the order to stop the first run.
MAX_OVERLAP_S = 0.25
# A server that is leaving gets no request later than this after it has said so.
MAX_LEAVING_S = 2.0
STATUS_OK = 200
NOT_STARTED = frozenset({base.AttemptEnd.NOT_SENT, base.AttemptEnd.REFUSED})


class FirstBatch(enum.Enum):
    """What the first bytes of a segment on the next server show.

    ``ENDED`` means that the server has ended its response without an event, and
    ``LOST`` that the response broke off, so that the run may go on.
    """

    USABLE = "usable"
    ENDED = "ended"
    LOST = "lost"


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
            if self.stream.is_broken:
                return
            if (
                await self.try_once()
                or self.stream.is_broken
                or not self.segment.may_move
            ):
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

    async def try_once(self) -> bool:
        """Try to move once; return whether the generation need not move any more."""
        backup = self.stream.find_backup_copy(self.segment)
        if backup is not None:
            return await self.resume_from_backup(backup)
        copy = await self.move_memory()
        return copy is not None and await self.resume_from_move(copy)

    async def resume_from_backup(self, copy: MemoryCopy) -> bool:
        """Resume from a backup while the current server still runs the generation.

        Returns
        -------
        bool
            Whether the other server resumed.
        """
        stream = self.stream
        if self.is_refused() or not stream.try_withdraw_resume():
            return False
        started_s = stream.now_s()
        opened = await self.open_backup(copy)
        if stream_segments.is_rate_limited(opened):
            return await self.resume_at_source(opened.failure())
        if isinstance(opened, result.Failure):
            self.segment.reservation.set_backup(None)
            if opened.failure().end in NOT_STARTED:
                return await self.resume_at_source(opened.failure())
            return await self.resume_beside_lost_run(copy.server)
        next_segment = opened.unwrap()
        overlap_s = MAX_OVERLAP_S
        if self.segment.stop is None:
            overlap_s -= stream.now_s() - started_s
        try:
            first_batch = await read_first_batch(next_segment, overlap_s)
        except BaseException:
            self.end_unused(next_segment, copy)
            raise
        if first_batch is FirstBatch.LOST:
            self.segment.reservation.set_backup(None)
            self.end_unused(next_segment, copy)
            return await self.resume_beside_lost_run(copy.server)
        if first_batch is FirstBatch.ENDED:
            # The next server might send nothing either, after the run had been stopped.
            self.segment.may_move = False
            stream.end_segment(next_segment)
            return await self.resume_at_source(None)
        stream.next_segment = next_segment
        run_stops.end_run(stream, self.segment, copy.server)
        return True

    async def open_backup(
        self, copy: MemoryCopy
    ) -> result.Result[stream_segments.StreamSegment, base.AttemptFailure]:
        """Send the request to the server of a backup; stop the run if that takes long.

        The request may run there before the response shows it.
        """
        stream = self.stream
        reservation = stream.gateway.reservations.reserve_on(copy.server, stream.need)
        opening = asyncio.create_task(stream.open_segment(reservation, copy))
        try:
            await asyncio.wait({opening}, timeout=MAX_OVERLAP_S)
            if not opening.done() and run_stops.can_stop(stream):
                run_stops.RunStop(stream, self.segment, copy.server)
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            opening.add_done_callback(functools.partial(self.end_opened, copy))
            opening.cancel()
            raise

    def end_opened(self, copy: MemoryCopy, opening: asyncio.Task) -> None:
        """End a segment that was opened although nobody waits for it any more."""
        if opening.cancelled() or opening.exception() is not None:
            return
        opened = opening.result()
        if isinstance(opened, result.Success):
            self.end_unused(opened.unwrap(), copy)

    def end_unused(
        self, next_segment: stream_segments.StreamSegment, copy: MemoryCopy
    ) -> None:
        """End a segment on another server from which the generation doesn't go on."""
        self.stream.end_lost_run(next_segment.reservation, copy)
        self.stream.end_segment(next_segment)

    async def resume_beside_lost_run(self, other: discovery.DiscoveredServer) -> bool:
        """Resume on a third server, as another one may have begun and was left.

        The run must end soon after the other server may have begun, so its memory is
        copied only once it has stopped.

        Parameters
        ----------
        other : discovery.DiscoveredServer
            Server that was left; it is ordered to stop.

        Returns
        -------
        bool
            Whether the generation has resumed, or has ended.
        """
        crash_checks = self.stream.gateway.crash_checks
        await crash_checks.wait_for_check(other.id)
        if self.segment.stop is None:
            if crash_checks.has_crashed(other):
                return False
            if not await self.stream.endings.has_run(other):
                return False
            if not await self.stop_for_third_server(other):
                return False
        stop = self.segment.stop
        await asyncio.wait({stop.task})
        if stop.copy is None:
            self.segment.may_move = stop.state is run_stops.StopState.REFUSED
            return stop.state is run_stops.StopState.NO_RUN
        self.stream.reported_events = max(
            self.stream.reported_events, stop.copy.event_count
        )
        if not stop.copy.is_at_destination:
            return await self.resume_at_source(None)
        source = self.segment.reservation.server
        copy = MemoryCopy(stop.successor, source, stop.copy.copy_id)
        self.stream.unused_copy = copy
        reservation = self.stream.gateway.reservations.reserve_on(
            stop.successor, self.stream.need
        )
        return await self.open_copy(reservation, copy, is_admitted=False)

    async def stop_for_third_server(self, other: discovery.DiscoveredServer) -> bool:
        """Order the run to stop and to copy its memory to an engine with capacity.

        Without such an engine, the memory goes to the server that was left.

        Returns
        -------
        bool
            Whether the order was sent.
        """
        stream = self.stream
        if not run_stops.can_stop(stream) or self.is_refused():
            return False
        if not stream.try_withdraw_resume():
            return False
        source = self.segment.reservation.server
        target = await stream.gateway.reservations.reserve_move_target(
            stream.routed, stream.need, source
        )
        successor = other
        if target is not None:
            successor = target.server
            target.release()
        detail = f"resumes on {successor.id}, {other.id} may have begun"
        self.log_decision("stop", source, detail)
        run_stops.RunStop(stream, self.segment, successor)
        return True

    async def resume_from_move(self, copy: MemoryCopy) -> bool:
        """Stop the run, and resume from the copy of its memory.

        Nothing that is known to prevent the resumption may be left when the run stops.

        Returns
        -------
        bool
            Whether the generation has resumed, or has ended.
        """
        stream = self.stream
        # The verdict may have come while the memory was copied.
        if self.is_refused():
            return False
        reservation = stream.gateway.reservations.reserve_on(copy.server, stream.need)
        if await stream.find_rate_limit(reservation) is not None:
            return False
        try:
            if not stream.try_withdraw_resume():
                return False
            source = self.segment.reservation.server
            self.log_decision("stop", source, f"resumes on {copy.server.id}")
            stop = run_stops.RunStop(stream, self.segment, copy.server)
            await stop.wait()
            if not self.may_resume(stop):
                # A run that may still stop is not copied again: it then resumes from
                # the copy that there is.
                self.segment.may_move = stop.state is run_stops.StopState.REFUSED
                return stop.state is run_stops.StopState.NO_RUN
            newest = self.newest_copy(stop, copy)
            if newest is None:
                return await self.resume_at_source(None)
            return await self.open_copy(reservation, newest)
        finally:
            if stream.next_segment is None or (
                stream.next_segment.reservation is not reservation
            ):
                reservation.release()

    def may_resume(self, stop: run_stops.RunStop) -> bool:
        """Return whether the run has ended without its end, so that it may resume."""
        if stop.state is run_stops.StopState.STOPPED or self.stream.is_broken:
            return True
        return stop.may_have_stopped() and self.segment.broken.is_set()

    def newest_copy(
        self, stop: run_stops.RunStop, copy: MemoryCopy
    ) -> MemoryCopy | None:
        """Return the newest copy at another server, which is used from now on.

        Without room for what is new, the first server is asked before an older copy.
        """
        if stop.copy is None:
            return copy
        self.stream.reported_events = max(
            self.stream.reported_events, stop.copy.event_count
        )
        if not stop.copy.is_at_destination and self.may_use_source():
            return None
        self.stream.unused_copy = MemoryCopy(
            copy.server, copy.holder, stop.copy.copy_id
        )
        return self.stream.unused_copy

    async def open_copy(
        self,
        reservation: server_reservation.Reservation,
        copy: MemoryCopy,
        *,
        is_admitted: bool = True,
    ) -> bool:
        """Resume from the copy of a stopped run, or at the first server."""
        stream = self.stream
        opened = await stream.open_segment(reservation, copy, is_admitted=is_admitted)
        if isinstance(opened, result.Failure):
            return await self.resume_at_source(opened.failure())
        stream.unused_copy = None
        return self.take_over(opened.unwrap())

    def take_over(self, next_segment: stream_segments.StreamSegment) -> bool:
        """Continue with a segment of a run that has stopped before."""
        if next_segment.server_response.head.status != STATUS_OK:
            self.stream.end_segment(next_segment)
            return False
        self.stream.next_segment = next_segment
        self.segment.server_response.close()
        run_stops.confirm_end(
            self.stream, self.segment, next_segment.reservation.server
        )
        return True

    async def resume_at_source(self, failure: base.AttemptFailure | None) -> bool:
        """Resume at the first server, if it has stopped the run and kept its memory.

        Parameters
        ----------
        failure : base.AttemptFailure or None
            Why another server has not resumed; ``None`` if none got the request.
        """
        stream = self.stream
        stop = self.segment.stop
        if stop is None:
            return False
        if failure is not None and failure.end not in NOT_STARTED:
            return False
        await asyncio.wait({stop.task})
        if stop.copy is None or not self.may_use_source():
            return False
        if not stream.try_withdraw_resume():
            return False
        stream.unused_copy = None
        source = self.segment.reservation.server
        self.log_decision("move_back", source, "the other server has not resumed")
        opened = await stream.open_segment(
            stream.gateway.reservations.reserve_on(source, stream.need),
            MemoryCopy(source, source, stop.copy.copy_id),
        )
        if isinstance(opened, result.Failure):
            return False
        opened.unwrap().may_move = False
        return self.take_over(opened.unwrap())

    def may_use_source(self) -> bool:
        """Return whether the leaving server may still get a request."""
        view = self.stream.gateway.view
        known = view.servers.get(self.segment.reservation.server.id)
        if known is None or known.leaving_since_s is None:
            return False
        return self.stream.now_s() < known.leaving_since_s + MAX_LEAVING_S

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


async def read_first_batch(
    segment: stream_segments.StreamSegment, wait_s: float
) -> FirstBatch:
    """Wait for a segment's first bytes, while the previous server still sends events.

    The wait is bounded, because a generation must not run on two servers for long.

    Parameters
    ----------
    segment : stream_segments.StreamSegment
        The segment.
    wait_s : float
        Longest wait in seconds.

    Returns
    -------
    FirstBatch
        Whether the stream can continue from this segment.
    """
    if segment.server_response.head.status != STATUS_OK:
        return FirstBatch.ENDED
    try:
        async with asyncio.timeout(wait_s):
            received = await segment.next_batch(has_begun=True)
    except TimeoutError:
        return FirstBatch.USABLE
    if isinstance(received, result.Failure):
        return FirstBatch.ENDED if segment.has_ended else FirstBatch.LOST
    if received.unwrap().is_last:
        return FirstBatch.ENDED
    segment.read_ahead = received.unwrap()
    return FirstBatch.USABLE
