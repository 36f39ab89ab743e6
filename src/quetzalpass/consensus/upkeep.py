"""Membership maintenance of open groups: the leader keeps the number of voters."""

import asyncio

import logbook

from quetzalpass.consensus import entries, joining, leading
from quetzalpass.consensus import replica as replicas

CHECK_INTERVAL_S = 0.25
# A replica repeats its request several times a second until it is a member.
JOIN_REQUEST_LIFETIME_S = 2.0

LOG = logbook.Logger("consensus")


class Maintenance:
    """Adds new replicas as learners and removes members that are unreachable.

    One change at a time: a learner becomes a voter before the unreachable voter is
    removed, so that the group never has fewer voters than it should.

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
                await self.change_one_member(leadership)

    async def change_one_member(self, leadership: leading.Leadership) -> None:
        """Remove or add at most one member."""
        if not leadership.can_change_members():
            return
        removable = self.find_removable_member(leadership)
        if removable is not None:
            LOG.warning("consensus: Removing the unreachable member {}.", removable.vm)
            leadership.change_members(
                self.replica.log.configuration.without(removable.vm)
            )
            return
        await self.add_learner(leadership)

    def find_removable_member(
        self, leadership: leading.Leadership
    ) -> entries.Member | None:
        """Return a member that is unreachable and not a required voter."""
        configuration = self.replica.log.configuration
        wanted = self.replica.settings.rules.wanted_voters
        has_spare_voter = len(configuration.voters) > wanted
        for member in configuration.members:
            if member.is_voter and not has_spare_voter:
                continue
            if leadership.is_unreachable(member):
                return member
        return None

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
