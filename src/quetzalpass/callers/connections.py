"""Connections of the callers' listener: limits, timeouts and parser errors."""

import socket
from collections.abc import Callable
from typing import Any

import logbook
import msgspec
from aiohttp import http_exceptions, streams, web, web_protocol

from quetzalpass import ids
from quetzalpass.callers import errors
from quetzalpass.results import codes, failures
from quetzalpass.settings import schema

LOG = logbook.Logger("callers")

KEEP_ALIVE_PROBES = 3
IDLE_TIMEOUT_S = 75.0
MS_PER_S = 1000
STATUS_SERVER_ERROR = 500


class CallerTimeouts(msgspec.Struct, frozen=True):
    """Timeouts of a caller's connection.

    Attributes
    ----------
    header_s : float
        From a new connection to its first complete request header, in seconds.
    idle_s : float
        From a response to the next request on the connection, in seconds.
    """

    header_s: float
    idle_s: float


class CallerConnection(web.RequestHandler):
    """One caller's connection.

    Parameters
    ----------
    limits : schema.Limits
        Limits of this process.
    new_request_id : callable
        Returns an id for a request that could not be parsed.
    timeouts : callable
        Returns the timeouts that are in force. A connection keeps those that were in
        force when it was opened.

    Attributes
    ----------
    latest_payload : aiohttp.StreamReader or None
        Body of the newest request.
    has_partial_header : bool
        Whether the latest bytes are the beginning of a request's header.
    """

    def __init__(
        self,
        server: web.Server,
        limits: schema.Limits,
        new_request_id: Callable[[], ids.RequestId],
        timeouts: Callable[[], CallerTimeouts],
        **options: Any,
    ) -> None:
        super().__init__(server, keepalive_timeout=timeouts().idle_s, **options)
        self.timeouts = timeouts
        self.limits = limits
        self.new_request_id = new_request_id
        self.latest_payload: streams.StreamReader | None = None
        self.has_partial_header = False

    def connection_made(self, transport: Any) -> None:
        """Set up the connection, or close it if there are too many."""
        super().connection_made(transport)
        if len(self._manager.connections) > self.limits.connections:
            LOG.warning(
                "callers: Closed a connection above the limit of {}.",
                self.limits.connections,
            )
            transport.abort()
            return
        enable_keep_alive(transport, self.limits.silent_caller_s)
        limit_send_buffer(transport, self.limits.slow_caller_bytes)
        self._loop.call_later(self.timeouts().header_s, self.close_if_unused)

    @property
    def has_received_request(self) -> bool:
        """Return whether a request header has arrived on this connection."""
        return self._request_count > 0

    def close_if_unused(self) -> None:
        """Close the connection if its first request hasn't arrived yet."""
        if not self.has_received_request and self.transport is not None:
            LOG.info("callers: Closed a connection that sent no complete header.")
            self.force_close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being received or served.

        The base class's ``close`` leaves an idle connection open, so that a later
        request on it would never be read, and discards the rest of a body that is
        still arriving, so that its request would never be answered.
        """
        is_idle = self._waiter is not None and not self._messages
        if is_idle and not self.has_partial_header:
            self.force_close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and store the body of the newest request."""
        payload = self.latest_payload
        is_body = payload is not None and not payload.is_eof()
        received_before = self._request_count
        super().data_received(data)
        has_new_request = self._request_count > received_before
        self.has_partial_header = not is_body and not has_new_request
        if self._messages:
            self.latest_payload = self._messages[-1][1]

    def eof_received(self) -> bool:
        """Fail a body that ended early; otherwise treat the caller as disconnected.

        The request of an incomplete body still gets an error response. A caller that
        closes its sending half while it waits for a response can't be distinguished
        from one that has disconnected, and is treated as such.
        """
        payload = self.latest_payload
        if payload is None or payload.is_eof():
            return False
        payload.set_exception(web.RequestPayloadError("the body ended early"))
        payload.feed_eof()
        self.close()
        return True

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = STATUS_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return an error response: parsing the request or its handler failed.

        No part of the request or of the parser's message is echoed.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("the response was already being sent")
        if status >= STATUS_SERVER_ERROR:
            LOG.error("callers: A handler failed: {!r}.", exc)
        failure = http_failure(status, exc, self.limits)
        response = errors.error_response(failure, self.new_request_id())
        response.force_close()
        return response


