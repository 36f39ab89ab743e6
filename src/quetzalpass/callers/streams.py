"""Writing of a token stream to a caller."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from returns import result

from quetzalpass.backends import base
from quetzalpass.callers import encoding
from quetzalpass.lifecycle import generations
from quetzalpass.results import failures
from quetzalpass.settings import schema

KEEP_ALIVE_COMMENT = b": keep-alive\n\n"

EncoderFactory = Callable[[generations.Generation], encoding.StreamEncoder]


class CallerSink(base.TokenSink):
    """Writes tokens to a caller at once, with backpressure while it does not read.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    generation : generations.Generation
        Generation whose tokens are written.
    make_encoder : callable
        Returns an encoder for tokens from the generation's current server.
    limits : schema.Limits
        Limits of this process.

    Attributes
    ----------
    headers_sent : bool
        Whether tokens are written at once; until then, the first batch is stored.
    first_batch : base.TokenBatch or None
        Tokens that arrived before the headers of the response were sent.
    ended : bool
        Whether the last tokens have arrived.
    event_count : int
        Number of events written after the first one.
    """

    def __init__(
        self,
        request: web.Request,
        generation: generations.Generation,
        make_encoder: EncoderFactory,
        limits: schema.Limits,
    ) -> None:
        if request.transport is None:
            raise ConnectionResetError("the caller has disconnected")
        self.transport = request.transport
        self.transport.set_write_buffer_limits(high=limits.slow_caller_bytes)
        self.protocol = request.protocol
        self.writer = request.writer
        self.generation = generation
        self.make_encoder = make_encoder
        self.limits = limits
        self.encoder: encoding.StreamEncoder | None = None
        self.headers_sent = False
        self.first_batch: base.TokenBatch | None = None
        self.ended = False
        self.event_count = 0

    def consume(self, batch: base.TokenBatch) -> bool:
        """Write the tokens; return whether the caller keeps up with reading.

        The event is written as one HTTP chunk, as the response's own writer would do
        it, but without the five calls which that writer makes.
        """
        if batch.ended:
            self.ended = True
        if not self.headers_sent:
            self.first_batch = batch
            return False
        if batch.texts:
            if self.transport.is_closing():
                return False
            event = self.encode(batch)
            self.event_count += 1
            self.transport.write(b"%x\r\n%b\r\n" % (len(event), event))
        # The public property would cost one more call per token.
        return not self.protocol._paused

    def encode(self, batch: base.TokenBatch) -> bytes:
        """Return the event of a batch; its id names the server that sent the batch."""
        server_id = self.generation.server_id
        if self.encoder is None:
            self.encoder = self.make_encoder(self.generation)
        elif server_id != self.encoder.server_id:
            assert server_id is not None
            self.encoder.set_server(server_id)
        return self.encoder.encode_tokens(
            batch.offset, batch.texts, batch.finish_reason
        )

    async def wait_for_first_batch(
        self,
    ) -> result.Result[base.ForwardEnd, failures.Failure]:
        """Wait for the first tokens, but not longer than the keep-alive interval."""
        return await self.generation.forward(self, self.keep_alive_deadline_s())

    def start_writing(self) -> bytes:
        """Return the first event, which follows the headers.

        From now on, tokens are written at once.
        """
        self.headers_sent = True
        if self.first_batch is None or not self.first_batch.texts:
            return KEEP_ALIVE_COMMENT
        return self.encode(self.first_batch)

    def keep_alive_deadline_s(self) -> float:
        """Return the loop time at which the next keep-alive comment is due."""
        return asyncio.get_running_loop().time() + self.limits.caller_keep_alive_s

    async def forward(self) -> result.Result[base.ForwardEnd, failures.Failure]:
        """Write tokens as they arrive; write a keep-alive comment if none arrive."""
        event_count = self.event_count
        forwarded = await self.generation.forward(self, self.keep_alive_deadline_s())
        if forwarded == KEEP_ALIVE_DUE and event_count == self.event_count:
            self.write_keep_alive()
        return forwarded

    def write_keep_alive(self) -> None:
        """Write a comment, which shows the caller that the connection is alive."""
        if not self.transport.is_closing():
            self.transport.write(
                b"%x\r\n%b\r\n" % (len(KEEP_ALIVE_COMMENT), KEEP_ALIVE_COMMENT)
            )

    async def wait_until_drained(self) -> bool:
        """Wait until the caller has read enough; return whether it did so in time.

        Raises
        ------
        ConnectionError
            If the caller has disconnected.
        """
        try:
            async with asyncio.timeout(self.limits.slow_caller_s):
                await self.writer.drain()
        except TimeoutError:
            return False
        if self.transport.is_closing():
            raise ConnectionResetError("the caller has disconnected")
        return True

    def abort(self) -> None:
        """Close the connection of a caller that reads too slowly."""
        self.transport.abort()


KEEP_ALIVE_DUE: result.Result[base.ForwardEnd, failures.Failure] = result.Success(
    base.ForwardEnd.DUE
)
