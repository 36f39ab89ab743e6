"""Single odd requests within the declared limits are served, whatever their shape."""

import asyncio

import pytest

from platform_standin import standin

HEAD_BYTES = 16_000


class EchoReplica:
    def __init__(self):
        self.raw = standin.RawServer(self.respond)

    async def respond(self, request, writer):
        writer.write(standin.response_bytes(request))


@pytest.fixture
async def replica(platform, gateway):
    server = EchoReplica()
    await server.raw.start()
    platform.add(server.raw, "i-1")
    await gateway.until_listed(1)
    yield server.raw
    server.raw.stop()


def header_lines(count, line="x-{}: 1"):
    return [line.format(number) for number in range(count)]


def shortest_lines(name):
    """Return as many lines as the limit on all header lines together allows."""
    return [f"{name}:"] * (HEAD_BYTES // (len(name) + 3))


class TestHeads:
    @pytest.mark.parametrize("method", ["GET", "POST"])
    @pytest.mark.parametrize("count", [100, 128, 130, 500, 1000])
    async def test_many_header_lines_are_served(self, gateway, replica, method, count):
        """Above 128 lines, the HTTP library's own default was reported as HTTP/1.0."""
        data = standin.request_bytes("/once/1", header_lines(count), method=method)
        response = await standin.exchange(gateway.port, data)
        assert response.first_line.startswith("HTTP/1.1 200")
        assert response.header("X-Request-Id") == "q-1"
        (request,) = replica.requests
        names = {name for name, _ in request.headers}
        assert names >= {f"x-{number}" for number in range(count)}

    @pytest.mark.parametrize("name", ["a", "1f", "a" * 50])
    @pytest.mark.parametrize("method", ["GET", "POST"])
    async def test_shortest_lines_up_to_the_limit_are_served(
        self, gateway, replica, method, name
    ):
        data = standin.request_bytes("/once/1", shortest_lines(name), method=method)
        response = await standin.exchange(gateway.port, data)
        assert response.first_line.startswith("HTTP/1.1 200")

    async def test_one_long_line_is_served(self, gateway, replica):
        data = standin.request_bytes("/once/1", ["X-Long: " + "x" * 15_900])
        assert (await standin.exchange(gateway.port, data)).status == 200

    async def test_a_long_path_is_served(self, gateway, replica):
        data = standin.request_bytes("/once/" + "x" * 15_000)
        assert (await standin.exchange(gateway.port, data)).status == 200

    async def test_an_empty_line_before_the_request_is_skipped(self, gateway, replica):
        data = b"\r\n" + standin.request_bytes("/once/1")
        assert (await standin.exchange(gateway.port, data)).status == 200

    async def test_a_head_that_comes_in_small_parts_is_served(self, gateway, replica):
        data = standin.request_bytes("/once/1", shortest_lines("ab"))
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        for offset in range(0, len(data), 1_000):
            writer.write(data[offset : offset + 1_000])
            await writer.drain()
            await asyncio.sleep(0.001)
        assert (await standin.read_message(reader)).status == 200
        writer.close()

    async def test_raised_limits_hold_for_open_connections(self, gateway, replica):
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        writer.write(standin.request_bytes("/once/1"))
        assert (await standin.read_message(reader)).status == 200
        limits = {**standin.STATE["limits"], "max_header_bytes": 65_536}
        gateway.adopt(standin.state(version=8, limits=limits), 8)
        writer.write(standin.request_bytes("/once/1", ["X-Long: " + "x" * 60_000]))
        assert (await standin.read_message(reader)).status == 200
        writer.close()


class TestBodies:
    async def test_chunks_of_one_byte_are_served(self, gateway, replica):
        head = ["Transfer-Encoding: chunked"]
        data = standin.request_bytes("/drafts/1", head)
        data = data.replace(b"/drafts/", b"/once/")
        data += standin.chunk(b"x") * 20_000 + standin.chunk(b"")
        response = await standin.exchange(gateway.port, data)
        assert response.status == 200
        assert replica.requests[0].body == b"x" * 20_000

    @pytest.mark.parametrize("is_chunked", [False, True])
    async def test_the_largest_body_is_served(self, gateway, replica, is_chunked):
        body = bytes(range(256)) * 16_384
        data = standin.request_bytes("/once/1", body=body)
        if is_chunked:
            head = ["Transfer-Encoding: chunked"]
            data = standin.request_bytes("/once/1", head)
            data += standin.chunk(body) + standin.chunk(b"")
        response = await standin.exchange(gateway.port, data)
        assert response.status == 200
        assert replica.requests[0].body == body

    async def test_trailers_and_chunk_extensions_are_served(self, gateway, replica):
        data = standin.request_bytes("/once/1", ["Transfer-Encoding: chunked"])
        data += b"3;name=value\r\none\r\n0\r\nX-Trailer: 1\r\n\r\n"
        assert (await standin.exchange(gateway.port, data)).status == 200
        assert replica.requests[0].body == b"one"


class TestLateBodies:
    """A body that stops short of its end was waited for as long as its caller liked."""

    HEADERS = ("Content-Length: 10",)

    async def test_it_is_answered_by_the_time_limit(self, gateway, replica):
        data = standin.request_bytes("/once/1", self.HEADERS) + b"half"
        response = await standin.exchange(gateway.port, data)
        assert response.status == 504
        assert replica.requests == []

    async def test_it_is_answered_once_it_has_stalled(self, gateway, replica):
        limits = {**standin.STATE["limits"], "idle_timeout_ms": 100}
        gateway.adopt(standin.state(version=8, limits=limits), 8)
        data = standin.request_bytes("/once/1", self.HEADERS) + b"half"
        data = data.replace(b"X-Deadline-Ms: 1500", b"X-Deadline-Ms: 30000")
        response = await standin.exchange(gateway.port, data)
        assert response.status == 504
        assert response.header("Connection") == "close"
        assert replica.requests == []

    async def test_a_slow_body_is_served(self, gateway, replica):
        data = standin.request_bytes("/once/1", self.HEADERS)
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        for part in (data, b"01234", b"56789"):
            writer.write(part)
            await asyncio.sleep(0.1)
        assert (await standin.read_message(reader)).status == 200
        writer.close()


class TestRefusals:
    """A refused head gets one response of the newest version, then the end."""

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a:\r\n" * 30_000,
            b"GET /" + b"x" * 100_000,
            b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 100_000,
            b"\r\n" * 50_000,
            b"no request at all\r\n\r\n" * 10,
        ],
    )
    async def test_what_exceeds_the_limits_is_refused_once(
        self, gateway, replica, data
    ):
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        received = b""
        try:
            writer.write(data)
            async with asyncio.timeout(5.0):
                received = await reader.read()
        except ConnectionError:
            pass
        assert received.count(b"HTTP/1.1 4") <= 1
        if received:
            assert received.startswith(b"HTTP/1.1 4")
            assert b"Connection: close" in received
        writer.close()
        assert replica.requests == []

    async def test_requests_before_a_refused_one_are_answered(self, gateway, replica):
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        writer.write(standin.request_bytes("/once/1"))
        await asyncio.sleep(0)
        writer.write(b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 60_000)
        first = await standin.read_message(reader)
        assert (first.status, first.header("X-Request-Id")) == (200, "q-1")
        writer.close()
