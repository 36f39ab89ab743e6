"""Choice of backend servers for relayed requests, without any input or output.

Load patterns that the choices answer:

- Drafts of unknown length fill an engine's memory in the middle of decoding, and it
  then puts out running work: a generation is placed by the memory that it is expected
  to reach, on top of what all gateways have placed there.
- Engines are reclaimed at short notice: each long generation gets a backup on another
  engine, as long as that leaves room for new work.
- An engine that has just come is empty, and would get all that waits: reading so many
  prompts takes it seconds. A placement counts the prompts that are still to be read.
- A data centre is cut off: after one connection that could not be opened, its other
  servers are tried last for a moment.
- Several gateways decide on the same reports: among servers that are about as good one
  is drawn by lot.
"""

import random
from collections.abc import Sequence

import msgspec

from quetzalpass import ids

# Part of an engine's memory that expected use may reach. The generations on one engine
# reach their largest sizes at different times, so that no reserve is needed.
MEMORY_FILL = 1.0
# Part of a generation's expected growth that is kept free for it.
GROWTH_SHARE = 0.8
OVERRUN_FACTOR = 1.25
# Part of a backup's memory that counts against new work.
COPY_WEIGHT = 1.0
# Part that may be taken when a backup is placed, so that new work finds room.
BACKUP_FILL = 0.4
# A generation below this size is over before a backup would be of use, in tokens.
MIN_BACKUP_TOKENS = 2_000
BATCH_WEIGHT = 0.5
COLD_PENALTY = 0.3
DISTANCE_PENALTY = 0.02
# Copying memory to another data centre takes twice as long.
MOVE_DISTANCE_PENALTY = 0.8
FULL_PENALTY = 1.0
# Part of an engine's memory up to which a copy is sent to it; above, running work would
# be put out.
MOVE_FILL = 1.0
CUT_OFF_PENALTY = 3.0
# A generation that moves pauses while prompts are read at its next engine.
MOVE_PREFILL_WEIGHT_PER_S = 1.0
# Score of a second that a prompt waits until it is read, and of one that makes its
# first event late.
PREFILL_WEIGHT_PER_S = 0.3
LATE_WEIGHT_PER_S = 3.0
# Part of the objective within which a prompt should be read.
PREFILL_SHARE = 0.5
# Scores that differ by less count as equal.
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
        Tokens of output that it is expected to reach.
    made_tokens : int
        Tokens of output that it has made.
    max_output_tokens : int or None
        Most tokens of output that it may make.
    objective_s : float
        Time to the first event that its route asks for.
    """

    prompt_tokens: int
    output_tokens: int
    made_tokens: int = 0
    max_output_tokens: int | None = None
    objective_s: float = 1.0

    @property
    def tokens(self) -> int:
        """Return the memory to keep for it, in tokens.

        Generations on one engine are at different points of their output, and some end
        before others have grown; so only a part of the growth is kept. One that has got
        past its estimate is likely to go on for a while.
        """
        expected = max(self.output_tokens, int(OVERRUN_FACTOR * self.made_tokens))
        if self.max_output_tokens is not None:
            expected = min(expected, self.max_output_tokens)
        growth = max(0, expected - self.made_tokens)
        return self.prompt_tokens + self.made_tokens + int(GROWTH_SHARE * growth)


class ServerCapacity(msgspec.Struct, frozen=True):
    """What is known of one server at the time of a decision.

    Attributes
    ----------
    server_id : ServerId
        The server.
    data_centre : DataCentreId
        Where it runs.
    requests : int
        Requests of all gateways on it.
    tokens : int
        Memory that these are expected to reach, in tokens.
    copy_tokens : int
        Memory that backups on it are expected to reach, in tokens.
    prefill_tokens : int
        Prompt tokens of requests on it whose first event has not come.
    slots : int
        Requests that run at once.
    memory_tokens : int
        Its memory; 0 for a plain service.
    prefill_tokens_per_s : float
        Prompt tokens that it reads in a second.
    is_cold : bool
        It has just started and is slow.
    is_cut_off : bool
        Its data centre could not be reached a moment ago.
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
    """Return the part of an engine's memory in use with some more tokens."""
    return (
        capacity.tokens + capacity.copy_tokens + more_tokens
    ) / capacity.memory_tokens


def describe(capacity: ServerCapacity, need: GenerationNeed) -> str:
    """Return the figures that decided for an engine, for the log."""
    return (
        f"memory {memory_fill(capacity, need.tokens):.2f} full with it, "
        f"{capacity.requests} running, {capacity.prefill_tokens} prompt tokens ahead"
    )


def engine_score(
    capacity: ServerCapacity, need: GenerationNeed, local_data_centre: ids.DataCentreId
) -> float:
    """Return how crowded an engine would be; lower is better."""
    score = (
        memory_fill(capacity, need.tokens)
        + BATCH_WEIGHT * capacity.requests / capacity.slots
    )
    score += prefill_score(capacity, need)
    score += COLD_PENALTY * capacity.is_cold
    score += CUT_OFF_PENALTY * capacity.is_cut_off
    return score + DISTANCE_PENALTY * (capacity.data_centre != local_data_centre)


def prefill_score(capacity: ServerCapacity, need: GenerationNeed) -> float:
    """Return how bad it is that a prompt waits for those before it."""
    waiting_tokens = capacity.prefill_tokens + need.prompt_tokens
    delay_s = waiting_tokens / capacity.prefill_tokens_per_s
    late_s = max(0.0, delay_s - PREFILL_SHARE * need.objective_s)
    return PREFILL_WEIGHT_PER_S * delay_s + LATE_WEIGHT_PER_S * late_s


def fits(capacity: ServerCapacity, need: GenerationNeed) -> bool:
    """Return whether an engine has a place and the memory for a generation."""
    if capacity.requests >= capacity.slots:
        return False
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
    """Return the engine that is to run a generation, or None if none has capacity."""
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
    """Return the engine that is to get the memory of a running generation.

    One in the data centre of its present server is preferred, as the copy gets there
    in half the time. An engine above the limit for new work is taken if there is no
    other, since without a copy the generation is lost.
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
    """Return the engine that is to hold a generation's backup, if one has room.

    Parameters
    ----------
    need : GenerationNeed
        The generation.
    capacities : sequence of ServerCapacity
        Engines other than the one that runs it.
    local_data_centre : DataCentreId
        Data centre of the engine that runs it.
    rng : random.Random
        Draws among engines that are about as good.
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
    """Return one of the servers whose score is about the lowest."""
    if not scores:
        return None
    limit = min(scores.values()) + TIE_MARGIN
    return rng.choice(sorted(each for each, score in scores.items() if score <= limit))


def choose_service_server(
    capacities: Sequence[ServerCapacity],
    local_data_centre: ids.DataCentreId,
    rng: random.Random,
) -> ids.ServerId | None:
    """Return the server of a plain service with the fewest requests for its size."""
    scores = {}
    for capacity in capacities:
        distance = REMOTE_PENALTY_REQUESTS * (capacity.data_centre != local_data_centre)
        distance += CUT_OFF_PENALTY_REQUESTS * capacity.is_cut_off
        scores[capacity.server_id] = (capacity.requests + distance) / capacity.slots
    return draw_among_best(scores, rng)
