"""Memory of a gateway while many bodies without end arrive at the same time."""

import asyncio
import contextlib
import gc
import tracemalloc

import pytest

from platform_standin import standin
from quetzalpass.backends import held_bytes

BLOCK = b"x" * 65_536
MIB = 1024 * 1024
# A gateway has 150 MB, of which some 50 MB are taken without any request.
MAX_GROWTH_BYTES = 64 * MIB
CALLS = 40
CALLERS = 60
CALLER_BODY_BYTES = 4 * MIB - 1
LARGE_BODY = bytes(range(256)) * 8_192


@contextlib.contextmanager
def growth():
    """Yield a function that returns the largest growth of memory so far."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    try:
        yield lambda: tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()


class EndlessReplica:
    """Sends chunks to all callers until they close, unless the path says otherwise."""

    def __init__(self):
        self.raw = standin.RawServer(self.respond)

    async def respond(self, request, writer):
        if "sound" in request.first_line:
            writer.write(standin.response_bytes(request))
            return
        if "large" in request.first_line:
            writer.write(standin.response_bytes(request, body=LARGE_BODY))
            return
        head = standin.response_bytes(request, body=b"").partition(b"\r\n\r\n")[0]
        lines = [
            line
            for line in head.split(b"\r\n")
            if not line.lower().startswith(b"content-length")
        ]
        lines.append(b"Transfer-Encoding: chunked")
        writer.write(b"\r\n".join(lines) + b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(standin.chunk(BLOCK))
                await writer.drain()
                await asyncio.sleep(0.005)


@pytest.fixture
async def replica(platform, gateway):
    server = EndlessReplica()
    await server.raw.start()
    platform.add(server.raw, "i-1")
    await gateway.until_listed(1)
    yield server
    server.raw.stop()


async def call(gateway, path, request_id, timeout_s=20.0):
    data = standin.request_bytes(path, request_id=request_id)
    async with asyncio.timeout(timeout_s):
        return await standin.exchange(gateway.port, data)


class TestEndlessResponses:
    async def test_many_at_once_leave_memory_and_sound_calls_alone(
        self, gateway, replica
    ):
        """All answers together had no limit: 8 MiB times the calls in flight."""
        with growth() as largest:
            floods = [
                asyncio.create_task(call(gateway, "/once/1", f"flood-{number}"))
                for number in range(CALLS)
            ]
            await asyncio.sleep(0.3)
            sound = await call(gateway, "/once/sound", "sound-1")
            await asyncio.gather(*floods, return_exceptions=True)
            assert largest() < MAX_GROWTH_BYTES
        assert (sound.status, sound.body) == (200, b"bytes")


class TestLargeResponses:
    async def test_a_large_response_is_passed_on_whole(self, gateway, replica):
        response = await call(gateway, "/once/large", "large-1")
        assert response.status == 200
        assert response.header("Content-Length") == str(len(LARGE_BODY))
        assert response.body == LARGE_BODY

    async def test_responses_that_were_passed_on_take_no_room(self, gateway, replica):
        for number in range(12):
            response = await call(gateway, "/once/large", f"large-{number}")
            assert response.body == LARGE_BODY
        gc.collect()
        assert held_bytes.RESPONSES.total == 0


class TestCallersBodies:
    async def test_many_large_bodies_at_once_are_refused_beyond_a_limit(
        self, gateway, replica
    ):
        """Bodies of callers that are still sending had no limit together."""
        connections = []
        with growth() as largest:
            for number in range(CALLERS):
                connections.append(await self.send_all_but_the_end(gateway, number))
            await asyncio.sleep(0.5)
            sound = await call(gateway, "/once/sound", "sound-1")
            assert largest() < MAX_GROWTH_BYTES
        assert sound.status == 200
        refused = 0
        for reader, writer in connections:
            with contextlib.suppress(TimeoutError, ConnectionError):
                async with asyncio.timeout(0.05):
                    response = await standin.read_message(reader)
                    assert response.status == 503
                    assert response.header("Retry-After")
                    refused += 1
            writer.close()
        assert refused >= CALLERS // 2

    async def send_all_but_the_end(self, gateway, number):
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        data = standin.request_bytes(
            "/once/1",
            [f"Content-Length: {CALLER_BODY_BYTES}"],
            request_id=f"large-{number}",
        )
        with contextlib.suppress(ConnectionError):
            writer.write(data)
            for _ in range(CALLER_BODY_BYTES // len(BLOCK)):
                writer.write(BLOCK)
                await writer.drain()
        return reader, writer

    async def test_room_is_free_again_after_the_callers_have_left(
        self, gateway, replica
    ):
        for number in range(8):
            _, writer = await self.send_all_but_the_end(gateway, number)
            writer.close()
        await asyncio.sleep(0.5)
        gc.collect()
        body = b"y" * (4 * MIB - 1)
        data = standin.request_bytes("/once/sound", body=body, request_id="late-1")
        async with asyncio.timeout(10.0):
            response = await standin.exchange(gateway.port, data)
        assert response.status == 200
        assert replica.raw.requests[-1].body == body
