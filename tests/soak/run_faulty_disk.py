"""Runs a node whose disk fails as the soak says in a file.

The calls of the operating system that change files are replaced, for paths below the
data folder alone, so that any version of the programs can run. The file ``disk.json``
beside the settings file is read before each call, see ``Disk.faults``. Each failure is
noted in the file ``injected``. What a loss of power would leave is kept in the folder
``durable``. Usage: ``run_faulty_disk.py IP ROLE CHECKOUT``.
"""

import errno
import json
import os
import pathlib
import runpy
import stat
import sys
import threading
import time
import types

CONTROL_NAME = "disk.json"
INJECTED_NAME = "injected"
DURABLE_NAME = "durable"
NAMES_NAME = "names.json"
POLL_S = 0.02
SYNC_S = 0.002
SLOW_FACTOR = 30
# The calls as they were before they were replaced.
SYSTEM = types.SimpleNamespace(**vars(os))


class DurableFiles:
    """What the disk holds after a loss of power.

    As on Linux, a sync covers what was written since the last one, whether that failed
    or not. A new file is durable with its own sync; renamed and removed names are with
    that of their folder.

    Attributes
    ----------
    names : dict of str to str
        Durable file names, relative to the data folder, and their contents' ids.
    doubtful : list of str
        Contents of which a sync has failed once. After a start of the process, nothing
        of these counts as written since then.
    ids : dict of int to str
        Ids of the present files' contents, by inode.
    created_as : dict of str to str
        Name under which each content was created.
    dirty : dict of str to list of tuple of int
        Start and end of what was written since the last sync, by id.
    """

    def __init__(self, data, folder):
        self.data = data
        self.folder = folder
        self.folder.mkdir(exist_ok=True)
        self.names, self.doubtful, self.next_id = {}, [], 1
        saved = self.folder / NAMES_NAME
        if saved.exists():
            self.names, self.doubtful, self.next_id = json.loads(saved.read_bytes())
        self.ids = {}
        self.created_as = {}
        self.dirty = {}
        for path in sorted(self.data.rglob("*")):
            if path.is_file():
                self.find_at_start(path)

    def find_at_start(self, path):
        """Take a file over from the process before, which may have been killed."""
        name = str(path.relative_to(self.data))
        status = path.stat()
        content = self.names.get(name) or self.add(status.st_ino, name)
        self.ids[status.st_ino] = content
        if content not in self.doubtful:
            self.dirty[content] = [(0, status.st_size)]

    def add(self, inode, name):
        content = str(self.next_id)
        self.next_id += 1
        self.ids[inode] = content
        self.created_as[content] = name
        return content

    def record_write(self, descriptor, start, end):
        content = self.ids.get(SYSTEM.fstat(descriptor).st_ino)
        self.dirty.setdefault(content, []).append((start, end))

    def fail_sync(self, descriptor):
        """Forget what was written: no later sync covers it."""
        content = self.ids.get(SYSTEM.fstat(descriptor).st_ino)
        self.dirty.pop(content, None)
        if content is not None and content not in self.doubtful:
            self.doubtful.append(content)
            self.save()

    def sync_file(self, descriptor, path):
        status = SYSTEM.fstat(descriptor)
        content = self.ids.get(status.st_ino)
        if content is None:
            return
        durable = SYSTEM.open(self.folder / content, os.O_WRONLY | os.O_CREAT, 0o600)
        with open(f"/proc/self/fd/{descriptor}", "rb") as written:
            for start, end in self.dirty.pop(content, ()):
                written.seek(start)
                SYSTEM.lseek(durable, start, os.SEEK_SET)
                SYSTEM.write(durable, written.read(end - start))
        SYSTEM.ftruncate(durable, status.st_size)
        SYSTEM.close(durable)
        name = os.path.relpath(path, self.data)
        is_new = content not in self.names.values()
        if is_new and self.created_as.get(content) == name:
            self.names[name] = content
            self.save()

    def sync_folder(self, path):
        """Make the present names in a folder durable, and no others."""
        before = set(self.names.values())
        inside = {name for name in self.names if (self.data / name).parent == path}
        for name in inside:
            del self.names[name]
        for each in path.iterdir():
            content = self.ids.get(each.stat().st_ino) if each.is_file() else None
            if content is not None:
                self.names[str(each.relative_to(self.data))] = content
                (self.folder / content).touch()
        self.save()
        for content in before - set(self.names.values()):
            SYSTEM.unlink(self.folder / content)

    def save(self):
        unsaved = self.folder / f"{NAMES_NAME}.new"
        unsaved.write_text(json.dumps([self.names, self.doubtful, self.next_id]))
        SYSTEM.replace(unsaved, self.folder / NAMES_NAME)


