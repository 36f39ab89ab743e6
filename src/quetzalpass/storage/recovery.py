"""Reading of segments after a start: torn ends are told from damage."""

import re
import struct

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
        Its number; the numbers of a log have no gaps.
    size : int
        Valid bytes.
    max_key : int
        Highest key among its records.
    """

    name: str
    sequence: int
    size: int
    max_key: int


class Recovered(msgspec.Struct):
    """What a log's folder holds.

    Attributes
    ----------
    segments : list of Segment
        Segments in order.
    records : list of frames.Record
        All records in the order of writing.
    torn_bytes : int
        Bytes behind the valid part of the last segment, left by a crash.
    torn_segments : list of str
        The last file, where a crash left it without one valid frame.
    synced_end : int
        Bytes of the last segment that are known to have been synced.
    """

    segments: list[Segment] = []
    records: list[frames.Record] = []
    torn_bytes: int = 0
    torn_segments: list[str] = []
    synced_end: int = 0


class SyncedMark(msgspec.Struct, frozen=True):
    """Up to where the log was synced when this was noted.

    Attributes
    ----------
    sequence : int
        Number of the segment.
    size : int
        Synced bytes of it.
    """

    sequence: int
    size: int


def name_of(sequence: int) -> str:
    """Return the file name of a segment."""
    return f"{SEGMENT_PREFIX}{sequence:012d}"


def note_synced(disk: disks.Disk, segment: Segment) -> None:
    """Note how far a segment is synced; the note itself needs no sync.

    With the note, damage in the last frame is told from a torn write. Where the note
    is lost or old, the frames alone decide.
    """
    body = SYNCED.pack(segment.sequence, segment.size, 0)
    checksum = crc32c.crc32c(body)
    content = SYNCED.pack(segment.sequence, segment.size, checksum)
    disk.overwrite(SYNCED_NAME, 0, content)


def read_synced(disk: disks.Disk) -> SyncedMark:
    """Return how far the log is known to be synced, zero where that isn't known."""
    content = disk.read(SYNCED_NAME) if SYNCED_NAME in disk.names() else b""
    if len(content) != SYNCED.size:
        return SyncedMark(0, 0)
    sequence, size, checksum = SYNCED.unpack(content)
    if checksum != crc32c.crc32c(SYNCED.pack(sequence, size, 0)):
        return SyncedMark(0, 0)
    return SyncedMark(sequence, size)


def read_segments(disk: disks.Disk) -> result.Result[Recovered, failures.Failure]:
    """Read a log without changing it.

    Parameters
    ----------
    disk : Disk
        Folder of the log.

    Returns
    -------
    returns.result.Result
        What was found, or ``STORAGE_DAMAGED`` naming file and offset.
    """
    names = [name for name in disk.names() if name.startswith(SEGMENT_PREFIX)]
    strangers = [name for name in names if not SEGMENT_NAME.fullmatch(name)]
    if strangers:
        return damaged(strangers[0], 0, "it is no segment; move it elsewhere")
    synced = read_synced(disk)
    recovered = Recovered()
    for position, name in enumerate(names):
        sequence = int(name.removeprefix(SEGMENT_PREFIX))
        if recovered.segments and sequence != recovered.segments[-1].sequence + 1:
            return damaged(name, 0, "the segment before it is missing")
        is_last = position == len(names) - 1
        problem = read_segment(disk, name, is_last, synced, recovered)
        if problem is not None:
            return result.Failure(problem)
    last = recovered.segments[-1] if recovered.segments else None
    if synced.sequence > (last.sequence if last else 0):
        return damaged(name_of(synced.sequence), 0, "a synced segment is missing")
    if last is not None and last.sequence == synced.sequence:
        recovered.synced_end = synced.size
    return result.Success(recovered)


def read_segment(
    disk: disks.Disk,
    name: str,
    is_last: bool,
    synced: SyncedMark,
    recovered: Recovered,
) -> failures.Failure | None:
    """Add one segment to what was recovered; return the failure where damaged."""
    sequence = int(name.removeprefix(SEGMENT_PREFIX))
    content = disk.read(name)
    start = len(SEGMENT_MAGIC)
    found = frames.scan(content, start)
    proven_end = synced.size if sequence == synced.sequence else 0
    if not content.startswith(SEGMENT_MAGIC):
        found = frames.Scan([], 0, frames.find_valid_frame(content, 0))
    if found.valid_end < proven_end:
        return damaged(name, found.valid_end, "synced bytes are invalid").failure()
    if found.valid_end < len(content):
        if found.valid_frame_after is not None:
            reason = f"a valid frame follows at offset {found.valid_frame_after}"
            return damaged(name, found.valid_end, reason).failure()
        if not is_last:
            return damaged(name, found.valid_end, "later segments exist").failure()
        recovered.torn_bytes = len(content) - found.valid_end
    if not found.payloads:
        if not is_last:
            return damaged(name, found.valid_end, "later segments exist").failure()
        recovered.torn_bytes = 0
        recovered.torn_segments = [name]
        return None
    segment = Segment(name, sequence, found.valid_end, 0)
    for payload in found.payloads:
        records = frames.decode_records(payload)
        recovered.records.extend(records)
        keys = [record.key for record in records]
        segment.max_key = max([segment.max_key, *keys])
    recovered.segments.append(segment)
    return None


def damaged(
    name: str, offset: int, reason: str
) -> result.Result[Recovered, failures.Failure]:
    """Return the failure for damage at an offset in bytes of a file."""
    message = (
        f"The file {name} is damaged at offset {offset}: {reason}. Restore the file "
        f"or start with an empty folder; the replica then recovers from its peers."
    )
    return result.Failure(failures.Failure(codes.Code.STORAGE_DAMAGED, message))
