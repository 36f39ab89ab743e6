"""Frames with checksums, in which segments and snapshots are written."""

import struct
from collections.abc import Iterator

import crc32c
import msgspec

MAGIC = b"QZPF"
HEADER = struct.Struct("<4sIII")
RECORD = struct.Struct("<QI")
OFFSET = struct.Struct("<Q")
MAX_FRAME_BYTES = 1 << 30


class Record(msgspec.Struct, frozen=True):
    """One record of a log.

    Attributes
    ----------
    key : int
        Log index that decides when the record may be dropped; 0 for none.
    data : bytes
        Content, opaque to this package.
    """

    key: int
    data: bytes


class ScanResult(msgspec.Struct, frozen=True):
    """Result of reading the frames of one file.

    Attributes
    ----------
    payloads : list of slice
        Where the payloads of the valid frames from the start are.
    valid_end : int
        Offset in bytes after the last of them.
    valid_frame_after : int or None
        Offset of a valid frame after the first invalid one, if there is any.
    """

    payloads: list[slice]
    valid_end: int
    valid_frame_after: int | None


def encode_frame(payload: bytes, offset: int) -> bytes:
    """Return a frame for a payload that is written at an offset in bytes.

    The checksum of the header covers the offset, so that a frame is invalid at any
    offset but its own.
    """
    payload_crc = crc32c.crc32c(payload)
    header_crc = compute_header_checksum(len(payload), payload_crc, offset)
    return HEADER.pack(MAGIC, len(payload), payload_crc, header_crc) + payload


def compute_header_checksum(length: int, payload_crc: int, offset: int) -> int:
    """Return the checksum of a frame's header at an offset in bytes."""
    covered = HEADER.pack(MAGIC, length, payload_crc, 0) + OFFSET.pack(offset)
    return crc32c.crc32c(covered)


def find_payload(content: bytes, offset: int) -> slice | None:
    """Return where the payload of the frame at an offset is; None if it is invalid."""
    if offset + HEADER.size > len(content):
        return None
    magic, length, payload_crc, header_crc = HEADER.unpack_from(content, offset)
    if magic != MAGIC or length > MAX_FRAME_BYTES:
        return None
    if header_crc != compute_header_checksum(length, payload_crc, offset):
        return None
    start = offset + HEADER.size
    payload = memoryview(content)[start : start + length]
    if len(payload) != length or crc32c.crc32c(payload) != payload_crc:
        return None
    return slice(start, start + length)


def decode_frame(content: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, or None if it is invalid."""
    payload = find_payload(content, offset)
    return None if payload is None else content[payload]


def scan(content: bytes, start: int) -> ScanResult:
    """Read the frames of a file from an offset in bytes up to the first invalid one."""
    payloads = []
    offset = start
    while (payload := find_payload(content, offset)) is not None:
        payloads.append(payload)
        offset = payload.stop
    return ScanResult(payloads, offset, find_valid_frame(content, offset + 1))


def find_valid_frame(content: bytes, start: int) -> int | None:
    """Return the offset of the first valid frame at or after an offset in bytes."""
    offset = content.find(MAGIC, start)
    while offset >= 0:
        if find_payload(content, offset) is not None:
            return offset
        offset = content.find(MAGIC, offset + 1)
    return None


def encode_records(records: list[Record]) -> bytes:
    """Encode a batch of records as a payload."""
    parts = []
    for record in records:
        parts.append(RECORD.pack(record.key, len(record.data)))
        parts.append(record.data)
    return b"".join(parts)


def decode_records(content: bytes, payload: slice) -> Iterator[Record]:
    """Decode the batch of records in a payload, one at a time."""
    offset = payload.start
    while offset < payload.stop:
        key, length = RECORD.unpack_from(content, offset)
        offset += RECORD.size
        yield Record(key, content[offset : offset + length])
        offset += length