class Disk:
    """The calls that a process makes to its disk."""

    def __init__(self, folder):
        self.folder = folder
        self.data = folder / "data"
        self.lock = threading.RLock()
        self.durable = DurableFiles(self.data, folder / DURABLE_NAME)

    def faults(self):
        """Return the present faults.

        The keys are ``full``, with which no file gets longer, ``capacity_bytes`` of all
        files, ``refuses`` (all changes), ``fails_syncs``, ``hangs`` and ``slow``.
        """
        try:
            return json.loads((self.folder / CONTROL_NAME).read_bytes())
        except FileNotFoundError:
            return {}

    def note(self, fault, call, path):
        line = f"{time.monotonic():.3f} {fault} {call} {path}\n"
        with open(self.folder / INJECTED_NAME, "a") as file:
            file.write(line)

    def fail(self, number, fault, call, path):
        self.note(fault, call, path)
        raise OSError(number, os.strerror(number))

    def is_inside(self, path):
        return path == self.data or self.data in path.parents

    def path_of(self, descriptor):
        """Return the path of an open file or folder of the disk, else ``None``."""
        path = pathlib.Path(SYSTEM.readlink(f"/proc/self/fd/{descriptor}"))
        return path if self.is_inside(path) else None

    def wait(self, call, path, usual_s):
        """Wait as long as the disk takes."""
        faults = self.faults()
        if faults.get("hangs"):
            self.note("hangs", call, path)
        while faults.get("hangs"):
            time.sleep(POLL_S)
            faults = self.faults()
        time.sleep(usual_s * (SLOW_FACTOR if faults.get("slow") else 1))
        return faults

    def used_bytes(self):
        return sum(each.stat().st_size for each in self.data.rglob("*"))

    def room(self, faults, descriptor, offset):
        """Return how many bytes can be written at an offset."""
        within = max(0, SYSTEM.fstat(descriptor).st_size - offset)
        if faults.get("full"):
            return within
        capacity_bytes = faults.get("capacity_bytes")
        if capacity_bytes is None:
            return sys.maxsize
        return within + max(0, capacity_bytes - self.used_bytes())

    def write(self, descriptor, data):
        path = self.path_of(descriptor)
        if path is None:
            return SYSTEM.write(descriptor, data)
        faults = self.wait("write", path, 0.0)
        if faults.get("refuses"):
            self.fail(errno.EIO, "refuses", "write", path)
        with self.lock:
            offset = SYSTEM.lseek(descriptor, 0, os.SEEK_CUR)
            room = self.room(faults, descriptor, offset)
            if room == 0 and len(data) > 0:
                self.fail(errno.ENOSPC, "full", "write", path)
            count = SYSTEM.write(descriptor, memoryview(data)[:room])
            self.durable.record_write(descriptor, offset, offset + count)
            return count

    def ftruncate(self, descriptor, length):
        path = self.path_of(descriptor)
        if path is not None and self.faults().get("refuses"):
            self.fail(errno.EIO, "refuses", "ftruncate", path)
        SYSTEM.ftruncate(descriptor, length)

    def open(self, path, flags, mode=0o777, *, dir_fd=None):
        path = pathlib.Path(os.fsdecode(path))
        if not flags & os.O_CREAT or not self.is_inside(path):
            return SYSTEM.open(path, flags, mode, dir_fd=dir_fd)
        is_new = not path.exists()
        if self.faults().get("refuses") and (is_new or flags & os.O_TRUNC):
            self.fail(errno.EIO, "refuses", "open", path)
        with self.lock:
            descriptor = SYSTEM.open(path, flags, mode, dir_fd=dir_fd)
            if is_new:
                inode = SYSTEM.fstat(descriptor).st_ino
                self.durable.add(inode, str(path.relative_to(self.data)))
            return descriptor

    def sync(self, descriptor):
        path = self.path_of(descriptor)
        if path is None:
            SYSTEM.fsync(descriptor)
            return
        faults = self.wait("sync", path, SYNC_S)
        is_folder = stat.S_ISDIR(SYSTEM.fstat(descriptor).st_mode)
        with self.lock:
            if faults.get("fails_syncs"):
                if not is_folder:
                    self.durable.fail_sync(descriptor)
                self.fail(errno.EIO, "fails_syncs", "sync", path)
            if is_folder:
                self.durable.sync_folder(path)
            else:
                self.durable.sync_file(descriptor, path)

    def refusing(self, name):
        """Return a call of a name that changes a folder, which may refuse."""
        call = getattr(SYSTEM, name)

        def change(path, *arguments, **options):
            path = pathlib.Path(os.fsdecode(path))
            if self.is_inside(path) and self.faults().get("refuses"):
                self.fail(errno.EIO, "refuses", name, path)
            with self.lock:
                return call(path, *arguments, **options)

        return change

    def install(self):
        """Replace the calls of the operating system."""
        os.write = self.write
        os.open = self.open
        os.ftruncate = self.ftruncate
        os.fsync = os.fdatasync = self.sync
        for name in ("replace", "rename", "unlink", "remove", "mkdir"):
            setattr(os, name, self.refusing(name))


if __name__ == "__main__":
    Disk(pathlib.Path(os.environ["QUETZALPASS_NODE_FILE"]).parent).install()
    run_bound = pathlib.Path(__file__).with_name("run_bound.py")
    runpy.run_path(str(run_bound), run_name="__main__")
