"""The leader's side of replication: commits, lease and membership changes."""

import asyncio
import math

import logbook

from quetzalpass import ids
from quetzalpass.consensus import entries, messages, peers, voter_disks, votes
from quetzalpass.consensus import replica as replicas

TRANSFER_POLL_INTERVAL_S = 0.01
# A replica that will stop repeats its request several times a second.
RELEASE_REQUEST_LIFETIME_S = 1.0

LOG = logbook.Logger("consensus")


class Leadership(replicas.BaseLeadership):
    """State and tasks of a leader, from winning an election until stepping down.

    Parameters
    ----------
    replica : replicas.Replica
        The replica that has won the election.

    Attributes
    ----------
    release_requests : dict of ids.ReplicaId to float
        Loop time at which a replica last asked to lose its vote, as it will stop.
    former_leader : ids.VmId or None
        Leader before this one, if it was heard since this replica led last.
    former_leader_heard_at : float
        Loop time at which this replica last heard it.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self.term = replica.term
        self.began_at = replica.now()
        self.peers: dict[ids.ReplicaId, peers.Peer] = {}
        self.peer_tasks: dict[ids.ReplicaId, asyncio.Task] = {}
        self.first_index = ids.LogIndex(replica.log.last_index + 1)
        self.sequence = 0
        self.acknowledged = replicas.Signal()
        self.appended = replicas.Signal()
        self.background_tasks: list[asyncio.Task] = []
        self.has_given_up_lease = False
        self.voter_disks = voter_disks.VoterDisks(self)
        self.release_requests: dict[ids.ReplicaId, float] = {}
        self.former_leader = replica.last_leader
        self.former_leader_heard_at = replica.leader_contact_at
        replica.last_leader = None

    @property
    def is_current(self) -> bool:
        """Return whether the replica still leads in this term."""
        return self.replica.leadership is self

    @property
    def synced_index(self) -> ids.LogIndex:
        """Return the last index up to which the leader's own entries are synced."""
        return self.replica.log.durable_index

    @property
    def is_established(self) -> bool:
        """Return whether an entry of this term is committed.

        Until then the leader doesn't know which older entries are committed.
        """
        return self.is_current and self.replica.commit_index >= self.first_index

    def start(self) -> None:
        """Become leader and append a no-op entry."""
        replica = self.replica
        replica.role = replicas.Role.LEADER
        replica.leader = replica.settings.vm
        replica.leadership = self
        LOG.info("consensus: Became leader in term {}.", self.term)
        self.append(entries.EntryKind.NOOP)
        self.background_tasks = [
            replica.spawn(self.sync_own_entries()),
            replica.spawn(self.check_quorum()),
            replica.spawn(self.voter_disks.run()),
        ]

    def stop(self) -> None:
        """Cancel the leader's tasks."""
        current = asyncio.current_task()
        for task in [*self.peer_tasks.values(), *self.background_tasks]:
            if task is not current:
                task.cancel()
        self.peer_tasks.clear()
        self.acknowledged.notify()

    def append(
        self,
        kind: entries.EntryKind,
        session: str = "",
        operation: ids.OperationId = entries.NO_OPERATION,
        data: bytes = b"",
    ) -> entries.Entry:
        """Append an entry to the log and start replicating it."""
        assert self.is_current, "only a leader appends"
        index = ids.LogIndex(self.replica.log.last_index + 1)
        entry = entries.Entry(index, self.term, kind, session, operation, data)
        self.replica.log.append(entry)
        self.start_peers()
        self.appended.notify()
        self.wake_peers()
        return entry

    def start_peers(self) -> None:
        """Run one task for each other member and cancel those of former members."""
        configuration = self.replica.log.configuration
        for replica_id in list(self.peer_tasks):
            if not configuration.has_replica(replica_id):
                self.peer_tasks.pop(replica_id).cancel()
                del self.peers[replica_id]
        for member in configuration.members:
            if member.replica in self.peers:
                self.peers[member.replica].member = member
                continue
            is_self = member.replica == self.replica.replica_id
            if is_self or member.replica == entries.NO_REPLICA:
                continue
            peer = peers.Peer(self, member)
            self.peers[member.replica] = peer
            self.peer_tasks[member.replica] = self.replica.spawn(peer.run())

    def wake_peers(self) -> None:
        """Make all peer tasks send at once."""
        for peer in self.peers.values():
            peer.wake()

    async def sync_own_entries(self) -> None:
        """Sync the leader's own entries; they count for a majority only then."""
        while self.is_current:
            if self.synced_index == self.replica.log.last_index:
                await self.appended.wait()
                continue
            if not await self.replica.persist():
                return
            self.update_commit_index()

    def update_commit_index(self) -> None:
        """Commit the entries that a majority of the voters has synced."""
        if not self.is_current:
            return
        replica = self.replica
        configuration = replica.log.configuration
        matches = [self.get_match_index(member) for member in configuration.voters]
        matches.sort(reverse=True)
        index = matches[configuration.majority - 1]
        # Entries of older terms are committed only together with one of this term, as a
        # later leader might still replace them.
        if index >= self.first_index and index > replica.commit_index:
            replica.advance_commit(ids.LogIndex(index))
            self.step_down_if_removed()

    def get_match_index(self, member: entries.Member) -> int:
        """Return the last index that a member is known to have synced."""
        if member.replica == self.replica.replica_id:
            return self.synced_index
        peer = self.peers.get(member.replica)
        return peer.match_index if peer else 0

    def step_down_if_removed(self) -> None:
        """Step down once a configuration without this replica is committed."""
        own_log = self.replica.log
        is_committed = own_log.configuration_index <= self.replica.commit_index
        if is_committed and not self.replica.is_voter:
            self.replica.step_down(self.term)

    def on_acknowledgement(self) -> None:
        """Wake the tasks that wait for acknowledgements."""
        self.acknowledged.notify()

    def majority_contact_at(self) -> float:
        """Return the latest time at which a majority still followed this leader."""
        configuration = self.replica.log.configuration
        contacts = []
        for member in configuration.voters:
            if member.replica == self.replica.replica_id:
                contacts.append(self.replica.now())
            elif member.replica in self.peers:
                contacts.append(self.peers[member.replica].acknowledged_at)
            else:
                contacts.append(0.0)
        contacts.sort(reverse=True)
        return contacts[configuration.majority - 1]

    def has_lease(self) -> bool:
        """Return whether the lease holds: no other leader can have been elected."""
        if not self.is_established or self.has_given_up_lease:
            return False
        elapsed_s = self.replica.now() - self.majority_contact_at()
        return elapsed_s < self.replica.settings.timing.lease_s

    async def check_quorum(self) -> None:
        """Step down when no majority has replied for an election timeout."""
        timing = self.replica.settings.timing
        began_at = self.replica.now()
        while self.is_current:
            await asyncio.sleep(timing.heartbeat_interval_s)
            contact_at = max(began_at, self.majority_contact_at())
            if self.replica.now() - contact_at > timing.election_timeout_s:
                LOG.warning("consensus: Lost the majority in term {}.", self.term)
                self.replica.step_down(self.term)

    async def transfer_leadership(self, successor: peers.Peer | None = None) -> None:
        """Give up the lease for good and let a voter be elected.

        Without a successor that is the most up-to-date one, if possible one whose disk
        isn't known to fail.
        """
        self.has_given_up_lease = True
        voters = [peer for peer in self.peers.values() if peer.member.is_voter]
        if not voters:
            return
        if successor is None:
            successor = max(
                voters,
                key=lambda peer: (peer.disk_failing_since is None, peer.match_index),
            )
        request = messages.HandOverRequest(
            self.replica.settings.group, self.term, successor.member.replica
        )
        LOG.info("consensus: Transferring leadership to {}.", successor.member.vm)
        timing = self.replica.settings.timing
        await self.replica.transport.call(
            successor.member.vm, request, timing.call_timeout_s
        )
        deadline = self.replica.now() + timing.call_timeout_s
        while self.is_current and self.replica.now() < deadline:
            await asyncio.sleep(TRANSFER_POLL_INTERVAL_S)

    async def confirm_leadership(self) -> bool:
        """Wait until a majority acknowledges a message sent after this call."""
        self.sequence += 1
        target_sequence = self.sequence
        self.wake_peers()
        while self.is_current:
            configuration = self.replica.log.configuration
            confirmed = sum(
                member.replica == self.replica.replica_id
                or self.get_acknowledged_sequence(member) >= target_sequence
                for member in configuration.voters
            )
            if confirmed >= configuration.majority:
                return True
            await self.acknowledged.wait()
        return False

    def get_acknowledged_sequence(self, member: entries.Member) -> int:
        """Return the newest sequence number that a member has acknowledged."""
        peer = self.peers.get(member.replica)
        return peer.acknowledged_sequence if peer else 0

    def can_change_members(self) -> bool:
        """Return whether a membership change may start.

        Only one may be in progress, so that any two majorities share a replica. None
        may start before an entry of this term is committed, as a change of an earlier
        leader may still be in progress.
        """
        is_settled = self.replica.log.configuration_index <= self.replica.commit_index
        return self.is_established and is_settled

    def change_members(self, configuration: entries.Configuration) -> entries.Entry:
        """Append a configuration whose voters differ by at most one."""
        assert self.can_change_members(), "one membership change at a time"
        before = {member.replica for member in self.replica.log.configuration.voters}
        after = {member.replica for member in configuration.voters}
        assert len(before ^ after) <= 1, "one voter at a time"
        data = entries.encode_configuration(configuration)
        return self.append(entries.EntryKind.CONFIGURATION, data=data)

    def promote_if_caught_up(self, peer: "peers.Peer") -> None:
        """Make a learner a voter once it holds all committed entries.

        In an open group, ``upkeep.Maintenance`` chooses who votes.
        """
        if self.replica.settings.rules.is_open:
            return
        if peer.member.is_voter or not self.can_change_members():
            return
        if peer.match_index >= self.replica.commit_index:
            self.set_voter(peer.member.vm, is_voter=True)

    def set_voter(self, vm: ids.VmId, *, is_voter: bool) -> None:
        """Give the member at an address a vote, or take it away."""
        configuration = self.replica.log.configuration
        former = configuration.member_at(vm)
        assert former is not None, "only members get or lose votes"
        member = entries.Member(vm, former.replica, is_voter)
        LOG.info("consensus: {} becomes a {}.", vm, "voter" if is_voter else "learner")
        self.change_members(configuration.with_member(member))

    def member_states(self) -> list[votes.MemberState]:
        """Return what this leader knows of all members."""
        members = self.replica.log.configuration.members
        return [self.member_state(each) for each in members]

    def member_state(self, member: entries.Member) -> votes.MemberState:
        """Return what this leader knows of one member."""
        if member.replica == self.replica.replica_id:
            data_centre = self.replica.settings.data_centre
            return votes.MemberState(
                member.vm, member.is_voter, data_centre, is_leader=True
            )
        silent_s = self.replica.now() - self.last_heard_at(member)
        asked_at = self.release_requests.get(member.replica, -math.inf)
        peer = self.peers.get(member.replica)
        return votes.MemberState(
            member.vm,
            member.is_voter,
            peer.data_centre if peer else ids.UNKNOWN_DATA_CENTRE,
            silent_s,
            is_stopping=self.replica.now() - asked_at < RELEASE_REQUEST_LIFETIME_S,
            may_get_vote=peer is not None and self.may_get_vote(peer),
        )

    def may_get_vote(self, peer: peers.Peer) -> bool:
        """Return whether a peer replies and holds all that is committed."""
        is_caught_up = peer.match_index >= self.replica.commit_index
        return is_caught_up and self.voter_disks.is_usable(peer)

    def last_heard_at(self, member: entries.Member) -> float:
        """Return the loop time at which a member was last known to run.

        Of a member that has never replied, that is when this leadership began. The
        leader before it was last heard as a leader, but gets time for a first reply.
        """
        peer = self.peers.get(member.replica)
        if peer is not None and peer.acknowledged_at > 0.0:
            return peer.acknowledged_at
        if member.vm != self.former_leader:
            return self.began_at
        lost_after_s = self.replica.settings.rules.lost_after_s
        first_reply_s = self.replica.settings.timing.election_timeout_s
        earliest_at = self.began_at - lost_after_s + first_reply_s
        return max(self.former_leader_heard_at, earliest_at)

    def replace_replica(self, vm: ids.VmId, replica_id: ids.ReplicaId) -> None:
        """Replace the former replica of a VM, whose disk was lost, by its new one.

        The new replica starts as a learner and the former one is no longer a voter. If
        one voter were swapped for another in a single change, a majority before it and
        one after it might share no replica.
        """
        configuration = self.replica.log.configuration
        member = configuration.member_at(vm)
        if member is None or member.replica == replica_id:
            return
        if not self.can_change_members():
            return
        if member.is_voter and len(configuration.voters) == 1:
            return
        LOG.warning("consensus: {} has a new disk; it becomes a learner.", vm)
        learner = entries.Member(vm, replica_id, False)
        self.change_members(configuration.with_member(learner))
