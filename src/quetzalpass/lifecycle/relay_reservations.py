"""Places on discovered servers for relayed requests of one gateway."""

import asyncio
import functools
import random

from returns import result

from quetzalpass import ids
from quetzalpass.allocation import client, queueing, rooms
from quetzalpass.allocation import messages as allocation_messages
from quetzalpass.lifecycle import engine_requests, relay_requests, server_health
from quetzalpass.membership import discovery, fleet_messages, fleet_view
from quetzalpass.results import codes, failures
from quetzalpass.routing import prefill_rates, relay_placement, relay_waiting

MS_PER_S = 1000
# Longest wait for room as a multiple of the objective; callers of streams leave after
# four times that objective.
MAX_WAIT_FACTOR = 3.0
# A question for an engine waits no longer, so that a lost one shows.
MAX_ALLOCATION_WAIT_S = 0.25


class Reservation:
    """A place on a server, and possibly a backup on another one.

    Attributes
    ----------
    server : discovery.DiscoveredServer
        Server that runs the request.
    need : relay_placement.GenerationNeed
        Memory that it is expected to need; nothing for a plain service.
    backup : discovery.DiscoveredServer or None
        Server that holds a growing copy.
    read : prefill_rates.PendingRead or None
        Its prompt, until the server has read it.
    is_granted : bool
        Whether the allocating node chose it, with the backup or without one.
    reason : str
        The figures that decided for the server.
    """

    def __init__(
        self,
        reservations: "ServerReservations",
        server: discovery.DiscoveredServer,
        need: relay_placement.GenerationNeed,
        prefill: prefill_rates.PendingRead | None = None,
    ) -> None:
        self.reservations = reservations
        self.server = server
        self.need = need
        self.backup: discovery.DiscoveredServer | None = None
        self.is_held = True
        self.is_granted = False
        self.reason = ""
        self.prefill = prefill
        prefill_tokens = prefill.tokens if prefill is not None else 0
        reservations.add_use(server.id, 1, need.tokens, 0, prefill_tokens)

    def set_backup(self, backup: discovery.DiscoveredServer | None) -> None:
        """Note on which server the growing copy lies from now on."""
        if self.backup is not None:
            self.reservations.add_use(self.backup.id, copy_tokens=-self.need.tokens)
        self.backup = backup
        if backup is not None:
            self.reservations.add_use(backup.id, copy_tokens=self.need.tokens)

    def on_first_event(self) -> None:
        """Note that the server has read the prompt, and learn how fast it was."""
        prefill = self.prefill
        if prefill is None:
            return
        self.end_prefill()
        elapsed_s = asyncio.get_running_loop().time() - prefill.sent_s
        self.reservations.record_prefill(
            prefill_rates.PromptRead(
                self.server.id,
                prefill.tokens + prefill.tokens_ahead,
                elapsed_s,
                prefill.declared_tokens_per_s,
            )
        )

    def end_prefill(self) -> None:
        """Count the prompt no longer among those to be read."""
        if self.prefill is not None:
            self.reservations.add_use(
                self.server.id, prefill_tokens=-self.prefill.tokens
            )
            self.prefill = None

    def grow(self, need: relay_placement.GenerationNeed) -> None:
        """Note that the generation has got further."""
        more = need.tokens - self.need.tokens
        self.need = need
        self.reservations.add_use(self.server.id, tokens=more)
        if self.backup is not None:
            self.reservations.add_use(self.backup.id, copy_tokens=more)

    def release(self) -> None:
        """Give the place back; a second call has no effect."""
        if not self.is_held:
            return
        self.is_held = False
        self.set_backup(None)
        self.end_prefill()
        self.reservations.add_use(self.server.id, requests=-1, tokens=-self.need.tokens)
        self.reservations.process_queues()


NO_NEED = relay_placement.GenerationNeed(0, 0)

ReservationResult = result.Result[Reservation, failures.Failure]


