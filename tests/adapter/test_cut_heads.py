"""Responses of replicas that stop in their head, after which the connection ends."""

import asyncio
import socket
import struct

import pytest
from aiohttp import client_proto, http_parser
from returns import result

from fleet_adapter import replicas
from platform_standin import standin
from quetzalpass import ids
from quetzalpass.backends import base, discovery, relays
from quetzalpass.relay import shared_budget

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ECHO = b"X-Request-Id: q-1\r\nX-Response-Signature: sig.1\r\n"
BODY = b"many bytes of a body"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\n" + ECHO + b"Content-Length: 20\r\n\r\n" + BODY
RESPONSES = {
    "length last": WITH_LENGTH,
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n"
    + ECHO
    + b"\r\n"
    + BODY,
    "chunks": b"HTTP/1.1 200 OK\r\n"
    + ECHO
    + b"Transfer-Encoding: chunked\r\n\r\n14\r\n"
    + BODY
    + b"\r\n0\r\n\r\n",
    "interim responses": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n"
    + ECHO
    + b"\r\n"
    + WITH_LENGTH,
    "HTTP/1.0": WITH_LENGTH.replace(b"1.1", b"1.0"),
    "folded lines": WITH_LENGTH.replace(b"\r\n\r\n", b"\r\nX-Long: a\r\n b\r\n\r\n"),
    "line feeds": WITH_LENGTH.replace(b"\r\n", b"\n"),
}
WITHOUT_FRAMING = b"HTTP/1.1 200 OK\r\n" + ECHO + b"\r\n" + BODY
REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n" + ECHO + b"Content-Length: 0\r\n\r\n"
)
REPORT = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 53\r\n\r\n{"handle":"h-1","made":3,'
    b'"state":"ready","next":1}   '
)
LEAVING_REPORT = REPORT.replace(b'"ready"   ', b'"draining"')
PARTS = 7
AT_ONCE = 25
# Connections to the replica are given up after 0.25 s, also if this process was late.
CONNECTS = 20
CALL = relays.RelayCall(ids.RequestId("q-1"), "POST", "/once/1", (), b"body", None)
OPTIONS = relays.SendOptions(5.0)
GENERATION_HEADERS = ["X-Token-Usage: 10,80", "X-Model: m"]
# Long enough for a backup.
LONG_GENERATION_HEADERS = ["X-Token-Usage: 2500,80", "X-Model: m"]
CALLS = 40


def end_connection(writer, is_reset):
    if is_reset:
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    raise ConnectionError


