"""The random id of a replica, stored on its disk: a wiped disk gets a new one."""

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
    """Return the replica id of a disk, creating it on first use.

    Returns
    -------
    returns.result.Result
        The id; ``STORAGE_DAMAGED`` if a disk that holds a log has lost its id.
    """
    unfinished = REPLICA_ID_NAME + ".new"
    try:
        if REPLICA_ID_NAME in disk.names():
            content = frames.decode_frame(disk.read(REPLICA_ID_NAME), 0)
            if content is not None:
                return result.Success(ids.ReplicaId(content.decode()))
            return replica_id_failure("is damaged at offset 0")
        if any(name.startswith(recovery.SEGMENT_PREFIX) for name in disk.names()):
            return replica_id_failure("is missing, but there is a log")
        replica_id = ids.ReplicaId(f"{rng.getrandbits(REPLICA_ID_BITS):032x}")
        await disk.write(unfinished, frames.encode_frame(replica_id.encode(), 0))
        disk.rename(unfinished, REPLICA_ID_NAME)
        await disk.sync_folder()
    except OSError as error:
        message = f"The replica id can't be read or stored: {error}."
        return result.Failure(failures.Failure(codes.Code.STORAGE_FAILED, message))
    return result.Success(replica_id)


def replica_id_failure(reason: str) -> result.Result[ids.ReplicaId, failures.Failure]:
    """Return the failure for a replica id that is missing or damaged."""
    message = f"The file {REPLICA_ID_NAME} {reason}; start with an empty folder."
    return result.Failure(failures.Failure(codes.Code.STORAGE_DAMAGED, message))
