"""Figures of the routing benchmark: per run, per cell, and against the targets."""

import math
import statistics

import msgspec

from quetzalpass.bench import routing_driver as driver
from quetzalpass.bench import routing_workloads as workloads
from quetzalpass.routing import settings

# Bounds of the users' targets, against the best baseline of each cell.
STALL_RATIO_TARGET = 0.5
GAP_RATIO_TARGET = 0.7
PREEMPTION_RATIO_TARGET = 0.2
GOODPUT_RATIO_TARGET = 0.98
WORST_OBJECTIVE_TARGET = 1.05
DECISION_TARGET_US = 200.0
TARGET_LOADS = (0.85, 1.3)
# Cells whose best baseline preempts less than this per run show no ratio.
FEWEST_PREEMPTIONS = 1.0
LEAST_STALL_S = 1.0


class Figures(msgspec.Struct, frozen=True):
    """Figures of one run.

    ``stall_s`` is summed over all streams, ``goodput`` counts tokens a second that
    reached their caller in the measured time, of answers that were whole in time.
    ``objective`` weighs the mean stall of a stream, in multiples of the 250 ms from
    which a gap counts as a stall, and the p99 gap, in multiples of its target.
    """

    stall_s: float
    preemptions: float
    gap_p99_ms: float
    gap_p999_ms: float
    ttft_p95_ms: float
    refused: float
    refused_must_not_drop: float
    goodput: float
    jain: float
    prefix_hit_rate: float
    objective: float
    decision_p99_us: float


NAMES = tuple(field.name for field in msgspec.structs.fields(Figures))


def served_tokens(stream: driver.Stream) -> float:
    """Return the tokens of a whole, timely answer in the measured time."""
    if stream.finished_s is None or stream.first_token_s is None:
        return 0.0
    start_s = max(stream.first_token_s, workloads.WARM_UP_S)
    end_s = min(stream.finished_s, workloads.ARRIVALS_S)
    lasted_s = stream.finished_s - stream.first_token_s
    if lasted_s <= 0.0:
        return float(start_s <= end_s)
    return stream.arrival.output_tokens * max(0.0, end_s - start_s) / lasted_s


def jain_index(streams: list[driver.Stream]) -> float:
    """Return Jain's index of what organisations got of their fair share.

    The share is weighted max-min: nobody is due more than it asked for.
    """
    weights = workloads.organisation_weights()
    demand: dict[str, float] = {}
    served: dict[str, float] = {}
    for stream in streams:
        name = stream.arrival.organisation
        if stream.arrival.time_s < workloads.ARRIVALS_S:
            tokens = stream.arrival.output_tokens
            demand[name] = demand.get(name, 0.0) + tokens
            served[name] = served.get(name, 0.0) + served_tokens(stream)
    left = sum(served.values())
    open_weight = sum(weights.get(name, 1.0) for name in demand)
    parts = []
    by_need = sorted(demand, key=lambda name: demand[name] / weights.get(name, 1.0))
    for name in by_need:
        weight = weights.get(name, 1.0)
        due = min(demand[name], left * weight / open_weight)
        left -= due
        open_weight -= weight
        parts.append(served[name] / due if due > 0 else 1.0)
    squares = sum(part * part for part in parts)
    return sum(parts) ** 2 / (len(parts) * squares) if squares else 0.0


