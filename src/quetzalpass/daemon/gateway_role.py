"""The role of a gateway for declared routes, which finds control nodes by seeds."""

import asyncio
import random
from collections.abc import Callable

import logbook
import msgspec

from quetzalpass import ids
from quetzalpass.allocation import client, permits, rooms
from quetzalpass.backends import discovery
from quetzalpass.daemon import handover_receiver
from quetzalpass.declarations import relays
from quetzalpass.inbound import capacity, connections, rules
from quetzalpass.membership import (
    configuration,
    control_links,
    fleet_messages,
    fleet_view,
)
from quetzalpass.relay import (
    drain_schedule,
    handover_channel,
    relay_gateway,
    relay_reservations,
    shared_budget,
)
from quetzalpass.routing import peer_gateways
from quetzalpass.wire import server, transport

LOG = logbook.Logger("daemon")

DRAIN_POLL_S = 0.02
# For the responses to interrupted requests, and to those that are refused at the end.
INTERRUPTED_RESPONSE_TIMEOUT_S = 0.1
STOP_TIMEOUT_S = 0.1
# Shares of the listeners in the connections that the machine can hold.
CALLER_CONNECTIONS_SHARE = 0.6
PEER_CONNECTIONS_SHARE = 0.3


class GatewaySettings(msgspec.Struct, frozen=True):
    """Settings of a gateway for declared routes.

    Attributes
    ----------
    vm : VmId
        Its identifier.
    data_centre : DataCentreId
        Where it runs.
    seeds : tuple of VmId
        Some control nodes, ``host:port``.
    budget : shared_budget.BudgetRules
        Rules of the retry budget of a service.
    drain_s : float
        Maximum time that draining may take.
    machine : capacity.MachineCapacity
        What its machine has.
    """

    vm: ids.VmId
    data_centre: ids.DataCentreId
    seeds: tuple[ids.VmId, ...]
    budget: shared_budget.BudgetRules
    drain_s: float
    machine: capacity.MachineCapacity = capacity.MachineCapacity()

    def caller_connections(self) -> int:
        """Return how many connections of callers may be open."""
        return self.machine.max_connections(CALLER_CONNECTIONS_SHARE)


