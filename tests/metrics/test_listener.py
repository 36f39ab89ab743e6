"""The listener for metrics, whose port another process may hold for a while."""

import asyncio
import socket

import aiohttp
import pytest

from quetzalpass.bench import local_ports
from quetzalpass.metrics import exposition, listener

BACK_S = 3.0


@pytest.fixture
def address():
    (port,) = local_ports.free_ports(1)
    return f"127.0.0.1:{port}"


def take(address):
    host, _, port = address.rpartition(":")
    taken = socket.socket()
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    taken.bind((host, int(port)))
    taken.listen()
    return taken


async def read_metrics(address):
    url = f"http://{address}{exposition.PATH}"
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as response:
            return await response.text()


async def until_served(address):
    async with asyncio.timeout(BACK_S):
        while True:
            try:
                return await read_metrics(address)
            except aiohttp.ClientError:
                await asyncio.sleep(0.05)


class TestTakenPort:
    async def test_metrics_are_served_once_the_port_is_free(self, address):
        opened = listener.MetricsListener(exposition.ProcessMetrics(), address)
        with take(address):
            opened.start()
            await asyncio.sleep(4.0)
        assert "quetzalpass_revision" in await until_served(address)
        await opened.close()

    async def test_a_listener_that_still_waits_can_be_closed(self, address):
        opened = listener.MetricsListener(exposition.ProcessMetrics(), address)
        with take(address):
            opened.start()
            await asyncio.sleep(0.2)
            await opened.close()
        with pytest.raises(aiohttp.ClientError):
            await read_metrics(address)
