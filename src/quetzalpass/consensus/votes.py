"""Which member of an open group gets a vote, loses it or is removed next.

The decision does no input or output: the leader describes the members, and gets the one
change that brings the voters closer to what the group should have:

- as many voters as wanted, all of them running;
- no vote of a replica that is about to stop, if a learner can take it over;
- votes spread over the data centres, so that the loss of one costs few of them.

Only one voter may differ between two configurations, so a vote moves in two changes. A
voter that has become silent loses its vote before a learner gets one: an additional
voter would raise the majority while one of the voters can't be part of it. A voter that
still replies loses its vote only after the learner has got one.
"""

import collections
import enum
from collections.abc import Iterable, Sequence

import msgspec

from quetzalpass import event_log, ids


class ChangeKind(enum.Enum):
    """What a membership change does to one member."""

    PROMOTE = "promote"
    DEMOTE = "demote"
    REMOVE = "remove"


class Reason(enum.Enum):
    """Why a membership change is made."""

    TOO_FEW_VOTERS = "too_few_voters"
    TOO_MANY_VOTERS = "too_many_voters"
    SILENT = "silent"
    STOPPING = "stopping"
    SPREAD = "spread"


class MemberState(msgspec.Struct, frozen=True):
    """A member as the leader knows it.

    Attributes
    ----------
    vm : VmId
        Address.
    is_voter : bool
        Whether it votes.
    data_centre : DataCentreId
        Its data centre; empty if unknown.
    silent_s : float
        Time since it last replied, in seconds; 0 for the leader.
    is_leader : bool
        Whether it is the leader itself, which never takes its own vote away.
    is_stopping : bool
        Whether it has asked to lose its vote, as it is about to stop.
    may_get_vote : bool
        Whether it replies, holds all committed entries and has a disk that works.
    """

    vm: ids.VmId
    is_voter: bool
    data_centre: ids.DataCentreId = ids.UNKNOWN_DATA_CENTRE
    silent_s: float = 0.0
    is_leader: bool = False
    is_stopping: bool = False
    may_get_vote: bool = True

    @property
    def is_candidate(self) -> bool:
        """Return whether it is a learner that can become a voter now."""
        return not self.is_voter and not self.is_stopping and self.may_get_vote


class Limits(msgspec.Struct, frozen=True):
    """What a group should have.

    Attributes
    ----------
    wanted_voters : int
        Number of voters.
    lost_after_s : float
        Time without a reply after which a voter's vote goes to a learner.
    gone_after_s : float
        Time without a reply after which a learner is removed, and a vote may go to a
        data centre that then has more votes than any had before.
    """

    wanted_voters: int
    lost_after_s: float
    gone_after_s: float


class Change(msgspec.Struct, frozen=True):
    """One membership change.

    Attributes
    ----------
    kind : ChangeKind
        What is done.
    vm : VmId
        The member.
    reason : Reason
        Why.
    """

    kind: ChangeKind
    vm: ids.VmId
    reason: Reason


class MembershipEvent(event_log.Event, frozen=True, tag="membership_change"):
    """Log event for a membership change that a leader starts.

    Attributes
    ----------
    change : ChangeKind
        What is done.
    vm : VmId
        The member.
    reason : Reason
        Why.
    silent_s : float
        Time since the member last replied, in seconds.
    voters : tuple of str
        The voters before the change, each with its data centre.
    term : int
        Term of the leader.
    """

    change: ChangeKind
    vm: ids.VmId
    reason: Reason
    silent_s: float
    voters: tuple[str, ...]
    term: int


def next_change(members: Sequence[MemberState], limits: Limits) -> Change | None:
    """Return the membership change to start now, or ``None``.

    Parameters
    ----------
    members : sequence of MemberState
        All members, including the leader.
    limits : Limits
        What the group should have.
    """
    voters = [each for each in members if each.is_voter]
    candidates = [each for each in members if each.is_candidate]
    if len(voters) > limits.wanted_voters:
        return drop_surplus_voter(voters, limits)
    if len(voters) < limits.wanted_voters and candidates:
        best = best_candidate(candidates, voters)
        return Change(ChangeKind.PROMOTE, best.vm, Reason.TOO_FEW_VOTERS)
    change = None
    if candidates:
        change = replace_voter(voters, candidates, limits)
    return change or remove_gone_learner(members, limits)


