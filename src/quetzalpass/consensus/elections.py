"""Leader election with pre-vote; each vote is synced to disk before it is sent."""

import asyncio

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import entries, leading, messages
from quetzalpass.consensus import replica as replicas

# A shorter sleep is below the clock's resolution and would return at once.
MIN_WAIT_S = 0.001

LOG = logbook.Logger("consensus")


class Elections:
    """Runs elections for one replica and votes in those of others.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica

    async def run(self) -> None:
        """Campaign whenever the election timeout passes without a leader's message."""
        replica = self.replica
        while replica.is_running:
            wait_s = replica.election_due_at - replica.now()
            if wait_s > MIN_WAIT_S:
                await asyncio.sleep(wait_s)
            elif replica.role is replicas.Role.LEADER or not self.may_stand():
                replica.reset_election_timer()
            else:
                replica.reset_election_timer()
                await self.campaign()

    def may_stand(self) -> bool:
        """Return whether this replica may become leader.

        Not while its disk fails: its own vote needs a sync, and as a leader it could
        count only the others.
        """
        return self.replica.is_voter and not self.replica.health.is_failing

    async def campaign(self) -> None:
        """Hold a pre-vote and, if it succeeds, run an election."""
        replica = self.replica
        replica.leader = None
        term = replica.term
        due_at = replica.election_due_at
        if not await self.collect_votes(ids.Term(term + 1), is_pre_vote=True):
            return
        # Another replica may have won or made contact during the pre-vote.
        if replica.term != term or replica.election_due_at != due_at:
            return
        if not replica.is_running or not self.may_stand():
            return
        await self.run_election(ids.Term(term + 1), is_transfer=False)

    async def run_election(self, term: ids.Term, *, is_transfer: bool) -> None:
        """Request votes in a new term and become leader if a majority grants them."""
        replica = self.replica
        if replica.term >= term or not replica.is_running:
            return
        replica.role = replicas.Role.CANDIDATE
        replica.log.set_hard_state(term, replica.replica_id)
        if not await replica.persist() or not self.is_candidate_in(term):
            return
        is_elected = await self.collect_votes(
            term, is_pre_vote=False, is_transfer=is_transfer
        )
        if is_elected and self.is_candidate_in(term):
            leading.Leadership(replica).start()

    def is_candidate_in(self, term: ids.Term) -> bool:
        """Return whether the replica is still a candidate in a term."""
        replica = self.replica
        return replica.term == term and replica.role is replicas.Role.CANDIDATE

    async def collect_votes(
        self, term: ids.Term, *, is_pre_vote: bool, is_transfer: bool = False
    ) -> bool:
        """Request all votes concurrently; return whether a majority grants them."""
        replica = self.replica
        configuration = replica.log.configuration
        others = [
            member
            for member in configuration.voters
            if member.replica != replica.replica_id
        ]
        needed = configuration.majority - 1
        if needed == 0:
            return True
        tasks = [
            asyncio.create_task(
                self.request_vote(
                    member, term, is_pre_vote=is_pre_vote, is_transfer=is_transfer
                )
            )
            for member in others
        ]
        granted = 0
        try:
            for grant in asyncio.as_completed(tasks):
                granted += await grant
                if granted >= needed:
                    return True
        finally:
            for task in tasks:
                task.cancel()
        return False

    async def request_vote(
        self,
        member: entries.Member,
        term: ids.Term,
        *,
        is_pre_vote: bool,
        is_transfer: bool,
    ) -> bool:
        """Request the vote of one voter; return whether it is granted."""
        replica = self.replica
        request = messages.VoteRequest(
            group=replica.settings.group,
            term=term,
            vm=replica.settings.vm,
            replica=replica.replica_id,
            target=member.replica,
            last_index=replica.log.last_index,
            last_term=replica.log.last_term,
            is_pre_vote=is_pre_vote,
            is_hand_over=is_transfer,
        )
        timeout_s = replica.settings.timing.vote_timeout_s
        outcome = await replica.transport.call(member.vm, request, timeout_s)
        if isinstance(outcome, result.Failure):
            return False
        reply = outcome.unwrap()
        if reply.term > replica.term and replica.is_running:
            replica.step_down(reply.term)
            return False
        return reply.is_granted

    async def handle_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Grant or refuse a vote or pre-vote."""
        replica = self.replica
        refusal = messages.VoteReply(replica.term, False)
        if request.target != replica.replica_id:
            return refusal
        if replica.health.is_failing:
            # A vote would have to be synced; the candidate need not wait for that.
            return refusal
        if replica.is_from_former_replica(request.vm, request.replica):
            return refusal
        if request.term < replica.term:
            return refusal
        if replica.has_recent_leader() and not request.is_hand_over:
            # A vote now could elect a second leader while the first has its lease.
            return refusal
        if not self.is_up_to_date(request):
            if request.term > replica.term and not request.is_pre_vote:
                replica.step_down(request.term)
            return messages.VoteReply(replica.term, False)
        if request.is_pre_vote:
            return messages.VoteReply(replica.term, request.term > replica.term)
        return await self.cast_vote(request)

    async def handle_leadership_transfer(
        self, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Run an election at once if the leader of this term requests it.

        A delayed request is harmless: a leader that has given up its lease doesn't
        regain it in that term.
        """
        replica = self.replica
        is_target = request.target == replica.replica_id and self.may_stand()
        is_follower = replica.role is replicas.Role.FOLLOWER
        if is_target and is_follower and request.term == replica.term:
            replica.reset_election_timer()
            term = ids.Term(replica.term + 1)
            replica.spawn(self.run_election(term, is_transfer=True))
        return messages.HandOverReply()

    def is_up_to_date(self, request: messages.VoteRequest) -> bool:
        """Return whether a candidate's log is at least as up to date as this one."""
        log_end = (self.replica.log.last_term, self.replica.log.last_index)
        return (request.last_term, request.last_index) >= log_end

    async def cast_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Vote unless the term's vote is already given; sync it before replying."""
        replica = self.replica
        if request.term > replica.term:
            replica.step_down(request.term)
        if replica.log.hard_state.voted_for not in (None, request.replica):
            return messages.VoteReply(replica.term, False)
        replica.log.set_hard_state(request.term, request.replica)
        replica.reset_election_timer()
        is_synced = await replica.persist()
        is_unchanged = replica.log.hard_state == entries.HardState(
            request.term, request.replica
        )
        return messages.VoteReply(replica.term, is_synced and is_unchanged)
