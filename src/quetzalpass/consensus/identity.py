"""The random id of a replica, stored on its disk: a wiped disk gets a new one."""

import random

from returns import result

from quetzalpass import ids
from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import frames, health, recovery

REPLICA_ID_NAME = "replica-id"
REPLICA_ID_BITS = 128


async def open_replica_id(
    disk: disks.Disk, rng: random.Random, disk_health: health.DiskHealth
) -> result.Result[ids.ReplicaId, failures.Failure]:
    """Return the replica id of a disk, creating it on first use.

    Returns
    -------
    returns.result.Result
        The id; ``STORAGE_DAMAGED`` if a disk that holds a log has lost its id;
        ``STORAGE_FAILED`` if the disk can't read or store it now.
    """
    try:
        with disk_health.watch(health.Operation.OPEN):
            return await read_or_create(disk, rng)
    except OSError:
        return result.Failure(disk_health.failure())


async def read_or_create(
    disk: disks.Disk, rng: random.Random
) -> result.Result[ids.ReplicaId, failures.Failure]:
    """Return the durable replica id of a disk; see :func:`open_replica_id`.

    Before there is a log, an id that is found is stored again, as the sync of its
    folder may have failed.
    """
    names = disk.names()
    holds_log = any(name.startswith(recovery.SEGMENT_PREFIX) for name in names)
    if REPLICA_ID_NAME in names:
        content = frames.decode_frame(disk.read(REPLICA_ID_NAME), 0)
        if content is None:
            return replica_id_failure("is damaged at offset 0")
    elif holds_log:
        return replica_id_failure("is missing, but there is a log")
    else:
        content = f"{rng.getrandbits(REPLICA_ID_BITS):032x}".encode()
    if not holds_log:
        await store(disk, content)
    return result.Success(ids.ReplicaId(content.decode()))


async def store(disk: disks.Disk, content: bytes) -> None:
    """Store a replica id durably."""
    unfinished = REPLICA_ID_NAME + ".new"
    await disk.write(unfinished, frames.encode_frame(content, 0))
    disk.rename(unfinished, REPLICA_ID_NAME)
    await disk.sync_folder()


def replica_id_failure(reason: str) -> result.Result[ids.ReplicaId, failures.Failure]:
    """Return the failure for a replica id that is missing or damaged."""
    message = f"The file {REPLICA_ID_NAME} {reason}; start with an empty folder."
    return result.Failure(failures.Failure(codes.Code.STORAGE_DAMAGED, message))
