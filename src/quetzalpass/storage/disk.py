"""The files of one folder, behind an abstract base class that tests can replace."""

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

    Content is durable once ``sync`` has returned, a name once ``sync_folder`` has.
    Every method raises ``OSError`` when the disk fails. Methods that wait for the
    disk itself are coroutines and leave the event loop free.
    """

    @abc.abstractmethod
    def names(self) -> list[str]:
        """Return the names of the folder's files, sorted."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Add data to the end of a file, which is created if it is missing."""

    @abc.abstractmethod
    def overwrite(self, name: str, offset: int, data: bytes) -> None:
        """Write data at an offset in bytes; the file is created if missing."""

    @abc.abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""

    @abc.abstractmethod
    def rename(self, name: str, new_name: str) -> None:
        """Give a file another name, replacing a file that has it."""

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
        """Make the folder's names durable."""

    @abc.abstractmethod
    def folder(self, name: str) -> "Disk":
        """Return a folder inside this one, created if it is missing."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close open files; the lock, if held, is released."""


class FolderDisk(Disk):
    """A folder of the operating system.

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
        """Add data to the end of a file, which is created if it is missing."""
        descriptor = self.descriptor_of(name)
        os.lseek(descriptor, 0, os.SEEK_END)
        write_all(descriptor, data)

    def overwrite(self, name: str, offset: int, data: bytes) -> None:
        """Write data at an offset in bytes; the file is created if missing."""
        descriptor = self.descriptor_of(name)
        os.lseek(descriptor, offset, os.SEEK_SET)
        write_all(descriptor, data)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size in bytes."""
        os.ftruncate(self.descriptor_of(name), size)

    def rename(self, name: str, new_name: str) -> None:
        """Give a file another name, replacing a file that has it."""
        self.forget(name)
        self.forget(new_name)
        os.replace(self.path / name, self.path / new_name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self.forget(name)
        (self.path / name).unlink()

    async def write(self, name: str, data: bytes) -> None:
        """Replace a file's content and sync it."""
        self.forget(name)
        await asyncio.to_thread(write_and_sync, self.path / name, data)

    async def sync(self, name: str) -> None:
        """Make a file's content durable."""
        await asyncio.to_thread(os.fdatasync, self.descriptor_of(name))

    async def sync_folder(self) -> None:
        """Make the folder's names durable."""
        await asyncio.to_thread(sync_path, self.path)

    def folder(self, name: str) -> Disk:
        """Return a folder inside this one, created if it is missing."""
        if name not in self.folders:
            path = self.path / name
            path.mkdir(exist_ok=True)
            sync_path(self.path)
            self.folders[name] = FolderDisk(path)
        return self.folders[name]

    def close(self) -> None:
        """Close open files; the lock, if held, is released."""
        for inner in self.folders.values():
            inner.close()
        self.folders.clear()
        for name in list(self.descriptors):
            self.forget(name)

    def descriptor_of(self, name: str) -> int:
        """Return the open descriptor of a file, opening it if need be."""
        if name not in self.descriptors:
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            self.descriptors[name] = os.open(self.path / name, flags, 0o600)
        return self.descriptors[name]

    def forget(self, name: str) -> None:
        """Close the descriptor of a file, if it is open."""
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def open_folder(path: pathlib.Path) -> result.Result[FolderDisk, failures.Failure]:
    """Open a data folder for this process alone.

    Parameters
    ----------
    path : pathlib.Path
        The data folder, created if it is missing.

    Returns
    -------
    returns.result.Result
        The folder, or ``STORAGE_FAILED`` where another process holds it or it can't
        be created.
    """
    disk = FolderDisk(path)
    try:
        path.mkdir(parents=True, exist_ok=True)
        fcntl.flock(disk.descriptor_of(LOCK_NAME), fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        disk.close()
        message = f"Another process uses {path}; stop it or name another folder."
        return result.Failure(
            failures.Failure(codes.Code.STORAGE_FAILED, message),
        )
    except OSError as error:
        disk.close()
        message = f"The folder {path} can't be opened: {error}."
        return result.Failure(failures.Failure(codes.Code.STORAGE_FAILED, message))
    return result.Success(disk)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all the data, however little each call of the system takes."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def write_and_sync(path: pathlib.Path, data: bytes) -> None:
    """Replace a file's content and make it durable."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
    descriptor = os.open(path, flags, 0o600)
    with contextlib.closing(os.fdopen(descriptor, "wb", buffering=0)):
        write_all(descriptor, data)
        os.fsync(descriptor)


def sync_path(path: pathlib.Path) -> None:
    """Make the names in a folder durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
