import asyncio
import contextlib

import pytest

from quetzalpass.bench import local_cluster
from quetzalpass.callers import app, connections
from quetzalpass.daemon import listeners
from quetzalpass.settings import schema

LIMITS = schema.Limits(
    body_bytes=4_000,
    header_bytes=1_000,
    line_bytes=500,
    connections=8,
    body_timeout_s=2.0,
    header_timeout_s=2.0,
    slow_caller_bytes=20_000,
    slow_caller_s=3.0,
    caller_keep_alive_s=1.0,
    caller_grace_s=1.0,
)


class ClusterFrontend:
    """A cluster whose gateways serve callers over HTTP, with the real listener."""

    def __init__(self, cluster, opened):
        self.cluster = cluster
        self.opened = opened
        self.engine = cluster.engines[0]
        self.gateway = cluster.gateways[0].gateway

    def url(self, index=0):
        return f"http://127.0.0.1:{self.opened[index].port()}"

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.opened[0].port())

    async def send(self, data, finish=False):
        """Send raw bytes; return the bytes of the response."""
        reader, writer = await self.connect()
        writer.write(data)
        if finish:
            writer.write_eof()
        response = await reader.read()
        writer.close()
        return response


@pytest.fixture
async def start_frontend():
    async with contextlib.AsyncExitStack() as stack:

        async def start(limits=LIMITS, **options):
            cluster = local_cluster.LocalCluster(limits=limits, **options)
            stack.push_async_callback(cluster.stop)
            await cluster.start()
            opened = []
            for each in cluster.gateways:
                runner = connections.CallersRunner(
                    app.CallersInterface(each.gateway).application(),
                    connections.CallerRules(limits, each.gateway.new_request_id, 2.0),
                    handler_cancellation=True,
                    access_log=None,
                    shutdown_timeout=1.0,
                    max_line_size=limits.line_bytes,
                    max_field_size=limits.header_bytes,
                )
                listener = listeners.HttpListener(
                    runner, schema.Listener("127.0.0.1", 0)
                )
                await listener.start()
                stack.push_async_callback(listener.close, 1.0)
                opened.append(listener)
            return ClusterFrontend(cluster, opened)

        yield start
