"""Relayed generations: one run each, continued elsewhere when its server goes.

A generation goes on from the memory that it has built up, never from its text. That
memory is copied to another server as it grows (a backup), or moved when the server is
about to leave. The caller sees each event once and in order.
"""

import asyncio
import enum

import msgspec
from returns import result

from quetzalpass import event_log, ids
from quetzalpass.backends import base, event_splitter, relays
from quetzalpass.lifecycle import (
    event_pacing,
    generation_moves,
    relay_gateway,
    relay_places,
    relay_requests,
)
from quetzalpass.membership import discovery
from quetzalpass.results import codes, failures

# Sends of one request that servers have refused as not run.
MAX_REFUSED = 4
# A stream with a backup is given up on after a silence of this length. It is longer
# than any pause that a loaded engine makes between two events.
SILENCE_WITH_BACKUP_S = 1.2
FIRST_EVENT_WITH_BACKUP_S = 4.0
# How often the count of a generation's memory is brought up to date.
GROWTH_STEP_TOKENS = 64
# Largest part of an event that is held until the event is whole.
MAX_EVENT_BYTES = 1_048_576
MS_PER_S = 1000
STATUS_OK = 200


class LegEnd(enum.Enum):
    """How the stream from one server ended."""

    COMPLETE = "complete"
    BROKEN = "broken"


