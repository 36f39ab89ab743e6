"""Headers with numbers out of range or bytes that are no text; guards issue 38.

A caller whose header can't be read gets 400, or its header is passed on without being
weighed; it was a 500.
"""

import asyncio

import pytest

from platform_standin import standin

HUGE = b"9" * 400
ENDLESS = b"9" * 5_000
ODD_NUMBERS = [
    HUGE,
    ENDLESS,
    b"9" * 18,
    b"-1",
    b"1e400",
    b"nan",
    b"",
    "\u0663".encode(),
    b"\xff\xfe",
    b"5,5",
]
ODD_USAGES = [
    *ODD_NUMBERS,
    HUGE + b",5",
    b"5," + HUGE,
    ENDLESS + b"," + ENDLESS,
    b"999999999999999999,5",
]
ODD_PREFIXES = [
    b"ab:" + HUGE + b",cd:5",
    b",".join(b"%x:5" % number for number in range(1_500)),
    b",,,",
    b"\xff:5,cd:5",
]
CALLER_HEADERS = [
    *((b"X-Deadline-Ms", each) for each in ODD_NUMBERS),
    *((b"X-Token-Usage", each) for each in ODD_USAGES),
    *((b"X-Length-Hint", each) for each in ODD_NUMBERS),
    *((b"X-Prompt-Prefix", each) for each in ODD_PREFIXES),
    *((b"Last-Event-Id", each) for each in ODD_NUMBERS),
    *((b"X-Request-Id", each) for each in (b"\xff\xfe", "\u0663".encode(), ENDLESS)),
    (b"Authorization", b"Bearer \xff\xfe"),
    (b"Host", b"\xff\xfe"),
    (b"X-Model", b"\xff\xfe"),
]
REPLICA_HEADERS = [
    (name, value)
    for name in (b"Server-Limit", b"Server-Brittle", b"Retry-After", b"Server-Leaving")
    for value in [*ODD_NUMBERS, b"0"]
]


def odd_request(path, name, value):
    """Return a request with one odd header beside the usual ones."""
    fields = {
        b"Host": b"desk.example",
        b"X-Request-Id": b"q-odd",
        b"X-Deadline-Ms": b"1500",
        b"Authorization": b"Bearer key-1",
        b"X-Token-Usage": b"10,10",
        b"X-Prompt-Prefix": b"5c1e:5,91bd:5",
        name: value,
    }
    lines = [b"%s: %s" % each for each in fields.items()]
    return b"\r\n".join([b"POST %s HTTP/1.1" % path, *lines]) + b"\r\n\r\n"


class OddReplica:
    """A replica whose responses have one odd header."""

    def __init__(self):
        self.raw = standin.RawServer(self.respond)
        self.header = b""
        self.status = 200

    async def respond(self, request, writer):
        if request.first_line.split()[1].startswith("/v1/"):
            writer.write(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
            return
        lines = ["X-Not-Executed: 1"] if self.status == 503 else []
        head, _, body = standin.response_bytes(
            request, self.status, extra=lines
        ).partition(b"\r\n\r\n")
        extra = b"\r\n" + self.header if self.header else b""
        writer.write(head + extra + b"\r\n\r\n" + body)


@pytest.fixture
async def replica(platform, gateway):
    server = OddReplica()
    await server.raw.start()
    platform.add(server.raw, "i-1")
    platform.add(server.raw, "e-1", service="model", stage="unified", slots=24)
    await gateway.until_listed(2)
    yield server
    server.raw.stop()


async def exchange_raw(port, data):
    """Return the status of the response to raw bytes."""
    reader, writer = await asyncio.open_connection(standin.HOST, port)
    writer.write(data)
    try:
        async with asyncio.timeout(5):
            return int((await reader.readline()).split()[1])
    finally:
        writer.close()


async def check_sound(gateway):
    response = await standin.exchange(gateway.port, standin.request_bytes("/once/1"))
    assert response.status == 200


class TestOddHeadersOfCallers:
    @pytest.mark.parametrize("path", [b"/once/1", b"/reads/1", b"/drafts/1"])
    async def test_the_request_is_served_or_refused_as_malformed(
        self, gateway, replica, path
    ):
        statuses = {}
        for name, value in CALLER_HEADERS:
            status = await exchange_raw(gateway.port, odd_request(path, name, value))
            statuses[name, value[:30]] = status
        # A host, a path or a key that nobody knows is refused as such.
        allowed = {200, 400, 401, 404, 431}
        assert {k: v for k, v in statuses.items() if v not in allowed} == {}
        await check_sound(gateway)


class TestOddHeadersOfReplicas:
    request = odd_request(b"/reads/1", b"X-Model", b"m")

    async def test_those_of_a_response_are_not_weighed(self, gateway, replica):
        for name, value in REPLICA_HEADERS:
            replica.header = name + b": " + value
            assert await exchange_raw(gateway.port, self.request) == 200
        replica.header = b""
        await check_sound(gateway)

    async def test_those_of_a_refusal_are_not_weighed(self, gateway, replica):
        for name, value in REPLICA_HEADERS:
            replica.status = 503
            replica.header = name + b": " + value
            status = await exchange_raw(gateway.port, self.request)
            assert status == 503, (name, value)
        replica.status, replica.header = 200, b""
        async with asyncio.timeout(3.0):
            while await exchange_raw(gateway.port, self.request) != 200:
                await asyncio.sleep(0.05)
        await check_sound(gateway)
