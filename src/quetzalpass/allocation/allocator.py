"""Allocates engines to the generations of all gateways, on one control node.

Load pattern that it handles: if many gateways decide on slightly outdated reports, they
all send their waiting requests to the one engine that has just gained capacity. Here
each decision takes the earlier ones into account, and all waiting requests share one
queue.
"""

import asyncio
import functools
import random

import msgspec

from quetzalpass import ids
from quetzalpass.allocation import messages, queueing, server_capacities
from quetzalpass.backends import discovery
from quetzalpass.declarations import schema
from quetzalpass.membership import (
    configuration,
    fleet_messages,
    fleet_registry,
    use_totals,
)
from quetzalpass.routing import prefill_rates, relay_placement, relay_waiting

# Within this time each gateway has reported its load on the engines to a new leader.
REPORT_GATHER_S = 0.6
# A grant that isn't part of its gateway's reported load by then was never used.
GRANT_LIFETIME_S = 1.0
MS_PER_S = 1000
UNAVAILABLE = messages.AllocationReply(False)


class PendingGrant(msgspec.Struct, frozen=True):
    """A grant that isn't part of its gateway's reported load yet."""

    grant: messages.EngineGrant
    uses: tuple[fleet_messages.ServerUse, ...]
    at_s: float


class Allocator:
    """Decides on which engine each generation runs.

    Parameters
    ----------
    registry : fleet_registry.FleetRegistry
        The servers and the load that the gateways report.
    holder : configuration.ConfigurationHolder
        The declaration in force.
    rng : random.Random
        Chooses among engines with about the same score.
    """

    def __init__(
        self,
        registry: fleet_registry.FleetRegistry,
        holder: configuration.ConfigurationHolder,
        rng: random.Random,
    ) -> None:
        self.registry = registry
        self.holder = holder
        self.rng = rng
        self.rates = prefill_rates.PrefillRates()
        self.pending: dict[ids.AllocationId, PendingGrant] = {}
        self.pending_uses = use_totals.UseTotals()
        self.queues: dict[
            ids.ServiceName, queueing.PlacementQueue[messages.EngineGrant]
        ] = {}
        self.known_capacities: dict[
            ids.ServiceName, list[relay_placement.ServerCapacity]
        ] = {}
        registry.report_observers.append(self.apply_report)
        registry.change_observers.append(self.process_queues)

    def apply_report(self, report: fleet_messages.FleetRequest) -> None:
        """Apply a gateway's report of its grants and of its engines' prefill."""
        self.known_capacities.clear()
        for allocation in report.placed:
            self.forget_grant(allocation)
        for measurement in report.reads:
            self.rates.observe(measurement)

    def is_ready(self) -> bool:
        """Return whether this node leads and has the list and reports to decide."""
        since_s = self.registry.active_since_s
        if not self.registry.is_active() or since_s is None:
            return False
        if self.registry.read_at_s is None:
            return False
        return asyncio.get_running_loop().time() - since_s >= REPORT_GATHER_S

    async def handle(
        self, request: messages.AllocationRequest
    ) -> messages.AllocationReply:
        """Grant an engine at once or within the time that the gateway waits."""
        if not self.is_ready() or self.find_service(request.service) is None:
            return UNAVAILABLE
        self.expire_grants()
        known = self.pending.get(request.allocation)
        if known is not None:
            return messages.AllocationReply(True, known.grant)
        return messages.AllocationReply(True, await self.find_engine(request))

    async def find_engine(
        self, request: messages.AllocationRequest
    ) -> messages.EngineGrant | None:
        """Return an engine for a request, or ``None`` if none is free in time."""
        if request.purpose is messages.Purpose.MOVE:
            return self.grant_move(request)
        queue = self.service_queue(request.service)
        try_grant = functools.partial(self.grant_start, request)
        return await queue.wait(waiting_request(request), try_grant)

    def service_queue(
        self, service: ids.ServiceName
    ) -> queueing.PlacementQueue[messages.EngineGrant]:
        """Return the queue of a service; create it if missing."""
        found = self.queues.get(service)
        if found is None:
            found = queueing.PlacementQueue(self.release_grant)
            self.queues[service] = found
        return found

    def process_queues(self) -> None:
        """Process all waiting requests after a change of the list of servers."""
        self.known_capacities.clear()
        for queue in self.queues.values():
            queue.process_queue()

    def grant_start(
        self, request: messages.AllocationRequest
    ) -> messages.EngineGrant | None:
        """Grant an engine for a new generation if one has capacity."""
        found = self.capacities_for(request)
        chosen = relay_placement.choose_engine(
            request.need, found, request.data_centre, self.rng
        )
        if chosen is None:
            return None
        return self.grant(request, chosen, self.find_backup(request, chosen, found))

    def grant_move(
        self, request: messages.AllocationRequest
    ) -> messages.EngineGrant | None:
        """Grant an engine for the memory of a generation on a leaving engine."""
        chosen = relay_placement.choose_move_target(
            request.need, self.capacities_for(request), request.data_centre, self.rng
        )
        return None if chosen is None else self.grant(request, chosen, None)

    def find_backup(
        self,
        request: messages.AllocationRequest,
        chosen: ids.ServerId,
        found: list[relay_placement.ServerCapacity],
    ) -> ids.ServerId | None:
        """Return the engine for a generation's backup, or ``None`` for no backup."""
        service = self.find_service(request.service)
        if service is None or service.engine is None or not service.engine.backups:
            return None
        limited = self.registry.limits.servers(asyncio.get_running_loop().time())
        others = [
            each
            for each in found
            if each.server_id != chosen and each.server_id not in limited
        ]
        engine_data_centre = self.find_server(chosen).data_centre
        return relay_placement.choose_backup(
            request.need, others, engine_data_centre, self.rng
        )

    def capacities_for(
        self, request: messages.AllocationRequest
    ) -> list[relay_placement.ServerCapacity]:
        """Return the engines for a request, as its gateway sees them.

        Engines that the gateway avoids are left out, unless a new generation has no
        others.
        """
        usable = self.usable_capacities(request.service)
        found = [each for each in usable if each.server_id not in request.avoided]
        if request.purpose is messages.Purpose.START:
            found = found or usable
        if not request.cut_off:
            return found
        return [
            msgspec.structs.replace(
                each, is_cut_off=each.data_centre in request.cut_off
            )
            for each in found
        ]

    def usable_capacities(
        self, name: ids.ServiceName
    ) -> list[relay_placement.ServerCapacity]:
        """Return all ready engines of a service; cached until something changes."""
        found = self.known_capacities.get(name)
        if found is not None:
            return found
        service = self.find_service(name)
        if service is None:
            return []
        found = [
            self.server_capacity(each, service)
            for each in self.registry.servers
            if each.service == name and each.state is discovery.ServerState.READY
        ]
        self.known_capacities[name] = found
        return found

    def server_capacity(
        self, server: discovery.DiscoveredServer, service: schema.Service
    ) -> relay_placement.ServerCapacity:
        """Return the size and the current load of one engine."""
        reported = self.registry.totals.get(server.id)
        use = reported.plus(self.pending_uses.get(server.id))
        condition = server_capacities.ServerCondition(self.registry.is_cold(server.id))
        return server_capacities.server_capacity(
            server, use, service, self.rates, condition
        )

    def grant(
        self,
        request: messages.AllocationRequest,
        chosen: ids.ServerId,
        backup: ids.ServerId | None,
    ) -> messages.EngineGrant:
        """Grant an engine; count its load until the gateway's reports contain it."""
        capacity = next(
            each
            for each in self.usable_capacities(request.service)
            if each.server_id == chosen
        )
        grant = messages.EngineGrant(
            self.find_server(chosen),
            None if backup is None else self.find_server(backup),
            capacity.prefill_tokens,
            relay_placement.describe(capacity, request.need),
        )
        is_start = request.purpose is messages.Purpose.START
        tokens = request.need.tokens
        prompt_tokens = request.need.prompt_tokens if is_start else 0
        uses = [fleet_messages.ServerUse(chosen, 1, tokens, 0, prompt_tokens)]
        if backup is not None:
            uses.append(fleet_messages.ServerUse(backup, copy_tokens=tokens))
        now_s = asyncio.get_running_loop().time()
        self.pending[request.allocation] = PendingGrant(grant, tuple(uses), now_s)
        self.pending_uses.add(uses)
        self.known_capacities.clear()
        return grant

    def release_grant(self, grant: messages.EngineGrant) -> None:
        """Release a grant whose request was cancelled before the reply."""
        for allocation, each in self.pending.items():
            if each.grant is grant:
                self.forget_grant(allocation)
                return

    def forget_grant(self, allocation: ids.AllocationId) -> None:
        """Stop counting a pending grant; no effect if it is not pending."""
        pending = self.pending.pop(allocation, None)
        if pending is not None:
            self.pending_uses.subtract(pending.uses)
            self.known_capacities.clear()

    def expire_grants(self) -> None:
        """Remove grants that were not used in time, oldest first."""
        oldest_s = asyncio.get_running_loop().time() - GRANT_LIFETIME_S
        while self.pending:
            allocation, pending = next(iter(self.pending.items()))
            if pending.at_s > oldest_s:
                return
            self.forget_grant(allocation)

    def find_server(self, server_id: ids.ServerId) -> discovery.DiscoveredServer:
        """Return the listed server with an id."""
        return next(each for each in self.registry.servers if each.id == server_id)

    def find_service(self, name: ids.ServiceName) -> schema.Service | None:
        """Return a declared service, or ``None`` if this node doesn't know it."""
        current = self.holder.current
        return None if current is None else current.services.get(name)


def waiting_request(
    request: messages.AllocationRequest,
) -> relay_waiting.WaitingRequest:
    """Return the entry of a request in the queue."""
    now_s = asyncio.get_running_loop().time()
    return relay_waiting.WaitingRequest(
        ids.RequestId(request.allocation),
        request.rank,
        request.need,
        now_s - request.waited_s,
        request.need.objective_s,
        request.waited_s + request.wait_s,
    )
