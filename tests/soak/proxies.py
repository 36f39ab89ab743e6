"""Loopback proxies that can delay, block or reset the connections through them."""

import asyncio
import contextlib
import enum
import socket

CHUNK_BYTES = 65_536
POLL_S = 0.02
# More than a listening socket with a backlog of 0 accepts.
BACKLOG_CONNECTIONS = 4


class Mode(enum.Enum):
    """Which bytes a proxy forwards."""

    PASS = "pass"
    DELAY = "delay"
    NO_REQUESTS = "no_requests"
    NO_RESPONSES = "no_responses"
    SILENT = "silent"


BLOCKS_REQUESTS = frozenset({Mode.NO_REQUESTS, Mode.SILENT})
BLOCKS_RESPONSES = frozenset({Mode.NO_RESPONSES, Mode.SILENT})


class Cut(enum.Enum):
    """How the path from one node to all proxies is cut."""

    SILENT = "silent"
    RESET = "reset"
    NEW_RESET = "new connections reset"


class Cuts:
    """Nodes that are cut off from all proxies that share this object.

    The nodes must connect from their own addresses, see ``run_bound``.

    Attributes
    ----------
    nodes : dict of str to Cut
        How each node that is cut off is cut, by its address.
    connections : dict of writer to str
        Address at the other end of each open connection, by its writer.
    """

    def __init__(self):
        self.nodes = {}
        self.connections = {}

    def cut(self, ip, how):
        self.nodes[ip] = how
        if how is Cut.RESET:
            for writer, other in list(self.connections.items()):
                if other == ip:
                    writer.transport.abort()

    def cut_of(self, writer):
        return self.nodes.get(writer.get_extra_info("peername")[0])

    def add(self, writer):
        self.connections[writer] = writer.get_extra_info("peername")[0]

    def forget(self, writer):
        self.connections.pop(writer, None)


class Link:
    """A TCP proxy for one target address.

    Attributes
    ----------
    mode : Mode
        How bytes are forwarded, on open connections too.
    delay_s : float
        Delay of each chunk in mode ``DELAY``.
    cuts : Cuts or None
        Nodes that are cut off from this proxy.
    """

    def __init__(self, host, port, target_host, target_port):
        self.host = host
        self.port = port
        self.target_host = target_host
        self.target_port = target_port
        self.mode = Mode.PASS
        self.delay_s = 0.1
        self.writers = set()
        self.full_backlog = []
        self.cuts = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def stop(self):
        self.server.close()
        self.reset()
        for each in self.full_backlog:
            each.close()
        self.full_backlog = []

    def fall_silent(self):
        """Drop the bytes of open connections and the packets that open new ones.

        The kernel drops these while the backlog of a listening socket is full.
        """
        self.mode = Mode.SILENT
        self.server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(0)
        self.full_backlog.append(listener)
        for _ in range(BACKLOG_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.full_backlog.append(filler)

    def reset(self):
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.cuts is not None:
            if self.cuts.cut_of(writer) in (Cut.RESET, Cut.NEW_RESET):
                writer.transport.abort()
                return
            self.cuts.add(writer)
        self.writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target_host, self.target_port
            )
        except OSError:
            self.writers.discard(writer)
            writer.transport.abort()
            return
        self.writers.add(target_writer)
        forwarding = asyncio.gather(
            self.forward(reader, target_writer, BLOCKS_REQUESTS, writer),
            self.forward(target_reader, writer, BLOCKS_RESPONSES, writer),
        )
        try:
            await forwarding
        except (OSError, asyncio.CancelledError):
            # If one side is reset, the other one is too. Cancellation at the end of the
            # run is ignored: nothing awaits this task.
            return
        finally:
            forwarding.cancel()
            if self.cuts is not None:
                self.cuts.forget(writer)
            for each in (writer, target_writer):
                self.writers.discard(each)
                each.transport.abort()

    def is_blocked(self, blocking_modes, client):
        """Return whether a direction of the connection of a client is blocked now."""
        if self.cuts is not None and self.cuts.cut_of(client) is Cut.SILENT:
            return True
        return self.mode in blocking_modes

    async def forward(self, reader, writer, blocking_modes, client):
        """Forward the bytes of one direction, then the end of the stream."""
        while data := await reader.read(CHUNK_BYTES):
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            while self.is_blocked(blocking_modes, client):
                await asyncio.sleep(POLL_S)
            writer.write(data)
            await writer.drain()
        while self.is_blocked(blocking_modes, client):
            await asyncio.sleep(POLL_S)
        with contextlib.suppress(OSError):
            writer.write_eof()
