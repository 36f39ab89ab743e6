"""Crowds of clients that press one listener of a process, and what that process holds.

Each member of a crowd sends the same bytes and opens its connection again when it is
closed. The size of a crowd and the time for which it presses are fixed by the tests.
"""

import asyncio
import contextlib
import os
import pathlib
import socket
import struct

SAMPLE_INTERVAL_S = 0.05
REOPEN_S = 0.01
CONNECT_TIMEOUT_S = 2.0
WRITE_BYTES = 65_536


class Flood:
    """What each member of a crowd sends on a connection.

    Parameters
    ----------
    start : bytes
        Sent once.
    block : bytes
        Sent again and again afterwards; nothing more if it is empty.
    repeats : int or None
        How often the block is sent; without end if it is ``None``.
    interval_s : float
        Pause between two blocks, in seconds.
    reads : bool
        Whether the member reads what it is sent.
    """

    def __init__(self, start=b"", block=b"", repeats=None, interval_s=0.0, reads=True):
        self.start = start
        self.block = block
        self.repeats = repeats
        self.interval_s = interval_s
        self.reads = reads

    async def send(self, writer):
        """Send everything, then wait until the connection is closed."""
        for offset in range(0, len(self.start), WRITE_BYTES):
            writer.write(self.start[offset : offset + WRITE_BYTES])
            await writer.drain()
        count = 0
        while self.block and (self.repeats is None or count < self.repeats):
            writer.write(self.block)
            await writer.drain()
            await asyncio.sleep(self.interval_s)
            count += 1
        await asyncio.Event().wait()


class Crowd:
    """Many connections to one address.

    Attributes
    ----------
    opened : int
        Connections that were opened so far.
    """

    def __init__(self, host, port, flood, size):
        self.host = host
        self.port = port
        self.flood = flood
        self.size = size
        self.opened = 0

    async def press(self, seconds):
        """Let all members send for a time, then close their connections."""
        members = [asyncio.create_task(self.run_member()) for _ in range(self.size)]
        await asyncio.sleep(seconds)
        for each in members:
            each.cancel()
        await asyncio.gather(*members, return_exceptions=True)

    async def run_member(self):
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self.use_connection()
            await asyncio.sleep(REOPEN_S)

    async def use_connection(self):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                self.host, self.port, limit=WRITE_BYTES
            )
        self.opened += 1
        sending = asyncio.create_task(self.flood.send(writer))
        ending = asyncio.create_task(self.wait_for_end(reader))
        try:
            await asyncio.wait((sending, ending), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in (sending, ending):
                each.cancel()
            await asyncio.gather(sending, ending, return_exceptions=True)
            writer.transport.abort()

    async def wait_for_end(self, reader):
        if not self.flood.reads:
            await asyncio.Event().wait()
        while await reader.read(WRITE_BYTES):
            pass


class ProcessWatch:
    """Samples what a process holds.

    Parameters
    ----------
    pid : int
        The process.
    ip : str
        Address to which its connections are bound.
    port : int or None
        Its port; any if it is ``None``.

    Attributes
    ----------
    memory_bytes : int
        Most memory so far: what is resident, and what has arrived and isn't read.
    resident_bytes, unread_bytes : int
        The most of each.
    descriptors : int
        Most open descriptors so far.
    """

    def __init__(self, pid, ip, port=None):
        self.pid = pid
        self.ip = ip
        self.port = port
        self.memory_bytes = 0
        self.resident_bytes = 0
        self.unread_bytes = 0
        self.descriptors = 0

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self):
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            resident = resident_bytes(self.pid)
            unread = unread_bytes(self.ip, self.port)
            self.resident_bytes = max(self.resident_bytes, resident)
            self.unread_bytes = max(self.unread_bytes, unread)
            self.memory_bytes = max(self.memory_bytes, resident + unread)
            count = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.descriptors = max(self.descriptors, count)

    def summary(self):
        mib = 1024 * 1024
        return (
            f"{self.memory_bytes / mib:.0f} MiB ({self.resident_bytes / mib:.0f} "
            f"resident, {self.unread_bytes / mib:.0f} unread), "
            f"{self.descriptors} descriptors"
        )


def resident_bytes(pid):
    """Return the memory that a process has now."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def unread_bytes(ip, port=None):
    """Return the bytes that have arrived at an address and aren't read yet."""
    (packed,) = struct.unpack("<I", socket.inet_aton(ip))
    prefix = f"{packed:08X}:" + ("" if port is None else f"{port:04X}")
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_listening = fields[3] == "0A"
        if fields[1].startswith(prefix) and not is_listening:
            total += int(fields[4].partition(":")[2], 16)
    return total


async def press_process(process, ip, crowd, seconds, port=None):
    """Let a crowd press a process; return what it held meanwhile."""
    watch = ProcessWatch(process.pid, ip, port)
    sampling = asyncio.create_task(watch.run())
    try:
        await crowd.press(seconds)
    finally:
        sampling.cancel()
    watch.sample()
    return watch
