"""An in-memory disk that loses or tears unsynced writes and can flip bits."""

import asyncio
import errno

from quetzalpass.storage import disk

HANG_POLL_S = 0.01


class CrashError(Exception):
    """The process crashed during this disk operation."""


class Faults:
    def __init__(self, crash_at=None, sync_s=0.001):
        self.crash_at = crash_at
        self.sync_s = sync_s
        self.operation_count = 0
        self.is_crashed = False
        self.fails_sync = False
        self.fails_write = False
        self.fails_read = False
        self.is_full = False
        # Bytes that all files may have together; a write takes what still fits.
        self.capacity_bytes = None
        # Files whose names start so can't be written.
        self.refused_prefixes = ()
        # While it hangs, writes and syncs don't return.
        self.is_hanging = False

    def on_operation(self):
        self.operation_count += 1
        if self.operation_count == self.crash_at:
            self.is_crashed = True
        if self.is_crashed:
            raise CrashError

    async def wait_while_hanging(self):
        while self.is_hanging:
            await asyncio.sleep(HANG_POLL_S)


class FakeFile:
    def __init__(self, content=b""):
        self.durable = content
        self.current = content
        # Offset of the first byte that a failed sync did not write to disk. Later syncs
        # skip these bytes until they are written again.
        self.skipped_from = None

    def copy_after_crash(self, rng):
        size = max(len(self.durable), len(self.current))
        if self.current == self.durable or rng.random() < 0.3:
            return FakeFile(self.durable)
        if not self.current.startswith(self.durable):
            return FakeFile(rng.choice([self.durable, self.current]))
        content = bytearray(self.current[: rng.randint(len(self.durable), size)])
        if len(content) > len(self.durable) and rng.random() < 0.5:
            start = rng.randrange(len(self.durable), len(content))
            content[start:] = bytes(len(content) - start)
        return FakeFile(bytes(content))


class FakeDisk(disk.Disk):
    def __init__(self, faults=None):
        self.faults = faults or Faults()
        self.files = {}
        self.durable_files = {}
        self.folders = {}

    def after_crash(self, rng, faults=None):
        recovered = FakeDisk(faults)
        for name in sorted({*self.files, *self.durable_files}):
            # Without a sync of the folder each name is kept or lost independently.
            file = rng.choice([self.files, self.durable_files]).get(name)
            if file is not None:
                recovered.files[name] = file.copy_after_crash(rng)
        recovered.durable_files = dict(recovered.files)
        for name, inner in self.folders.items():
            recovered.folders[name] = inner.after_crash(rng, recovered.faults)
        return recovered

    def flip_bit(self, name, offset):
        content = bytearray(self.files[name].current)
        content[offset] ^= 0x10
        self.files[name] = FakeFile(bytes(content))
        self.durable_files[name] = self.files[name]

    def names(self):
        return sorted(self.files)

    def read(self, name):
        if self.faults.fails_read:
            raise OSError(errno.EIO, "Input/output error")
        return self.files[name].current

    def size(self, name):
        return len(self.files[name].current)

    def append(self, name, data):
        self.write_part(name, len(self.file(name).current), data)

    async def overwrite(self, name, offset, data):
        await self.faults.wait_while_hanging()
        self.write_part(name, offset, data)

    async def overwrite_and_sync(self, name, offset, data, mark):
        await self.overwrite(name, offset, data)
        await self.sync(name)
        try:
            await self.overwrite(mark.name, 0, mark.content)
        except OSError as error:
            raise disk.MarkError(error.errno, error.strerror) from error

    def write_part(self, name, offset, data):
        """Write what fits; fail if that is not everything."""
        if self.faults.fails_write or name.startswith(self.faults.refused_prefixes):
            raise OSError(errno.EIO, "Input/output error")
        file = self.file(name)
        self.faults.on_operation()
        room = self.room(offset + len(data) - len(file.current))
        fitting = data[: max(0, len(file.current) + room - offset)]
        old_content = file.current
        if file.skipped_from is not None and offset <= file.skipped_from:
            file.skipped_from = None
        end = offset + len(fitting)
        file.current = old_content[:offset] + fitting + old_content[end:]
        self.faults.on_operation()
        if len(fitting) < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def room(self, wanted):
        """Return by how many bytes a file may grow."""
        if self.faults.is_full:
            return 0
        if self.faults.capacity_bytes is None:
            return wanted
        used = sum(len(file.current) for file in self.files.values())
        return max(0, min(wanted, self.faults.capacity_bytes - used))

    def truncate(self, name, size):
        self.faults.on_operation()
        file = self.files[name]
        file.current = file.current[:size]

    def rename(self, name, new_name):
        self.faults.on_operation()
        self.files[new_name] = self.files.pop(name)

    def remove(self, name):
        self.faults.on_operation()
        del self.files[name]

    async def write(self, name, data):
        await self.faults.wait_while_hanging()
        self.files[name] = FakeFile()
        self.write_part(name, 0, data)
        await self.sync(name)

    async def sync(self, name):
        await self.faults.wait_while_hanging()
        self.faults.on_operation()
        file = self.files[name]
        content = file.current
        await asyncio.sleep(self.faults.sync_s)
        if self.faults.fails_sync:
            file.skipped_from = len(file.durable)
            raise disk.SyncError(errno.EIO, "Input/output error")
        file.durable = content[: file.skipped_from]
        self.faults.on_operation()

    async def sync_folder(self):
        await self.faults.wait_while_hanging()
        self.faults.on_operation()
        if self.faults.fails_sync:
            raise disk.SyncError(errno.EIO, "Input/output error")
        self.durable_files = dict(self.files)

    def folder(self, name):
        if name not in self.folders:
            self.folders[name] = FakeDisk(self.faults)
        return self.folders[name]

    async def make(self):
        pass

    def close(self):
        pass

    def file(self, name):
        return self.files.setdefault(name, FakeFile())
