"""Parts of prompts that ran once without a crash, and crash servers all the same.

A run acquits a part for some time. It proves little if the part has not run since,
while servers have crashed under several different requests with it, and no part of any
other request on these servers explains the crashes as well.
"""

import collections
import heapq

from quetzalpass import ids
from quetzalpass.membership import part_evidence

# Crashes since a run, under as many different requests, after which it is disregarded.
# One more than without a run.
MIN_CRASHES = 4
# Fewer of these crashes by this number may be explained by any other part.
MIN_LEAD = 2

RecordedCrash = part_evidence.RecordedCrash


class Rivals:
    """How many of some crashes each part explains; each set of crashes is counted once.

    Parameters
    ----------
    evidence : part_evidence.PartEvidence
        Crashes and runs, which don't change while this is used.
    """

    def __init__(self, evidence: part_evidence.PartEvidence) -> None:
        self.evidence = evidence
        self.likeliest: dict[frozenset[str], list[tuple[ids.PromptPartId, int]]] = {}

    def most_explained_by_others(
        self, part: ids.PromptPartId, crash_ids: frozenset[str]
    ) -> int:
        """Return how many of some crashes the likeliest other part explains."""
        if crash_ids not in self.likeliest:
            counts = self.count_events(crash_ids).items()
            # Two, as one of them may be the part itself.
            self.likeliest[crash_ids] = heapq.nlargest(2, counts, lambda item: item[1])
        likeliest = self.likeliest[crash_ids]
        return max((count for each, count in likeliest if each != part), default=0)

    def count_events(self, crash_ids: frozenset[str]) -> dict[ids.PromptPartId, int]:
        """Return the number of crashes that each part explains.

        A part that has run since the first of these crashes explains none of them.
        """
        crashes = [self.evidence.crashes[each] for each in crash_ids]
        first_s = min(each.at_s for each in crashes)
        events_by_part = collections.defaultdict(set)
        for crash in crashes:
            for part in crash.parts():
                if self.evidence.cleared_s.get(part, 0.0) < first_s:
                    events_by_part[part].add(crash.event_key)
        return {part: len(events) for part, events in events_by_part.items()}


def find_unexplained_crashes(
    part: ids.PromptPartId, rivals: Rivals
) -> list[RecordedCrash]:
    """Return the crashes since a part has run, if they outweigh that run.

    Returns
    -------
    list of RecordedCrash
        The crashes; empty if the part has never run, or if the run still counts.
    """
    evidence = rivals.evidence
    cleared_s = evidence.cleared_s.get(part)
    if cleared_s is None:
        return []
    crash_ids = frozenset(
        each
        for each in evidence.crashes_by_part.get(part, ())
        if evidence.crashes[each].at_s > cleared_s
    )
    crashes = [evidence.crashes[each] for each in crash_ids]
    if part_evidence.count_independent(part, crashes) < MIN_CRASHES:
        return []
    events = {each.event_key for each in crashes}
    explained = rivals.most_explained_by_others(part, crash_ids)
    return crashes if len(events) - explained >= MIN_LEAD else []
