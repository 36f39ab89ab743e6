"""An in-memory disk that loses or tears unsynced writes and can flip bits."""

import asyncio

from quetzalpass.storage import disk


class CrashError(Exception):
    """The process crashed during this disk operation."""


class Faults:
    def __init__(self, crash_at=None, sync_s=0.001):
        self.crash_at = crash_at
        self.sync_s = sync_s
        self.operation_count = 0
        self.is_crashed = False
        self.fails_sync = False
        self.is_full = False

    def on_operation(self):
        self.operation_count += 1
        if self.operation_count == self.crash_at:
            self.is_crashed = True
        if self.is_crashed:
            raise CrashError

    def on_write(self):
        self.on_operation()
        if self.is_full:
            raise OSError(28, "No space left on device")


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
        return self.files[name].current

    def append(self, name, data):
        self.overwrite(name, len(self.file(name).current), data)

    def overwrite(self, name, offset, data):
        file = self.file(name)
        self.faults.on_write()
        old_content = file.current
        if file.skipped_from is not None and offset <= file.skipped_from:
            file.skipped_from = None
        file.current = old_content[:offset] + data + old_content[offset + len(data) :]
        self.faults.on_operation()

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
        self.files[name] = FakeFile()
        self.append(name, data)
        await self.sync(name)

    async def sync(self, name):
        self.faults.on_operation()
        file = self.files[name]
        content = file.current
        await asyncio.sleep(self.faults.sync_s)
        if self.faults.fails_sync:
            file.skipped_from = len(file.durable)
            raise OSError(5, "Input/output error")
        file.durable = content[: file.skipped_from]
        self.faults.on_operation()

    async def sync_folder(self):
        self.faults.on_operation()
        self.durable_files = dict(self.files)

    def folder(self, name):
        if name not in self.folders:
            self.folders[name] = FakeDisk(self.faults)
        return self.folders[name]

    def close(self):
        pass

    def file(self, name):
        return self.files.setdefault(name, FakeFile())
