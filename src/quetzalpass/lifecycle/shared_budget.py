"""Retry budget that all gateways share without exchanging messages."""

import collections

import msgspec

from quetzalpass import ids

# Part of the allowed retries that is used. The rest is a margin, because gateways count
# separately and their retries may fall into one window.
SAFETY_SHARE = 0.7


class BudgetRules(msgspec.Struct, frozen=True):
    """Limit on the retries that a service may receive in any window.

    Attributes
    ----------
    ratio : float
        Retries allowed for each request.
    extra : float
        Further retries that are allowed, over all gateways.
    window_s : float
        Length of the window, in seconds.
    """

    ratio: float = 0.2
    extra: float = 50.0
    window_s: float = 10.0


class Window:
    """Times of the requests and retries of one service within the last window."""

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def remove_before(self, time_s: float) -> None:
        """Remove all entries older than a time."""
        for times in (self.requests, self.retries):
            while times and times[0] < time_s:
                times.popleft()


class SharedBudget:
    """One gateway's part of the retries of each service.

    A gateway may retry in proportion to the requests that it receives itself, and has
    an equal part of the further retries. Thus no messages between gateways are needed.

    Parameters
    ----------
    rules : BudgetRules
        Limit over all gateways.
    """

    def __init__(self, rules: BudgetRules) -> None:
        self.rules = rules
        self.gateways = 1
        self.windows: dict[ids.ServiceName, Window] = {}

    def window(self, service: ids.ServiceName, now_s: float) -> Window:
        """Return the window of a service without its expired entries."""
        found = self.windows.setdefault(service, Window())
        found.remove_before(now_s - self.rules.window_s)
        return found

    def record_request(self, service: ids.ServiceName, now_s: float) -> None:
        """Record a request of a caller."""
        self.window(service, now_s).requests.append(now_s)

    def remaining(self, service: ids.ServiceName, now_s: float) -> float:
        """Return how many retries this gateway may still make now."""
        window = self.window(service, now_s)
        allowed = self.rules.ratio * len(window.requests)
        allowed += self.rules.extra / self.gateways
        return SAFETY_SHARE * allowed - len(window.retries)

    def try_withdraw(self, service: ids.ServiceName, now_s: float) -> bool:
        """Withdraw one retry; return whether one was left."""
        if self.remaining(service, now_s) < 1.0:
            return False
        self.windows[service].retries.append(now_s)
        return True
