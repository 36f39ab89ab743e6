import asyncio

import pytest

from quetzalpass import ids
from quetzalpass.backends import base, engine_http, service_http
from quetzalpass.settings import schema


class ClosingServer:
    """Closes each connection after one request, with a response only on some paths.

    Attributes
    ----------
    methods : list of str
        HTTP methods of the requests received, and ``reused`` once a connection with a
        response is reused or closed by the client.
    heads : list of str
        Request lines and headers received.
    """

    def __init__(self):
        self.methods = []
        self.heads = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}"

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head.decode())
        self.methods.append(head.split(b" ")[0].decode())
        if b"/answered" in head:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await reader.read(1)
            self.methods.append("reused")
        writer.close()


@pytest.fixture
async def server():
    closing = ClosingServer()
    closing.url = await closing.start()
    yield closing
    closing.server.close()


class TestServices:
    @pytest.mark.parametrize("method", ["GET", "PUT", "POST", "DELETE"])
    @pytest.mark.parametrize("after_a_response", [False, True])
    async def test_request_is_sent_once(self, server, method, after_a_response):
        service = service_http.HttpService(server.url, schema.Limits())
        if after_a_response:
            call = make_call("GET", "answered")
            assert (await service.call(call, 2.0)).unwrap().body == b"ok"
            server.methods.clear()
        failure = (await service.call(make_call(method), 2.0)).failure()
        await service.close()
        assert failure.end is base.AttemptEnd.MAY_HAVE_RUN
        assert server.methods.count(method) == 1

    async def test_time_left_is_sent_to_the_service(self, server):
        service = service_http.HttpService(server.url, schema.Limits())
        await service.call(make_call("GET"), 2.0)
        await service.close()
        assert "Quetzalpass-Timeout-Ms: 2000\r\n" in server.heads[0]


class TestEngines:
    async def test_requests_are_sent_once(self, server):
        engine = engine_http.HttpEngine(server.url, schema.Limits())
        call = base.GenerationCall(
            ids.GenerationId("g"),
            ids.RequestId("r"),
            ids.ModelName("m"),
            ids.VersionName("1"),
            None,
            "prompt",
            (),
            5,
            0,
            time_left_ms=1500,
        )
        started = await engine.start(call, 2.0)
        resumed = await engine.resume(ids.GenerationId("g"), 0, 2.0)
        await engine.cancel(ids.GenerationId("g"))
        await engine.close()
        assert started.failure().end is base.AttemptEnd.MAY_HAVE_RUN
        assert resumed.failure().end is base.AttemptEnd.MAY_HAVE_RUN
        assert server.methods == ["POST", "GET", "DELETE"]
        assert "Quetzalpass-Timeout-Ms: 1500\r\n" in server.heads[0]


def make_call(method, path="waivers"):
    return base.ServiceCall(method, path, "", {}, b"x", ids.RequestId("r"), None)
