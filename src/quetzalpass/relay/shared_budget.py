"""Retry budget that all gateways share without exchanging messages."""

import collections

import msgspec

from quetzalpass import ids

# Part of the allowed retries that is used. The rest is a margin, because gateways count
# separately and their retries may fall into one window.
SAFETY_SHARE = 0.7
# Gateways report four times a second.
MAX_REPORT_AGE_S = 1.0


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


class GatewayCount(msgspec.Struct, frozen=True):
    """Number of gateways as reported at one time."""

    at_s: float
    count: int


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


class OtherGateways(msgspec.Struct, frozen=True):
    """What is known about the other gateways.

    Attributes
    ----------
    retries : dict of ServiceName to int
        Retries of all others within the window, by service.
    at_s : float
        Time at which this was reported.
    """

    retries: dict[ids.ServiceName, int]
    at_s: float


class SharedBudget:
    """One gateway's part of the retries of each service.

    A gateway may retry in proportion to the requests that it receives itself, and has
    an equal part of the further retries. Generations that continue on another server
    count too, but are ended if they may not: they may use what all gateways together
    have left, as far as the others have reported.

    Parameters
    ----------
    rules : BudgetRules
        Limit over all gateways.
    started_s : float or None
        Start of this process. For one window, the process before it may have used up
        its part of the further retries. ``None`` if there was none.

    Attributes
    ----------
    gateways : int
        Largest number of gateways within the last window; 0 if none is known, which
        allows no further retries. The number falls while a new control node collects
        the first reports, and when gateways are cut off that still serve callers.
    """

    def __init__(self, rules: BudgetRules, started_s: float | None = None) -> None:
        self.rules = rules
        self.started_s = started_s
        self.gateways = 1 if started_s is None else 0
        self.counts: collections.deque[GatewayCount] = collections.deque()
        self.others: OtherGateways | None = None
        self.windows: dict[ids.ServiceName, Window] = {}

    def update_gateways(
        self, count: int, retries: dict[ids.ServiceName, int], now_s: float
    ) -> None:
        """Apply a report of the number of gateways and the retries of the others."""
        self.counts.append(GatewayCount(now_s, count))
        while self.counts[0].at_s < now_s - self.rules.window_s:
            self.counts.popleft()
        self.gateways = max(each.count for each in self.counts)
        self.others = OtherGateways(retries, now_s)

    def window(self, service: ids.ServiceName, now_s: float) -> Window:
        """Return the window of a service without its expired entries."""
        found = self.windows.setdefault(service, Window())
        found.remove_before(now_s - self.rules.window_s)
        return found

    def record_request(self, service: ids.ServiceName, now_s: float) -> None:
        """Record a request of a caller."""
        self.window(service, now_s).requests.append(now_s)

    def cancel_request(self, service: ids.ServiceName, now_s: float) -> None:
        """Stop counting a request, as another gateway counts it."""
        requests = self.window(service, now_s).requests
        if requests:
            requests.pop()

    def retry_counts(self, now_s: float) -> dict[ids.ServiceName, int]:
        """Return the retries of this gateway within the window, by service."""
        counts = {each: len(self.window(each, now_s).retries) for each in self.windows}
        return {service: count for service, count in counts.items() if count}

    def remaining(self, service: ids.ServiceName, now_s: float) -> float:
        """Return how many retries this gateway may still make now."""
        window = self.window(service, now_s)
        allowed = SAFETY_SHARE * self.rules.ratio * len(window.requests)
        if self.gateways:
            extra = self.rules.extra / self.gateways
            allowed += self.usable_share(now_s) * extra
        return allowed - len(window.retries)

    def remaining_of_all(self, service: ids.ServiceName, now_s: float) -> float:
        """Return how many retries all gateways together may still make now.

        Without a recent report of the others, only this gateway's part is certain.
        """
        if self.others is None or now_s - self.others.at_s > MAX_REPORT_AGE_S:
            return self.remaining(service, now_s)
        window = self.window(service, now_s)
        allowed = self.rules.ratio * len(window.requests) + self.rules.extra
        used = len(window.retries) + self.others.retries.get(service, 0)
        return SAFETY_SHARE * allowed - used

    def usable_share(self, now_s: float) -> float:
        """Return which part of its further retries this gateway may use."""
        if self.started_s is None or now_s >= self.started_s + self.rules.window_s:
            return SAFETY_SHARE
        return 1.0 - SAFETY_SHARE

    def try_withdraw(self, service: ids.ServiceName, now_s: float) -> bool:
        """Withdraw one retry; return whether one was left."""
        if self.remaining(service, now_s) < 1.0:
            return False
        self.windows[service].retries.append(now_s)
        return True

    def try_withdraw_resume(self, service: ids.ServiceName, now_s: float) -> bool:
        """Withdraw one retry for a generation that continues on another server."""
        if self.remaining_of_all(service, now_s) < 1.0:
            return False
        self.windows[service].retries.append(now_s)
        return True
