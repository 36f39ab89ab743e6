"""The random id of a disk, by which an emptied disk is told from its former self."""

import random

from returns import result

from quetzalpass import ids
from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import frames, recovery

REPLICA_ID_NAME = "replica-id"
REPLICA_ID_BITS = 128


async def open_replica_id(
    disk: disks.Disk, rng: random.Random
) -> result.Result[ids.ReplicaId, failures.Failure]:
    """Return the random id of a disk, made at its first use.

    Returns
    -------
    returns.result.Result
        The id; ``STORAGE_DAMAGED`` where a used disk has lost it.
    """
    unfinished = REPLICA_ID_NAME + ".new"
    try:
        if REPLICA_ID_NAME in disk.names():
            content = frames.decode_frame(disk.read(REPLICA_ID_NAME), 0)
            if content is not None:
                return result.Success(ids.ReplicaId(content.decode()))
            return no_replica_id("is damaged at offset 0")
        if any(name.startswith(recovery.SEGMENT_PREFIX) for name in disk.names()):
            return no_replica_id("is missing beside the log")
        replica_id = ids.ReplicaId(f"{rng.getrandbits(REPLICA_ID_BITS):032x}")
        await disk.write(unfinished, frames.encode_frame(replica_id.encode(), 0))
        disk.rename(unfinished, REPLICA_ID_NAME)
        await disk.sync_folder()
    except OSError as error:
        message = f"The disk can't hold the replica id: {error}."
        return result.Failure(failures.Failure(codes.Code.STORAGE_FAILED, message))
    return result.Success(replica_id)


def no_replica_id(reason: str) -> result.Result[ids.ReplicaId, failures.Failure]:
    """Return the failure for a disk whose id can't be read."""
    message = f"The file {REPLICA_ID_NAME} {reason}; start with an empty folder."
    return result.Failure(failures.Failure(codes.Code.STORAGE_DAMAGED, message))
