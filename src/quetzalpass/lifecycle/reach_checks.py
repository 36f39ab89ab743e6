"""Checks whether a gateway reaches any server of a service.

A request that finds its server unreachable, or that breaks off, leads to a check of the
other servers of the service. While none of them answers, probes of the gateway's own
find out when the path is back.
"""

import abc
import asyncio
import functools
import random
from collections.abc import Callable, Sequence
from typing import Any

from quetzalpass import background, event_log, ids
from quetzalpass.backends import base, discovery, relays
from quetzalpass.lifecycle import relay_events
from quetzalpass.membership import fleet_view
from quetzalpass.routing import reach

# Time for one probe. A server that accepts the connection and is slow still answers.
PROBE_TIMEOUT_S = 1.0
# Servers of a service that are probed; the first ones alone, the others if these give
# no answer within a usual round trip.
MAX_PROBES = 8
FIRST_PROBES = 2
WIDEN_AFTER_S = 0.03
# Pause between two probes of a service that is lost.
RECHECK_S = 0.25
# Longest delay of a request for a check that its failure has started.
MAX_CHECK_WAIT_S = 0.4
# Failures that may come from a lost path.
PATH_FAILURES = frozenset(
    {
        base.FailureKind.UNREACHABLE,
        base.FailureKind.CLOSED,
        base.FailureKind.SILENT,
    }
)


class Prober(abc.ABC):
    """The servers of one gateway, and how to probe them."""

    @abc.abstractmethod
    def services(self) -> set[ids.ServiceName]:
        """Return all services that have servers."""

    @abc.abstractmethod
    def servers(self, service: ids.ServiceName) -> list[Any]:
        """Return the servers of a service that take new work."""

    @abc.abstractmethod
    async def responds(self, server: Any, timeout_s: float) -> bool:
        """Return whether a server answers on a new connection."""

    def list_age_ms(self) -> int | None:
        """Return the age of the list of servers, if they are read from a list."""
        return None


