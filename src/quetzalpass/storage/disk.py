"""Access to the files of a folder, with an abstract base class for fakes in tests."""

import abc
import asyncio
import contextlib
import fcntl
import os
import pathlib

from returns import result

from quetzalpass.results import codes, failures

LOCK_NAME = "lock"


class Disk(abc.ABC):
    """The files of one folder.

    Content is durable once ``sync`` returns, a name once ``sync_folder`` returns.
    All methods raise ``OSError`` if the disk fails. Methods that wait for the disk are
    coroutines and don't block the event loop.
    """

    @abc.abstractmethod
    def names(self) -> list[str]:
        """Return the names of the folder's files, sorted."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append data to a file, which is created if it is missing."""

    @abc.abstractmethod
    def overwrite(self, name: str, offset: int, data: bytes) -> None:
        """Write data at an offset in bytes; the file is created if it is missing."""

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
        """Sync the folder, so that created and renamed files are durable."""

    @abc.abstractmethod
    def folder(self, name: str) -> "Disk":
        """Return a subfolder, created if it is missing."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all open files, which releases the lock if it is held."""


class FolderDisk(Disk):
    """A folder in the file system.

    Parameters
    ----------
    path : pathlib.Path
        The folder, which must exist.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.descriptors: dict[str, int] = {}
        self.folders: dict[str, FolderDisk] = {}

    def names(self) -> list[str]:
        """Return the names of the folder's files, sorted."""
        return sorted(item.name for item in self.path.iterdir() if item.is_file())

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file, which is created if it is missing."""
        descriptor = self.get_descriptor(name)
        os.lseek(descriptor, 0, os.SEEK_END)
        write_all(descriptor, data)

    def overwrite(self, name: str, offset: int, data: bytes) -> None:
        """Write data at an offset in bytes; the file is created if it is missing."""
        descriptor = self.get_descriptor(name)
        os.lseek(descriptor, offset, os.SEEK_SET)
        write_all(descriptor, data)

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
        await asyncio.to_thread(os.fdatasync, self.get_descriptor(name))

    async def sync_folder(self) -> None:
        """Sync the folder, so that created and renamed files are durable."""
        await asyncio.to_thread(sync_path, self.path)

    def folder(self, name: str) -> Disk:
        """Return a subfolder, created if it is missing."""
        if name not in self.folders:
            path = self.path / name
            path.mkdir(exist_ok=True)
            sync_path(self.path)
            self.folders[name] = FolderDisk(path)
        return self.folders[name]

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


def open_folder(path: pathlib.Path) -> result.Result[FolderDisk, failures.Failure]:
    """Open a data folder and lock it for this process.

    Parameters
    ----------
    path : pathlib.Path
        The data folder, created if it is missing.

    Returns
    -------
    returns.result.Result
        The folder, or ``STORAGE_FAILED`` if another process has locked it or it can't
        be created.
    """
    disk = FolderDisk(path)
    try:
        path.mkdir(parents=True, exist_ok=True)
        fcntl.flock(disk.get_descriptor(LOCK_NAME), fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        disk.close()
        message = f"Another process uses {path}; stop it or use another folder."
        return result.Failure(
            failures.Failure(codes.Code.STORAGE_FAILED, message),
        )
    except OSError as error:
        disk.close()
        message = f"The folder {path} can't be opened: {error}."
        return result.Failure(failures.Failure(codes.Code.STORAGE_FAILED, message))
    return result.Success(disk)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all the data, repeating the system call after partial writes."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def write_and_sync(path: pathlib.Path, data: bytes) -> None:
    """Replace a file's content and sync it."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
    descriptor = os.open(path, flags, 0o600)
    with contextlib.closing(os.fdopen(descriptor, "wb", buffering=0)):
        write_all(descriptor, data)
        os.fsync(descriptor)


def sync_path(path: pathlib.Path) -> None:
    """Sync a folder."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
