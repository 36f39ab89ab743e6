"""Conditional estimate of output lengths for each class, from censored observations.

The estimate is a life table over buckets of exponentially growing length; old
observations lose weight. A generation counts as at risk in each bucket that it enters
and as an end in the bucket where it completes, so that unfinished and cancelled
generations count up to the length they have reached. A mean over finished generations
only would be biased towards short ones, since under load the long ones are those still
unfinished.

Within a bucket the ends are assumed to be spread evenly around their mean, as widely
as the bucket allows, so that a class whose outputs all have the same length is not
predicted to end early.
"""

import bisect

import msgspec

from quetzalpass import ids

MAX_TOKENS = 65536
# Half-octave steps limit the error of the length that a bucket represents to 20%.
BUCKETS_PER_OCTAVE = 2
DECAY_PER_END = 0.998
PRIOR_WEIGHT = 2.0
MIN_SPREAD_TOKENS = 0.5


def make_bounds() -> tuple[int, ...]:
    """Return the upper bounds of the buckets in tokens, in ascending order."""
    bounds = {
        round(2 ** (step / BUCKETS_PER_OCTAVE))
        for step in range(16 * BUCKETS_PER_OCTAVE + 1)
    }
    return tuple(sorted(bounds))


BOUNDS = make_bounds()
# Hazard before there are observations; the same in each bucket.
PRIOR_HAZARD = 0.08
REFRESH_OBSERVATIONS = 16


class EndRange(msgspec.Struct, frozen=True):
    """Range of lengths, in tokens, in which the generations of a bucket end."""

    first: float
    last: float


class LifeTable:
    """Hazard of an end in each bucket of lengths, for one class."""

    def __init__(self) -> None:
        size = len(BOUNDS)
        self.at_risk = [0.0] * size
        self.ends = [0.0] * size
        # Sum of the lengths of the generations that ended in each bucket, in tokens.
        self.end_tokens = [0.0] * size
        self.end_ranges = [EndRange(0.0, 1.0)] * size
        self.survival = [1.0] * (size + 1)
        self.pending_observations = 0
        # Results cached until the next refresh; most new requests need the same ones.
        self.expectations: dict[tuple[int, int], float] = {}
        self.chances: dict[tuple[int, int], list[float]] = {}
        self.refresh()

    def record_at_risk(self, first: int, last: int) -> None:
        """Count a generation as at risk in the buckets ``first`` to ``last``."""
        for bucket in range(first, last + 1):
            self.at_risk[bucket] += 1.0
        self.count_observation()

    def record_end(self, tokens: int) -> None:
        """Count the end of a generation and reduce the weight of older ones."""
        for index in range(len(BOUNDS)):
            self.at_risk[index] *= DECAY_PER_END
            self.ends[index] *= DECAY_PER_END
            self.end_tokens[index] *= DECAY_PER_END
        bucket = bucket_index(tokens)
        self.ends[bucket] += 1.0
        self.end_tokens[bucket] += min(tokens, BOUNDS[bucket])
        self.count_observation()

    def count_observation(self) -> None:
        """Count an observation; refresh the survival curve after enough of them."""
        self.pending_observations += 1
        if self.pending_observations >= REFRESH_OBSERVATIONS:
            self.refresh()

    def refresh(self) -> None:
        """Compute the share of generations that get longer than each bound."""
        self.pending_observations = 0
        self.expectations.clear()
        self.chances.clear()
        surviving = 1.0
        for index in range(len(BOUNDS)):
            ends = self.ends[index] + PRIOR_WEIGHT * PRIOR_HAZARD
            hazard = min(1.0, ends / (self.at_risk[index] + PRIOR_WEIGHT))
            surviving *= 1.0 - hazard
            self.survival[index + 1] = max(surviving, 1e-12)
            self.end_ranges[index] = self.end_range(index)

    def end_range(self, index: int) -> "EndRange":
        """Return the range of lengths in which the generations of a bucket end."""
        low = BOUNDS[index - 1] if index else 0
        high = BOUNDS[index]
        prior = PRIOR_WEIGHT * PRIOR_HAZARD
        prior_tokens = prior * (low + high) / 2
        mean = (self.end_tokens[index] + prior_tokens) / (self.ends[index] + prior)
        spread = max(MIN_SPREAD_TOKENS, min(mean - low, high - mean))
        return EndRange(mean - spread, mean + spread)

    def survival_at(self, tokens: int) -> float:
        """Return the share of generations that get longer than a number of tokens."""
        if tokens <= 0:
            return 1.0
        if tokens >= MAX_TOKENS:
            return 0.0
        index = bisect.bisect_left(BOUNDS, tokens)
        found = self.end_ranges[index]
        part = (tokens - found.first) / (found.last - found.first)
        part = min(1.0, max(0.0, part))
        before = self.survival[index]
        return before + part * (self.survival[index + 1] - before)


class LengthEstimator:
    """Life tables of all classes.

    Each model has its own table for a class, since models differ in the length of
    their outputs for the same class.
    """

    def __init__(self) -> None:
        self.tables: dict[tuple[ids.ModelName, ids.ClassName], LifeTable] = {}

    def table(self, model: ids.ModelName, class_name: ids.ClassName) -> LifeTable:
        """Return the life table of a class; create it if missing."""
        key = (model, class_name)
        found = self.tables.get(key)
        if found is None:
            found = self.tables[key] = LifeTable()
        return found


def bucket_index(tokens: int) -> int:
    """Return the bucket of a generation with this many tokens."""
    return min(bisect.bisect_left(BOUNDS, max(1, tokens)), len(BOUNDS) - 1)


def survival_chances(
    table: LifeTable, generated: int, horizons: tuple[int, ...], max_tokens: int
) -> list[float]:
    """Return the probabilities that a generation gets longer by each horizon.

    Parameters
    ----------
    table : LifeTable
        Life table of its class.
    generated : int
        Tokens generated so far.
    horizons : tuple of int
        Numbers of further tokens; the same in all calls for one table.
    max_tokens : int
        Limit stated by the request.
    """
    key = (generated, max_tokens)
    found = table.chances.get(key)
    if found is None:
        now = table.survival_at(generated)
        found = [
            conditional_survival(table, now, generated + horizon, max_tokens)
            for horizon in horizons
        ]
        table.chances[key] = found
    return found


def conditional_survival(
    table: LifeTable, now: float, tokens: int, max_tokens: int
) -> float:
    """Return the probability to get longer than ``tokens``.

    ``now`` is the survival at the current length.
    """
    if tokens >= max_tokens or now <= 0.0:
        return 0.0
    return min(1.0, table.survival_at(tokens) / now)


def expected_remaining(table: LifeTable, generated: int, max_tokens: int) -> float:
    """Return the expected number of further tokens of a generation."""
    key = (generated, max_tokens)
    found = table.expectations.get(key)
    if found is None:
        found = integrate_survival(table, generated, max_tokens)
        table.expectations[key] = found
    return found


def integrate_survival(table: LifeTable, generated: int, max_tokens: int) -> float:
    """Return the area under the conditional survival curve, in tokens."""
    now = table.survival_at(generated)
    if now <= 0.0:
        return 0.0
    total, position, surviving = 0.0, generated, now
    for index in range(bucket_index(generated), len(BOUNDS)):
        ends = table.end_ranges[index]
        # The survival curve is linear between these lengths.
        for knot in (ends.first, ends.last, BOUNDS[index]):
            upper = min(knot, max_tokens)
            if upper <= position:
                continue
            after = table.survival_at(upper)
            total += (upper - position) * (surviving + after) / 2
            position, surviving = upper, after
    return total / now
