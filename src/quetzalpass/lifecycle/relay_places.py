"""Places on discovered servers for relayed requests of one gateway."""

import asyncio
import random

import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.lifecycle import relay_requests
from quetzalpass.membership import discovery, fleet_messages, fleet_view
from quetzalpass.results import codes, failures
from quetzalpass.routing import (
    ejection,
    prefill_rates,
    relay_placement,
    relay_waiting,
)

LOG = logbook.Logger("routing")

PUMP_INTERVAL_S = 0.05
MS_PER_S = 1000
# Longest wait for room as a multiple of the objective; callers of streams leave after
# four times that objective.
PATIENCE_FACTOR = 3.0
# A failure of a server whose other requests succeed counts for a short time only.
EJECTION_S = 3.0
# How long the servers of a data centre come last after one could not be reached.
CUT_OFF_S = 1.5


class Place:
    """A place on a server, and possibly a backup on another one.

    Attributes
    ----------
    server : discovery.DiscoveredServer
        Server that runs the request.
    need : relay_placement.GenerationNeed
        Memory that it is expected to need; nothing for a plain service.
    backup : discovery.DiscoveredServer or None
        Server that holds a growing copy.
    """

    def __init__(
        self,
        places: "Places",
        server: discovery.DiscoveredServer,
        need: relay_placement.GenerationNeed,
        prefill_tokens: int = 0,
    ) -> None:
        self.places = places
        self.server = server
        self.need = need
        self.backup: discovery.DiscoveredServer | None = None
        self.is_held = True
        self.read: prefill_rates.PendingRead | None = None
        if prefill_tokens:
            self.read = prefill_rates.PendingRead(
                prefill_tokens,
                places.use_of(server.id).prefill_tokens,
                asyncio.get_running_loop().time(),
            )
        places.add_use(server.id, 1, need.tokens, 0, prefill_tokens)

    def set_backup(self, backup: discovery.DiscoveredServer | None) -> None:
        """Note on which server the growing copy lies from now on."""
        if self.backup is not None:
            self.places.add_use(self.backup.id, copy_tokens=-self.need.tokens)
        self.backup = backup
        if backup is not None:
            self.places.add_use(backup.id, copy_tokens=self.need.tokens)

    def note_first_event(self) -> None:
        """Note that the server has read the prompt, and learn how fast it was."""
        read = self.read
        if read is None:
            return
        self.forget_read()
        elapsed_s = asyncio.get_running_loop().time() - read.sent_s
        self.places.rates.observe(
            self.server.id,
            read.tokens + read.tokens_ahead,
            elapsed_s,
            DEFAULT_RATE_TOKENS_PER_S,
        )

    def forget_read(self) -> None:
        """Count the prompt no longer among those to be read."""
        if self.read is not None:
            self.places.add_use(self.server.id, prefill_tokens=-self.read.tokens)
            self.read = None

    def grow(self, need: relay_placement.GenerationNeed) -> None:
        """Note that the generation has got further."""
        more = need.tokens - self.need.tokens
        self.need = need
        self.places.add_use(self.server.id, tokens=more)
        if self.backup is not None:
            self.places.add_use(self.backup.id, copy_tokens=more)

    def release(self) -> None:
        """Give the place back; a second call has no effect."""
        if not self.is_held:
            return
        self.is_held = False
        self.set_backup(None)
        self.forget_read()
        self.places.add_use(self.server.id, requests=-1, tokens=-self.need.tokens)
        self.places.pump()


class Waiter(msgspec.Struct, frozen=True):
    """A request that waits, and the future that gets its place."""

    request: relay_waiting.WaitingRequest
    service: ids.ServiceName
    future: asyncio.Future


# Stands in for the declared rate where no request has named it yet.
DEFAULT_RATE_TOKENS_PER_S = 7_000.0
NO_NEED = relay_placement.GenerationNeed(0, 0)

PlaceResult = result.Result[Place, failures.Failure]


