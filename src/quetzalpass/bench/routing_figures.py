"""Figures of the routing benchmark: per run, per cell, and compared with targets."""

import math
import statistics

import msgspec

from quetzalpass.bench import routing_driver as driver
from quetzalpass.bench import routing_workloads as workloads
from quetzalpass.routing import settings

# Bounds of the users' targets, relative to the best baseline of each cell.
STALL_RATIO_TARGET = 0.5
GAP_RATIO_TARGET = 0.7
PREEMPTION_RATIO_TARGET = 0.2
GOODPUT_RATIO_TARGET = 0.98
WORST_OBJECTIVE_TARGET = 1.05
DECISION_TARGET_US = 200.0
TARGET_LOADS = (0.85, 1.3)
# Cells have no ratio if the best baseline has fewer preemptions or less stall time per
# run than this.
MIN_PREEMPTIONS = 1.0
MIN_STALL_S = 1.0


class Figures(msgspec.Struct, frozen=True):
    """Figures of one run.

    ``stall_s`` is the sum over all streams. ``goodput`` is the number of tokens per
    second that reached their caller within the measured time, counting only responses
    that were complete before their deadline. ``objective`` is a weighted sum of the
    mean stall of a stream, in multiples of the 250 ms above which a gap counts as a
    stall, and the p99 gap, in multiples of its target.
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
    """Return the tokens of a complete, timely response in the measured time."""
    if stream.finished_s is None or stream.first_token_s is None:
        return 0.0
    start_s = max(stream.first_token_s, workloads.WARM_UP_S)
    end_s = min(stream.finished_s, workloads.ARRIVALS_S)
    duration_s = stream.finished_s - stream.first_token_s
    if duration_s <= 0.0:
        return float(start_s <= end_s)
    return stream.arrival.output_tokens * max(0.0, end_s - start_s) / duration_s


def jain_index(streams: list[driver.Stream]) -> float:
    """Return Jain's fairness index of the served fraction of each fair share.

    Fair shares are weighted max-min: no organisation's share exceeds its demand.
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
    remaining = sum(served.values())
    remaining_weight = sum(weights.get(name, 1.0) for name in demand)
    fractions = []
    by_weighted_demand = sorted(
        demand, key=lambda name: demand[name] / weights.get(name, 1.0)
    )
    for name in by_weighted_demand:
        weight = weights.get(name, 1.0)
        fair_share = min(demand[name], remaining * weight / remaining_weight)
        remaining -= fair_share
        remaining_weight -= weight
        fractions.append(served[name] / fair_share if fair_share > 0 else 1.0)
    squares = sum(fraction * fraction for fraction in fractions)
    return sum(fractions) ** 2 / (len(fractions) * squares) if squares else 0.0


