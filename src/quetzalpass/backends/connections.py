"""Client connections that tell a listener at once when something arrived.

Waking a task for each token costs more than all the checks of that token. The
listener is called from the connection's own callback instead.
"""

import functools
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import client_proto


class EngineConnection(client_proto.ResponseHandler):
    """One connection to a backend server.

    Attributes
    ----------
    listener : callable or None
        Called after bytes were taken in, and after the connection was lost.
    """

    listener: Callable[[], None] | None = None

    def data_received(self, data: bytes) -> None:
        """Take in bytes and call the listener."""
        super().data_received(data)
        if self.listener is not None:
            self.listener()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it was paused.

        The stream reader asks for it after every read; the base class then runs the
        parser once more on nothing, for each token.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the end of the connection and call the listener."""
        super().connection_lost(exc)
        if self.listener is not None:
            self.listener()


class EngineConnector(aiohttp.TCPConnector):
    """Connector whose connections can have a listener."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(EngineConnection, loop=self._loop)
