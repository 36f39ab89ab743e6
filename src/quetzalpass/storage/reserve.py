"""Room that is kept on the disk for the snapshot which lets a full disk drop more."""

import os

from quetzalpass.storage import disk as disks
from quetzalpass.storage import frames, health

RESERVE_NAME = "reserve"
MIN_RESERVE_BYTES = 512 * 1024


class Reserve:
    """A file that a snapshot is written over, or removed for it, when the disk is full.

    Parameters
    ----------
    disk : Disk
        Folder of the log.
    disk_health : health.DiskHealth
        Records whether the disk has room for it.
    """

    def __init__(self, disk: disks.Disk, disk_health: health.DiskHealth) -> None:
        self.disk = disk
        self.health = disk_health

    async def keep(self, snapshot_bytes: int) -> None:
        """Reserve room for two snapshots of a size, unless there is that much already.

        Without room for it the log goes on; the next snapshot tries again. The content
        is random, as some file systems store no zeros.
        """
        wanted_bytes = max(MIN_RESERVE_BYTES, 2 * snapshot_bytes)
        try:
            with self.health.watch(health.Operation.RESERVE):
                if self.size() >= wanted_bytes:
                    return
                await self.disk.write(RESERVE_NAME, os.urandom(wanted_bytes))
        except OSError:
            self.release()

    def size(self) -> int:
        """Return the size of the reserve in bytes; 0 if there is none."""
        if RESERVE_NAME not in self.disk.names():
            return 0
        return self.disk.size(RESERVE_NAME)

    def take(self, snapshot_bytes: int) -> str | None:
        """Return the file to write a snapshot over; None if it must have its own.

        A reserve that is too small is removed. Writing over it takes no more room, even
        where the disk accepts none of the room that a removal gives back.
        """
        try:
            if self.size() >= frames.HEADER.size + snapshot_bytes:
                return RESERVE_NAME
        except OSError:
            return None
        self.release()
        return None

    def release(self) -> None:
        """Give the reserved room back to the disk."""
        try:
            if RESERVE_NAME in self.disk.names():
                self.disk.remove(RESERVE_NAME)
        except OSError as error:
            condition = health.classify(error)
            self.health.record_failure(health.Operation.RESERVE, condition, str(error))
