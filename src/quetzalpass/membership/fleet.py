"""Backend servers as this gateway knows them, kept up to date in the routing.

Joins the declaration, the platform's list, this gateway's own probes and the summaries
of other gateways, and tells the routing what follows from them.
"""

import asyncio
import random
from collections.abc import Callable

import logbook

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.declarations import schema as declared
from quetzalpass.membership import (
    configuration,
    health_observations,
    inner_messages,
    load_reports,
    observers,
    platform_list,
    server_monitor,
    server_views,
)
from quetzalpass.routing import admission, servers
from quetzalpass.settings import schema

LOG = logbook.Logger("membership")

OpenBackend = Callable[[ids.ServerId, configuration.Configuration], base.Backend]


class Fleet:
    """Keeps the routing's view of the backend servers.

    Parameters
    ----------
    settings : schema.Settings
        Who this gateway and its peers are.
    holder : configuration.ConfigurationHolder
        The revision in force.
    routing : admission.Admission
        The routing.
    open_backend : callable
        Returns the adapter of a server.
    rng : random.Random
        Spreads probes.

    Attributes
    ----------
    observations : health_observations.HealthObservations
        Opinions of all observers.
    loading_servers : frozenset of ServerId
        Engines that do not have their model ready.
    """

    def __init__(
        self,
        settings: schema.Settings,
        holder: configuration.ConfigurationHolder,
        routing: admission.Admission,
        open_backend: OpenBackend,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.holder = holder
        self.routing = routing
        self.open_backend = open_backend
        self.observations = health_observations.HealthObservations()
        self.loading_servers: frozenset[ids.ServerId] = frozenset()
        self.sequence = 0
        self.monitor = server_monitor.ServerMonitor(rng, self.on_probe)
        self.platform: platform_list.PlatformList | None = None
        if settings.platform_list_url is not None:
            self.platform = platform_list.PlatformList(
                settings.platform_list_url, self.refresh_views
            )
        holder.observers.append(self.on_revision)

    def start(self) -> None:
        """Start to poll the platform's list."""
        if self.platform is not None:
            self.platform.start()

    def stop(self) -> None:
        """Stop all tasks."""
        self.monitor.stop()
        if self.platform is not None:
            self.platform.stop()

    def on_revision(self, at: configuration.Configuration) -> None:
        """Take in a revision that has come into force."""
        self.observations.keep_only(frozenset(at.servers))
        self.monitor.replace(self.wanted_probes(at))
        self.refresh_views()

    def wanted_probes(
        self, at: configuration.Configuration
    ) -> dict[ids.ServerId, server_monitor.ServerProbe]:
        """Return a probe for each server that this gateway observes."""
        gateways = [self.settings.id, *(each.id for each in self.settings.peer_vms)]
        wanted = {}
        for server in at.declaration.servers:
            if at.state_of_server(server.id) is declared.ServiceState.OUT_OF_SERVICE:
                continue
            chosen = observers.choose_observers(server.id, gateways, len(at.servers))
            if self.settings.id not in chosen:
                continue
            model = server.models[0] if server.models else None
            wanted[server.id] = server_monitor.ServerProbe(
                server.id, model, self.open_backend(server.id, at)
            )
        return wanted

    def reclaimed_vms(self) -> frozenset[ids.VmId]:
        """Return the VMs that the platform says are leaving or gone."""
        if self.platform is None:
            return frozenset()
        return frozenset(self.platform.leaving)

    def refresh_views(self) -> None:
        """Tell the routing which servers may get work."""
        at = self.holder.current
        if at is not None:
            views = server_views.make_views(
                at, self.reclaimed_vms(), self.loading_servers
            )
            self.routing.update_servers(views)

    def on_probe(self, probe: server_monitor.ServerProbe) -> None:
        """Take in what one of this gateway's probes says."""
        now_s = asyncio.get_running_loop().time()
        self.observations.record(probe.server_id, self.settings.id, probe.health, now_s)
        if probe.report is not None:
            report = load_reports.report_for_routing(probe.report, now_s)
            self.routing.observe_report(probe.server_id, report)
        self.apply_majority_health(probe.server_id, now_s)

    def merge_summary(self, summary: inner_messages.GatewaySummary) -> None:
        """Take in another gateway's summary."""
        now_s = asyncio.get_running_loop().time()
        self.routing.observe_peer_dispatches(summary.dispatches)
        at = self.holder.current
        for each in summary.server_opinions:
            if at is None or each.server_id not in at.servers:
                continue
            self.observations.record(each.server_id, summary.vm, each.opinion, now_s)
            self.apply_majority_health(each.server_id, now_s)

    def apply_majority_health(self, server_id: ids.ServerId, now_s: float) -> None:
        """Eject a dead server, and keep work from one that is loading."""
        majority_health = self.observations.majority_health(server_id, now_s)
        if majority_health is health_observations.ObservedHealth.UNREACHABLE:
            self.routing.eject(server_id, "its observers can't reach it")
        is_loading = majority_health is health_observations.ObservedHealth.LOADING
        if is_loading is (server_id in self.loading_servers):
            return
        if is_loading:
            self.loading_servers = self.loading_servers | {server_id}
        else:
            self.loading_servers = self.loading_servers - {server_id}
        self.refresh_views()

    def is_alive(self, server_id: ids.ServerId) -> bool:
        """Return whether the observers take a server for alive."""
        now_s = asyncio.get_running_loop().time()
        return self.observations.majority_health(server_id, now_s) is not (
            health_observations.ObservedHealth.UNREACHABLE
        )

    def make_summary(self) -> inner_messages.GatewaySummary:
        """Return what the other gateways should know."""
        self.sequence += 1
        own = tuple(
            health_observations.ServerHealthReport(each.server_id, each.health)
            for each in self.monitor.probes.values()
        )
        dispatches = servers.PeerDispatches(
            self.settings.id, self.sequence, self.routing.own_loads()
        )
        return inner_messages.GatewaySummary(self.settings.id, dispatches, own)
