"""Reservations on backend servers for the relayed requests of one gateway."""

import asyncio
import functools
import random
from collections.abc import Callable

from returns import result

from quetzalpass import ids
from quetzalpass.allocation import (
    client,
    permits,
    queueing,
    rooms,
    server_capacities,
)
from quetzalpass.allocation import messages as allocation_messages
from quetzalpass.backends import discovery
from quetzalpass.membership import fleet_messages, fleet_view
from quetzalpass.relay import (
    engine_questions,
    relay_requests,
    send_gates,
    server_health,
    server_reservation,
)
from quetzalpass.results import codes, failures
from quetzalpass.routing import (
    prefill_rates,
    relay_placement,
    relay_waiting,
)

MS_PER_S = 1000
# Longest wait for capacity as a multiple of the objective. Callers of streams
# disconnect after four times the objective.
MAX_WAIT_FACTOR = 3.0
# Longest wait of one allocation request, so that the loss of one is noticed soon.
MAX_ALLOCATION_WAIT_S = 0.25


Reservation = server_reservation.Reservation

NO_NEED = relay_placement.GenerationNeed(0, 0)

ReservationResult = result.Result[Reservation, failures.Failure]


class ServerReservations(server_reservation.CapacityTracker):
    """Chooses servers, and tracks the use that this gateway makes of each.

    Parameters
    ----------
    view : fleet_view.FleetView
        The backend servers.
    data_centre : DataCentreId
        Data centre of this gateway.
    rng : random.Random
        Chooses among servers with almost equal scores.
    vm : VmId
        Identifier of this gateway.
    allocation : client.AllocationSource or None
        Client of the node that allocates engines. Without such a node, or while it does
        not respond, this gateway chooses engines by itself.
    permit_source : permits.PermitSource or None
        Shares the limits of servers out; ``None`` where no node does.
    count_gateways : callable
        Returns the number of gateways; 0 if it is unknown.
    room_source : rooms.RoomSource or None
        Shares the room of brittle servers out; ``None`` where no node does.

    Attributes
    ----------
    gates : send_gates.SendGates
        What servers ask of this gateway before it sends them a request.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        data_centre: ids.DataCentreId,
        rng: random.Random,
        vm: ids.VmId,
        allocation: client.AllocationSource | None = None,
        permit_source: permits.PermitSource | None = None,
        count_gateways: Callable[[], int] = lambda: 1,
        room_source: rooms.RoomSource | None = None,
    ) -> None:
        self.view = view
        self.data_centre = data_centre
        self.rng = rng
        self.uses: dict[ids.ServerId, fleet_messages.ServerUse] = {}
        self.rates = prefill_rates.PrefillRates()
        self.gates = send_gates.SendGates(
            view, vm, rng, permit_source, room_source, count_gateways
        )
        self.health = server_health.ServerHealth(view, data_centre)
        self.allocation_requests = engine_questions.EngineRequests(
            vm, view, self.health, rng, allocation, self.gates.blocked_s
        )
        self.queues: dict[ids.ServiceName, queueing.PlacementQueue[Reservation]] = {}
        view.change_observers.append(self.process_queues)

    def add_use(
        self,
        server_id: ids.ServerId,
        requests: int = 0,
        tokens: int = 0,
        copy_tokens: int = 0,
        prefill_tokens: int = 0,
    ) -> None:
        """Add to the use that this gateway makes of a server."""
        empty_use = fleet_messages.ServerUse(server_id)
        added_use = fleet_messages.ServerUse(
            server_id, requests, tokens, copy_tokens, prefill_tokens
        )
        new_use = self.uses.get(server_id, empty_use).plus(added_use)
        assert new_use.requests >= 0, "a reservation is released once"
        if new_use == empty_use:
            self.uses.pop(server_id, None)
        else:
            self.uses[server_id] = new_use

    def total_use(self, server_id: ids.ServerId) -> fleet_messages.ServerUse:
        """Return the use that all gateways make of a server."""
        empty_use = fleet_messages.ServerUse(server_id)
        own = self.uses.get(server_id, empty_use)
        return own.plus(self.view.use_of_others(own))

    def own_uses(self) -> tuple[fleet_messages.ServerUse, ...]:
        """Return the use that this gateway makes of each server."""
        return tuple(self.uses.values())

    def server_capacities(
        self,
        routed: relay_requests.RoutedRequest,
        excluded: frozenset[ids.ServerId] = frozenset(),
    ) -> list[relay_placement.ServerCapacity]:
        """Return the capacities of the servers of a service that accept new work.

        Ejected servers, and those that the request avoids, are left out unless no other
        server is left. Servers whose limit allows no request now are always left out.
        """
        now_s = asyncio.get_running_loop().time()
        avoided = self.health.find_servers_to_avoid(routed.fingerprint)
        usable = [
            known
            for known in self.view.find_servers(routed.service.name)
            if not known.is_leaving
            and known.server.id not in excluded
            and not self.gates.blocked_s(known.server.id, routed.rank)
        ]
        healthy = [
            known
            for known in usable
            if not self.health.is_ejected(known.server.id, now_s)
            and known.server.id not in avoided
        ]
        return [
            self.server_capacity(known, routed, now_s) for known in healthy or usable
        ]

    def server_capacity(
        self,
        known: fleet_view.KnownServer,
        routed: relay_requests.RoutedRequest,
        now_s: float,
    ) -> relay_placement.ServerCapacity:
        """Return the current capacity of one server."""
        server = known.server
        condition = server_capacities.ServerCondition(
            now_s < known.warm_at_s,
            self.health.is_cut_off(server.data_centre, now_s),
        )
        use = self.total_use(server.id)
        return server_capacities.server_capacity(
            server, use, routed.service, self.rates, condition
        )

    def reserve_service_server(
        self,
        routed: relay_requests.RoutedRequest,
        excluded: frozenset[ids.ServerId] = frozenset(),
    ) -> Reservation | None:
        """Reserve a server of a plain service, if there is one."""
        capacities = self.server_capacities(routed, excluded)
        chosen = relay_placement.choose_service_server(
            capacities, self.data_centre, self.rng
        )
        if chosen is None:
            return None
        return Reservation(self, self.view.servers[chosen].server, NO_NEED)

    def reserve_engine(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        excluded: frozenset[ids.ServerId] = frozenset(),
    ) -> Reservation | None:
        """Reserve an engine with sufficient capacity, if there is one."""
        capacities = self.server_capacities(routed, excluded)
        chosen = relay_placement.choose_engine(
            need, capacities, self.data_centre, self.rng
        )
        if chosen is None:
            return None
        capacity = next(each for each in capacities if each.server_id == chosen)
        server = self.view.servers[chosen].server
        prefill = server_reservation.pending_prefill(
            routed, need, capacity.prefill_tokens
        )
        reservation = Reservation(self, server, need, prefill)
        reservation.reason = relay_placement.describe(capacity, need)
        return reservation

    async def reserve_move_target(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        source: discovery.DiscoveredServer,
    ) -> Reservation | None:
        """Reserve an engine to which the memory of a running generation can move."""
        granted = await self.allocation_requests.request_for_move(routed, need, source)
        if isinstance(granted, result.Success):
            grant = granted.unwrap()
            return None if grant is None else self.reserve_granted(need, grant, None)
        capacities = self.server_capacities(routed, frozenset((source.id,)))
        chosen = relay_placement.choose_move_target(
            need, capacities, source.data_centre, self.rng
        )
        if chosen is None:
            return None
        return Reservation(self, self.view.servers[chosen].server, need)

    def assign_backup(
        self,
        routed: relay_requests.RoutedRequest,
        reservation: Reservation,
    ) -> None:
        """Choose the backup server of a generation, unless the grant decided it."""
        engine = routed.service.engine
        if reservation.is_granted or engine is None or not engine.backups:
            return
        excluded = self.gates.rate_gate.limited_servers() | {reservation.server.id}
        capacities = self.server_capacities(routed, excluded)
        chosen = relay_placement.choose_backup(
            reservation.need, capacities, reservation.server.data_centre, self.rng
        )
        if chosen is not None:
            reservation.set_backup(self.view.servers[chosen].server)

    def reserve_on(
        self,
        server: discovery.DiscoveredServer,
        need: relay_placement.GenerationNeed,
    ) -> Reservation:
        """Reserve a server that already has a copy of a generation's memory."""
        return Reservation(self, server, need)

    async def wait_for_engine(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
    ) -> ReservationResult:
        """Wait until an engine can be reserved.

        Returns
        -------
        Result
            The reservation, or ``QUEUE_FULL`` with the time after which to retry.
        """
        request = self.waiting_request(routed, need)
        granted = await self.wait_for_grant(routed, request)
        reservation = granted.value_or(None)
        if isinstance(granted, result.Failure):
            reservation = await self.wait_locally(routed, request)
        if reservation is not None:
            return result.Success(reservation)
        waited_s = asyncio.get_running_loop().time() - request.arrived_s
        return result.Failure(
            self.queue_full_failure(
                routed, f"no engine had capacity within {waited_s:.2f} s"
            )
        )

    async def wait_for_grant(
        self,
        routed: relay_requests.RoutedRequest,
        request: relay_waiting.WaitingRequest,
    ) -> result.Result[Reservation | None, failures.Failure]:
        """Wait until the allocating node grants an engine for a request.

        The first allocation request does not wait for capacity, so that an
        unresponsive node costs little time.

        Returns
        -------
        Result
            The reservation, ``None`` if none was granted in time, or the failure of an
            allocation request.
        """
        loop = asyncio.get_running_loop()
        need = request.need
        wait_s = 0.0
        while True:
            granted = await self.allocation_requests.request_for_start(
                routed, need, wait_s
            )
            if isinstance(granted, result.Failure):
                return granted
            grant = granted.unwrap()
            if grant is not None:
                prefill = server_reservation.pending_prefill(
                    routed, need, grant.prefill_tokens
                )
                return result.Success(self.reserve_granted(need, grant, prefill))
            left_s = request.expires_at_s - loop.time()
            if left_s <= 0:
                return result.Success(None)
            wait_s = min(MAX_ALLOCATION_WAIT_S, left_s)

    def reserve_granted(
        self,
        need: relay_placement.GenerationNeed,
        grant: allocation_messages.EngineGrant,
        prefill: prefill_rates.PendingPrefill | None,
    ) -> Reservation:
        """Reserve the servers of a grant."""
        reservation = Reservation(self, grant.server, need, prefill)
        reservation.is_granted = True
        reservation.reason = grant.reason
        reservation.set_backup(grant.backup)
        return reservation

    def record_prefill(self, measurement: prefill_rates.PrefillMeasurement) -> None:
        """Update an engine's prefill rate, and keep the measurement for a report."""
        self.rates.observe(measurement)
        self.allocation_requests.record_prefill(measurement)

    async def wait_locally(
        self,
        routed: relay_requests.RoutedRequest,
        request: relay_waiting.WaitingRequest,
    ) -> Reservation | None:
        """Wait for an engine that this gateway chooses by itself."""
        service = routed.service.name
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = queueing.PlacementQueue(Reservation.release)
        reserve_server = functools.partial(self.reserve_engine, routed, request.need)
        return await queue.wait(request, reserve_server)

    def waiting_request(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
    ) -> relay_waiting.WaitingRequest:
        """Return the waiting-list entry of a request."""
        objective_s = routed.route.objective_ms / MS_PER_S
        arrived_s = routed.request.arrived_s
        return relay_waiting.WaitingRequest(
            routed.request.request_id,
            routed.rank,
            need,
            arrived_s,
            objective_s,
            self.max_wait_s(routed),
        )

    def max_wait_s(self, routed: relay_requests.RoutedRequest) -> float:
        """Return how long a request may wait for an engine, in seconds."""
        objective_s = routed.route.objective_ms / MS_PER_S
        time_left_s = routed.deadline_s - routed.request.arrived_s
        return min(MAX_WAIT_FACTOR * objective_s, time_left_s / 2)

    def queue_full_failure(
        self, routed: relay_requests.RoutedRequest, message: str
    ) -> failures.Failure:
        """Return the failure of a request for which no server was found in time."""
        now_s = asyncio.get_running_loop().time()
        return_s = relay_waiting.retry_delay_s(routed.deadline_s - now_s, self.rng)
        return failures.Failure(
            codes.Code.QUEUE_FULL, message, retry_after_ms=int(return_s * MS_PER_S)
        )

    def release_room(self, admission: str) -> None:
        """Release the room that a request holds on a brittle server."""
        self.gates.room_gate.release(admission)

    def rate_limited_failure(
        self, routed: relay_requests.RoutedRequest, delay_s: float
    ) -> failures.Failure:
        """Return the failure of a request that the limits of its servers don't allow.

        Parameters
        ----------
        routed : relay_requests.RoutedRequest
            The request.
        delay_s : float
            Time until the next permit, in seconds.
        """
        now_s = asyncio.get_running_loop().time()
        left_s = routed.deadline_s - now_s
        return_s = relay_waiting.retry_delay_s(left_s, self.rng, delay_s)
        return failures.Failure(
            codes.Code.QUEUE_FULL,
            f"the servers take no further request for {delay_s:.2f} s",
            retry_after_ms=int(return_s * MS_PER_S),
        )

    def process_queues(self) -> None:
        """Reserve servers for the waiting requests for which there is capacity."""
        for queue in self.queues.values():
            queue.process_queue()
