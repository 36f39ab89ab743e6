import asyncio
import contextlib
import errno
import socket

import aiohttp
import pytest
from aiohttp import web
from returns import result

from fakes import descriptors
from quetzalpass import ids
from quetzalpass.results import codes
from quetzalpass.wire import handlers, messages, server, transport

PEER = ids.VmId("peer")

# asyncio accepts nothing for a second after a listener has run out of descriptors.
BACK_S = 3.0


class EchoReply(messages.Reply, frozen=True):
    data: bytes


class EchoRequest(messages.Request, frozen=True):
    reply_type = EchoReply
    data: bytes


class Proxy:
    """TCP proxy that can silently stop relaying on its open connections."""

    def __init__(self, port):
        self.port = port
        self.connection_count = 0
        self.silent_count = 0

    def silence_open_connections(self):
        self.silent_count = self.connection_count

    async def relay(self, number, reader, writer):
        while data := await reader.read(65536):
            if number <= self.silent_count:
                await asyncio.Event().wait()
            writer.write(data)
        writer.close()

    async def connect(self, reader, writer):
        self.connection_count += 1
        number = self.connection_count
        upstream = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.gather(
            self.relay(number, reader, upstream[1]),
            self.relay(number, upstream[0], writer),
        )


async def echo(request):
    return result.Success(EchoReply(request.data))


@contextlib.asynccontextmanager
async def running_server(cluster_key="secret"):
    table = handlers.HandlerTable()
    table.add(EchoRequest, echo)
    application = server.new_application()
    server.PeerServer(table, "secret").add_routes(application)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    client = transport.HttpTransport({PEER: f"http://127.0.0.1:{port}"}, cluster_key)
    yield client, port
    await client.close()
    await runner.cleanup()


@pytest.mark.looptime
class TestHttpTransport:
    async def test_bytes_survive_a_round_trip(self):
        async with running_server() as (client, _):
            reply = (await client.call(PEER, EchoRequest(b"\x00\xff"))).unwrap()
            assert reply.data == b"\x00\xff"

    async def test_a_wrong_key_is_refused(self):
        async with running_server("wrong") as (client, _):
            failure = (await client.call(PEER, EchoRequest(b""))).failure()
            assert failure.code is codes.Code.UNKNOWN_KEY

    async def test_a_message_above_the_limit_is_refused(self):
        async with running_server() as (client, _):
            large_request = EchoRequest(bytes(messages.MAX_MESSAGE_BYTES))
            failure = (await client.call(PEER, large_request)).failure()
            assert failure.code is codes.Code.BODY_TOO_LARGE

    async def test_a_reply_above_the_limit_is_refused(self, monkeypatch):
        async with running_server() as (client, _):
            (await client.call(PEER, EchoRequest(bytes(3000)))).unwrap()
            monkeypatch.setattr(messages, "MAX_MESSAGE_BYTES", 1000)
            failure = (await client.call(PEER, EchoRequest(bytes(3000)))).failure()
            assert failure.code is codes.Code.UNREACHABLE
            assert "limit" in failure.message

    async def test_a_key_that_is_not_utf_8_is_refused(self):
        async with running_server() as (client, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            path = transport.PATH_PREFIX + "EchoRequest"
            writer.write(f"POST {path} HTTP/1.1\r\nHost: x\r\n".encode())
            writer.write(transport.CLUSTER_KEY_HEADER.encode() + b": \xff\xfe\r\n")
            writer.write(b"Content-Length: 0\r\n\r\n")
            assert b" 401 " in await reader.readline()
            writer.close()

    async def test_bad_json_and_unknown_request_types_are_refused(self):
        async with running_server() as (client, port):
            url = f"http://127.0.0.1:{port}{transport.PATH_PREFIX}"
            async with aiohttp.ClientSession(headers=client.headers) as session:
                for name, status in (("EchoRequest", 400), ("Nothing", 404)):
                    async with session.post(url + name, data=b"{") as response:
                        assert response.status == status

    async def test_a_silent_connection_is_replaced_within_the_timeout(self):
        async with running_server() as (client, port):
            proxy = Proxy(port)
            relay = await asyncio.start_server(proxy.connect, "127.0.0.1", 0)
            address = relay.sockets[0].getsockname()
            client.addresses[PEER] = f"http://127.0.0.1:{address[1]}"
            (await client.call(PEER, EchoRequest(b"1"))).unwrap()
            proxy.silence_open_connections()
            started = asyncio.get_running_loop().time()
            (await client.call(PEER, EchoRequest(b"2"), 30.0)).unwrap()
            assert asyncio.get_running_loop().time() - started < 30.0
            relay.close()

    async def test_a_missing_peer_is_unreachable(self):
        client = transport.HttpTransport({PEER: "http://127.0.0.1:9"}, "secret")
        failure = (await client.call(PEER, EchoRequest(b""))).failure()
        assert failure.code is codes.Code.UNREACHABLE
        await client.close()

    async def test_a_peer_is_reached_again_once_there_are_descriptors(self):
        async with running_server() as (client, port):
            with descriptors.used_up():
                failure = (await client.call(PEER, EchoRequest(b"1"))).failure()
                assert failure.code is codes.Code.UNREACHABLE
            (await client.call(PEER, EchoRequest(b"2"), BACK_S)).unwrap()


class TestStopListening:
    async def test_connection_that_is_not_accepted_yet_is_served(self):
        async def handle(request):
            return web.Response(text="served")

        app = web.Application()
        app.router.add_get("/", handle)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await server.listen(runner, "127.0.0.1:0")
        address = runner.addresses[0]
        with socket.create_connection(address) as client:
            client.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            await server.stop_listening(runner)
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            assert b"200 OK" in await loop.sock_recv(client, 1_000)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        await runner.cleanup()

    async def test_stop_goes_on_without_descriptors(self, monkeypatch):
        class Exhausted(socket.socket):
            def accept(self):
                raise OSError(errno.EMFILE, "too many open files")

        app = web.Application()
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await server.listen(runner, "127.0.0.1:0")
        (listening,) = next(iter(runner.sites))._server.sockets
        exhausted = Exhausted(fileno=listening.dup().detach())
        monkeypatch.setattr(server, "duplicate", lambda each: exhausted)
        await server.close(runner, 0.1, 0.1)
        assert exhausted.fileno() == -1


class TestClose:
    async def test_request_that_is_served_gets_its_response(self):
        async def handle(request):
            await asyncio.sleep(0.4)
            return web.Response(text="served")

        app = web.Application()
        app.router.add_get("/", handle)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await server.listen(runner, "127.0.0.1:0")
        reader, writer = await asyncio.open_connection(*runner.addresses[0])
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        await asyncio.sleep(0.05)
        await server.close(runner, 1.0, 0.1)
        assert b"served" in await reader.read()
        writer.close()
