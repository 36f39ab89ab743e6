"""Decides which requests a gateway still serves while it shuts down.

Nothing here does input or output. A gateway that drains answers each request that it
reads: it serves those that end in time, and refuses the others before they run.
"""

import math

import msgspec

from quetzalpass import ids

# The load balancer removes a gateway after two failed health checks, a second apart.
BALANCER_REMOVAL_S = 2.5
# Between the last possible response and the end of the drain.
RESPONSE_MARGIN_S = 0.3
# Servers that are nearly full take longer than they did a moment ago.
DURATION_MARGIN = 2.0
DURATION_WINDOW_S = 30.0
# Routes come from the declaration, so old ones may be many.
MAX_ROUTES = 1_024


class DrainSchedule(msgspec.Struct, frozen=True):
    """When a gateway began to drain, and when it interrupts what still runs.

    Attributes
    ----------
    begun_s, ends_s : float
        Event loop times.
    """

    begun_s: float
    ends_s: float

    @property
    def removed_s(self) -> float:
        """Return when the load balancer has removed this gateway.

        It goes on to send connections if too few gateways are left.
        """
        return self.begun_s + BALANCER_REMOVAL_S

    def may_serve(
        self, now_s: float, arrived_s: float, deadline_s: float, expected_s: float
    ) -> bool:
        """Return whether a request ends before the drain does.

        Until the load balancer has removed this gateway, callers can't avoid it, so
        the expected duration is enough. For later requests the deadline alone decides,
        so that none of them can be interrupted.

        Parameters
        ----------
        now_s : float
            Event loop time.
        arrived_s : float
            When the request arrived.
        deadline_s : float
            When it gets a response at the latest.
        expected_s : float
            How long it is expected to run, in seconds; infinite if that is not known.
        """
        last_response_s = self.ends_s - RESPONSE_MARGIN_S
        if deadline_s <= last_response_s:
            return True
        return arrived_s <= self.removed_s and now_s + expected_s <= last_response_s


class RecentMaximum(msgspec.Struct):
    """Longest duration of the current window and of the one before it.

    Attributes
    ----------
    window_begun_s : float
        Event loop time at which the current window began.
    current_s, previous_s : float
        Longest durations, in seconds.
    """

    window_begun_s: float
    current_s: float = 0.0
    previous_s: float = 0.0

    def advance(self, now_s: float) -> None:
        """Begin a new window if the current one is over."""
        age_s = now_s - self.window_begun_s
        if age_s < DURATION_WINDOW_S:
            return
        is_next = age_s < 2 * DURATION_WINDOW_S
        self.previous_s = self.current_s if is_next else 0.0
        self.current_s = 0.0
        self.window_begun_s = now_s


class RouteDurations:
    """How long the calls of each route took lately.

    Attributes
    ----------
    by_route : dict of RouteName to RecentMaximum
        The longest durations.
    """

    def __init__(self) -> None:
        self.by_route: dict[ids.RouteName, RecentMaximum] = {}

    def observe(self, route: ids.RouteName, duration_s: float, now_s: float) -> None:
        """Record how long a call took."""
        recent = self.by_route.get(route)
        if recent is None:
            if len(self.by_route) >= MAX_ROUTES:
                self.by_route.clear()
            recent = self.by_route[route] = RecentMaximum(now_s)
        recent.advance(now_s)
        recent.current_s = max(recent.current_s, duration_s)

    def expected_s(self, route: ids.RouteName, now_s: float) -> float:
        """Return how long a call may be expected to take, with a margin."""
        recent = self.by_route.get(route)
        if recent is None:
            return math.inf
        recent.advance(now_s)
        longest_s = max(recent.current_s, recent.previous_s)
        return DURATION_MARGIN * longest_s if longest_s else math.inf
