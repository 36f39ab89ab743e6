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
COPY_TIMEOUT_S = 1.5
LAST_COPY_TIMEOUT_S = 1.0
MOVE_TRIES = 2
# Largest part of an event that is held until the event is whole.
MAX_EVENT_BYTES = 1_048_576
STATUS_OK = 200
SERVER_ERROR = 500
PROMISING = frozenset({408, 421, 429, 503})


class LegEnd(enum.Enum):
    """How the stream from one server ended."""

    COMPLETE = "complete"
    BROKEN = "broken"


class MovedMemory(msgspec.Struct, frozen=True):
    """Memory of a stopped generation that lies ready at another server."""

    source: discovery.DiscoveredServer
    destination: discovery.DiscoveredServer
    copy_id: str


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
        size = routed.request.size or relay_requests.GenerationSize(0, 0)
        self.need = size.need()
        self.place: relay_places.Place | None = None
        self.answer: relays.RelayAnswer | None = None
        self.moved: MovedMemory | None = None
        self.mover: asyncio.Task | None = None
        self.last_event_id: str | None = None
        self.events = 0
        self.may_have_run = False
        self.flight = None
        self.refused: set[ids.ServerId] = set()

    @property
    def request_id(self) -> ids.RequestId:
        """Return the caller's id of the request."""
        return self.routed.request.request_id

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
            await self.start()
            while await self.relay_leg() is LegEnd.BROKEN:
                await self.go_on_elsewhere()
            self.gateway.suspects.clear(self.routed.fingerprint(), None)
            await self.response.finish()
        finally:
            del self.gateway.streams[self.request_id]
            self.clean_up()

    def clean_up(self) -> None:
        """Give back everything that the request holds."""
        if self.mover is not None:
            self.mover.cancel()
        self.leave_server()
        if self.moved is not None:
            self.gateway.spawn(self.drop_moved(self.moved))
        if self.place is not None:
            self.place.release()

    def leave_server(self) -> None:
        """Close the connection to the server, which ends the run there."""
        if self.answer is not None:
            self.answer.close()
            self.answer = None
        if self.flight is not None and self.place is not None:
            self.gateway.suspects.leave(self.place.server.id, self.request_id)
            self.flight = None

    async def start(self) -> None:
        """Find an engine that takes the request and answers it."""
        while True:
            waited = await self.gateway.places.wait_for_engine(self.routed, self.need)
            if isinstance(waited, result.Failure):
                raise StreamFailedError(waited.failure())
            self.place = waited.unwrap()
            self.gateway.places.give_backup(self.routed, self.place)
            sent = await self.send(None)
            if isinstance(sent, result.Success):
                return
            self.note_refused(sent.failure())

    def note_refused(self, failure: base.AttemptFailure) -> None:
        """Give the place back after a send that has not run; else end the request."""
        server_id = self.place.server.id
        self.place.release()
        self.place = None
        if self.may_have_run:
            raise StreamFailedError(broken_failure(failure))
        self.refused.add(server_id)
        if failure.end is base.AttemptEnd.NOT_SENT:
            self.gateway.places.eject(server_id, failure.message)
        now_s = asyncio.get_running_loop().time()
        is_over = len(self.refused) >= MAX_REFUSED or now_s >= self.routed.deadline_s
        service = self.routed.service.name
        if is_over or not self.gateway.budget.spend(service, now_s):
            raise StreamFailedError(
                self.gateway.places.refusal(self.routed, failure.message)
            )

    async def send(
        self, continuation: relays.Continuation | None
    ) -> result.Result[None, base.AttemptFailure]:
        """Send the request to the server of the present place."""
        server = self.place.server
        backup = self.place.backup
        left_s = self.routed.deadline_s - asyncio.get_running_loop().time()
        options = relays.SendOptions(
            left_s,
            backup.address if backup else None,
            continuation,
            self.routed.rank,
        )
        self.note_send(continuation)
        self.flight = self.gateway.suspects.enter(
            server.id, self.request_id, self.routed.fingerprint()
        )
        is_first = not self.may_have_run
        self.may_have_run = True
        sent = await self.gateway.server_of(server).send(self.routed.call(), options)
        if isinstance(sent, result.Failure):
            failure = sent.failure()
            has_run = failure.end in (
                base.AttemptEnd.MAY_HAVE_RUN,
                base.AttemptEnd.RAN,
            )
            self.may_have_run = has_run or not is_first
            self.note_broken(failure)
            return sent
        self.answer = sent.unwrap()
        self.gateway.note_head(server, self.answer.head)
        return result.Success(None)

    def note_send(self, continuation: relays.Continuation | None) -> None:
        """Log where the request is sent and why."""
        place = self.place
        waited_s = asyncio.get_running_loop().time() - self.routed.request.arrived_s
        backup = place.backup.id if place.backup else "none"
        detail = f"after {waited_s:.3f} s, needs {place.need.tokens}, backup {backup}"
        if continuation is not None:
            detail += f", goes on after event {continuation.last_event_id}"
        self.gateway.note(self.routed, "send", place.server.id, detail)

    def note_broken(self, failure: base.AttemptFailure) -> None:
        """Log a break, and find out beside the request whether the server is dead."""
        server = self.place.server
        self.flight = None
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
        head = self.answer.head
        if head.status != STATUS_OK:
            await self.relay_failure(head)
            return LegEnd.COMPLETE
        if not self.response.has_begun:
            await self.response.begin(head)
        if self.place_is_leaving():
            self.on_leaving()
        splitter = event_splitter.EventSplitter()
        while True:
            chunk = await self.next_chunk()
            if isinstance(chunk, result.Failure):
                self.answer.close()
                self.answer = None
                self.note_broken(chunk.failure())
                return LegEnd.BROKEN
            data = chunk.unwrap()
            if not data:
                if splitter.rest:
                    await self.response.write(splitter.rest)
                self.gateway.places.note_success(self.place.server.id)
                return LegEnd.COMPLETE
            await self.pass_on(splitter.feed(data))
            if len(splitter.rest) > MAX_EVENT_BYTES:
                raise StreamFailedError(too_large_failure())

    async def relay_failure(self, head: relays.AnswerHead) -> None:
        """Pass on a whole answer that is not a stream."""
        if self.response.has_begun:
            raise StreamFailedError(lost_failure("the server answered no stream"))
        body = await self.answer.read_body()
        if isinstance(body, result.Failure):
            raise StreamFailedError(broken_failure(body.failure()))
        if head.status in PROMISING:
            raise StreamFailedError(lost_failure(f"the server answered {head.status}"))
        if head.status >= SERVER_ERROR:
            detail = f"status {head.status}"
            self.gateway.note(
                self.routed, "server_failed", self.place.server.id, detail
            )
        await self.response.send_whole(head, body.unwrap())

    async def next_chunk(self) -> result.Result[bytes, base.AttemptFailure]:
        """Wait for bytes; where a backup is there, not for ever."""
        silence_s = None
        if self.place.backup is not None:
            silence_s = SILENCE_WITH_BACKUP_S
            if not self.events:
                silence_s = FIRST_EVENT_WITH_BACKUP_S
        try:
            async with asyncio.timeout(silence_s):
                return await self.answer.next_chunk()
        except TimeoutError:
            return result.Failure(
                base.AttemptFailure(
                    base.AttemptEnd.MAY_HAVE_RUN,
                    base.FailureKind.SILENT,
                    f"no event within {silence_s} s",
                )
            )

    async def pass_on(self, events: list[event_splitter.Event]) -> None:
        """Pass on whole events, each once and in order."""
        fresh = [event for event in events if self.is_next(event)]
        if not fresh:
            return
        self.events += len(fresh)
        if self.flight is not None:
            self.flight.opened = True
            self.flight.tokens = self.events
        await self.response.write(b"".join(event.data for event in fresh))

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

    def place_is_leaving(self) -> bool:
        """Return whether the present server is known to leave."""
        known = self.gateway.view.servers.get(self.place.server.id)
        return known is None or known.is_leaving

    def on_server_leaving(self, server_id: ids.ServerId) -> None:
        """React to a server that begins to leave or is gone."""
        if self.place is None or self.answer is None:
            return
        if self.place.backup is not None and self.place.backup.id == server_id:
            self.place.set_backup(None)
        if self.place.server.id == server_id:
            self.on_leaving()

    def on_leaving(self) -> None:
        """Get the generation away from its server."""
        if self.mover is not None and not self.mover.done():
            return
        self.mover = self.gateway.spawn(self.move_away())

    async def move_away(self) -> None:
        """Go on at the backup, or move the memory if there is none."""
        if self.place.backup is not None:
            detail = f"backup {self.place.backup.id}"
            self.gateway.note(self.routed, "leave", self.place.server.id, detail)
            self.answer.close()
            return
        engine = self.routed.service.engine
        if engine is None or not engine.moves:
            return
        for _ in range(MOVE_TRIES):
            if await self.move_once():
                return

    async def move_once(self) -> bool:
        """Copy the memory while the generation runs, stop it, copy the rest."""
        source = self.place.server
        excluded = frozenset((source.id,))
        places = self.gateway.places
        goal = places.engine_place(self.routed, self.need, excluded)
        if goal is None:
            goal = places.engine_place(self.routed, relay_places.NO_NEED, excluded)
        if goal is None:
            self.gateway.note(self.routed, "no_move", source.id, "no engine has room")
            await asyncio.sleep(relay_places.PUMP_INTERVAL_S)
            return False
        try:
            copied = await self.copy_to(goal.server)
        finally:
            goal.release()
        if copied is None:
            return False
        self.moved = MovedMemory(source, goal.server, copied.copy_id)
        detail = f"to {goal.server.id}, {copied.events} events made"
        self.gateway.note(self.routed, "moved", source.id, detail)
        return True

    async def copy_to(
        self, destination: discovery.DiscoveredServer
    ) -> relays.MovedCopy | None:
        """Copy the memory twice, the second time with the generation stopped."""
        server = self.gateway.server_of(self.place.server)
        for is_last, timeout_s in (
            (False, COPY_TIMEOUT_S),
            (True, LAST_COPY_TIMEOUT_S),
        ):
            copied = await server.copy_memory(
                self.request_id, destination.address, timeout_s, is_last=is_last
            )
            if isinstance(copied, result.Failure):
                self.gateway.note(
                    self.routed,
                    "copy_failed",
                    destination.id,
                    copied.failure().message,
                    event_log.Level.NOTICE,
                )
                return None
        return copied.unwrap()

    async def go_on_elsewhere(self) -> None:
        """Continue the generation where its memory lies.

        Raises
        ------
        StreamFailedError
            If its memory is lost.
        """
        if self.mover is not None and not self.mover.done() and not self.place.backup:
            await asyncio.wait([self.mover])
        target, continuation = self.next_target()
        old = self.place
        need = old.need
        old.release()
        self.place = self.gateway.places.place_on(target, need)
        if self.moved is None or self.moved.destination.id == target.id:
            self.moved = None
        self.gateway.places.give_backup(self.routed, self.place)
        now_s = asyncio.get_running_loop().time()
        self.gateway.budget.spend(self.routed.service.name, now_s)
        sent = await self.send(continuation)
        if isinstance(sent, result.Failure):
            raise StreamFailedError(lost_failure(sent.failure().message))

    def next_target(
        self,
    ) -> tuple[discovery.DiscoveredServer, relays.Continuation]:
        """Return the server that has the memory, and under which name."""
        moved = self.moved
        if moved is not None:
            return moved.destination, relays.Continuation(
                moved.source.address, moved.copy_id, self.last_event_id
            )
        backup = self.place.backup
        if backup is None or backup.id not in self.gateway.view.servers:
            raise StreamFailedError(lost_failure("the server went and no copy is left"))
        return backup, relays.Continuation(
            backup.address, self.request_id, self.last_event_id
        )

    async def drop_moved(self, moved: MovedMemory) -> None:
        """Free a copy that nobody is going to use."""
        server = self.gateway.server_of(moved.source)
        await server.drop_copy(moved.copy_id, COPY_TIMEOUT_S)


def lost_failure(message: str) -> failures.Failure:
    """Return the failure of a generation whose memory is lost."""
    return failures.Failure(
        codes.Code.SERVER_LOST, message, codes.Execution.MAY_HAVE_RUN
    )


def broken_failure(failure: base.AttemptFailure) -> failures.Failure:
    """Return the failure of a generation that may have run."""
    return lost_failure(failure.message)


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
        f"event {event_log.safe(found)} came after event {event_log.safe(last)}",
        codes.Execution.MAY_HAVE_RUN,
    )