class FleetProber(Prober):
    """Probes the servers of a list.

    Parameters
    ----------
    view : fleet_view.FleetView
        The backend servers.
    get_relay_server : callable
        Returns the client of a server.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        get_relay_server: Callable[[discovery.DiscoveredServer], relays.RelayServer],
    ) -> None:
        self.view = view
        self.get_relay_server = get_relay_server

    def services(self) -> set[ids.ServiceName]:
        """Return the listed services; see the base class."""
        return {each.server.service for each in self.view.servers.values()}

    def servers(self, service: ids.ServiceName) -> list[discovery.DiscoveredServer]:
        """Return the listed servers; see the base class."""
        return [
            each.server
            for each in self.view.find_servers(service)
            if not each.is_leaving
        ]

    async def responds(
        self, server: discovery.DiscoveredServer, timeout_s: float
    ) -> bool:
        """Ask a server for anything; see the base class."""
        return await self.get_relay_server(server).responds(timeout_s)

    def list_age_ms(self) -> int | None:
        """Return the age of the list; see the base class."""
        return self.view.age_ms()


class ReachChecks:
    """Keeps track of the services that one gateway reaches.

    Parameters
    ----------
    prober : Prober
        Probes the servers.
    rng : random.Random
        Chooses the servers to probe.

    Attributes
    ----------
    reach : reach.Reach
        What is known of each service.
    running : dict of ServiceName to asyncio.Task
        Checks in progress.
    loss_observers : list of callable
        Called with each service that is lost.
    tasks : background.BackgroundTasks
        Checks and probes in progress.
    """

    def __init__(
        self,
        prober: Prober,
        rng: random.Random,
    ) -> None:
        self.prober = prober
        self.rng = rng
        self.reach = reach.Reach()
        self.running: dict[ids.ServiceName, asyncio.Task[None]] = {}
        self.tasks = background.BackgroundTasks()
        self.loss_observers: list[Callable[[ids.ServiceName], None]] = []

    def close(self) -> None:
        """Cancel all checks."""
        self.tasks.cancel()

    def is_lost(self, service: ids.ServiceName) -> bool:
        """Return whether this gateway reaches no server of a service."""
        return self.reach.is_lost(service)

    def on_response(self, service: ids.ServiceName) -> None:
        """Record that a server of a service has responded to a request."""
        self.reach.record_response(service, asyncio.get_running_loop().time())

    def on_answer(self, service: ids.ServiceName) -> None:
        """Record that a server of a service has answered a probe."""
        now_s = asyncio.get_running_loop().time()
        if self.reach.record_answer(service, now_s):
            self.log_change(service, True)

    def on_failure(
        self, server: discovery.DiscoveredServer, failure: base.AttemptFailure
    ) -> None:
        """Record how a request has failed, and check its service if need be."""
        if failure.kind is base.FailureKind.RATE_LIMITED:
            return
        if failure.kind in PATH_FAILURES:
            self.suspect(server.service)
        else:
            self.on_response(server.service)

    def suspect(self, service: ids.ServiceName) -> None:
        """Check whether a service can be reached, unless that is known."""
        now_s = asyncio.get_running_loop().time()
        if service in self.running or not self.reach.needs_check(service, now_s):
            return
        task = self.tasks.spawn(self.check(service))
        self.running[service] = task
        task.add_done_callback(lambda _: self.running.pop(service, None))

    async def wait_for_check(self, service: ids.ServiceName, left_s: float) -> None:
        """Wait for a check in progress, at most for half of the time that is left."""
        task = self.running.get(service)
        if task is not None:
            await asyncio.wait({task}, timeout=min(MAX_CHECK_WAIT_S, left_s / 2))

    async def check(self, service: ids.ServiceName) -> None:
        """Probe the servers of a service; if none answers, probe on in the background.

        A lost path usually leads to other services too, so these are checked as well.
        """
        since_s = asyncio.get_running_loop().time()
        servers = self.servers_to_probe(service)
        if not servers:
            return
        if await self.any_answers(servers):
            self.on_answer(service)
            return
        now_s = asyncio.get_running_loop().time()
        if not self.reach.record_no_answer(service, since_s, now_s):
            return
        recheck = functools.partial(self.recheck_until_back, service)
        self.tasks.spawn(
            background.run_to_end(f"probing {service}", recheck, RECHECK_S)
        )
        self.log_change(service, False, len(servers))
        for observer in self.loss_observers:
            observer(service)
        for other in self.prober.services():
            self.suspect(other)

    async def recheck_until_back(self, service: ids.ServiceName) -> None:
        """Probe some servers of a lost service at intervals until one answers."""
        while self.reach.is_lost(service):
            await asyncio.sleep(RECHECK_S)
            servers = self.servers_to_probe(service)[:FIRST_PROBES]
            if not servers or await self.any_answers(servers):
                self.on_answer(service)

    def servers_to_probe(self, service: ids.ServiceName) -> list[Any]:
        """Return some servers of a service, in random order."""
        servers = self.prober.servers(service)
        self.rng.shuffle(servers)
        return servers[:MAX_PROBES]

    async def any_answers(self, servers: Sequence[Any]) -> bool:
        """Probe the first servers, then all; return whether one answers."""
        pending = {self.start_probe(each) for each in servers[:FIRST_PROBES]}
        others = servers[FIRST_PROBES:]
        timeout_s = WIDEN_AFTER_S if others else None
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=timeout_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(each.result() for each in done):
                    return True
                if others and (not done or not pending):
                    pending |= {self.start_probe(each) for each in others}
                    others, timeout_s = (), None
            return False
        finally:
            for each in pending:
                each.cancel()

    def start_probe(self, server: Any) -> asyncio.Task[bool]:
        """Ask one server, in the background."""
        return self.tasks.spawn(self.prober.responds(server, PROBE_TIMEOUT_S))

    def log_change(
        self, service: ids.ServiceName, is_reached: bool, probed: int = 0
    ) -> None:
        """Log that a service has been lost or can be reached again."""
        event_log.record(
            relay_events.ReachEvent(
                service, is_reached, probed, self.prober.list_age_ms()
            ),
            event_log.Level.NOTICE,
        )
