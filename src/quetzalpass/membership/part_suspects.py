"""Finds parts of prompts that crash servers, whatever else the prompts contain.

After a crash, each shared part of each request that may have caused it is suspected. A
part is cleared when a request with it runs without a crash. A part is refused once
servers have crashed under several different requests with it and none has run. It can't
be told apart from a part that all these requests have too; until another request does
so, only prompts with all of these parts are refused. So requests that share some parts
with them are still served.

After a time each gateway lets one request through as a trial. The gateways do so at
different times, as one trial is enough.
"""

import asyncio
import collections
import math
from collections.abc import Iterable

import logbook
import xxhash

from quetzalpass import event_log, ids
from quetzalpass.membership import (
    doubtful_clearances,
    part_bounds,
    part_evidence,
    part_reports,
    refused_parts,
)
from quetzalpass.results import codes, failures

LOG = logbook.Logger("quarantine")

# Crashes under as many different requests after which a part is refused.
MIN_CRASHES = 3
# A part that is beside another in some of its crashes must lag behind it by as many.
# With less, the missing crashes may be some that other gateways still report.
MIN_LEAD = 2
# A trial that has not been sent within this time is replaced by another one.
TRIAL_LIFETIME_S = 10.0
MAX_REFUSALS = 256
# Well below the delay of a message that is allowed for.
REPORT_REUSE_S = 0.25
HASH_RANGE = 2**64
MS_PER_S = 1000

Parts = part_evidence.Parts
RecordedCrash = part_evidence.RecordedCrash


