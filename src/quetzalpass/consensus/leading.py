"""A leader's time in office: one task for each peer, commits, lease, members."""

import asyncio

import logbook

from quetzalpass import ids
from quetzalpass.consensus import entries, messages, peers
from quetzalpass.consensus import replica as replicas

HAND_OVER_POLL_S = 0.01

log = logbook.Logger("consensus")


class Leadership(replicas.BaseLeadership):
    """What a replica does from winning an election until it steps down.

    Parameters
    ----------
    replica : replicas.Replica
        The replica that has won.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self.term = replica.term
        self.began_at = replica.now()
        self.peers: dict[ids.ReplicaId, peers.Peer] = {}
        self.tasks: dict[ids.ReplicaId, asyncio.Task] = {}
        self.synced_index = replica.log.last_index
        self.first_index = ids.LogIndex(replica.log.last_index + 1)
        self.sequence = 0
        self.acknowledged = replicas.Signal()
        self.appended = replicas.Signal()
        self.own_tasks: list[asyncio.Task] = []
        self.has_given_up_lease = False

    @property
    def is_current(self) -> bool:
        """Return whether this is still the replica's tenure."""
        return self.replica.leadership is self

    @property
    def is_established(self) -> bool:
        """Return whether an entry of this term is committed.

        Only then does the leader know which older entries are committed too.
        """
        return self.is_current and self.replica.commit_index >= self.first_index

    def begin(self) -> None:
        """Take office."""
        replica = self.replica
        replica.role = replicas.Role.LEADER
        replica.leader = replica.settings.vm
        replica.leadership = self
        log.info("consensus: became leader in term {}.", self.term)
        self.append(entries.EntryKind.NOOP)
        self.own_tasks = [
            replica.spawn(self.sync_own_entries()),
            replica.spawn(self.check_quorum()),
        ]

    def end(self) -> None:
        """Stop all that only a leader does."""
        current = asyncio.current_task()
        for task in [*self.tasks.values(), *self.own_tasks]:
            if task is not current:
                task.cancel()
        self.tasks.clear()
        self.acknowledged.notify()

    def append(
        self,
        kind: entries.EntryKind,
        session: str = "",
        operation: ids.OperationId = entries.NO_OPERATION,
        data: bytes = b"",
    ) -> entries.Entry:
        """Add an entry to the log and send it on its way."""
        assert self.is_current, "only a leader appends"
        index = ids.LogIndex(self.replica.log.last_index + 1)
        entry = entries.Entry(index, self.term, kind, session, operation, data)
        self.replica.log.append(entry)
        self.start_peers()
        self.appended.notify()
        self.wake_peers()
        return entry

    def start_peers(self) -> None:
        """Have one task for each other member, and none for former ones."""
        configuration = self.replica.log.configuration
        for replica_id in list(self.tasks):
            if not configuration.has_replica(replica_id):
                self.tasks.pop(replica_id).cancel()
                del self.peers[replica_id]
        for member in configuration.members:
            is_self = member.replica == self.replica.replica_id
            is_known = member.replica in self.peers
            if is_self or is_known or member.replica == entries.NO_REPLICA:
                continue
            peer = peers.Peer(self, member)
            self.peers[member.replica] = peer
            self.tasks[member.replica] = self.replica.spawn(peer.run())

    def wake_peers(self) -> None:
        """Have every peer's task send now."""
        for peer in self.peers.values():
            peer.wake()

    async def sync_own_entries(self) -> None:
        """Sync what is appended here; it counts for the majority only then."""
        while self.is_current:
            last = self.replica.log.last_index
            if last == self.synced_index:
                await self.appended.wait()
                continue
            if not await self.replica.persist():
                return
            self.synced_index = last
            self.advance()

    def advance(self) -> None:
        """Commit what a majority of the voters has synced."""
        if not self.is_current:
            return
        replica = self.replica
        configuration = replica.log.configuration
        matches = [self.match_of(member) for member in configuration.voters]
        matches.sort(reverse=True)
        index = matches[configuration.majority - 1]
        # Entries of older terms count only through one of this term, as a later
        # leader might still replace them.
        if index >= self.first_index and index > replica.commit_index:
            replica.advance_commit(ids.LogIndex(index))
            self.leave_if_removed()

    def match_of(self, member: entries.Member) -> int:
        """Return up to where a member is known to have synced the log."""
        if member.replica == self.replica.replica_id:
            return self.synced_index
        peer = self.peers.get(member.replica)
        return peer.match_index if peer else 0

    def leave_if_removed(self) -> None:
        """Step down once a configuration without this replica is committed."""
        held = self.replica.log
        is_committed = held.configuration_index <= self.replica.commit_index
        if is_committed and not self.replica.is_voter:
            self.replica.step_down(self.term)

    def note_acknowledgement(self) -> None:
        """Let those go on who wait for a majority."""
        self.acknowledged.notify()

    def majority_contact_at(self) -> float:
        """Return since when a majority has certainly followed this leader."""
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
        """Return whether no other leader can have been elected by now."""
        if not self.is_established or self.has_given_up_lease:
            return False
        elapsed_s = self.replica.now() - self.majority_contact_at()
        return elapsed_s < self.replica.settings.timing.lease_s

    async def check_quorum(self) -> None:
        """Step down when a majority has not answered for an election timeout."""
        timing = self.replica.settings.timing
        began_at = self.replica.now()
        while self.is_current:
            await asyncio.sleep(timing.heartbeat_interval_s)
            contact_at = max(began_at, self.majority_contact_at())
            if self.replica.now() - contact_at > timing.election_timeout_s:
                log.warning("consensus: lost the majority in term {}.", self.term)
                self.replica.step_down(self.term)

    async def transfer_leadership(self) -> None:
        """Give up the lease for good and have the best voter stand for election."""
        self.has_given_up_lease = True
        voters = [peer for peer in self.peers.values() if peer.member.is_voter]
        if not voters:
            return
        best = max(voters, key=lambda peer: peer.match_index)
        request = messages.HandOverRequest(
            self.replica.settings.group, self.term, best.member.replica
        )
        log.info("consensus: hands over to {}.", best.member.vm)
        timing = self.replica.settings.timing
        await self.replica.transport.call(
            best.member.vm, request, timing.call_timeout_s
        )
        deadline = self.replica.now() + timing.call_timeout_s
        while self.is_current and self.replica.now() < deadline:
            await asyncio.sleep(HAND_OVER_POLL_S)

    async def confirm(self) -> bool:
        """Wait until a majority answers a message sent after this call."""
        self.sequence += 1
        wanted = self.sequence
        self.wake_peers()
        while self.is_current:
            configuration = self.replica.log.configuration
            confirmed = sum(
                member.replica == self.replica.replica_id
                or self.sequence_of(member) >= wanted
                for member in configuration.voters
            )
            if confirmed >= configuration.majority:
                return True
            await self.acknowledged.wait()
        return False

    def sequence_of(self, member: entries.Member) -> int:
        """Return the newest sequence number that a member has acknowledged."""
        peer = self.peers.get(member.replica)
        return peer.acknowledged_sequence if peer else 0

    def can_change_members(self) -> bool:
        """Return whether the next change of members may begin.

        One at a time, so that any two majorities share a replica; and not before an
        entry of this term is committed, as an older leader's change may be open.
        """
        is_settled = self.replica.log.configuration_index <= self.replica.commit_index
        return self.is_established and is_settled

    def change_members(self, configuration: entries.Configuration) -> entries.Entry:
        """Append a configuration that differs by at most one voter."""
        assert self.can_change_members(), "one change of members at a time"
        before = {member.replica for member in self.replica.log.configuration.voters}
        after = {member.replica for member in configuration.voters}
        assert len(before ^ after) <= 1, "one voter at a time"
        data = entries.encode_configuration(configuration)
        return self.append(entries.EntryKind.CONFIGURATION, data=data)

    def promote_if_caught_up(self, peer: "peers.Peer") -> None:
        """Make a learner a voter once it holds all that is committed."""
        if peer.member.is_voter or not self.can_change_members():
            return
        if peer.match_index < self.replica.commit_index:
            return
        if not self.needs_voter():
            return
        member = entries.Member(peer.member.vm, peer.member.replica, True)
        peer.member = member
        log.info("consensus: {} becomes a voter.", member.vm)
        self.change_members(self.replica.log.configuration.with_member(member))

    def needs_voter(self) -> bool:
        """Return whether a learner should become a voter.

        In an open group only where voters are too few or one of them is gone.
        """
        rules = self.replica.settings.rules
        voters = self.replica.log.configuration.voters
        if not rules.is_open or len(voters) < rules.wanted_voters:
            return True
        is_at_limit = len(voters) > rules.wanted_voters
        return not is_at_limit and any(self.is_gone(member) for member in voters)

    def is_gone(self, member: entries.Member) -> bool:
        """Return whether a member has not been heard from for too long."""
        if member.replica == self.replica.replica_id:
            return False
        heard_at = self.began_at
        if member.replica in self.peers:
            heard_at = max(heard_at, self.peers[member.replica].acknowledged_at)
        gone_after_s = self.replica.settings.rules.gone_after_s
        return self.replica.now() - heard_at > gone_after_s

    def replace(self, vm: ids.VmId, replica_id: ids.ReplicaId) -> None:
        """Put the disk that a VM has now in the place of its former one.

        The former voter is removed first and the new disk starts as a learner: were
        they swapped at once, an old and a new majority might share no replica.
        """
        configuration = self.replica.log.configuration
        member = configuration.member_at(vm)
        if member is None or member.replica == replica_id:
            return
        if not self.can_change_members():
            return
        if member.is_voter and len(configuration.voters) == 1:
            return
        log.warning("consensus: {} has a new disk; it starts as a learner.", vm)
        learner = entries.Member(vm, replica_id, False)
        self.change_members(configuration.with_member(learner))
