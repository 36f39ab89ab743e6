"""Allocation of loopback ports for test harnesses that start several servers."""

import random
import socket
import time
import urllib.request
from collections.abc import Iterator

HOST = "127.0.0.1"
START_TIMEOUT_S = 15.0
RETRY_DELAY_S = 0.05
# All ports are below the ephemeral range, which outgoing connections use.
FIRST_PORT = 12_000
LAST_PORT = 32_000
BLOCK_PORTS = 50
# A process claims a block by binding its first port on this address.
CLAIM_HOST = "127.0.0.2"

# Sockets that claim blocks until the process ends, and the unused ports of the blocks.
claims: list[socket.socket] = []
unused_ports: list[int] = []


def free_ports(count: int) -> list[int]:
    """Return free ports that no other harness on this machine receives.

    Without a claim, a free port could be bound before its server starts, by a harness
    in another process or by an outgoing connection.
    """
    while len(unused_ports) < count:
        unused_ports.extend(claim_block())
    ports = unused_ports[:count]
    del unused_ports[:count]
    return ports


def claim_block() -> list[int]:
    """Claim a block of ports for this process and return its free ports.

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
    raise OSError("other processes have claimed all blocks of ports")


def block_starts() -> Iterator[int]:
    """Return the first port of each block, in random order."""
    starts = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
    random.SystemRandom().shuffle(starts)
    return iter(starts)


def is_free(port: int) -> bool:
    """Return whether a port can currently be bound."""
    bound = claim(HOST, port)
    if bound is None:
        return False
    bound.close()
    return True


def claim(host: str, port: int) -> socket.socket | None:
    """Return a socket bound to an address, or ``None`` if the address is in use."""
    bound = socket.socket()
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        return None
    return bound


def wait_for(url: str) -> None:
    """Wait until a GET request to a URL succeeds.

    Raises
    ------
    TimeoutError
        If no request succeeds within ``START_TIMEOUT_S``.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            with urllib.request.urlopen(url, timeout=1.0):
                return
        except OSError:
            time.sleep(RETRY_DELAY_S)
    raise TimeoutError(f"{url} doesn't respond; see the logs in the folder of the run")
