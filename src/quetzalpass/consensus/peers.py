"""Replication from the leader to one peer: entries, heartbeats, snapshot chunks."""

import asyncio
from typing import TYPE_CHECKING

import crc32c
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import entries, messages

if TYPE_CHECKING:
    from quetzalpass.consensus import leading

MAX_APPEND_ENTRIES = 512
MAX_APPEND_BYTES = 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024


class Peer:
    """Progress of one other member, and the task that replicates to it.

    Parameters
    ----------
    leadership : leading.Leadership
        The leadership that it belongs to.
    member : entries.Member
        The other member.

    Attributes
    ----------
    disk_condition : str
        What its last reply said is wrong with its disk; empty if nothing.
    disk_failing_since : float or None
        Loop time since which its replies say that its disk fails.
    data_centre : ids.DataCentreId
        Its data centre, as its replies name it; empty if unknown.
    """

    def __init__(
        self, leadership: "leading.Leadership", member: entries.Member
    ) -> None:
        self.leadership = leadership
        self.replica = leadership.replica
        self.member = member
        self.next_index = leadership.replica.log.last_index
        self.match_index = 0
        self.acknowledged_at = 0.0
        self.acknowledged_sequence = 0
        self.disk_condition = ""
        self.disk_failing_since: float | None = None
        self.data_centre = ids.UNKNOWN_DATA_CENTRE
        self.has_work = asyncio.Event()
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self.snapshot_data = b""
        self.snapshot_checksum = 0

    def wake(self) -> None:
        """Make the task send at once rather than at the next heartbeat."""
        self.has_work.set()

    async def run(self) -> None:
        """Replicate to the peer until the leadership ends."""
        self.next_index = max(1, self.next_index)
        while self.leadership.is_current:
            self.has_work.clear()
            is_progress = await self.send()
            if not self.leadership.is_current:
                return
            if is_progress and (self.is_behind() or self.has_unsynced_entries()):
                continue
            await self.wait_for_work(can_wake=is_progress)

    async def wait_for_work(self, *, can_wake: bool) -> None:
        """Wait for new entries, at most until the next heartbeat is due.

        After a failed call, ``wake`` doesn't end the wait, so that an unreachable peer
        costs one call per heartbeat interval.
        """
        interval_s = self.replica.settings.timing.heartbeat_interval_s
        if not can_wake:
            await asyncio.sleep(interval_s)
            return
        try:
            async with asyncio.timeout(interval_s):
                await self.has_work.wait()
        except TimeoutError:
            return

    def is_behind(self) -> bool:
        """Return whether there are more entries to send."""
        return self.next_index <= self.replica.log.last_index

    def has_unsynced_entries(self) -> bool:
        """Return whether the peer holds entries that it has not confirmed as synced.

        It confirms them in the reply to the next message, which waits for its disk.
        """
        return self.match_index < self.next_index - 1

    async def send(self) -> bool:
        """Send one message; return whether the peer replied as a follower."""
        sequence = self.leadership.sequence
        sent_at = self.replica.now()
        if self.next_index <= self.replica.log.base_index:
            is_following = await self.send_snapshot_chunk()
        else:
            is_following = await self.send_entries()
        if not is_following or not self.leadership.is_current:
            return False
        self.acknowledged_at = max(self.acknowledged_at, sent_at)
        self.acknowledged_sequence = max(self.acknowledged_sequence, sequence)
        self.leadership.on_acknowledgement()
        self.leadership.promote_if_caught_up(self)
        return True

    async def send_entries(self) -> bool:
        """Send the next entries, or an empty message as a heartbeat."""
        replica = self.replica
        previous = ids.LogIndex(self.next_index - 1)
        previous_term = replica.log.term_at(previous)
        assert previous_term is not None, "the log holds the entry before those sent"
        request = messages.AppendRequest(
            group=replica.settings.group,
            term=self.leadership.term,
            vm=replica.settings.vm,
            replica=replica.replica_id,
            target=self.member.replica,
            previous_index=previous,
            previous_term=previous_term,
            commit_index=replica.commit_index,
            entries=replica.log.entries_from(
                self.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES
            ),
        )
        reply = await self.call(request)
        if not isinstance(reply, messages.AppendReply):
            return False
        self.record_disk(reply.disk_condition)
        self.data_centre = reply.data_centre
        if reply.is_matching:
            self.match_index = max(self.match_index, reply.match_index)
            held_end = min(reply.next_index, replica.log.last_index + 1)
            self.next_index = max(self.match_index + 1, held_end)
            self.leadership.update_commit_index()
        else:
            self.next_index = max(1, min(reply.next_index, previous))
        return True

    def record_disk(self, condition: str) -> None:
        """Record what a reply says of the peer's disk."""
        self.disk_condition = condition
        if not condition:
            self.disk_failing_since = None
        elif self.disk_failing_since is None:
            self.disk_failing_since = self.replica.now()

    async def send_snapshot_chunk(self) -> bool:
        """Send the next chunk of what was the newest snapshot at the first chunk."""
        replica = self.replica
        is_outdated = self.snapshot_index != replica.log.snapshot_index
        if self.snapshot_offset == 0 and is_outdated:
            self.snapshot_index = replica.log.snapshot_index
            self.snapshot_data = replica.log.snapshot_data
            self.snapshot_checksum = crc32c.crc32c(self.snapshot_data)
        start = self.snapshot_offset
        request = messages.SnapshotRequest(
            group=replica.settings.group,
            term=self.leadership.term,
            vm=replica.settings.vm,
            replica=replica.replica_id,
            target=self.member.replica,
            index=ids.LogIndex(self.snapshot_index),
            offset=start,
            total_bytes=len(self.snapshot_data),
            checksum=self.snapshot_checksum,
            data=self.snapshot_data[start : start + SNAPSHOT_CHUNK_BYTES],
        )
        reply = await self.call(request)
        if not isinstance(reply, messages.SnapshotReply):
            return False
        self.snapshot_offset = reply.next_offset
        if reply.is_installed:
            self.next_index = self.snapshot_index + 1
            self.snapshot_index = 0
            self.snapshot_offset = 0
            self.snapshot_data = b""
        return True

    async def call(
        self, request: messages.AppendRequest | messages.SnapshotRequest
    ) -> messages.AppendReply | messages.SnapshotReply | None:
        """Send a message; return the reply if it is the member's and of this term."""
        timeout_s = self.replica.settings.timing.call_timeout_s
        outcome = await self.replica.transport.call(self.member.vm, request, timeout_s)
        if isinstance(outcome, result.Failure) or not self.leadership.is_current:
            return None
        reply = outcome.unwrap()
        if reply.term > self.leadership.term:
            self.replica.step_down(reply.term)
            return None
        is_from_member = reply.replica == self.member.replica
        is_current = reply.term == self.leadership.term
        return reply if is_from_member and is_current else None
