"""The follower's side of replication: entries and snapshots from the leader."""

import asyncio

import crc32c
import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import applying, entries, messages
from quetzalpass.consensus import log as logs
from quetzalpass.consensus import replica as replicas

# Share of the heartbeat interval for which a reply waits for the disk.
SYNC_WAIT_RATIO = 0.5
# Wait before the reply to a chunk of a snapshot that can't be stored now, as the leader
# sends the next one at once. It is shorter than the timeout of its call.
INSTALL_RETRY_DELAY_S = 0.3

LOG = logbook.Logger("consensus")


class IncomingSnapshot(msgspec.Struct):
    """A snapshot that is being received.

    Attributes
    ----------
    replica : ids.ReplicaId
        Leader that sends it.
    index : ids.LogIndex
        Last index that it covers.
    checksum : int
        The crc32c of the whole snapshot.
    data : bytearray
        Bytes received so far.
    """

    replica: ids.ReplicaId
    index: ids.LogIndex
    checksum: int
    data: bytearray


class Follower:
    """Receives entries and snapshots from a leader.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.
    applier : applying.Applier
        Applies the committed entries.
    """

    def __init__(self, replica: replicas.Replica, applier: applying.Applier) -> None:
        self.replica = replica
        self.applier = applier
        self.incoming: IncomingSnapshot | None = None
        self.installing: asyncio.Task[None] | None = None
        self.is_installed = False

    def accept_leader(
        self, request: messages.AppendRequest | messages.SnapshotRequest
    ) -> bool:
        """Accept a message if it is from the current leader, and follow the sender."""
        replica = self.replica
        if request.target != replica.replica_id or request.term < replica.term:
            return False
        if replica.is_from_former_replica(request.vm, request.replica):
            return False
        if request.term > replica.term or replica.role is replicas.Role.CANDIDATE:
            replica.step_down(request.term)
        assert replica.role is not replicas.Role.LEADER, "two leaders in one term"
        replica.on_leader_contact(request.vm)
        return True

    async def handle_append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Append entries, or accept a heartbeat.

        The reply waits for the disk only for a bounded time. After that it confirms the
        leader and the entries that are synced, so that a disk that refuses or hangs
        costs the leader neither its lease nor its majority.
        """
        replica = self.replica
        if not self.accept_leader(request):
            return messages.AppendReply(
                replica.term,
                entries.NO_REPLICA,
                False,
                ids.LogIndex(0),
                ids.LogIndex(0),
            )
        mismatch = self.find_mismatch(request)
        if mismatch is not None:
            return self.reject(mismatch)
        match = self.append_missing(request)
        is_running = await self.wait_until_synced(match)
        if not is_running or replica.term != request.term:
            return self.reject(replica.log.last_index + 1)
        replica.reset_election_timer()
        replica.advance_commit(min(request.commit_index, match))
        return messages.AppendReply(
            replica.term,
            replica.replica_id,
            True,
            self.synced_match(match),
            ids.LogIndex(match + 1),
            self.disk_condition(),
            replica.settings.data_centre,
        )

    def disk_condition(self) -> str:
        """Return what is wrong with the disk if the log can't be written now."""
        health = self.replica.health
        return health.condition.value if health.is_failing else ""

    def synced_match(self, match: ids.LogIndex) -> ids.LogIndex:
        """Return up to where the log matches the leader's for good, also in a restart.

        Until the term is synced only committed entries count: after a restart the
        replica might accept others in their place from the leader of an older term.
        """
        replica = self.replica
        synced = min(match, replica.log.durable_index)
        if replica.log.is_term_durable:
            return synced
        return min(synced, replica.commit_index)

    async def wait_until_synced(self, match: ids.LogIndex) -> bool:
        """Wait for the disk for a bounded time; return whether the replica runs.

        A leader sends again at once while a reply leaves something to sync, so the
        whole time is waited even if the disk is known to fail.
        """
        replica = self.replica
        if self.synced_match(match) == match:
            return replica.is_running
        log = replica.log
        wait_s = replica.settings.timing.heartbeat_interval_s * SYNC_WAIT_RATIO
        try:
            async with asyncio.timeout(wait_s):
                return await replica.persist()
        except TimeoutError:
            return replica.is_running and replica.log is log

    def reject(self, next_index: int) -> messages.AppendReply:
        """Return the reply to entries that don't match this log."""
        replica = self.replica
        return messages.AppendReply(
            replica.term,
            replica.replica_id,
            False,
            ids.LogIndex(0),
            ids.LogIndex(next_index),
            self.disk_condition(),
            replica.settings.data_centre,
        )

    def find_mismatch(self, request: messages.AppendRequest) -> int | None:
        """Return the index to send next if the entries don't match, else None.

        All entries of the term that doesn't match are skipped at once.
        """
        own_log = self.replica.log
        previous = request.previous_index
        if previous > own_log.last_index:
            return own_log.last_index + 1
        if previous <= self.replica.commit_index:
            return None
        if own_log.term_at(previous) == request.previous_term:
            return None
        first = own_log.first_index_of_term_at(previous)
        return max(first, self.replica.commit_index + 1)

    def append_missing(self, request: messages.AppendRequest) -> ids.LogIndex:
        """Append the entries that the log doesn't have yet; return the last index held.

        Those for which there is no room while the disk fails are left to the leader.
        """
        own_log = self.replica.log
        match = request.previous_index
        for entry in request.entries:
            # What is committed here is the same: the message is delayed or repeated.
            is_committed = entry.index <= self.replica.commit_index
            if not is_committed and own_log.term_at(entry.index) != entry.term:
                if not own_log.may_queue:
                    break
                own_log.append(entry)
            match = entry.index
        return match

    async def handle_snapshot(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        """Store one chunk of a snapshot; install the snapshot once it is complete."""
        replica = self.replica
        if not self.accept_leader(request):
            return messages.SnapshotReply(replica.term, entries.NO_REPLICA, 0, False)
        if request.index <= replica.commit_index:
            return self.acknowledge_chunk(request.total_bytes, is_installed=True)
        incoming = self.get_incoming(request)
        if request.offset == len(incoming.data):
            incoming.data += request.data
        if len(incoming.data) < request.total_bytes:
            return self.acknowledge_chunk(len(incoming.data), is_installed=False)
        if crc32c.crc32c(incoming.data) != incoming.checksum:
            LOG.warning("consensus: Rejected a snapshot with a wrong checksum.")
            self.incoming = None
            return self.acknowledge_chunk(0, is_installed=False)
        is_installed = await self.install_within_bound(incoming)
        return self.acknowledge_chunk(len(incoming.data), is_installed=is_installed)

    async def install_within_bound(self, incoming: IncomingSnapshot) -> bool:
        """Install a snapshot; return whether that was done soon.

        A task of the replica does it, so that it goes on if the leader no longer waits
        for the reply. The whole time is waited if the disk refuses the snapshot.
        """
        loop = asyncio.get_running_loop()
        replies_at = loop.time() + INSTALL_RETRY_DELAY_S
        if self.installing is None or self.installing.done():
            self.is_installed = False
            self.installing = self.replica.spawn(self.run_installation(incoming))
        await asyncio.wait([self.installing], timeout=INSTALL_RETRY_DELAY_S)
        if not self.is_installed:
            await asyncio.sleep(max(0.0, replies_at - loop.time()))
        is_covered = incoming.index <= self.replica.applied_index
        return self.is_installed and is_covered

    async def run_installation(self, incoming: IncomingSnapshot) -> None:
        """Install a snapshot, and drop the segments that it covers."""
        self.is_installed = await self.install(incoming)
        if self.is_installed:
            self.applier.start_tidying()

    def acknowledge_chunk(
        self, next_offset: int, *, is_installed: bool
    ) -> messages.SnapshotReply:
        """Return the reply to a chunk that was accepted."""
        replica = self.replica
        return messages.SnapshotReply(
            replica.term, replica.replica_id, next_offset, is_installed
        )

    def get_incoming(self, request: messages.SnapshotRequest) -> IncomingSnapshot:
        """Return the snapshot that a chunk belongs to; start it if it is a new one."""
        incoming = self.incoming
        if (
            incoming is None
            or incoming.replica != request.replica
            or incoming.index != request.index
            or incoming.checksum != request.checksum
        ):
            incoming = IncomingSnapshot(
                request.replica, request.index, request.checksum, bytearray()
            )
            self.incoming = incoming
        return incoming

    async def install(self, incoming: IncomingSnapshot) -> bool:
        """Store a complete snapshot and replace the applied state by it.

        Returns
        -------
        bool
            False if the disk refuses it or is busy with another snapshot. What was
            received is kept, so that the leader's next chunk, which is empty, makes
            another attempt.
        """
        replica = self.replica
        if self.applier.lock.locked():
            return False
        async with self.applier.lock:
            if incoming.index > replica.applied_index:
                data = bytes(incoming.data)
                snapshot = logs.decode_snapshot(data)
                saved = await replica.log.save_snapshot(
                    snapshot.index,
                    data,
                    in_reserve=self.applier.may_use_reserve(snapshot.index),
                )
                if isinstance(saved, result.Failure):
                    return False
                replica.log.install(snapshot, data)
                if snapshot.index > replica.applied_index:
                    replica.restore(snapshot)
                LOG.info("consensus: Installed a snapshot up to {}.", snapshot.index)
        if self.incoming is incoming:
            self.incoming = None
        if not await replica.persist():
            return False
        replica.reset_election_timer()
        return True
