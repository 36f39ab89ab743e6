"""Table of the backend servers of one gateway: state, reports, own and peers' load."""

import enum
import heapq
import random

import logbook
import msgspec

from quetzalpass import ids
from quetzalpass.routing import ejection, in_flight, prefixes, reports, steps

LOG = logbook.Logger("routing")

# A peer's summary older than this is dropped; load reports are still used.
PEER_SUMMARY_EXPIRY_S = 3.0
SHARING_WEIGHT = 0.05
SHARING_MIN, SHARING_MAX = 0.5, 1.3
# Below this share of the memory a report says little about sharing.
SHARING_MIN_FILL = 0.2


class ServerState(enum.Enum):
    """Whether a server may get requests."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LOADING = "loading"


class ServerView(msgspec.Struct, frozen=True):
    """Declared properties and current state of one backend server.

    Attributes
    ----------
    server_id : ids.ServerId
        Its id.
    data_centre : ids.DataCentreId
        Its data centre.
    vm : ids.VmId
        VM that it runs on.
    model : ids.ModelName
        Model, or the name of a plain service.
    version : ids.VersionName or None
        Version that it serves now.
    memory_blocks, block_tokens : int
        Size of the key-value memory, and of a block in tokens. A plain service has 0
        blocks, which means that memory doesn't limit it.
    batch_limit : int
        Maximum number of requests that it runs at once.
    adapter_slots : int
        Adapters that can be loaded at the same time.
    state : ServerState
        Whether it may get requests.
    """

    server_id: ids.ServerId
    data_centre: ids.DataCentreId
    vm: ids.VmId
    model: ids.ModelName
    version: ids.VersionName | None = None
    memory_blocks: int = 750
    block_tokens: int = 32
    batch_limit: int = 64
    adapter_slots: int = 4
    state: ServerState = ServerState.ACTIVE

    @property
    def memory_tokens(self) -> int:
        """Size of the key-value memory in tokens."""
        return self.memory_blocks * self.block_tokens


class ServerLoad(msgspec.Struct, frozen=True):
    """Load of one gateway's requests in flight on one server."""

    server_id: ids.ServerId
    demand: in_flight.Demand


class PeerDispatches(msgspec.Struct, frozen=True):
    """Summary of its requests in flight that a gateway sends to its peers.

    It contains the full state, not changes, so that the next message makes up for a
    lost one.

    Attributes
    ----------
    vm : ids.VmId
        The gateway.
    sequence : int
        Incremented with each message; older ones that arrive late are ignored.
    loads : tuple of ServerLoad
        One entry for each server on which it has requests in flight.
    """

    vm: ids.VmId
    sequence: int
    loads: tuple[ServerLoad, ...]


class PeerSummary(msgspec.Struct):
    """The latest summary of a peer, as stored by the receiver."""

    sequence: int
    received_s: float
    loads: dict[ids.ServerId, in_flight.Demand]


