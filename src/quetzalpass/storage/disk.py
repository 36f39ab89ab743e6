"""Access to the files of a folder, with an abstract base class for fakes in tests."""

import abc
import asyncio
import fcntl
import os
import pathlib
import threading
from collections import abc as abc_collections

import logbook
import msgspec
from returns import result

from quetzalpass.results import codes, failures

LOCK_NAME = "lock"
# Created and removed to change a folder, see ``sync_folder``.
TOUCHED_NAME = "touched"

LOG = logbook.Logger("storage")


class SyncError(OSError):
    """A sync failed.

    The pages that it covered may never reach the disk, even if a later sync succeeds,
    unless they are written again.
    """


class MarkError(OSError):
    """The data is durable, but the mark that was to follow could not be written."""


class Mark(msgspec.Struct, frozen=True):
    """Content of a small file that is written after a sync, without one of its own.

    Attributes
    ----------
    name : str
        Name of the file.
    content : bytes
        Written at its start.
    """

    name: str
    content: bytes


class Disk(abc.ABC):
    """The files of one folder.

    Content is durable once ``sync`` returns, a name once ``sync_folder`` returns.
    All methods raise ``OSError`` if the disk fails, ``SyncError`` if a sync does.
    Methods that write are coroutines and don't block the event loop, as a disk may
    hang for seconds.
    """

    @abc.abstractmethod
    def names(self) -> list[str]:
        """Return the names of the folder's files, sorted."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    @abc.abstractmethod
    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""

    @abc.abstractmethod
    async def overwrite(self, name: str, offset: int, data: bytes) -> None:
        """Write data at an offset in bytes; the file is created if it is missing."""

    @abc.abstractmethod
    async def overwrite_and_sync(
        self, name: str, offset: int, data: bytes, mark: Mark
    ) -> None:
        """Write data at an offset in bytes, sync the file, then write the mark.

        Raises
        ------
        MarkError
            If only the mark could not be written.
        """

    @abc.abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""

    @abc.abstractmethod
    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file of the new name."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file."""

    @abc.abstractmethod
    async def write(self, name: str, data: bytes) -> None:
        """Replace a file's content and sync it."""

    @abc.abstractmethod
    async def sync(self, name: str) -> None:
        """Make a file's content durable."""

    @abc.abstractmethod
    async def sync_folder(self) -> None:
        """Make the names of created, renamed and removed files durable.

        After a failure, the next call changes the folder before it syncs it.
        """

    @abc.abstractmethod
    def folder(self, name: str) -> "Disk":
        """Return a subfolder, which ``make`` creates."""

    @abc.abstractmethod
    async def make(self) -> None:
        """Create the folder durably if it is missing."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all open files, which releases the lock if it is held."""


class FolderDisk(Disk):
    """A folder in the file system.

    Parameters
    ----------
    path : pathlib.Path
        The folder; ``make`` creates it if it is missing.
    parent : FolderDisk or None
        The folder that holds it, if it is a subfolder.

    Attributes
    ----------
    is_folder_sync_missing : bool
        Whether names may have stayed unsynced, so that a bare sync proves nothing.
    is_made : bool
        Whether the folder's name is durable.
    is_name_unsynced : bool
        Whether the sync of its name was tried and failed.
    """

    def __init__(self, path: pathlib.Path, parent: "FolderDisk | None" = None) -> None:
        self.path = path
        self.parent = parent
        self.making = threading.Lock()
        self.is_made = False
        self.is_name_unsynced = False
        self.descriptors: dict[str, int] = {}
        self.folders: dict[str, FolderDisk] = {}
        # What an earlier process failed to sync isn't known.
        self.is_folder_sync_missing = True
        self.folder_sync_lock = asyncio.Lock()

    def names(self) -> list[str]:
        """Return the names of the folder's files, sorted."""
        return sorted(item.name for item in self.path.iterdir() if item.is_file())

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        return (self.path / name).read_bytes()

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return (self.path / name).stat().st_size

    async def overwrite(self, name: str, offset: int, data: bytes) -> None:
        """Write data at an offset in bytes; the file is created if it is missing."""
        descriptor = os.dup(self.get_descriptor(name))
        await asyncio.to_thread(use, [descriptor], write_all, descriptor, offset, data)

    async def overwrite_and_sync(
        self, name: str, offset: int, data: bytes, mark: Mark
    ) -> None:
        """Write data at an offset in bytes, sync the file, then write the mark."""
        mark_descriptor = os.dup(self.get_descriptor(mark.name))
        descriptor = os.dup(self.get_descriptor(name))

        def write_in_order() -> None:
            write_all(descriptor, offset, data)
            sync_content(descriptor)
            write_mark(mark_descriptor, mark.content)

        await asyncio.to_thread(use, [descriptor, mark_descriptor], write_in_order)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(self.get_descriptor(name), size)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file of the new name."""
        self.close_descriptor(name)
        self.close_descriptor(new_name)
        os.replace(self.path / name, self.path / new_name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self.close_descriptor(name)
        (self.path / name).unlink()

    async def write(self, name: str, data: bytes) -> None:
        """Replace a file's content and sync it."""
        self.close_descriptor(name)
        await asyncio.to_thread(write_and_sync, self.path / name, data)

    async def sync(self, name: str) -> None:
        """Make a file's content durable."""
        descriptor = os.dup(self.get_descriptor(name))
        await asyncio.to_thread(use, [descriptor], sync_content, descriptor)

    async def sync_folder(self) -> None:
        """Make the names of created, renamed and removed files durable.

        One call waits for the other, so that none misses that the other has failed.
        """
        async with self.folder_sync_lock:
            if self.is_folder_sync_missing:
                await asyncio.to_thread(change_folder, self.path / TOUCHED_NAME)
            self.is_folder_sync_missing = True
            await asyncio.to_thread(sync_path, self.path)
            self.is_folder_sync_missing = False

    def folder(self, name: str) -> Disk:
        """Return a subfolder, which ``make`` creates."""
        return self.folders.setdefault(name, FolderDisk(self.path / name, self))

    async def make(self) -> None:
        """Create the folder durably if it is missing."""
        await asyncio.to_thread(self.make_in_thread)

    def make_in_thread(self) -> None:
        """Create the folder durably if it is missing; it may wait for the disk."""
        if self.parent is not None:
            self.parent.make_in_thread()
        if self.is_made and self.path.is_dir():
            return
        self.path.mkdir(parents=True, exist_ok=True)
        if self.parent is not None:
            self.sync_name(self.parent.path)
        self.is_made = True

    def sync_name(self, parent_path: pathlib.Path) -> None:
        """Make the folder's name durable."""
        if self.is_name_unsynced:
            change_folder(parent_path / TOUCHED_NAME)
        self.is_name_unsynced = True
        sync_path(parent_path)
        self.is_name_unsynced = False

    def close(self) -> None:
        """Close all open files, which releases the lock if it is held."""
        for inner in self.folders.values():
            inner.close()
        self.folders.clear()
        for name in list(self.descriptors):
            self.close_descriptor(name)

    def get_descriptor(self, name: str) -> int:
        """Return the descriptor of a file, opening the file if necessary."""
        if name not in self.descriptors:
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            self.descriptors[name] = os.open(self.path / name, flags, 0o600)
        return self.descriptors[name]

    def close_descriptor(self, name: str) -> None:
        """Close the descriptor of a file if it is open."""
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


