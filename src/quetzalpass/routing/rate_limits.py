"""Limits on the rate of requests that servers name, without any input or output.

Load pattern that it handles: a server in need takes a few requests per second from all
gateways together, and says so in its responses only. Gateways that send it nothing
hear nothing, so what one of them reads is passed on to the others with its age.
"""

import math
from collections.abc import Iterable

import msgspec

from quetzalpass import ids

# Responses without a limit end it only after this time. A single one may be older than
# the limit, as responses overtake each other.
END_AFTER_S = 1.0
# Without any response, a limit holds for this time. A server in need may lose some;
# one without a limit any more says so in its first response.
HOLD_S = 30.0


class NamedLimit(msgspec.Struct):
    """The limit of one server.

    Attributes
    ----------
    per_s : float
        Requests per second from all gateways together.
    named_s : float
        Loop time of the newest response that named it.
    unnamed_s : float
        Loop time of the newest response that named no limit.
    """

    per_s: float
    named_s: float
    unnamed_s: float = -math.inf

    def holds(self, now_s: float) -> bool:
        """Return whether the limit is still in force."""
        age_s = now_s - self.named_s
        if self.unnamed_s > self.named_s and age_s >= END_AFTER_S:
            return False
        return age_s < HOLD_S


class LimitReport(msgspec.Struct, frozen=True):
    """What one process knows about the limit of a server.

    Attributes
    ----------
    server : ServerId
        The server.
    per_s : float
        Requests per second.
    named_age_s : float
        Time since the newest response that named it, in seconds.
    unnamed_age_s : float or None
        Time since the newest response without a limit; ``None`` if there was none.
    """

    server: ids.ServerId
    per_s: float
    named_age_s: float
    unnamed_age_s: float | None = None


class RateLimits:
    """The limits of servers, as known to one process.

    Attributes
    ----------
    limits : dict of ServerId to NamedLimit
        By server, also those that have just ended.
    """

    def __init__(self) -> None:
        self.limits: dict[ids.ServerId, NamedLimit] = {}

    def observe(self, server: ids.ServerId, per_s: float | None, now_s: float) -> None:
        """Record the limit that a response has named, or that it has named none."""
        if per_s is not None:
            self.record_named(server, per_s, now_s)
        elif server in self.limits:
            self.limits[server].unnamed_s = now_s

    def record_named(self, server: ids.ServerId, per_s: float, at_s: float) -> None:
        """Record a limit that was named at a loop time, unless a newer one is known."""
        known = self.limits.get(server)
        if known is None:
            self.limits[server] = NamedLimit(per_s, at_s)
        elif at_s > known.named_s:
            known.per_s = per_s
            known.named_s = at_s

    def find(self, server: ids.ServerId, now_s: float) -> float | None:
        """Return a server's limit in requests per second, if one is in force."""
        known = self.limits.get(server)
        if known is None or not known.holds(now_s):
            return None
        return known.per_s

    def servers(self, now_s: float) -> frozenset[ids.ServerId]:
        """Return the servers whose limit is in force."""
        return frozenset(
            each for each, known in self.limits.items() if known.holds(now_s)
        )

    def expire(self, now_s: float) -> None:
        """Forget limits that have ended so long ago that no report names them."""
        self.limits = {
            server: known
            for server, known in self.limits.items()
            if now_s - known.named_s < HOLD_S
        }

    def reports(self, now_s: float) -> tuple[LimitReport, ...]:
        """Return all that other processes need to know."""
        self.expire(now_s)
        return tuple(self.report(server, now_s) for server in self.limits)

    def report(self, server: ids.ServerId, now_s: float) -> LimitReport:
        """Return what is known about the limit of a server."""
        known = self.limits[server]
        unnamed_age_s = None
        if known.unnamed_s > -math.inf:
            unnamed_age_s = now_s - known.unnamed_s
        return LimitReport(server, known.per_s, now_s - known.named_s, unnamed_age_s)

    def merge(self, reports: Iterable[LimitReport], now_s: float) -> None:
        """Merge the reports of another process, in any order."""
        for report in reports:
            self.record_named(report.server, report.per_s, now_s - report.named_age_s)
            known = self.limits[report.server]
            if report.unnamed_age_s is not None:
                unnamed_s = now_s - report.unnamed_age_s
                known.unnamed_s = max(known.unnamed_s, unnamed_s)
