"""The gateway's queue for one model and version, over all fair_queues."""

from quetzalpass import ids
from quetzalpass.routing import queues, work

# Resumed streams come right after priority 0.
RESUMED_POSITION = 1
MIN_RETRY_MS = 100
MAX_RETRY_MS = 30_000
INTERVAL_WEIGHT = 0.05


def queue_position(item: work.WorkItem) -> int:
    """Return the place in the queue: resumed streams stall, so only 0 goes first."""
    position = 2 * item.priority
    return min(position, RESUMED_POSITION) if item.generated_tokens else position


class ModelQueue:
    """Queue of one model and version, with a fair queue for each priority."""

    def __init__(self, weights: dict[ids.OrganisationId, float]) -> None:
        self.weights = weights
        self.fair_queues: dict[int, queues.FairQueue] = {}
        # Place in the queue of the first request, when it last found no room.
        self.blocked_position: int | None = None
        self.seconds_per_dispatch = 0.0
        self.last_dispatch_s: float | None = None

    @property
    def size(self) -> int:
        """Requests that wait."""
        return sum(queue.size for queue in self.fair_queues.values())

    def fair_queue(self, position: int) -> queues.FairQueue:
        """Return the fair queue of a priority, made on first use."""
        found = self.fair_queues.get(position)
        if found is None:
            self.fair_queues[position] = found = queues.FairQueue(self.weights)
            self.fair_queues = dict(sorted(self.fair_queues.items()))
        return found

    def first_position(self) -> int:
        """Return the place of the most urgent requests that wait."""
        return next(
            position for position, queue in self.fair_queues.items() if queue.size
        )

    def record_dispatch(self, now_s: float) -> None:
        """Learn how often a place becomes free."""
        if self.last_dispatch_s is not None:
            passed_s = now_s - self.last_dispatch_s
            self.seconds_per_dispatch += INTERVAL_WEIGHT * (
                passed_s - self.seconds_per_dispatch
            )
        self.last_dispatch_s = now_s

    def retry_after_ms(self) -> int:
        """Return when a refused request should come back: once the queue is served."""
        wait_ms = round(1000 * self.size * self.seconds_per_dispatch)
        return max(MIN_RETRY_MS, min(MAX_RETRY_MS, wait_ms))
