"""A loopback proxy that can cut off some of the processes that connect through it."""

import asyncio

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards connections to one address, but for those from some addresses.

    Attributes
    ----------
    cut_ips : set of str
        Processes whose connections are reset, by their address.
    """

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.cut_ips = set()
        self.writers = {}
        self.tasks = set()

    async def start(self):
        """Start to listen."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def stop(self):
        """Stop to listen, and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def cut(self, ips):
        """Reset all connections from some addresses, and those that come."""
        self.cut_ips = set(ips)
        for writer, ip in list(self.writers.items()):
            if ip in self.cut_ips:
                writer.transport.abort()

    async def serve(self, reader, writer):
        """Forward one connection in both directions."""
        ip = writer.get_extra_info("peername")[0]
        if ip in self.cut_ips:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        other = None
        self.writers[writer] = ip
        try:
            other_reader, other = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self.forward(reader, other), self.forward(other_reader, writer)
            )
        except OSError:
            pass
        finally:
            self.writers.pop(writer, None)
            for each in (writer, other):
                if each is not None:
                    each.transport.abort()

    async def forward(self, reader, writer):
        """Forward the bytes of one direction, and its end."""
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
