"""Segments of a generation's stream, each of which one server produces."""

import asyncio
from typing import TYPE_CHECKING

import msgspec
from returns import result

from quetzalpass.backends import base, event_splitter, held_bytes, relays
from quetzalpass.membership import in_flight_requests
from quetzalpass.relay import server_reservation, stream_failures

if TYPE_CHECKING:
    from quetzalpass.relay import run_stops

# A stream with a backup is treated as broken after a silence of this length. It is
# longer than any pause that a loaded engine makes between two events.
SILENCE_TIMEOUT_WITH_BACKUP_S = 1.2
FIRST_EVENT_TIMEOUT_WITH_BACKUP_S = 4.0


class EventBatch(msgspec.Struct, frozen=True):
    """Whole events of a stream that were received together.

    Attributes
    ----------
    events : list of event_splitter.Event
        The events; empty if only a part of one was received.
    is_last : bool
        Whether the stream has ended.
    rest : bytes
        Bytes after the last event, if the stream has ended.
    """

    events: list[event_splitter.Event]
    is_last: bool = False
    rest: bytes = b""


class StreamSegment:
    """Part of a generation's stream that one server produces.

    Parameters
    ----------
    reservation : server_reservation.Reservation
        Reservation on that server.
    server_response : relays.RelayResponse
        The server's response, whose body is the stream.
    in_flight_request : in_flight_requests.InFlightRequest
        The request's entry in the quarantine, which tracks requests that crash servers.

    Attributes
    ----------
    splitter : event_splitter.EventSplitter
        Splits the body into events.
    holding : held_bytes.Holding
        What an event that has arrived in part takes of the limit of all responses.
    event_count : int
        Whole events that have been received.
    read_ahead : EventBatch or None
        Events that were read before this became the current segment.
    has_ended : bool
        Whether the body of the response has ended, complete or not.
    broken : asyncio.Event
        Set once its stream has ended without being complete.
    may_move : bool
        Whether the generation may move away from its server before that breaks off.
    stop : run_stops.RunStop or None
        Last order to its server to stop the run, unless that is known to run on.
    """

    def __init__(
        self,
        reservation: server_reservation.Reservation,
        server_response: relays.RelayResponse,
        in_flight_request: in_flight_requests.InFlightRequest,
    ) -> None:
        self.reservation = reservation
        self.server_response = server_response
        self.in_flight_request = in_flight_request
        self.splitter = event_splitter.EventSplitter()
        self.holding = held_bytes.RESPONSES.open(server_response.close)
        self.event_count = 0
        self.read_ahead: EventBatch | None = None
        self.has_ended = False
        self.broken = asyncio.Event()
        self.may_move = True
        self.stop: run_stops.RunStop | None = None

    def may_have_stopped(self) -> bool:
        """Return whether its run may have been stopped, so that its end is missing."""
        return self.stop is not None and self.stop.may_have_stopped()

    async def next_batch(
        self, has_begun: bool
    ) -> result.Result[EventBatch, base.AttemptFailure]:
        """Wait for the next bytes; the wait is limited if there is a backup.

        Parameters
        ----------
        has_begun : bool
            Whether the generation has produced events on any server.

        Raises
        ------
        StreamFailedError
            If an event is too large.
        """
        if self.read_ahead is not None:
            batch, self.read_ahead = self.read_ahead, None
            return result.Success(batch)
        silence_s = self.silence_timeout_s(has_begun)
        try:
            async with asyncio.timeout(silence_s):
                chunk = await self.server_response.next_chunk()
        except TimeoutError:
            return result.Failure(
                base.AttemptFailure(
                    base.AttemptEnd.MAY_HAVE_RUN,
                    base.FailureKind.SILENT,
                    f"no event within {silence_s} s",
                )
            )
        return chunk.bind(self.split)

    def silence_timeout_s(self, has_begun: bool) -> float | None:
        """Return after which silence the segment is treated as broken, in seconds."""
        if self.reservation.backup is None:
            return None
        if has_begun:
            return SILENCE_TIMEOUT_WITH_BACKUP_S
        return FIRST_EVENT_TIMEOUT_WITH_BACKUP_S

    def split(self, chunk: bytes) -> result.Result[EventBatch, base.AttemptFailure]:
        """Return the events that a chunk completes; an empty one ends the stream.

        Raises
        ------
        StreamFailedError
            If an event is too large.
        """
        if not chunk:
            return self.end()
        events = self.splitter.feed(chunk)
        self.event_count += len(events)
        if len(self.splitter.rest) > stream_failures.MAX_EVENT_BYTES:
            raise stream_failures.event_too_large()
        try:
            self.holding.resize(len(self.splitter.rest))
        except held_bytes.NoRoomError:
            self.splitter = event_splitter.EventSplitter()
            raise stream_failures.event_too_large() from None
        return result.Success(EventBatch(events))

    def end(self) -> result.Result[EventBatch, base.AttemptFailure]:
        """Return the last batch, or a failure if the stream is incomplete.

        The end of a body doesn't prove that the stream is complete. A server that
        crashes closes its connections, which ends a body without a length, and it may
        end a chunked body inside an event.
        """
        self.has_ended = True
        body_end = self.server_response.head.body_end
        if self.splitter.is_inside_event():
            rest_bytes = len(self.splitter.rest)
            return result.Failure(
                broken_off(f"ended by {body_end.value}, {rest_bytes} bytes in an event")
            )
        if body_end is relays.BodyEnd.CLOSE and not self.event_count:
            return result.Failure(broken_off("closed without any event"))
        return result.Success(EventBatch([], True, self.splitter.rest))


def broken_off(message: str) -> base.AttemptFailure:
    """Return the failure of a stream whose body ended before the stream did."""
    return base.AttemptFailure(
        base.AttemptEnd.MAY_HAVE_RUN, base.FailureKind.CLOSED, message
    )


def is_rate_limited(
    opened: result.Result[StreamSegment, base.AttemptFailure],
) -> bool:
    """Return whether a segment was not opened because of its server's limit."""
    return (
        isinstance(opened, result.Failure)
        and opened.failure().kind is base.FailureKind.RATE_LIMITED
    )
