"""Queue of waiting requests for one model and version."""

from quetzalpass import ids
from quetzalpass.routing import queues, work

# Resumed streams are placed right after priority 0.
RESUMED_POSITION = 1
SHORTEST_RETRY_MS = 100
LONGEST_RETRY_MS = 30_000
RATE_WEIGHT = 0.05


def queue_position(item: work.WorkItem) -> int:
    """Return the queue position of a request; lower positions are placed first.

    Callers of resumed streams are stalled, so only priority 0 is placed before them.
    """
    position = 2 * item.priority
    return min(position, RESUMED_POSITION) if item.generated_tokens else position


class ModelQueue:
    """Queue of one model and version, with a fair queue for each position."""

    def __init__(self, weights: dict[ids.OrganisationId, float]) -> None:
        self.weights = weights
        self.fair_queues: dict[int, queues.FairQueue] = {}
        # Position of the first request if it couldn't be placed at the last attempt.
        self.blocked_position: int | None = None
        self.seconds_per_dispatch = 0.0
        self.last_dispatch_s: float | None = None

    @property
    def size(self) -> int:
        """Requests that wait."""
        return sum(queue.size for queue in self.fair_queues.values())

    def fair_queue(self, position: int) -> queues.FairQueue:
        """Return the fair queue of a position; create it if missing."""
        found = self.fair_queues.get(position)
        if found is None:
            self.fair_queues[position] = found = queues.FairQueue(self.weights)
            self.fair_queues = dict(sorted(self.fair_queues.items()))
        return found

    def first_position(self) -> int:
        """Return the position of the most urgent waiting requests."""
        return next(
            position for position, queue in self.fair_queues.items() if queue.size
        )

    def count_dispatch(self, now_s: float) -> None:
        """Update the mean time between dispatches."""
        if self.last_dispatch_s is not None:
            passed_s = now_s - self.last_dispatch_s
            self.seconds_per_dispatch += RATE_WEIGHT * (
                passed_s - self.seconds_per_dispatch
            )
        self.last_dispatch_s = now_s

    def retry_after_ms(self) -> int:
        """Return when to retry a refused request: after the queue has drained."""
        wait_ms = round(1000 * self.size * self.seconds_per_dispatch)
        return max(SHORTEST_RETRY_MS, min(LONGEST_RETRY_MS, wait_ms))
