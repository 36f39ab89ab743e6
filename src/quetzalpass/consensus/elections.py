"""Elections: pre-vote, then a vote that is synced before it is given."""

import asyncio

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import entries, leading, messages
from quetzalpass.consensus import replica as replicas

# A wait below the clock's resolution ends at once and would be begun again.
MIN_WAIT_S = 0.001

log = logbook.Logger("consensus")


class Elections:
    """Campaigns of one replica, and its votes for others.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica

    async def run(self) -> None:
        """Campaign whenever no leader was heard from for too long."""
        replica = self.replica
        while replica.is_running:
            wait_s = replica.election_due_at - replica.now()
            if wait_s > MIN_WAIT_S:
                await asyncio.sleep(wait_s)
            elif replica.role is replicas.Role.LEADER or not replica.is_voter:
                replica.reset_election()
            else:
                replica.reset_election()
                await self.campaign()

    async def campaign(self) -> None:
        """Stand for election once."""
        replica = self.replica
        replica.leader = None
        term = replica.term
        due_at = replica.election_due_at
        if not await self.collect(ids.Term(term + 1), is_pre_vote=True):
            return
        # Somebody may have won, or been heard from, while the answers came in.
        if replica.term != term or replica.election_due_at != due_at:
            return
        if not replica.is_running or not replica.is_voter:
            return
        await self.stand(ids.Term(term + 1), is_hand_over=False)

    async def stand(self, term: ids.Term, *, is_hand_over: bool) -> None:
        """Ask for votes in a new term and lead if a majority grants them."""
        replica = self.replica
        if replica.term >= term or not replica.is_running:
            return
        replica.role = replicas.Role.CANDIDATE
        replica.log.set_hard_state(term, replica.replica_id)
        if not await replica.persist() or not self.is_candidate_in(term):
            return
        is_elected = await self.collect(
            term, is_pre_vote=False, is_hand_over=is_hand_over
        )
        if is_elected and self.is_candidate_in(term):
            leading.Leadership(replica).begin()

    def is_candidate_in(self, term: ids.Term) -> bool:
        """Return whether the replica still stands for election in a term."""
        replica = self.replica
        return replica.term == term and replica.role is replicas.Role.CANDIDATE

    async def collect(
        self, term: ids.Term, *, is_pre_vote: bool, is_hand_over: bool = False
    ) -> bool:
        """Ask all voters at once; return whether a majority grants."""
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
        calls = [
            asyncio.create_task(
                self.ask(
                    member, term, is_pre_vote=is_pre_vote, is_hand_over=is_hand_over
                )
            )
            for member in others
        ]
        granted = 0
        try:
            for answer in asyncio.as_completed(calls):
                granted += await answer
                if granted >= needed:
                    return True
        finally:
            for call in calls:
                call.cancel()
        return False

    async def ask(
        self,
        member: entries.Member,
        term: ids.Term,
        *,
        is_pre_vote: bool,
        is_hand_over: bool,
    ) -> bool:
        """Ask one voter; return whether it grants."""
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
            is_hand_over=is_hand_over,
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

    async def answer(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a candidate."""
        replica = self.replica
        refusal = messages.VoteReply(replica.term, False)
        if request.target != replica.replica_id:
            return refusal
        if replica.is_stray(request.vm, request.replica):
            return refusal
        if request.term < replica.term:
            return refusal
        if replica.has_recent_leader() and not request.is_hand_over:
            # A vote now could elect a second leader while the first one's lease runs.
            return refusal
        if not self.is_up_to_date(request):
            if request.term > replica.term and not request.is_pre_vote:
                replica.step_down(request.term)
            return messages.VoteReply(replica.term, False)
        if request.is_pre_vote:
            return messages.VoteReply(replica.term, request.term > replica.term)
        return await self.vote(request)

    async def answer_hand_over(
        self, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Stand for election at once if the leader of this term asks for it.

        A late request is harmless: a leader that gave up its lease doesn't get it back
        in that term.
        """
        replica = self.replica
        is_meant = request.target == replica.replica_id and replica.is_voter
        is_follower = replica.role is replicas.Role.FOLLOWER
        if is_meant and is_follower and request.term == replica.term:
            replica.reset_election()
            term = ids.Term(replica.term + 1)
            replica.spawn(self.stand(term, is_hand_over=True))
        return messages.HandOverReply()

    def is_up_to_date(self, request: messages.VoteRequest) -> bool:
        """Return whether a candidate's log holds all that this one's does."""
        log_end = (self.replica.log.last_term, self.replica.log.last_index)
        return (request.last_term, request.last_index) >= log_end

    async def vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Vote unless the vote of the term is gone; sync it before answering."""
        replica = self.replica
        if request.term > replica.term:
            replica.step_down(request.term)
        if replica.log.hard_state.voted_for not in (None, request.replica):
            return messages.VoteReply(replica.term, False)
        replica.log.set_hard_state(request.term, request.replica)
        replica.reset_election()
        is_synced = await replica.persist()
        is_kept = replica.log.hard_state == entries.HardState(
            request.term, request.replica
        )
        return messages.VoteReply(replica.term, is_synced and is_kept)
