"""Listeners whose address is taken, or that run out of descriptors, for a time."""

import asyncio
import math
import pathlib
import socket

import logbook
import pytest
from aiohttp import web

from fakes import descriptors
from quetzalpass import background
from quetzalpass.bench import local_ports
from quetzalpass.daemon import listeners
from quetzalpass.settings import schema
from quetzalpass.wire import server

# asyncio accepts nothing for a second after a listener has run out of descriptors.
BACK_S = 3.0
TAKEN_S = 0.5
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


async def handle(request):
    return web.Response(text="fine")


def new_runner():
    app = web.Application()
    app.router.add_get("/", handle)
    return web.AppRunner(app, access_log=None, shutdown_timeout=0.1)


async def fetch(port):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(REQUEST)
    try:
        return await reader.read()
    finally:
        writer.close()


def take(port):
    taken = socket.socket()
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    taken.bind(("127.0.0.1", port))
    taken.listen()
    return taken


class TestTakenPorts:
    async def test_a_listener_opens_once_its_port_is_free(self):
        (port,) = local_ports.free_ports(1)
        taken = take(port)
        asyncio.get_running_loop().call_later(TAKEN_S, taken.close)
        runner = new_runner()
        await server.listen(runner, f"127.0.0.1:{port}")
        assert b"fine" in await fetch(port)
        assert len(runner.sites) == 1
        await server.close(runner, 0.0, 0.0)

    async def test_a_listener_of_a_daemon_opens_once_its_port_is_free(self):
        (port,) = local_ports.free_ports(1)
        taken = take(port)
        asyncio.get_running_loop().call_later(TAKEN_S, taken.close)
        opened = listeners.HttpListener(
            new_runner(), schema.Listener("127.0.0.1", port)
        )
        await opened.start()
        assert b"fine" in await fetch(port)
        await opened.close(0.0)

    async def test_a_port_that_stays_taken_is_reported_after_the_timeout(self):
        (port,) = local_ports.free_ports(1)
        runner = new_runner()
        with take(port), pytest.raises(OSError, match="address already in use"):
            await server.listen(runner, f"127.0.0.1:{port}", TAKEN_S)
        assert not runner.sites
        await runner.cleanup()

    async def test_a_listener_without_a_timeout_can_be_closed_while_it_waits(self):
        (port,) = local_ports.free_ports(1)
        runner = new_runner()
        with take(port):
            waiting = asyncio.create_task(
                server.listen(runner, f"127.0.0.1:{port}", math.inf)
            )
            await asyncio.sleep(TAKEN_S)
            waiting.cancel()
            await asyncio.wait({waiting})
        assert not runner.sites
        await runner.cleanup()


class TestDescriptors:
    async def test_a_listener_accepts_again_once_there_are_descriptors(self):
        opened = listeners.HttpListener(new_runner(), schema.Listener("127.0.0.1", 0))
        await opened.start()
        caller = socket.socket()
        caller.setblocking(False)
        with descriptors.used_up():
            caller.connect_ex(("127.0.0.1", opened.port()))
            await asyncio.sleep(0.5)
            assert not opened.runner.server.connections
        async with asyncio.timeout(BACK_S):
            assert b"fine" in await fetch(opened.port())
        assert len(opened.runner.server.connections) >= 1
        caller.close()
        await opened.close(0.0)

    async def test_lines_are_bounded_while_there_are_no_descriptors(self, capfd):
        background.log_loop_errors(asyncio.get_running_loop())
        caller = socket.socket()
        caller.setblocking(False)
        with logbook.TestHandler() as handler:
            opened = listeners.HttpListener(
                new_runner(), schema.Listener("127.0.0.1", 0)
            )
            await opened.start()
            with descriptors.used_up():
                caller.connect_ex(("127.0.0.1", opened.port()))
                await asyncio.sleep(0.5)
            caller.close()
            await opened.close(0.0)
        reports = [each for each in handler.records if "accept" in each.message]
        assert 1 <= len(reports) <= background.LINES_PER_MINUTE
        assert "accept" not in capfd.readouterr().err


def open_sockets():
    return len(list(pathlib.Path("/proc/self/fd").iterdir()))


class TestAcceptedConnections:
    """A crowd that a pause has queued is accepted a few connections at a time.

    A control node that stood still for 0.1 s accepted all of a queue in one turn and
    closed those above its limit only later: 512 descriptors of 400.
    """

    CROWD = 300

    async def start(self, is_daemon):
        (port,) = local_ports.free_ports(1)
        runner = new_runner()
        if is_daemon:
            opened = listeners.HttpListener(runner, schema.Listener("127.0.0.1", port))
            await opened.start()
        else:
            await server.listen(runner, f"127.0.0.1:{port}")
        return port, runner

    def press(self, port):
        """Open connections without a turn of the event loop."""
        return [
            socket.create_connection(("127.0.0.1", port), timeout=1.0)
            for _ in range(self.CROWD)
        ]

    @pytest.mark.parametrize("is_daemon", [False, True])
    async def test_no_turn_accepts_a_whole_queue(self, is_daemon):
        port, runner = await self.start(is_daemon)
        crowd = self.press(port)
        growth = []
        count = open_sockets()
        while len(runner.server.connections) < self.CROWD:
            await asyncio.sleep(0)
            growth.append(open_sockets() - count)
            count += growth[-1]
        assert max(growth) <= server.ACCEPTS_PER_TURN
        for each in crowd:
            each.close()
        await server.close(runner, 0.0, 0.0)
