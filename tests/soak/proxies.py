"""Loopback proxies that can delay, block or reset the connections through them."""

import asyncio
import contextlib
import enum
import os
import pathlib
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
    """How the path from one process to all proxies is cut."""

    SILENT = "silent"
    RESET = "reset"
    NEW_RESET = "new connections reset"


class Cuts:
    """Processes that are cut off from all proxies that share this object.

    A proxy can't tell processes apart by their address, as all connect from the same
    one. The kernel's tables tell which process owns a connection.

    Attributes
    ----------
    processes : dict of int to Cut
        How each process that is cut off is cut, by process id.
    connections : dict of writer to int
        Process at the other end of each open connection, by its writer.
    observed : list of int
        Process ids whose connections are attributed.
    """

    def __init__(self):
        self.processes = {}
        self.connections = {}
        self.observed = []

    def cut(self, process_id, how):
        self.processes[process_id] = how
        if how is Cut.RESET:
            for writer, owner in list(self.connections.items()):
                if owner == process_id:
                    writer.transport.abort()

    def cut_of(self, writer):
        return self.processes.get(self.connections.get(writer))

    def attribute(self, writer):
        """Find out which process owns a new connection."""
        inode = socket_inode(writer.get_extra_info("peername"))
        for process_id in self.observed:
            if inode is not None and inode in socket_inodes(process_id):
                self.connections[writer] = process_id

    def forget(self, writer):
        self.connections.pop(writer, None)


def socket_inode(address):
    """Return the inode of the socket that is bound to a loopback address."""
    host, port = address[:2]
    packed = bytes(reversed(socket.inet_aton(host))).hex().upper()
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == f"{packed}:{port:04X}":
            return fields[9]
    return None


def socket_inodes(process_id):
    """Return the inodes of the sockets that a process has open."""
    found = set()
    with contextlib.suppress(OSError):
        for each in os.scandir(f"/proc/{process_id}/fd"):
            with contextlib.suppress(OSError):
                target = os.readlink(each.path)
                if target.startswith("socket:["):
                    found.add(target[len("socket:[") : -1])
    return found


class Link:
    """A TCP proxy for one target address.

    Attributes
    ----------
    mode : Mode
        How bytes are forwarded, on open connections too.
    delay_s : float
        Delay of each chunk in mode ``DELAY``.
    cuts : Cuts or None
        Processes that are cut off from this proxy.
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
            self.cuts.attribute(writer)
            if self.cuts.cut_of(writer) in (Cut.RESET, Cut.NEW_RESET):
                self.cuts.forget(writer)
                writer.transport.abort()
                return
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