class PartSuspects:
    """Parts of prompts that may crash servers, as known to one process.

    Parameters
    ----------
    name : str
        Unique among all processes; decides when this one makes a trial.

    Attributes
    ----------
    evidence : part_evidence.PartEvidence
        Crashes, and parts that ran without one.
    refused : dict of frozenset of PromptPartId to refused_parts.RefusedParts
        Refused sets of parts.
    last_reports : part_reports.PartReports or None
        The newest reports, unless something was found here since.
    reported_s : float
        Loop time at which they were made.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.evidence = part_evidence.PartEvidence()
        self.refused: dict[Parts, refused_parts.RefusedParts] = {}
        self.last_reports: part_reports.PartReports | None = None
        self.reported_s = -math.inf

    def now_s(self) -> float:
        """Return the event loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    def record_crash(
        self,
        crash_id: str,
        server: ids.ServerId,
        server_start: str,
        causes: Iterable[part_reports.PossibleCause],
    ) -> None:
        """Record a crash under requests that may have caused it."""
        known_causes = tuple(each for each in causes if each.parts)
        self.add_crash(
            part_reports.CrashReport(crash_id, server, server_start, 0.0, known_causes)
        )

    def add_crash(self, report: part_reports.CrashReport) -> bool:
        """Add a crash, and evaluate its parts; return whether it is new."""
        crash = self.evidence.add_crash(report)
        if crash is None:
            return False
        self.log(part_reports.PartChange.CRASHED, crash.parts(), {crash.event_key})
        for parts, refused in self.refused.items():
            if crash.is_explained_by(parts):
                refused.add_crash(crash)
        self.evaluate(crash.parts())
        return True

    def evaluate(self, parts: Iterable[ids.PromptPartId]) -> None:
        """Refuse those parts against which enough crashes count now.

        The parts with the most crashes are evaluated first, as they may explain the
        crashes of the others.
        """
        self.revise(parts)
        suspected = [each for each in parts if self.may_be_refused(each)]
        requests = self.evidence.requests_with(suspected)
        evaluated: set[tuple[part_evidence.CauseKey, ...]] = set()
        for part in sorted(
            suspected, key=lambda each: (-self.count_crashes(each), each)
        ):
            # Parts that were always in the same requests have the same verdict.
            if requests[part] in evaluated:
                continue
            evaluated.add(requests[part])
            crashes = self.find_crashes(part)
            if not is_repeated(part, crashes):
                continue
            beside = parts_beside(part, crashes)
            inseparable = self.find_inseparable(part, crashes, beside)
            if self.has_lead(beside, inseparable, crashes):
                self.refuse(inseparable, crashes)
        rivals = doubtful_clearances.Rivals(self.evidence)
        for part in suspected:
            self.refuse_if_wrongly_cleared(part, rivals)
        self.review()

    def may_be_refused(self, part: ids.PromptPartId) -> bool:
        """Return whether a part has as many reports of crashes as a refusal needs."""
        return len(self.evidence.crashes_by_part.get(part, ())) >= MIN_CRASHES

    def refuse_if_wrongly_cleared(
        self, part: ids.PromptPartId, rivals: doubtful_clearances.Rivals
    ) -> None:
        """Refuse a part although it has run, if enough crashes speak against it."""
        crashes = [
            each
            for each in doubtful_clearances.find_unexplained_crashes(part, rivals)
            if not self.is_explained_without(each, part)
        ]
        if is_repeated(part, crashes):
            self.refuse(frozenset((part,)), crashes, outweighs_runs=True)

    def revise(self, parts: Iterable[ids.PromptPartId]) -> None:
        """Extend refused sets by parts that later reports show beside them."""
        for known in [each for each in self.refused if not each.isdisjoint(parts)]:
            part = min(known)
            crashes = self.find_crashes(part)
            event_keys = {each.event_key for each in crashes}
            if event_keys < self.refused[known].explained:
                continue
            if not is_repeated(part, crashes):
                continue
            beside = parts_beside(part, crashes)
            inseparable = self.find_inseparable(part, crashes, beside)
            if known < inseparable:
                del self.refused[known]
                self.refuse(inseparable, crashes)

    def review(self) -> None:
        """Accept parts again if others explain all their crashes, and more.

        A refusal that a peer has reported may have crashes that are not known here.
        """
        refusals = list(self.refused.items())
        for parts, refused in refusals:
            if len(refused.explained) < MIN_CRASHES:
                continue
            if any(refused.explained < others.explained for _, others in refusals):
                del self.refused[parts]
                self.log(part_reports.PartChange.CLEARED, parts, refused.explained)

    def find_crashes(self, part: ids.PromptPartId) -> list[RecordedCrash]:
        """Return the crashes that a part may have caused and no refused parts have."""
        return [
            each
            for each in self.evidence.find_crashes(part)
            if not self.is_explained_without(each, part)
        ]

    def is_explained_without(
        self, crash: RecordedCrash, part: ids.PromptPartId
    ) -> bool:
        """Return whether refused parts other than a given one explain a crash."""
        return any(
            part not in parts and crash.event_key in refused.explained
            for parts, refused in self.refused.items()
        )

    def count_crashes(self, part: ids.PromptPartId) -> int:
        """Return how many crashes count against a part."""
        return len({each.event_key for each in self.find_crashes(part)})

    def find_inseparable(
        self,
        part: ids.PromptPartId,
        crashes: list[RecordedCrash],
        beside: dict[str, set[ids.PromptPartId]],
    ) -> Parts:
        """Return a part with those that were beside it in each crash.

        Parts that are cleared are left out.
        """
        first_s = min(each.at_s for each in crashes)
        common = set.intersection(*beside.values())
        cleared = {each for each in common if self.evidence.is_cleared(each, first_s)}
        return frozenset(common - cleared | {part})

    def has_lead(
        self,
        beside: dict[str, set[ids.PromptPartId]],
        inseparable: Parts,
        crashes: list[RecordedCrash],
    ) -> bool:
        """Return whether enough crashes speak against a set and no other part.

        Parameters
        ----------
        beside : dict of str to set of PromptPartId
            Parts beside one of the set, by crash.
        inseparable : frozenset of PromptPartId
            The set.
        crashes : list of RecordedCrash
            The crashes.
        """
        first_s = min(each.at_s for each in crashes)
        counts = collections.Counter(
            part
            for found in beside.values()
            for part in found - inseparable
            if not self.evidence.is_cleared(part, first_s)
        )
        return len(beside) - max(counts.values(), default=0) >= MIN_LEAD

    def refuse(
        self,
        parts: Parts,
        crashes: list[RecordedCrash],
        outweighs_runs: bool = False,
    ) -> None:
        """Refuse requests whose prompt has all given parts."""
        if any(known <= parts for known in self.refused):
            return
        explained = self.evidence.explained_events(parts)
        crashed_s = max(each.at_s for each in crashes)
        refused = refused_parts.RefusedParts(
            crashed_s, explained=explained, outweighs_runs=outweighs_runs
        )
        self.add_refusal(parts, refused)
        LOG.warning(
            "quarantine: {} servers crashed under requests with the same {} parts.",
            len(explained),
            len(parts),
        )

    def add_refusal(self, parts: Parts, refused: refused_parts.RefusedParts) -> None:
        """Add a refusal, in place of those that it includes."""
        for known in [each for each in self.refused if parts < each]:
            del self.refused[known]
        if len(self.refused) >= MAX_REFUSALS:
            del self.refused[next(iter(self.refused))]
        self.refused[parts] = refused
        self.log(part_reports.PartChange.REFUSED, parts, refused.explained)

    def clear(self, parts: Iterable[ids.PromptPartId]) -> None:
        """Clear parts, as a server has run a request with them without a crash."""
        now_s = self.now_s()
        for part in parts:
            self.set_cleared(part, now_s)
            if part in self.evidence.crashes_by_part:
                self.last_reports = None

    def set_cleared(self, part: ids.PromptPartId, at_s: float) -> None:
        """Record when a part has run, and take it out of the refusals."""
        self.evidence.set_cleared(part, at_s)
        for parts in [each for each in self.refused if part in each]:
            refused = self.refused[parts]
            if not self.is_acquitted(part, refused.crashed_s, refused.outweighs_runs):
                continue
            del self.refused[parts]
            rest = parts - {part}
            if not rest:
                self.log(part_reports.PartChange.CLEARED, parts, refused.explained)
            elif not any(known <= rest for known in self.refused):
                self.add_refusal(rest, refused)

    def is_acquitted(
        self, part: ids.PromptPartId, crashed_s: float, outweighs_runs: bool
    ) -> bool:
        """Return whether a run of a part speaks against its refusal.

        Parameters
        ----------
        part : PromptPartId
            The part.
        crashed_s : float
            Loop time of the last crash that counts against it.
        outweighs_runs : bool
            Whether only a run after that crash counts.
        """
        if not outweighs_runs:
            return self.evidence.is_cleared(part, crashed_s)
        return self.evidence.cleared_s.get(part, -math.inf) > crashed_s

    def withdraw(self, server_start: str) -> None:
        """Withdraw the crash of a server that has proved to run still."""
        if not self.evidence.withdraw(server_start):
            return
        for parts, refused in list(self.refused.items()):
            if server_start in refused.explained:
                del self.refused[parts]
                self.log(part_reports.PartChange.CLEARED, parts, refused.explained)
                self.evaluate(parts)

    def refusal(
        self, parts: tuple[ids.PromptPartId, ...], request: ids.RequestId
    ) -> failures.Failure | None:
        """Return why a request is refused for the parts of its prompt, or ``None``."""
        if not self.refused or not parts:
            return None
        present = frozenset(parts)
        for parts_refused, refused in self.refused.items():
            if not parts_refused <= present:
                continue
            if self.is_trial(parts_refused, refused, request):
                continue
            left_s = max(0.0, self.trial_at_s(parts_refused, refused) - self.now_s())
            return failures.Failure(
                codes.Code.QUARANTINED,
                "backend servers crashed under other requests with the same part of "
                "their prompt",
                retry_after_ms=int(left_s * MS_PER_S) + 1,
            )
        return None

    def is_trial(
        self, parts: Parts, refused: refused_parts.RefusedParts, request: ids.RequestId
    ) -> bool:
        """Return whether a request is the trial of refused parts; choose one if due."""
        now_s = self.now_s()
        if now_s < self.trial_at_s(parts, refused):
            return False
        if refused.trial is None or now_s >= refused.trial.until_s:
            refused.trial = refused_parts.Trial(request, now_s + TRIAL_LIFETIME_S)
            self.log(part_reports.PartChange.TRIED, parts, refused.explained, request)
        return refused.trial.request == request

    def trial_at_s(self, parts: Parts, refused: refused_parts.RefusedParts) -> float:
        """Return the loop time of this process's next trial of refused parts.

        Processes wait for different times, up to twice the delay.
        """
        text = ":".join([self.name, *sorted(parts)])
        digest = xxhash.xxh64_intdigest(text.encode())
        return refused.crashed_s + refused.delay_s() * (1 + digest / HASH_RANGE)

    def reports(self) -> part_reports.PartReports:
        """Return all that other processes need to know.

        What a peer has reported, and the ages, may be a little older: a control node
        answers many gateways several times a second.
        """
        is_recent = self.now_s() - self.reported_s < REPORT_REUSE_S
        if self.last_reports is None or not is_recent:
            self.last_reports = self.make_reports()
            self.reported_s = self.now_s()
        return self.last_reports

    def make_reports(self) -> part_reports.PartReports:
        """Return what other processes need to know now."""
        self.evidence.expire()
        now_s = self.now_s()
        named = set(self.evidence.crashes_by_part).union(*self.refused)
        budget = part_bounds.MessageBudget()
        refusals = tuple(
            part_reports.PartRefusal(
                tuple(sorted(parts)),
                now_s - refused.crashed_s,
                refused.trials,
                refused.outweighs_runs,
            )
            for parts, refused in reversed(self.refused.items())
            if budget.take(len(parts))
        )
        return part_reports.PartReports(
            self.evidence.crash_reports(),
            self.evidence.cleared_parts(named),
            refusals,
            tuple(self.evidence.withdrawn),
        )

    def merge(self, reports: part_reports.PartReports) -> bool:
        """Merge a peer's reports in any order; return whether a crash was new."""
        now_s = self.now_s()
        for server_start in reports.withdrawn:
            self.withdraw(server_start)
        for cleared in reports.cleared:
            at_s = now_s - cleared.age_s
            known_s = self.evidence.cleared_s.get(cleared.part, -math.inf)
            if at_s > known_s + part_evidence.MAX_MESSAGE_DELAY_S:
                self.set_cleared(cleared.part, at_s)
        for refusal in reports.refusals:
            self.merge_refusal(refusal, now_s - refusal.crash_age_s)
        added = [self.add_crash(each) for each in reports.crashes]
        return any(added)

    def merge_refusal(
        self, refusal: part_reports.PartRefusal, crashed_s: float
    ) -> None:
        """Merge a refusal of a peer, without the parts that are cleared here."""
        parts = frozenset(
            each
            for each in refusal.parts
            if not self.is_acquitted(each, crashed_s, refusal.outweighs_runs)
        )
        if not parts:
            return
        known = self.refused.get(parts)
        if known is not None:
            if crashed_s > known.crashed_s + part_evidence.MAX_MESSAGE_DELAY_S:
                known.crashed_s = crashed_s
            known.trials = max(known.trials, refusal.trials)
        elif not any(each <= parts for each in self.refused):
            explained = self.evidence.explained_events(parts)
            refused = refused_parts.RefusedParts(
                crashed_s,
                refusal.trials,
                explained,
                outweighs_runs=refusal.outweighs_runs,
            )
            self.add_refusal(parts, refused)
            self.review()

    def log(
        self,
        change: part_reports.PartChange,
        parts: Iterable[ids.PromptPartId],
        crashes: set[str],
        request: ids.RequestId | None = None,
    ) -> None:
        """Log a change of what is known about parts, and report it from now on."""
        self.last_reports = None
        names = sorted(parts)
        event = part_reports.PartEvent(
            change,
            tuple(names[: part_bounds.MAX_LOGGED_PARTS]),
            tuple(sorted(crashes)),
            request,
            len(names),
        )
        event_log.record(event, event_log.Level.NOTICE)


def is_repeated(part: ids.PromptPartId, crashes: list[RecordedCrash]) -> bool:
    """Return whether enough servers crashed under enough requests with a part."""
    return part_evidence.count_independent(part, crashes) >= MIN_CRASHES


def parts_beside(
    part: ids.PromptPartId, crashes: list[RecordedCrash]
) -> dict[str, set[ids.PromptPartId]]:
    """Return the parts of all requests with a given part, by crash.

    Several gateways may report one crash, of which some had only requests that share
    the part with the request that caused it.
    """
    beside: dict[str, set[ids.PromptPartId]] = {}
    for crash in crashes:
        found = beside.setdefault(crash.event_key, set())
        for cause in crash.causes:
            if part in cause.parts:
                found.update(cause.parts)
    return beside