def replace_voter(
    voters: Sequence[MemberState], candidates: Sequence[MemberState], limits: Limits
) -> Change | None:
    """Return the first of the two changes that move a vote, or ``None``."""
    lost = [
        each for each in voters if may_be_replaced(each, voters, candidates, limits)
    ]
    if lost:
        worst = max(lost, key=lambda each: each.silent_s)
        return Change(ChangeKind.DEMOTE, worst.vm, Reason.SILENT)
    staying = [each for each in voters if not each.is_stopping]
    if len(staying) < len(voters):
        best = best_candidate(candidates, staying)
        return Change(ChangeKind.PROMOTE, best.vm, Reason.STOPPING)
    return improve_spread(voters, candidates)


def may_be_replaced(
    voter: MemberState,
    voters: Sequence[MemberState],
    candidates: Sequence[MemberState],
    limits: Limits,
) -> bool:
    """Return whether a silent voter's vote may go to the best learner now.

    A machine that only stands still for a moment must not leave two of three votes in
    one data centre, which may be cut off just then. So a vote that would crowd a data
    centre moves later.
    """
    if not is_lost(voter, limits):
        return False
    others = [each for each in voters if each is not voter]
    moved = [*others, best_candidate(candidates, others)]
    if largest_share(moved) <= largest_share(voters):
        return True
    return voter.silent_s > limits.gone_after_s


def largest_share(voters: Sequence[MemberState]) -> int:
    """Return the most votes of one data centre; unknown ones count for themselves."""
    counts = count_by_data_centre(each for each in voters if each.data_centre)
    return max(counts.values(), default=1)


def improve_spread(
    voters: Sequence[MemberState], candidates: Sequence[MemberState]
) -> Change | None:
    """Return the promotion that lets a crowded data centre lose a vote, or ``None``.

    Data centres that no reply has named yet are waited for.
    """
    if not all(each.data_centre for each in voters):
        return None
    known = [each for each in candidates if each.data_centre]
    if not known:
        return None
    best = best_candidate(known, voters)
    counts = count_by_data_centre(voters)
    crowded = most_crowded(voters)
    if counts[best.data_centre] + 1 >= counts[crowded.data_centre]:
        return None
    return Change(ChangeKind.PROMOTE, best.vm, Reason.SPREAD)


def drop_surplus_voter(voters: Sequence[MemberState], limits: Limits) -> Change:
    """Return the change that takes the vote from the voter that is needed least."""
    others = [each for each in voters if not each.is_leader]
    lost = [each for each in others if is_lost(each, limits)]
    if lost:
        worst = max(lost, key=lambda each: each.silent_s)
        return Change(ChangeKind.DEMOTE, worst.vm, Reason.SILENT)
    for each in others:
        if each.is_stopping:
            return Change(ChangeKind.DEMOTE, each.vm, Reason.STOPPING)
    crowded = most_crowded(voters)
    return Change(ChangeKind.DEMOTE, crowded.vm, Reason.TOO_MANY_VOTERS)


def remove_gone_learner(
    members: Iterable[MemberState], limits: Limits
) -> Change | None:
    """Return the removal of a learner that has been silent for long, or ``None``."""
    for each in members:
        if not each.is_voter and each.silent_s > limits.gone_after_s:
            return Change(ChangeKind.REMOVE, each.vm, Reason.SILENT)
    return None


def is_lost(voter: MemberState, limits: Limits) -> bool:
    """Return whether a voter has been silent for so long that its vote may move."""
    return not voter.is_leader and voter.silent_s > limits.lost_after_s


def count_by_data_centre(
    members: Iterable[MemberState],
) -> collections.Counter[ids.DataCentreId]:
    """Return the number of members of each data centre."""
    return collections.Counter(each.data_centre for each in members)


def best_candidate(
    candidates: Sequence[MemberState], voters: Sequence[MemberState]
) -> MemberState:
    """Return the learner whose data centre has the fewest votes."""
    counts = count_by_data_centre(voters)
    return min(candidates, key=lambda each: (counts[each.data_centre], each.vm))


def most_crowded(voters: Sequence[MemberState]) -> MemberState:
    """Return a voter, not the leader, of the data centre with the most votes."""
    counts = count_by_data_centre(voters)
    others = [each for each in voters if not each.is_leader]
    return max(others, key=lambda each: (counts[each.data_centre], each.vm))
