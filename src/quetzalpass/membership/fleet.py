"""Keeps the routing up to date with the state of the backend servers.

Combines the declaration, the platform's list, this gateway's own probes and the
summaries of other gateways.
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
    inner_messages,
    load_reports,
    observers,
    opinions,
    platform_list,
    server_monitor,
    server_views,
)
from quetzalpass.routing import admission, servers
from quetzalpass.settings import schema

LOG = logbook.Logger("membership")

OpenBackend = Callable[[ids.ServerId, configuration.Configuration], base.Backend]


class Fleet:
    """Determines which backend servers the routing may use.

    Parameters
    ----------
    settings : schema.Settings
        Ids of this gateway and its peers, and the platform's list.
    holder : configuration.ConfigurationHolder
        The revision in force.
    routing : admission.Admission
        Routing that is updated.
    open_backend : callable
        Returns the adapter of a server.
    rng : random.Random
        Spreads the probes over time.

    Attributes
    ----------
    observations : opinions.HealthObservations
        Server health as observed by this gateway and its peers.
    loading_servers : frozenset of ServerId
        Engines that don't have their model ready.
    sequence : int
        Number of the last summary.
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
        self.observations = opinions.HealthObservations()
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
        """Start polling the platform's list."""
        if self.platform is not None:
            self.platform.start()

    def stop(self) -> None:
        """Stop all tasks."""
        self.monitor.stop()
        if self.platform is not None:
            self.platform.stop()

    def on_revision(self, config: configuration.Configuration) -> None:
        """Apply a revision that has come into force."""
        self.observations.keep_only(frozenset(config.servers))
        self.monitor.replace(self.wanted_probes(config))
        self.refresh_views()

    def wanted_probes(
        self, config: configuration.Configuration
    ) -> dict[ids.ServerId, server_monitor.ServerProbe]:
        """Return a probe for each server that this gateway observes."""
        gateways = [self.settings.id, *(each.id for each in self.settings.peer_vms)]
        wanted = {}
        for server in config.declaration.servers:
            if (
                config.state_of_server(server.id)
                is declared.ServiceState.OUT_OF_SERVICE
            ):
                continue
            chosen = observers.choose_observers(
                server.id, gateways, len(config.servers)
            )
            if self.settings.id not in chosen:
                continue
            model = server.models[0] if server.models else None
            wanted[server.id] = server_monitor.ServerProbe(
                server.id, model, self.open_backend(server.id, config)
            )
        return wanted

    def reclaimed_vms(self) -> frozenset[ids.VmId]:
        """Return the VMs that the platform lists as leaving or gone."""
        if self.platform is None:
            return frozenset()
        return frozenset(self.platform.leaving)

    def refresh_views(self) -> None:
        """Update the routing's views of the servers."""
        config = self.holder.current
        if config is not None:
            views = server_views.make_views(
                config, self.reclaimed_vms(), self.loading_servers
            )
            self.routing.update_servers(views)

    def on_probe(self, probe: server_monitor.ServerProbe) -> None:
        """Record the result of one of this gateway's probes."""
        now_s = asyncio.get_running_loop().time()
        self.observations.record(probe.server_id, self.settings.id, probe.health, now_s)
        if probe.report is not None:
            report = load_reports.report_for_routing(probe.report, now_s)
            self.routing.observe_report(probe.server_id, report)
        self.apply_majority_health(probe.server_id, now_s)

    def merge_summary(self, summary: inner_messages.GatewaySummary) -> None:
        """Merge another gateway's summary."""
        now_s = asyncio.get_running_loop().time()
        self.routing.observe_peer_dispatches(summary.dispatches)
        config = self.holder.current
        for each in summary.server_opinions:
            if config is None or each.server_id not in config.servers:
                continue
            self.observations.record(each.server_id, summary.vm, each.opinion, now_s)
            self.apply_majority_health(each.server_id, now_s)

    def apply_majority_health(self, server_id: ids.ServerId, now_s: float) -> None:
        """Eject an unreachable server, and send no work to one that is loading."""
        majority_health = self.observations.majority_health(server_id, now_s)
        if majority_health is opinions.ObservedHealth.UNREACHABLE:
            self.routing.eject(server_id, "its observers can't reach it")
        is_loading = majority_health is opinions.ObservedHealth.LOADING
        if is_loading is (server_id in self.loading_servers):
            return
        if is_loading:
            self.loading_servers = self.loading_servers | {server_id}
        else:
            self.loading_servers = self.loading_servers - {server_id}
        self.refresh_views()

    def is_alive(self, server_id: ids.ServerId) -> bool:
        """Return whether a server counts as reachable by its observers."""
        now_s = asyncio.get_running_loop().time()
        return self.observations.majority_health(server_id, now_s) is not (
            opinions.ObservedHealth.UNREACHABLE
        )

    def make_summary(self) -> inner_messages.GatewaySummary:
        """Return this gateway's summary for the other gateways."""
        self.sequence += 1
        own = tuple(
            opinions.ServerHealthReport(each.server_id, each.health)
            for each in self.monitor.probes.values()
        )
        dispatches = servers.PeerDispatches(
            self.settings.id, self.sequence, self.routing.own_loads()
        )
        return inner_messages.GatewaySummary(self.settings.id, dispatches, own)
