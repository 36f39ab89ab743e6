"""Snapshot files, written atomically: temporary file, sync, rename, folder sync."""

import logbook
import msgspec
from returns import result

from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import frames, recovery

SNAPSHOT_PREFIX = "snapshot-"
UNFINISHED_SUFFIX = ".new"

LOG = logbook.Logger("storage")


class Snapshot(msgspec.Struct, frozen=True):
    """A snapshot as it is stored.

    Attributes
    ----------
    index : int
        Last log index that the snapshot covers.
    data : bytes
        Content, opaque to this package.
    """

    index: int
    data: bytes


class SnapshotStore:
    """The newest snapshot of one log.

    Parameters
    ----------
    disk : Disk
        Folder of the log.
    """

    def __init__(self, disk: disks.Disk) -> None:
        self.disk = disk

    async def open(self) -> result.Result[Snapshot | None, failures.Failure]:
        """Return the newest snapshot and remove the files of unfinished writes.

        Returns
        -------
        returns.result.Result
            The snapshot, None if there is none, or ``STORAGE_DAMAGED``.
        """
        try:
            for name in self.disk.names():
                if name.endswith(UNFINISHED_SUFFIX):
                    LOG.info("storage: Removed the unfinished file {}.", name)
                    self.disk.remove(name)
            return read_newest(self.disk)
        except OSError as error:
            return result.Failure(snapshot_failure(error))

    async def save(self, snapshot: Snapshot) -> result.Result[None, failures.Failure]:
        """Store a snapshot durably, then remove the older ones.

        Returns
        -------
        returns.result.Result
            ``STORAGE_FAILED`` if the disk fails; the older snapshot is then kept.
        """
        name = f"{SNAPSHOT_PREFIX}{snapshot.index:020d}"
        unfinished = name + UNFINISHED_SUFFIX
        try:
            await self.disk.write(unfinished, frames.encode_frame(snapshot.data, 0))
            self.disk.rename(unfinished, name)
            await self.disk.sync_folder()
            for old in snapshot_names(self.disk):
                if old < name:
                    self.disk.remove(old)
        except OSError as error:
            return result.Failure(snapshot_failure(error))
        return result.Success(None)


def snapshot_names(disk: disks.Disk) -> list[str]:
    """Return the names of the finished snapshots, oldest first."""
    return [
        name
        for name in disk.names()
        if name.startswith(SNAPSHOT_PREFIX) and not name.endswith(UNFINISHED_SUFFIX)
    ]


def read_newest(
    disk: disks.Disk,
) -> result.Result[Snapshot | None, failures.Failure]:
    """Return the newest snapshot, None if there is none, or ``STORAGE_DAMAGED``."""
    names = snapshot_names(disk)
    if not names:
        return result.Success(None)
    content = disk.read(names[-1])
    data = frames.decode_frame(content, 0)
    if data is None or len(content) != frames.HEADER.size + len(data):
        # A snapshot is renamed only after its sync, so this isn't a torn write.
        return recovery.damage_failure(names[-1], 0, "its checksum doesn't match")
    index = int(names[-1].removeprefix(SNAPSHOT_PREFIX))
    return result.Success(Snapshot(index, data))


def snapshot_failure(error: OSError) -> failures.Failure:
    """Return the failure for a disk error."""
    message = f"The disk failed to store a snapshot: {error}. Replace it, then restart."
    return failures.Failure(codes.Code.STORAGE_FAILED, message)
