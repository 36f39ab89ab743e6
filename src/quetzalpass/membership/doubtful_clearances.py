"""Parts of prompts that ran once without a crash, and crash servers all the same.

A run acquits a part for some time. It proves little if the part has not run since,
while servers have crashed under several different requests with it, and no part of any
other request on these servers explains the crashes as well.
"""

import collections

from quetzalpass import ids
from quetzalpass.membership import part_evidence

# Crashes since a run, under as many different requests, after which it is disregarded.
# One more than without a run.
MIN_CRASHES = 4
# Fewer of these crashes by this number may be explained by any other part.
MIN_LEAD = 2

RecordedCrash = part_evidence.RecordedCrash


def find_unexplained_crashes(
    evidence: part_evidence.PartEvidence, part: ids.PromptPartId
) -> list[RecordedCrash]:
    """Return the crashes since a part has run, if they outweigh that run.

    Returns
    -------
    list of RecordedCrash
        The crashes; empty if the part has never run, or if the run still counts.
    """
    cleared_s = evidence.cleared_s.get(part)
    if cleared_s is None:
        return []
    crashes = [
        evidence.crashes[each]
        for each in evidence.crashes_by_part.get(part, ())
        if evidence.crashes[each].at_s > cleared_s
    ]
    if part_evidence.count_independent(part, crashes) < MIN_CRASHES:
        return []
    events = {each.event_key for each in crashes}
    explained = most_explained_by_others(evidence, part, crashes)
    return crashes if len(events) - explained >= MIN_LEAD else []


def most_explained_by_others(
    evidence: part_evidence.PartEvidence,
    part: ids.PromptPartId,
    crashes: list[RecordedCrash],
) -> int:
    """Return how many of some crashes the likeliest other part explains.

    A part that has run since the first of these crashes explains none of them.
    """
    first_s = min(each.at_s for each in crashes)
    events_by_part = collections.defaultdict(set)
    for crash in crashes:
        for other in crash.parts() - {part}:
            if evidence.cleared_s.get(other, 0.0) < first_s:
                events_by_part[other].add(crash.event_key)
    return max((len(events) for events in events_by_part.values()), default=0)
