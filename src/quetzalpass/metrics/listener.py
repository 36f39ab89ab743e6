"""Listener for the metrics of a process, which never holds up the process itself."""

import asyncio
import math

from aiohttp import web

from quetzalpass import background
from quetzalpass.inbound import connections, rules
from quetzalpass.metrics import exposition
from quetzalpass.wire import server

STOP_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 16


class MetricsListener:
    """Serves the metrics of a process as soon as its address is free.

    Parameters
    ----------
    metrics : exposition.ProcessMetrics
        The metrics.
    address : str
        Where to listen, ``host:port``.
    """

    def __init__(self, metrics: exposition.ProcessMetrics, address: str) -> None:
        self.address = address
        app = web.Application()
        metrics.add_route(app)
        self.runner = connections.GuardedRunner(
            app,
            rules.FixedRules(MAX_CONNECTIONS),
            access_log=None,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self.tasks = background.BackgroundTasks()
        self.opening: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to listen, in the background."""
        self.opening = self.tasks.spawn(
            server.listen(self.runner, self.address, math.inf)
        )

    async def close(self) -> None:
        """Close the listener and its connections."""
        if self.opening is not None:
            self.opening.cancel()
            await asyncio.wait({self.opening})
        await self.runner.cleanup()
