"""Streams of tokens from the stand-in engine, with the faults that strike them."""

import asyncio
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from quetzalpass.standin import faults, generations, messages, text

if TYPE_CHECKING:
    from quetzalpass.standin import engine_server

KEEP_ALIVE_S = 2.0
KEEP_ALIVE = b": keep-alive\n\n"
END_MARK = b"data: [DONE]\n\n"
HANG_S = 3600.0
STREAM_FAULTS = frozenset(
    {
        faults.FaultKind.CLOSE_STREAM,
        faults.FaultKind.SILENCE,
        faults.FaultKind.REPEAT_OFFSET,
        faults.FaultKind.SKIP_OFFSET,
        faults.FaultKind.SWAP_OFFSETS,
        faults.FaultKind.CROSSED_ID,
        faults.FaultKind.NO_END_MARK,
    }
)
CRASH_IN_STREAM = frozenset({faults.FaultKind.CRASH})


class StreamWriter:
    """Writes one stream of one generation.

    Attributes
    ----------
    offset : int
        Offset of the next token to write.
    fault : faults.Fault or None
        Fault that strikes this stream when its offset is reached.
    """

    def __init__(
        self,
        server: "engine_server.EngineServer",
        generation: generations.RunningGeneration,
        offset: int,
    ) -> None:
        self.server = server
        self.generation = generation
        self.offset = offset
        self.fault = server.plan.consume(STREAM_FAULTS, generation.prompt)

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Stream tokens until the end, a fault, or a newer stream."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        link = self.generation.attach()
        await response.prepare(request)
        try:
            await self.write_tokens(request, response, link)
        except (ConnectionError, asyncio.CancelledError):
            self.detach(link)
            raise
        return response

    def detach(self, link: int) -> None:
        """Note that the reader has gone, unless a newer stream took over."""
        if self.generation.link == link:
            now_s = asyncio.get_running_loop().time()
            self.generation.detached_at_s = now_s

    async def write_tokens(
        self, request: web.Request, response: web.StreamResponse, link: int
    ) -> None:
        """Write what has been generated, wait for more, end with the end mark."""
        generation = self.generation
        while generation.link == link:
            generation.changed.clear()
            while self.offset < generation.produced:
                if not await self.write_token(request, response):
                    self.detach(link)
                    return
            if self.offset >= generation.length:
                await self.write_end(request, response)
                # Kept for a while: the reader may not have got all that was written.
                self.detach(link)
                return
            await self.wait_for_change(response)
        assert request.transport is not None
        request.transport.abort()

    async def wait_for_change(self, response: web.StreamResponse) -> None:
        """Wait for tokens; write a keep-alive when none came for a while."""
        try:
            async with asyncio.timeout(KEEP_ALIVE_S):
                await self.generation.changed.wait()
        except TimeoutError:
            await response.write(KEEP_ALIVE)

    async def write_token(
        self, request: web.Request, response: web.StreamResponse
    ) -> bool:
        """Write the next token; return whether the stream goes on."""
        fault = self.fault
        if fault is not None and self.offset >= fault.at_offset:
            self.fault = None
            if not await self.strike(request, response, fault):
                return False
        await response.write(self.event(self.offset, self.generation.id))
        self.offset += 1
        return True

    async def strike(
        self,
        request: web.Request,
        response: web.StreamResponse,
        fault: faults.Fault,
    ) -> bool:
        """Show a fault in the stream; return whether the stream goes on."""
        kind = fault.kind
        if kind is faults.FaultKind.CLOSE_STREAM:
            assert request.transport is not None
            request.transport.abort()
            return False
        if kind is faults.FaultKind.SILENCE:
            await asyncio.sleep(HANG_S)
        if kind is faults.FaultKind.REPEAT_OFFSET and self.offset > 0:
            await response.write(self.event(self.offset - 1, self.generation.id))
        if kind is faults.FaultKind.SKIP_OFFSET:
            self.offset += 1
        if kind is faults.FaultKind.SWAP_OFFSETS:
            await response.write(self.event(self.offset + 1, self.generation.id))
        if kind is faults.FaultKind.CROSSED_ID:
            await response.write(self.event(self.offset, "another-generation"))
        if kind is faults.FaultKind.NO_END_MARK:
            self.fault = fault
        return True

    async def write_end(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Write the end mark, unless the fault says to close without it."""
        fault = self.fault
        if fault is not None and fault.kind is faults.FaultKind.NO_END_MARK:
            assert request.transport is not None
            request.transport.abort()
            return
        await response.write(END_MARK)

    def event(self, offset: int, generation_id: str) -> bytes:
        """Return the server-sent event of one token."""
        generation = self.generation
        last = offset + 1 == generation.length
        choice = messages.Choice(
            text.token_text(generation.tag, offset),
            generation.finish_reason if last else None,
        )
        event = messages.Event(generation_id, offset, (choice,))
        return b"data: " + msgspec.json.encode(event) + b"\n\n"
