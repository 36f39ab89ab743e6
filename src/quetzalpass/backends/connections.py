"""Client connections that pass received bytes directly to a listener.

Waking a task for each token and buffering the token cost more CPU time than all its
checks. A listener is therefore called from the HTTP parser's callback. Without a
listener the bytes are buffered under aiohttp's flow control.
"""

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import aiohttp
import logbook
from aiohttp import client_proto, helpers, http_exceptions, streams

LOG = logbook.Logger("backends")

# The parser limits each line, but not the number of interim responses before the head.
MAX_HEAD_BYTES = 1024 * 1024
FIRST_FINAL_STATUS = 200
# HTTP defines no classes of statuses beyond 1xx to 5xx.
STATUSES = range(100, 600)
FINAL_STATUSES = range(FIRST_FINAL_STATUS, 600)


class EngineConnection(client_proto.ResponseHandler):
    """One connection to a backend server.

    Attributes
    ----------
    body_parts : list of bytes
        Parts of the body in the data that is being parsed.
    head_bytes : int
        Bytes received since the last complete response head.
    is_head_due : bool
        Whether a request has been or will be sent whose response has not begun.
    on_data : callable or None
        Called with bytes of the response body; they are buffered while it is ``None``.
    on_end : callable or None
        Called when the response body has ended or failed.
    """

    on_data: Callable[[bytes], None] | None = None
    on_end: Callable[[], None] | None = None

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.body_parts: list[bytes] = []
        self.head_bytes = 0
        self.is_head_due = False

    def set_response_params(self, **options: Any) -> None:
        """Expect the response to a request, which is sent after this call."""
        self.is_head_due = True
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse received data and pass all its body parts to the listener at once.

        A gateway that lags behind receives several tokens at once. It forwards them in
        one event, which lets it catch up.
        """
        if self._payload is None or self._payload.is_eof():
            if data and not self.is_head_due:
                self.reject_surplus(f"{len(data)} bytes")
                return
            self.head_bytes += len(data)
        super().data_received(data)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.set_exception(
                aiohttp.ClientPayloadError(f"no head within {MAX_HEAD_BYTES} bytes")
            )
            if self.transport is not None:
                self.transport.abort()
        parts = self.body_parts
        if parts and self.on_data is not None:
            self.body_parts = []
            self.on_data(parts[0] if len(parts) == 1 else b"".join(parts))

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass on a parsed response; interim responses belong to the head."""
        message, _ = data
        if not self.is_head_due:
            self.reject_surplus(f"a response with status {message.code}")
            return
        if message.code not in STATUSES:
            self.reject_status(message.code)
            return
        if message.code >= FIRST_FINAL_STATUS:
            self.head_bytes = 0
            self.is_head_due = False
        super().feed_data(data, size)

    def reject_status(self, status: int) -> None:
        """Fail a response whose status HTTP doesn't have, as no response at all.

        A caller would get it as an answer, though nothing says what it means.
        """
        error = http_exceptions.BadStatusLine(f"status {status} does not exist")
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def reject_surplus(self, received: str) -> None:
        """Close the connection, as something has arrived that belongs to no request.

        It would be taken as the response to the next request on the connection.
        """
        self.force_close()
        if self.transport is None:
            return
        server = self.transport.get_extra_info("peername")
        LOG.warning("backends: {} from {} belongs to no request.", received, server)
        self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response body that is truncated by a connection reset.

        A body without a length ends when the connection closes. The base class regards
        it as complete even if the connection was reset.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)

    def flush_body_parts(self) -> None:
        """Pass the parts that were received before the body's end to the listener."""
        parts = self.body_parts
        self.body_parts = []
        if parts and self.on_data is not None:
            self.on_data(parts[0] if len(parts) == 1 else b"".join(parts))

    def remove_listener(self) -> None:
        """Remove the listener."""
        self.on_data = None
        self.on_end = None

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused.

        The stream reader calls this after every read. The base class would then run the
        parser on empty input, once for each token.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)


class PushReader(streams.StreamReader):
    """Response body that is passed to the connection's listener.

    The parser creates a plain ``StreamReader``. Its ``__class__`` is set to this class
    once the headers have been received, which works because a subclass without slots of
    its own has the same memory layout.
    """

    __slots__ = ()

    def feed_data(self, data: bytes, size: int = 0) -> bool:
        """Collect bytes for the listener, or buffer them if there is none."""
        if self._protocol.on_data is None:
            return super().feed_data(data, size)
        self._protocol.body_parts.append(data)
        return False

    def begin_http_chunk_receiving(self) -> None:
        """Ignore boundaries of HTTP chunks; only ``readchunk`` needs them."""

    def end_http_chunk_receiving(self) -> None:
        """Ignore boundaries of HTTP chunks; only ``readchunk`` needs them."""

    def feed_eof(self) -> None:
        """Record the end of the body and notify the listener."""
        on_end = self._protocol.on_end
        self._protocol.flush_body_parts()
        super().feed_eof()
        if on_end is not None:
            on_end()

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException = helpers._EXC_SENTINEL
    ) -> None:
        """Record a failure and notify the listener."""
        on_end = self._protocol.on_end
        self._protocol.flush_body_parts()
        super().set_exception(exc, exc_cause)
        if on_end is not None:
            on_end()


class EngineConnector(aiohttp.TCPConnector):
    """Connector whose connections can have a listener."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(EngineConnection, loop=self._loop)


def attach_listener(
    response: aiohttp.ClientResponse, on_end: Callable[[], None]
) -> EngineConnection | None:
    """Attach a listener to the connection of a response.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response whose headers have been received.
    on_end : callable
        Called when the body has ended or failed.

    Returns
    -------
    EngineConnection or None
        The connection, whose ``on_data`` is still to be set; ``None`` if the whole body
        has been received.
    """
    if response.connection is None:
        return None
    connection = response.connection.protocol
    assert isinstance(connection, EngineConnection)
    response.content._http_chunk_splits = None
    response.content.__class__ = PushReader
    connection.on_end = on_end
    return connection
