"""Detects early which backend servers are about to leave.

The platform's list shows it late, but a server hints at it in each of its responses, so
the control node that reads the list keeps one request pending at each engine. A hint
is confirmed before it is announced, since servers also close connections for other
reasons.
"""

import asyncio
import functools
from collections.abc import Callable

import logbook
from returns import result

from quetzalpass import background
from quetzalpass.backends import discovery, relays
from quetzalpass.membership import fleet_registry

LOG = logbook.Logger("membership")

HINT_WAIT_S = 0.25
RETRY_S = 0.5
SERVER_CHECK_INTERVAL_S = 0.2

Connect = Callable[[discovery.DiscoveredServer], relays.RelayServer]


class LeavingServerMonitor:
    """Keeps a request pending at each engine that is in use.

    Parameters
    ----------
    registry : fleet_registry.FleetRegistry
        Provides the servers and receives announcements.
    connect : callable
        Creates the adapter of a server.
    """

    def __init__(
        self, registry: fleet_registry.FleetRegistry, connect: Connect
    ) -> None:
        self.registry = registry
        self.connect = connect
        self.tasks: dict[discovery.ServerPlace, asyncio.Task[None]] = {}
        self.failure_log = background.FailureLog()

    async def run(self) -> None:
        """Keep one task for each engine in use while this node reads the list."""
        while True:
            wanted = {}
            if self.registry.is_active():
                wanted = {
                    each.place: each
                    for each in self.registry.servers
                    if is_monitored(each)
                }
            for place in list(self.tasks):
                if place not in wanted:
                    self.tasks.pop(place).cancel()
            for place, server in wanted.items():
                if place not in self.tasks:
                    self.tasks[place] = self.start_watching(server)
            await asyncio.sleep(SERVER_CHECK_INTERVAL_S)

    def start_watching(self, server: discovery.DiscoveredServer) -> asyncio.Task[None]:
        """Start the task that watches one engine; it goes on after a failure."""
        watch = functools.partial(self.watch, server)
        return asyncio.create_task(
            background.run_to_end(
                f"watching {server.id}", watch, RETRY_S, self.failure_log
            )
        )

    async def watch(self, server: discovery.DiscoveredServer) -> None:
        """Query one engine repeatedly until it is leaving, and announce that."""
        adapter = self.connect(server)
        try:
            while not await self.is_leaving(adapter):
                pass
            self.registry.announce((server.id,), (server.start_key,))
        finally:
            await adapter.close()

    async def is_leaving(self, adapter: relays.RelayServer) -> bool:
        """Query the engine once; return whether it confirms that it is leaving."""
        hinted = await adapter.wait_for_leaving_hint(HINT_WAIT_S)
        if isinstance(hinted, result.Failure):
            await asyncio.sleep(RETRY_S)
            return False
        return hinted.unwrap() and await adapter.is_leaving()

    def stop(self) -> None:
        """Stop all tasks."""
        for task in self.tasks.values():
            task.cancel()


def is_monitored(server: discovery.DiscoveredServer) -> bool:
    """Return whether a server is an engine in use."""
    return server.is_engine and server.state is discovery.ServerState.READY
