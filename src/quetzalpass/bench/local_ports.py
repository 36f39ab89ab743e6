"""Ports on loopback for harnesses that start several servers."""

import random
import socket
import time
import urllib.request
from collections.abc import Iterator

HOST = "127.0.0.1"
START_TIMEOUT_S = 15.0
RETRY_S = 0.05
# Ports below those that the system gives to outgoing connections.
FIRST_PORT = 12_000
LAST_PORT = 32_000
BLOCK_PORTS = 50
# A socket bound here under the first port of a block claims the block.
CLAIM_HOST = "127.0.0.2"

# Claims of this process, held until it ends, and the ports left of its blocks.
claims: list[socket.socket] = []
unused: list[int] = []


def free_ports(count: int) -> list[int]:
    """Return ports that nobody uses, and that no other harness here is given.

    A port that is found free and given up again may be taken before its server starts,
    by a harness in another process or by an outgoing connection.
    """
    while len(unused) < count:
        unused.extend(claim_block())
    ports = unused[:count]
    del unused[:count]
    return ports


def claim_block() -> list[int]:
    """Claim a block for this process and return its free ports.

    Raises
    ------
    OSError
        If all blocks are claimed.
    """
    for start in block_starts():
        claimed = claim(CLAIM_HOST, start)
        if claimed is not None:
            claims.append(claimed)
            return [port for port in range(start, start + BLOCK_PORTS) if is_free(port)]
    raise OSError("all blocks of ports are claimed by other processes")


def block_starts() -> Iterator[int]:
    """Return the first ports of all blocks, in a random order."""
    starts = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
    random.SystemRandom().shuffle(starts)
    return iter(starts)


def is_free(port: int) -> bool:
    """Return whether a port can be bound now."""
    bound = claim(HOST, port)
    if bound is None:
        return False
    bound.close()
    return True


def claim(host: str, port: int) -> socket.socket | None:
    """Return a socket that claims an address until it is closed, if it is not taken."""
    claimed = socket.socket()
    try:
        claimed.bind((host, port))
    except OSError:
        claimed.close()
        return None
    return claimed


def wait_for(url: str) -> None:
    """Wait until an address answers without an error.

    Raises
    ------
    TimeoutError
        If it does not within the start timeout.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            with urllib.request.urlopen(url, timeout=1.0):
                return
        except OSError:
            time.sleep(RETRY_S)
    raise TimeoutError(f"{url} does not answer; see the logs in the run's folder")
