"""The log of one replica: entries in memory, with records and snapshots on disk."""

import collections

import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import entries, sessions
from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import frames, health, reserve, segments, snapshots

# Small, so that a compaction frees most of the disk.
SEGMENT_BYTES = 1024 * 1024
TRAILING_ENTRIES = 256
TRAILING_BYTES = 8 * 1024 * 1024
# Records that may wait for a disk that fails.
MAX_UNSYNCED_BYTES = 16 * 1024 * 1024
MAX_UNSYNCED_RECORDS = 65_536

LOG = logbook.Logger("consensus")


class GroupSnapshot(msgspec.Struct, frozen=True):
    """State of a group up to one index of its log.

    Attributes
    ----------
    index : ids.LogIndex
        Last index that the snapshot covers.
    term : ids.Term
        Term of the entry there.
    configuration : entries.Configuration
        Members as of that index.
    sessions : list of sessions.SessionState
        Outcomes of operations, returned for resends.
    machine : bytes
        State of the state machine.
    """

    index: ids.LogIndex
    term: ids.Term
    configuration: entries.Configuration
    sessions: list[sessions.SessionState]
    machine: bytes


class UnsyncedEntry(msgspec.Struct, frozen=True):
    """An entry whose record may not be on the disk yet.

    Attributes
    ----------
    record : int
        Number of the record, counted from 1 as ``SegmentLog.appended_count`` does.
    index : ids.LogIndex
        Index of the entry.
    """

    record: int
    index: ids.LogIndex


