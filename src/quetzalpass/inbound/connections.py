"""One connection that another program has opened, read within limits.

The HTTP library parses what arrives. This class decides how much of it one connection
may make the process hold: what is read at a time, a head that does not end, framing of
a body without a body, and requests that wait behind one that runs.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import logbook
from aiohttp import http, http_exceptions, streams, web, web_protocol

from quetzalpass import log_limits
from quetzalpass.backends import held_bytes
from quetzalpass.inbound import listener_connections, pacing, rules
from quetzalpass.results import codes, failures

LOG = logbook.Logger("inbound")
LINES_PER_MINUTE = 20
LOG_LIMITER = log_limits.RateLimiter(LINES_PER_MINUTE)

# Read at a time. A large read of many tiny parts would hold up all other connections.
READ_BYTES = 16_384
# Parsed bytes of a body that its handler has not taken yet.
BODY_BUFFER_BYTES = 16_384
# Bytes that wait to be sent before a handler has to wait for its caller.
SEND_BUFFER_BYTES = 16_384
# The library's own limits on a head are never the ones that count.
PARSER_LINES = 1_000_000
# Memory of one header line, parsed and on its way to a server, and of a request without
# any. The allocator needs about twice the bytes of so many small objects.
LINE_COST_BYTES = 1_000
REQUEST_COST_BYTES = 2_000
# What one connection's heads may cost without ever being given up for the room.
SMALL_HEADS_BYTES = 32_768
HEAD_END = b"\r\n\r\n"
CHUNKS_END = b"0\r\n\r\n"
STATUS_BAD_REQUEST = 400
STATUS_SERVER_ERROR = 500
# A failed request has no readable version; it is answered in the newest.
UNREADABLE_REQUEST = web_protocol.ERROR._replace(version=http.HttpVersion11)


class RefusedError(Exception):
    """Stands in the queue of requests for one that is refused unread."""

    def __init__(self, failure: failures.Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class BodyRefusedError(web.RequestPayloadError):
    """Raised where a body is read whose rest is refused."""

    def __init__(self, failure: failures.Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


class GuardedConnection(web.RequestHandler):
    """One connection.

    Parameters
    ----------
    server : web.Server
        Server of the listener.
    listener_rules : rules.ListenerRules
        Limits of the listener. Timeouts are those in force when the connection opens.
    open_connections : listener_connections.ListenerConnections
        All connections of the listener.

    Attributes
    ----------
    latest_payload : aiohttp.StreamReader or None
        Body of the newest request.
    framing_bytes : int
        Bytes that arrived since the last request or part of a body was complete: an
        incomplete head, empty lines, or a chunk's size.
    framing_lines : int
        Line ends among them.
    is_refused : bool
        Whether something was refused, so that what arrives now is discarded.
    is_chunked : bool
        Whether the newest request's body comes in chunks.
    body_bytes : int
        Length of the newest request's body, if it has one.
    unparsed : bytes
        Bytes that wait until the parser may go on.
    last_bytes : bytes
        The last bytes of an incomplete head, which may be part of its end.
    is_paced : bool
        Whether reading waits for its turn among connections with many tiny parts.
    waiting : held_bytes.Holding
        Memory of the incomplete head and of the requests that wait for their turn.
    body_error : BaseException or None
        Why the newest body has failed.
    running : held_bytes.Holding or None
        Memory of the head of the request that runs.
    """

    def __init__(
        self,
        server: web.Server,
        listener_rules: rules.ListenerRules,
        open_connections: listener_connections.ListenerConnections,
        **options: Any,
    ) -> None:
        self.rules = listener_rules
        self.timeouts = listener_rules.timeouts()
        self.open_connections = open_connections
        options.setdefault("read_bufsize", BODY_BUFFER_BYTES)
        options.setdefault("max_headers", PARSER_LINES)
        options["keepalive_timeout"] = self.timeouts.idle_s
        super().__init__(server, **options)
        self.latest_payload: streams.StreamReader | None = None
        self.framing_bytes = 0
        self.framing_lines = 0
        self.is_refused = False
        self.is_chunked = False
        self.body_bytes = 0
        self.unparsed = b""
        self.last_bytes = b""
        self.is_paced = False
        self.waiting = held_bytes.REQUESTS.open(self.give_up, SMALL_HEADS_BYTES)
        self.running: held_bytes.Holding | None = None
        self.body_error: BaseException | None = None
        self.head_timer: asyncio.TimerHandle | None = None

    # The life of the connection.

    def connection_made(self, transport: Any) -> None:
        """Limit what is read and written at a time, and await the first head."""
        # asyncio reads up to 256 KiB otherwise.
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=SEND_BUFFER_BYTES)
        super().connection_made(transport)
        self.start_head_timer()
        self.open_connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free what waited, without waiting for the garbage collector."""
        handling, payload = self._task_handler, self.latest_payload
        super().connection_lost(exc)
        if payload is not None and payload.exception() is not None:
            self.body_error = payload.exception()
        if handling is not None:
            handling.add_done_callback(lambda _: self.forget_body_error())
        self.open_connections.remove(self)
        self.stop_head_timer()
        self._messages.clear()
        self.waiting.end()
        self.release_running()
        self.latest_payload = None

    @property
    def has_received_request(self) -> bool:
        """Return whether a request's head has arrived on this connection."""
        return self._request_count > 0

    @property
    def is_receiving_body(self) -> bool:
        """Return whether the newest request's body has not arrived completely."""
        return self.latest_payload is not None and not self.latest_payload.is_eof()

    @property
    def has_partial_head(self) -> bool:
        """Return whether the latest bytes are the beginning of a request's head."""
        return self.framing_bytes > 0 and not self.is_receiving_body

    @property
    def is_idle(self) -> bool:
        """Return whether no request runs, waits, or has begun to arrive."""
        is_waiting = self._waiter is not None and not self._messages
        return is_waiting and not self.has_partial_head

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being received or served.

        The base class's ``close`` leaves an idle connection open, so that a later
        request on it would never be read, and discards the rest of a body that is
        still arriving, so that its request would never be answered.
        """
        if self.is_idle:
            self.force_close()

    # The time for a head.

    def start_head_timer(self) -> None:
        """Limit the time until the head that has begun is complete."""
        if self.head_timer is None:
            self.head_timer = self._loop.call_later(
                self.timeouts.header_s, self.end_late_head
            )

    def stop_head_timer(self) -> None:
        """Stop the timer once a head is complete or the connection is closed."""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def end_late_head(self) -> None:
        """Close the connection, after the response to a request that still runs."""
        self.head_timer = None
        if self.is_refused or self.transport is None:
            return
        log_bounded("Closed a connection that sent no complete head in time.")
        if self._waiter is not None and not self._messages:
            self.force_close()
        else:
            self.refuse(failures.Failure(codes.Code.BAD_HEADER, "the head is late"))

    # What arrives.

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless something before them was refused.

        They are parsed in pieces that end where a head or body may end, so that it is
        known how much belongs to an incomplete head.
        """
        is_costly = self.is_chunked or not self.is_receiving_body
        lines = data.count(b"\n")
        rest, self.unparsed = self.unparsed + data, b""
        is_first = True
        while is_first or (rest and self.may_parse):
            is_first = False
            size = self.piece_size(rest)
            self.parse(rest[:size])
            rest = rest[size:]
        if self.is_refused or self.transport is None:
            return
        self.unparsed = rest
        if is_costly:
            self.pace(lines)

    @property
    def may_parse(self) -> bool:
        """Return whether the parser may go on, as its results are taken."""
        is_full = len(self._messages) >= self._max_msg_queue_size
        return not (is_full or self._reading_paused or self.is_refused)

    def piece_size(self, data: bytes) -> int:
        """Return how much of some bytes is parsed at a time."""
        if not self.is_receiving_body:
            joined = self.last_bytes + data
            end = joined.find(HEAD_END)
            size = end + len(HEAD_END) - len(self.last_bytes)
        elif self.is_chunked:
            end = data.rfind(CHUNKS_END)
            size = end + len(CHUNKS_END)
        else:
            end = size = self.body_bytes - self.latest_payload.total_bytes
        return size if end >= 0 and size > 0 else len(data)

    def parse(self, piece: bytes) -> None:
        """Parse a piece, and refuse it if it exceeds a limit."""
        if self.is_refused:
            return
        payload = self.latest_payload if self.is_receiving_body else None
        body_bytes = payload.total_bytes if payload is not None else 0
        known_requests = self._request_count
        super().data_received(piece)
        if self.transport is None:
            return
        if has_failed(self._messages):
            self.replace_parser_error()
            return
        new_requests = self._request_count - known_requests
        if new_requests:
            self.note_request()
        has_body_grown = payload is not None and payload.total_bytes > body_bytes
        if new_requests or has_body_grown or (payload and payload.is_eof()):
            self.framing_bytes = self.framing_lines = 0
            self.last_bytes = b""
            self.stop_head_timer()
        else:
            self.framing_bytes += len(piece)
            self.framing_lines += piece.count(b"\n")
            self.last_bytes = (self.last_bytes + piece)[1 - len(HEAD_END) :]
        self.check_limits()

    def note_request(self) -> None:
        """Record how the body of the newest request ends."""
        message, self.latest_payload = self._messages[-1]
        self.is_chunked = message.chunked
        length = message.headers.get("Content-Length", "0")
        self.body_bytes = int(length) if length.isdecimal() else 0
        self.open_connections.note_busy(self)

    def check_limits(self) -> None:
        """Refuse what arrives if it is too large by itself, or together with all."""
        if self.framing_bytes > self.rules.max_head_bytes():
            is_head = not self.is_receiving_body
            what = "a head is too large" if is_head else "a chunk's size is too long"
            self.refuse(failures.Failure(codes.Code.BAD_HEADER, what))
            return
        if self.has_partial_head:
            self.start_head_timer()
        try:
            self.waiting.resize(self.waiting_cost())
        except held_bytes.NoRoomError:
            return

    def waiting_cost(self) -> int:
        """Return the memory of the incomplete head and of the requests in the queue."""
        partial = self.framing_bytes + self.framing_lines * LINE_COST_BYTES
        return partial + sum(head_cost(message) for message, _ in self._messages)

    def pace(self, lines: int) -> None:
        """Read on later if the bytes consisted of many tiny parts."""
        if lines > pacing.FREE_PIECES:
            self.is_paced = True
            self._pause_transport_reading()
            pacing.pacer_of(self._loop).enter(lines, self.resume_paced)

    def resume_paced(self) -> None:
        """Read on, unless the library has paused the connection as well."""
        self.is_paced = False
        if not self._reading_paused and not self._buffer_paused:
            super()._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self.is_paced:
            super()._resume_transport_reading()

    def eof_received(self) -> bool:
        """Fail a body that ended early; otherwise treat the client as disconnected.

        The request of an incomplete body still gets an error response. A client that
        closes its sending half while it waits for a response can't be distinguished
        from one that has disconnected, and is treated as such.
        """
        if not self.is_receiving_body:
            return False
        self.fail_body(web.RequestPayloadError("the body ended early"))
        return True

    # Refusals.

    def replace_parser_error(self) -> None:
        """Refuse what could not be parsed, without keeping the parser's error.

        The error refers to the bytes that were read, and the library would add
        another one for each further read.
        """
        error, _ = self._messages.pop()
        self._request_count -= 1
        self.refuse(self.parser_failure(error.exc))

    def parser_failure(self, error: BaseException) -> failures.Failure:
        """Return the failure to report for an error of the parser."""
        if isinstance(error, http_exceptions.LineTooLong):
            message = "the request line or a header line is too long"
            return failures.Failure(codes.Code.BAD_HEADER, message)
        # The parser's other errors can only be distinguished by their text.
        in_header = "header" in str(error).lower()
        if in_header or isinstance(error, http_exceptions.InvalidHeader):
            return failures.Failure(codes.Code.BAD_HEADER, "a header is malformed")
        message = "the request is not valid HTTP/1.1"
        return failures.Failure(codes.Code.BAD_REQUEST, message)

    def give_up(self) -> None:
        """Refuse what waits or arrives, as all of it together takes too much room."""
        log_bounded("Refused requests, as all together are too large.")
        if self._messages:
            # No handler reads their bodies yet.
            self._messages.clear()
            self.latest_payload = None
        self.refuse(rules.no_room_failure())

    def refuse(self, failure: failures.Failure) -> None:
        """Respond with a failure to what arrives, then close the connection.

        Requests that came before are answered first.
        """
        if self.is_refused or self.transport is None:
            return
        self.is_refused = True
        self.stop_head_timer()
        self.framing_bytes = self.framing_lines = 0
        # It holds the part of a head that it has parsed.
        self._parser = None
        if self.is_receiving_body:
            self.fail_body(BodyRefusedError(failure))
            return
        self.waiting.release()
        refusal = web_protocol._ErrInfo(STATUS_BAD_REQUEST, RefusedError(failure), "")
        self._messages.append((refusal, streams.EMPTY_PAYLOAD))
        self._request_count += 1
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def fail_body(self, error: web.RequestPayloadError) -> None:
        """Let the handler of the newest request find that its body has failed."""
        self.body_error = error
        self.latest_payload.set_exception(error)
        self.latest_payload.feed_eof()
        self.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = STATUS_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return an error response: the request was refused, or its handler failed.

        No part of the request or of the parser's message is echoed.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("the response was already being sent")
        response = self.rules.error_response(error_failure(status, exc))
        response.force_close()
        return response

    # Requests that run.

    def start_request(self, message: Any) -> None:
        """Count a request's head as that of the one that runs."""
        self.release_running()
        self.running = self.waiting.split(min(head_cost(message), self.waiting.size))

    async def finish_response(self, request: Any, resp: Any, start_time: Any) -> Any:
        """Send a response, and release its request; see the base class."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.release_running()
            self.forget_body_error()
            if not self._messages:
                self.open_connections.note_idle(self)

    def release_running(self) -> None:
        """Release the memory of the head of the request that ran."""
        if self.running is not None:
            self.running.release()
            self.running = None

    def forget_body_error(self) -> None:
        """Free the frames of a body's error, and through them the connection.

        Only a full collection would find that cycle.
        """
        if self.body_error is not None:
            self.body_error.__traceback__ = None
            self.body_error = None


def error_failure(status: int, error: BaseException | None) -> failures.Failure:
    """Return the failure to report if a request was refused or its handler failed."""
    if isinstance(error, RefusedError | BodyRefusedError):
        return error.failure
    if isinstance(error, web.RequestPayloadError):
        message = "the body did not arrive whole"
        return failures.Failure(codes.Code.BODY_INCOMPLETE, message)
    if status >= STATUS_SERVER_ERROR:
        LOG.error("inbound: A handler failed: {!r}.", error)
        return failures.Failure(codes.Code.INTERNAL, "an internal error")
    message = "the request is not valid HTTP/1.1"
    return failures.Failure(codes.Code.BAD_REQUEST, message)


def has_failed(messages: Any) -> bool:
    """Return whether the newest entry of the queue is an error of the parser."""
    return bool(messages) and isinstance(messages[-1][0], web_protocol._ErrInfo)


def head_cost(message: Any) -> int:
    """Return the memory of a parsed head."""
    if isinstance(message, web_protocol._ErrInfo):
        return 0
    lines = message.raw_headers
    size = len(message.path) + sum(len(name) + len(value) for name, value in lines)
    return REQUEST_COST_BYTES + size + len(lines) * LINE_COST_BYTES


def log_bounded(line: str) -> None:
    """Log a line that clients can cause, with the number of those left out."""
    if LOG_LIMITER.allows():
        left_out = LOG_LIMITER.take_suppressed()
        LOG.warning("inbound: {} ({} more lines left out)", line, left_out)


RequestFactory = Callable[..., web.BaseRequest]


class GuardedServer(web.Server):
    """Creates the connections of one listener.

    Parameters
    ----------
    handler : callable
        Handles the requests.
    listener_rules : rules.ListenerRules
        Limits of the listener.
    """

    def __init__(
        self, handler: Any, listener_rules: rules.ListenerRules, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self.rules = listener_rules
        self.make_request: RequestFactory = self.request_factory
        self.request_factory = self.start_request
        self.open_connections = listener_connections.ListenerConnections(
            listener_rules.max_connections
        )

    def __call__(self) -> web_protocol.RequestHandler:
        """Return the protocol handler of a new connection."""
        return self.make_connection(
            self, self.rules, self.open_connections, loop=self._loop, **self._kwargs
        )

    make_connection = GuardedConnection

    def start_request(
        self, message: Any, payload: Any, protocol: GuardedConnection, *others: Any
    ) -> web.BaseRequest:
        """Make the request that a connection runs next."""
        if message is web_protocol.ERROR:
            message = UNREADABLE_REQUEST
        else:
            protocol.start_request(message)
        return self.make_request(message, payload, protocol, *others)


class GuardedRunner(web.AppRunner):
    """Runs an application on guarded connections.

    Parameters
    ----------
    app : web.Application
        The application.
    listener_rules : rules.ListenerRules
        Limits of its listener.
    """

    __slots__ = ("rules",)
    server_class = GuardedServer

    def __init__(
        self,
        app: web.Application,
        listener_rules: rules.ListenerRules,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self.rules = listener_rules

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        return self.server_class(
            plain.request_handler,
            self.rules,
            request_factory=plain.request_factory,
            handler_cancellation=plain.handler_cancellation,
            loop=plain._loop,
            **plain._kwargs,
        )
