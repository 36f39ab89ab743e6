"""Applies committed entries to the state machine and takes snapshots of its state."""

import asyncio

import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import entries
from quetzalpass.consensus import log as logs
from quetzalpass.consensus import replica as replicas
from quetzalpass.results import codes, failures
from quetzalpass.storage import health

SNAPSHOT_EVERY_ENTRIES = 4096
SNAPSHOT_EVERY_BYTES = 8 * 1024 * 1024
APPLY_BATCH_ENTRIES = 64
APPLY_BATCH_BYTES = 256 * 1024
# Pauses between two attempts to store a snapshot on a disk that refuses it.
MIN_SNAPSHOT_RETRY_S = 1.0
MAX_SNAPSHOT_RETRY_S = 30.0
# Pause between two attempts to keep room for a snapshot.
RESERVE_RETRY_S = 2.0
# Shortest time between two attempts to make room on a full disk.
MAKE_ROOM_INTERVAL_S = 1.0

# What is tried again until the disk permits it.
TIDIED = frozenset({health.Operation.REMOVE, health.Operation.RESERVE})

LOG = logbook.Logger("consensus")

Outcome = result.Result[bytes, failures.Failure]


class Waiter(msgspec.Struct, frozen=True):
    """A proposal that is waiting for its outcome.

    Attributes
    ----------
    term : ids.Term
        Term in which its entry was appended.
    future : asyncio.Future
        Resolved with the outcome.
    """

    term: ids.Term
    future: asyncio.Future


