"""The predictive policy: places requests where their memory will fit until they end.

The memory of each server is predicted at several horizons, from the current lengths of
its requests and the life tables of their classes. A request that would not fit waits
in the gateway, where it costs nothing. An engine that runs out of memory preempts
running requests, which then stall and are computed again.
"""

import math
import operator

import msgspec

from quetzalpass.routing import (
    in_flight,
    lengths,
    policies,
    servers,
    settings,
    work,
)

# Standard deviations of the predicted memory that must fit in addition to its mean.
RISK_DEVIATIONS = 0.7
# Share of the memory that requests of each priority may fill, so that more urgent ones
# find capacity at once. Lower priorities than listed use the last entry.
MEMORY_SHARE_BY_PRIORITY = (1.0, 0.95, 0.9)
PREFILL_TOKEN_S = 0.00005
ADAPTER_LOAD_S = 1.5
# Share of the target for gaps that is kept as headroom, as prefill makes some steps
# longer than the mean. It applies in full if the objective weighs only the gap's tail.
TAIL_HEADROOM = 0.2
# A server slower than others of its model by this factor runs one request at a time.
SLOW_SERVER_FACTOR = 2.0
OCCUPANCY_COST_S = 0.3
# Weight of the longer gaps that a prefill causes in running streams, relative to the
# delay of the new request, if the objective weighs only the gap's tail.
GAP_DISTURBANCE = 4.0
LOCAL_SAMPLE, REMOTE_SAMPLE, HOLDER_SAMPLE = 3, 1, 1
# Cost of a server in another data centre, in seconds: a round trip and the risk that
# the link between the data centres fails during the stream.
REMOTE_COST_S = 0.02


cost_key = operator.attrgetter("cost_s")


class PlacementOption(msgspec.Struct):
    """The predicted effects of placing a request on one server.

    Attributes
    ----------
    record : servers.ServerRecord
        The server.
    cost_s : float
        Delay for the request and for others, in seconds; lower is better.
    occupancy : float
        Largest predicted share of memory in use at any horizon.
    matched_tokens : int
        Prompt tokens that the server's cache is expected to hold.
    has_capacity : bool
        Whether the request may be placed there now.
    """

    record: servers.ServerRecord
    cost_s: float
    occupancy: float
    matched_tokens: int
    has_capacity: bool


