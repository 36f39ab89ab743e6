"""The node that allocates engines to the generations of all gateways.

Load pattern that it answers: many gateways decide on reports that are a moment old, and
all send what waits to the one engine that has just got room. Here each decision sees
the ones before it, and all that waits stands in one order.
"""

import asyncio
import functools
import random

import msgspec

from quetzalpass import ids
from quetzalpass.allocation import messages, queueing, rooms
from quetzalpass.declarations import schema
from quetzalpass.membership import (
    configuration,
    discovery,
    fleet_messages,
    fleet_registry,
    use_totals,
)
from quetzalpass.routing import prefill_rates, relay_placement, relay_waiting

# By then each gateway has told a new leader what it has on the engines.
GATHER_S = 0.6
# A grant whose gateway has not counted it among its load by then was never used.
GRANT_LIFETIME_S = 1.0
MS_PER_S = 1000
UNAVAILABLE = messages.AllocationReply(False)


class PendingGrant(msgspec.Struct, frozen=True):
    """A grant that its gateway has not counted among its load yet."""

    grant: messages.EngineGrant
    uses: tuple[fleet_messages.ServerUse, ...]
    at_s: float


class Allocator:
    """Decides on which engine each generation runs.

    Parameters
    ----------
    registry : fleet_registry.FleetRegistry
        The servers and the load that the gateways tell.
    holder : configuration.ConfigurationHolder
        The declaration in force.
    rng : random.Random
        Draws among engines that are about as good.
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
        self.known_rooms: dict[ids.ServiceName, list[relay_placement.ServerRoom]] = {}
        registry.report_observers.append(self.take_in)
        registry.change_observers.append(self.pump)

    def take_in(self, report: fleet_messages.FleetRequest) -> None:
        """Note what a gateway tells of its grants and of its engines."""
        self.known_rooms.clear()
        for allocation in report.placed:
            self.forget_grant(allocation)
        for read in report.reads:
            self.rates.observe(read)

    def is_ready(self) -> bool:
        """Return whether this node knows enough to decide."""
        since_s = self.registry.active_since_s
        if not self.registry.is_active() or since_s is None:
            return False
        if self.registry.read_at_s is None:
            return False
        return asyncio.get_running_loop().time() - since_s >= GATHER_S

    async def answer(
        self, request: messages.AllocationRequest
    ) -> messages.AllocationReply:
        """Answer with an engine, at once or within the time that the asker waits."""
        if not self.is_ready() or self.service_of(request.service) is None:
            return UNAVAILABLE
        self.expire_grants()
        known = self.pending.get(request.allocation)
        if known is not None:
            return messages.AllocationReply(True, known.grant)
        return messages.AllocationReply(True, await self.find(request))

    async def find(
        self, request: messages.AllocationRequest
    ) -> messages.EngineGrant | None:
        """Return an engine for a request, or None if none gets room in time."""
        if request.purpose is messages.Purpose.MOVE:
            return self.grant_move(request)
        queue = self.queue_of(request.service)
        find_place = functools.partial(self.grant_start, request)
        return await queue.wait(waiting_request(request), find_place)

    def queue_of(
        self, service: ids.ServiceName
    ) -> queueing.PlacementQueue[messages.EngineGrant]:
        """Return the queue of a service, made at its first use."""
        found = self.queues.get(service)
        if found is None:
            found = queueing.PlacementQueue(self.take_back)
            self.queues[service] = found
        return found

    def pump(self) -> None:
        """Look at all that waits, after a change of the list of servers."""
        self.known_rooms.clear()
        for queue in self.queues.values():
            queue.pump()

    def grant_start(
        self, request: messages.AllocationRequest
    ) -> messages.EngineGrant | None:
        """Grant an engine to a new generation if one has room."""
        found = self.rooms_for(request)
        chosen = relay_placement.choose_engine(
            request.need, found, request.data_centre, self.rng
        )
        if chosen is None:
            return None
        return self.grant(request, chosen, self.backup_for(request, chosen, found))

    def grant_move(
        self, request: messages.AllocationRequest
    ) -> messages.EngineGrant | None:
        """Grant an engine to the memory of a generation whose own one leaves."""
        chosen = relay_placement.choose_move_target(
            request.need, self.rooms_for(request), request.data_centre, self.rng
        )
        return None if chosen is None else self.grant(request, chosen, None)

    def backup_for(
        self,
        request: messages.AllocationRequest,
        chosen: ids.ServerId,
        found: list[relay_placement.ServerRoom],
    ) -> ids.ServerId | None:
        """Return the engine for the backup of a generation, if one is to have it."""
        service = self.service_of(request.service)
        if service is None or service.engine is None or not service.engine.backups:
            return None
        others = [each for each in found if each.server_id != chosen]
        here = self.listed(chosen).data_centre
        return relay_placement.choose_backup(request.need, others, here, self.rng)

    def rooms_for(
        self, request: messages.AllocationRequest
    ) -> list[relay_placement.ServerRoom]:
        """Return the engines that may take a request, as its gateway sees them.

        Those that have failed the gateway are left out unless no other is there.
        """
        usable = self.usable_rooms(request.service)
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

    def usable_rooms(self, name: ids.ServiceName) -> list[relay_placement.ServerRoom]:
        """Return what is on all engines of a service, kept until something changes."""
        found = self.known_rooms.get(name)
        if found is not None:
            return found
        service = self.service_of(name)
        if service is None:
            return []
        found = [
            self.room_of(each, service)
            for each in self.registry.servers
            if each.service == name and each.state is discovery.ServerState.READY
        ]
        self.known_rooms[name] = found
        return found

    def room_of(
        self, server: discovery.DiscoveredServer, service: schema.Service
    ) -> relay_placement.ServerRoom:
        """Return what is on one engine now."""
        told = self.registry.totals.of(server.id)
        use = told.plus(self.pending_uses.of(server.id))
        condition = rooms.Condition(self.registry.is_cold(server.id))
        return rooms.room_of(server, use, service, self.rates, condition)

    def grant(
        self,
        request: messages.AllocationRequest,
        chosen: ids.ServerId,
        backup: ids.ServerId | None,
    ) -> messages.EngineGrant:
        """Count a generation on an engine until its gateway does."""
        room = next(
            each
            for each in self.usable_rooms(request.service)
            if each.server_id == chosen
        )
        grant = messages.EngineGrant(
            self.listed(chosen),
            None if backup is None else self.listed(backup),
            room.prefill_tokens,
            relay_placement.describe(room, request.need),
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
        self.known_rooms.clear()
        return grant

    def take_back(self, grant: messages.EngineGrant) -> None:
        """Forget a grant whose asker has left before it was answered."""
        for allocation, each in self.pending.items():
            if each.grant is grant:
                self.forget_grant(allocation)
                return

    def forget_grant(self, allocation: ids.AllocationId) -> None:
        """Count a grant no longer, if it still was."""
        pending = self.pending.pop(allocation, None)
        if pending is not None:
            self.pending_uses.subtract(pending.uses)
            self.known_rooms.clear()

    def expire_grants(self) -> None:
        """Forget grants that were not used; the oldest come first."""
        oldest_s = asyncio.get_running_loop().time() - GRANT_LIFETIME_S
        while self.pending:
            allocation, pending = next(iter(self.pending.items()))
            if pending.at_s > oldest_s:
                return
            self.forget_grant(allocation)

    def listed(self, server_id: ids.ServerId) -> discovery.DiscoveredServer:
        """Return a server of the list."""
        return next(each for each in self.registry.servers if each.id == server_id)

    def service_of(self, name: ids.ServiceName) -> schema.Service | None:
        """Return a declared service, if it is known here."""
        current = self.holder.current
        return None if current is None else current.services.get(name)


def waiting_request(
    request: messages.AllocationRequest,
) -> relay_waiting.WaitingRequest:
    """Return a request as it stands in the queue."""
    now_s = asyncio.get_running_loop().time()
    return relay_waiting.WaitingRequest(
        ids.RequestId(request.allocation),
        request.rank,
        request.need,
        now_s - request.waited_s,
        request.need.objective_s,
        request.waited_s + request.wait_s,
    )