class GatewayRole:
    """One gateway.

    Parameters
    ----------
    settings : GatewaySettings
        Its settings.
    source : discovery.ServerSource
        List of the backend servers.
    connect : relay_gateway.Connect
        Returns the adapter of a backend server.
    cluster_key : str
        Key with which daemons authenticate to each other.
    rng : random.Random
        Source of all randomness.

    Attributes
    ----------
    removal_observers : list of callable
        Called during a drain, once the load balancer has removed this gateway.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        source: discovery.ServerSource,
        connect: relay_gateway.Connect,
        cluster_key: str,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.source = source
        self.holder = configuration.ConfigurationHolder()
        self.view = fleet_view.FleetView()
        self.channel = transport.HttpTransport(transport.DirectAddresses(), cluster_key)
        self.allocation_channel = transport.HttpTransport(
            transport.DirectAddresses(), cluster_key
        )
        self.budget = shared_budget.SharedBudget(
            settings.budget, asyncio.get_running_loop().time()
        )
        self.reservations = relay_reservations.ServerReservations(
            self.view,
            settings.data_centre,
            rng,
            settings.vm,
            client.RemoteAllocationSource(
                self.allocating_node, self.allocation_channel
            ),
            permits.RemotePermitSource(self.allocating_node, self.allocation_channel),
            lambda: self.budget.gateways,
            rooms.RemoteRoomSource(self.allocating_node, self.allocation_channel),
        )
        self.reported_allocations: tuple[ids.AllocationId, ...] = ()
        self.reported_prefills = 0
        self.gateway = relay_gateway.RelayGateway(
            settings.vm,
            self.holder,
            self.view,
            self.reservations,
            self.budget,
            connect,
            rng,
            handover_channel.HttpHandoverChannel(cluster_key),
        )
        self.receiver = handover_receiver.HandoverReceiver(self.gateway, cluster_key)
        self.runner: connections.GuardedRunner | None = None
        self.removal_observers: list[Callable[[], None]] = []
        self.links = control_links.ControlLinks(
            settings.vm,
            settings.seeds,
            self.holder,
            self.view,
            self.channel,
            source,
            self.make_request,
            rng,
        )
        self.links.reply_observers.append(self.on_reply)
        self.links.suspect_observers.append(self.gateway.suspects.merge)
        self.links.limit_observers.append(self.reservations.gates.rate_gate.merge)
        self.links.brittle_observers.append(self.reservations.gates.room_gate.merge)

    def start(self) -> None:
        """Start following the control nodes."""
        self.links.start()
        self.gateway.start()
        LOG.info("daemon: {} has started.", self.settings.vm)

    async def listen(self) -> None:
        """Open the listener for the requests that other gateways hand over."""
        peer_connections = self.settings.machine.max_connections(PEER_CONNECTIONS_SHARE)
        self.runner = connections.GuardedRunner(
            self.receiver.application(),
            rules.FixedRules(peer_connections),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await server.listen(self.runner, self.settings.vm)

    def peer_state(self) -> peer_gateways.PeerGateway | None:
        """Return what other gateways need to know to hand requests over to this one."""
        if self.runner is None or not self.receiver.accepts():
            return None
        return peer_gateways.PeerGateway(
            self.settings.vm,
            self.settings.data_centre,
            self.gateway.requests.count,
            self.gateway.reach_checks.reach.lost_services(),
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new connections."""
        return self.links.is_up_to_date() and not self.gateway.requests.is_draining

    def caller_limits(self) -> relays.CallerLimits:
        """Return the limits on the requests of callers."""
        current = self.holder.current
        if current is None:
            return relays.CallerLimits()
        return current.declaration.caller_limits

    def make_request(
        self, known_version: int, wait_s: float
    ) -> fleet_messages.FleetRequest:
        """Return a request for the fleet that reports this gateway's load."""
        suspect_reports = self.gateway.suspects.suspect_reports_since(0)
        prefills = tuple(self.reservations.allocation_requests.unreported_prefills)
        self.reported_allocations = tuple(
            self.reservations.allocation_requests.unreported_allocations
        )
        self.reported_prefills = len(prefills)
        return fleet_messages.FleetRequest(
            self.settings.vm,
            known_version,
            wait_s,
            self.reservations.own_uses(),
            tuple(self.view.own_announcements),
            None if suspect_reports.is_empty else suspect_reports,
            self.reported_allocations,
            prefills,
            self.budget.retry_counts(asyncio.get_running_loop().time()),
            self.reservations.gates.rate_gate.reports(),
            self.settings.data_centre,
            self.peer_state(),
            self.reservations.gates.room_gate.reports(),
            tuple(each.start_key for each in self.view.own_announcements.values()),
        )

    def allocating_node(self) -> ids.VmId | None:
        """Return the control node that allocates engines, if it is known."""
        return self.links.active_control

    def on_reply(self, reply: fleet_messages.FleetReply) -> None:
        """Update the retry budget, the allocations and the peers from a reply."""
        now_s = asyncio.get_running_loop().time()
        self.gateway.peer_choice.peers = reply.peers
        self.budget.update_gateways(max(1, reply.gateways), reply.retries, now_s)
        self.reservations.allocation_requests.confirm_reported(
            self.reported_allocations, self.reported_prefills
        )

    async def drain(self) -> None:
        """Serve on until the load balancer sends nothing more and all requests ended.

        Requests that still arrive are served, except those that can't end in time. At
        the end of the drain, what still runs is interrupted, and new requests are
        refused until the listener is closed.
        """
        schedule = self.gateway.requests.begin_drain(self.settings.drain_s)
        LOG.info("daemon: Draining {} requests.", self.gateway.requests.count)
        await asyncio.sleep(
            min(drain_schedule.BALANCER_REMOVAL_S, self.settings.drain_s)
        )
        for observer in self.removal_observers:
            observer()
        await self.wait_until_idle(schedule.ends_s)
        interrupted = self.gateway.requests.end_drain()
        loop = asyncio.get_running_loop()
        LOG.info(
            "daemon: Drained after {:.3f} s, {} requests were interrupted.",
            loop.time() - schedule.begun_s,
            interrupted,
        )
        await self.wait_until_idle(loop.time() + INTERRUPTED_RESPONSE_TIMEOUT_S)

    def drain_left_s(self) -> float:
        """Return the rest of the time for the drain; 0 if there is no drain."""
        schedule = self.gateway.requests.drain
        if schedule is None:
            return 0.0
        return max(0.0, schedule.ends_s - asyncio.get_running_loop().time())

    async def wait_until_idle(self, deadline_s: float) -> None:
        """Wait until no request runs, or until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while self.gateway.requests.count and loop.time() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Close all connections."""
        self.links.stop()
        if self.runner is not None:
            await server.close(
                self.runner,
                INTERRUPTED_RESPONSE_TIMEOUT_S,
                INTERRUPTED_RESPONSE_TIMEOUT_S,
            )
        await self.gateway.close()
        await self.source.close()
        await self.channel.close()
        await self.allocation_channel.close()
        LOG.info("daemon: {} has stopped.", self.settings.vm)