class Applier:
    """Applies committed entries in order and resolves the waiting proposals.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.
    snapshot_every : int
        Number of applied entries after which a snapshot is taken, even if they have
        fewer than ``SNAPSHOT_EVERY_BYTES``.

    Attributes
    ----------
    unsaved_bytes : int
        Size of the commands that were applied since the last snapshot was taken.
    is_compacting : bool
        Whether a task stores a snapshot, or waits to try it again.
    is_tidying : bool
        Whether a task drops segments, or waits for room for the reserve.
    may_make_room_at : float
        Loop time from which the next attempt to make room is allowed, in seconds.
    """

    def __init__(
        self, replica: replicas.Replica, snapshot_every: int = SNAPSHOT_EVERY_ENTRIES
    ) -> None:
        self.replica = replica
        self.snapshot_every = snapshot_every
        self.unsaved_bytes = 0
        self.is_compacting = False
        self.is_tidying = False
        self.may_make_room_at = 0.0
        self.waiters: dict[int, Waiter] = {}
        self.lock = asyncio.Lock()

    async def run(self) -> None:
        """Apply committed entries in batches, yielding to the event loop in between."""
        replica = self.replica
        while replica.is_running:
            if replica.applied_index >= replica.commit_index:
                await replica.commit_changed.wait()
                continue
            self.apply_batch()
            self.compact_if_due()
            await asyncio.sleep(0)

    def apply_batch(self) -> None:
        """Apply committed entries, as far as the bounds of a batch permit."""
        replica = self.replica
        last = min(replica.commit_index, replica.applied_index + APPLY_BATCH_ENTRIES)
        batch_bytes = 0
        while replica.applied_index < last and batch_bytes < APPLY_BATCH_BYTES:
            entry = replica.log.entry_at(replica.applied_index + 1)
            outcome = self.apply(entry)
            replica.applied_index = entry.index
            batch_bytes += len(entry.data)
            self.resolve(entry, outcome)
        self.unsaved_bytes += batch_bytes
        replica.applied_changed.notify()

    def apply(self, entry: entries.Entry) -> bytes:
        """Apply one entry; a repeated operation id returns its first outcome."""
        if entry.kind is not entries.EntryKind.COMMAND:
            return b""
        sessions = self.replica.sessions
        first_outcome = sessions.find(entry.session, entry.operation)
        if first_outcome is not None:
            return first_outcome
        outcome = self.replica.machine.apply(entry.index, entry.data)
        sessions.record(entry.session, entry.operation, outcome)
        return outcome

    def add_waiter(self, entry: entries.Entry) -> asyncio.Future:
        """Return a future that is resolved with the outcome of an appended entry."""
        future = asyncio.get_running_loop().create_future()
        self.waiters[entry.index] = Waiter(entry.term, future)
        return future

    def resolve(self, entry: entries.Entry, outcome: bytes) -> None:
        """Resolve the proposal that waits for an entry, if there is one."""
        waiter = self.waiters.pop(entry.index, None)
        if waiter is None or waiter.future.done():
            return
        if waiter.term == entry.term:
            waiter.future.set_result(result.Success(outcome))
            return
        message = "Another leader's entry replaced this one; send it to the leader."
        failure = failures.Failure(codes.Code.NOT_LEADER, message)
        waiter.future.set_result(result.Failure(failure))

    def compact_if_due(self) -> None:
        """Take a snapshot if one is due.

        A separate task stores it, so that later proposals don't wait for the disk.
        """
        is_busy = self.is_compacting or self.lock.locked()
        if self.is_snapshot_due() and not is_busy:
            self.start_compacting()

    def start_compacting(self) -> None:
        """Start the task that stores a snapshot, if none runs."""
        if not self.is_compacting:
            self.is_compacting = True
            self.replica.spawn(self.compact())

    def is_snapshot_due(self) -> bool:
        """Return whether the entries since the last snapshot are too many or too large.

        A state above ``SNAPSHOT_EVERY_BYTES`` is stored again only when the commands
        since then have as many bytes, so that the disk writes at most twice their size.
        Without the reserve the log is kept short, as a full disk could drop nothing.
        """
        own_log = self.replica.log
        new_entries = self.replica.applied_index - own_log.snapshot_index
        if new_entries >= self.snapshot_every:
            return True
        lacks_reserve = health.Operation.RESERVE in own_log.health.troubles
        every_bytes = logs.SEGMENT_BYTES if lacks_reserve else SNAPSHOT_EVERY_BYTES
        allowed_bytes = max(every_bytes, len(own_log.snapshot_data))
        return new_entries > 0 and self.unsaved_bytes >= allowed_bytes

    async def compact(self) -> None:
        """Store a snapshot, trying again for as long as the disk refuses it."""
        delay_s = MIN_SNAPSHOT_RETRY_S
        try:
            while self.replica.is_running and not await self.store_snapshot():
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_SNAPSHOT_RETRY_S)
        finally:
            self.is_compacting = False
        self.start_tidying()

    async def store_snapshot(self, *, in_reserve: bool = False) -> bool:
        """Store a snapshot of the applied state and drop the entries that it covers.

        Parameters
        ----------
        in_reserve : bool
            Whether it may use up the reserve, as the disk is full.

        Returns
        -------
        bool
            False if the disk refuses it; the older snapshot and the entries are kept,
            and a task tries it again.
        """
        replica = self.replica
        async with self.lock:
            if replica.applied_index <= replica.log.snapshot_index:
                return True
            snapshot = self.take_snapshot()
            unsaved_bytes, self.unsaved_bytes = self.unsaved_bytes, 0
            saved = await replica.log.compact(snapshot, in_reserve=in_reserve)
        if isinstance(saved, result.Failure):
            self.unsaved_bytes += unsaved_bytes
            self.start_compacting()
            return False
        LOG.info("consensus: Stored a snapshot up to index {}.", snapshot.index)
        return True

    def start_tidying(self) -> None:
        """Start the task that drops segments and keeps the reserve, if none runs."""
        if not self.is_tidying:
            self.is_tidying = True
            self.replica.spawn(self.tidy())

    async def tidy(self) -> None:
        """Drop the segments that the snapshot covers; keep room for the next one."""
        own_log = self.replica.log
        try:
            while self.replica.is_running:
                async with self.lock:
                    await own_log.segments.drop_through(own_log.snapshot_index)
                    await own_log.reserve.keep(len(own_log.snapshot_data))
                if not TIDIED & own_log.health.troubles.keys():
                    return
                await asyncio.sleep(RESERVE_RETRY_S)
        finally:
            self.is_tidying = False

    async def make_room(self) -> None:
        """Store a snapshot in the reserved room, to drop segments of a full disk.

        The reserve stays where that would drop none. A write waits for this call, so it
        doesn't wait for another task that stores a snapshot.
        """
        replica = self.replica
        covered = max(replica.applied_index, replica.log.snapshot_index)
        is_due = replica.now() >= self.may_make_room_at
        if self.lock.locked() or not is_due or not self.covers_a_segment(covered):
            return
        self.may_make_room_at = replica.now() + MAKE_ROOM_INTERVAL_S
        await self.store_snapshot(in_reserve=True)
        # What an earlier snapshot covers may still be there, as at a start.
        if not self.lock.locked():
            async with self.lock:
                await replica.log.segments.drop_through(replica.log.snapshot_index)
        self.start_tidying()

    def may_use_reserve(self, index: int) -> bool:
        """Return whether a leader's snapshot needs the reserve and may use it."""
        trouble = self.replica.health.troubles.get(health.Operation.SNAPSHOT)
        is_full = trouble is not None and trouble.condition is health.Condition.NO_ROOM
        return is_full and self.covers_a_segment(index)

    def covers_a_segment(self, index: int) -> bool:
        """Return whether a snapshot up to an index lets a segment be dropped."""
        segments = self.replica.log.segments.segments
        return len(segments) > 1 and segments[0].max_key <= index

    def take_snapshot(self) -> logs.GroupSnapshot:
        """Return a snapshot of the applied state."""
        replica = self.replica
        index = replica.applied_index
        term = replica.log.term_at(index)
        assert term is not None, "the log holds the last applied entry"
        return logs.GroupSnapshot(
            index,
            term,
            replica.log.configuration_at(index),
            replica.sessions.to_states(),
            replica.machine.snapshot(),
        )

    def forget(self) -> None:
        """Drop all state in memory; the outcomes of waiting proposals are unknown."""
        self.cancel_waiters()
        self.unsaved_bytes = 0
        # Tasks that were cancelled before they ran have not reset these.
        self.is_compacting = False
        self.is_tidying = False

    def cancel_waiters(self) -> None:
        """Cancel all waiting proposals; their outcomes are unknown."""
        for waiter in self.waiters.values():
            if not waiter.future.done():
                waiter.future.cancel()
        self.waiters.clear()
