"""A peer that stops in the middle of its response to a handed-over request."""

import asyncio
import socket
import struct

CONSENT = b"HTTP/1.1 100 Continue\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def cuts(whole):
    """Return the first bytes of a response, without the whole one."""
    return [whole[:size] for size in range(len(whole))]


class CutPeer:
    """Consents to each offer, sends the next of its responses, and closes."""

    def __init__(self):
        self.responses = []
        self.consent = CONSENT
        self.is_reset = False
        self.requests = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.consent)
            if self.consent == CONSENT:
                await reader.readuntil(b"0\r\n\r\n")
                self.requests += 1
                writer.write(self.responses.pop(0))
            await writer.drain()
            await asyncio.sleep(0.005)
            if self.is_reset:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        finally:
            writer.close()
