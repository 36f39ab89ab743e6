"""Source of the relay benchmark: engines that send a whole batch at each step.

Each token is only its offset and the time of sending, so that the source uses far less
CPU time than the relays. Streams end only when their reader disconnects.
"""

import asyncio
import sys
import time

import msgspec
from aiohttp import web

ENGINE_BATCH = 62
STEP_S = 1 / 16
HEADERS = {"Content-Type": "text/event-stream"}


class StartBody(msgspec.Struct):
    """Fields of a request that the source uses."""

    generation_id: str = "bare"


class SourceStream:
    """One stream of tokens.

    Attributes
    ----------
    head : bytes
        Encoded start of each event, up to the offset.
    offset : int
        Offset of the next token.
    """

    def __init__(self, generation_id: str, transport: asyncio.Transport) -> None:
        self.head = b'data: {"id":"' + generation_id.encode() + b'","offset":'
        self.transport = transport
        self.offset = 0

    def send(self, now_ns: bytes) -> None:
        """Send the next token, whose text is its offset and the time of sending."""
        number = b"%d" % self.offset
        self.offset += 1
        text = number + b"." + now_ns
        event = b"".join(
            (
                self.head,
                number,
                b',"choices":[{"text":"',
                text,
                b' ","finish_reason":null,"index":0}],"object":"text_completion"}\n\n',
            )
        )
        self.transport.write(b"%x\r\n%s\r\n" % (len(event), event))


class SourceEngine:
    """An engine that sends a token on each of its streams at every step.

    Parameters
    ----------
    phase_s : float
        Delay of its first step, which spreads the steps of the engines in time.
    """

    def __init__(self, phase_s: float) -> None:
        self.phase_s = phase_s
        self.streams: set[SourceStream] = set()

    def application(self) -> web.Application:
        """Return the aiohttp application of this engine."""
        app = web.Application()
        app.router.add_post("/v1/completions", self.handle_start)
        app.router.add_delete("/v1/generations/{id}", self.handle_cancel)
        app.router.add_get("/health", self.handle_health)
        return app

    async def handle_start(self, request: web.Request) -> web.StreamResponse:
        """Stream until the reader disconnects."""
        body = msgspec.json.decode(await request.read(), type=StartBody)
        response = web.StreamResponse(headers=HEADERS)
        await response.prepare(request)
        await response.write(b": open\n\n")
        assert request.transport is not None
        stream = SourceStream(body.generation_id, request.transport)
        self.streams.add(stream)
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self.streams.discard(stream)
        return response

    async def handle_cancel(self, request: web.Request) -> web.Response:
        """Accept a cancellation; closing the connection is what ends the stream."""
        return web.Response(status=204)

    async def handle_health(self, request: web.Request) -> web.Response:
        """Respond that the engine is alive."""
        return web.Response(text="ok")

    async def run(self) -> None:
        """Send one token of each stream per step."""
        loop = asyncio.get_running_loop()
        next_step_s = loop.time() + self.phase_s
        while True:
            next_step_s += STEP_S
            await asyncio.sleep(max(0.0, next_step_s - loop.time()))
            for stream in self.streams:
                stream.send(b"%d" % time.monotonic_ns())


async def serve(host: str, ports: list[int]) -> None:
    """Serve one engine on each port until the process is stopped."""
    tasks = []
    for number, port in enumerate(ports):
        engine = SourceEngine(STEP_S * number / len(ports))
        runner = web.AppRunner(
            engine.application(), handler_cancellation=True, access_log=None
        )
        await runner.setup()
        await web.TCPSite(runner, host, port, backlog=1024).start()
        tasks.append(asyncio.create_task(engine.run()))
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], [int(port) for port in sys.argv[2:]]))
