"""Client connections that hand over bytes at once while somebody listens.

Waking a task for each token, and the buffer that lies before it, cost more than all
the checks of that token. A listener gets the bytes from the HTTP parser's callback
instead; without a listener they are buffered under aiohttp's flow control.
"""

import functools
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import client_proto, helpers, streams


class EngineConnection(client_proto.ResponseHandler):
    """One connection to a backend server.

    Attributes
    ----------
    receive : callable or None
        Gets the bytes of the response's body; they are buffered while it is ``None``.
    on_end : callable or None
        Called when the response's body has ended or failed.
    """

    receive: Callable[[bytes], None] | None = None
    on_end: Callable[[], None] | None = None

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
        receive = self._protocol.receive
        if receive is None:
            return super().feed_data(data, size)
        receive(data)
        return False

    def begin_http_chunk_receiving(self) -> None:
        """Ignore the bounds of HTTP chunks; only ``readchunk`` needs them."""

    def end_http_chunk_receiving(self) -> None:
        """Ignore the bounds of HTTP chunks; only ``readchunk`` needs them."""

    def feed_eof(self) -> None:
        """Note the end and tell the listener."""
        on_end = self._protocol.on_end
        super().feed_eof()
        if on_end is not None:
            on_end()

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException = helpers._EXC_SENTINEL
    ) -> None:
        """Note a failure and tell the listener."""
        on_end = self._protocol.on_end
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
