"""Services whose servers are brittle, without any input or output.

Load pattern that it handles: the servers of a service let few requests wait for some
time, and each falls over if it has to refuse more than a few within a second. They say
so in all their responses. What one gateway reads is passed on to the others with its
age, and holds for all servers of the service, also for one that has just come back.
"""

import math
from collections.abc import Iterable

import msgspec

from quetzalpass import ids

# Responses without the word end it only after this time, as responses overtake each
# other.
END_AFTER_S = 1.0
# Without any response the word holds for this time.
HOLD_S = 30.0


class BrittleReport(msgspec.Struct, frozen=True):
    """What one process knows about a brittle service.

    Attributes
    ----------
    service : ServiceName
        The service.
    max_refusals_per_s : float
        Refusals within a second above which one of its servers falls over.
    said_age_s : float
        Time since the newest response that said so, in seconds.
    unsaid_age_s : float or None
        Time since the newest response that did not; ``None`` if there was none.
    since_age_s : float
        Time since the first response of this time that said so, in seconds.
    """

    service: ids.ServiceName
    max_refusals_per_s: float
    said_age_s: float
    unsaid_age_s: float | None = None
    since_age_s: float = 0.0


class Brittleness(msgspec.Struct):
    """The word of one service.

    Attributes
    ----------
    max_refusals_per_s : float
        Refusals within a second above which one of its servers falls over.
    said_s, unsaid_s : float
        Loop time of the newest response with and without the word.
    since_s : float
        Loop time of the first response with the word since it was last over.
    """

    max_refusals_per_s: float
    said_s: float
    since_s: float
    unsaid_s: float = -math.inf

    def holds(self, now_s: float) -> bool:
        """Return whether the service is still brittle."""
        age_s = now_s - self.said_s
        if self.unsaid_s > self.said_s and age_s >= END_AFTER_S:
            return False
        return age_s < HOLD_S


class BrittleServices:
    """The brittle services, as known to one process.

    Attributes
    ----------
    services : dict of ServiceName to Brittleness
        By service, also those that have just ended.
    """

    def __init__(self) -> None:
        self.services: dict[ids.ServiceName, Brittleness] = {}

    def observe(
        self, service: ids.ServiceName, max_refusals_per_s: float | None, now_s: float
    ) -> None:
        """Record what a response of one of the servers has said."""
        if max_refusals_per_s is not None:
            self.record_said(service, max_refusals_per_s, now_s, now_s)
        elif service in self.services:
            self.services[service].unsaid_s = now_s

    def record_said(
        self,
        service: ids.ServiceName,
        max_refusals_per_s: float,
        at_s: float,
        since_s: float,
    ) -> None:
        """Record a word said at a loop time, unless a newer one is known."""
        known = self.services.get(service)
        if known is None:
            self.services[service] = Brittleness(max_refusals_per_s, at_s, since_s)
            return
        if known.holds(at_s):
            known.since_s = min(known.since_s, since_s)
        elif at_s > known.said_s:
            known.since_s = since_s
        if at_s > known.said_s:
            known.max_refusals_per_s = max_refusals_per_s
            known.said_s = at_s

    def said_for_s(self, service: ids.ServiceName, now_s: float) -> float:
        """Return for how long a brittle service has said so, in seconds."""
        return now_s - self.services[service].since_s

    def find(self, service: ids.ServiceName, now_s: float) -> float | None:
        """Return how many refusals a second a server bears, if it is brittle."""
        known = self.services.get(service)
        if known is None or not known.holds(now_s):
            return None
        return known.max_refusals_per_s

    def reports(self, now_s: float) -> tuple[BrittleReport, ...]:
        """Return all that other processes need to know."""
        self.services = {
            service: known
            for service, known in self.services.items()
            if now_s - known.said_s < HOLD_S
        }
        return tuple(self.report(service, now_s) for service in self.services)

    def report(self, service: ids.ServiceName, now_s: float) -> BrittleReport:
        """Return what is known about one service."""
        known = self.services[service]
        unsaid_age_s = None
        if known.unsaid_s > -math.inf:
            unsaid_age_s = now_s - known.unsaid_s
        return BrittleReport(
            service,
            known.max_refusals_per_s,
            now_s - known.said_s,
            unsaid_age_s,
            now_s - known.since_s,
        )

    def merge(self, reports: Iterable[BrittleReport], now_s: float) -> None:
        """Merge the reports of another process, in any order."""
        for report in reports:
            self.record_said(
                report.service,
                report.max_refusals_per_s,
                now_s - report.said_age_s,
                now_s - report.since_age_s,
            )
            known = self.services[report.service]
            if report.unsaid_age_s is not None:
                unsaid_s = now_s - report.unsaid_age_s
                known.unsaid_s = max(known.unsaid_s, unsaid_s)