class Predictive(policies.Policy):
    """Chooses by predicted memory, cached prefix and loaded adapters.

    Parameters
    ----------
    rules : settings.RoutingSettings
        The objective and its weights.
    estimator : lengths.LengthEstimator
        Life tables of the output lengths.
    """

    def __init__(
        self, rules: settings.RoutingSettings, estimator: lengths.LengthEstimator
    ) -> None:
        self.rules = rules
        self.estimator = estimator
        objective = rules.objective
        self.max_step_s = objective.gap_target_s * (
            1.0 - TAIL_HEADROOM * objective.gap_tail
        )
        self.disturbance = 1.0 + GAP_DISTURBANCE * rules.objective.gap_tail

    def choose(
        self, item: work.WorkItem, table: servers.ServerTable, now_s: float
    ) -> work.Choice | None:
        """Choose the server with the lowest cost among those with capacity."""
        life_table = self.estimator.table(item.model, item.class_name)
        demand = in_flight.predict_demand(item, item.generated_tokens, 0.0, life_table)
        options = [
            self.evaluate(item, record, table)
            for record in self.candidates(item, table)
        ]
        options.sort(key=cost_key)
        best: PlacementOption | None = None
        least_cost_s = math.inf
        for option in options:
            # Occupancy only adds to the cost, so none of the rest can be better.
            if best is not None and option.cost_s >= best.cost_s:
                break
            self.add_occupancy(option, item, demand, table, now_s)
            if option.record.slowness.factor <= SLOW_SERVER_FACTOR:
                least_cost_s = min(least_cost_s, option.cost_s)
            if option.has_capacity and (best is None or option.cost_s < best.cost_s):
                best = option
        if best is None:
            return None
        return self.describe_choice(best, max(0.0, best.cost_s - least_cost_s), now_s)

    def candidates(
        self, item: work.WorkItem, table: servers.ServerTable
    ) -> list[servers.ServerRecord]:
        """Return the servers to evaluate: all of a small pool, a sample of a large."""
        pool = table.pool(item.model, item.version)
        if pool is None:
            return []
        if len(pool.usable) <= policies.SEARCH_LIMIT:
            found = pool.usable
        else:
            local = pool.by_data_centre.get(table.data_centre, [])
            found = policies.sample(table, local, LOCAL_SAMPLE)
            found = found + policies.sample(table, pool.usable, REMOTE_SAMPLE)
            found += self.holders(item, table)
        return [record for record in found if policies.allows(record, item)]

    def holders(
        self, item: work.WorkItem, table: servers.ServerTable
    ) -> list[servers.ServerRecord]:
        """Return a few usable servers that cache the longest known prefix."""
        found = []
        for server_id in table.prefixes.deepest_holders(item.prefix_hashes):
            record = table.records[server_id]
            if is_eligible(record, item):
                found.append(record)
            if len(found) == HOLDER_SAMPLE:
                break
        return found

    def evaluate(
        self,
        item: work.WorkItem,
        record: servers.ServerRecord,
        table: servers.ServerTable,
    ) -> PlacementOption:
        """Return the option of placing a request on a server, without occupancy."""
        view = record.view
        matched = 0
        blocks = table.prefixes.matched_blocks(view.server_id, item.prefix_hashes)
        if blocks:
            trust = table.prefixes.confidence(view.server_id)
            matched = int(trust * blocks * view.block_tokens)
        prompt = item.prompt_tokens + item.generated_tokens - matched
        cost_s = PREFILL_TOKEN_S * prompt * (1 + self.disturbance * record.sequences)
        if view.data_centre != table.data_centre:
            cost_s += REMOTE_COST_S
        if item.adapter is not None and not record.has_adapter(item.adapter):
            cost_s += ADAPTER_LOAD_S
        return PlacementOption(record, cost_s, 0.0, matched, False)

    def add_occupancy(
        self,
        option: PlacementOption,
        item: work.WorkItem,
        demand: in_flight.Demand,
        table: servers.ServerTable,
        now_s: float,
    ) -> None:
        """Add predicted occupancy to an option, and whether the server has capacity."""
        record = option.record
        occupancy = self.occupancy(demand, option.matched_tokens, record)
        option.occupancy = occupancy
        option.cost_s += OCCUPANCY_COST_S * occupancy * occupancy
        share = record.health.capacity_share(now_s)
        option.has_capacity = record.sequences < record.view.batch_limit * share
        if option.has_capacity and record.sequences:
            option.has_capacity = occupancy <= self.memory_share(item) * share
            option.has_capacity = option.has_capacity and self.keeps_step_target(
                record, table
            )

    def keeps_step_target(
        self, record: servers.ServerRecord, table: servers.ServerTable
    ) -> bool:
        """Return whether steps stay within the target with one more sequence."""
        if record.slowness.factor > SLOW_SERVER_FACTOR:
            return False
        model = table.step_model(record.view.model)
        step_s = model.predict(record.sequences + 1) * record.slowness.factor
        return step_s <= self.max_step_s

    def memory_share(self, item: work.WorkItem) -> float:
        """Return the share of memory that requests of this priority may fill."""
        if item.generated_tokens:
            return MEMORY_SHARE_BY_PRIORITY[0]
        return MEMORY_SHARE_BY_PRIORITY[
            min(item.priority, len(MEMORY_SHARE_BY_PRIORITY) - 1)
        ]

    def occupancy(
        self, demand: in_flight.Demand, matched: int, record: servers.ServerRecord
    ) -> float:
        """Return the largest predicted share of memory in use with the request."""
        if record.view.memory_blocks == 0:
            return record.sequences / record.view.batch_limit
        total = record.total()
        unshared = 1.0 - matched / max(1.0, demand.mean[0])
        current_mean = demand.mean[0] - matched + total.mean[0]
        shared_fraction = 1.0 - record.sharing
        parts = zip(
            demand.mean, total.mean, demand.variance, total.variance, strict=True
        )
        worst = 0.0
        for request_mean, server_mean, request_variance, server_variance in parts:
            mean = request_mean * unshared + server_mean
            mean -= shared_fraction * (mean if mean < current_mean else current_mean)
            mean += RISK_DEVIATIONS * math.sqrt(request_variance + server_variance)
            if mean > worst:
                worst = mean
        return worst / record.view.memory_tokens

    def describe_choice(
        self, option: PlacementOption, excess_cost_s: float, now_s: float
    ) -> work.Choice:
        """Return an option as a choice, with its figures in words."""
        record = option.record
        return work.Choice(
            record.server_id,
            f"lowest cost {option.cost_s:.3f} s: memory at most "
            f"{100 * option.occupancy:.0f}% full, {record.sequences} in flight, "
            f"{option.matched_tokens} prompt tokens cached",
            option.cost_s,
            option.matched_tokens,
            excess_cost_s,
            record.report_age_s(now_s),
        )


def is_eligible(record: servers.ServerRecord, item: work.WorkItem) -> bool:
    """Return whether a server, looked up outside the pool, may run a request."""
    view = record.view
    if view.state != servers.ServerState.ACTIVE or view.model != item.model:
        return False
    if item.version is not None and view.version != item.version:
        return False
    return record.health.ejected_until_s is None
