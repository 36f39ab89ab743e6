"""Probes whether a backend server accepts connections, or its data centre does."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

from quetzalpass import background, ids
from quetzalpass.backends import discovery, relays
from quetzalpass.membership import fleet_view, quarantine
from quetzalpass.relay import crash_events, server_health

HEALTH_TIMEOUT_S = 0.5
MAX_NEIGHBOURS = 4
# A server that sent something this recently needs no probe.
RECENTLY_HEARD_S = 0.25


class ServerProbes:
    """Probes of one gateway's servers, and when it last received from each.

    Parameters
    ----------
    view : fleet_view.FleetView
        The backend servers.
    health : server_health.ServerHealth
        Servers that are excluded from new work, and the gateway's data centre.
    suspects : quarantine.Quarantine
        Knows the crashes that other gateways have recorded.
    get_relay_server : callable
        Returns the client of a server.

    Attributes
    ----------
    tasks : background.BackgroundTasks
        Running probes, and the checks that wait for them.
    heard_s : dict of ServerId to float
        Loop time at which the last byte from a server arrived.
    running : dict of ServerId to asyncio.Task
        Probes in progress; checks of one server share them.
    running_after_end : dict of ServerId to asyncio.Task
        The same for checks whether a response that ended is complete.
    crashed_starts : set of str
        Starts of servers for which this gateway has recorded a crash.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        health: server_health.ServerHealth,
        suspects: quarantine.Quarantine,
        get_relay_server: Callable[[discovery.DiscoveredServer], relays.RelayServer],
    ) -> None:
        self.view = view
        self.health = health
        self.suspects = suspects
        self.get_relay_server = get_relay_server
        self.tasks = background.BackgroundTasks()
        self.heard_s: dict[ids.ServerId, float] = {}
        self.running: dict[
            ids.ServerId, asyncio.Task[crash_events.CrashCheckOutcome]
        ] = {}
        self.running_after_end: dict[
            ids.ServerId, asyncio.Task[crash_events.CrashCheckOutcome]
        ] = {}
        self.crashed_starts: set[str] = set()

    async def probe(
        self, server: discovery.DiscoveredServer
    ) -> crash_events.CrashCheckOutcome:
        """Return whether a server has crashed; checks of one server share a probe."""
        task = self.running.get(server.id)
        if task is None:
            relay_server = self.get_relay_server(server)
            responds = relay_server.check_health(HEALTH_TIMEOUT_S)
            task = self.start_probe(self.running, server, responds)
        return await asyncio.shield(task)

    async def probe_after_end(
        self, server: discovery.DiscoveredServer, is_leaving: bool
    ) -> crash_events.CrashCheckOutcome:
        """Return whether a server has crashed that has just closed a connection.

        A probe that began before the close shows nothing about what came after it.
        """
        earlier = self.running_after_end.get(server.id)
        if earlier is not None:
            await asyncio.wait({earlier})
        task = self.running_after_end.get(server.id)
        if task is None:
            relay_server = self.get_relay_server(server)
            responds = relay_server.still_runs(HEALTH_TIMEOUT_S, is_leaving)
            task = self.start_probe(self.running_after_end, server, responds)
        return await asyncio.shield(task)

    async def started_ms(self, server: discovery.DiscoveredServer) -> int | None:
        """Return when the process that runs in a server's place was started."""
        return await self.get_relay_server(server).started_ms(HEALTH_TIMEOUT_S)

    def start_probe(
        self,
        running: dict[ids.ServerId, asyncio.Task[crash_events.CrashCheckOutcome]],
        server: discovery.DiscoveredServer,
        responds: Coroutine[Any, Any, bool],
    ) -> asyncio.Task[crash_events.CrashCheckOutcome]:
        """Start a probe that other checks of the server can share."""
        task = running[server.id] = self.tasks.spawn(self.probe_alone(server, responds))
        task.add_done_callback(lambda _: running.pop(server.id, None))
        return task

    async def probe_alone(
        self, server: discovery.DiscoveredServer, responds: Coroutine[Any, Any, bool]
    ) -> crash_events.CrashCheckOutcome:
        """Find out whether a server responds, or its neighbours do if it does not."""
        if await responds:
            return crash_events.CrashCheckOutcome.RESPONDS
        if await self.is_cut_off(server):
            return crash_events.CrashCheckOutcome.CUT_OFF
        return crash_events.CrashCheckOutcome.CRASHED

    async def is_cut_off(self, server: discovery.DiscoveredServer) -> bool:
        """Return whether the server's whole data centre is unreachable.

        A network failure may refuse connections just as a crashed server does, but then
        all servers in the data centre are unreachable. A single neighbour proves
        nothing, as a copy of the same request may have crashed it too, and one that is
        known to have crashed is unreachable in any case.
        """
        neighbours = self.find_neighbours(server)
        if not neighbours:
            return server.data_centre != self.health.data_centre
        neighbours = [each for each in neighbours if not self.has_crashed(each)]
        if not neighbours:
            return False
        now_s = asyncio.get_running_loop().time()
        for each in neighbours:
            if now_s - self.heard_s.get(each.id, -math.inf) < RECENTLY_HEARD_S:
                return False
        responses = await asyncio.gather(
            *(
                self.get_relay_server(each).check_health(HEALTH_TIMEOUT_S)
                for each in neighbours[:MAX_NEIGHBOURS]
            )
        )
        return not any(responses)

    def has_crashed(self, server: discovery.DiscoveredServer) -> bool:
        """Return whether a gateway has recorded a crash of this start of a server."""
        start = server.start_key
        return start in self.crashed_starts or start in self.suspects.suspects_by_crash

    def find_neighbours(
        self, server: discovery.DiscoveredServer
    ) -> list[discovery.DiscoveredServer]:
        """Return the other servers of a data centre, the likeliest to respond first.

        A request crashes servers of its own service only.
        """
        now_s = asyncio.get_running_loop().time()
        neighbours = [
            each.server
            for each in self.view.servers.values()
            if each.server.data_centre == server.data_centre
            and each.server.id != server.id
            and not each.is_leaving
        ]
        neighbours.sort(
            key=lambda each: (
                self.health.is_ejected(each.id, now_s),
                each.service == server.service,
            )
        )
        return neighbours
