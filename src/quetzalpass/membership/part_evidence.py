"""Crashes of servers, and the parts of prompts that may have caused them."""

import asyncio
import collections
import heapq
import math
from collections.abc import Iterable

import msgspec

from quetzalpass import ids
from quetzalpass.membership import part_bounds, part_reports

EVIDENCE_LIFETIME_S = 600.0
# All processes have received a crash by then; a refusal is reported for longer.
REPORT_LIFETIME_S = 30.0
# A part that ran without a crash at most this long before one is not a cause of it.
CLEARED_LIFETIME_S = 30.0
# Reports of one server without a known start are one crash within this time.
SAME_CRASH_S = 3.0
# Ages that are sent to and fro grow by the delay of each message.
MAX_MESSAGE_DELAY_S = 1.0

# Callers may send ever new parts, so everything that is remembered has a limit; those
# on parts are in ``part_bounds``. Each gateway with a request on a server reports its
# crash, so that a few crashes of large servers make hundreds of reports.
MAX_CAUSES = 256
MAX_CRASHES = 400
MAX_CLEARED_PARTS = 16_384
MAX_WITHDRAWN = 256
MAX_REPORTED_CLEARED = 1_000

Parts = part_bounds.Parts
# Names a request that may have caused a crash: the crash and a number.
CauseKey = tuple[str, int]


