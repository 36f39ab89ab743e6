"""A follower's side of replication: entries and snapshots of the leader."""

import crc32c
import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import applying, entries, messages
from quetzalpass.consensus import log as logs
from quetzalpass.consensus import replica as replicas

log = logbook.Logger("consensus")


class Incoming(msgspec.Struct):
    """A snapshot that is being received.

    Attributes
    ----------
    replica : ids.ReplicaId
        Leader that sends it.
    index : ids.LogIndex
        Last position that it stands for.
    checksum : int
        The crc32c of the whole.
    data : bytearray
        What has arrived.
    """

    replica: ids.ReplicaId
    index: ids.LogIndex
    checksum: int
    data: bytearray


class Following:
    """Takes entries and snapshots from a leader.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.
    applier : applying.Applier
        Task that applies committed entries.
    """

    def __init__(self, replica: replicas.Replica, applier: applying.Applier) -> None:
        self.replica = replica
        self.applier = applier
        self.incoming: Incoming | None = None

    def accepts(
        self, request: messages.AppendRequest | messages.SnapshotRequest
    ) -> bool:
        """Return whether a message comes from the leader of the newest term."""
        replica = self.replica
        if request.target != replica.replica_id or request.term < replica.term:
            return False
        if replica.is_stray(request.vm, request.replica):
            return False
        if request.term > replica.term or replica.role is replicas.Role.CANDIDATE:
            replica.step_down(request.term)
        assert replica.role is not replicas.Role.LEADER, "two leaders in one term"
        replica.note_leader(request.vm)
        return True

    async def answer_append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Take entries or a heartbeat and answer once they are synced."""
        replica = self.replica
        if not self.accepts(request):
            return messages.AppendReply(
                replica.term,
                entries.NO_REPLICA,
                False,
                ids.LogIndex(0),
                ids.LogIndex(0),
            )
        mismatch = self.find_mismatch(request)
        if mismatch is not None:
            return self.refuse(mismatch)
        self.merge(request)
        if not await replica.persist() or replica.term != request.term:
            return self.refuse(replica.log.last_index + 1)
        replica.reset_election()
        match = ids.LogIndex(request.previous_index + len(request.entries))
        replica.advance_commit(min(request.commit_index, match))
        return messages.AppendReply(
            replica.term, replica.replica_id, True, match, ids.LogIndex(match + 1)
        )

    def refuse(self, next_index: int) -> messages.AppendReply:
        """Return the answer to entries that don't fit."""
        replica = self.replica
        return messages.AppendReply(
            replica.term,
            replica.replica_id,
            False,
            ids.LogIndex(0),
            ids.LogIndex(next_index),
        )

    def find_mismatch(self, request: messages.AppendRequest) -> int | None:
        """Return where the leader should go on if the entries don't fit here.

        The whole run of the term that doesn't match is skipped at once.
        """
        held = self.replica.log
        previous = request.previous_index
        if previous > held.last_index:
            return held.last_index + 1
        if previous <= self.replica.commit_index:
            return None
        if held.term_at(previous) == request.previous_term:
            return None
        first = held.first_index_of_term_at(previous)
        return max(first, self.replica.commit_index + 1)

    def merge(self, request: messages.AppendRequest) -> None:
        """Add the entries that are not there yet."""
        held = self.replica.log
        for entry in request.entries:
            if entry.index <= self.replica.commit_index:
                # Committed here, so the same; a late or repeated message.
                continue
            if held.term_at(entry.index) != entry.term:
                held.append(entry)

    async def answer_snapshot(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        """Take one chunk of a snapshot; install it when it is whole."""
        replica = self.replica
        if not self.accepts(request):
            return messages.SnapshotReply(replica.term, entries.NO_REPLICA, 0, False)
        if request.index <= replica.commit_index:
            return self.confirm_chunk(request.total_bytes, is_installed=True)
        incoming = self.incoming_of(request)
        if request.offset == len(incoming.data):
            incoming.data += request.data
        if len(incoming.data) < request.total_bytes:
            return self.confirm_chunk(len(incoming.data), is_installed=False)
        is_installed = await self.install(incoming)
        return self.confirm_chunk(0, is_installed=is_installed)

    def confirm_chunk(
        self, next_offset: int, *, is_installed: bool
    ) -> messages.SnapshotReply:
        """Return the answer to a chunk that was taken."""
        replica = self.replica
        return messages.SnapshotReply(
            replica.term, replica.replica_id, next_offset, is_installed
        )

    def incoming_of(self, request: messages.SnapshotRequest) -> Incoming:
        """Return the snapshot that a chunk belongs to, begun anew if it is another."""
        incoming = self.incoming
        if (
            incoming is None
            or incoming.replica != request.replica
            or incoming.index != request.index
            or incoming.checksum != request.checksum
        ):
            incoming = Incoming(
                request.replica, request.index, request.checksum, bytearray()
            )
            self.incoming = incoming
        return incoming

    async def install(self, incoming: Incoming) -> bool:
        """Store a whole snapshot and replace the applied state by it."""
        replica = self.replica
        data = bytes(incoming.data)
        self.incoming = None
        if crc32c.crc32c(data) != incoming.checksum:
            log.warning("consensus: refused a snapshot whose checksum is wrong.")
            return False
        async with self.applier.lock:
            if incoming.index <= replica.applied_index:
                return True
            snapshot = logs.decode_snapshot(data)
            installed = await replica.log.install(snapshot, data)
            if isinstance(installed, result.Failure):
                replica.fail(installed.failure())
                return False
            if snapshot.index > replica.applied_index:
                replica.restore(snapshot)
            replica.reset_election()
        log.info("consensus: installed the snapshot up to {}.", snapshot.index)
        return True