def quantile(values: list[float], part: float) -> float:
    """Return a quantile; 0 of nothing."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def figures_of(run: driver.Run) -> Figures:
    """Return the figures of a run that has ended."""
    deployment = run.cell.deployment
    streams = [
        stream for stream in run.streams if stream.arrival.model == deployment.model
    ]
    totals = run.totals
    way_s = 2 * (deployment.client_s + deployment.one_way_s)
    waits_s = [
        stream.first_token_s - stream.arrival.time_s + way_s
        for stream in streams
        if stream.first_token_s is not None
    ]
    gap_p99_ms = totals.gap_ms(0.99)
    weights = deployment.objective
    measured_s = workloads.ARRIVALS_S - workloads.WARM_UP_S
    stall = totals.stall_s / len(streams) / driver.STALL_LIMIT_S
    gap = gap_p99_ms / 1000 / weights.gap_target_s
    return Figures(
        stall_s=totals.stall_s,
        preemptions=totals.preemptions,
        gap_p99_ms=gap_p99_ms,
        gap_p999_ms=totals.gap_ms(0.999),
        ttft_p95_ms=1000 * quantile(waits_s, 0.95),
        refused=sum(stream.refused for stream in run.streams),
        refused_must_not_drop=totals.refused_must_not_drop,
        goodput=sum(served_tokens(stream) for stream in streams) / measured_s,
        jain=jain_index(streams),
        prefix_hit_rate=totals.matched_tokens / max(1, totals.prompt_tokens),
        objective=weights.stall * stall + weights.gap_tail * gap,
        decision_p99_us=1e6 * quantile(totals.decision_s, 0.99),
    )


def half_width(values: list[float]) -> float:
    """Return half of the 95% confidence interval of a mean."""
    count = len(values)
    if count < 2:
        return 0.0
    # Student's t, to within 1% from 8 seeds on.
    factor = 1.96 + 2.5 / (count - 1)
    return factor * statistics.stdev(values) / math.sqrt(count)


def describe(
    cell: driver.Cell, policy: settings.PolicyName, runs: list[Figures]
) -> dict[str, object]:
    """Return the JSON object of one cell and policy: means and intervals."""
    row: dict[str, object] = {
        "deployment": cell.deployment.name,
        "load": cell.load,
        "condition": cell.condition.value,
        "gateways": cell.gateways,
        "policy": policy.value,
        "seeds": len(runs),
    }
    for name in NAMES:
        values = [float(getattr(figures, name)) for figures in runs]
        row[name] = statistics.fmean(values)
        row[f"{name}_ci"] = half_width(values)
    return row


class Comparison(msgspec.Struct, frozen=True):
    """The predictive policy against the best baseline of one cell.

    The best one is that with the best objective. Since that often goes with a low
    goodput, ``goodput_ratio_highest`` compares with the highest of any baseline.
    """

    deployment: str
    load: float
    condition: str
    gateways: int
    best: str
    objective_ratio: float
    stall_ratio: float | None
    gap_ratio: float
    preemption_ratio: float | None
    goodput_ratio: float
    goodput_ratio_highest: float
    refused_must_not_drop: float


def compare(rows: list[dict]) -> Comparison:
    """Compare the rows of one cell."""
    ours = next(
        row for row in rows if row["policy"] == settings.PolicyName.PREDICTIVE.value
    )
    baselines = [row for row in rows if row is not ours]
    best = min(baselines, key=lambda row: row["objective"])

    def ratio(name: str, least: float) -> float | None:
        return ours[name] / best[name] if best[name] >= least else None

    return Comparison(
        deployment=ours["deployment"],
        load=ours["load"],
        condition=ours["condition"],
        gateways=ours["gateways"],
        best=best["policy"],
        objective_ratio=ours["objective"] / best["objective"],
        stall_ratio=ratio("stall_s", LEAST_STALL_S),
        gap_ratio=ours["gap_p99_ms"] / best["gap_p99_ms"],
        preemption_ratio=ratio("preemptions", FEWEST_PREEMPTIONS),
        goodput_ratio=ours["goodput"] / best["goodput"],
        goodput_ratio_highest=ours["goodput"]
        / max(row["goodput"] for row in baselines),
        refused_must_not_drop=ours["refused_must_not_drop"],
    )


def median(values: list[float | None]) -> float | None:
    """Return the median of the values that exist."""
    found = [value for value in values if value is not None]
    return statistics.median(found) if found else None


def summarise(comparisons: list[Comparison]) -> dict[str, object]:
    """Return the summary of one deployment over the loads of the targets."""
    low, high = TARGET_LOADS
    found = [item for item in comparisons if low <= item.load <= high]
    return {
        "objective_ratio_median": median([item.objective_ratio for item in found]),
        "objective_ratio_worst": max(item.objective_ratio for item in comparisons),
        "preemption_ratio_median": median([item.preemption_ratio for item in found]),
        "stall_ratio_median": median([item.stall_ratio for item in found]),
        "gap_ratio_median": median([item.gap_ratio for item in found]),
        "goodput_ratio_worst": min(item.goodput_ratio for item in found),
        "goodput_ratio_highest_worst": min(
            item.goodput_ratio_highest for item in found
        ),
        "refused_must_not_drop": sum(item.refused_must_not_drop for item in found),
    }


class Target(msgspec.Struct, frozen=True):
    """One target and whether it was met; a figure of ``None`` wasn't measurable."""

    deployment: str
    name: str
    bound: float
    measured: float | None
    met: bool


def check_targets(
    name: str, objective: settings.Objective, summary: dict[str, object]
) -> list[Target]:
    """Hold a deployment's summary against the users' targets."""
    bounds = {
        "preemption_ratio_median": PREEMPTION_RATIO_TARGET,
        "objective_ratio_worst": WORST_OBJECTIVE_TARGET,
        "refused_must_not_drop": 0.0,
    }
    if objective.stall > objective.gap_tail:
        bounds["stall_ratio_median"] = STALL_RATIO_TARGET
    else:
        bounds["gap_ratio_median"] = GAP_RATIO_TARGET
    found = []
    for key, bound in bounds.items():
        measured = summary[key]
        met = measured is None or measured <= bound
        found.append(Target(name, key, bound, measured, met))
    measured = summary["goodput_ratio_worst"]
    met = measured >= GOODPUT_RATIO_TARGET
    key = "goodput_ratio_worst"
    found.append(Target(name, key, GOODPUT_RATIO_TARGET, measured, met))
    return found
