"""How the leader of an open group keeps the number of its voters."""

import asyncio

import logbook

from quetzalpass.consensus import entries, joining, leading
from quetzalpass.consensus import replica as replicas

INTERVAL_S = 0.25
# A candidate asks several times a second for as long as it is no member.
CANDIDATE_LIFETIME_S = 2.0

log = logbook.Logger("consensus")


class Upkeep:
    """Takes in new disks as learners and lets go of members that are gone.

    One change at a time: a learner becomes a voter before the voter that is gone loses
    its place, so that the group never has fewer voters than it should.

    Parameters
    ----------
    replica : replicas.Replica
        The replica; it acts only while it leads.
    questions : joining.Joining
        Asks a candidate whether it is still there.
    """

    def __init__(self, replica: replicas.Replica, questions: joining.Joining) -> None:
        self.replica = replica
        self.questions = questions

    async def run(self) -> None:
        """Look at the members again and again."""
        while self.replica.is_running:
            await asyncio.sleep(INTERVAL_S)
            leadership = self.replica.leadership
            if isinstance(leadership, leading.Leadership):
                await self.act(leadership)

    async def act(self, leadership: leading.Leadership) -> None:
        """Make at most one change of members."""
        if not leadership.can_change_members():
            return
        gone = self.dispensable_member(leadership)
        if gone is not None:
            log.warning("consensus: {} is gone and loses its place.", gone.vm)
            leadership.change_members(self.replica.log.configuration.without(gone.vm))
            return
        await self.take_in_candidate(leadership)

    def dispensable_member(
        self, leadership: leading.Leadership
    ) -> entries.Member | None:
        """Return a member that is gone and not needed for the number of voters."""
        configuration = self.replica.log.configuration
        wanted = self.replica.settings.rules.wanted_voters
        has_spare_voter = len(configuration.voters) > wanted
        for member in configuration.members:
            if member.is_voter and not has_spare_voter:
                continue
            if leadership.is_gone(member):
                return member
        return None

    async def take_in_candidate(self, leadership: leading.Leadership) -> None:
        """Make the candidate that was heard from last a learner, if it is there."""
        replica = self.replica
        oldest = replica.now() - CANDIDATE_LIFETIME_S
        for vm, candidate in list(replica.candidates.items()):
            if candidate.heard_at < oldest:
                del replica.candidates[vm]
        if not replica.candidates:
            return
        vm, candidate = replica.candidates.popitem()
        status = await self.questions.ask(vm)
        if status is None or status.replica != candidate.replica:
            return
        is_member = replica.log.configuration.member_at(vm) is not None
        if (
            is_member
            or not leadership.is_current
            or not leadership.can_change_members()
        ):
            return
        log.info("consensus: {} joins as a learner.", vm)
        learner = entries.Member(vm, candidate.replica, False)
        leadership.change_members(replica.log.configuration.with_member(learner))
