"""Servers of the own interface that stop in the middle of their response."""

import asyncio

import pytest
from aiohttp import client_proto, http_parser
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base, engine_http, service_http
from quetzalpass.settings import schema

LOAD = (
    b'{"running":1,"waiting":0,"tokens_held":0,"memory_tokens":9,"preemptions":0,'
    b'"age_s":0.1}'
)
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LOAD), LOAD)
IN_CHUNKS = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
    % (len(LOAD), LOAD)
)
NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nQuetzalpass-Not-Run: true\r\nContent-Length: 2\r\n\r\n{}"
)
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


class CutServer:
    """Sends a given response to each request, and closes.

    Attributes
    ----------
    repeats_refusals : bool
        Whether it writes a response once more instead of closing.
    """

    def __init__(self):
        self.response = b""
        self.repeats_refusals = False
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        self.connections += 1
        response = self.response
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
            if self.repeats_refusals:
                await asyncio.sleep(0.02)
                writer.write(response)
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


@pytest.fixture(params=["C", "Python"])
async def server(request, monkeypatch):
    name = "HttpResponseParserPy" if request.param == "Python" else "HttpResponseParser"
    monkeypatch.setattr(client_proto, "HttpResponseParser", getattr(http_parser, name))
    cut_server = CutServer()
    await cut_server.start()
    yield cut_server
    cut_server.server.close()


def head_cuts(whole):
    """Return the first bytes of a response, without its whole head."""
    return cuts(whole)[: whole.index(b"\r\n\r\n") + 4]


def cuts(whole):
    """Return the first bytes of a response, without the whole one."""
    return [whole[:size] for size in range(len(whole))]


async def ends(server, responses, ask):
    """Return how the attempts end that get these responses."""
    found = set()
    for server.response in responses:
        answer = await ask()
        assert isinstance(answer, result.Failure), server.response
        found.add(answer.failure().end)
    return found


def call():
    return base.ServiceCall("POST", "waivers", "", {}, b"", ids.RequestId("r"), None)


class TestServices:
    @pytest.mark.parametrize("whole", [WITH_LENGTH, IN_CHUNKS])
    async def test_cut_response_may_have_run(self, server, whole):
        service = service_http.HttpService(server.url, schema.Limits())
        for ask in (
            lambda: service.call(call(), 2.0),
            lambda: service.find_outcome("/outcomes/1", 2.0),
        ):
            found = await ends(server, cuts(whole), ask)
            assert found == {base.AttemptEnd.MAY_HAVE_RUN}
        await service.close()

    async def test_cut_refusal_proves_nothing(self, server):
        service = service_http.HttpService(server.url, schema.Limits())
        found = await ends(server, cuts(NOT_RUN), lambda: service.call(call(), 2.0))
        assert found == {base.AttemptEnd.MAY_HAVE_RUN}
        await service.close()

    async def test_refusal_that_is_written_once_more_reaches_no_later_call(
        self, server
    ):
        service = service_http.HttpService(server.url, schema.Limits())
        server.repeats_refusals = True
        server.response = NOT_RUN
        refused = await service.call(call(), 2.0)
        await asyncio.sleep(0.05)
        server.response = WITH_LENGTH
        response = await service.call(call(), 2.0)
        await service.close()
        assert refused.failure().end is base.AttemptEnd.REFUSED
        assert response.unwrap().body == LOAD
        assert server.connections == 2


class TestEngines:
    async def test_cut_head_may_have_run(self, server):
        engine = engine_http.HttpEngine(server.url, schema.Limits())
        for whole in (WITH_LENGTH, IN_CHUNKS, BUSY):
            found = await ends(
                server,
                head_cuts(whole),
                lambda: engine.resume(ids.GenerationId("g"), 0, 2.0),
            )
            assert found == {base.AttemptEnd.MAY_HAVE_RUN}
        await engine.close()

    @pytest.mark.parametrize("whole", [WITH_LENGTH, IN_CHUNKS])
    async def test_cut_report_is_none(self, server, whole):
        engine = engine_http.HttpEngine(server.url, schema.Limits())
        found = await ends(server, cuts(whole), lambda: engine.load_report(2.0))
        assert found == {base.AttemptEnd.MAY_HAVE_RUN}
        await engine.close()

    async def test_refusal_that_is_written_once_more_reaches_no_later_request(
        self, server
    ):
        engine = engine_http.HttpEngine(server.url, schema.Limits())
        server.repeats_refusals = True
        server.response = BUSY
        refused = await engine.resume(ids.GenerationId("g"), 0, 2.0)
        await asyncio.sleep(0.05)
        server.response = WITH_LENGTH
        report = await engine.load_report(2.0)
        await engine.close()
        assert refused.failure().end is base.AttemptEnd.REFUSED
        assert report.unwrap().running == 1
        assert server.connections == 2
