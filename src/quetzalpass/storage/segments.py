"""Append-only log in segment files, with group commit."""

import asyncio
from collections import abc

import logbook
from returns import result

from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import frames, recovery

SEGMENT_BYTES = 8 * 1024 * 1024
MAX_BATCH_BYTES = 4 * 1024 * 1024

LOG = logbook.Logger("storage")


class SegmentLog:
    """Log of records whose commits share one write and one sync.

    At most one frame is written but not yet synced, so that a reader can distinguish a
    write torn by a crash from damage.

    Parameters
    ----------
    disk : Disk
        Folder of this log, used by nothing else.
    head : callable
        Returns the record that starts each new segment, so that older segments can
        be dropped without losing it.
    segment_bytes : int
        Size from which a new segment is started.
    """

    def __init__(
        self,
        disk: disks.Disk,
        head: abc.Callable[[], frames.Record],
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self.disk = disk
        self.head = head
        self.segment_bytes = segment_bytes
        self.segments: list[recovery.Segment] = []
        self.pending: list[frames.Record] = []
        self.appended_count = 0
        self.synced_count = 0
        self.failure: failures.Failure | None = None
        self.flush_task: asyncio.Task | None = None

    async def open(
        self, visit: abc.Callable[[frames.Record], None]
    ) -> result.Result[None, failures.Failure]:
        """Read the log and make it ready for appending.

        Parameters
        ----------
        visit : callable
            Called with each record in the order in which they were written.

        Returns
        -------
        returns.result.Result
            ``STORAGE_DAMAGED`` with file and offset if there is damage other than a
            torn end; ``STORAGE_FAILED`` if the disk fails.
        """
        try:
            outcome = recovery.read_segments(self.disk, visit)
            if isinstance(outcome, result.Failure):
                return outcome
            recovered = outcome.unwrap()
            await self.repair(recovered)
            self.segments = recovered.segments
            if not self.segments:
                await self.start_segment()
        except OSError as error:
            return result.Failure(self.fail("open", error))
        return result.Success(None)

    async def repair(self, recovered: recovery.RecoveredLog) -> None:
        """Truncate a torn end and rewrite what may be unsynced of the last segment.

        After a failed sync, the operating system may keep pages in memory that never
        reached the disk and report success for the next sync. Only writing the bytes
        again ensures that they are synced.
        """
        for name in recovered.torn_segments:
            LOG.warning("storage: Removed segment {}, torn at creation.", name)
            self.disk.remove(name)
            await self.disk.sync_folder()
        if not recovered.segments:
            return
        last = recovered.segments[-1]
        if recovered.torn_bytes:
            text = "storage: Truncated {} torn bytes of {} at offset {}."
            LOG.warning(text, recovered.torn_bytes, last.name, last.size)
            self.disk.truncate(last.name, last.size)
        if recovered.torn_bytes or recovered.synced_end < last.size:
            tail = self.disk.read(last.name)[recovered.synced_end :]
            self.disk.overwrite(last.name, recovered.synced_end, tail)
            await self.disk.sync(last.name)
            await self.disk.sync_folder()
            recovery.write_synced_mark(self.disk, last)

    def append(self, key: int, data: bytes) -> None:
        """Queue a record; it is durable once a later ``commit`` succeeds.

        Parameters
        ----------
        key : int
            Log index for ``drop_through``; 0 if the record has none.
        data : bytes
            Content.
        """
        self.pending.append(frames.Record(key, data))
        self.appended_count += 1

    async def commit(self) -> result.Result[None, failures.Failure]:
        """Wait until all records queued so far are durable.

        Returns
        -------
        returns.result.Result
            ``STORAGE_FAILED`` after any failed write or sync, for good: the content
            of the disk is then unknown, and a repeated sync would hide that.
        """
        target = self.appended_count
        while self.failure is None and self.synced_count < target:
            if self.flush_task is None or self.flush_task.done():
                self.flush_task = asyncio.create_task(self.flush())
            await asyncio.shield(self.flush_task)
        if self.failure is not None:
            return result.Failure(self.failure)
        return result.Success(None)

    async def flush(self) -> None:
        """Write the oldest queued records as one frame and sync it."""
        records = self.take_batch()
        try:
            if self.segments[-1].size >= self.segment_bytes:
                await self.start_segment()
            await self.write_batch(records)
        except OSError as error:
            self.fail("write", error)
            return
        self.synced_count += len(records)

    def take_batch(self) -> list[frames.Record]:
        """Take the oldest queued records: ``MAX_BATCH_BYTES`` at most, or just one."""
        count = 0
        batch_bytes = 0
        for record in self.pending:
            batch_bytes += len(record.data)
            if count > 0 and batch_bytes > MAX_BATCH_BYTES:
                break
            count += 1
        batch, self.pending = self.pending[:count], self.pending[count:]
        return batch

    async def write_batch(self, records: list[frames.Record]) -> None:
        """Write one frame to the last segment and sync it."""
        segment = self.segments[-1]
        frame = frames.encode_frame(frames.encode_records(records), segment.size)
        self.disk.append(segment.name, frame)
        await self.disk.sync(segment.name)
        segment.size += len(frame)
        segment.max_key = max([segment.max_key, *(record.key for record in records)])
        recovery.write_synced_mark(self.disk, segment)

    async def start_segment(self) -> None:
        """Create the next segment; it is durable before anything is appended to it."""
        sequence = self.segments[-1].sequence + 1 if self.segments else 1
        payload = frames.encode_records([self.head()])
        start = len(recovery.SEGMENT_MAGIC)
        content = recovery.SEGMENT_MAGIC + frames.encode_frame(payload, start)
        name = recovery.segment_name(sequence)
        await self.disk.write(name, content)
        await self.disk.sync_folder()
        segment = recovery.Segment(name, sequence, len(content), 0)
        self.segments.append(segment)
        recovery.write_synced_mark(self.disk, segment)

    async def drop_through(self, key: int) -> None:
        """Remove the oldest segments whose keys are all at or below a key.

        Each removal is durable before the next one. Otherwise a power loss might undo
        only the older one, and a start would take the gap for damage.
        """
        try:
            while len(self.segments) > 1 and self.segments[0].max_key <= key:
                self.disk.remove(self.segments[0].name)
                self.segments.pop(0)
                await self.disk.sync_folder()
        except OSError as error:
            self.fail("remove", error)

    def fail(self, action: str, error: OSError) -> failures.Failure:
        """Stop acknowledging commits for good and return the failure."""
        message = f"The disk failed to {action}: {error}. Replace it, then restart."
        if self.failure is None:
            self.failure = failures.Failure(codes.Code.STORAGE_FAILED, message)
            LOG.error("storage: Stopped acknowledging. {}", message)
        return self.failure

    async def close(self) -> None:
        """Wait for a write in progress, then sync the synced mark."""
        if self.flush_task is not None:
            await asyncio.wait([self.flush_task])
        if self.failure is None and self.segments:
            try:
                await self.disk.sync(recovery.SYNCED_NAME)
            except OSError as error:
                self.fail("sync", error)
