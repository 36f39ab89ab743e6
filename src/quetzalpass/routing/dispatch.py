"""The gateway's queues, the policy and the table, tied together without a clock.

Every method takes the time, so that the benchmark and the gateway run the same code.
"""

import collections
import heapq

import logbook
import msgspec

from quetzalpass import ids
from quetzalpass.results import codes, failures
from quetzalpass.routing import (
    flights,
    lanes,
    lengths,
    policies,
    queues,
    servers,
    settings,
    work,
)

log = logbook.Logger("routing")

# Requests of different organisations that are tried when the first can't be placed.
HEADS_TRIED = 6
REGRET_ALLOWED_S = 0.1
OVERTAKING_S = 2.0
REFRESH_TOKENS = 32
# What computing a prompt token costs, in generated tokens.
PREFILL_COST = 0.1
EXPLANATIONS_KEPT = 1024


class Placement(msgspec.Struct, frozen=True):
    """A request that is to be sent to a server now."""

    item: work.WorkItem
    choice: work.Choice


class Refusal(msgspec.Struct, frozen=True):
    """A request that is given up on; it was not sent to any server."""

    item: work.WorkItem
    failure: failures.Failure


Decision = Placement | Refusal


class Explanation(msgspec.Struct, frozen=True):
    """Why a request was placed where it is.

    Attributes
    ----------
    request_id : ids.RequestId
        The request.
    choice : work.Choice
        Server, reason and figures.
    waited_s : float
        Time in the gateway's queue, in seconds.
    decided_at_s : float
        Time of the decision on the loop's clock.
    """

    request_id: ids.RequestId
    choice: work.Choice
    waited_s: float
    decided_at_s: float


def accepts(queued: queues.QueuedWork, choice: work.Choice, now_s: float) -> bool:
    """Return whether a request takes a place, or waits for a better one."""
    if queued.offered_s is None:
        queued.offered_s = now_s
    return choice.regret_s <= now_s - queued.offered_s + REGRET_ALLOWED_S


def blocks_others(queued: queues.QueuedWork, now_s: float) -> bool:
    """Return whether a request without room has been overtaken long enough.

    Smaller requests behind it would otherwise take each place that becomes free. One
    that may not run everywhere doesn't block those that may.
    """
    if queued.item.excluded or queued.item.suspect:
        return False
    if queued.no_room_s is None:
        queued.no_room_s = now_s
    return now_s - queued.no_room_s > OVERTAKING_S