class ServerRecord:
    """One server, its last report, and its load as known by this gateway."""

    def __init__(self, view: ServerView) -> None:
        self.view = view
        self.report: reports.LoadReport | None = None
        self.in_flight: dict[ids.RequestId, in_flight.InFlightRequest] = {}
        self.own = in_flight.empty_demand()
        self.peers = in_flight.empty_demand()
        self.cached_total: in_flight.Demand | None = None
        self.health = ejection.Health()
        self.suspects = 0
        # Share of the predicted tokens that the engine actually holds; below 1 if
        # requests share cached prefixes.
        self.sharing = 1.0
        self.slowness = steps.Slowness()
        self.last_dispatch_s = float("-inf")
        # Most recently used adapters, latest at the end.
        self.adapters: dict[ids.AdapterName, None] = {}

    @property
    def server_id(self) -> ids.ServerId:
        """Id of the server."""
        return self.view.server_id

    @property
    def sequences(self) -> int:
        """Number of requests in flight from this gateway and its peers."""
        return self.own.sequences + self.peers.sequences

    def total(self) -> in_flight.Demand:
        """Return the demand of this gateway and its peers combined."""
        if self.cached_total is None:
            total = self.own.copy()
            total.add(self.peers)
            # Rounding errors of earlier sums may leave values just below zero.
            total.variance = [max(0.0, part) for part in total.variance]
            self.cached_total = total
        return self.cached_total

    def add_own(self, demand: in_flight.Demand) -> None:
        """Add the demand of a request of this gateway."""
        self.own.add(demand)
        self.cached_total = None

    def subtract_own(self, demand: in_flight.Demand) -> None:
        """Subtract the demand of a request of this gateway."""
        self.own.subtract(demand)
        self.cached_total = None

    def add_peer(self, demand: in_flight.Demand) -> None:
        """Add the demand of a peer's requests in flight."""
        self.peers.add(demand)
        self.cached_total = None

    def subtract_peer(self, demand: in_flight.Demand) -> None:
        """Subtract the demand of a peer's requests in flight."""
        self.peers.subtract(demand)
        self.cached_total = None

    def report_age_s(self, now_s: float) -> float | None:
        """Return the age of the last report in seconds."""
        if self.report is None:
            return None
        return now_s - self.report.taken_at_s

    def observe_sharing(self, report: reports.LoadReport) -> None:
        """Update how much of the predicted memory the engine actually holds."""
        predicted = self.own.mean[0] + self.peers.mean[0]
        if predicted < SHARING_MIN_FILL * self.view.memory_tokens:
            return
        held = report.held_blocks * report.block_tokens
        ratio = max(SHARING_MIN, min(SHARING_MAX, held / predicted))
        self.sharing += SHARING_WEIGHT * (ratio - self.sharing)

    def has_adapter(self, adapter: ids.AdapterName) -> bool:
        """Return whether an adapter is loaded, as reported or after a dispatch."""
        if adapter in self.adapters:
            return True
        return self.report is not None and adapter in self.report.adapters

    def record_adapter_use(self, adapter: ids.AdapterName | None) -> None:
        """Record the use of an adapter; drop the least recently used beyond the limit.

        The engine unloads adapters in the same order.
        """
        if adapter is None:
            return
        self.adapters.pop(adapter, None)
        self.adapters[adapter] = None
        if len(self.adapters) > self.view.adapter_slots:
            del self.adapters[next(iter(self.adapters))]


class PoolKey(msgspec.Struct, frozen=True):
    """Model and version that a pool serves; any version if ``None``."""

    model: ids.ModelName
    version: ids.VersionName | None


class Pool:
    """Servers that may get requests for one model and version."""

    def __init__(self) -> None:
        self.usable: list[ServerRecord] = []
        self.by_data_centre: dict[ids.DataCentreId, list[ServerRecord]] = {}
        self.declared = 0