class ServerReservations:
    """Chooses servers and keeps count of what this gateway has on each.

    Parameters
    ----------
    view : fleet_view.FleetView
        The servers.
    data_centre : DataCentreId
        Where this gateway runs.
    rng : random.Random
        Draws among servers that are about as good.
    vm : VmId
        This gateway.
    allocation : client.AllocationSource or None
        Node that chooses the engines; this gateway does while that is silent, or
        where there is none.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        data_centre: ids.DataCentreId,
        rng: random.Random,
        vm: ids.VmId,
        allocation: client.AllocationSource | None = None,
    ) -> None:
        self.view = view
        self.data_centre = data_centre
        self.rng = rng
        self.uses: dict[ids.ServerId, fleet_messages.ServerUse] = {}
        self.rates = prefill_rates.PrefillRates()
        self.health = server_health.ServerHealth(view, data_centre)
        self.allocation_requests = engine_requests.EngineRequests(
            vm, view, self.health, rng, allocation
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
        """Change what this gateway has on a server."""
        none = fleet_messages.ServerUse(server_id)
        change = fleet_messages.ServerUse(
            server_id, requests, tokens, copy_tokens, prefill_tokens
        )
        new = self.uses.get(server_id, none).plus(change)
        assert new.requests >= 0, "a place is given back once"
        if new == none:
            self.uses.pop(server_id, None)
        else:
            self.uses[server_id] = new

    def use_of(self, server_id: ids.ServerId) -> fleet_messages.ServerUse:
        """Return what all gateways have on a server."""
        none = fleet_messages.ServerUse(server_id)
        own = self.uses.get(server_id, none)
        return own.plus(self.view.use_of_others(own))

    def own_uses(self) -> tuple[fleet_messages.ServerUse, ...]:
        """Return what this gateway has on all servers."""
        return tuple(self.uses.values())

    def server_capacities(
        self,
        routed: relay_requests.RoutedRequest,
        excluded: frozenset[ids.ServerId] = frozenset(),
    ) -> list[relay_placement.ServerRoom]:
        """Return the servers of a service that take new work.

        Ejected ones are left out unless no other is there.
        """
        now_s = asyncio.get_running_loop().time()
        usable = [
            known
            for known in self.view.of_service(routed.service.name)
            if not known.is_leaving and known.server.id not in excluded
        ]
        healthy = [
            known
            for known in usable
            if not self.health.is_ejected(known.server.id, now_s)
        ]
        return [
            self.server_capacity(known, routed, now_s) for known in healthy or usable
        ]

    def server_capacity(
        self,
        known: fleet_view.KnownServer,
        routed: relay_requests.RoutedRequest,
        now_s: float,
    ) -> relay_placement.ServerRoom:
        """Return what is on one server now."""
        server = known.server
        condition = rooms.Condition(
            now_s < known.warm_at_s,
            self.health.is_cut_off(server.data_centre, now_s),
        )
        use = self.use_of(server.id)
        return rooms.room_of(server, use, routed.service, self.rates, condition)

    def reserve_service_server(
        self,
        routed: relay_requests.RoutedRequest,
        excluded: frozenset[ids.ServerId] = frozenset(),
    ) -> Reservation | None:
        """Return a place on a server of a plain service, if any server is there."""
        found = self.server_capacities(routed, excluded)
        chosen = relay_placement.choose_service_server(
            found, self.data_centre, self.rng
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
        """Return a place on an engine with capacity, if there is one."""
        found = self.server_capacities(routed, excluded)
        chosen = relay_placement.choose_engine(need, found, self.data_centre, self.rng)
        if chosen is None:
            return None
        capacity = next(each for each in found if each.server_id == chosen)
        server = self.view.servers[chosen].server
        prefill = pending_prefill(routed, need, capacity.prefill_tokens)
        reservation = Reservation(self, server, need, prefill)
        reservation.reason = relay_placement.describe(capacity, need)
        return reservation

    async def reserve_move_target(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        source: discovery.DiscoveredServer,
    ) -> Reservation | None:
        """Return a place for the memory of a generation that leaves a server."""
        asked = await self.allocation_requests.request_for_move(routed, need, source)
        if isinstance(asked, result.Success):
            grant = asked.unwrap()
            return None if grant is None else self.reserve_granted(need, grant, None)
        found = self.server_capacities(routed, frozenset((source.id,)))
        chosen = relay_placement.choose_move_target(
            need, found, source.data_centre, self.rng
        )
        if chosen is None:
            return None
        return Reservation(self, self.view.servers[chosen].server, need)

    def assign_backup(
        self, routed: relay_requests.RoutedRequest, reservation: Reservation
    ) -> None:
        """Choose where the memory of a placed generation is copied to."""
        engine = routed.service.engine
        if reservation.is_granted or engine is None or not engine.backups:
            return
        found = self.server_capacities(routed, frozenset((reservation.server.id,)))
        chosen = relay_placement.choose_backup(
            reservation.need, found, reservation.server.data_centre, self.rng
        )
        if chosen is not None:
            reservation.set_backup(self.view.servers[chosen].server)

    def reserve_on(
        self,
        server: discovery.DiscoveredServer,
        need: relay_placement.GenerationNeed,
    ) -> Reservation:
        """Return a place on a server where the memory of a generation lies."""
        return Reservation(self, server, need)

    async def wait_for_engine(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
    ) -> ReservationResult:
        """Wait for a place on an engine.

        Returns
        -------
        Result
            The place, or ``QUEUE_FULL`` with the time to come back.
        """
        request = self.waiting_request(routed, need)
        asked = await self.wait_for_grant(routed, request)
        reservation = asked.value_or(None)
        if isinstance(asked, result.Failure):
            reservation = await self.wait_locally(routed, request)
        if reservation is not None:
            return result.Success(reservation)
        waited_s = asyncio.get_running_loop().time() - request.arrived_s
        return result.Failure(
            self.queue_full_failure(
                routed, f"no engine had room within {waited_s:.2f} s"
            )
        )

    async def wait_for_grant(
        self,
        routed: relay_requests.RoutedRequest,
        request: relay_waiting.WaitingRequest,
    ) -> result.Result[Reservation | None, failures.Failure]:
        """Wait until the allocating node has an engine for a request.

        The first question does not wait, so that a node which is frozen costs little.

        Returns
        -------
        Result
            The place, ``None`` if none came in time, or the failure of a question.
        """
        loop = asyncio.get_running_loop()
        need = request.need
        wait_s = 0.0
        while True:
            asked = await self.allocation_requests.request_for_start(
                routed, need, wait_s
            )
            if isinstance(asked, result.Failure):
                return asked
            grant = asked.unwrap()
            if grant is not None:
                prefill = pending_prefill(routed, need, grant.prefill_tokens)
                return result.Success(self.reserve_granted(need, grant, prefill))
            left_s = request.gives_up_at_s - loop.time()
            if left_s <= 0:
                return result.Success(None)
            wait_s = min(MAX_ALLOCATION_WAIT_S, left_s)

    def reserve_granted(
        self,
        need: relay_placement.GenerationNeed,
        grant: allocation_messages.EngineGrant,
        prefill: prefill_rates.PendingRead | None,
    ) -> Reservation:
        """Return the place that the allocating node has granted."""
        reservation = Reservation(self, grant.server, need, prefill)
        reservation.is_granted = True
        reservation.reason = grant.reason
        reservation.set_backup(grant.backup)
        return reservation

    def record_prefill(self, measurement: prefill_rates.PromptRead) -> None:
        """Learn how fast an engine reads, and keep it for the allocating node."""
        self.rates.observe(measurement)
        self.allocation_requests.record_prefill(measurement)

    async def wait_locally(
        self,
        routed: relay_requests.RoutedRequest,
        request: relay_waiting.WaitingRequest,
    ) -> Reservation | None:
        """Wait for a place that this gateway finds by itself."""
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
        """Return a request as it stands in the waiting list."""
        objective_s = routed.route.objective_ms / MS_PER_S
        arrived_s = routed.request.arrived_s
        max_wait_s = min(
            MAX_WAIT_FACTOR * objective_s, (routed.deadline_s - arrived_s) / 2
        )
        return relay_waiting.WaitingRequest(
            routed.request.request_id,
            routed.rank,
            need,
            arrived_s,
            objective_s,
            max_wait_s,
        )

    def queue_full_failure(
        self, routed: relay_requests.RoutedRequest, message: str
    ) -> failures.Failure:
        """Return the failure of a request that finds no server in time."""
        now_s = asyncio.get_running_loop().time()
        return_s = relay_waiting.return_after_s(routed.deadline_s - now_s, self.rng)
        return failures.Failure(
            codes.Code.QUEUE_FULL, message, retry_after_ms=int(return_s * MS_PER_S)
        )

    def process_queues(self) -> None:
        """Place what waits here and can be placed."""
        for queue in self.queues.values():
            queue.pump()


def pending_prefill(
    routed: relay_requests.RoutedRequest,
    need: relay_placement.GenerationNeed,
    ahead_tokens: int,
) -> prefill_rates.PendingRead | None:
    """Return the prompt of a generation that an engine is about to read."""
    engine = routed.service.engine
    if engine is None:
        return None
    return prefill_rates.PendingRead(
        need.prompt_tokens,
        ahead_tokens,
        asyncio.get_running_loop().time(),
        engine.prefill_tokens_per_s,
    )
