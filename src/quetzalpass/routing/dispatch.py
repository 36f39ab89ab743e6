"""Dispatcher: combines the queues, the routing policy and the table of servers.

It reads no clock: every method gets the time as an argument, so that the benchmark and
the gateway run the same code.
"""

import collections
import heapq

import logbook
import msgspec

from quetzalpass import ids
from quetzalpass.results import codes, failures
from quetzalpass.routing import (
    in_flight,
    lengths,
    model_queues,
    policies,
    queues,
    servers,
    settings,
    work,
)

LOG = logbook.Logger("routing")

# Requests of different organisations to try when the first can't be placed.
MAX_HEADS_TRIED = 6
# A request accepts a server at once if a better one would save no more than this.
ALLOWED_EXCESS_COST_S = 0.1
MAX_OVERTAKING_S = 2.0
DEMAND_REFRESH_TOKENS = 32
# Cost of computing one prompt token, in generated tokens.
PREFILL_TOKEN_COST = 0.1
MAX_EXPLANATIONS = 1024


class Placement(msgspec.Struct, frozen=True):
    """A request to send to a server now."""

    item: work.WorkItem
    choice: work.Choice


class Refusal(msgspec.Struct, frozen=True):
    """A request that is refused; it was not sent to any server."""

    item: work.WorkItem
    failure: failures.Failure


Decision = Placement | Refusal


class Explanation(msgspec.Struct, frozen=True):
    """Why a request was placed on its server.

    Attributes
    ----------
    request_id : ids.RequestId
        The request.
    choice : work.Choice
        Server, reason and the figures behind it.
    waited_s : float
        Time in the gateway's queue, in seconds.
    decided_at_s : float
        Time of the decision on the event loop's clock.
    """

    request_id: ids.RequestId
    choice: work.Choice
    waited_s: float
    decided_at_s: float


def accepts_choice(
    queued: queues.QueuedWork, choice: work.Choice, now_s: float
) -> bool:
    """Return whether a request accepts a server, or waits for a better one.

    The longer it has waited since its first offer, the higher a cost it accepts.
    """
    if queued.first_offered_s is None:
        queued.first_offered_s = now_s
    return (
        choice.excess_cost_s <= now_s - queued.first_offered_s + ALLOWED_EXCESS_COST_S
    )


