"""Room that is kept on the disk for the snapshot which lets a full disk drop more."""

import os

from quetzalpass.storage import disk as disks
from quetzalpass.storage import health

RESERVE_NAME = "reserve"
MIN_RESERVE_BYTES = 512 * 1024


class Reserve:
    """A file that is removed when the disk is full, before a snapshot is stored.

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

    def release(self) -> None:
        """Give the reserved room back to the disk."""
        try:
            if RESERVE_NAME in self.disk.names():
                self.disk.remove(RESERVE_NAME)
        except OSError as error:
            condition = health.classify(error)
            self.health.record_failure(health.Operation.RESERVE, condition, str(error))