class StreamFailedError(Exception):
    """Ends a stream for good.

    Parameters
    ----------
    failure : failures.Failure
        What the caller is told, if the answer has not begun.
    """

    def __init__(self, failure: failures.Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class RelayedStream(relay_gateway.LeavingObserver):
    """One generation from its caller's request to its end.

    Parameters
    ----------
    gateway : relay_gateway.RelayGateway
        Shared parts.
    routed : relay_requests.RoutedRequest
        The request.
    response : relay_requests.CallerResponse
        Way back to the caller.

    Attributes
    ----------
    leg : generation_moves.Leg or None
        The server that runs it now.
    next_leg : generation_moves.Leg or None
        The server on which it goes on already, while the last one still runs it.
    moved : generation_moves.Copy or None
        A copy that was made on purpose and not used yet.
    last_event_id : str or None
        Last event that was passed on.
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
        self.leg: generation_moves.Leg | None = None
        self.next_leg: generation_moves.Leg | None = None
        self.moved: generation_moves.Copy | None = None
        self.is_broken = False
        self.mover: asyncio.Task | None = None
        self.last_event_id: str | None = None
        self.events = 0
        self.first_event_s: float | None = None
        self.legs = 0
        self.may_have_run = False
        self.refused: set[ids.ServerId] = set()

    @property
    def request_id(self) -> ids.RequestId:
        """Return the caller's id of the request."""
        return self.routed.request.request_id

    def now_s(self) -> float:
        """Return the event loop's time."""
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Serve the request to its end.

        Raises
        ------
        StreamFailedError
            If it can't be served, or not to its end.
        """
        refusal = self.gateway.suspects.refusal(self.routed.fingerprint())
        if refusal is not None:
            raise StreamFailedError(refusal)
        self.gateway.streams[self.request_id] = self
        try:
            self.leg = await self.start()
            while await self.relay_leg() is LegEnd.BROKEN:
                await self.go_on_elsewhere()
            self.gateway.suspects.clear(self.routed.fingerprint(), None)
            if self.response.has_begun:
                await self.pacer.flush()
                await self.response.finish()
            self.note_streamed()
        finally:
            del self.gateway.streams[self.request_id]
            self.clean_up()

    def clean_up(self) -> None:
        """Give back everything that the request holds."""
        if self.mover is not None:
            self.mover.cancel()
        self.pacer.close()
        for leg in (self.leg, self.next_leg):
            if leg is not None:
                self.end_leg(leg)
        if self.moved is not None:
            self.gateway.spawn(self.drop_copy(self.moved))

    def end_leg(self, leg: generation_moves.Leg) -> None:
        """Close the connection of a leg, which ends the run there."""
        leg.answer.close()
        self.gateway.suspects.remove_request(leg.place.server.id, self.request_id)
        leg.place.release()

    async def start(self) -> generation_moves.Leg:
        """Find an engine that takes the request and answers it."""
        while True:
            waited = await self.gateway.places.wait_for_engine(self.routed, self.need)
            if isinstance(waited, result.Failure):
                raise StreamFailedError(waited.failure())
            place = waited.unwrap()
            opened = await self.open_leg(place, None)
            if isinstance(opened, result.Success):
                return opened.unwrap()
            self.note_refused(place, opened.failure())

    def note_refused(
        self, place: relay_places.Place, failure: base.AttemptFailure
    ) -> None:
        """Go on after a first send that has not run; else end the request."""
        if self.may_have_run:
            raise StreamFailedError(lost_failure(failure.message))
        self.refused.add(place.server.id)
        if failure.end is base.AttemptEnd.NOT_SENT:
            self.gateway.places.health.note_unreachable(place.server, failure.message)
        now_s = self.now_s()
        is_over = len(self.refused) >= MAX_REFUSED or now_s >= self.routed.deadline_s
        service = self.routed.service.name
        has_arrived = failure.end is not base.AttemptEnd.NOT_SENT
        if has_arrived and not self.gateway.budget.spend(service, now_s):
            is_over = True
        if is_over:
            raise StreamFailedError(
                self.gateway.places.refusal(self.routed, failure.message)
            )

    async def open_leg(
        self, place: relay_places.Place, copy: generation_moves.Copy | None
    ) -> result.Result[generation_moves.Leg, base.AttemptFailure]:
        """Send the request to the server of a place, which is given back on failure.

        Parameters
        ----------
        place : relay_places.Place
            Where it is to run.
        copy : generation_moves.Copy or None
            The memory from which it goes on; ``None`` at its start.
        """
        server = place.server
        self.gateway.places.give_backup(self.routed, place)
        options = relays.SendOptions(
            self.routed.deadline_s - self.now_s(),
            place.backup.address if place.backup else None,
            self.continuation_from(copy),
            self.routed.rank,
        )
        self.note_send(place, copy)
        self.legs += 1
        in_flight_request = self.gateway.suspects.add_request(
            server.id, self.request_id, self.routed.fingerprint()
        )
        had_run, self.may_have_run = self.may_have_run, True
        try:
            sent = await self.gateway.server_of(server).send(
                self.routed.call(), options
            )
        except BaseException:
            self.gateway.suspects.remove_request(server.id, self.request_id)
            place.release()
            raise
        if isinstance(sent, result.Success):
            answer = sent.unwrap()
            self.gateway.note_head(server, answer.head)
            return result.Success(
                generation_moves.Leg(place, answer, in_flight_request)
            )
        failure = sent.failure()
        is_not_run = failure.end in (base.AttemptEnd.NOT_SENT, base.AttemptEnd.REFUSED)
        self.may_have_run = had_run or not is_not_run
        place.release()
        self.note_broken(server, failure)
        return sent

    def continuation_from(
        self, copy: generation_moves.Copy | None
    ) -> relays.Continuation | None:
        """Return how a server is told to go on from a copy."""
        if copy is None:
            return None
        holder = copy.holder.address
        return relays.Continuation(holder, copy.copy_id, self.last_event_id)

    def note_send(
        self, place: relay_places.Place, copy: generation_moves.Copy | None
    ) -> None:
        """Log where the request is sent and why."""
        waited_s = self.now_s() - self.routed.request.arrived_s
        backup = place.backup.id if place.backup else "none"
        chooser = "granted" if place.is_granted else "chosen here"
        detail = f"after {waited_s:.3f} s, needs {place.need.tokens}, backup {backup}"
        detail += f", {chooser}: {place.reason}" if place.reason else ""
        if copy is not None:
            detail += f", goes on after event {self.last_event_id}"
        self.gateway.note(self.routed, "send", place.server.id, detail)

    def note_broken(
        self, server: discovery.DiscoveredServer, failure: base.AttemptFailure
    ) -> None:
        """Log a break, and find out beside the request whether the server is dead."""
        self.gateway.note(
            self.routed,
            "broken",
            server.id,
            f"after {self.events} events, {failure.kind.value}: {failure.message}",
            event_log.Level.NOTICE,
        )
        self.gateway.spawn(self.gateway.note_break(self.routed, server, failure))

    async def relay_leg(self) -> LegEnd:
        """Pass on what the present server sends until its stream ends or breaks."""
        leg = self.leg
        head = leg.answer.head
        if head.status != STATUS_OK:
            await self.relay_failure(leg)
            return LegEnd.COMPLETE
        if not self.response.has_begun:
            await self.response.begin(head)
        if self.is_leaving(leg.place.server.id):
            self.start_moving()
        splitter = event_splitter.EventSplitter()
        await self.pass_on(leg, splitter.feed(leg.first_chunk))
        while True:
            chunk = await self.next_chunk(leg)
            if isinstance(chunk, result.Failure):
                if self.next_leg is None:
                    self.note_broken(leg.place.server, chunk.failure())
                return LegEnd.BROKEN
            data = chunk.unwrap()
            if not data:
                if splitter.rest:
                    await self.pacer.put(splitter.rest)
                self.gateway.places.health.note_success(leg.place.server.id)
                return LegEnd.COMPLETE
            await self.pass_on(leg, splitter.feed(data))
            if len(splitter.rest) > MAX_EVENT_BYTES:
                raise StreamFailedError(too_large_failure())

    async def relay_failure(self, leg: generation_moves.Leg) -> None:
        """Pass on a whole answer that is not a stream."""
        status = leg.answer.head.status
        if self.response.has_begun:
            raise StreamFailedError(lost_failure("the server answered no stream"))
        body = await leg.answer.read_body()
        if isinstance(body, result.Failure):
            raise StreamFailedError(lost_failure(body.failure().message))
        if status in relay_gateway.PROMISING:
            raise StreamFailedError(lost_failure(f"the server answered {status}"))
        if status >= relay_gateway.SERVER_ERROR:
            detail = f"status {status}"
            self.gateway.note(self.routed, "server_failed", leg.place.server.id, detail)
        await self.response.send_whole(leg.answer.head, body.unwrap())

    async def next_chunk(
        self, leg: generation_moves.Leg
    ) -> result.Result[bytes, base.AttemptFailure]:
        """Wait for bytes; where a backup is there, not for ever."""
        silence_s = None
        if leg.place.backup is not None:
            silence_s = SILENCE_WITH_BACKUP_S
            if not self.events:
                silence_s = FIRST_EVENT_WITH_BACKUP_S
        try:
            async with asyncio.timeout(silence_s):
                return await leg.answer.next_chunk()
        except TimeoutError:
            return result.Failure(
                base.AttemptFailure(
                    base.AttemptEnd.MAY_HAVE_RUN,
                    base.FailureKind.SILENT,
                    f"no event within {silence_s} s",
                )
            )

    async def pass_on(
        self, leg: generation_moves.Leg, events: list[event_splitter.Event]
    ) -> None:
        """Pass on whole events, each once and in order."""
        fresh = [event for event in events if self.is_next(event)]
        if not fresh:
            return
        if self.first_event_s is None:
            self.first_event_s = self.now_s()
        self.events += len(fresh)
        leg.place.note_first_event()
        self.note_growth(leg)
        leg.in_flight_request.opened = True
        leg.in_flight_request.tokens = self.events
        await self.pacer.put(b"".join(event.data for event in fresh))

    def note_growth(self, leg: generation_moves.Leg) -> None:
        """Keep count of the memory that the generation takes."""
        engine = self.routed.service.engine
        made = self.events * (engine.tokens_per_event if engine else 1)
        if made - self.need.made_tokens >= GROWTH_STEP_TOKENS:
            self.need = msgspec.structs.replace(self.need, made_tokens=made)
            leg.place.grow(self.need)

    def note_streamed(self) -> None:
        """Log and count a stream that has ended well."""
        server_id = self.leg.place.server.id
        self.gateway.note(self.routed, "streamed", server_id, self.summary())
        if self.first_event_s is None:
            return
        metrics = self.gateway.metrics
        route = metrics.bounded_label(self.routed.route.name)
        first_s = self.first_event_s - self.routed.request.arrived_s
        metrics.first_event_s.labels(route).observe(first_s)
        metrics.stream_pause_s.labels(route).observe(self.pacer.longest_pause_s)

    def summary(self) -> str:
        """Return how the stream went, for the log."""
        first_s = (self.first_event_s or 0.0) - self.routed.request.arrived_s
        return (
            f"first event after {first_s:.3f} s, {self.events} events, longest pause "
            f"{self.pacer.longest_pause_s:.3f} s, {self.legs} servers"
        )

    def is_next(self, event: event_splitter.Event) -> bool:
        """Return whether an event follows the last one; a repeated one does not.

        Raises
        ------
        StreamFailedError
            If events are missing before it.
        """
        if event.id is None:
            return True
        if self.last_event_id is not None:
            if not event.id.isdecimal() or not self.last_event_id.isdecimal():
                raise StreamFailedError(crossed_failure(event.id, self.last_event_id))
            if int(event.id) <= int(self.last_event_id):
                return False
            if int(event.id) > int(self.last_event_id) + 1:
                raise StreamFailedError(crossed_failure(event.id, self.last_event_id))
        self.last_event_id = event.id
        return True

    def is_leaving(self, server_id: ids.ServerId) -> bool:
        """Return whether a server is known to leave, or gone."""
        known = self.gateway.view.servers.get(server_id)
        return known is None or known.is_leaving

    def on_server_leaving(self, server_id: ids.ServerId) -> None:
        """React to a server that begins to leave or is gone."""
        for leg in (self.leg, self.next_leg):
            if leg is None:
                continue
            backup = leg.place.backup
            if backup is not None and backup.id == server_id:
                leg.place.set_backup(None)
        if self.leg is not None and self.leg.place.server.id == server_id:
            self.start_moving()

    def start_moving(self) -> None:
        """Get the generation away from its server, beside the stream."""
        if self.mover is None or self.mover.done():
            self.pacer.delay_s = event_pacing.SMOOTHING_S
            move = generation_moves.GenerationMove(self, self.leg)
            self.mover = self.gateway.spawn(move.run())

    def backup_copy(self, leg: generation_moves.Leg) -> generation_moves.Copy | None:
        """Return the backup of a leg, if its server is still there."""
        backup = leg.place.backup
        if backup is None or self.is_leaving(backup.id):
            return None
        return generation_moves.Copy(backup, backup, self.request_id)

    async def go_on_elsewhere(self) -> None:
        """Continue on the next server, or where a copy of the memory lies.

        Raises
        ------
        StreamFailedError
            If the memory is lost.
        """
        broken = self.leg
        self.is_broken = True
        if self.next_leg is None and self.mover is not None:
            await asyncio.wait([self.mover], timeout=generation_moves.COPY_TIMEOUT_S)
        if self.next_leg is None:
            self.next_leg = await self.open_leg_from_copy(broken)
        self.leg, self.next_leg = self.next_leg, None
        self.pacer.delay_s = 0.0
        self.is_broken = False
        self.end_leg(broken)
        self.gateway.budget.spend(self.routed.service.name, self.now_s())

    async def open_leg_from_copy(
        self, broken: generation_moves.Leg
    ) -> generation_moves.Leg:
        """Go on from the copy that is left of a leg that broke.

        Raises
        ------
        StreamFailedError
            If there is none.
        """
        copy = self.moved or self.backup_copy(broken)
        if copy is None:
            raise StreamFailedError(lost_failure("the server went and no copy is left"))
        broken.answer.close()
        place = self.gateway.places.place_on(copy.server, self.need)
        opened = await self.open_leg(place, copy)
        self.moved = None
        if isinstance(opened, result.Failure):
            raise StreamFailedError(lost_failure(opened.failure().message))
        return opened.unwrap()

    async def drop_copy(self, copy: generation_moves.Copy) -> None:
        """Free a copy that nobody is going to use, at both of its servers."""
        holder = self.gateway.server_of(copy.holder)
        await holder.drop_copy(copy.copy_id, generation_moves.COPY_TIMEOUT_S)


def lost_failure(message: str) -> failures.Failure:
    """Return the failure of a generation whose memory is lost."""
    return failures.Failure(
        codes.Code.SERVER_LOST, message, codes.Execution.MAY_HAVE_RUN
    )


def too_large_failure() -> failures.Failure:
    """Return the failure of a stream with an event without an end."""
    return failures.Failure(
        codes.Code.EVENT_TOO_LARGE,
        f"an event is larger than {MAX_EVENT_BYTES} bytes",
        codes.Execution.MAY_HAVE_RUN,
    )


def crossed_failure(found: str, last: str) -> failures.Failure:
    """Return the failure of a stream with a wrong event."""
    return failures.Failure(
        codes.Code.STREAM_CROSSED,
        f"event {event_log.sanitize(found)} came after event "
        f"{event_log.sanitize(last)}",
        codes.Execution.MAY_HAVE_RUN,
    )
