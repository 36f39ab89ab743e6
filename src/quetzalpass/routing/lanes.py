"""The gateway's queue for one model and version, over all priorities."""

from quetzalpass import ids
from quetzalpass.routing import queues, work

# Resumed streams come right after priority 0.
RESUMED_PLACE = 1
SHORTEST_RETRY_MS = 100
LONGEST_RETRY_MS = 30_000
RATE_WEIGHT = 0.05


def queue_priority(item: work.WorkItem) -> int:
    """Return the place in the queue: resumed streams stall, so only 0 goes first."""
    place = 2 * item.priority
    return min(place, RESUMED_PLACE) if item.generated_tokens else place


class Lane:
    """Queue of one model and version, with a fair queue for each priority."""

    def __init__(self, weights: dict[ids.OrganisationId, float]) -> None:
        self.weights = weights
        self.priorities: dict[int, queues.FairQueue] = {}
        # Place in the queue of the first request, when it last found no room.
        self.stuck_place: int | None = None
        self.seconds_per_dispatch = 0.0
        self.last_dispatch_s: float | None = None

    @property
    def size(self) -> int:
        """Requests that wait."""
        return sum(queue.size for queue in self.priorities.values())

    def queue(self, priority: int) -> queues.FairQueue:
        """Return the fair queue of a priority, made on first use."""
        found = self.priorities.get(priority)
        if found is None:
            self.priorities[priority] = found = queues.FairQueue(self.weights)
            self.priorities = dict(sorted(self.priorities.items()))
        return found

    def first_place(self) -> int:
        """Return the place of the most urgent requests that wait."""
        return next(place for place, queue in self.priorities.items() if queue.size)

    def count_dispatch(self, now_s: float) -> None:
        """Learn how often a place becomes free."""
        if self.last_dispatch_s is not None:
            passed_s = now_s - self.last_dispatch_s
            self.seconds_per_dispatch += RATE_WEIGHT * (
                passed_s - self.seconds_per_dispatch
            )
        self.last_dispatch_s = now_s

    def retry_after_ms(self) -> int:
        """Return when a refused request should come back: once the queue is served."""
        wait_ms = round(1000 * self.size * self.seconds_per_dispatch)
        return max(SHORTEST_RETRY_MS, min(LONGEST_RETRY_MS, wait_ms))
