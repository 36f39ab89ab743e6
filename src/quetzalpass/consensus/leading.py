"""The leader's side of replication: commits, lease and membership changes."""

import asyncio

import logbook

from quetzalpass import ids
from quetzalpass.consensus import entries, messages, peers, voter_disks
from quetzalpass.consensus import replica as replicas

TRANSFER_POLL_INTERVAL_S = 0.01

LOG = logbook.Logger("consensus")


class Leadership(replicas.BaseLeadership):
    """State and tasks of a leader, from winning an election until stepping down.

    Parameters
    ----------
    replica : replicas.Replica
        The replica that has won the election.
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
            is_self = member.replica == self.replica.replica_id
            is_known = member.replica in self.peers
            if is_self or is_known or member.replica == entries.NO_REPLICA:
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
        """Make a learner a voter once it holds all committed entries."""
        if peer.member.is_voter or not self.can_change_members():
            return
        if peer.match_index < self.replica.commit_index:
            return
        if not self.needs_voter():
            return
        member = entries.Member(peer.member.vm, peer.member.replica, True)
        peer.member = member
        LOG.info("consensus: {} becomes a voter.", member.vm)
        self.change_members(self.replica.log.configuration.with_member(member))

    def needs_voter(self) -> bool:
        """Return whether a learner should become a voter.

        In an open group only if there are too few voters or one is unreachable.
        """
        rules = self.replica.settings.rules
        voters = self.replica.log.configuration.voters
        if not rules.is_open or len(voters) < rules.wanted_voters:
            return True
        is_at_limit = len(voters) > rules.wanted_voters
        return not is_at_limit and any(self.is_unreachable(member) for member in voters)

    def is_unreachable(self, member: entries.Member) -> bool:
        """Return whether a member has not replied for ``gone_after_s``."""
        if member.replica == self.replica.replica_id:
            return False
        heard_at = self.began_at
        if member.replica in self.peers:
            heard_at = max(heard_at, self.peers[member.replica].acknowledged_at)
        gone_after_s = self.replica.settings.rules.gone_after_s
        return self.replica.now() - heard_at > gone_after_s

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
