"""Snapshot files, written atomically: temporary file, sync, rename, folder sync."""

import asyncio
from collections import abc

import logbook
import msgspec
from returns import result

from quetzalpass.results import failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import frames, health, recovery

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
    disk_health : health.DiskHealth
        Records what is wrong with the disk.
    """

    def __init__(self, disk: disks.Disk, disk_health: health.DiskHealth) -> None:
        self.disk = disk
        self.health = disk_health
        self.saving: asyncio.Task | None = None

    async def open(self) -> result.Result[Snapshot | None, failures.Failure]:
        """Return the newest snapshot and remove the files of unfinished writes.

        Returns
        -------
        returns.result.Result
            The snapshot, None if there is none, ``STORAGE_DAMAGED``, or
            ``STORAGE_FAILED`` if the disk can't be read now.
        """
        try:
            with self.health.watch(health.Operation.OPEN):
                self.remove_unfinished()
                newest = read_newest(self.disk)
                if newest.value_or(None) is not None:
                    # The sync of its name may have failed before this start.
                    await self.disk.sync_folder()
                return newest
        except OSError:
            return result.Failure(self.health.failure())

    async def save(
        self, snapshot: Snapshot, in_place_of: str | None = None
    ) -> result.Result[None, failures.Failure]:
        """Store a snapshot durably, then remove the older ones.

        A call that is cancelled leaves a thread that still writes; the next one waits
        until it has ended.

        Parameters
        ----------
        snapshot : Snapshot
            The snapshot.
        in_place_of : str or None
            A file to write it over, as a full disk may take nothing else.

        Returns
        -------
        returns.result.Result
            ``STORAGE_FAILED`` if the disk refuses it; the older snapshot is then kept,
            and a later call writes everything anew.
        """
        if self.saving is not None:
            await asyncio.wait([self.saving])
        self.saving = asyncio.create_task(self.write_durably(snapshot, in_place_of))
        return await asyncio.shield(self.saving)

    async def write_durably(
        self, snapshot: Snapshot, in_place_of: str | None
    ) -> result.Result[None, failures.Failure]:
        """Store a snapshot; see ``save``."""
        name = f"{SNAPSHOT_PREFIX}{snapshot.index:020d}"
        unfinished = name + UNFINISHED_SUFFIX
        try:
            with self.health.watch(health.Operation.SNAPSHOT):
                frame = frames.encode_frame(snapshot.data, 0)
                if in_place_of is None:
                    await self.disk.write(unfinished, frame)
                else:
                    await self.write_over(in_place_of, frame)
                self.disk.rename(in_place_of or unfinished, name)
                await self.disk.sync_folder()
        except OSError:
            self.clean_up(self.remove_unfinished)
            return result.Failure(self.health.failure())
        self.clean_up(lambda: self.remove_older_than(name))
        return result.Success(None)

    async def write_over(self, name: str, frame: bytes) -> None:
        """Replace the content of a file without needing room for it."""
        await self.disk.overwrite(name, 0, frame)
        self.disk.truncate(name, len(frame))
        await self.disk.sync(name)

    def clean_up(self, remove: abc.Callable[[], None]) -> None:
        """Remove files that are no longer needed; what fails is left to the next."""
        try:
            with self.health.watch(health.Operation.REMOVE):
                remove()
        except OSError:
            return

    def remove_unfinished(self) -> None:
        """Remove the files of unfinished writes."""
        for name in self.disk.names():
            if name.endswith(UNFINISHED_SUFFIX):
                LOG.info("storage: Removed the unfinished file {}.", name)
                self.disk.remove(name)

    def remove_older_than(self, name: str) -> None:
        """Remove the snapshots that an index in a name exceeds."""
        for old in snapshot_names(self.disk):
            if old < name:
                self.disk.remove(old)


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