def blocks_others(queued: queues.QueuedWork, now_s: float) -> bool:
    """Return whether a request that fits nowhere now blocks those behind it.

    Smaller requests may overtake it for a limited time only; otherwise they would use
    all capacity that becomes free. A request that may not run on all servers never
    blocks others.
    """
    if queued.item.excluded or queued.item.suspect:
        return False
    if queued.no_capacity_s is None:
        queued.no_capacity_s = now_s
    return now_s - queued.no_capacity_s > MAX_OVERTAKING_S


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
        Learns the output lengths; the policy uses its estimates.
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
        self.model_queues: dict[servers.PoolKey, model_queues.ModelQueue] = {}
        self.queued: dict[ids.RequestId, queues.QueuedWork] = {}
        self.in_flight: dict[ids.RequestId, in_flight.InFlightRequest] = {}
        self.deadlines: list[tuple[float, ids.RequestId]] = []
        self.explanations: collections.OrderedDict[ids.RequestId, Explanation]
        self.explanations = collections.OrderedDict()

    def update_rules(
        self, rules: settings.RoutingSettings, policy: policies.Policy
    ) -> None:
        """Replace the weights and the policy.

        Waiting requests stay in their queues, and learned lengths are kept.
        """
        # The queues share this dict, so it is updated in place.
        weights = self.rules.organisation_weights
        weights.clear()
        weights.update(rules.organisation_weights)
        self.rules = msgspec.structs.replace(rules, organisation_weights=weights)
        self.policy = policy

    def submit(self, item: work.WorkItem, now_s: float) -> list[Decision]:
        """Queue a request and place all waiting requests that fit.

        Returns
        -------
        list of Placement or Refusal
            Final decisions on this and on other requests.
        """
        assert item.request_id not in self.queued
        assert item.request_id not in self.in_flight
        failure = self.rejection(item, now_s)
        if failure is not None:
            return [Refusal(item, failure)]
        model_queue = self.model_queue(item)
        estimate = lengths.expected_remaining(
            self.life_table(item), item.generated_tokens, item.max_tokens
        )
        cost = estimate + PREFILL_TOKEN_COST * item.prompt_tokens
        queued = queues.QueuedWork(item, cost, now_s)
        self.queued[item.request_id] = queued
        model_queue.fair_queue(model_queues.queue_position(item)).push(queued)
        deadline_s = item.deadline_s
        if deadline_s is None:
            deadline_s = now_s + self.rules.longest_wait_s
        heapq.heappush(self.deadlines, (deadline_s, item.request_id))
        decisions: list[Decision] = []
        blocked = model_queue.blocked_position
        # While a more urgent request waits for capacity this one can't be placed.
        is_only_one = model_queue.size == 1
        if (
            blocked is None
            or is_only_one
            or model_queues.queue_position(item) < blocked
        ):
            decisions = self.process_model_queue(model_queue, now_s)
        if model_queue.size > self.rules.queue_limit:
            decisions += self.shed(model_queue)
        return decisions

    def rejection(self, item: work.WorkItem, now_s: float) -> failures.Failure | None:
        """Return the failure of a request that can't be queued, else ``None``."""
        if item.deadline_s is not None and item.deadline_s <= now_s:
            return self.deadline_failure(item)
        pool = self.table.pool(item.model, item.version)
        if pool is not None and self.has_declared_server(item, pool):
            return None
        return failures.Failure(
            codes.Code.NO_SERVER,
            f"No backend server may run this request for model {item.model}.",
            retry_after_ms=model_queues.LONGEST_RETRY_MS,
        )

    def has_declared_server(self, item: work.WorkItem, pool: servers.Pool) -> bool:
        """Return whether the pool has an active server that may run a request.

        Ejected servers count, as they will be used again.
        """
        excluded = sum(
            1
            for server_id in item.excluded
            if server_id in self.table.records
            and self.table.records[server_id].view.model == item.model
            and self.table.records[server_id].view.state == servers.ServerState.ACTIVE
        )
        return pool.declared > excluded

    def deadline_failure(self, item: work.WorkItem) -> failures.Failure:
        """Return the failure of a request that missed its deadline in the queue."""
        model_queue = self.model_queue(item)
        return failures.Failure(
            codes.Code.DEADLINE_BEFORE_START,
            f"No server of model {item.model} had capacity before the deadline; "
            f"{model_queue.size} requests wait.",
            retry_after_ms=model_queue.retry_after_ms(),
        )

    def model_queue(self, item: work.WorkItem) -> model_queues.ModelQueue:
        """Return the queue of a request's model and version; create it if missing."""
        key = servers.PoolKey(item.model, item.version)
        found = self.model_queues.get(key)
        if found is None:
            found = self.model_queues[key] = model_queues.ModelQueue(
                self.rules.organisation_weights
            )
        return found

    def life_table(self, item: work.WorkItem) -> lengths.LifeTable:
        """Return the life table of a request's class."""
        return self.estimator.table(item.model, item.class_name)

    def shed(self, model_queue: model_queues.ModelQueue) -> list[Decision]:
        """Refuse the newest droppable request of the least urgent priority."""
        for queue in reversed(model_queue.fair_queues.values()):
            refused = queue.newest_of_longest()
            if refused is None:
                continue
            self.remove_queued(refused)
            failure = failures.Failure(
                codes.Code.QUEUE_FULL,
                f"{model_queue.size} requests wait for model {refused.item.model}.",
                retry_after_ms=model_queue.retry_after_ms(),
            )
            return [Refusal(refused.item, failure)]
        return []

    def remove_queued(self, queued: queues.QueuedWork) -> None:
        """Remove a request from its queue."""
        del self.queued[queued.item.request_id]
        self.model_queue(queued.item).fair_queue(
            model_queues.queue_position(queued.item)
        ).remove(queued)

    def refuse_queued(
        self, model: ids.ModelName, failure: failures.Failure
    ) -> list[Decision]:
        """Refuse the waiting requests for a model that have no output yet.

        A generation that continues waits on, as it can't begin anew elsewhere.
        """
        refused = [
            each
            for each in self.queued.values()
            if each.item.model == model and not each.item.generated_tokens
        ]
        for each in refused:
            self.remove_queued(each)
        return [Refusal(each.item, failure) for each in refused]

    def cancel(self, request_id: ids.RequestId) -> bool:
        """Remove a waiting request; return whether it was waiting."""
        queued = self.queued.get(request_id)
        if queued is None:
            return False
        self.remove_queued(queued)
        return True

    def process_queues(self, now_s: float) -> list[Decision]:
        """Place requests that fit and refuse those whose deadline has passed."""
        self.table.end_ejections(now_s)
        self.table.expire_peers(now_s)
        decisions = self.expire(now_s)
        for model_queue in self.model_queues.values():
            decisions += self.process_model_queue(model_queue, now_s)
        return decisions

    def expire(self, now_s: float) -> list[Decision]:
        """Refuse waiting requests whose deadline has passed."""
        decisions: list[Decision] = []
        while self.deadlines and self.deadlines[0][0] <= now_s:
            _, request_id = heapq.heappop(self.deadlines)
            queued = self.queued.get(request_id)
            if queued is None:
                continue
            deadline_s = queued.item.deadline_s
            if deadline_s is not None and deadline_s > now_s:
                # This deadline belongs to an earlier attempt of the same request.
                continue
            self.remove_queued(queued)
            failure = self.deadline_failure(queued.item)
            decisions.append(Refusal(queued.item, failure))
        return decisions

    def process_model_queue(
        self, model_queue: model_queues.ModelQueue, now_s: float
    ) -> list[Decision]:
        """Place requests of one model until the next has to wait."""
        decisions: list[Decision] = []
        model_queue.blocked_position = None
        while model_queue.size:
            placement = self.place_next(model_queue, now_s)
            if placement is None:
                model_queue.blocked_position = model_queue.first_position()
                break
            model_queue.count_dispatch(now_s)
            decisions.append(placement)
        return decisions

    def place_next(
        self, model_queue: model_queues.ModelQueue, now_s: float
    ) -> Placement | None:
        """Place the next request of a model if a server has capacity for it."""
        queue = model_queue.fair_queues[model_queue.first_position()]
        for queued in queue.heads(MAX_HEADS_TRIED):
            choice = self.policy.choose(queued.item, self.table, now_s)
            if choice is None and blocks_others(queued, now_s):
                break
            if choice is None or not accepts_choice(queued, choice, now_s):
                continue
            queue.pop_head(queued)
            del self.queued[queued.item.request_id]
            self.record_in_flight(queued, choice, now_s)
            return Placement(queued.item, choice)
        return None

    def record_in_flight(
        self, queued: queues.QueuedWork, choice: work.Choice, now_s: float
    ) -> None:
        """Record that a request is dispatched to a server."""
        item = queued.item
        record = self.table.records[choice.server_id]
        prefill = item.prompt_tokens + item.generated_tokens - choice.matched_tokens
        table = self.life_table(item)
        demand = in_flight.predict_demand(
            item, item.generated_tokens, prefill, table, choice.matched_tokens
        )
        request = in_flight.InFlightRequest(item, choice, now_s, demand)
        table.record_at_risk(request.bucket, request.bucket)
        self.in_flight[item.request_id] = request
        record.in_flight[item.request_id] = request
        record.add_own(demand)
        record.suspects += item.suspect
        record.last_dispatch_s = now_s
        record.record_adapter_use(item.adapter)
        cached = self.table.prefixes.matched_blocks(
            choice.server_id, item.prefix_hashes
        )
        self.table.prefixes.add(choice.server_id, item.prefix_hashes[cached:])
        self.explanations[item.request_id] = Explanation(
            item.request_id, choice, now_s - queued.queued_s, now_s
        )
        if len(self.explanations) > MAX_EXPLANATIONS:
            self.explanations.popitem(last=False)

    def on_tokens(self, request_id: ids.RequestId, count: int) -> None:
        """Count new tokens of a request; update its predicted demand after enough."""
        request = self.in_flight[request_id]
        request.generated += count
        if request.generated < request.next_refresh_tokens:
            return
        table = self.life_table(request.item)
        bucket = lengths.bucket_index(request.generated)
        if bucket > request.bucket:
            table.record_at_risk(request.bucket + 1, bucket)
            request.bucket = bucket
        shared = request.choice.matched_tokens
        demand = in_flight.predict_demand(
            request.item, request.generated, 0.0, table, shared
        )
        self.replace_demand(request, demand)
        request.next_refresh_tokens = request.generated + DEMAND_REFRESH_TOKENS

    def replace_demand(
        self, request: in_flight.InFlightRequest, demand: in_flight.Demand
    ) -> None:
        """Replace the predicted demand of a request, also in its server's total."""
        record = self.table.records.get(request.server_id)
        if record is not None and request.item.request_id in record.in_flight:
            record.subtract_own(request.demand)
            record.add_own(demand)
        request.demand = demand

    def release(
        self, request_id: ids.RequestId, outcome: work.ReservationOutcome, now_s: float
    ) -> list[Decision]:
        """Remove a request that has left its server, then place waiting requests."""
        request = self.in_flight.pop(request_id)
        item = request.item
        record = self.table.records.get(request.server_id)
        # The server may have been removed, and declared again, in the meantime.
        if record is not None and record.in_flight.pop(request_id, None) is not None:
            record.subtract_own(request.demand)
            record.suspects -= item.suspect
            self.update_health(record, outcome, now_s)
        if outcome is work.ReservationOutcome.COMPLETED and request.generated > 0:
            self.life_table(item).record_end(request.generated)
        return self.process_model_queue(self.model_queue(item), now_s)

    def update_health(
        self,
        record: servers.ServerRecord,
        outcome: work.ReservationOutcome,
        now_s: float,
    ) -> None:
        """Count a request's outcome in its server's health; eject it if necessary."""
        if outcome is work.ReservationOutcome.COMPLETED:
            record.health.record_success()
        elif outcome is work.ReservationOutcome.SERVER_LOST:
            self.table.eject(record.server_id, "it crashed or was unreachable", now_s)
        elif (
            outcome is work.ReservationOutcome.FAILED and record.health.record_failure()
        ):
            self.table.eject(record.server_id, "it failed repeatedly", now_s)

    def explain(self, request_id: ids.RequestId) -> Explanation | None:
        """Return why a recent request was placed on its server."""
        return self.explanations.get(request_id)
