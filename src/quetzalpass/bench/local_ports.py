"""Ports on loopback for harnesses that start several servers."""

import socket
import time
import urllib.request

HOST = "127.0.0.1"
START_TIMEOUT_S = 15.0
RETRY_S = 0.05


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


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
