"""Token streams of the stand-in engine, with injected faults."""

import asyncio
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from quetzalpass.standin import faults, generations, messages, text

if TYPE_CHECKING:
    from quetzalpass.standin import engine_server

KEEP_ALIVE_INTERVAL_S = 2.0
KEEP_ALIVE = b": keep-alive\n\n"
END_MARK = b"data: [DONE]\n\n"
HANG_DURATION_S = 3600.0
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


class StreamWriter:
    """Writes one stream of one generation.

    Attributes
    ----------
    offset : int
        Offset of the next token to write.
    fault : faults.Fault or None
        Fault that is triggered when the stream reaches its offset.
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
        """Stream tokens until the end, a fault, or the start of a newer stream."""
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        stream_number = self.generation.attach()
        await response.prepare(request)
        try:
            await self.write_tokens(request, response, stream_number)
        except (ConnectionError, asyncio.CancelledError):
            self.detach(stream_number)
            raise
        return response

    def detach(self, stream_number: int) -> None:
        """Record the loss of the reader, unless a newer stream has replaced this."""
        if self.generation.stream_number == stream_number:
            now_s = asyncio.get_running_loop().time()
            self.generation.detached_at_s = now_s

    async def write_tokens(
        self, request: web.Request, response: web.StreamResponse, stream_number: int
    ) -> None:
        """Write the tokens as they are generated, then the end mark."""
        generation = self.generation
        while generation.stream_number == stream_number:
            generation.changed.clear()
            while self.offset < generation.produced:
                if not await self.write_token(request, response):
                    self.detach(stream_number)
                    return
            if self.offset >= generation.length:
                await self.write_end(request, response)
                # The generation is kept for ``detached_s`` and can be resumed, as the
                # reader may not have received all that was written.
                self.detach(stream_number)
                return
            await self.wait_for_change(response)
        assert request.transport is not None
        request.transport.abort()

    async def wait_for_change(self, response: web.StreamResponse) -> None:
        """Wait for tokens; write a keep-alive comment if none are generated in time."""
        try:
            async with asyncio.timeout(KEEP_ALIVE_INTERVAL_S):
                await self.generation.changed.wait()
        except TimeoutError:
            await response.write(KEEP_ALIVE)

    async def write_token(
        self, request: web.Request, response: web.StreamResponse
    ) -> bool:
        """Write the next token; return whether the stream continues."""
        fault = self.fault
        if fault is not None and self.offset >= fault.at_offset:
            self.fault = None
            if not await self.inject_fault(request, response, fault):
                return False
        await response.write(self.encode_event(self.offset, self.generation.id))
        self.offset += 1
        return True

    async def inject_fault(
        self,
        request: web.Request,
        response: web.StreamResponse,
        fault: faults.Fault,
    ) -> bool:
        """Inject a fault into the stream; return whether the stream continues."""
        kind = fault.kind
        if kind is faults.FaultKind.CLOSE_STREAM:
            assert request.transport is not None
            request.transport.abort()
            return False
        if kind is faults.FaultKind.SILENCE:
            await asyncio.sleep(HANG_DURATION_S)
        if kind is faults.FaultKind.REPEAT_OFFSET and self.offset > 0:
            await response.write(self.encode_event(self.offset - 1, self.generation.id))
        if kind is faults.FaultKind.SKIP_OFFSET:
            self.offset += 1
        if kind is faults.FaultKind.SWAP_OFFSETS:
            await response.write(self.encode_event(self.offset + 1, self.generation.id))
        if kind is faults.FaultKind.CROSSED_ID:
            await response.write(self.encode_event(self.offset, "another-generation"))
        if kind is faults.FaultKind.NO_END_MARK:
            self.fault = fault
        return True

    async def write_end(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Write the end mark, unless a fault closes the stream without it."""
        fault = self.fault
        if fault is not None and fault.kind is faults.FaultKind.NO_END_MARK:
            assert request.transport is not None
            request.transport.abort()
            return
        await response.write(END_MARK)

    def encode_event(self, offset: int, generation_id: str) -> bytes:
        """Encode one token as a server-sent event."""
        generation = self.generation
        last = offset + 1 == generation.length
        choice = messages.Choice(
            text.token_text(generation.tag, offset),
            generation.finish_reason if last else None,
        )
        event = messages.Event(generation_id, offset, (choice,))
        return b"data: " + msgspec.json.encode(event) + b"\n\n"
