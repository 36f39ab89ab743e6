"""Planned stops of control nodes as processes, while an operator goes on calling."""

import asyncio
import contextlib
import json
import random
import signal

import pytest

from platform_standin import standin
from quetzalpass.bench import local_ports
from soak import processes, soak

START_S = 20.0
# The platform's time between the signal and its kill.
GRACE_S = 8.0
CALL_S = 10.0
CALLERS = 6


class Operator:
    """Publishes and reads at one node, again and again, and records each outcome."""

    def __init__(self, address, version=1):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.version = version
        self.acknowledged = 0
        self.unanswered = []
        self.tasks = []

    def start(self):
        for number in range(CALLERS):
            keeps = number % 2 == 0
            self.tasks.append(asyncio.create_task(self.run(keeps)))

    async def run(self, keeps):
        """Call on kept or on new connections, until the node refuses connections."""
        connection = None
        with contextlib.suppress(ConnectionRefusedError):
            while True:
                is_new = connection is None
                if is_new:
                    connection = await asyncio.open_connection(self.host, self.port)
                is_open = await self.call(*connection, is_new)
                if not (is_open and keeps):
                    connection[1].close()
                    connection = None

    async def call(self, reader, writer, is_new):
        """Send one call; return whether the connection can be used again."""
        self.version += 1
        version = self.version
        method, body = random.choice((("GET", b""), ("PUT", state(version))))
        # The end of the process may close a connection on which nothing was sent.
        if reader.at_eof():
            return False
        writer.write(request(method, body))
        try:
            async with asyncio.timeout(CALL_S):
                response = await standin.read_message(reader)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
            # The kernel resets a connection whose request hasn't been read, such as a
            # new one that crosses the close of the listener.
            is_unread = is_new and isinstance(error, ConnectionResetError)
            if not is_unread:
                self.unanswered.append(f"{method} {version}: {error!r}")
            return False
        if response.status == 503:
            assert response.header("Retry-After")
        if method == "PUT" and response.status == 200:
            self.acknowledged = max(self.acknowledged, version)
        return response.header("Connection") != "close"

    async def stop(self):
        for each in self.tasks:
            each.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def state(version):
    return standin.state(version=version)


def request(method, body):
    head = f"{method} /v1/config HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}"
    return f"{head}\r\n\r\n".encode() + body


async def call_once(address, method, body):
    """Return the response to one call on a new connection, or ``None``."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request(method, body))
        response = await standin.read_message(reader)
        writer.close()
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    return response


class Controls:
    """Three control nodes as processes."""

    def __init__(self, folder, list_address):
        net, self.claim = soak.claim_network(random.SystemRandom().randrange(10_000))
        ports = processes.Ports(*local_ports.free_ports(4))
        self.cluster = processes.Cluster(folder, net, ports, list_address, gateways=0)
        self.nodes = self.cluster.controls

    def address(self, node):
        return f"{node.ip}:{self.cluster.ports.control}"

    async def start(self):
        await self.cluster.start()
        for node in self.nodes:
            await self.until_ok(node, "PUT", state(1))

    async def until_ok(self, node, method="GET", body=b""):
        """Call until the node responds with 200; return the response."""
        async with asyncio.timeout(START_S):
            while True:
                response = await call_once(self.address(node), method, body)
                if response is not None and response.status == 200:
                    return response
                await asyncio.sleep(0.1)

    async def newest_version(self, node):
        return json.loads((await self.until_ok(node)).body)["version"]

    async def terminate(self, node):
        node.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GRACE_S):
            return await node.process.wait()

    async def stop(self):
        await self.cluster.stop()
        self.claim.close()


@pytest.fixture
async def controls(tmp_path):
    platform = standin.Platform()
    await platform.list.start()
    started = Controls(tmp_path, platform.list.address)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()
        platform.list.stop()


class TestControlNodes:
    async def test_each_call_is_answered_while_the_nodes_stop_in_turn(self, controls):
        acknowledged = 1
        for node in controls.nodes:
            operator = Operator(controls.address(node), acknowledged)
            operator.start()
            await asyncio.sleep(0.5)
            assert await controls.terminate(node) == 0
            await operator.stop()
            assert operator.unanswered == []
            acknowledged = operator.acknowledged
            assert acknowledged
            await node.start()
            assert await controls.newest_version(node) >= acknowledged

    async def test_each_call_is_answered_while_all_nodes_stop(self, controls):
        operators = [Operator(controls.address(each)) for each in controls.nodes]
        for operator in operators:
            operator.start()
        await asyncio.sleep(0.5)
        stops = [controls.terminate(each) for each in controls.nodes]
        assert await asyncio.gather(*stops) == [0, 0, 0]
        for operator in operators:
            await operator.stop()
            assert operator.unanswered == []
        acknowledged = max(each.acknowledged for each in operators)
        assert acknowledged
        for node in controls.nodes:
            await node.start()
        assert await controls.newest_version(node) >= acknowledged

    async def test_put_whose_body_is_not_whole_is_answered(self, controls):
        node = controls.nodes[0]
        reader, writer = await asyncio.open_connection(
            node.ip, controls.cluster.ports.control
        )
        writer.write(request("PUT", state(2))[:-1])
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(controls.terminate(node))
        response = await standin.read_message(reader)
        assert response.status == 503
        assert response.header("Retry-After")
        assert await stopping == 0
        writer.close()
