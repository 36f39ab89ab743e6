"""Append-only log in segment files, with group commit."""

import asyncio
from collections import abc

import logbook
from returns import result

from quetzalpass.results import failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import frames, health, recovery

SEGMENT_BYTES = 8 * 1024 * 1024
MAX_BATCH_BYTES = 4 * 1024 * 1024
# Pauses between two attempts to write to a disk that refuses.
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
CLOSE_TIMEOUT_S = 1.0

LOG = logbook.Logger("storage")


class SegmentLog:
    """Log of records whose commits share one write and one sync.

    At most one frame is written but not yet synced, so that a reader can distinguish a
    write torn by a crash from damage. While the disk refuses a frame, it is written
    again at the same offset, until the disk has synced it or the log is closed: nothing
    behind it is written before, and no commit is confirmed that the disk may not hold.

    Parameters
    ----------
    disk : Disk
        Folder of this log, used by nothing else.
    head : callable
        Returns the record that starts each new segment, so that older segments can
        be dropped without losing it.
    segment_bytes : int
        Size from which a new segment is started.
    disk_health : health.DiskHealth or None
        Where to record what is wrong with the disk.

    Attributes
    ----------
    make_room : callable or None
        Awaited between two attempts when the disk is full, to drop what can be dropped.
    """

    def __init__(
        self,
        disk: disks.Disk,
        head: abc.Callable[[], frames.Record],
        segment_bytes: int = SEGMENT_BYTES,
        disk_health: health.DiskHealth | None = None,
    ) -> None:
        self.disk = disk
        self.head = head
        self.segment_bytes = segment_bytes
        self.health = disk_health or health.DiskHealth("log")
        self.make_room: abc.Callable[[], abc.Awaitable[None]] | None = None
        self.segments: list[recovery.Segment] = []
        self.pending: list[frames.Record] = []
        self.pending_bytes = 0
        self.appended_count = 0
        self.synced_count = 0
        self.is_closed = False
        self.closing = asyncio.Event()
        self.has_unsynced_removal = False
        self.removal_lock = asyncio.Lock()
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
            with self.health.watch(health.Operation.OPEN):
                return await self.read_and_repair(visit)
        except OSError:
            return result.Failure(self.health.failure())

    async def read_and_repair(
        self, visit: abc.Callable[[frames.Record], None]
    ) -> result.Result[None, failures.Failure]:
        """Read the log and make its end durable."""
        outcome = recovery.read_segments(self.disk, visit)
        if isinstance(outcome, result.Failure):
            return outcome
        recovered = outcome.unwrap()
        await self.repair(recovered)
        self.segments = recovered.segments
        if not self.segments:
            await self.start_segment()
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
            await self.write_synced(last, recovered.synced_end, tail)
            await self.disk.sync_folder()

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
        self.pending_bytes += len(data)
        self.appended_count += 1

    async def commit(self) -> result.Result[None, failures.Failure]:
        """Wait until all records queued so far are durable.

        Returns
        -------
        returns.result.Result
            ``STORAGE_FAILED`` only if the log was closed before. While the disk refuses
            writes the call waits; ``health`` tells why.
        """
        target = self.appended_count
        while self.synced_count < target:
            if self.is_closed:
                return result.Failure(self.health.failure())
            if self.flush_task is None or self.flush_task.done():
                self.flush_task = asyncio.create_task(self.flush())
            await asyncio.shield(self.flush_task)
        return result.Success(None)

    async def flush(self) -> None:
        """Write the oldest queued records as one frame, until the disk has synced it.

        A sync that failed is not repeated by itself: the frame is written again first.
        """
        records = self.next_batch()
        delay_s = MIN_RETRY_DELAY_S
        while not self.is_closed:
            try:
                with self.health.watch(health.Operation.WRITE):
                    if self.segments[-1].size >= self.segment_bytes:
                        await self.start_segment()
                    await self.write_batch(records)
            except OSError:
                await self.recover_room()
                await self.wait_to_retry(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
                continue
            del self.pending[: len(records)]
            self.pending_bytes -= sum(len(record.data) for record in records)
            self.synced_count += len(records)
            return

    async def recover_room(self) -> None:
        """Let the owner of the log drop what it can, if the disk is full."""
        is_full = self.health.condition is health.Condition.NO_ROOM
        if not is_full or self.is_closed:
            return
        self.drop_partial_frame()
        if self.make_room is not None:
            await self.make_room()

    def drop_partial_frame(self) -> None:
        """Give back the room of a frame of which only a part fitted on the disk.

        It would be missing for the snapshot that lets segments be dropped.
        """
        last = self.segments[-1]
        try:
            if self.disk.size(last.name) > last.size:
                self.disk.truncate(last.name, last.size)
        except OSError as error:
            LOG.warning("storage: Can't truncate {} ({}).", last.name, error)

    async def wait_to_retry(self, delay_s: float) -> None:
        """Wait before the next attempt, at most until the log is closed."""
        try:
            async with asyncio.timeout(delay_s):
                await self.closing.wait()
        except TimeoutError:
            return

    def next_batch(self) -> list[frames.Record]:
        """Return the oldest queued records: ``MAX_BATCH_BYTES`` at most, or just one.

        They stay queued until they are synced.
        """
        count = 0
        batch_bytes = 0
        for record in self.pending:
            batch_bytes += len(record.data)
            if count > 0 and batch_bytes > MAX_BATCH_BYTES:
                break
            count += 1
        return self.pending[:count]

    async def write_batch(self, records: list[frames.Record]) -> None:
        """Write one frame to the last segment and sync it."""
        segment = self.segments[-1]
        frame = frames.encode_frame(frames.encode_records(records), segment.size)
        await self.write_synced(segment, segment.size, frame)
        segment.size += len(frame)
        segment.max_key = max([segment.max_key, *(record.key for record in records)])

    async def write_synced(
        self, segment: recovery.Segment, offset: int, data: bytes
    ) -> None:
        """Write data to a segment, sync it, and record how far it is synced.

        Without the mark only the detection of damage at the end is weaker, so a failure
        to write it is recorded and not held against what is synced.
        """
        mark = recovery.make_synced_mark(segment.sequence, offset + len(data))
        try:
            await self.disk.overwrite_and_sync(segment.name, offset, data, mark)
        except disks.MarkError as error:
            self.on_mark_failure(error)
        else:
            self.health.record_success(health.Operation.MARK)

    def on_mark_failure(self, error: OSError) -> None:
        """Record that the disk doesn't show how far it is synced."""
        condition = health.classify(error)
        self.health.record_failure(health.Operation.MARK, condition, str(error))

    async def start_segment(self) -> None:
        """Create the next segment; it is durable before anything is appended to it.

        What a failed attempt left is removed first, so that its name is written anew.
        """
        sequence = self.segments[-1].sequence + 1 if self.segments else 1
        payload = frames.encode_records([self.head()])
        start = len(recovery.SEGMENT_MAGIC)
        content = recovery.SEGMENT_MAGIC + frames.encode_frame(payload, start)
        name = recovery.segment_name(sequence)
        if name in self.disk.names():
            self.disk.remove(name)
        await self.disk.write(name, content)
        await self.disk.sync_folder()
        self.segments.append(recovery.Segment(name, sequence, len(content), 0))
        try:
            mark = recovery.make_synced_mark(sequence, len(content))
            await self.disk.overwrite(mark.name, 0, mark.content)
        except OSError as error:
            self.on_mark_failure(error)

    async def drop_through(self, key: int) -> None:
        """Remove the oldest segments whose keys are all at or below a key.

        Each removal is durable before the next one. Otherwise a power loss might undo
        only the older one, and a start would take the gap for damage. If the disk
        refuses one, the rest stays until the next call.
        """
        try:
            with self.health.watch(health.Operation.REMOVE):
                async with self.removal_lock:
                    await self.remove_through(key)
        except OSError:
            return

    async def remove_through(self, key: int) -> None:
        """Remove segments; see ``drop_through``."""
        if self.has_unsynced_removal:
            await self.sync_removal()
        while len(self.segments) > 1 and self.segments[0].max_key <= key:
            self.disk.remove(self.segments[0].name)
            self.segments.pop(0)
            self.has_unsynced_removal = True
            await self.sync_removal()

    async def sync_removal(self) -> None:
        """Make the removal of a segment durable."""
        await self.disk.sync_folder()
        self.has_unsynced_removal = False

    async def close(self) -> None:
        """End the attempts to write, then sync the synced mark.

        An attempt that the disk doesn't finish is left behind after a bounded time.
        """
        self.is_closed = True
        self.closing.set()
        if self.flush_task is not None:
            await asyncio.wait([self.flush_task], timeout=CLOSE_TIMEOUT_S)
        if self.health.is_failing or not self.segments:
            return
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                with self.health.watch(health.Operation.MARK):
                    await self.disk.sync(recovery.SYNCED_NAME)
        except (OSError, TimeoutError):
            LOG.warning("storage: The disk did not sync the synced mark at the close.")
