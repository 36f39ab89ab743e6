"""Reading of segments at a start, which distinguishes torn writes from damage."""

import re
import struct
from collections import abc

import crc32c
import msgspec
from returns import result

from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import frames

SEGMENT_MAGIC = b"QZSEG001"
SEGMENT_PREFIX = "segment-"
SEGMENT_NAME = re.compile(r"segment-[0-9]{12}")
SYNCED_NAME = "synced"
SYNCED = struct.Struct("<QQI")


class Segment(msgspec.Struct):
    """One file of the log.

    Attributes
    ----------
    name : str
        Name of the file.
    sequence : int
        Number of the segment; the numbers of a log have no gaps.
    size : int
        Number of valid bytes.
    max_key : int
        Highest key among its records.
    """

    name: str
    sequence: int
    size: int
    max_key: int


class RecoveredLog(msgspec.Struct):
    """Content of a log's folder.

    Attributes
    ----------
    segments : list of Segment
        Segments in order.
    record_count : int
        Number of records.
    torn_bytes : int
        Bytes after the valid part of the last segment, left by a crash.
    torn_segments : list of str
        The last file, if a crash left it without a valid frame.
    synced_end : int
        Bytes of the last segment that are known to have been synced.
    """

    segments: list[Segment] = []
    record_count: int = 0
    torn_bytes: int = 0
    torn_segments: list[str] = []
    synced_end: int = 0


class SyncedMark(msgspec.Struct, frozen=True):
    """How far the log was synced when the mark was written.

    Attributes
    ----------
    sequence : int
        Number of the segment.
    size : int
        Number of its bytes that were synced.
    """

    sequence: int
    size: int


def segment_name(sequence: int) -> str:
    """Return the file name of a segment."""
    return f"{SEGMENT_PREFIX}{sequence:012d}"


def make_synced_mark(sequence: int, size: int) -> disks.Mark:
    """Return the mark that a segment is synced up to a size; it needs no sync itself.

    It distinguishes damage in the last frame from a torn write. If the mark is lost or
    outdated, only the frames decide.
    """
    checksum = crc32c.crc32c(SYNCED.pack(sequence, size, 0))
    return disks.Mark(SYNCED_NAME, SYNCED.pack(sequence, size, checksum))


def read_synced_mark(disk: disks.Disk) -> SyncedMark:
    """Return how far the log is known to be synced, or zero if that is unknown."""
    content = disk.read(SYNCED_NAME) if SYNCED_NAME in disk.names() else b""
    if len(content) != SYNCED.size:
        return SyncedMark(0, 0)
    sequence, size, checksum = SYNCED.unpack(content)
    if checksum != crc32c.crc32c(SYNCED.pack(sequence, size, 0)):
        return SyncedMark(0, 0)
    return SyncedMark(sequence, size)


def read_segments(
    disk: disks.Disk, visit: abc.Callable[[frames.Record], None]
) -> result.Result[RecoveredLog, failures.Failure]:
    """Read a log without modifying it, one file in memory at a time.

    Parameters
    ----------
    disk : Disk
        Folder of the log.
    visit : callable
        Called with each record in the order in which they were written, also with
        those before a damaged one.

    Returns
    -------
    returns.result.Result
        The recovered log, or ``STORAGE_DAMAGED`` with file and offset.
    """
    names = [name for name in disk.names() if name.startswith(SEGMENT_PREFIX)]
    unknown_names = [name for name in names if not SEGMENT_NAME.fullmatch(name)]
    if unknown_names:
        return damage_failure(
            unknown_names[0], 0, "it is not a segment; move it to another folder"
        )
    synced = read_synced_mark(disk)
    recovered = RecoveredLog()
    for position, name in enumerate(names):
        sequence = int(name.removeprefix(SEGMENT_PREFIX))
        if recovered.segments and sequence != recovered.segments[-1].sequence + 1:
            return damage_failure(name, 0, "the preceding segment is missing")
        is_last = position == len(names) - 1
        problem = read_segment(disk, name, is_last, synced, recovered, visit)
        if problem is not None:
            return result.Failure(problem)
    last = recovered.segments[-1] if recovered.segments else None
    if synced.sequence > (last.sequence if last else 0):
        return damage_failure(
            segment_name(synced.sequence), 0, "a synced segment is missing"
        )
    if last is not None and last.sequence == synced.sequence:
        recovered.synced_end = synced.size
    return result.Success(recovered)


def read_segment(
    disk: disks.Disk,
    name: str,
    is_last: bool,
    synced: SyncedMark,
    recovered: RecoveredLog,
    visit: abc.Callable[[frames.Record], None],
) -> failures.Failure | None:
    """Add one segment to the recovered log; return the failure if it is damaged."""
    sequence = int(name.removeprefix(SEGMENT_PREFIX))
    content = disk.read(name)
    start = len(SEGMENT_MAGIC)
    scanned = frames.scan(content, start)
    synced_end = synced.size if sequence == synced.sequence else 0
    if not content.startswith(SEGMENT_MAGIC):
        scanned = frames.ScanResult([], 0, frames.find_valid_frame(content, 0))
    if scanned.valid_end < synced_end:
        return damage_failure(
            name, scanned.valid_end, "synced bytes are invalid"
        ).failure()
    if scanned.valid_end < len(content):
        if scanned.valid_frame_after is not None:
            reason = f"a valid frame follows at offset {scanned.valid_frame_after}"
            return damage_failure(name, scanned.valid_end, reason).failure()
        if not is_last:
            return damage_failure(
                name, scanned.valid_end, "later segments exist"
            ).failure()
        recovered.torn_bytes = len(content) - scanned.valid_end
    if not scanned.payloads:
        if not is_last:
            return damage_failure(
                name, scanned.valid_end, "later segments exist"
            ).failure()
        recovered.torn_bytes = 0
        recovered.torn_segments = [name]
        return None
    segment = Segment(name, sequence, scanned.valid_end, 0)
    for payload in scanned.payloads:
        for record in frames.decode_records(content, payload):
            visit(record)
            recovered.record_count += 1
            segment.max_key = max(segment.max_key, record.key)
    recovered.segments.append(segment)
    return None


def damage_failure(
    name: str, offset: int, reason: str
) -> result.Result[RecoveredLog, failures.Failure]:
    """Return the failure for damage at an offset in bytes of a file."""
    message = (
        f"The file {name} is damaged at offset {offset}: {reason}. Restore the file "
        f"or start with an empty folder; the replica then recovers from its peers."
    )
    return result.Failure(failures.Failure(codes.Code.STORAGE_DAMAGED, message))