class DataFolder(FolderDisk):
    """A data folder, which ``make`` also locks for this process."""

    def make_in_thread(self) -> None:
        """Create the folder if it is missing, and lock it unless it is locked here."""
        with self.making:
            super().make_in_thread()
            self.lock()

    def lock(self) -> None:
        """Lock the folder for this process, unless it is already."""
        if LOCK_NAME in self.descriptors:
            return
        try:
            fcntl.flock(self.get_descriptor(LOCK_NAME), fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close_descriptor(LOCK_NAME)
            raise


def open_folder(path: pathlib.Path) -> result.Result[DataFolder, failures.Failure]:
    """Open a data folder and lock it for this process.

    Parameters
    ----------
    path : pathlib.Path
        The data folder, created if it is missing.

    Returns
    -------
    returns.result.Result
        The folder, or ``STORAGE_FAILED`` if another process has locked it. If its disk
        refuses for another reason, ``make`` has to be called again before it is used.
    """
    disk = DataFolder(path)
    try:
        disk.make_in_thread()
    except BlockingIOError:
        message = f"Another process uses {path}; stop it or use another folder."
        return result.Failure(failures.Failure(codes.Code.STORAGE_FAILED, message))
    except OSError as error:
        text = "storage: The folder {} can't be opened ({}); trying again."
        LOG.error(text, path, error)
    return result.Success(disk)


def use(descriptors: list[int], work: abc_collections.Callable, *args: object) -> None:
    """Do some work with descriptors, then close them.

    A thread has descriptors of its own: a file that is closed meanwhile, as its caller
    no longer waits, would otherwise leave it with the number of another file.
    """
    try:
        work(*args)
    finally:
        for descriptor in descriptors:
            os.close(descriptor)


def write_all(descriptor: int, offset: int, data: bytes) -> None:
    """Write all the data at an offset in bytes, also after partial writes."""
    os.lseek(descriptor, offset, os.SEEK_SET)
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def write_mark(descriptor: int, content: bytes) -> None:
    """Write a mark at the start of its file; raise ``MarkError`` if that fails."""
    try:
        write_all(descriptor, 0, content)
    except OSError as error:
        raise MarkError(error.errno, error.strerror) from error


def sync_content(descriptor: int) -> None:
    """Make a file's content durable."""
    try:
        os.fdatasync(descriptor)
    except OSError as error:
        raise SyncError(error.errno, error.strerror) from error


def sync_all(descriptor: int) -> None:
    """Make the content and the metadata of a file, or a folder, durable."""
    try:
        os.fsync(descriptor)
    except OSError as error:
        raise SyncError(error.errno, error.strerror) from error


def write_and_sync(path: pathlib.Path, data: bytes) -> None:
    """Replace a file's content and sync it."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
    descriptor = os.open(path, flags, 0o600)
    try:
        write_all(descriptor, 0, data)
        sync_all(descriptor)
    finally:
        os.close(descriptor)


def sync_path(path: pathlib.Path) -> None:
    """Sync a folder."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        sync_all(descriptor)
    finally:
        os.close(descriptor)


def change_folder(path: pathlib.Path) -> None:
    """Create and remove a file, so that a later sync of its folder writes it again."""
    os.close(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600))
    path.unlink()