class ServerTable:
    """All backend servers that one gateway knows.

    Parameters
    ----------
    data_centre : ids.DataCentreId
        Data centre of the gateway.
    rng : random.Random
        Source of random choices.
    """

    def __init__(self, data_centre: ids.DataCentreId, rng: random.Random) -> None:
        self.data_centre = data_centre
        self.rng = rng
        self.records: dict[ids.ServerId, ServerRecord] = {}
        self.pools: dict[PoolKey, Pool] = {}
        self.prefixes = prefixes.PrefixIndex()
        self.steps: dict[ids.ModelName, steps.StepModel] = {}
        self.peers: dict[ids.VmId, PeerSummary] = {}
        self.ejection_ends: list[tuple[float, ids.ServerId]] = []

    def update(self, views: tuple[ServerView, ...], now_s: float) -> None:
        """Replace the declared servers; keep the records of those that remain."""
        wanted = {view.server_id: view for view in views}
        for server_id in set(self.records) - set(wanted):
            self.prefixes.forget(server_id)
            del self.records[server_id]
            for summary in self.peers.values():
                summary.loads.pop(server_id, None)
        for server_id, view in wanted.items():
            record = self.records.get(server_id)
            if record is None:
                self.records[server_id] = ServerRecord(view)
            else:
                record.view = view
        self.rebuild_pools(now_s)

    def rebuild_pools(self, now_s: float) -> None:
        """Sort the usable servers into pools.

        It takes linear time, so it is called only when the state of a server changes.
        """
        self.pools = {}
        for record in self.records.values():
            view = record.view
            for version in {view.version, None}:
                key = PoolKey(view.model, version)
                pool = self.pools.setdefault(key, Pool())
                if view.state != ServerState.ACTIVE:
                    continue
                pool.declared += 1
                if record.health.capacity_share(now_s) == 0.0:
                    continue
                pool.usable.append(record)
                local = pool.by_data_centre.setdefault(view.data_centre, [])
                local.append(record)

    def pool(
        self, model: ids.ModelName, version: ids.VersionName | None
    ) -> Pool | None:
        """Return the pool of a model and version, if a server is declared for it."""
        return self.pools.get(PoolKey(model, version))

    def end_ejections(self, now_s: float) -> None:
        """Readmit the servers whose ejection is over."""
        changed = False
        while self.ejection_ends and self.ejection_ends[0][0] <= now_s:
            _, server_id = heapq.heappop(self.ejection_ends)
            record = self.records.get(server_id)
            if record is None or record.health.ejected_until_s is None:
                continue
            if record.health.ejected_until_s <= now_s:
                record.health.readmit(now_s)
                LOG.info("routing: Server {} is readmitted gradually.", server_id)
                changed = True
        if changed:
            self.rebuild_pools(now_s)

    def eject(self, server_id: ids.ServerId, reason: str, now_s: float) -> None:
        """Stop using a server for some time; no effect if it is already ejected."""
        record = self.records.get(server_id)
        if record is None or record.health.ejected_until_s is not None:
            return
        until_s = record.health.eject(reason, now_s)
        LOG.warning("routing: Server {} is ejected: {}.", server_id, reason)
        self.prefixes.forget(server_id)
        self.rebuild_pools(now_s)
        pool = self.pool(record.view.model, record.view.version)
        if pool is not None and not pool.usable:
            # If no server is left, a long ejection only prolongs the outage: requests
            # would be refused while a server that has recovered is idle.
            until_s = record.health.shorten_ejection(now_s)
        heapq.heappush(self.ejection_ends, (until_s, server_id))

    def observe_report(
        self, server_id: ids.ServerId, report: reports.LoadReport
    ) -> None:
        """Store a load report unless a newer one is known."""
        record = self.records.get(server_id)
        if record is None:
            return
        if record.report and record.report.taken_at_s > report.taken_at_s:
            return
        if record.report is None or record.report.taken_at_s < report.taken_at_s:
            record.observe_sharing(report)
            if report.running:
                model = self.step_model(record.view.model)
                record.slowness.observe(model, report.running, report.step_s)
        record.report = report

    def step_model(self, model: ids.ModelName) -> steps.StepModel:
        """Return the step model of a model; create it if missing."""
        found = self.steps.get(model)
        if found is None:
            found = self.steps[model] = steps.StepModel()
        return found

    def observe_cache_event(
        self, server_id: ids.ServerId, event: reports.CacheEvent
    ) -> None:
        """Apply a cache event if the server is declared."""
        if server_id in self.records:
            self.prefixes.observe(server_id, event)

    def observe_peer(self, message: PeerDispatches, now_s: float) -> None:
        """Replace a peer's summary unless a newer one is known."""
        known = self.peers.get(message.vm)
        if known is not None:
            if known.sequence >= message.sequence:
                return
            self.forget_peer(message.vm)
        loads = {
            load.server_id: load.demand
            for load in message.loads
            if load.server_id in self.records
        }
        self.peers[message.vm] = PeerSummary(message.sequence, now_s, loads)
        for server_id, demand in loads.items():
            self.records[server_id].add_peer(demand)

    def forget_peer(self, vm: ids.VmId) -> None:
        """Remove a peer's summary and its demand."""
        summary = self.peers.pop(vm)
        for server_id, demand in summary.loads.items():
            self.records[server_id].subtract_peer(demand)

    def expire_peers(self, now_s: float) -> None:
        """Remove summaries that have expired."""
        oldest_s = now_s - PEER_SUMMARY_EXPIRY_S
        for vm, summary in list(self.peers.items()):
            if summary.received_s < oldest_s:
                self.forget_peer(vm)

    def own_loads(self) -> tuple[ServerLoad, ...]:
        """Return the load of this gateway's requests in flight, for its peers."""
        return tuple(
            ServerLoad(record.server_id, record.own.copy())
            for record in self.records.values()
            if record.own.sequences
        )
