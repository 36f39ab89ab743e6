"""Connections of the callers' listeners: their limits and error responses."""

import socket
from collections.abc import Callable
from typing import Any

from aiohttp import web, web_protocol

from quetzalpass import ids
from quetzalpass.callers import errors
from quetzalpass.inbound import connections, rules
from quetzalpass.results import failures
from quetzalpass.settings import schema

KEEP_ALIVE_PROBES = 3
IDLE_TIMEOUT_S = 75.0
MS_PER_S = 1000


class CallerRules(rules.ListenerRules):
    """Limits that the settings of this process give.

    Parameters
    ----------
    limits : schema.Limits
        Limits of this process.
    new_request_id : callable
        Returns an id for a request that could not be read.
    idle_s : float
        How long a connection without a request is kept open, in seconds.
    """

    def __init__(
        self,
        limits: schema.Limits,
        new_request_id: Callable[[], ids.RequestId],
        idle_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self.limits = limits
        self.new_request_id = new_request_id
        self.idle_s = idle_s

    def timeouts(self) -> rules.Timeouts:
        """Return the timeouts of a new connection; see the base class."""
        return rules.Timeouts(self.limits.header_timeout_s, self.idle_s)

    def max_head_bytes(self) -> int:
        """Return the limit on a head; see the base class."""
        return self.limits.head_bytes

    def max_connections(self) -> int:
        """Return the limit on connections; see the base class."""
        return self.limits.connections

    def error_response(self, failure: failures.Failure) -> web.Response:
        """Return the response to a request that was not read; see the base class."""
        return errors.error_response(failure, self.new_request_id())


class CallerConnection(connections.GuardedConnection):
    """One caller's connection, which ends when the caller's host is silent."""

    def connection_made(self, transport: Any) -> None:
        """Let the kernel watch the caller, and buffer little for it."""
        super().connection_made(transport)
        limits = self.rules.limits
        enable_keep_alive(transport, limits.silent_caller_s)
        limit_send_buffer(transport, limits.slow_caller_bytes)


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


class CallersServer(connections.GuardedServer):
    """Creates the connections of a callers' listener."""

    make_connection = CallerConnection


class CallersRunner(connections.GuardedRunner):
    """Runs the callers' application on ``CallerConnection`` objects."""

    server_class = CallersServer

    async def _make_server(self) -> web_protocol.RequestHandler:
        server = await super()._make_server()
        # A generation outlives its caller's connection, so that it can be resumed.
        server.handler_cancellation = False
        return server
