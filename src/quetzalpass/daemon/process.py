"""One daemon: all parts wired together."""

import asyncio
import random
from typing import Any

import logbook
from aiohttp import web

from quetzalpass import ids
from quetzalpass.callers import app as callers_app
from quetzalpass.callers import connections
from quetzalpass.control import declared_state, ledger, messages, proposers
from quetzalpass.daemon import groups, keys, listeners, operators, peers
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.lifecycle import ledger_client
from quetzalpass.membership import (
    configuration,
    fleet,
    peer_client,
    spread,
    summaries,
)
from quetzalpass.metrics import flusher, sender
from quetzalpass.routing import factory
from quetzalpass.routing import settings as routing_settings
from quetzalpass.settings import schema

LOG = logbook.Logger("daemon")

DRAIN_POLL_S = 0.05


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
        The replicated groups as this daemon reaches them.
    listeners : list of listeners.OpenListener
        The open listeners.
    """

    def __init__(self, settings: schema.Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.cluster_key = keys.read_key(settings.cluster_key_file)
        self.holder = configuration.ConfigurationHolder()
        self.groups: dict[ids.GroupId, proposers.Proposer] = {}
        self.clients: dict[ids.VmId, peer_client.PeerClient] = {}
        self.listeners: list[listeners.OpenListener] = []
        self.declared = declared_state.DeclaredState()

    async def start(self) -> None:
        """Open the listeners and start the tasks."""
        for peer in self.settings.peer_vms:
            self.clients[peer.id] = peer_client.PeerClient(peer.url, self.cluster_key)
        self.open_groups()
        self.gateway = self.build_gateway()
        self.spread = spread.Spread(self.settings, self.holder, self.clients, self.rng)
        await self.listen(
            peers.PeersInterface(self).application(self.cluster_key),
            self.settings.peers,
        )
        await self.open_operators_listener()
        if schema.Role.GATEWAY in self.settings.roles:
            await self.listen_to_callers()
        self.spread.start()
        self.fleet.start()
        self.summary_sender.start()
        self.metrics_sender = sender.make_sender(self.settings.statsd)
        flushing = flusher.Flusher(self.gateway.recorder, self.metrics_sender)
        self.gateway.spawn(flushing.run())
        LOG.info("daemon: {} has started.", self.settings.id)

    def open_groups(self) -> None:
        """Open the replicated groups, here or at the replica that leads them."""
        replicas = sorted(each.id for each in self.settings.peer_vms if each.replica)
        is_replica = schema.Role.REPLICA in self.settings.roles
        if is_replica and (not replicas or self.settings.id < replicas[0]):
            self.groups = {
                groups.DECLARATION_GROUP: proposers.LocalProposer(self.declared),
                groups.LEDGER_GROUP: proposers.LocalProposer(ledger.LedgerState()),
            }
            self.declared.observers.append(self.activate_accepted)
            return
        for group in (groups.DECLARATION_GROUP, groups.LEDGER_GROUP):
            self.groups[group] = groups.ForwardingProposer(
                group, self.clients[replicas[0]]
            )

    def activate_accepted(self, accepted: declared_state.AcceptedDeclaration) -> None:
        """Put an accepted revision in force here."""
        self.holder.activate(accepted.revision, accepted.digest, accepted.data)

    def build_gateway(self) -> gateways.Gateway:
        """Return the gateway, which follows the revision in force."""
        slots = factory.make_admission(
            routing_settings.RoutingSettings(
                policy=routing_settings.PolicyName.LEAST_IN_FLIGHT
            ),
            self.settings.data_centre,
            self.rng,
        )
        gateway = gateways.Gateway(
            self.settings, self.holder, slots, self.rng, self.cluster_key.encode()
        )
        gateway.ledger = ledger_client.ReplicatedLedger(
            self.settings.id,
            [self.groups[groups.LEDGER_GROUP]],
            gateway.new_operation_id,
        )
        self.fleet = fleet.Fleet(
            self.settings, self.holder, slots, gateway.backend_of, self.rng
        )
        self.holder.observers.append(lambda at: gateway.recorder.follow(at.declaration))
        told = summaries.summary_peers(self.settings)
        self.summary_sender = summaries.SummarySender(
            {vm: self.clients[vm] for vm in told}, self.fleet.make_summary
        )
        return gateway

    async def open_operators_listener(self) -> None:
        """Open the operators' listener with its own key."""
        listener = self.settings.operators
        key = self.cluster_key
        if listener.key_file is not None:
            key = keys.read_key(listener.key_file)
        await self.listen(operators.OperatorsInterface(self).application(key), listener)

    async def listen(self, app: web.Application, listener: schema.Listener) -> None:
        """Open one listener of peers or operators."""
        await self.open_listener(web.AppRunner(app, **self.runner_options()), listener)

    async def listen_to_callers(self) -> None:
        """Open the callers' listener."""
        runner = connections.CallersRunner(
            callers_app.CallersInterface(self.gateway).application(),
            self.settings.limits,
            self.gateway.new_request_id,
            **self.runner_options(),
        )
        await self.open_listener(runner, self.settings.callers)

    def runner_options(self) -> dict[str, Any]:
        """Return the options that all listeners share."""
        limits = self.settings.limits
        return {
            "handler_cancellation": True,
            "access_log": None,
            "max_line_size": limits.line_bytes,
            "max_field_size": limits.header_bytes,
        }

    async def open_listener(
        self, runner: web.AppRunner, listener: schema.Listener
    ) -> None:
        """Open one listener and keep it until the daemon stops."""
        opened = listeners.OpenListener(runner, listener)
        self.listeners.append(opened)
        await opened.start()

    def own_status(self) -> messages.VmStatus:
        """Return what this daemon reports of itself."""
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
        """Return what this gateway sees of the backend servers."""
        at = self.holder.current
        if at is None:
            return ()
        return tuple(
            messages.ServerStatus(
                each.id,
                each.vm,
                at.state_of_server(each.id),
                self.fleet.is_alive(each.id),
            )
            for each in at.declaration.servers
        )

    async def drain(self) -> None:
        """Take no new requests and wait until all running ones have ended."""
        self.gateway.draining = True
        LOG.info("daemon: Draining {} requests.", self.gateway.requests)
        while self.gateway.requests:
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Close all listeners and connections."""
        self.spread.stop()
        self.summary_sender.stop()
        self.fleet.stop()
        for listener in reversed(self.listeners):
            await listener.close(self.settings.limits.slow_caller_s)
        await self.gateway.close()
        self.metrics_sender.close()
        for client in self.clients.values():
            await client.close()
        LOG.info("daemon: {} has stopped.", self.settings.id)
