"""A daemon, which connects all parts."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import logbook
import msgspec
from aiohttp import web

from quetzalpass import background, ids
from quetzalpass.callers import app as callers_app
from quetzalpass.callers import connections, handing_over
from quetzalpass.consensus import timing
from quetzalpass.control import messages, proposers
from quetzalpass.daemon import (
    groups,
    keys,
    listeners,
    operators,
    peers,
    replica_role,
)
from quetzalpass.declarations import schema as declared
from quetzalpass.inbound import connections as guarded
from quetzalpass.inbound import rules
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.lifecycle import ledger_client
from quetzalpass.membership import (
    configuration,
    fleet,
    inner_messages,
    peer_client,
    propagation,
    routing_rules,
    summaries,
)
from quetzalpass.metrics import flusher, sender
from quetzalpass.reconcile import reconciler
from quetzalpass.routing import factory
from quetzalpass.settings import schema
from quetzalpass.wire import handlers, transport

LOG = logbook.Logger("daemon")

# For handlers that still run after the time for responses.
STOP_TIMEOUT_S = 0.1
# Of each listener for other daemons or operators.
INNER_CONNECTIONS = 2_048


class Daemon:
    """One daemon process.

    Parameters
    ----------
    settings : schema.Settings
        Checked settings.
    rng : random.Random
        Source of all randomness of this daemon.

    Attributes
    ----------
    groups : dict of GroupId to proposers.Proposer
        Submits commands to each replicated group.
    listeners : list of listeners.HttpListener
        The open listeners.
    callers_listener : listeners.HttpListener or None
        That of the callers; ``None`` if this daemon is no gateway.
    """

    def __init__(self, settings: schema.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.cluster_key = keys.read_key(settings.cluster_key_file)
        self.holder = configuration.ConfigurationHolder()
        self.groups: dict[ids.GroupId, proposers.Proposer] = {}
        self.clients: dict[ids.VmId, peer_client.PeerClient] = {}
        self.listeners: list[listeners.HttpListener] = []
        self.callers_listener: listeners.HttpListener | None = None
        self.table = handlers.HandlerTable()
        self.channel = transport.HttpTransport(
            {each.id: each.url for each in settings.peer_vms}, self.cluster_key
        )
        self.replica: replica_role.ReplicaRole | None = None

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        for peer in self.settings.peer_vms:
            self.clients[peer.id] = peer_client.PeerClient(peer.id, self.channel)
        await self.open_groups()
        self.gateway = self.build_gateway()
        self.handover = handing_over.CallerHandover(
            self.gateway, self.cluster_key, self.rng
        )
        self.callers = callers_app.CallersInterface(self.gateway, self.handover)
        self.reconciler = self.build_reconciler()
        self.propagation = propagation.Propagation(
            self.settings, self.holder, self.clients, self.rng
        )
        peers_app = peers.PeersInterface(self).application(self.cluster_key)
        if schema.Role.GATEWAY in self.settings.roles:
            self.callers.add_peer_routes(peers_app)
        await self.listen(peers_app, self.settings.peers)
        await self.open_operators_listener()
        if schema.Role.GATEWAY in self.settings.roles:
            await self.listen_to_callers()
        if self.reconciler is not None:
            self.reconciler.start()
        self.propagation.start()
        self.fleet.start()
        self.summary_sender.start()
        self.start_task("suspect reports", self.send_new_suspect_reports)
        self.metrics_sender = sender.make_sender(self.settings.statsd)
        flushing = flusher.Flusher(self.gateway.recorder, self.metrics_sender)
        self.start_task("metrics", flushing.run)
        LOG.info("daemon: {} has started.", self.settings.id)

    def start_task(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Start a task that runs until the gateway closes."""
        self.gateway.spawn(background.keep_running(name, work))

    async def open_groups(self) -> None:
        """Connect to the replicated groups, here or on the replicas' VMs."""
        if schema.Role.REPLICA in self.settings.roles:
            self.replica = replica_role.ReplicaRole(
                self.settings, self.table, self.channel, self.holder, self.rng
            )
            await self.replica.start()
        peers = {
            each.id: self.clients[each.id]
            for each in self.settings.peer_vms
            if each.replica
        }
        for group_id in (groups.DECLARATION_GROUP, *groups.ledger_group_ids()):
            local = None
            if self.replica is not None:
                local = self.replica.registry.groups[group_id]
            self.groups[group_id] = groups.GroupProposer(group_id, peers, local)

    def build_reconciler(self) -> reconciler.Reconciler | None:
        """Return a replica's reconciler, which sends orders while the replica leads."""
        if self.replica is None:
            return None
        group = self.replica.registry.groups[groups.DECLARATION_GROUP]
        return reconciler.Reconciler(
            replica_role.GroupLeadership(group),
            self.holder,
            self.gateway.get_backend,
            self.fleet.reclaimed_vms,
            timing.Timing().lease_s,
        )

    def build_gateway(self) -> gateways.Gateway:
        """Return the gateway, which follows the revision in force."""
        admission_queue = factory.make_admission(
            routing_rules.rules_of(declared.Declaration()),
            self.settings.data_centre,
            self.rng,
        )
        gateway = gateways.Gateway(
            self.settings,
            self.holder,
            admission_queue,
            self.rng,
            self.cluster_key.encode(),
        )
        gateway.ledger = ledger_client.ReplicatedLedger(
            self.settings.id,
            [self.groups[each] for each in groups.ledger_group_ids()],
            gateway.new_operation_id,
        )
        self.fleet = fleet.Fleet(
            self.settings, self.holder, admission_queue, gateway.get_backend, self.rng
        )
        self.holder.observers.append(
            lambda config: gateway.recorder.use_declaration(config.declaration)
        )
        self.holder.observers.append(
            lambda config: factory.update_rules(
                admission_queue, routing_rules.rules_of(config.declaration)
            )
        )
        recipients = summaries.summary_peers(self.settings)
        self.summary_sender = summaries.SummarySender(
            {vm: self.clients[vm] for vm in recipients}, self.make_summary
        )
        return gateway

    def make_summary(self) -> inner_messages.GatewaySummary:
        """Return this gateway's summary for the other gateways."""
        return msgspec.structs.replace(
            self.fleet.make_summary(),
            verdicts=self.gateway.quarantine.suspect_reports_since(0),
            usage=self.gateway.limiter.own_usage(),
        )

    def merge_summary(self, summary: inner_messages.GatewaySummary) -> None:
        """Merge another gateway's summary."""
        self.fleet.merge_summary(summary)
        if summary.verdicts is not None:
            self.gateway.quarantine.merge(summary.verdicts)
        if summary.usage is not None:
            self.gateway.limiter.observe_peer_usage(summary.usage)

    async def open_operators_listener(self) -> None:
        """Open the operators' listener with its own key."""
        listener = self.settings.operators
        assert listener.key_file is not None, "checked when settings are loaded"
        key = keys.read_key(listener.key_file)
        await self.listen(operators.OperatorsInterface(self).application(key), listener)

    async def listen(self, app: web.Application, listener: schema.Listener) -> None:
        """Open one listener for peers or operators."""
        runner = guarded.GuardedRunner(
            app, rules.FixedRules(INNER_CONNECTIONS), **self.runner_options()
        )
        await self.open_listener(runner, listener)

    async def listen_to_callers(self) -> None:
        """Open the callers' listener."""
        runner = connections.CallersRunner(
            self.callers.application(),
            connections.CallerRules(self.settings.limits, self.gateway.new_request_id),
            **self.runner_options(),
        )
        self.callers_listener = await self.open_listener(runner, self.settings.callers)

    def runner_options(self) -> dict[str, Any]:
        """Return the options that all listeners share."""
        limits = self.settings.limits
        return {
            "handler_cancellation": True,
            "access_log": None,
            "shutdown_timeout": STOP_TIMEOUT_S,
            "max_line_size": limits.line_bytes,
            "max_field_size": limits.header_bytes,
        }

    async def open_listener(
        self, runner: web.AppRunner, listener: schema.Listener
    ) -> listeners.HttpListener:
        """Open one listener, keep it until the daemon stops, and return it."""
        opened = listeners.HttpListener(runner, listener)
        self.listeners.append(opened)
        await opened.start()
        return opened

    def own_status(self) -> messages.VmStatus:
        """Return the status of this daemon."""
        now_s = asyncio.get_running_loop().time()
        return messages.VmStatus(
            id=self.settings.id,
            data_centre=self.settings.data_centre,
            ready=self.gateway.refusal() is None,
            revision=self.holder.revision(),
            in_force_since_s=now_s - self.holder.in_force_since_s,
            requests=self.gateway.requests,
            draining=self.gateway.draining,
        )

    def server_statuses(self) -> tuple[messages.ServerStatus, ...]:
        """Return the status of the backend servers as this gateway observes it."""
        config = self.holder.current
        if config is None:
            return ()
        return tuple(
            messages.ServerStatus(
                each.id,
                each.vm,
                config.state_of_server(each.id),
                self.fleet.is_alive(each.id),
            )
            for each in config.declaration.servers
        )

    async def drain(self) -> None:
        """Refuse new requests and wait until all running ones have ended."""
        LOG.info("daemon: Draining {} requests.", self.gateway.requests)
        if self.callers_listener is not None:
            self.callers_listener.end_connections()
        await self.gateway.drain()

    async def send_new_suspect_reports(self) -> None:
        """Send new reports of requests that crash servers to the peers at once.

        The caller of such a request may already be sending it to another gateway.
        """
        changed = self.gateway.quarantine.changed
        while True:
            await changed.wait()
            changed.clear()
            self.summary_sender.send_now()

    async def stop(self) -> None:
        """Interrupt what still runs, answer it, and close all connections."""
        if self.reconciler is not None:
            self.reconciler.stop()
        self.propagation.stop()
        self.summary_sender.stop()
        self.fleet.stop()
        await self.gateway.interrupt()
        peers_listener, *outer_listeners = self.listeners
        for listener in reversed(outer_listeners):
            await listener.close(self.settings.limits.slow_caller_s)
        await peers_listener.stop_accepting()
        self.holder.end_waits()
        await peers_listener.close(self.settings.limits.slow_caller_s)
        await self.handover.close()
        await self.gateway.close()
        self.metrics_sender.close()
        if self.replica is not None:
            await self.replica.stop()
        await self.channel.close()
        LOG.info("daemon: {} has stopped.", self.settings.id)
