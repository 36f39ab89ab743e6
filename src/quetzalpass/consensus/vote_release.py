"""A voter that is about to stop hands its vote on to a learner.

Without that, the vote of a VM that is removed for good counts until the others have
missed it for some time, and the loss of another disk in this time costs the majority.
"""

import asyncio

import logbook
from returns import result

from quetzalpass.consensus import leading, messages
from quetzalpass.consensus import replica as replicas

# Part of a planned stop, beside the time for calls that still run.
RELEASE_TIMEOUT_S = 1.5
RETRY_INTERVAL_S = 0.05

LOG = logbook.Logger("consensus")


class VoteRelease:
    """Asks the leader to move the vote of this replica, and handles such requests.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica

    async def run(self) -> bool:
        """Ask until the vote is released; return whether it is.

        Returns at once if no learner could take it over, or if the group's members
        change only by an operator's order.
        """
        replica = self.replica
        if not replica.settings.rules.is_open:
            return False
        deadline = replica.now() + RELEASE_TIMEOUT_S
        while replica.is_running and self.is_release_possible():
            if await self.ask_leader():
                LOG.info("consensus: {} has handed on its vote.", replica.settings.vm)
                return True
            if replica.now() >= deadline:
                LOG.warning("consensus: {} stops with a vote.", replica.settings.vm)
                return False
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    def is_release_possible(self) -> bool:
        """Return whether a learner may take over the vote, or has done so."""
        members = self.replica.log.configuration.members
        is_alone = len(members) == len(self.replica.log.configuration.voters)
        return not is_alone

    async def ask_leader(self) -> bool:
        """Ask the leader once; return whether the vote no longer counts."""
        replica = self.replica
        leader = replica.leader
        if leader is None or leader == replica.settings.vm:
            return False
        request = messages.VoteReleaseRequest(
            replica.settings.group, replica.settings.vm, replica.replica_id
        )
        timeout_s = replica.settings.timing.call_timeout_s
        outcome = await replica.transport.call(leader, request, timeout_s)
        if isinstance(outcome, result.Failure):
            return False
        return outcome.unwrap().is_released

    def handle(self, request: messages.VoteReleaseRequest) -> messages.VoteReleaseReply:
        """Note that a voter will stop; reply whether its vote no longer counts."""
        leadership = self.replica.leadership
        if not isinstance(leadership, leading.Leadership):
            return messages.VoteReleaseReply(False)
        log = self.replica.log
        if log.configuration.has_replica(request.replica):
            leadership.release_requests[request.replica] = self.replica.now()
        is_committed = log.configuration_index <= self.replica.commit_index
        is_voter = log.configuration.has_voter(request.replica)
        return messages.VoteReleaseReply(is_committed and not is_voter)
