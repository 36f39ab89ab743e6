"""Crashes of servers, and the parts of prompts that may have caused them."""

import asyncio
import collections
import heapq
import math
from collections.abc import Iterable

import msgspec

from quetzalpass import ids
from quetzalpass.membership import part_reports

EVIDENCE_LIFETIME_S = 600.0
# All processes have received a crash by then; a refusal is reported for longer.
REPORT_LIFETIME_S = 30.0
# A part that ran without a crash at most this long before one is not a cause of it.
CLEARED_LIFETIME_S = 30.0
# Reports of one server without a known start are one crash within this time.
SAME_CRASH_S = 3.0
# Ages that are sent to and fro grow by the delay of each message.
MAX_MESSAGE_DELAY_S = 1.0

# Callers may send ever new parts, so everything that is remembered has a limit.
MAX_PARTS = 16
MAX_CAUSES = 16
MAX_CRASHES = 100
MAX_CLEARED_PARTS = 4096
MAX_WITHDRAWN = 256
MAX_REPORTED_CLEARED = 1_000

Parts = frozenset[ids.PromptPartId]


class RecordedCrash(msgspec.Struct):
    """A crash as one gateway reported it.

    Attributes
    ----------
    server : ServerId
        The server.
    server_start : str
        The server and its start; empty if unknown.
    event_key : str
        The same for all reports of one crash.
    at_s : float
        Loop time of the crash.
    causes : tuple of part_reports.PossibleCause
        Requests that may have caused it.
    """

    server: ids.ServerId
    server_start: str
    event_key: str
    at_s: float
    causes: tuple[part_reports.PossibleCause, ...]

    def parts(self) -> set[ids.PromptPartId]:
        """Return the parts of all requests that may have caused it."""
        return {part for cause in self.causes for part in cause.parts}

    def is_explained_by(self, parts: Parts) -> bool:
        """Return whether one of the requests has all given parts."""
        return any(parts.issubset(cause.parts) for cause in self.causes)


