"""Probes the backend servers that this gateway observes."""

import asyncio
import functools
import random
from collections.abc import Callable

import logbook
from returns import result

from quetzalpass import background, ids
from quetzalpass.backends import base
from quetzalpass.membership import opinions

LOG = logbook.Logger("membership")

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
FAILURES_UNTIL_UNREACHABLE = 2


class ServerProbe:
    """Probes one server and keeps the result.

    Parameters
    ----------
    server_id : ServerId
        The server.
    model : ModelName or None
        Model that an engine must have ready; ``None`` for other services.
    backend : base.Backend
        Its adapter.

    Attributes
    ----------
    health : opinions.ObservedHealth
        Result of the last probes.
    report : base.LoadReport or None
        Last load report of an engine.
    """

    def __init__(
        self,
        server_id: ids.ServerId,
        model: ids.ModelName | None,
        backend: base.Backend,
    ) -> None:
        self.server_id = server_id
        self.model = model
        self.backend = backend
        self.health = opinions.ObservedHealth.ALIVE
        self.report: base.LoadReport | None = None
        self.failures_in_a_row = 0

    async def probe(self) -> None:
        """Probe the server once and update its health."""
        if await self.check_response():
            self.failures_in_a_row = 0
            self.health = await self.health_when_reachable()
            return
        # Only the pooled connection may be broken, so a failure counts only if a new
        # connection is refused too.
        if await self.backend.check_health(PROBE_TIMEOUT_S):
            self.failures_in_a_row = 0
            if self.health is opinions.ObservedHealth.UNREACHABLE:
                self.health = opinions.ObservedHealth.ALIVE
            return
        self.failures_in_a_row += 1
        if self.failures_in_a_row >= FAILURES_UNTIL_UNREACHABLE:
            self.health = opinions.ObservedHealth.UNREACHABLE

    async def check_response(self) -> bool:
        """Return whether the server responds, and keep an engine's load report."""
        if not isinstance(self.backend, base.ModelEngine):
            return await self.backend.check_health(PROBE_TIMEOUT_S)
        report = await self.backend.load_report(PROBE_TIMEOUT_S)
        if isinstance(report, result.Failure):
            return False
        self.report = report.unwrap()
        return True

    async def health_when_reachable(self) -> opinions.ObservedHealth:
        """Return whether a reachable server is alive or still loading its model."""
        if self.model is None or not isinstance(self.backend, base.ModelEngine):
            return opinions.ObservedHealth.ALIVE
        state = await self.backend.state(PROBE_TIMEOUT_S)
        if isinstance(state, result.Failure):
            return opinions.ObservedHealth.ALIVE
        ready = any(
            each.name == self.model and each.ready for each in state.unwrap().models
        )
        return (
            opinions.ObservedHealth.ALIVE if ready else opinions.ObservedHealth.LOADING
        )


class ServerMonitor:
    """Runs one probing task for each server that this gateway observes.

    Parameters
    ----------
    rng : random.Random
        Spreads the first probes over the interval.
    on_probe : callable
        Called after each probe of a server.
    """

    def __init__(
        self, rng: random.Random, on_probe: Callable[[ServerProbe], None]
    ) -> None:
        self.rng = rng
        self.on_probe = on_probe
        self.probes: dict[ids.ServerId, ServerProbe] = {}
        self.tasks: dict[ids.ServerId, asyncio.Task[None]] = {}

    def replace(self, wanted: dict[ids.ServerId, ServerProbe]) -> None:
        """Replace the probed servers; those that stay keep their probes."""
        for server_id in list(self.tasks):
            known = self.probes[server_id]
            if server_id not in wanted or wanted[server_id].backend != known.backend:
                self.tasks.pop(server_id).cancel()
                del self.probes[server_id]
        for server_id, probe in wanted.items():
            if server_id not in self.tasks:
                self.probes[server_id] = probe
                self.tasks[server_id] = background.start(
                    f"probes of {server_id}", functools.partial(self.run_probe, probe)
                )

    async def run_probe(self, probe: ServerProbe) -> None:
        """Probe one server periodically, after a random first delay."""
        await asyncio.sleep(self.rng.uniform(0.0, PROBE_INTERVAL_S))
        while True:
            before = probe.health
            await probe.probe()
            if probe.health is not before:
                LOG.info(
                    "membership: Server {} is {}.",
                    probe.server_id,
                    probe.health.value,
                )
            self.on_probe(probe)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def stop(self) -> None:
        """Stop all probes."""
        for task in self.tasks.values():
            task.cancel()
