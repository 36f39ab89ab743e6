"""Data folders that several builds write in turn.

Runs with the sources of any build on the path: ``folders.py extend FOLDER SEED`` opens
the folder, appends entries, compacts the log half-way and writes what the build has
found at the opening and what it has left, as one line of JSON. With ``refused``, the
disk refuses one of the writes for a time and keeps a part of it.
"""

import asyncio
import hashlib
import json
import pathlib
import random
import resource
import sys

from quetzalpass.consensus import entries, log
from quetzalpass.storage import disk as disks

ENTRY_COUNT = 40
# More than one segment of any build in all.
MAX_ENTRY_BYTES = 600_000
REFUSED_S = 0.3
# Bytes of the refused frame that the disk still takes.
PARTIAL_BYTES = 1000


def digest(data):
    return hashlib.sha256(data).hexdigest()


def describe(own_log, snapshot):
    """Return what a log holds: term, vote, snapshot, and a digest of each entry."""
    first = own_log.snapshot_index + 1
    return {
        "term": own_log.hard_state.term,
        "voted_for": own_log.hard_state.voted_for,
        "last_index": own_log.last_index,
        "snapshot_index": own_log.snapshot_index,
        "machine": None if snapshot is None else digest(snapshot.machine),
        "members": len(own_log.configuration.members),
        "entries": {
            str(index): digest(own_log.entry_at(index).data)
            for index in range(first, own_log.last_index + 1)
        },
    }


async def commit_refused(own_log, folder):
    """Commit while the disk takes only a part of the frame; then it has room again."""
    written_bytes = max(folder.glob("segment-*")).stat().st_size
    if written_bytes >= log.SEGMENT_BYTES:
        # The frame starts a new segment.
        written_bytes = 0
    _, hard_limit = resource.getrlimit(resource.RLIMIT_FSIZE)
    limit_bytes = written_bytes + PARTIAL_BYTES
    resource.setrlimit(resource.RLIMIT_FSIZE, (limit_bytes, hard_limit))
    commit = asyncio.create_task(own_log.commit())
    await asyncio.sleep(REFUSED_S)
    was_done = commit.done()
    resource.setrlimit(resource.RLIMIT_FSIZE, (hard_limit, hard_limit))
    (await commit).unwrap()
    return not was_done


async def extend(folder, seed, is_refused):
    """Open a folder, append to it, and return what was found and what was left."""
    rng = random.Random(seed)
    own_log = log.ReplicatedLog(disks.FolderDisk(folder))
    snapshot = (await own_log.open()).unwrap()
    found = describe(own_log, snapshot)
    term = own_log.hard_state.term + 1
    own_log.set_hard_state(term, f"replica-{seed}")
    waited = False
    for position in range(ENTRY_COUNT):
        data = rng.randbytes(rng.randrange(MAX_ENTRY_BYTES))
        kind = entries.EntryKind.COMMAND
        own_log.append(entries.Entry(own_log.last_index + 1, term, kind, data=data))
        if is_refused and position == ENTRY_COUNT - 2:
            waited = await commit_refused(own_log, folder)
        (await own_log.commit()).unwrap()
        if position == ENTRY_COUNT // 2:
            index = own_log.last_index
            machine = rng.randbytes(MAX_ENTRY_BYTES)
            members = own_log.configuration
            snapshot = log.GroupSnapshot(index, term, members, [], machine)
            (await own_log.compact(snapshot)).unwrap()
            if hasattr(own_log, "reserve"):
                await own_log.reserve.keep(len(own_log.snapshot_data))
    left = describe(own_log, snapshot)
    await own_log.segments.close()
    names = sorted(path.name for path in folder.iterdir())
    return {"found": found, "left": left, "names": names, "waited": waited}


def main():
    """Extend the folder that the arguments name."""
    folder, seed = pathlib.Path(sys.argv[2]), int(sys.argv[3])
    outcome = asyncio.run(extend(folder, seed, "refused" in sys.argv))
    print(json.dumps(outcome))


if __name__ == "__main__":
    main()
