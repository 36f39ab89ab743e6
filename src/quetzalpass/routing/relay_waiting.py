"""Order in which relayed requests wait for a server, without any input or output.

Load patterns that it handles:

- A burst fills the queues. Requests that can still meet their objective are placed
  before those that are already late, so that one burst doesn't make all later requests
  late too.
- One class has a burst while others send requests too. The more urgent class is placed
  first, and a request that fits may overtake one that doesn't, for a limited time.
- Callers retry at once. A request that can't be placed in time is refused immediately,
  with a randomised time after which to retry.
"""

import random

import msgspec

from quetzalpass import ids
from quetzalpass.routing import relay_placement

# A request is late if it isn't placed within this share of its objective; the engine
# needs the rest for the prompt.
START_SHARE = 0.4
# After this wait a request can't be overtaken by smaller ones any more.
MAX_OVERTAKING_S = 1.0
MIN_RETRY_S = 0.5
RETRY_JITTER = 0.5
# Callers wait for the retry time only up to a third of their remaining time.
MAX_RETRY_SHARE = 0.3


class WaitingRequest(msgspec.Struct, frozen=True):
    """A request that waits for capacity on an engine.

    Attributes
    ----------
    request_id : RequestId
        The request.
    rank : int
        Its priority; lower numbers are placed first.
    need : relay_placement.GenerationNeed
        Memory that it needs.
    arrived_s : float
        Event loop time of its arrival.
    objective_s : float
        Objective of its route for the time from its arrival to the first event.
    max_wait_s : float
        Longest time that it may wait.
    """

    request_id: ids.RequestId
    rank: int
    need: relay_placement.GenerationNeed
    arrived_s: float
    objective_s: float
    max_wait_s: float

    @property
    def start_by_s(self) -> float:
        """Return the event loop time by which it must start to meet its objective."""
        return self.arrived_s + START_SHARE * self.objective_s

    @property
    def expires_at_s(self) -> float:
        """Return the event loop time at which it is refused."""
        return self.arrived_s + self.max_wait_s


class WaitingList:
    """Requests of one service that wait for capacity.

    Attributes
    ----------
    waiting : dict of RequestId to WaitingRequest
        All waiting requests.
    """

    def __init__(self) -> None:
        self.waiting: dict[ids.RequestId, WaitingRequest] = {}

    def add(self, request: WaitingRequest) -> None:
        """Add a request."""
        self.waiting[request.request_id] = request

    def remove(self, request_id: ids.RequestId) -> None:
        """Remove a request if it is in the list."""
        self.waiting.pop(request_id, None)

    def in_order(self, now_s: float) -> list[WaitingRequest]:
        """Return the requests in the order in which to place them."""

        def sort_key(request: WaitingRequest) -> tuple[bool, int, float]:
            is_late = now_s > request.start_by_s
            return is_late, request.rank, request.arrived_s

        return sorted(self.waiting.values(), key=sort_key)

    def blocks_others(self, request: WaitingRequest, now_s: float) -> bool:
        """Return whether a request that fits nowhere blocks those behind it."""
        is_on_time = now_s <= request.start_by_s
        return is_on_time and now_s - request.arrived_s > MAX_OVERTAKING_S

    def expired(self, now_s: float) -> list[WaitingRequest]:
        """Return the requests that have reached their longest wait."""
        return [each for each in self.waiting.values() if each.expires_at_s <= now_s]


def retry_delay_s(
    time_left_s: float, rng: random.Random, min_delay_s: float = 0.0
) -> float:
    """Return after how many seconds a refused caller should retry.

    The delay is randomised, so that callers refused together don't retry together.

    Parameters
    ----------
    time_left_s : float
        Time until the caller's deadline, in seconds.
    rng : random.Random
        Source of randomness.
    min_delay_s : float
        Time before which a retry would be refused again, in seconds.
    """
    max_delay_s = max(0.0, time_left_s * MAX_RETRY_SHARE)
    delay_s = max(MIN_RETRY_S, min_delay_s) * (1.0 + RETRY_JITTER * rng.random())
    return min(max_delay_s, delay_s)