def http_failure(
    status: int, error: BaseException | None, limits: schema.Limits
) -> failures.Failure:
    """Return the failure to report if parsing a request or its handler failed."""
    if status >= STATUS_SERVER_ERROR:
        return failures.Failure(codes.Code.INTERNAL, "an internal error")
    if isinstance(error, http_exceptions.LineTooLong):
        return failures.Failure(
            codes.Code.BAD_HEADER,
            f"the request line is longer than {limits.line_bytes} bytes or a header "
            f"than {limits.header_bytes}",
        )
    # The parser's other errors can only be distinguished by their text.
    in_header = "header" in str(error).lower()
    if in_header or isinstance(error, http_exceptions.InvalidHeader):
        return failures.Failure(codes.Code.BAD_HEADER, "a header is malformed")
    return failures.Failure(codes.Code.BAD_REQUEST, "the request is not valid HTTP/1.1")


def enable_keep_alive(transport: Any, silent_s: float) -> None:
    """Let the kernel close a connection whose other end stops responding."""
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is None:
        return
    idle_s = max(1, int(silent_s / 2))
    interval_s = max(1, int(silent_s / 2 / KEEP_ALIVE_PROBES))
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silent_s * MS_PER_S)
    )


def limit_send_buffer(transport: Any, size_bytes: int) -> None:
    """Limit the bytes that the kernel buffers for a caller that does not read.

    Without a limit, the kernel buffers megabytes.
    """
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is not None:
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes)


class CallersServer(web.Server):
    """Creates the connections of the callers' listener."""

    def __init__(
        self,
        handler: Any,
        *,
        limits: schema.Limits,
        new_request_id: Callable[[], ids.RequestId],
        timeouts: Callable[[], CallerTimeouts],
        **options: Any,
    ) -> None:
        self.limits = limits
        self.new_request_id = new_request_id
        self.timeouts = timeouts
        super().__init__(handler, **options)

    def __call__(self) -> web_protocol.RequestHandler:
        """Return the protocol handler of a new connection."""
        return CallerConnection(
            self,
            self.limits,
            self.new_request_id,
            self.timeouts,
            loop=self._loop,
            **self._kwargs,
        )


class CallersRunner(web.AppRunner):
    """Runs the callers' application on ``CallerConnection`` objects.

    Parameters
    ----------
    app : web.Application
        The callers' interface.
    limits : schema.Limits
        Limits of this process.
    new_request_id : callable
        Returns an id for a request that could not be parsed.
    keepalive_timeout : float
        How long a connection without a request is kept open, in seconds.
    """

    __slots__ = ("idle_s", "limits", "new_request_id")

    def __init__(
        self,
        app: web.Application,
        limits: schema.Limits,
        new_request_id: Callable[[], ids.RequestId],
        keepalive_timeout: float = IDLE_TIMEOUT_S,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self.idle_s = keepalive_timeout
        self.limits = limits
        self.new_request_id = new_request_id

    async def _make_server(self) -> web.Server:
        base_server = await super()._make_server()
        return CallersServer(
            base_server.request_handler,
            request_factory=base_server.request_factory,
            loop=base_server._loop,
            limits=self.limits,
            new_request_id=self.new_request_id,
            timeouts=self.timeouts,
            **base_server._kwargs,
        )

    def timeouts(self) -> CallerTimeouts:
        """Return the timeouts that the settings of this process give."""
        return CallerTimeouts(self.limits.header_timeout_s, self.idle_s)