class RecordedCause(msgspec.Struct, frozen=True):
    """A request that may have caused a crash.

    Attributes
    ----------
    fingerprint : str
        Digest that copies of the request share.
    parts : frozenset of PromptPartId
        Shared parts of its prompt that are remembered.
    """

    fingerprint: str
    parts: Parts


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
    causes : tuple of RecordedCause
        Requests that may have caused it.
    is_thinned : bool
        Whether only parts of other crashes are left, to make room for newer ones.
    """

    server: ids.ServerId
    server_start: str
    event_key: str
    at_s: float
    causes: tuple[RecordedCause, ...]
    is_thinned: bool = False

    def parts(self) -> set[ids.PromptPartId]:
        """Return the parts of all requests that may have caused it."""
        return {part for cause in self.causes for part in cause.parts}

    def count_mentions(self) -> int:
        """Return the number of parts of all causes, the repeated ones too."""
        return sum(len(each.parts) for each in self.causes)

    def is_explained_by(self, parts: Parts) -> bool:
        """Return whether one of the requests has all given parts."""
        return any(parts.issubset(cause.parts) for cause in self.causes)


class PartEvidence:
    """What one process knows about crashes and about parts that ran without one.

    Attributes
    ----------
    crashes : dict of str to RecordedCrash
        Recent crashes by id, the oldest first.
    crashes_by_part : dict of PromptPartId to tuple of str
        Ids of the crashes that a part may have caused.
    mentions : int
        Number of parts in the causes of all crashes, each counted as often as it is in
        one.
    cleared_s : OrderedDict of PromptPartId to float
        Loop time at which a part last ran without a crash, the oldest first.
    withdrawn : dict of str to None
        Starts of servers that have not crashed, the oldest first.
    """

    def __init__(self) -> None:
        self.crashes: dict[str, RecordedCrash] = {}
        self.crashes_by_part: dict[ids.PromptPartId, tuple[str, ...]] = {}
        self.mentions = 0
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
        causes = self.remembered_causes(report, event_key, at_s)
        crash = RecordedCrash(
            report.server, report.server_start, event_key, at_s, causes
        )
        self.crashes[report.id] = crash
        self.add_to_index(report.id, crash)
        self.make_room()
        return crash

    def remembered_causes(
        self, report: part_reports.CrashReport, event_key: str, at_s: float
    ) -> tuple[RecordedCause, ...]:
        """Return the causes of a crash, with as many of their parts as are remembered.

        If there are too many, those that other crashes have too come first.
        """
        causes = report.causes[:MAX_CAUSES]
        kept = part_bounds.choose_parts(
            [each.parts for each in causes],
            event_key,
            lambda part: (
                part not in self.crashes_by_part,
                self.is_cleared(part, at_s),
            ),
        )
        return tuple(
            RecordedCause(each.fingerprint, kept.intersection(each.parts))
            for each in causes
        )

    def make_room(self) -> None:
        """Forget parts of the oldest crashes while too many are remembered.

        A part that several crashes have is the likeliest to be a cause, so the other
        parts go first. The newest crash is kept whole.
        """
        for crash_id in list(self.crashes)[:-1]:
            if self.mentions <= part_bounds.MAX_REMEMBERED_PARTS:
                return
            if not self.crashes[crash_id].is_thinned:
                self.thin(crash_id)
        for crash_id in list(self.crashes)[:-1]:
            if self.mentions <= part_bounds.MAX_REMEMBERED_PARTS:
                return
            self.remove_crash(crash_id)

    def thin(self, crash_id: str) -> None:
        """Forget the parts of a crash that no other crash has."""
        crash = self.crashes[crash_id]
        repeated = frozenset(
            each for each in crash.parts() if len(self.crashes_by_part[each]) > 1
        )
        self.remove_from_index(crash_id, crash)
        crash.causes = tuple(
            RecordedCause(each.fingerprint, left)
            for each in crash.causes
            if (left := each.parts & repeated)
        )
        crash.is_thinned = True
        self.add_to_index(crash_id, crash)

    def add_to_index(self, crash_id: str, crash: RecordedCrash) -> None:
        """Add the parts of a crash to the index by part."""
        self.mentions += crash.count_mentions()
        for part in crash.parts():
            self.crashes_by_part[part] = (
                *self.crashes_by_part.get(part, ()),
                crash_id,
            )

    def remove_from_index(self, crash_id: str, crash: RecordedCrash) -> None:
        """Remove the parts of a crash from the index by part."""
        self.mentions -= crash.count_mentions()
        for part in crash.parts():
            left = tuple(
                each for each in self.crashes_by_part[part] if each != crash_id
            )
            if left:
                self.crashes_by_part[part] = left
            else:
                del self.crashes_by_part[part]

    def find_event_key(self, server: ids.ServerId, at_s: float) -> str | None:
        """Return the key of a crash of a server at about a time, if it is known."""
        for each in self.crashes.values():
            if each.server == server and abs(each.at_s - at_s) < SAME_CRASH_S:
                return each.event_key
        return None

    def remove_crash(self, crash_id: str) -> None:
        """Remove a crash, and its entries in the index by part."""
        self.remove_from_index(crash_id, self.crashes.pop(crash_id))

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

    def requests_with(
        self, parts: Iterable[ids.PromptPartId]
    ) -> dict[ids.PromptPartId, tuple[CauseKey, ...]]:
        """Return the requests of all crashes that have each of some parts."""
        found: dict[ids.PromptPartId, list[CauseKey]] = {each: [] for each in parts}
        crash_ids = {each for part in found for each in self.crashes_by_part[part]}
        for crash_id in crash_ids:
            for number, cause in enumerate(self.crashes[crash_id].causes):
                for part in found.keys() & cause.parts:
                    found[part].append((crash_id, number))
        return {part: tuple(keys) for part, keys in found.items()}

    def explained_events(self, parts: Parts) -> set[str]:
        """Return the crashes during which a request had all given parts."""
        return {
            each.event_key
            for each in self.crashes.values()
            if each.is_explained_by(parts)
        }

    def crash_reports(self) -> tuple[part_reports.CrashReport, ...]:
        """Return recent crashes for other processes, without cleared parts.

        Of too many parts those of the newest crashes are named; the others were before.
        """
        now_s = asyncio.get_running_loop().time()
        reports = []
        budget = part_bounds.MessageBudget()
        for crash_id, crash in reversed(self.crashes.items()):
            if crash.at_s <= now_s - REPORT_LIFETIME_S:
                continue
            causes = self.open_causes(crash)
            if not causes or not budget.take(sum(len(each.parts) for each in causes)):
                continue
            reports.append(
                part_reports.CrashReport(
                    crash_id,
                    crash.server,
                    crash.server_start,
                    now_s - crash.at_s,
                    causes,
                )
            )
        return tuple(reversed(reports))

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
