"""Streams whose connection closes in an orderly way before they are complete."""

import asyncio
import enum

import pytest

from platform_standin import standin
from quetzalpass import event_log
from quetzalpass.lifecycle import relay_events

LAST_EVENT = 12
LINE_ENDINGS = (b"\n", b"\r\n", b"\r")
GENERATION_HEADERS = ["X-Token-Usage: 10,80", "X-Model: m"]
FEW_WRITES = 1
MANY_WRITES = 9
REPLICAS = 400


class Framing(enum.Enum):
    """How a response marks the end of its body."""

    UNFRAMED = "unframed"
    CHUNKED = "chunked"
    LENGTH = "length"


def event(number, line_ending):
    lines = (b"id: %d" % number, b"data: piece %d" % number, b"", b"")
    return line_ending.join(lines)


def events(first, last, line_ending=b"\n"):
    return b"".join(event(each, line_ending) for each in range(first, last + 1))


def parts(data, count):
    """Return data in at most ``count`` parts of about the same size."""
    size = max(1, -(-len(data) // count))
    return [data[at : at + size] for at in range(0, len(data), size)]


class Stream:
    """A body, and how a replica sends it.

    Attributes
    ----------
    declared_length : int
        Value of ``Content-Length`` with that framing.
    ends_chunks : bool
        Whether the last chunk is sent with that framing.
    """

    def __init__(self, framing, body, writes=FEW_WRITES):
        self.framing = framing
        self.body = body
        self.writes = writes
        self.declared_length = len(body)
        self.ends_chunks = True

    def head(self, request):
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request.header('X-Request-Id')}",
            "X-Response-Signature: sig.s",
        ]
        if self.framing is Framing.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
        if self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {self.declared_length}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def send(self, request, writer):
        """Send the stream; the connection is then closed in an orderly way."""
        writer.write(self.head(request))
        is_chunked = self.framing is Framing.CHUNKED
        for part in parts(self.body, self.writes):
            writer.write(standin.chunk(part) if is_chunked else part)
            await writer.drain()
            await asyncio.sleep(0)
        if is_chunked and self.ends_chunks:
            writer.write(standin.chunk(b""))
        await writer.drain()
        raise ConnectionError

    def __repr__(self):
        return f"{self.framing.value}, {self.writes} writes, {self.body[-40:]!r}"


class Received:
    """What a caller received of one response."""

    def __init__(self, status, body, is_complete):
        self.status = status
        self.body = body
        self.is_complete = is_complete

    def is_whole(self, body):
        return self.status == 200 and self.is_complete and self.body == body

    def is_broken_off_after(self, body):
        return not self.is_complete and self.body == body


async def read_response(reader):
    """Read a chunked response until it ends, completely or not."""
    head = await reader.readuntil(b"\r\n\r\n")
    assert b"transfer-encoding: chunked" in head.lower()
    status = int(head.split()[1])
    body = b""
    try:
        while True:
            size = int(await reader.readline() or b"x", 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return Received(status, body, True)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Received(status, body, False)


class Caller:
    """Requests streams of replicas that share an address.

    A replica that broke a stream off gets no new work for some time, so there are many.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.stream = None
        self.raw = standin.RawServer(self.respond)

    async def respond(self, request, writer):
        await self.stream.send(request, writer)

    async def receive(self, stream):
        """Return what a caller receives of a stream."""
        self.stream = stream
        reader, writer = await asyncio.open_connection(standin.HOST, self.gateway.port)
        writer.write(standin.request_bytes("/drafts/1", GENERATION_HEADERS))
        try:
            async with asyncio.timeout(5):
                return await read_response(reader)
        finally:
            writer.close()


@pytest.fixture
async def caller(gateway, platform):
    stream_caller = Caller(gateway)
    await stream_caller.raw.start()
    for number in range(REPLICAS):
        platform.add(
            stream_caller.raw, f"i-{number}", "model", stage="unified", slots=24
        )
    await gateway.until_listed(REPLICAS)
    yield stream_caller
    stream_caller.raw.stop()


class TestFramedAsWhole:
    """The connection or the framing ends the body as if it were whole."""

    @pytest.mark.parametrize("framing", Framing)
    async def test_end_inside_the_last_event_breaks_the_response_off(
        self, caller, framing
    ):
        wrong = []
        for line_ending in LINE_ENDINGS:
            whole_events = events(1, LAST_EVENT - 1, line_ending)
            last_event = event(LAST_EVENT, line_ending)
            for sent_bytes in range(1, len(last_event)):
                for writes in (FEW_WRITES, MANY_WRITES):
                    body = whole_events + last_event[:sent_bytes]
                    stream = Stream(framing, body, writes)
                    received = await caller.receive(stream)
                    if not received.is_broken_off_after(whole_events):
                        wrong.append(stream)
        assert wrong == []

    async def test_end_inside_the_first_event_breaks_the_response_off(self, caller):
        wrong = []
        for framing in Framing:
            for line_ending in LINE_ENDINGS:
                first_event = event(1, line_ending)
                for sent_bytes in range(1, len(first_event)):
                    stream = Stream(framing, first_event[:sent_bytes])
                    received = await caller.receive(stream)
                    if not received.is_broken_off_after(b""):
                        wrong.append(stream)
        assert wrong == []

    async def test_unframed_stream_without_events_breaks_the_response_off(self, caller):
        received = await caller.receive(Stream(Framing.UNFRAMED, b""))
        assert received.is_broken_off_after(b"")


class TestCutShort:
    @pytest.mark.parametrize("framing", [Framing.CHUNKED, Framing.LENGTH])
    async def test_truncated_framing_breaks_the_response_off(self, caller, framing):
        body = events(1, LAST_EVENT)
        stream = Stream(framing, body)
        stream.declared_length = len(body) + 1
        stream.ends_chunks = False
        received = await caller.receive(stream)
        assert not received.is_complete


@pytest.mark.parametrize("framing", Framing)
class TestWholeStreams:
    async def test_whole_stream_is_relayed_as_complete(self, caller, framing):
        for line_ending in LINE_ENDINGS:
            for writes in (FEW_WRITES, MANY_WRITES):
                body = events(1, LAST_EVENT, line_ending)
                received = await caller.receive(Stream(framing, body, writes))
                assert received.is_whole(body)

    async def test_comment_after_the_last_event_is_relayed(self, caller, framing):
        for line_ending in LINE_ENDINGS:
            body = events(1, LAST_EVENT, line_ending) + b": end" + line_ending
            received = await caller.receive(Stream(framing, body))
            assert received.is_whole(body)

    async def test_only_event_is_relayed_as_complete(self, caller, framing):
        body = event(1, b"\n")
        assert (await caller.receive(Stream(framing, body))).is_whole(body)


class TestLogs:
    @pytest.mark.parametrize(
        "framing, body_end",
        [
            (Framing.UNFRAMED, "close"),
            (Framing.CHUNKED, "chunks"),
            (Framing.LENGTH, "length"),
        ],
    )
    async def test_end_of_the_body_is_logged(
        self, caller, framing, body_end, monkeypatch
    ):
        recorded = []
        monkeypatch.setattr(
            event_log, "record", lambda event, *level: recorded.append(event)
        )
        body = events(1, LAST_EVENT) + b": end\n"
        await caller.receive(Stream(framing, body))
        (detail,) = [
            each.detail
            for each in recorded
            if isinstance(each, relay_events.RelayEvent) and each.decision == "streamed"
        ]
        assert f"body ended by {body_end}, 6 bytes after the last event" in detail