class ReplicatedLog:
    """The log of one replica.

    Entries after ``base_index`` are in memory; the snapshot covers those up to it.

    Parameters
    ----------
    disk : disks.Disk
        Folder of this replica.
    disk_health : health.DiskHealth or None
        Where to record what is wrong with the disk.

    Attributes
    ----------
    hard_state_record : int
        Number of the record of the newest term and vote; 0 if it was read from the
        disk.
    unsynced : deque of UnsyncedEntry
        Entries queued for the disk, in the order of their records and their indexes.
    """

    def __init__(
        self, disk: disks.Disk, disk_health: health.DiskHealth | None = None
    ) -> None:
        self.entries: list[entries.Entry] = []
        self.base_index = ids.LogIndex(0)
        self.base_term = ids.Term(0)
        self.snapshot_index = ids.LogIndex(0)
        self.snapshot_data = b""
        self.configurations: list[tuple[int, entries.Configuration]] = []
        self.hard_state = entries.HardState()
        self.hard_state_record = 0
        self.unsynced: collections.deque[UnsyncedEntry] = collections.deque()
        self.segments = segments.SegmentLog(
            disk, self.head_record, SEGMENT_BYTES, disk_health
        )
        self.health = self.segments.health
        self.snapshots = snapshots.SnapshotStore(disk, self.health)
        self.reserve = reserve.Reserve(disk, self.health)

    @property
    def last_index(self) -> ids.LogIndex:
        """Return the index of the last entry."""
        return ids.LogIndex(self.base_index + len(self.entries))

    @property
    def last_term(self) -> ids.Term:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def durable_index(self) -> ids.LogIndex:
        """Return the last index up to which a restart would find this very log.

        That is the entry before the first unsynced one, as records are synced in the
        order in which they were queued, or what the snapshot covers, which is durable
        before it is used.
        """
        synced_count = self.segments.synced_count
        while self.unsynced and self.unsynced[0].record <= synced_count:
            self.unsynced.popleft()
        if not self.unsynced:
            return self.last_index
        return ids.LogIndex(max(self.snapshot_index, self.unsynced[0].index - 1))

    @property
    def may_queue(self) -> bool:
        """Return whether few enough records wait for the disk to queue another one."""
        waiting = self.segments
        is_short = len(waiting.pending) < MAX_UNSYNCED_RECORDS
        return is_short and waiting.pending_bytes < MAX_UNSYNCED_BYTES

    @property
    def is_term_durable(self) -> bool:
        """Return whether the newest term and vote are synced."""
        return self.hard_state_record <= self.segments.synced_count

    @property
    def configuration(self) -> entries.Configuration:
        """Return the newest configuration, committed or not."""
        if not self.configurations:
            return entries.Configuration()
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Return the index of the newest configuration."""
        return self.configurations[-1][0] if self.configurations else 0

    @property
    def is_blank(self) -> bool:
        """Return whether the log is empty and the replica has never voted."""
        return self.last_index == 0 and self.hard_state == entries.HardState()

    def configuration_at(self, index: int) -> entries.Configuration:
        """Return the configuration that was in force at an index."""
        found = entries.Configuration()
        for position, configuration in self.configurations:
            if position <= index:
                found = configuration
        return found

    def term_at(self, index: int) -> ids.Term | None:
        """Return the term of an entry, or None if the log doesn't hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entry_at(index).term
        return None

    def entry_at(self, index: int) -> entries.Entry:
        """Return the entry at an index after ``base_index``."""
        return self.entries[index - self.base_index - 1]

    def entries_from(
        self, index: int, max_count: int, max_bytes: int
    ) -> list[entries.Entry]:
        """Return entries from an index on; at least one if there is any."""
        found = []
        size = 0
        start = index - self.base_index - 1
        for entry in self.entries[start : start + max_count]:
            size += len(entry.data)
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index of the run of entries of one term that ends here."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def set_hard_state(
        self, term: ids.Term, voted_for: ids.ReplicaId | None = None
    ) -> None:
        """Queue a new term and vote, which are durable once ``commit`` succeeds."""
        self.hard_state = entries.HardState(term, voted_for)
        self.segments.append(0, entries.encode_stored(self.hard_state))
        self.hard_state_record = self.segments.appended_count

    def head_record(self) -> frames.Record:
        """Return the record with which each segment starts."""
        return frames.Record(0, entries.encode_stored(self.hard_state))

    def append(self, entry: entries.Entry) -> None:
        """Queue an entry; it replaces all entries from its index on."""
        self.insert(entry)
        self.segments.append(entry.index, entries.encode_stored(entry))
        while self.unsynced and self.unsynced[-1].index >= entry.index:
            self.unsynced.pop()
        record = self.segments.appended_count
        self.unsynced.append(UnsyncedEntry(record, entry.index))

    def insert(self, entry: entries.Entry) -> None:
        """Add an entry to memory, replacing all entries from its index on."""
        assert self.base_index < entry.index <= self.last_index + 1, "gap in the log"
        if entry.index <= self.last_index:
            del self.entries[entry.index - self.base_index - 1 :]
            while self.configuration_index >= entry.index:
                self.configurations.pop()
        self.entries.append(entry)
        if entry.kind is entries.EntryKind.CONFIGURATION:
            configuration = entries.decode_configuration(entry.data)
            self.configurations.append((entry.index, configuration))

    async def commit(self) -> result.Result[None, failures.Failure]:
        """Wait until all queued records are durable."""
        return await self.segments.commit()

    async def open(self) -> result.Result[GroupSnapshot | None, failures.Failure]:
        """Read the log from the disk.

        Returns
        -------
        returns.result.Result
            The newest snapshot, or ``STORAGE_DAMAGED`` or ``STORAGE_FAILED``.
        """
        loaded = await self.snapshots.open()
        if isinstance(loaded, result.Failure):
            return loaded
        replayed = await self.segments.open(self.replay)
        if isinstance(replayed, result.Failure):
            return replayed
        stored = loaded.unwrap()
        snapshot = decode_snapshot(stored.data) if stored else None
        if snapshot is not None:
            self.complete_base(snapshot)
            matches = self.term_at(snapshot.index) == snapshot.term
            self.set_snapshot(snapshot, stored.data)
            if not matches:
                self.segments.append(
                    snapshot.index, entries.encode_stored(entries.Reset(snapshot.index))
                )
        if self.base_index > self.snapshot_index:
            message = (
                f"The entries up to {self.base_index} are missing, and no snapshot "
                f"holds them. Start with an empty folder."
            )
            return result.Failure(failures.Failure(codes.Code.STORAGE_DAMAGED, message))
        self.trim()
        committed = await self.commit()
        if isinstance(committed, result.Failure):
            return committed
        return result.Success(snapshot)

    def replay(self, record: frames.Record) -> None:
        """Add a record of the disk to memory; all are replayed as they were written."""
        stored = entries.decode_stored(record.data)
        if isinstance(stored, entries.HardState):
            self.hard_state = stored
        elif isinstance(stored, entries.Reset):
            self.clear(stored.index, ids.Term(0))
        else:
            if not self.base_index < stored.index <= self.last_index + 1:
                self.clear(ids.LogIndex(stored.index - 1), ids.Term(0))
            self.insert(stored)

    def complete_base(self, snapshot: GroupSnapshot) -> None:
        """Set the term at the base, whose own entry is no longer on the disk."""
        if self.base_term != 0:
            return
        if self.base_index == snapshot.index:
            self.base_term = snapshot.term
        elif self.base_index > 0 and self.entries:
            self.base_index = self.entries[0].index
            self.base_term = self.entries.pop(0).term

    def clear(self, base_index: ids.LogIndex, base_term: ids.Term) -> None:
        """Drop all entries from memory."""
        self.entries = []
        self.unsynced.clear()
        self.configurations = []
        self.base_index = base_index
        self.base_term = base_term

    def set_snapshot(self, snapshot: GroupSnapshot, data: bytes) -> None:
        """Use a durable snapshot for all entries up to its index."""
        if self.term_at(snapshot.index) != snapshot.term:
            self.clear(snapshot.index, snapshot.term)
        newer = [item for item in self.configurations if item[0] > snapshot.index]
        self.configurations = [(snapshot.index, snapshot.configuration), *newer]
        self.snapshot_index = snapshot.index
        self.snapshot_data = data

    async def save_snapshot(
        self, index: ids.LogIndex, data: bytes, *, in_reserve: bool = False
    ) -> result.Result[None, failures.Failure]:
        """Store an encoded snapshot durably, without using it yet.

        Parameters
        ----------
        index : ids.LogIndex
            Last index that it covers.
        data : bytes
            The snapshot.
        in_reserve : bool
            Whether it may use up the reserve, as the disk is full.
        """
        snapshot = snapshots.Snapshot(index, data)
        name = self.reserve.take(len(data)) if in_reserve else None
        if name is None:
            return await self.snapshots.save(snapshot)
        return await self.snapshots.save(snapshot, in_place_of=name)

    def install(self, snapshot: GroupSnapshot, data: bytes) -> None:
        """Use a leader's snapshot, which is durable, in place of what it covers.

        The entries that conflict with it are gone at once, so the applied state must be
        replaced before another task runs. The record of it is durable after ``commit``.
        """
        matches = self.term_at(snapshot.index) == snapshot.term
        self.set_snapshot(snapshot, data)
        if not matches:
            reset = entries.encode_stored(entries.Reset(snapshot.index))
            self.segments.append(snapshot.index, reset)
        self.trim()

    async def compact(
        self, snapshot: GroupSnapshot, *, in_reserve: bool = False
    ) -> result.Result[None, failures.Failure]:
        """Store a snapshot of this replica and drop entries that it covers.

        Some are kept in memory, so that a peer that lags slightly needs no snapshot.
        On a full disk it may use up the reserve.
        """
        data = encode_snapshot(snapshot)
        saved = await self.save_snapshot(snapshot.index, data, in_reserve=in_reserve)
        if isinstance(saved, result.Failure):
            return saved
        self.set_snapshot(snapshot, data)
        self.trim()
        await self.segments.drop_through(snapshot.index)
        return result.Success(None)

    def trim(self) -> None:
        """Drop most entries that the snapshot covers from memory.

        At most ``TRAILING_ENTRIES`` with at most ``TRAILING_BYTES`` are kept.
        """
        base = self.trailing_base()
        if base <= self.base_index:
            return
        base_term = self.term_at(base)
        assert base_term is not None, "the log holds the entries it compacts"
        del self.entries[: base - self.base_index]
        self.base_index = base
        self.base_term = base_term

    def trailing_base(self) -> ids.LogIndex:
        """Return the index before the oldest entry to keep of those in the snapshot."""
        first = max(self.base_index, self.snapshot_index - TRAILING_ENTRIES)
        base = self.snapshot_index
        kept_bytes = 0
        while base > first:
            kept_bytes += len(self.entry_at(base).data)
            if kept_bytes > TRAILING_BYTES:
                break
            base = ids.LogIndex(base - 1)
        return base


def encode_snapshot(snapshot: GroupSnapshot) -> bytes:
    """Encode a snapshot for the disk and the peers."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(data: bytes) -> GroupSnapshot:
    """Decode a snapshot."""
    return msgspec.msgpack.decode(data, type=GroupSnapshot)
