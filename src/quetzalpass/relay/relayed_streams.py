"""Relayed generations, which are resumed on another server if theirs leaves or fails.

A generation resumes from the memory that it has built up, never from its text. That
memory is copied to another server as it grows (a backup), or moved when the server is
about to leave. The caller receives each event once and in order.
"""

import asyncio
import enum

import msgspec
from returns import result

from quetzalpass import event_log, ids
from quetzalpass.backends import base, discovery, event_splitter, relays
from quetzalpass.relay import (
    crash_checks,
    event_order,
    event_pacing,
    generation_moves,
    relay_gateway,
    relay_requests,
    response_statuses,
    run_endings,
    server_reservation,
    stream_failures,
    stream_resumes,
    stream_segments,
    stream_starts,
)
from quetzalpass.results import codes

# Growth of a generation after which its memory need is updated.
GROWTH_STEP_TOKENS = 64
MS_PER_S = 1000
STATUS_OK = 200


class SegmentEnd(enum.Enum):
    """How the stream from one server ended."""

    COMPLETE = "complete"
    BROKEN = "broken"


class RelayedStream(relay_gateway.LeavingObserver):
    """Relays one generation from its request to its end.

    Parameters
    ----------
    gateway : relay_gateway.RelayGateway
        State shared by the requests of this gateway.
    routed : relay_requests.RoutedRequest
        The request.
    response : relay_requests.CallerResponse
        Response to the caller.

    Attributes
    ----------
    segment : stream_segments.StreamSegment or None
        Segment whose events are relayed now.
    next_segment : stream_segments.StreamSegment or None
        Segment on the next server, while the current server still runs the generation.
    unused_copy : generation_moves.MemoryCopy or None
        Copy that was made for a move and not used yet.
    order : event_order.EventOrder
        Order of the events that were relayed.
    bytes_after_events : int
        Bytes that the last server sent after its last whole event.
    reported_events : int
        Events that the generation had produced when its memory was last copied.
    endings : run_endings.RunEndings
        Runs that were left and may still go on.
    """

    def __init__(
        self,
        gateway: relay_gateway.RelayGateway,
        routed: relay_requests.RoutedRequest,
        response: relay_requests.CallerResponse,
    ) -> None:
        self.gateway = gateway
        self.routed = routed
        self.response = response
        self.pacer = event_pacing.EventPacer(response)
        size = routed.request.size or relay_requests.GenerationSize(0, 0)
        self.need = size.need(routed.route.objective_ms / MS_PER_S)
        self.segment: stream_segments.StreamSegment | None = None
        self.next_segment: stream_segments.StreamSegment | None = None
        self.unused_copy: generation_moves.MemoryCopy | None = None
        self.is_broken = False
        self.move_task: asyncio.Task | None = None
        self.order = event_order.EventOrder()
        self.events = 0
        self.first_event_s: float | None = None
        self.segment_count = 0
        self.may_have_run = False
        self.bytes_after_events = 0
        self.reported_events = 0
        self.endings = run_endings.RunEndings(self)

    @property
    def request_id(self) -> ids.RequestId:
        """Return the id of the request."""
        return self.routed.request.request_id

    def now_s(self) -> float:
        """Return the event loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Serve the request to its end.

        Raises
        ------
        StreamFailedError
            If it can't be served completely.
        """
        self.gateway.streams[self.request_id] = self
        try:
            self.segment = await stream_starts.StreamStart(self).run()
            while await self.relay_segment() is SegmentEnd.BROKEN:
                await stream_resumes.StreamResume(self).run()
            self.clear_suspicion()
            if self.response.has_begun:
                await self.pacer.flush()
                await self.response.finish()
            self.record_completion()
        finally:
            del self.gateway.streams[self.request_id]
            self.clean_up()

    def clear_suspicion(self) -> None:
        """Clear the request of crashes, unless its response is an error."""
        segment = self.segment
        head = segment.server_response.head
        if head.status < response_statuses.STATUS_ERROR:
            server = segment.reservation.server
            self.gateway.record_completion(self.routed, server, head)

    def clean_up(self) -> None:
        """Release everything that the request holds."""
        if self.move_task is not None:
            self.move_task.cancel()
        self.pacer.close()
        for segment in (self.segment, self.next_segment):
            if segment is not None:
                self.end_segment(segment)
        if self.unused_copy is not None:
            self.gateway.spawn(self.drop_copy(self.unused_copy))

    def end_segment(self, segment: stream_segments.StreamSegment) -> None:
        """Close the connection of a segment, which ends the run on its server."""
        segment.server_response.close()
        self.gateway.crash_checks.on_request_left(
            self.routed, segment.reservation.server
        )
        segment.reservation.release()

    def raise_if_refused(self) -> None:
        """Raise the failure of a request that must not be sent to any server now.

        Raises
        ------
        StreamFailedError
            If servers have crashed under it repeatedly.
        """
        execution = codes.Execution.NOT_RUN
        if self.may_have_run:
            execution = codes.Execution.MAY_HAVE_RUN
        refusal = self.gateway.refusal(self.routed, execution)
        if refusal is not None:
            raise stream_failures.StreamFailedError(refusal)

    async def open_segment(
        self,
        reservation: server_reservation.Reservation,
        copy: generation_moves.MemoryCopy | None,
        *,
        is_admitted: bool = False,
    ) -> result.Result[stream_segments.StreamSegment, base.AttemptFailure]:
        """Send the request to a reserved server; release the reservation on failure.

        Parameters
        ----------
        reservation : server_reservation.Reservation
            Reservation on the server that is to run it.
        copy : generation_moves.MemoryCopy or None
            Memory from which it resumes; ``None`` at its start.
        is_admitted : bool
            Whether the server's limit is known to allow it.

        Raises
        ------
        StreamFailedError
            If servers have crashed under the request repeatedly.
        """
        server = reservation.server
        if not is_admitted:
            denied = await self.find_rate_limit(reservation)
            if denied is not None:
                return result.Failure(denied)
        if not await self.settle_earlier_runs(reservation):
            return result.Failure(
                base.AttemptFailure(
                    base.AttemptEnd.NOT_SENT,
                    base.FailureKind.SILENT,
                    "an earlier run may still go on at the server",
                )
            )
        try:
            self.raise_if_refused()
        except stream_failures.StreamFailedError:
            reservation.release()
            raise
        self.gateway.reservations.assign_backup(self.routed, reservation)
        options = relays.SendOptions(
            self.routed.deadline_s - self.now_s(),
            reservation.backup.address if reservation.backup else None,
            self.build_continuation(copy),
            self.routed.rank,
        )
        self.log_send(reservation, copy)
        self.segment_count += 1
        self.routed.progress.is_sent = True
        self.gateway.crash_checks.on_send(server)
        in_flight_request = self.gateway.suspects.add_request(
            server.id, self.request_id, self.routed.fingerprint, self.routed.parts
        )
        had_run, self.may_have_run = self.may_have_run, True
        try:
            sent = await self.gateway.get_relay_server(server).send(
                self.routed.call(), options
            )
        except BaseException:
            self.gateway.crash_checks.on_request_left(self.routed, server)
            self.end_lost_run(reservation, copy)
            reservation.release()
            raise
        if isinstance(sent, result.Success):
            server_response = sent.unwrap()
            self.gateway.on_response_head(server, server_response.head)
            return result.Success(
                stream_segments.StreamSegment(
                    reservation, server_response, in_flight_request
                )
            )
        failure = sent.failure()
        is_not_run = failure.end in (base.AttemptEnd.NOT_SENT, base.AttemptEnd.REFUSED)
        self.may_have_run = had_run or not is_not_run
        if not is_not_run:
            self.end_lost_run(reservation, copy)
        reservation.release()
        self.on_broken(server, failure)
        return sent

    async def settle_earlier_runs(
        self, reservation: server_reservation.Reservation
    ) -> bool:
        """Wait for a short time until the runs that were left have ended.

        Returns
        -------
        bool
            Whether the request may be sent to the reserved server. Otherwise the
            reservation is released.
        """
        is_settled = False
        try:
            is_settled = await self.endings.settle(reservation.server)
        finally:
            if not is_settled:
                reservation.release()
        return is_settled

    def end_lost_run(
        self,
        reservation: server_reservation.Reservation,
        copy: generation_moves.MemoryCopy | None,
    ) -> None:
        """Stop the run of a request whose response was lost or is not awaited.

        A generation that has not begun on any server before does not go on elsewhere,
        so the close of the connection is enough.
        """
        if copy is None:
            return
        # Any other server does: what an order copies there is deleted.
        others = [reservation.backup, copy.holder]
        if self.segment is not None:
            others.append(self.segment.reservation.server)
        server = reservation.server
        for other in others:
            if other is not None and other.id != server.id:
                self.endings.start(server, other)
                return

    async def find_rate_limit(
        self, reservation: server_reservation.Reservation
    ) -> base.AttemptFailure | None:
        """Return the failure of a send that the server's limit does not allow.

        The reservation is then released.
        """
        server = reservation.server
        try:
            delay_s = await self.gateway.reservations.gates.acquire(
                self.routed, reservation
            )
        except BaseException:
            reservation.release()
            raise
        if not delay_s:
            return None
        reservation.release()
        detail = f"the limit of the server allows none for {delay_s:.3f} s"
        self.gateway.record_decision(self.routed, "rate_limited", server.id, detail)
        return base.AttemptFailure(
            base.AttemptEnd.NOT_SENT,
            base.FailureKind.RATE_LIMITED,
            detail,
            int(delay_s * MS_PER_S) + 1,
        )

    def build_continuation(
        self, copy: generation_moves.MemoryCopy | None
    ) -> relays.Continuation | None:
        """Return the instruction with which a server resumes from a copy."""
        if copy is None:
            return None
        holder = copy.holder.address
        return relays.Continuation(holder, copy.copy_id, self.order.last_id)

    def log_send(
        self,
        reservation: server_reservation.Reservation,
        copy: generation_moves.MemoryCopy | None,
    ) -> None:
        """Log to which server the request is sent and why."""
        waited_s = self.now_s() - self.routed.request.arrived_s
        backup = reservation.backup.id if reservation.backup else "none"
        chooser = "granted" if reservation.is_granted else "chosen here"
        detail = (
            f"after {waited_s:.3f} s, needs {reservation.need.tokens}, backup {backup}"
        )
        detail += f", {chooser}: {reservation.reason}" if reservation.reason else ""
        if copy is not None:
            detail += f", resumes after event {self.order.last_id}"
        self.gateway.record_decision(self.routed, "send", reservation.server.id, detail)

    def on_broken(
        self, server: discovery.DiscoveredServer, failure: base.AttemptFailure
    ) -> None:
        """Log a broken stream, and check in the background for a crash."""
        self.log_broken(server, failure)
        self.gateway.on_broken_request(self.routed, server, failure)

    def log_broken(
        self, server: discovery.DiscoveredServer, failure: base.AttemptFailure
    ) -> None:
        """Log why a stream has broken off."""
        self.gateway.record_decision(
            self.routed,
            "broken",
            server.id,
            f"after {self.events} events, {failure.kind.value}: {failure.message}",
            event_log.Level.NOTICE,
        )

    async def relay_segment(self) -> SegmentEnd:
        """Relay the current segment until its stream ends or breaks."""
        segment = self.segment
        head = segment.server_response.head
        if head.status != STATUS_OK:
            await self.relay_whole_response(segment)
            return SegmentEnd.COMPLETE
        if not self.response.has_begun:
            await self.response.begin(head)
        if self.gateway.is_leaving(segment.reservation.server.id):
            self.start_move()
        while True:
            received = await self.next_batch(segment)
            received = received.bind(self.check_reported_events)
            if isinstance(received, result.Failure):
                segment.broken.set()
                if self.next_segment is None and not segment.may_have_stopped():
                    self.on_broken(segment.reservation.server, received.failure())
                return SegmentEnd.BROKEN
            batch = received.unwrap()
            await self.relay_events(segment, batch.events)
            if batch.is_last:
                if not await self.is_complete(segment):
                    segment.broken.set()
                    return SegmentEnd.BROKEN
                await self.relay_rest(segment, batch.rest)
                return SegmentEnd.COMPLETE

    async def next_batch(
        self, segment: stream_segments.StreamSegment
    ) -> result.Result[stream_segments.EventBatch, base.AttemptFailure]:
        """Wait for the next events of a segment.

        Raises
        ------
        StreamFailedError
            If an event is too large.
        """
        try:
            return await segment.next_batch(has_begun=self.events > 0)
        except stream_failures.StreamFailedError as error:
            server_id = segment.reservation.server.id
            health = self.gateway.reservations.health
            health.record_endless(server_id, error.failure.message)
            raise

    async def is_complete(self, segment: stream_segments.StreamSegment) -> bool:
        """Return whether a stream that has ended is complete; log it if not."""
        server = segment.reservation.server
        head = segment.server_response.head
        if head.body_end is relays.BodyEnd.CLOSE and segment.may_have_stopped():
            await segment.stop.wait_for_response()
            if segment.may_have_stopped():
                return False
        if await self.gateway.is_complete(self.routed, server, head):
            return True
        self.log_broken(server, crash_checks.ENDED_WITH_CONNECTION)
        return False

    def check_reported_events(
        self, batch: stream_segments.EventBatch
    ) -> result.Result[stream_segments.EventBatch, base.AttemptFailure]:
        """Fail at an end before all events that a server has reported."""
        if not batch.is_last or self.events >= self.reported_events:
            return result.Success(batch)
        text = f"ended after {self.events} of at least {self.reported_events} events"
        return result.Failure(stream_segments.broken_off(text))

    async def relay_rest(
        self, segment: stream_segments.StreamSegment, rest: bytes
    ) -> None:
        """Relay the bytes after the last event of a stream that is complete."""
        self.bytes_after_events = len(rest)
        if rest:
            await self.pacer.put(rest)
        server_id = segment.reservation.server.id
        self.gateway.reservations.health.record_success(server_id)

    async def relay_whole_response(
        self, segment: stream_segments.StreamSegment
    ) -> None:
        """Relay a response that is not a stream."""
        status = segment.server_response.head.status
        if self.response.has_begun:
            raise stream_failures.server_lost("the server responded without a stream")
        body = await segment.server_response.read_body()
        if isinstance(body, result.Failure):
            raise stream_failures.server_lost(body.failure().message)
        if not await self.is_complete(segment):
            raise stream_failures.server_lost("the server was lost with its response")
        if status in response_statuses.STATUSES_PROMISING_NOT_RUN:
            raise stream_failures.server_lost(f"the server responded {status}")
        if status >= response_statuses.SERVER_ERROR:
            detail = f"status {status}"
            self.gateway.record_decision(
                self.routed, "server_failed", segment.reservation.server.id, detail
            )
        await self.response.send_whole(segment.server_response.head, body.unwrap())

    async def relay_events(
        self,
        segment: stream_segments.StreamSegment,
        events: list[event_splitter.Event],
    ) -> None:
        """Relay complete events, each once and in order."""
        self.gateway.crash_checks.on_bytes(segment.reservation.server.id)
        new_events = [event for event in events if self.order.accept(event)]
        if not new_events:
            return
        if self.first_event_s is None:
            self.first_event_s = self.now_s()
        self.events += len(new_events)
        segment.reservation.on_first_event()
        self.update_need(segment)
        segment.in_flight_request.opened = True
        self.record_output(segment)
        self.gateway.suspects.clear(self.routed.fingerprint, self.events)
        await self.pacer.put(b"".join(event.data for event in new_events))

    def record_output(self, segment: stream_segments.StreamSegment) -> None:
        """Record output; once there is enough, clear the prompt's parts."""
        request = segment.in_flight_request
        was_settled = request.is_settled()
        request.record_output(self.events, self.now_s())
        if request.is_settled() and not was_settled:
            self.gateway.suspects.parts.clear(self.routed.parts)

    def update_need(self, segment: stream_segments.StreamSegment) -> None:
        """Update the memory need after the generation has grown by a step."""
        engine = self.routed.service.engine
        generated_tokens = self.events * (engine.tokens_per_event if engine else 1)
        if generated_tokens - self.need.made_tokens >= GROWTH_STEP_TOKENS:
            self.need = msgspec.structs.replace(self.need, made_tokens=generated_tokens)
            segment.reservation.grow(self.need)

    def record_completion(self) -> None:
        """Log a completed stream and record its metrics."""
        server_id = self.segment.reservation.server.id
        self.gateway.record_decision(self.routed, "streamed", server_id, self.summary())
        if self.first_event_s is None:
            return
        metrics = self.gateway.metrics
        route = metrics.bounded_label(self.routed.route.name)
        first_s = self.first_event_s - self.routed.request.arrived_s
        metrics.first_event_s.labels(route).observe(first_s)
        metrics.stream_pause_s.labels(route).observe(self.pacer.longest_pause_s)

    def summary(self) -> str:
        """Return the figures of the stream, for the log."""
        first_s = (self.first_event_s or 0.0) - self.routed.request.arrived_s
        body_end = self.segment.server_response.head.body_end
        return (
            f"first event after {first_s:.3f} s, {self.events} events, longest pause "
            f"{self.pacer.longest_pause_s:.3f} s, {self.segment_count} servers, body "
            f"ended by {body_end.value}, {self.bytes_after_events} bytes after the "
            "last event"
        )

    def on_server_leaving(self, server_id: ids.ServerId) -> None:
        """Move away from a server that is leaving, and stop using a backup on it."""
        for segment in (self.segment, self.next_segment):
            if segment is None:
                continue
            backup = segment.reservation.backup
            if backup is not None and backup.id == server_id:
                segment.reservation.set_backup(None)
        if self.segment is not None and self.segment.reservation.server.id == server_id:
            self.start_move()

    def start_move(self) -> None:
        """Start to move the generation to another server, in the background."""
        if not self.segment.may_move:
            return
        if self.move_task is None or self.move_task.done():
            self.pacer.delay_s = event_pacing.SMOOTHING_DELAY_S
            move = generation_moves.GenerationMove(self, self.segment)
            self.move_task = self.gateway.spawn(move.run())

    def find_backup_copy(
        self, segment: stream_segments.StreamSegment
    ) -> generation_moves.MemoryCopy | None:
        """Return the backup of a segment, unless its server is leaving or has left."""
        backup = segment.reservation.backup
        if backup is None or self.gateway.is_leaving(backup.id):
            return None
        return generation_moves.MemoryCopy(backup, backup, self.request_id)

    def try_withdraw_resume(self) -> bool:
        """Withdraw a retry for the next segment; return whether one was left."""
        service = self.routed.service.name
        return self.gateway.budget.try_withdraw_resume(service, self.now_s())

    async def drop_copy(self, copy: generation_moves.MemoryCopy) -> None:
        """Free an unused copy on both of its servers, through its holder."""
        holder = self.gateway.get_relay_server(copy.holder)
        await holder.drop_copy(copy.copy_id, generation_moves.COPY_TIMEOUT_S)
