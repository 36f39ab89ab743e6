"""Membership maintenance of open groups: the leader chooses who votes."""

import asyncio

import logbook

from quetzalpass import event_log
from quetzalpass.consensus import entries, joining, leading, votes
from quetzalpass.consensus import replica as replicas

CHECK_INTERVAL_S = 0.1
# A replica repeats its request several times a second until it is a member.
JOIN_REQUEST_LIFETIME_S = 2.0
SETTLE_TIMEOUT_S = 1.0

LOG = logbook.Logger("consensus")


class Maintenance:
    """Adds new replicas as learners, moves votes, and removes unreachable learners.

    One change at a time, each after the one before it is committed.

    Parameters
    ----------
    replica : replicas.Replica
        The replica; changes are made only while it leads.
    joiner : joining.Joiner
        Queries whether a replica that asked to join is still running.
    """

    def __init__(self, replica: replicas.Replica, joiner: joining.Joiner) -> None:
        self.replica = replica
        self.joiner = joiner

    async def run(self) -> None:
        """Check the members periodically while the replica leads."""
        while self.replica.is_running:
            await asyncio.sleep(CHECK_INTERVAL_S)
            leadership = self.replica.leadership
            if isinstance(leadership, leading.Leadership):
                await self.maintain(leadership)

    async def maintain(self, leadership: leading.Leadership) -> None:
        """Make all changes that are due, one after the other.

        Only while a majority follows: a leader that was paused takes all others for
        silent until it hears them again.
        """
        while leadership.can_change_members() and leadership.has_lease():
            change = self.find_change(leadership)
            if change is None:
                await self.add_learner(leadership)
                return
            self.start(leadership, change)
            await self.wait_until_settled(leadership)

    def find_change(self, leadership: leading.Leadership) -> votes.Change | None:
        """Return the change of votes that is due."""
        rules = self.replica.settings.rules
        limits = votes.Limits(
            rules.wanted_voters, rules.lost_after_s, rules.gone_after_s
        )
        return votes.next_change(leadership.member_states(), limits)

    def start(self, leadership: leading.Leadership, change: votes.Change) -> None:
        """Start a change, and log what it was decided from."""
        states = leadership.member_states()
        event = votes.MembershipEvent(
            change.kind,
            change.vm,
            change.reason,
            next(each.silent_s for each in states if each.vm == change.vm),
            tuple(f"{each.vm} {each.data_centre}" for each in states if each.is_voter),
            leadership.term,
        )
        event_log.record(event, event_log.Level.NOTICE)
        if change.kind is votes.ChangeKind.REMOVE:
            configuration = self.replica.log.configuration.without(change.vm)
            leadership.change_members(configuration)
            return
        is_voter = change.kind is votes.ChangeKind.PROMOTE
        leadership.set_voter(change.vm, is_voter=is_voter)

    async def wait_until_settled(self, leadership: leading.Leadership) -> None:
        """Wait until a change is committed, for a bounded time."""
        deadline = self.replica.now() + SETTLE_TIMEOUT_S
        while leadership.is_current and not leadership.can_change_members():
            left_s = deadline - self.replica.now()
            if left_s <= 0:
                return
            await self.replica.commit_changed.wait(left_s)

    async def add_learner(self, leadership: leading.Leadership) -> None:
        """Add one replica that has asked to join, if it is still running."""
        replica = self.replica
        expired_before = replica.now() - JOIN_REQUEST_LIFETIME_S
        for vm, join_request in list(replica.join_requests.items()):
            if join_request.heard_at < expired_before:
                del replica.join_requests[vm]
        if not replica.join_requests:
            return
        vm, join_request = replica.join_requests.popitem()
        status = await self.joiner.query_status(vm)
        if status is None or status.replica != join_request.replica:
            return
        is_member = replica.log.configuration.member_at(vm) is not None
        if (
            is_member
            or not leadership.is_current
            or not leadership.can_change_members()
        ):
            return
        LOG.info("consensus: Added {} as a learner.", vm)
        learner = entries.Member(vm, join_request.replica, False)
        leadership.change_members(replica.log.configuration.with_member(learner))