class Dispatcher:
    """Queues requests and places them on servers.

    Parameters
    ----------
    policy : policies.Policy
        Chooses servers.
    table : servers.ServerTable
        Servers and their load.
    rules : settings.RoutingSettings
        Weights and limits.
    estimator : lengths.LengthEstimator
        Learns the output lengths; the policy reads it.
    """

    def __init__(
        self,
        policy: policies.Policy,
        table: servers.ServerTable,
        rules: settings.RoutingSettings,
        estimator: lengths.LengthEstimator,
    ) -> None:
        self.policy = policy
        self.table = table
        self.rules = rules
        self.estimator = estimator
        self.lanes: dict[servers.PoolKey, lanes.Lane] = {}
        self.queued: dict[ids.RequestId, queues.QueuedWork] = {}
        self.flights: dict[ids.RequestId, flights.Flight] = {}
        self.deadlines: list[tuple[float, ids.RequestId]] = []
        self.explanations: collections.OrderedDict[ids.RequestId, Explanation]
        self.explanations = collections.OrderedDict()

    def adopt(self, rules: settings.RoutingSettings, policy: policies.Policy) -> None:
        """Use other weights and another policy from now on.

        What waits stays in its queue, and what was learned of lengths stays.
        """
        # The queues hold the mapping itself.
        weights = self.rules.organisation_weights
        weights.clear()
        weights.update(rules.organisation_weights)
        self.rules = msgspec.structs.replace(rules, organisation_weights=weights)
        self.policy = policy

    def submit(self, item: work.WorkItem, now_s: float) -> list[Decision]:
        """Queue a request and place what can be placed.

        Returns
        -------
        list of Placement or Refusal
            Decisions on this and on other requests, each final.
        """
        assert item.request_id not in self.queued
        assert item.request_id not in self.flights
        failure = self.reject(item, now_s)
        if failure is not None:
            return [Refusal(item, failure)]
        lane = self.lane(item)
        estimate = lengths.expected_more(
            self.table_of(item), item.generated_tokens, item.max_tokens
        )
        cost = estimate + PREFILL_COST * item.prompt_tokens
        queued = queues.QueuedWork(item, cost, now_s)
        self.queued[item.request_id] = queued
        lane.queue(lanes.queue_priority(item)).push(queued)
        deadline_s = item.deadline_s
        if deadline_s is None:
            deadline_s = now_s + self.rules.longest_wait_s
        heapq.heappush(self.deadlines, (deadline_s, item.request_id))
        decisions: list[Decision] = []
        stuck = lane.stuck_place
        # While more urgent requests find no room this one needn't look for any.
        alone = lane.size == 1
        if stuck is None or alone or lanes.queue_priority(item) < stuck:
            decisions = self.pump_lane(lane, now_s)
        if lane.size > self.rules.queue_limit:
            decisions += self.shed(lane)
        return decisions

    def reject(self, item: work.WorkItem, now_s: float) -> failures.Failure | None:
        """Return why a request can't even be queued, if so."""
        if item.deadline_s is not None and item.deadline_s <= now_s:
            return self.deadline_failure(item)
        pool = self.table.pool(item.model, item.version)
        if pool is not None and self.declared_for(item, pool):
            return None
        return failures.Failure(
            codes.Code.NO_SERVER,
            f"No backend server may run this request for model {item.model}.",
            retry_after_ms=lanes.LONGEST_RETRY_MS,
        )

    def declared_for(self, item: work.WorkItem, pool: servers.Pool) -> bool:
        """Return whether a server that is not excluded takes work or will again."""
        excluded = sum(
            1
            for server_id in item.excluded
            if server_id in self.table.records
            and self.table.records[server_id].view.model == item.model
            and self.table.records[server_id].view.state == servers.ServerState.ACTIVE
        )
        return pool.declared > excluded

    def deadline_failure(self, item: work.WorkItem) -> failures.Failure:
        """Return the failure of a request whose deadline passed in the queue."""
        lane = self.lane(item)
        return failures.Failure(
            codes.Code.DEADLINE_BEFORE_START,
            f"No place on model {item.model} before the deadline; {lane.size} wait.",
            retry_after_ms=lane.retry_after_ms(),
        )

    def lane(self, item: work.WorkItem) -> lanes.Lane:
        """Return the queue of a request's model and version, made on first use."""
        key = servers.PoolKey(item.model, item.version)
        found = self.lanes.get(key)
        if found is None:
            found = self.lanes[key] = lanes.Lane(self.rules.organisation_weights)
        return found

    def table_of(self, item: work.WorkItem) -> lengths.LifeTable:
        """Return the life table of a request's class."""
        return self.estimator.table(item.model, item.class_name)

    def shed(self, lane: lanes.Lane) -> list[Decision]:
        """Give up on the newest request of the least urgent priority, at once."""
        for queue in reversed(lane.priorities.values()):
            victim = queue.newest_of_longest()
            if victim is None:
                continue
            self.unqueue(victim)
            failure = failures.Failure(
                codes.Code.QUEUE_FULL,
                f"{lane.size} requests wait for model {victim.item.model}.",
                retry_after_ms=lane.retry_after_ms(),
            )
            return [Refusal(victim.item, failure)]
        return []

    def unqueue(self, queued: queues.QueuedWork) -> None:
        """Take a request out of its queue."""
        del self.queued[queued.item.request_id]
        self.lane(queued.item).queue(lanes.queue_priority(queued.item)).remove(queued)

    def cancel(self, request_id: ids.RequestId) -> bool:
        """Drop a request that waits; return False if it doesn't wait."""
        queued = self.queued.get(request_id)
        if queued is None:
            return False
        self.unqueue(queued)
        return True

    def pump(self, now_s: float) -> list[Decision]:
        """Place what can be placed, refuse what is past its deadline."""
        self.table.advance(now_s)
        self.table.expire_peers(now_s)
        decisions = self.expire(now_s)
        for lane in self.lanes.values():
            decisions += self.pump_lane(lane, now_s)
        return decisions

    def expire(self, now_s: float) -> list[Decision]:
        """Refuse the requests whose deadline has passed in the queue."""
        decisions: list[Decision] = []
        while self.deadlines and self.deadlines[0][0] <= now_s:
            _, request_id = heapq.heappop(self.deadlines)
            queued = self.queued.get(request_id)
            if queued is None:
                continue
            deadline_s = queued.item.deadline_s
            if deadline_s is not None and deadline_s > now_s:
                # This deadline is of an earlier attempt of the same request.
                continue
            self.unqueue(queued)
            failure = self.deadline_failure(queued.item)
            decisions.append(Refusal(queued.item, failure))
        return decisions

    def pump_lane(self, lane: lanes.Lane, now_s: float) -> list[Decision]:
        """Place requests of one lane until the next has to wait."""
        decisions: list[Decision] = []
        lane.stuck_place = None
        while lane.size:
            placement = self.place_next(lane, now_s)
            if placement is None:
                lane.stuck_place = lane.first_place()
                break
            lane.count_dispatch(now_s)
            decisions.append(placement)
        return decisions

    def place_next(self, lane: lanes.Lane, now_s: float) -> Placement | None:
        """Place the next request of a lane, if there's room for it."""
        queue = lane.priorities[lane.first_place()]
        for queued in queue.heads(HEADS_TRIED):
            choice = self.policy.choose(queued.item, self.table, now_s)
            if choice is None and blocks_others(queued, now_s):
                break
            if choice is None or not accepts(queued, choice, now_s):
                continue
            queue.take(queued)
            del self.queued[queued.item.request_id]
            self.launch(queued, choice, now_s)
            return Placement(queued.item, choice)
        return None

    def launch(
        self, queued: queues.QueuedWork, choice: work.Choice, now_s: float
    ) -> None:
        """Record a request as in flight on a server."""
        item = queued.item
        record = self.table.records[choice.server_id]
        prefill = item.prompt_tokens + item.generated_tokens - choice.matched_tokens
        table = self.table_of(item)
        demand = flights.predict(
            item, item.generated_tokens, prefill, table, choice.matched_tokens
        )
        flight = flights.Flight(item, choice, now_s, demand)
        table.enter(flight.bucket, flight.bucket)
        self.flights[item.request_id] = flight
        record.flights[item.request_id] = flight
        record.add_own(demand)
        record.suspects += item.suspect
        record.last_dispatch_s = now_s
        record.note_adapter(item.adapter)
        cached = self.table.prefixes.matched_blocks(
            choice.server_id, item.prefix_hashes
        )
        self.table.prefixes.add(choice.server_id, item.prefix_hashes[cached:])
        self.explanations[item.request_id] = Explanation(
            item.request_id, choice, now_s - queued.queued_s, now_s
        )
        if len(self.explanations) > EXPLANATIONS_KEPT:
            self.explanations.popitem(last=False)

    def on_tokens(self, request_id: ids.RequestId, count: int) -> None:
        """Note tokens that a request has got; the prediction follows in steps."""
        flight = self.flights[request_id]
        flight.generated += count
        if flight.generated < flight.next_refresh:
            return
        table = self.table_of(flight.item)
        bucket = lengths.bucket_of(flight.generated)
        if bucket > flight.bucket:
            table.enter(flight.bucket + 1, bucket)
            flight.bucket = bucket
        shared = flight.choice.matched_tokens
        demand = flights.predict(flight.item, flight.generated, 0.0, table, shared)
        self.replace_demand(flight, demand)
        flight.next_refresh = flight.generated + REFRESH_TOKENS

    def replace_demand(self, flight: flights.Flight, demand: flights.Demand) -> None:
        """Replace the prediction for a request in its server's sum."""
        record = self.table.records.get(flight.server_id)
        if record is not None and flight.item.request_id in record.flights:
            record.subtract_own(flight.demand)
            record.add_own(demand)
        flight.demand = demand

    def release(
        self, request_id: ids.RequestId, outcome: work.SlotOutcome, now_s: float
    ) -> list[Decision]:
        """Note that a request has left its server, and place what can be placed."""
        flight = self.flights.pop(request_id)
        item = flight.item
        record = self.table.records.get(flight.server_id)
        # The server may have been removed, and declared anew, in the meantime.
        if record is not None and record.flights.pop(request_id, None) is not None:
            record.subtract_own(flight.demand)
            record.suspects -= item.suspect
            self.judge(record, outcome, now_s)
        if outcome is work.SlotOutcome.COMPLETED and flight.generated > 0:
            self.table_of(item).end(flight.generated)
        return self.pump_lane(self.lane(item), now_s)

    def judge(
        self, record: servers.ServerRecord, outcome: work.SlotOutcome, now_s: float
    ) -> None:
        """Count success or failure for a server's health."""
        if outcome is work.SlotOutcome.COMPLETED:
            record.health.succeed()
        elif outcome is work.SlotOutcome.SERVER_LOST:
            self.table.eject(record.server_id, "a request found it dead", now_s)
        elif outcome is work.SlotOutcome.FAILED and record.health.fail():
            self.table.eject(record.server_id, "it failed repeatedly", now_s)

    def explain(self, request_id: ids.RequestId) -> Explanation | None:
        """Return why a recent request was placed where it is."""
        return self.explanations.get(request_id)
