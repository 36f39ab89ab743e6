"""Requests that run on backend servers, and the memory they are predicted to need."""

import msgspec

from quetzalpass import ids
from quetzalpass.routing import lengths, work

# Further tokens per sequence at which memory is predicted. Short horizons show when
# memory fills up next; long ones show whether sequences that have just started will
# fill it together later.
HORIZONS_TOKENS = (0, 64, 256, 640, 1024, 1536, 1984, 2560)


class Demand(msgspec.Struct):
    """Predicted memory, in tokens, at each horizon.

    Attributes
    ----------
    sequences : int
        Number of requests in the sum.
    prefill_tokens : float
        Prompt tokens not computed yet.
    mean : list of float
        Expected tokens held at each horizon.
    variance : list of float
        Variance of the tokens held at each horizon.
    """

    sequences: int
    prefill_tokens: float
    mean: list[float]
    variance: list[float]

    def add(self, other: "Demand") -> None:
        """Add another demand."""
        self.sequences += other.sequences
        self.prefill_tokens += other.prefill_tokens
        self.mean = [a + b for a, b in zip(self.mean, other.mean, strict=True)]
        self.variance = [
            a + b for a, b in zip(self.variance, other.variance, strict=True)
        ]

    def subtract(self, other: "Demand") -> None:
        """Subtract a demand that was added before."""
        self.sequences -= other.sequences
        self.prefill_tokens -= other.prefill_tokens
        self.mean = [a - b for a, b in zip(self.mean, other.mean, strict=True)]
        self.variance = [
            a - b for a, b in zip(self.variance, other.variance, strict=True)
        ]

    def copy(self) -> "Demand":
        """Return a copy; it shares the lists, which are never changed in place."""
        return Demand(self.sequences, self.prefill_tokens, self.mean, self.variance)


def empty_demand() -> Demand:
    """Return an empty demand."""
    size = len(HORIZONS_TOKENS)
    return Demand(0, 0.0, [0.0] * size, [0.0] * size)


def predict_demand(
    item: work.WorkItem,
    generated: int,
    prefill_tokens: float,
    table: lengths.LifeTable,
    shared_tokens: int = 0,
) -> Demand:
    """Predict the memory that one request will need.

    Parameters
    ----------
    item : work.WorkItem
        The request.
    generated : int
        Tokens generated so far.
    prefill_tokens : float
        Prompt tokens not computed yet.
    table : lengths.LifeTable
        Life table of its class.
    shared_tokens : int
        Prompt tokens that the server already holds for other requests.
    """
    held = item.prompt_tokens - shared_tokens + generated
    chances = lengths.survival_chances(
        table, generated, HORIZONS_TOKENS, item.max_tokens
    )
    later = [held + horizon for horizon in HORIZONS_TOKENS]
    mean = [tokens * chance for tokens, chance in zip(later, chances, strict=True)]
    variance = [
        part * (tokens - part) for tokens, part in zip(later, mean, strict=True)
    ]
    return Demand(1, prefill_tokens, mean, variance)


class InFlightRequest:
    """A request on a backend server, from its dispatch to its release."""

    def __init__(
        self,
        item: work.WorkItem,
        choice: work.Choice,
        dispatched_s: float,
        demand: Demand,
    ) -> None:
        self.item = item
        self.choice = choice
        self.server_id: ids.ServerId = choice.server_id
        self.dispatched_s = dispatched_s
        self.generated = item.generated_tokens
        self.demand = demand
        # Number of generated tokens at which the demand is predicted again.
        self.next_refresh_tokens = self.generated + 1
        self.bucket = lengths.bucket_index(self.generated + 1)
