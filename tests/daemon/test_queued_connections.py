"""Connections that are still in the queue of a TLS listener when it closes."""

import asyncio
import socket

from aiohttp import web

from daemon import test_listeners
from quetzalpass.daemon import listeners
from quetzalpass.settings import schema


class TestQueuedConnections:
    async def test_silent_connection_does_not_delay_the_stop(self, tmp_path):
        test_listeners.make_certificate(tmp_path, "first")
        tls = schema.Tls(str(tmp_path / "cert.pem"), str(tmp_path / "key.pem"))
        runner = web.AppRunner(web.Application(), access_log=None, shutdown_timeout=0.1)
        listener = listeners.HttpListener(
            runner, schema.Listener("127.0.0.1", 0, tls=tls)
        )
        await listener.start()
        with socket.create_connection(("127.0.0.1", listener.port())):
            async with asyncio.timeout(5.0):
                await listener.close(1.0)