class CutReplica:
    """Sends the bytes that the next request names in its path, and closes."""

    def __init__(self):
        self.cuts = []
        self.is_reset = False
        self.raw = standin.RawServer(self.respond)

    async def respond(self, request, writer):
        data = self.cuts[int(request.first_line.split()[1].rpartition("/")[2])]
        size = max(1, len(data) // PARTS)
        for at in range(0, len(data), size):
            writer.write(data[at : at + size])
            await writer.drain()
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        end_connection(writer, self.is_reset)

    async def start(self):
        await self.raw.start()
        self.connector = replicas.ReplicaConnector()
        self.client = self.connector(entry(self.raw))

    async def receive_each(self, cuts):
        """Return for each response the body that is taken as whole, or a failure."""
        self.cuts = cuts
        received = []
        for first in range(0, len(cuts), AT_ONCE):
            numbers = range(first, min(first + AT_ONCE, len(cuts)))
            received += await asyncio.gather(*(self.receive(each) for each in numbers))
        return received

    async def receive(self, number):
        target = f"/once/{number}"
        call = relays.RelayCall(CALL.request_id, "POST", target, (), b"body", None)
        for _ in range(CONNECTS):
            sent = await self.client.send(call, OPTIONS)
            if isinstance(sent, result.Success):
                response = sent.unwrap()
                body = await response.read_body()
                response.close()
                return body
            if sent.failure().end is not base.AttemptEnd.NOT_SENT:
                return sent
        return sent


def cuts(whole, last):
    """Return the first bytes of a response, up to ``last`` of them."""
    return [whole[:size] for size in range(last + 1)]


def ends(received):
    """Return how the attempts have ended; ``None`` for a response."""
    return [
        each.failure().end if isinstance(each, result.Failure) else None
        for each in received
    ]


def entry(raw):
    return discovery.DiscoveredServer(
        ids.ServerId("i-1"),
        ids.ServiceName("ledger"),
        raw.address,
        ids.DataCentreId("flx-a"),
        discovery.ServerState.READY,
        6,
        is_engine=True,
    )


@pytest.fixture
async def cut_replica():
    replica = CutReplica()
    await replica.start()
    yield replica
    await replica.connector.close()
    replica.raw.stop()


@pytest.fixture(params=["C", "Python"])
def parser(request, monkeypatch):
    """Let the client use one of the HTTP library's two parsers."""
    name = "HttpResponseParserPy" if request.param == "Python" else "HttpResponseParser"
    monkeypatch.setattr(client_proto, "HttpResponseParser", getattr(http_parser, name))


@pytest.mark.usefixtures("parser")
@pytest.mark.parametrize("is_reset", [False, True])
class TestCalls:
    @pytest.mark.parametrize("form", RESPONSES)
    async def test_response_cut_anywhere_is_no_response(
        self, cut_replica, form, is_reset
    ):
        cut_replica.is_reset = is_reset
        whole = RESPONSES[form]
        received = await cut_replica.receive_each(cuts(whole, len(whole)))
        assert received.pop() == result.Success(BODY)
        assert ends(received) == [base.AttemptEnd.MAY_HAVE_RUN] * len(whole)

    @pytest.mark.parametrize("whole", [WITHOUT_FRAMING, REFUSAL])
    async def test_head_cut_anywhere_is_no_response(self, cut_replica, whole, is_reset):
        cut_replica.is_reset = is_reset
        last = whole.index(b"\r\n\r\n") + 3
        received = await cut_replica.receive_each(cuts(whole, last))
        assert ends(received) == [base.AttemptEnd.MAY_HAVE_RUN] * (last + 1)

    @pytest.mark.parametrize("second", [WITH_LENGTH, REFUSAL])
    async def test_head_that_another_one_continues_is_no_response(
        self, cut_replica, second, is_reset
    ):
        cut_replica.is_reset = is_reset
        first_size = WITH_LENGTH.index(b"X-")
        heads = cuts(WITH_LENGTH, WITH_LENGTH.index(b"\r\n\r\n") + 2)[first_size:]
        received = await cut_replica.receive_each([each + second for each in heads])
        assert ends(received) == [base.AttemptEnd.MAY_HAVE_RUN] * len(heads)


class CutHeads:
    """Replicas at one address, which all cut the heads of their responses."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.sizes = iter(())
        self.is_reset = False
        self.raw = standin.RawServer(self.respond)

    async def respond(self, request, writer):
        if request.first_line.startswith("GET /v1/"):
            writer.write(REPORT)
            return
        whole = standin.response_bytes(request, body=BODY)
        if request.first_line.split()[1].startswith("/drafts/"):
            whole = standin.stream_head(request)
        head = whole[: whole.index(b"\r\n\r\n") + 2]
        writer.write(head[: next(self.sizes) % len(head) + 1])
        await writer.drain()
        end_connection(writer, self.is_reset)

    async def statuses(self, data, step):
        """Return the statuses of some requests, with cuts at different places."""
        self.sizes = iter(range(10 * CALLS * step, 0, -step))
        responses = [
            await standin.exchange(self.gateway.port, data) for _ in range(CALLS)
        ]
        return {each.status for each in responses}


@pytest.fixture
async def cut_heads(gateway, platform):
    heads = CutHeads(gateway)
    await heads.raw.start()
    for number in range(4 * CALLS):
        platform.add(heads.raw, f"l-{number}")
        platform.add(heads.raw, f"e-{number}", "model", stage="unified", slots=24)
    await gateway.until_listed(8 * CALLS)
    yield heads
    heads.raw.stop()


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("path", ["/once/1", "/reads/1", "/drafts/1"])
class TestCallers:
    async def test_cut_head_is_a_failure(self, cut_heads, path, is_reset):
        cut_heads.is_reset = is_reset
        data = standin.request_bytes(path, GENERATION_HEADERS)
        assert await cut_heads.statuses(data, step=3) == {502}


class ResumedReplica:
    """Breaks its stream off after three events; cuts the head of its resumed stream."""

    def __init__(self, sent_of_head):
        self.sent_of_head = sent_of_head
        self.resumes = 0
        self.raw = standin.RawServer(self.respond)

    async def respond(self, request, writer):
        if request.first_line.startswith("GET /v1/"):
            writer.write(REPORT)
            return
        head = standin.stream_head(request)
        if request.header("Kv-From") is not None:
            self.resumes += 1
            writer.write(head[: int(self.sent_of_head * (len(head) - 2))])
            await writer.drain()
            raise ConnectionError
        writer.write(head)
        for number in (1, 2, 3):
            writer.write(standin.chunk(b"id: %d\ndata: x\n\n" % number))
        await writer.drain()
        await asyncio.sleep(0.05)
        end_connection(writer, is_reset=True)


class TestResumedStreams:
    @pytest.mark.parametrize("sent_of_head", [0.2, 0.5, 0.9, 1.0])
    async def test_cut_head_of_a_resumed_stream_breaks_the_response_off(
        self, gateway, platform, sent_of_head, monkeypatch
    ):
        monkeypatch.setattr(
            shared_budget.SharedBudget, "try_withdraw_resume", lambda *_: True
        )
        replica = ResumedReplica(sent_of_head)
        await replica.raw.start()
        for number in range(4):
            platform.add(replica.raw, f"e-{number}", "model", stage="unified", slots=24)
        await gateway.until_listed(4)
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        writer.write(standin.request_bytes("/drafts/1", LONG_GENERATION_HEADERS))
        async with asyncio.timeout(5):
            received = await reader.read()
        writer.close()
        replica.raw.stop()
        assert replica.resumes == 1
        assert received.count(b"id: ") == 3
        assert not received.endswith(b"0\r\n\r\n")


class TestQueries:
    async def cut(self, cut_replica, ask):
        """Return the answers of a query at each cut of its response."""
        answers = []
        for data in cuts(LEAVING_REPORT, LEAVING_REPORT.index(b"\r\n\r\n") + 3):

            async def respond(request, writer, data=data):
                writer.write(data)
                await writer.drain()
                raise ConnectionError

            cut_replica.raw.respond = respond
            answers.append(await ask(cut_replica.client))
        return answers

    async def test_move_with_a_cut_head_has_no_copy(self, cut_replica):
        copied = await self.cut(
            cut_replica,
            lambda client: client.copy_memory(CALL.request_id, "127.0.0.1:1", 1.0),
        )
        assert {type(each) for each in copied} == {result.Failure}

    async def test_report_with_a_cut_head_says_nothing(self, cut_replica):
        answers = await self.cut(cut_replica, lambda client: client.is_leaving())
        assert set(answers) == {False}

    async def test_hint_with_a_cut_head_says_nothing(self, cut_replica):
        hints = await self.cut(
            cut_replica, lambda client: client.wait_for_leaving_hint(0.1)
        )
        assert {type(each) for each in hints} == {result.Failure}

    async def test_probe_with_a_cut_head_is_not_answered(self, cut_replica):
        answers = await self.cut(cut_replica, lambda client: client.responds(1.0))
        assert set(answers) == {False}
