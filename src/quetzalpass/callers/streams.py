"""The caller's end of a stream."""

import asyncio

from aiohttp import web

from quetzalpass.backends import base
from quetzalpass.callers import encoding
from quetzalpass.lifecycle import generations


class CallerSink(base.TokenSink):
    """Writes tokens to a caller at once and pauses while it does not read.

    Parameters
    ----------
    request : web.Request
        Request whose answer has been prepared.
    generation : generations.Generation
        Its engine is named in the event ids, and changes when it moves.
    encoder : encoding.StreamEncoder
        Encoder of this answer.
    max_buffer_bytes : int
        Bytes held for the caller before the stream pauses.
    """

    def __init__(
        self,
        request: web.Request,
        generation: generations.Generation,
        encoder: encoding.StreamEncoder,
        max_buffer_bytes: int,
    ) -> None:
        assert request.transport is not None
        request.transport.set_write_buffer_limits(high=max_buffer_bytes)
        self.transport = request.transport
        self.protocol = request.protocol
        self.writer = request.writer
        self.generation = generation
        self.encoder = encoder

    def take(self, batch: base.TokenBatch) -> bool:
        """Write the tokens; return whether the caller keeps reading."""
        if batch.texts and not self.write(self.encode(batch)):
            return False
        return not self.protocol._paused

    def encode(self, batch: base.TokenBatch) -> bytes:
        """Return the event of a batch; empty if it has no tokens."""
        if not batch.texts:
            return b""
        server_id = self.generation.server_id
        if server_id != self.encoder.server_id:
            assert server_id is not None
            self.encoder.move_to(server_id)
        return self.encoder.tokens(batch.offset, batch.texts, batch.finish_reason)

    def write(self, event: bytes) -> bool:
        """Write one event without waiting; return whether the connection is open.

        The event goes out as one HTTP chunk, as the response's own writer would send
        it, without that writer's five calls.
        """
        if self.transport.is_closing():
            return False
        self.transport.write(b"%x\r\n%b\r\n" % (len(event), event))
        return True

    async def wait_until_read(self, timeout_s: float) -> bool:
        """Wait until the caller has read; return whether it did in time.

        Raises
        ------
        ConnectionError
            If the caller has gone.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.writer.drain()
        except TimeoutError:
            return False
        if self.transport.is_closing():
            raise ConnectionResetError("the caller has gone")
        return True

    def cut(self) -> None:
        """Close the connection of a caller that does not read."""
        self.transport.abort()
