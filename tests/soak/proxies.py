"""Loopback proxies that delay, reset, cut or silence the connections through them."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65_536
POLL_S = 0.02


class Mode(enum.Enum):
    """What a link does with bytes."""

    PASS = "pass"
    DELAY = "delay"
    NO_REQUESTS = "no_requests"
    NO_ANSWERS = "no_answers"
    SILENT = "silent"


STOPS_REQUESTS = frozenset({Mode.NO_REQUESTS, Mode.SILENT})
STOPS_ANSWERS = frozenset({Mode.NO_ANSWERS, Mode.SILENT})


class Link:
    """A proxy in front of one address.

    Attributes
    ----------
    mode : Mode
        What happens to bytes from now on, on open connections too.
    delay_s : float
        How long each chunk is held in mode ``DELAY``.
    """

    def __init__(self, host, port, target_host, target_port):
        self.host = host
        self.port = port
        self.target_host = target_host
        self.target_port = target_port
        self.mode = Mode.PASS
        self.delay_s = 0.1
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def stop(self):
        self.server.close()
        self.reset()

    def reset(self):
        """Reset all connections that are open."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            there, back = await asyncio.open_connection(
                self.target_host, self.target_port
            )
        except OSError:
            self.writers.discard(writer)
            writer.transport.abort()
            return
        self.writers.add(back)
        passing = asyncio.gather(
            self.pump(reader, back, STOPS_REQUESTS),
            self.pump(there, writer, STOPS_ANSWERS),
        )
        try:
            await passing
        except (OSError, asyncio.CancelledError):
            # An end that was reset ends the other one too; cancelled at the end of
            # the soak, where nobody waits for this task.
            return
        finally:
            passing.cancel()
            for each in (writer, back):
                self.writers.discard(each)
                each.transport.abort()

    async def pump(self, reader, writer, stops):
        """Pass on bytes of one direction, and its end."""
        while data := await reader.read(CHUNK_BYTES):
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            while self.mode in stops:
                await asyncio.sleep(POLL_S)
            writer.write(data)
            await writer.drain()
        while self.mode in stops:
            await asyncio.sleep(POLL_S)
        with contextlib.suppress(OSError):
            writer.write_eof()