class PartEvidence:
    """What one process knows about crashes and about parts that ran without one.

    Attributes
    ----------
    crashes : dict of str to RecordedCrash
        Recent crashes by id, the oldest first.
    crashes_by_part : dict of PromptPartId to set of str
        Ids of the crashes that a part may have caused.
    cleared_s : OrderedDict of PromptPartId to float
        Loop time at which a part last ran without a crash, the oldest first.
    withdrawn : dict of str to None
        Starts of servers that have not crashed, the oldest first.
    """

    def __init__(self) -> None:
        self.crashes: dict[str, RecordedCrash] = {}
        self.crashes_by_part: dict[ids.PromptPartId, set[str]] = {}
        self.cleared_s: collections.OrderedDict[ids.PromptPartId, float]
        self.cleared_s = collections.OrderedDict()
        self.withdrawn: dict[str, None] = {}

    def add_crash(self, report: part_reports.CrashReport) -> RecordedCrash | None:
        """Add a crash; return ``None`` if it is known, withdrawn or without causes."""
        if not report.causes or report.id in self.crashes:
            return None
        if report.server_start in self.withdrawn:
            return None
        if len(self.crashes) >= MAX_CRASHES:
            self.remove_crash(next(iter(self.crashes)))
        at_s = asyncio.get_running_loop().time() - report.age_s
        event_key = (
            report.server_start or self.find_event_key(report.server, at_s) or report.id
        )
        crash = RecordedCrash(
            report.server,
            report.server_start,
            event_key,
            at_s,
            report.causes[:MAX_CAUSES],
        )
        self.crashes[report.id] = crash
        for part in crash.parts():
            self.crashes_by_part.setdefault(part, set()).add(report.id)
        return crash

    def find_event_key(self, server: ids.ServerId, at_s: float) -> str | None:
        """Return the key of a crash of a server at about a time, if it is known."""
        for each in self.crashes.values():
            if each.server == server and abs(each.at_s - at_s) < SAME_CRASH_S:
                return each.event_key
        return None

    def remove_crash(self, crash_id: str) -> None:
        """Remove a crash, and its entries in the index by part."""
        for part in self.crashes.pop(crash_id).parts():
            crash_ids = self.crashes_by_part[part]
            crash_ids.discard(crash_id)
            if not crash_ids:
                del self.crashes_by_part[part]

    def expire(self) -> None:
        """Remove old crashes."""
        since_s = asyncio.get_running_loop().time() - EVIDENCE_LIFETIME_S
        old = [each for each, crash in self.crashes.items() if crash.at_s < since_s]
        for crash_id in old:
            self.remove_crash(crash_id)

    def withdraw(self, server_start: str) -> bool:
        """Remove the crash of a server that still runs; return whether that is news."""
        if not server_start or server_start in self.withdrawn:
            return False
        self.withdrawn[server_start] = None
        if len(self.withdrawn) > MAX_WITHDRAWN:
            del self.withdrawn[next(iter(self.withdrawn))]
        wrong = [
            each
            for each, crash in self.crashes.items()
            if crash.server_start == server_start
        ]
        for crash_id in wrong:
            self.remove_crash(crash_id)
        return True

    def set_cleared(self, part: ids.PromptPartId, at_s: float) -> None:
        """Record when a part has run without a crash."""
        self.cleared_s[part] = max(at_s, self.cleared_s.get(part, -math.inf))
        self.cleared_s.move_to_end(part)
        if len(self.cleared_s) > MAX_CLEARED_PARTS:
            self.cleared_s.popitem(last=False)

    def is_cleared(self, part: ids.PromptPartId, crashed_s: float) -> bool:
        """Return whether a part has run shortly before a crash, or later."""
        cleared_s = self.cleared_s.get(part)
        return cleared_s is not None and cleared_s > crashed_s - CLEARED_LIFETIME_S

    def find_crashes(self, part: ids.PromptPartId) -> list[RecordedCrash]:
        """Return the reports of crashes that a part may have caused."""
        reports = [self.crashes[each] for each in self.crashes_by_part.get(part, ())]
        return [each for each in reports if not self.is_cleared(part, each.at_s)]

    def explained_events(self, parts: Parts) -> set[str]:
        """Return the crashes during which a request had all given parts."""
        return {
            each.event_key
            for each in self.crashes.values()
            if each.is_explained_by(parts)
        }

    def crash_reports(self) -> tuple[part_reports.CrashReport, ...]:
        """Return recent crashes for other processes, without cleared parts."""
        now_s = asyncio.get_running_loop().time()
        return tuple(
            part_reports.CrashReport(
                crash_id, crash.server, crash.server_start, now_s - crash.at_s, causes
            )
            for crash_id, crash in self.crashes.items()
            if crash.at_s > now_s - REPORT_LIFETIME_S
            and (causes := self.open_causes(crash))
        )

    def open_causes(
        self, crash: RecordedCrash
    ) -> tuple[part_reports.PossibleCause, ...]:
        """Return the causes of a crash, without the parts that are cleared."""
        causes = []
        for cause in crash.causes:
            parts = tuple(
                each for each in cause.parts if not self.is_cleared(each, crash.at_s)
            )
            if parts:
                causes.append(part_reports.PossibleCause(cause.fingerprint, parts))
        return tuple(causes)

    def cleared_parts(
        self, parts: Iterable[ids.PromptPartId]
    ) -> tuple[part_reports.ClearedPart, ...]:
        """Return those of some parts that have run, for other processes."""
        now_s = asyncio.get_running_loop().time()
        known = [each for each in parts if each in self.cleared_s]
        newest = heapq.nlargest(MAX_REPORTED_CLEARED, known, self.cleared_s.get)
        return tuple(
            part_reports.ClearedPart(part, now_s - self.cleared_s[part])
            for part in newest
        )


def count_independent(part: ids.PromptPartId, crashes: list[RecordedCrash]) -> int:
    """Return how many servers crashed under as many different requests with a part.

    A request that crashes servers by itself counts once, however often it is repeated.
    """
    fingerprints = {
        cause.fingerprint
        for crash in crashes
        for cause in crash.causes
        if part in cause.parts
    }
    event_keys = {each.event_key for each in crashes}
    return min(len(event_keys), len(fingerprints))