def quantile(values: list[float], share: float) -> float:
    """Return a quantile, or 0 if there are no values."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def compute_figures(run: driver.Run) -> Figures:
    """Return the figures of a finished run."""
    deployment = run.cell.deployment
    streams = [
        stream for stream in run.streams if stream.arrival.model == deployment.model
    ]
    totals = run.totals
    round_trip_s = 2 * (deployment.client_s + deployment.one_way_s)
    first_token_times_s = [
        stream.first_token_s - stream.arrival.time_s + round_trip_s
        for stream in streams
        if stream.first_token_s is not None
    ]
    gap_p99_ms = totals.gap_quantile_ms(0.99)
    weights = deployment.objective
    measured_s = workloads.ARRIVALS_S - workloads.WARM_UP_S
    stall = totals.stall_s / len(streams) / driver.STALL_LIMIT_S
    gap = gap_p99_ms / 1000 / weights.gap_target_s
    return Figures(
        stall_s=totals.stall_s,
        preemptions=totals.preemptions,
        gap_p99_ms=gap_p99_ms,
        gap_p999_ms=totals.gap_quantile_ms(0.999),
        ttft_p95_ms=1000 * quantile(first_token_times_s, 0.95),
        refused=sum(stream.refused for stream in run.streams),
        refused_must_not_drop=totals.refused_must_not_drop,
        goodput=sum(served_tokens(stream) for stream in streams) / measured_s,
        jain=jain_index(streams),
        prefix_hit_rate=totals.matched_tokens / max(1, totals.prompt_tokens),
        objective=weights.stall * stall + weights.gap_tail * gap,
        decision_p99_us=1e6 * quantile(totals.decision_s, 0.99),
    )


def confidence_half_width(values: list[float]) -> float:
    """Return half the width of the 95% confidence interval of a mean."""
    count = len(values)
    if count < 2:
        return 0.0
    # Approximates Student's t to within 1% for 8 seeds and more.
    factor = 1.96 + 2.5 / (count - 1)
    return factor * statistics.stdev(values) / math.sqrt(count)


def make_row(
    cell: driver.Cell, policy: settings.PolicyName, runs: list[Figures]
) -> dict[str, object]:
    """Return the JSON object of a cell and policy, with means and intervals."""
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
        row[f"{name}_ci"] = confidence_half_width(values)
    return row


class Comparison(msgspec.Struct, frozen=True):
    """Comparison of the predictive policy with the best baseline of one cell.

    The best baseline is the one with the best objective. Since its goodput is often
    low, ``goodput_ratio_highest`` compares with the highest goodput of any baseline.
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
    """Compare the policies of one cell, given its rows."""
    predictive = next(
        row for row in rows if row["policy"] == settings.PolicyName.PREDICTIVE.value
    )
    baselines = [row for row in rows if row is not predictive]
    best = min(baselines, key=lambda row: row["objective"])

    def ratio(name: str, minimum: float) -> float | None:
        return predictive[name] / best[name] if best[name] >= minimum else None

    return Comparison(
        deployment=predictive["deployment"],
        load=predictive["load"],
        condition=predictive["condition"],
        gateways=predictive["gateways"],
        best=best["policy"],
        objective_ratio=predictive["objective"] / best["objective"],
        stall_ratio=ratio("stall_s", MIN_STALL_S),
        gap_ratio=predictive["gap_p99_ms"] / best["gap_p99_ms"],
        preemption_ratio=ratio("preemptions", MIN_PREEMPTIONS),
        goodput_ratio=predictive["goodput"] / best["goodput"],
        goodput_ratio_highest=predictive["goodput"]
        / max(row["goodput"] for row in baselines),
        refused_must_not_drop=predictive["refused_must_not_drop"],
    )


def median(values: list[float | None]) -> float | None:
    """Return the median of the values that aren't ``None``."""
    known = [value for value in values if value is not None]
    return statistics.median(known) if known else None


def summarise(comparisons: list[Comparison]) -> dict[str, object]:
    """Summarise the comparisons of a deployment for ``TARGET_LOADS``."""
    low, high = TARGET_LOADS
    in_range = [item for item in comparisons if low <= item.load <= high]
    return {
        "objective_ratio_median": median([item.objective_ratio for item in in_range]),
        "objective_ratio_worst": max(item.objective_ratio for item in comparisons),
        "preemption_ratio_median": median([item.preemption_ratio for item in in_range]),
        "stall_ratio_median": median([item.stall_ratio for item in in_range]),
        "gap_ratio_median": median([item.gap_ratio for item in in_range]),
        "goodput_ratio_worst": min(item.goodput_ratio for item in in_range),
        "goodput_ratio_highest_worst": min(
            item.goodput_ratio_highest for item in in_range
        ),
        "refused_must_not_drop": sum(item.refused_must_not_drop for item in in_range),
    }


class Target(msgspec.Struct, frozen=True):
    """A target and whether it was met; ``None`` means that it wasn't measurable."""

    deployment: str
    name: str
    bound: float
    measured: float | None
    met: bool


def check_targets(
    name: str, objective: settings.Objective, summary: dict[str, object]
) -> list[Target]:
    """Compare the summary of a deployment with the users' targets."""
    bounds = {
        "preemption_ratio_median": PREEMPTION_RATIO_TARGET,
        "objective_ratio_worst": WORST_OBJECTIVE_TARGET,
        "refused_must_not_drop": 0.0,
    }
    if objective.stall > objective.gap_tail:
        bounds["stall_ratio_median"] = STALL_RATIO_TARGET
    else:
        bounds["gap_ratio_median"] = GAP_RATIO_TARGET
    targets = []
    for key, bound in bounds.items():
        measured = summary[key]
        met = measured is None or measured <= bound
        targets.append(Target(name, key, bound, measured, met))
    measured = summary["goodput_ratio_worst"]
    met = measured >= GOODPUT_RATIO_TARGET
    key = "goodput_ratio_worst"
    targets.append(Target(name, key, GOODPUT_RATIO_TARGET, measured, met))
    return targets