class Places:
    """Chooses servers and keeps count of what this gateway has on each.

    Parameters
    ----------
    view : fleet_view.FleetView
        The servers.
    data_centre : DataCentreId
        Where this gateway runs.
    rng : random.Random
        Draws among servers that are about as good.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        data_centre: ids.DataCentreId,
        rng: random.Random,
    ) -> None:
        self.view = view
        self.data_centre = data_centre
        self.rng = rng
        self.uses: dict[ids.ServerId, fleet_messages.ServerUse] = {}
        self.rates = prefill_rates.PrefillRates()
        self.health: dict[ids.ServerId, ejection.Health] = {}
        self.ejected_until_s: dict[ids.ServerId, float] = {}
        self.cut_off_until_s: dict[ids.DataCentreId, float] = {}
        self.lists: dict[ids.ServiceName, relay_waiting.WaitingList] = {}
        self.waiters: dict[ids.RequestId, Waiter] = {}
        self.routed: dict[ids.RequestId, relay_requests.RoutedRequest] = {}
        self.timer: asyncio.TimerHandle | None = None
        view.change_observers.append(self.pump)

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

    def rooms(
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
            if self.ejected_until_s.get(known.server.id, 0.0) <= now_s
        ]
        return [self.room_of(known, routed, now_s) for known in healthy or usable]

    def room_of(
        self,
        known: fleet_view.KnownServer,
        routed: relay_requests.RoutedRequest,
        now_s: float,
    ) -> relay_placement.ServerRoom:
        """Return what is on one server now."""
        server = known.server
        use = self.use_of(server.id)
        engine = routed.service.engine
        return relay_placement.ServerRoom(
            server.id,
            server.data_centre,
            use.requests,
            use.tokens,
            use.copy_tokens,
            max(1, engine.max_batch if engine else server.slots),
            use.prefill_tokens,
            engine.memory_tokens if engine else 0,
            self.rates.rate(server.id, engine.prefill_tokens_per_s) if engine else 1.0,
            now_s < known.warm_at_s,
            now_s < self.cut_off_until_s.get(server.data_centre, 0.0),
        )

    def service_place(
        self,
        routed: relay_requests.RoutedRequest,
        excluded: frozenset[ids.ServerId] = frozenset(),
    ) -> Place | None:
        """Return a place on a server of a plain service, if any server is there."""
        rooms = self.rooms(routed, excluded)
        chosen = relay_placement.choose_service_server(
            rooms, self.data_centre, self.rng
        )
        if chosen is None:
            return None
        return Place(self, self.view.servers[chosen].server, NO_NEED)

    def engine_place(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        excluded: frozenset[ids.ServerId] = frozenset(),
    ) -> Place | None:
        """Return a place on an engine with room, if there is one."""
        rooms = self.rooms(routed, excluded)
        chosen = relay_placement.choose_engine(need, rooms, self.data_centre, self.rng)
        if chosen is None:
            return None
        server = self.view.servers[chosen].server
        return Place(self, server, need, need.prompt_tokens)

    def move_target(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
        source: discovery.DiscoveredServer,
    ) -> Place | None:
        """Return a place for the memory of a generation that leaves a server."""
        rooms = self.rooms(routed, frozenset((source.id,)))
        chosen = relay_placement.choose_move_target(
            need, rooms, source.data_centre, self.rng
        )
        if chosen is None:
            return None
        return Place(self, self.view.servers[chosen].server, need)

    def give_backup(self, routed: relay_requests.RoutedRequest, place: Place) -> None:
        """Choose where the memory of a placed generation is copied to."""
        engine = routed.service.engine
        if engine is None or not engine.backups:
            return
        rooms = self.rooms(routed, frozenset((place.server.id,)))
        chosen = relay_placement.choose_backup(
            place.need, rooms, place.server.data_centre, self.rng
        )
        if chosen is not None:
            place.set_backup(self.view.servers[chosen].server)

    def place_on(
        self,
        server: discovery.DiscoveredServer,
        need: relay_placement.GenerationNeed,
    ) -> Place:
        """Return a place on a server where the memory of a generation lies."""
        return Place(self, server, need)

    async def wait_for_engine(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
    ) -> PlaceResult:
        """Wait for a place on an engine.

        Returns
        -------
        Result
            The place, or ``QUEUE_FULL`` with the time to come back.
        """
        service = routed.service.name
        found = self.lists.setdefault(service, relay_waiting.WaitingList())
        if not found.waiting:
            place = self.engine_place(routed, need)
            if place is not None:
                return result.Success(place)
        request = self.waiting_request(routed, need)
        future: asyncio.Future[Place | None]
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(request, service, future)
        found.add(request)
        self.waiters[request.request_id] = waiter
        self.routed[request.request_id] = routed
        self.pump()
        return await self.result_of(waiter, routed)

    def waiting_request(
        self,
        routed: relay_requests.RoutedRequest,
        need: relay_placement.GenerationNeed,
    ) -> relay_waiting.WaitingRequest:
        """Return a request as it stands in the waiting list."""
        objective_s = routed.route.objective_ms / MS_PER_S
        arrived_s = routed.request.arrived_s
        patience_s = min(
            PATIENCE_FACTOR * objective_s, (routed.deadline_s - arrived_s) / 2
        )
        return relay_waiting.WaitingRequest(
            routed.request.request_id,
            routed.rank,
            need,
            arrived_s,
            objective_s,
            patience_s,
        )

    async def result_of(
        self, waiter: Waiter, routed: relay_requests.RoutedRequest
    ) -> PlaceResult:
        """Wait until a waiting request has its place or is refused."""
        request = waiter.request
        try:
            place = await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                granted = waiter.future.result()
                if granted is not None:
                    granted.release()
            raise
        finally:
            self.forget(waiter)
        if place is not None:
            return result.Success(place)
        now_s = asyncio.get_running_loop().time()
        waited_s = now_s - request.arrived_s
        return result.Failure(
            self.refusal(routed, f"no engine had room within {waited_s:.2f} s")
        )

    def refusal(
        self, routed: relay_requests.RoutedRequest, message: str
    ) -> failures.Failure:
        """Return the failure of a request that finds no server in time."""
        now_s = asyncio.get_running_loop().time()
        return_s = relay_waiting.return_after_s(routed.deadline_s - now_s, self.rng)
        return failures.Failure(
            codes.Code.QUEUE_FULL, message, retry_after_ms=int(return_s * MS_PER_S)
        )

    def forget(self, waiter: Waiter) -> None:
        """Take a request out of the waiting list."""
        request_id = waiter.request.request_id
        self.lists[waiter.service].remove(request_id)
        self.waiters.pop(request_id, None)
        self.routed.pop(request_id, None)

    def pump(self) -> None:
        """Place what can be placed, and refuse what has waited for too long."""
        if not self.waiters:
            return
        now_s = asyncio.get_running_loop().time()
        for found in self.lists.values():
            for request in found.expired(now_s):
                self.settle(request, None)
            self.place_in_order(found, now_s)
        if self.waiters and self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(PUMP_INTERVAL_S, self.on_timer)

    def on_timer(self) -> None:
        """Look at the waiting lists again."""
        self.timer = None
        self.pump()

    def place_in_order(self, found: relay_waiting.WaitingList, now_s: float) -> None:
        """Place the requests of one list until one must not be passed."""
        for request in found.in_order(now_s):
            routed = self.routed[request.request_id]
            place = self.engine_place(routed, request.need)
            if place is not None:
                self.settle(request, place)
            elif found.blocks_others(request, now_s):
                return

    def settle(
        self, request: relay_waiting.WaitingRequest, place: Place | None
    ) -> None:
        """Hand a place, or the refusal, to the task that waits for it."""
        waiter = self.waiters.pop(request.request_id)
        self.lists[waiter.service].remove(request.request_id)
        if waiter.future.done():
            if place is not None:
                place.release()
            return
        waiter.future.set_result(place)

    def note_success(self, server_id: ids.ServerId) -> None:
        """Note that a server has answered well."""
        if server_id in self.view.servers:
            data_centre = self.view.servers[server_id].server.data_centre
            self.cut_off_until_s.pop(data_centre, None)
        if server_id in self.health:
            self.health[server_id].succeed()

    def note_unreachable(self, server: discovery.DiscoveredServer, reason: str) -> None:
        """Note that no connection to a server could be opened.

        Its whole data centre may be cut off, so that the others there come last.
        """
        self.eject(server.id, reason)
        if server.data_centre != self.data_centre:
            now_s = asyncio.get_running_loop().time()
            self.cut_off_until_s[server.data_centre] = now_s + CUT_OFF_S

    def note_failure(self, server_id: ids.ServerId, reason: str) -> None:
        """Note that a server has failed a request; eject it after a few."""
        health = self.health.setdefault(server_id, ejection.Health())
        if health.fail():
            self.eject(server_id, reason)

    def eject(self, server_id: ids.ServerId, reason: str) -> None:
        """Give a server no new work for a short time."""
        now_s = asyncio.get_running_loop().time()
        self.ejected_until_s[server_id] = now_s + EJECTION_S
        self.health.pop(server_id, None)
        LOG.warning("routing: No new work for {}: {}.", server_id, reason)
