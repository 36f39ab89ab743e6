"""Selection of backend servers for relayed requests, without any input or output.

Load patterns that it handles:

- Generations of unknown length fill an engine's memory while they are decoded, and the
  engine then preempts running ones. A generation is therefore placed by the memory it
  is expected to need in the end, on top of what all gateways have placed there.
- Engines are reclaimed at short notice. Each long generation gets a backup on another
  engine, as long as that leaves enough capacity for new requests.
- A new engine is empty and would receive all waiting requests at once; the prefill of
  so many prompts takes seconds. A placement counts the prompt tokens whose prefill is
  pending.
- A data centre becomes unreachable. After one failed attempt to connect, its other
  servers are used only as a last resort for a short time.
- Several gateways decide on the same reports. One of the servers with about the best
  score is chosen at random.
"""

import random
from collections.abc import Sequence

import msgspec

from quetzalpass import ids, ranges

# Share of an engine's memory that expected use may reach. The generations on one engine
# reach their largest sizes at different times, so that no reserve is needed.
MEMORY_FILL = 1.0
# Share of a generation's expected growth that is reserved for it.
GROWTH_SHARE = 0.8
OVERRUN_FACTOR = 1.25
# Share of a backup's memory that counts against new requests.
COPY_WEIGHT = 1.0
# Memory fill up to which backups are placed; the rest stays free for new requests.
BACKUP_FILL = 0.4
# Smaller generations end before a backup would be useful.
MIN_BACKUP_TOKENS = 2_000
BATCH_WEIGHT = 0.5
COLD_PENALTY = 0.3
DISTANCE_PENALTY = 0.02
# Copies to another data centre take twice as long as within one.
MOVE_DISTANCE_PENALTY = 0.8
FULL_PENALTY = 1.0
# Memory fill up to which an engine receives a copy; above it, the engine would preempt
# running generations.
MOVE_FILL = 1.0
CUT_OFF_PENALTY = 3.0
# A moved generation pauses while its next engine computes the prompts of others.
MOVE_PREFILL_WEIGHT_PER_S = 1.0
# Score per second of delay until the prefill of a prompt ends, and per second by which
# that delay makes the first event late.
PREFILL_WEIGHT_PER_S = 0.3
LATE_WEIGHT_PER_S = 3.0
# Share of the objective within which the prefill should end.
PREFILL_SHARE = 0.5
# Scores that differ by no more than this count as equal.
TIE_MARGIN = 0.05
REMOTE_PENALTY_REQUESTS = 0.25
CUT_OFF_PENALTY_REQUESTS = 100.0


class GenerationNeed(msgspec.Struct, frozen=True):
    """Memory that a generation needs.

    Attributes
    ----------
    prompt_tokens : int
        Tokens of its prompt.
    output_tokens : int
        Expected number of output tokens.
    made_tokens : int
        Output tokens generated so far.
    max_output_tokens : int or None
        Limit of its output tokens.
    objective_s : float
        Objective of its route for the time to the first event, in seconds.
    """

    prompt_tokens: ranges.Integer
    output_tokens: ranges.Integer
    made_tokens: ranges.Integer = 0
    max_output_tokens: ranges.Integer | None = None
    objective_s: ranges.Duration = 1.0

    @property
    def tokens(self) -> int:
        """Return the memory to reserve for the generation, in tokens.

        Generations on one engine are at different points of their output, and some end
        before others have grown, so only a share of the expected growth is reserved.
        One that has exceeded its estimate probably continues for a while.
        """
        expected = max(self.output_tokens, int(OVERRUN_FACTOR * self.made_tokens))
        if self.max_output_tokens is not None:
            expected = min(expected, self.max_output_tokens)
        growth = max(0, expected - self.made_tokens)
        return self.prompt_tokens + self.made_tokens + int(GROWTH_SHARE * growth)


class ServerCapacity(msgspec.Struct, frozen=True):
    """Size and load of one server at the time of a decision.

    Attributes
    ----------
    server_id : ServerId
        The server.
    data_centre : DataCentreId
        Its data centre.
    requests : int
        Requests of all gateways on it.
    tokens : int
        Memory that these are expected to need, in tokens.
    copy_tokens : int
        Memory that backups on it are expected to need, in tokens.
    prefill_tokens : int
        Prompt tokens of the requests on it whose first event has not arrived.
    slots : int
        Maximum number of requests at once.
    memory_tokens : int
        Its memory in tokens; 0 for a plain service.
    prefill_tokens_per_s : float
        Its prefill rate in tokens per second.
    is_cold : bool
        Whether it has just started and is slow.
    is_cut_off : bool
        Whether its data centre was recently unreachable.
    """

    server_id: ids.ServerId
    data_centre: ids.DataCentreId
    requests: int
    tokens: int
    copy_tokens: int
    slots: int
    prefill_tokens: int = 0
    memory_tokens: int = 0
    prefill_tokens_per_s: float = 1.0
    is_cold: bool = False
    is_cut_off: bool = False


def memory_fill(capacity: ServerCapacity, more_tokens: int) -> float:
    """Return the share of an engine's memory in use with ``more_tokens`` added.

    A plain service has no memory that could fill; its slots alone limit it.
    """
    if not capacity.memory_tokens:
        return 0.0
    return (
        capacity.tokens + capacity.copy_tokens + more_tokens
    ) / capacity.memory_tokens


