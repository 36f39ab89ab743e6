"""Client connections that hand over bytes at once while somebody listens.

Waking a task for each token, and the buffer that lies before it, cost more than all
the checks of that token. A listener gets the bytes from the HTTP parser's callback
instead; without a listener they are buffered under aiohttp's flow control.
"""

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import client_proto, helpers, streams


class EngineConnection(client_proto.ResponseHandler):
    """One connection to a backend server.

    Attributes
    ----------
    arrived : list of bytes
        Parts of the body from the segment that is being parsed.
    receive : callable or None
        Gets the bytes of the response's body; they are buffered while it is ``None``.
    on_end : callable or None
        Called when the response's body has ended or failed.
    """

    receive: Callable[[bytes], None] | None = None
    on_end: Callable[[], None] | None = None

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.arrived: list[bytes] = []

    def data_received(self, data: bytes) -> None:
        """Take in a segment and hand over all its parts of the body at once.

        A gateway that is behind finds several tokens in one segment; they then leave
        in one event, which is what lets it catch up.
        """
        super().data_received(data)
        parts = self.arrived
        if parts and self.receive is not None:
            self.arrived = []
            self.receive(parts[0] if len(parts) == 1 else b"".join(parts))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that a reset has cut.

        A body without a length ends with its connection, and the base class takes any
        end for a good one.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)

    def hand_over(self) -> None:
        """Give the listener what has arrived before the body's end."""
        parts = self.arrived
        self.arrived = []
        if parts and self.receive is not None:
            self.receive(parts[0] if len(parts) == 1 else b"".join(parts))

    def leave(self) -> None:
        """Forget the listener."""
        self.receive = None
        self.on_end = None

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused.

        The stream reader asks for it after every read; the base class then runs the
        parser once more on nothing, for each token.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)


class PushReader(streams.StreamReader):
    """Body of a response that goes to the connection's listener.

    The parser makes a plain ``StreamReader``, which is given this class as soon as the
    headers are there; a subclass without slots has the same layout.
    """

    __slots__ = ()

    def feed_data(self, data: bytes, size: int = 0) -> bool:
        """Hand bytes to the listener, or buffer them if there is none."""
        if self._protocol.receive is None:
            return super().feed_data(data, size)
        self._protocol.arrived.append(data)
        return False

    def begin_http_chunk_receiving(self) -> None:
        """Ignore the bounds of HTTP chunks; only ``readchunk`` needs them."""

    def end_http_chunk_receiving(self) -> None:
        """Ignore the bounds of HTTP chunks; only ``readchunk`` needs them."""

    def feed_eof(self) -> None:
        """Note the end and tell the listener."""
        on_end = self._protocol.on_end
        self._protocol.hand_over()
        super().feed_eof()
        if on_end is not None:
            on_end()

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException = helpers._EXC_SENTINEL
    ) -> None:
        """Note a failure and tell the listener."""
        on_end = self._protocol.on_end
        self._protocol.hand_over()
        super().set_exception(exc, exc_cause)
        if on_end is not None:
            on_end()


class EngineConnector(aiohttp.TCPConnector):
    """Connector whose connections can have a listener."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(EngineConnection, loop=self._loop)


def listen_to(
    response: aiohttp.ClientResponse, on_end: Callable[[], None]
) -> EngineConnection | None:
    """Prepare a response for a listener; return ``None`` if its body is all there."""
    if response.connection is None:
        return None
    connection = response.connection.protocol
    assert isinstance(connection, EngineConnection)
    response.content._http_chunk_splits = None
    response.content.__class__ = PushReader
    connection.on_end = on_end
    return connection
