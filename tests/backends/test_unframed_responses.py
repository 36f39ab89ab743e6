import asyncio
import contextlib
import math
import socket
import struct

import aiohttp
import pytest

from quetzalpass import ids
from quetzalpass.backends import base, engine_http, http_client, service_http
from quetzalpass.settings import schema

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def read_unframed_body(is_reset):
    """Return the body that the client reads from a response without a length."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"part")
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    session = http_client.open_session(schema.Limits(), reuse=False)
    try:
        async with session.get(f"http://127.0.0.1:{port}/") as response:
            return await response.read()
    finally:
        await session.close()
        server.close()
        await server.wait_closed()


class TestResponsesWithoutALength:
    async def test_an_orderly_close_ends_the_body(self):
        assert await read_unframed_body(is_reset=False) == b"part"

    async def test_a_reset_fails_the_body(self):
        with pytest.raises(aiohttp.ClientPayloadError):
            await read_unframed_body(is_reset=True)


async def call_service(is_crashing):
    """Return the result of a call whose response has no length, as it ends."""

    async def respond(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            if is_crashing:
                server.close()
            writer.write(HEAD + b"part")
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    service = service_http.HttpService(f"http://127.0.0.1:{port}", schema.Limits())
    call = base.ServiceCall("GET", "read", "", {}, b"", ids.RequestId("r-1"), None)
    try:
        return await service.call(call, 2.0)
    finally:
        await service.close()
        server.close()


class TestServiceResponsesWithoutALength:
    async def test_response_of_a_running_service_is_complete(self):
        response = await call_service(is_crashing=False)
        assert response.unwrap().body == b"part"

    async def test_response_of_a_crashed_service_is_not_passed_on(self):
        response = await call_service(is_crashing=True)
        assert response.failure().end is base.AttemptEnd.MAY_HAVE_RUN


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
TOKEN = b'data: {"id": "g-1", "offset": 0, "choices": [{"text": "a"}]}\n\n'
END = b"data: [DONE]\n\n"


async def forward_stream(body):
    """Return how a stream without a length ends that closes in an orderly way."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(STREAM_HEAD + body)
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    engine = engine_http.HttpEngine(f"http://127.0.0.1:{port}", schema.Limits())
    try:
        stream = (await engine.resume(ids.GenerationId("g-1"), 0, 5.0)).unwrap()
        return await stream.forward(AcceptingSink(), 5.0, math.inf)
    finally:
        await engine.close()
        server.close()
        await server.wait_closed()


class AcceptingSink(base.TokenSink):
    def consume(self, batch):
        return True


class TestEngineStreamsWithoutALength:
    async def test_end_marker_ends_the_stream(self):
        forwarded = await forward_stream(TOKEN + END)
        assert forwarded.unwrap() is base.ForwardEnd.ENDED

    async def test_close_without_the_end_marker_fails_the_stream(self):
        for sent_bytes in range(len(TOKEN + END)):
            forwarded = await forward_stream((TOKEN + END)[:sent_bytes])
            assert forwarded.failure().kind is base.FailureKind.CLOSED
