"""The caller's end of a stream."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from returns import result

from quetzalpass.backends import base
from quetzalpass.callers import encoding
from quetzalpass.lifecycle import generations
from quetzalpass.results import failures
from quetzalpass.settings import schema

KEEP_ALIVE = b": keep-alive\n\n"

EncoderFactory = Callable[[generations.Generation], encoding.StreamEncoder]


class CallerSink(base.TokenSink):
    """Writes tokens to a caller at once and pauses while it does not read.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    generation : generations.Generation
        Where the tokens come from.
    make_encoder : callable
        Gives the encoder for tokens from the generation's present server.
    limits : schema.Limits
        Caps of this process.

    Attributes
    ----------
    first : base.TokenBatch or None
        Tokens that came before the headers of the answer went out.
    ended : bool
        Whether all tokens have been taken.
    events : int
        Events written.
    """

    def __init__(
        self,
        request: web.Request,
        generation: generations.Generation,
        make_encoder: EncoderFactory,
        limits: schema.Limits,
    ) -> None:
        if request.transport is None:
            raise ConnectionResetError("the caller has gone")
        self.transport = request.transport
        self.transport.set_write_buffer_limits(high=limits.slow_caller_bytes)
        self.protocol = request.protocol
        self.writer = request.writer
        self.generation = generation
        self.make_encoder = make_encoder
        self.limits = limits
        self.encoder: encoding.StreamEncoder | None = None
        self.opened = False
        self.first: base.TokenBatch | None = None
        self.ended = False
        self.events = 0

    def consume(self, batch: base.TokenBatch) -> bool:
        """Write the tokens; return whether the caller keeps reading.

        The event goes out as one HTTP chunk, as the response's own writer would send
        it, without that writer's five calls.
        """
        if batch.ended:
            self.ended = True
        if not self.opened:
            self.first = batch
            return False
        if batch.texts:
            if self.transport.is_closing():
                return False
            event = self.encode(batch)
            self.events += 1
            self.transport.write(b"%x\r\n%b\r\n" % (len(event), event))
        # The public property is one more call per token.
        return not self.protocol._paused

    def encode(self, batch: base.TokenBatch) -> bytes:
        """Return the event of a batch, whose id names the server that sent it."""
        server_id = self.generation.server_id
        if self.encoder is None:
            self.encoder = self.make_encoder(self.generation)
        elif server_id != self.encoder.server_id:
            assert server_id is not None
            self.encoder.move_to(server_id)
        return self.encoder.tokens(batch.offset, batch.texts, batch.finish_reason)

    async def wait_for_first(
        self,
    ) -> result.Result[base.ForwardEnd, failures.Failure]:
        """Wait for the first tokens, or until the caller needs a sign of life."""
        return await self.generation.forward(self, self.keep_alive_due_s())

    def first_event(self) -> bytes:
        """Return what follows the headers; from now on tokens are written at once."""
        self.opened = True
        if self.first is None or not self.first.texts:
            return KEEP_ALIVE
        return self.encode(self.first)

    def keep_alive_due_s(self) -> float:
        """Return the loop time at which the caller needs a sign of life."""
        return asyncio.get_running_loop().time() + self.limits.caller_keep_alive_s

    async def forward(self) -> result.Result[base.ForwardEnd, failures.Failure]:
        """Write tokens as they arrive; write a comment if none came for long."""
        events = self.events
        forwarded = await self.generation.forward(self, self.keep_alive_due_s())
        if forwarded == DUE and events == self.events:
            self.write_keep_alive()
        return forwarded

    def write_keep_alive(self) -> None:
        """Write a comment, which tells the caller that its stream is alive."""
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%b\r\n" % (len(KEEP_ALIVE), KEEP_ALIVE))

    async def wait_until_read(self) -> bool:
        """Wait until the caller has read; return whether it did in time.

        Raises
        ------
        ConnectionError
            If the caller has gone.
        """
        try:
            async with asyncio.timeout(self.limits.slow_caller_s):
                await self.writer.drain()
        except TimeoutError:
            return False
        if self.transport.is_closing():
            raise ConnectionResetError("the caller has gone")
        return True

    def cut(self) -> None:
        """Close the connection of a caller that does not read."""
        self.transport.abort()


DUE: result.Result[base.ForwardEnd, failures.Failure] = result.Success(
    base.ForwardEnd.DUE
)