def describe(capacity: ServerCapacity, need: GenerationNeed) -> str:
    """Return the figures behind the choice of an engine, for the log."""
    return (
        f"memory {memory_fill(capacity, need.tokens):.2f} full with it, "
        f"{capacity.requests} running, {capacity.prefill_tokens} prompt tokens ahead"
    )


def engine_score(
    capacity: ServerCapacity, need: GenerationNeed, local_data_centre: ids.DataCentreId
) -> float:
    """Return the cost of placing a generation on an engine; lower is better."""
    score = (
        memory_fill(capacity, need.tokens)
        + BATCH_WEIGHT * capacity.requests / capacity.slots
    )
    score += prefill_score(capacity, need)
    score += COLD_PENALTY * capacity.is_cold
    score += CUT_OFF_PENALTY * capacity.is_cut_off
    return score + DISTANCE_PENALTY * (capacity.data_centre != local_data_centre)


def prefill_score(capacity: ServerCapacity, need: GenerationNeed) -> float:
    """Return the part of an engine's score for the delay until prefill ends."""
    waiting_tokens = capacity.prefill_tokens + need.prompt_tokens
    delay_s = waiting_tokens / capacity.prefill_tokens_per_s
    late_s = max(0.0, delay_s - PREFILL_SHARE * need.objective_s)
    return PREFILL_WEIGHT_PER_S * delay_s + LATE_WEIGHT_PER_S * late_s


def fits(capacity: ServerCapacity, need: GenerationNeed) -> bool:
    """Return whether a server has a free slot and the memory for a generation."""
    if capacity.requests >= capacity.slots:
        return False
    if not capacity.memory_tokens:
        return True
    if capacity.requests == 0 and capacity.copy_tokens == 0:
        return True
    used_tokens = capacity.tokens + COPY_WEIGHT * capacity.copy_tokens + need.tokens
    return used_tokens <= MEMORY_FILL * capacity.memory_tokens


def choose_engine(
    need: GenerationNeed,
    capacities: Sequence[ServerCapacity],
    local_data_centre: ids.DataCentreId,
    rng: random.Random,
) -> ids.ServerId | None:
    """Return the engine to run a generation, or ``None`` if none has capacity."""
    scores = {
        capacity.server_id: engine_score(capacity, need, local_data_centre)
        for capacity in capacities
        if fits(capacity, need)
    }
    return draw_among_best(scores, rng)


def choose_move_target(
    need: GenerationNeed,
    capacities: Sequence[ServerCapacity],
    source_data_centre: ids.DataCentreId,
    rng: random.Random,
) -> ids.ServerId | None:
    """Return the engine to move the memory of a running generation to.

    Engines in the data centre of its current server are preferred, as the copy takes
    half the time. If there is no other, an engine above the limit for new requests is
    chosen, since the generation is lost without a copy.
    """
    scores = {}
    for capacity in capacities:
        if memory_fill(capacity, need.tokens) > MOVE_FILL:
            continue
        score = memory_fill(capacity, need.tokens)
        score += BATCH_WEIGHT * capacity.requests / capacity.slots
        score += MOVE_DISTANCE_PENALTY * (capacity.data_centre != source_data_centre)
        score += FULL_PENALTY * (not fits(capacity, need))
        score += MOVE_PREFILL_WEIGHT_PER_S * (
            capacity.prefill_tokens / capacity.prefill_tokens_per_s
        )
        score += CUT_OFF_PENALTY * capacity.is_cut_off
        scores[capacity.server_id] = score
    return draw_among_best(scores, rng)


def choose_backup(
    need: GenerationNeed,
    capacities: Sequence[ServerCapacity],
    local_data_centre: ids.DataCentreId,
    rng: random.Random,
) -> ids.ServerId | None:
    """Return the engine to hold a generation's backup, if one has capacity.

    Parameters
    ----------
    need : GenerationNeed
        The generation.
    capacities : sequence of ServerCapacity
        Engines other than the one that runs the generation.
    local_data_centre : DataCentreId
        Data centre of the engine that runs the generation.
    rng : random.Random
        Chooses among engines with about the same score.
    """
    if need.tokens < MIN_BACKUP_TOKENS or need.output_tokens == 0:
        return None
    scores = {
        capacity.server_id: engine_score(capacity, need, local_data_centre)
        for capacity in capacities
        if memory_fill(capacity, need.tokens) <= BACKUP_FILL
    }
    return draw_among_best(scores, rng)


def draw_among_best(
    scores: dict[ids.ServerId, float], rng: random.Random
) -> ids.ServerId | None:
    """Return a random server among those with about the lowest score."""
    if not scores:
        return None
    limit = min(scores.values()) + TIE_MARGIN
    return rng.choice(sorted(each for each, score in scores.items() if score <= limit))


def choose_service_server(
    capacities: Sequence[ServerCapacity],
    local_data_centre: ids.DataCentreId,
    rng: random.Random,
) -> ids.ServerId | None:
    """Return the server of a plain service with the fewest requests per slot."""
    scores = {}
    for capacity in capacities:
        distance = REMOTE_PENALTY_REQUESTS * (capacity.data_centre != local_data_centre)
        distance += CUT_OFF_PENALTY_REQUESTS * capacity.is_cut_off
        scores[capacity.server_id] = (capacity.requests + distance) / capacity.slots
    return draw_among_best(scores, rng)
