"""A budget of repeated sends that all gateways share without asking each other."""

import collections

import msgspec

from quetzalpass import ids

# What several gateways count apart may fall into one window, so some is left over.
SAFETY_SHARE = 0.7


class BudgetRules(msgspec.Struct, frozen=True):
    """How many repeats a service may get in any window.

    Attributes
    ----------
    ratio : float
        Repeats allowed for each request.
    extra : float
        Repeats that are allowed besides, over all gateways.
    window_s : float
        Length of the window, in seconds.
    """

    ratio: float = 0.2
    extra: float = 50.0
    window_s: float = 10.0


class Window:
    """Requests and repeats of one service within the last window."""

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def remove_before(self, time_s: float) -> None:
        """Drop what is older than a time."""
        for times in (self.requests, self.retries):
            while times and times[0] < time_s:
                times.popleft()


class SharedBudget:
    """Part of the repeats of a service that one gateway may use.

    Each gateway may repeat in proportion to the requests that it sees itself, and takes
    an equal part of the rest; so no message is needed for a repeat.

    Parameters
    ----------
    rules : BudgetRules
        What is allowed over all gateways.
    """

    def __init__(self, rules: BudgetRules) -> None:
        self.rules = rules
        self.gateways = 1
        self.windows: dict[ids.ServiceName, Window] = {}

    def window(self, service: ids.ServiceName, now_s: float) -> Window:
        """Return the window of a service as of now."""
        found = self.windows.setdefault(service, Window())
        found.remove_before(now_s - self.rules.window_s)
        return found

    def record_request(self, service: ids.ServiceName, now_s: float) -> None:
        """Count a request of a caller."""
        self.window(service, now_s).requests.append(now_s)

    def remaining(self, service: ids.ServiceName, now_s: float) -> float:
        """Return how many repeats are left now."""
        window = self.window(service, now_s)
        allowed = self.rules.ratio * len(window.requests)
        allowed += self.rules.extra / self.gateways
        return SAFETY_SHARE * allowed - len(window.retries)

    def try_withdraw(self, service: ids.ServiceName, now_s: float) -> bool:
        """Take one repeat; return whether there was one left."""
        if self.remaining(service, now_s) < 1.0:
            return False
        self.windows[service].retries.append(now_s)
        return True
