"""Order in which relayed requests wait for a server, without any input or output.

Load patterns that the order answers:

- A burst fills the queues: what can still be answered within its objective goes before
  what is late already, so that one burst doesn't make all that follows late too.
- One class bursts beside another: the more urgent class goes first, and a request that
  fits may pass one that does not, until that one has been passed for too long.
- Callers that repeat at once: a request that can't be placed in time is refused at
  once, with a time to come back that is spread at random.
"""

import random

import msgspec

from quetzalpass import ids
from quetzalpass.routing import relay_placement

# Part of the objective that is left to the engine's own work on the prompt.
START_SHARE = 0.4
# A waiting request that was passed for so long keeps smaller ones from passing it.
MAX_OVERTAKING_S = 1.0
MIN_RETRY_S = 0.5
RETRY_JITTER = 0.5
# Callers honour a time to come back up to a third of the time that they have left.
MAX_RETRY_SHARE = 0.3


class WaitingRequest(msgspec.Struct, frozen=True):
    """A request that waits for room on an engine.

    Attributes
    ----------
    request_id : RequestId
        The request.
    rank : int
        Its priority, 0 first.
    need : relay_placement.GenerationNeed
        Memory that it needs.
    arrived_s : float
        Loop time of its arrival.
    objective_s : float
        Time from its arrival to its first event that its route asks for.
    max_wait_s : float
        How long it may wait at most.
    """

    request_id: ids.RequestId
    rank: int
    need: relay_placement.GenerationNeed
    arrived_s: float
    objective_s: float
    max_wait_s: float

    @property
    def start_by_s(self) -> float:
        """Return the loop time by which it must start to meet its objective."""
        return self.arrived_s + START_SHARE * self.objective_s

    @property
    def expires_at_s(self) -> float:
        """Return the loop time at which it is refused."""
        return self.arrived_s + self.max_wait_s


class WaitingList:
    """Requests of one service that wait for room.

    Attributes
    ----------
    waiting : dict of RequestId to WaitingRequest
        All that wait.
    """

    def __init__(self) -> None:
        self.waiting: dict[ids.RequestId, WaitingRequest] = {}

    def add(self, request: WaitingRequest) -> None:
        """Have a request wait."""
        self.waiting[request.request_id] = request

    def remove(self, request_id: ids.RequestId) -> None:
        """Forget a request; it is no error if it doesn't wait."""
        self.waiting.pop(request_id, None)

    def in_order(self, now_s: float) -> list[WaitingRequest]:
        """Return the requests in the order in which they are to be placed."""

        def sort_key(request: WaitingRequest) -> tuple[bool, int, float]:
            is_late = now_s > request.start_by_s
            return is_late, request.rank, request.arrived_s

        return sorted(self.waiting.values(), key=sort_key)

    def blocks_others(self, request: WaitingRequest, now_s: float) -> bool:
        """Return whether nothing may pass a request that finds no room."""
        is_on_time = now_s <= request.start_by_s
        return is_on_time and now_s - request.arrived_s > MAX_OVERTAKING_S

    def expired(self, now_s: float) -> list[WaitingRequest]:
        """Return the requests that have waited for too long."""
        return [each for each in self.waiting.values() if each.expires_at_s <= now_s]


def retry_delay_s(time_left_s: float, rng: random.Random) -> float:
    """Return when a refused caller should come back, in seconds.

    Spread at random, so that callers who were refused together don't return together.
    """
    max_delay_s = max(0.0, time_left_s * MAX_RETRY_SHARE)
    delay_s = MIN_RETRY_S * (1.0 + RETRY_JITTER * rng.random())
    return min(max_delay_s, delay_s)
