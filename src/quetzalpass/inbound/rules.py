"""Limits of a listener, and how it reports that one of them was exceeded."""

import abc

import msgspec
from aiohttp import web

from quetzalpass.results import codes, failures

RETRY_AFTER_MS = 1_000
MS_PER_S = 1_000
# A name of one character, a colon and CRLF.
MIN_HEADER_LINE_BYTES = 4


class Timeouts(msgspec.Struct, frozen=True):
    """Timeouts of a connection.

    Attributes
    ----------
    header_s : float
        From the first byte of a request's head, or from the opening of the connection,
        to the end of that head, in seconds.
    idle_s : float
        From a response to the next request on the connection, in seconds.
    """

    header_s: float
    idle_s: float


class ListenerRules(abc.ABC):
    """Limits of one listener. Those that may change are asked for at each use."""

    @abc.abstractmethod
    def timeouts(self) -> Timeouts:
        """Return the timeouts of a new connection."""

    @abc.abstractmethod
    def max_head_bytes(self) -> int:
        """Return the most bytes of a request line and its header lines together."""

    @abc.abstractmethod
    def max_connections(self) -> int:
        """Return the most connections that are open at a time."""

    @abc.abstractmethod
    def error_response(self, failure: failures.Failure) -> web.Response:
        """Return the response to a request that was refused before it was read."""


class FixedRules(ListenerRules):
    """Limits of a listener for other processes of the system, and for operators.

    Parameters
    ----------
    connections : int
        Most connections that are open at a time.
    """

    HEAD_BYTES = 65_536
    TIMEOUTS = Timeouts(header_s=5.0, idle_s=75.0)

    def __init__(self, connections: int) -> None:
        self.connections = connections

    def timeouts(self) -> Timeouts:
        """Return the timeouts; see the base class."""
        return self.TIMEOUTS

    def max_head_bytes(self) -> int:
        """Return the limit on a head; see the base class."""
        return self.HEAD_BYTES

    def max_connections(self) -> int:
        """Return the limit on connections; see the base class."""
        return self.connections

    def error_response(self, failure: failures.Failure) -> web.Response:
        """Return the failure as text; see the base class."""
        response = web.Response(
            status=codes.spec_of(failure.code).http_status,
            text=f"{failure.code.value} {failure.message}\n",
        )
        if failure.retry_after_ms is not None:
            seconds = -(-failure.retry_after_ms // MS_PER_S)
            response.headers["Retry-After"] = str(seconds)
        return response


def no_room_failure() -> failures.Failure:
    """Return the failure of a request for which this process has no room."""
    return failures.Failure(
        codes.Code.QUEUE_FULL,
        "the requests of all callers together are too large",
        codes.Execution.NOT_RUN,
        RETRY_AFTER_MS,
    )
