"""Connections of the callers' listener: caps, silent callers, numbered errors."""

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
IDLE_CONNECTION_S = 75.0
MS_PER_S = 1000
STATUS_SERVER_ERROR = 500


class CallerTimeouts(msgspec.Struct, frozen=True):
    """How long a caller may take.

    Attributes
    ----------
    header_s : float
        From a new connection to its first whole request header, in seconds.
    idle_s : float
        From an answer to the next request on its connection, in seconds.
    """

    header_s: float
    idle_s: float


class CallerConnection(web.RequestHandler):
    """One caller's connection.

    Parameters
    ----------
    limits : schema.Limits
        Caps of this process.
    new_request_id : callable
        Gives the id of a request that could not be parsed.
    timeouts : callable
        Returns the timeouts that are in force; a connection keeps those of its opening.

    Attributes
    ----------
    latest_payload : aiohttp.StreamReader or None
        Body of the newest request.
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

    def connection_made(self, transport: Any) -> None:
        """Note the connection, or close it if there are too many."""
        super().connection_made(transport)
        if len(self._manager.connections) > self.limits.connections:
            LOG.warning(
                "callers: Closed a connection above the limit of {}.",
                self.limits.connections,
            )
            transport.abort()
            return
        watch_for_silence(transport, self.limits.silent_caller_s)
        bound_send_buffer(transport, self.limits.slow_caller_bytes)
        self._loop.call_later(self.timeouts().header_s, self.close_if_unused)

    def close_if_unused(self) -> None:
        """Close the connection unless its first request has arrived by now."""
        if self._request_count == 0 and self.transport is not None:
            LOG.info("callers: Closed a connection that sent no whole header.")
            self.force_close()

    def close_gracefully(self) -> None:
        """Close the connection, at once if it is idle, else after its answers.

        The base class's ``close`` ends the task of an idle connection and leaves the
        connection open, so that a request on it would never be read.
        """
        is_idle = self._waiter is not None and not self._messages
        if is_idle:
            self.force_close()
        else:
            self.close()

    def data_received(self, data: bytes) -> None:
        """Take in bytes and remember which body is being received."""
        super().data_received(data)
        if self._messages:
            self.latest_payload = self._messages[-1][1]

    def eof_received(self) -> bool:
        """Let a body that ended early be answered; else the caller has gone.

        A caller that closes its sending half while it waits for an answer can't be
        told from one that has gone, and counts as gone.
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
        """Answer a request that could not be parsed, or whose handler failed.

        Nothing of the request or of the parser's message is echoed.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("the answer had begun before the error")
        if status >= STATUS_SERVER_ERROR:
            LOG.error("callers: A handler failed: {!r}.", exc)
        failure = failure_of(status, exc, self.limits)
        response = errors.error_response(failure, self.new_request_id())
        response.force_close()
        return response


def failure_of(
    status: int, error: BaseException | None, limits: schema.Limits
) -> failures.Failure:
    """Return the numbered failure of a request that could not be parsed."""
    if status >= STATUS_SERVER_ERROR:
        return failures.Failure(codes.Code.INTERNAL, "an internal error")
    if isinstance(error, http_exceptions.LineTooLong):
        return failures.Failure(
            codes.Code.BAD_HEADER,
            f"the request line is longer than {limits.line_bytes} bytes or a header "
            f"than {limits.header_bytes}",
        )
    # The parser's own errors differ only in their text.
    in_header = "header" in str(error).lower()
    if in_header or isinstance(error, http_exceptions.InvalidHeader):
        return failures.Failure(codes.Code.BAD_HEADER, "a header is malformed")
    return failures.Failure(codes.Code.BAD_REQUEST, "the request is not valid HTTP/1.1")


def watch_for_silence(transport: Any, silent_s: float) -> None:
    """Let the kernel close a connection whose other end has gone without a word."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    idle_s = max(1, int(silent_s / 2))
    interval_s = max(1, int(silent_s / 2 / KEEP_ALIVE_PROBES))
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silent_s * MS_PER_S)
    )


def bound_send_buffer(transport: Any, size_bytes: int) -> None:
    """Keep the kernel from holding megabytes for a caller that does not read."""
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size_bytes)


class CallersServer(web.Server):
    """Makes the connections of the callers' listener."""

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
        """Return the protocol of a new connection."""
        return CallerConnection(
            self,
            self.limits,
            self.new_request_id,
            self.timeouts,
            loop=self._loop,
            **self._kwargs,
        )


class CallersRunner(web.AppRunner):
    """Runs the callers' application on connections of its own kind.

    Parameters
    ----------
    app : web.Application
        The callers' interface.
    limits : schema.Limits
        Caps of this process.
    new_request_id : callable
        Gives the id of a request that could not be parsed.
    keepalive_timeout : float
        How long a connection without a request is kept, in seconds.
    """

    __slots__ = ("idle_s", "limits", "new_request_id")

    def __init__(
        self,
        app: web.Application,
        limits: schema.Limits,
        new_request_id: Callable[[], ids.RequestId],
        keepalive_timeout: float = IDLE_CONNECTION_S,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self.idle_s = keepalive_timeout
        self.limits = limits
        self.new_request_id = new_request_id

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        return CallersServer(
            plain.request_handler,
            request_factory=plain.request_factory,
            loop=plain._loop,
            limits=self.limits,
            new_request_id=self.new_request_id,
            timeouts=self.timeouts,
            **plain._kwargs,
        )

    def timeouts(self) -> CallerTimeouts:
        """Return the times of this process's settings."""
        return CallerTimeouts(self.limits.header_timeout_s, self.idle_s)
