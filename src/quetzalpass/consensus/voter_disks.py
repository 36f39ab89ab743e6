"""What a leader knows of the disks of the voters, and what follows from it."""

import asyncio
from typing import TYPE_CHECKING

import logbook

from quetzalpass import ids
from quetzalpass.consensus import entries, peers
from quetzalpass.results import codes, failures

if TYPE_CHECKING:
    from quetzalpass.consensus import leading

# A leader whose disk refuses for longer transfers leadership to a better voter.
TRANSFER_AFTER_S = 0.5
# Proposals are rejected after this time without a majority of working disks.
REJECT_AFTER_S = 1.0
RETRY_AFTER_MS = 1_000

LOG = logbook.Logger("consensus")


class VoterDisks:
    """Disks of the voters, as this leader and the last replies of its peers know them.

    Parameters
    ----------
    leadership : leading.Leadership
        The leadership that it belongs to.
    """

    def __init__(self, leadership: "leading.Leadership") -> None:
        self.leadership = leadership
        self.replica = leadership.replica

    async def run(self) -> None:
        """Transfer leadership once this replica's disk fails and a voter is better.

        A transfer gives up the lease for the rest of the term, so if it fails, the
        replica steps down and leaves the election to the others.
        """
        interval_s = self.replica.settings.timing.heartbeat_interval_s
        while self.leadership.is_current:
            await asyncio.sleep(interval_s)
            successor = self.find_successor()
            if successor is None:
                continue
            condition = self.replica.health.condition.value
            LOG.warning("consensus: The leader's disk fails ({}).", condition)
            await self.leadership.transfer_leadership(successor)
            if self.leadership.is_current:
                self.replica.step_down(self.leadership.term)

    def rejection(self) -> failures.Failure | None:
        """Return why nothing may be appended now, or None if it may."""
        if not self.replica.log.may_queue:
            return rejection_of([self.describe(self.replica.settings.vm)])
        failing = {
            member.vm: self.failing_for_s(member)
            for member in self.replica.log.configuration.voters
        }
        tolerated_count = len(failing) - self.replica.log.configuration.majority
        durations = sorted(failing.values(), reverse=True)
        if durations[tolerated_count] <= REJECT_AFTER_S:
            return None
        return rejection_of([self.describe(vm) for vm in failing if failing[vm] > 0])

    def failing_for_s(self, member: entries.Member) -> float:
        """Return for how long a voter's disk is known to fail; 0 if it isn't."""
        if member.replica == self.replica.replica_id:
            return self.replica.health.log_failing_for_s()
        peer = self.leadership.peers.get(member.replica)
        if peer is None or peer.disk_failing_since is None:
            return 0.0
        if not self.is_in_contact(peer):
            return 0.0
        return self.replica.now() - peer.disk_failing_since

    def describe(self, vm: ids.VmId) -> str:
        """Return a voter's VM with what is wrong with its disk."""
        condition = self.replica.health.condition.value
        for peer in self.leadership.peers.values():
            if peer.member.vm == vm:
                condition = peer.disk_condition
        return f"{vm} ({condition})"

    def find_successor(self) -> peers.Peer | None:
        """Return the voter that holds most, if it is better than this leader.

        It must have synced more than the leader has, and a majority must be able to
        vote for it.
        """
        if self.replica.health.log_failing_for_s() < TRANSFER_AFTER_S:
            return None
        configuration = self.replica.log.configuration
        known = [self.leadership.peers.get(each.replica) for each in self.other_voters]
        usable = [peer for peer in known if peer is not None and self.is_usable(peer)]
        if len(usable) < configuration.majority:
            return None
        successor = max(usable, key=lambda peer: peer.match_index)
        is_better = successor.match_index > self.leadership.synced_index
        return successor if is_better else None

    @property
    def other_voters(self) -> list[entries.Member]:
        """Return the voters except this replica."""
        own_id = self.replica.replica_id
        voters = self.replica.log.configuration.voters
        return [member for member in voters if member.replica != own_id]

    def is_usable(self, peer: peers.Peer) -> bool:
        """Return whether a peer replied lately, and that its disk isn't failing."""
        return self.is_in_contact(peer) and peer.disk_failing_since is None

    def is_in_contact(self, peer: peers.Peer) -> bool:
        """Return whether a peer has replied within an election timeout."""
        elapsed_s = self.replica.now() - peer.acknowledged_at
        return elapsed_s < self.replica.settings.timing.election_timeout_s


def rejection_of(descriptions: list[str]) -> failures.Failure:
    """Return the failure of a proposal that was not appended."""
    message = (
        f"This call changed nothing: too few disks accept writes, as those of "
        f"{', '.join(descriptions)} do not."
    )
    return failures.Failure(
        codes.Code.STORAGE_FAILED, message, retry_after_ms=RETRY_AFTER_MS
    )
