"""Application of committed entries, and snapshots of the state that results."""

import asyncio

import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import entries
from quetzalpass.consensus import log as logs
from quetzalpass.consensus import replica as replicas
from quetzalpass.results import codes, failures

SNAPSHOT_EVERY_ENTRIES = 4096
APPLY_BATCH_ENTRIES = 64

log = logbook.Logger("consensus")

Outcome = result.Result[bytes, failures.Failure]


class Waiter(msgspec.Struct, frozen=True):
    """A proposal whose outcome somebody waits for.

    Attributes
    ----------
    term : ids.Term
        Term in which it was appended.
    future : asyncio.Future
        Gets the outcome.
    """

    term: ids.Term
    future: asyncio.Future


class Applier:
    """Applies committed entries in order and hands outcomes to those who wait.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.
    snapshot_every : int
        Entries after which a snapshot is taken.
    """

    def __init__(
        self, replica: replicas.Replica, snapshot_every: int = SNAPSHOT_EVERY_ENTRIES
    ) -> None:
        self.replica = replica
        self.snapshot_every = snapshot_every
        self.waiters: dict[int, Waiter] = {}
        self.lock = asyncio.Lock()

    async def run(self) -> None:
        """Apply what is committed, in batches that leave the loop to others."""
        replica = self.replica
        while replica.is_running:
            if replica.applied_index >= replica.commit_index:
                await replica.commit_changed.wait()
                continue
            self.apply_batch()
            self.compact_if_due()
            await asyncio.sleep(0)

    def apply_batch(self) -> None:
        """Apply some committed entries."""
        replica = self.replica
        last = min(replica.commit_index, replica.applied_index + APPLY_BATCH_ENTRIES)
        while replica.applied_index < last:
            entry = replica.log.entry_at(replica.applied_index + 1)
            outcome = self.apply(entry)
            replica.applied_index = entry.index
            self.resolve(entry, outcome)
        replica.applied_changed.notify()

    def apply(self, entry: entries.Entry) -> bytes:
        """Apply one entry, once for each operation id."""
        if entry.kind is not entries.EntryKind.COMMAND:
            return b""
        sessions = self.replica.sessions
        first = sessions.find(entry.session, entry.operation)
        if first is not None:
            return first
        outcome = self.replica.machine.apply(entry.index, entry.data)
        sessions.remember(entry.session, entry.operation, outcome)
        return outcome

    def wait_for(self, entry: entries.Entry) -> asyncio.Future:
        """Return a future that gets the outcome of an appended entry."""
        future = asyncio.get_running_loop().create_future()
        self.waiters[entry.index] = Waiter(entry.term, future)
        return future

    def resolve(self, entry: entries.Entry, outcome: bytes) -> None:
        """Hand an outcome to the one who waits for it."""
        waiter = self.waiters.pop(entry.index, None)
        if waiter is None or waiter.future.done():
            return
        if waiter.term == entry.term:
            waiter.future.set_result(result.Success(outcome))
            return
        message = "Another leader's entry took its place; send it to the leader."
        failure = failures.Failure(codes.Code.NOT_LEADER, message)
        waiter.future.set_result(result.Failure(failure))

    def compact_if_due(self) -> None:
        """Take a snapshot once enough entries were applied since the last.

        It is stored by a task of its own, as the next proposals should not wait.
        """
        replica = self.replica
        grown = replica.applied_index - replica.log.snapshot_index
        if grown >= self.snapshot_every and not self.lock.locked():
            replica.spawn(self.compact(self.take_snapshot()))

    async def compact(self, snapshot: logs.GroupSnapshot) -> None:
        """Store a snapshot and drop the entries that it stands for."""
        replica = self.replica
        async with self.lock:
            if snapshot.index <= replica.log.snapshot_index:
                return
            saved = await replica.log.compact(snapshot)
        if isinstance(saved, result.Failure):
            replica.fail(saved.failure())
            return
        log.info("consensus: took a snapshot up to {}.", snapshot.index)

    def take_snapshot(self) -> logs.GroupSnapshot:
        """Return the applied state."""
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

    def abandon(self) -> None:
        """Let go of all who wait; their outcomes are unknown."""
        for waiter in self.waiters.values():
            if not waiter.future.done():
                waiter.future.cancel()
        self.waiters.clear()
