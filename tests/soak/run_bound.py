"""Runs a node whose connections come from its own address.

On the loopback interface all processes would otherwise connect from the same address,
and a proxy could not tell them apart. Usage: ``run_bound.py IP ROLE CHECKOUT``.
"""

import asyncio.selector_events
import contextlib
import pathlib
import runpy
import sys


def bind_connections(ip):
    """Bind each socket of an event loop to an address before it connects."""
    connect = asyncio.selector_events.BaseSelectorEventLoop.sock_connect

    async def connect_from(loop, sock, address):
        with contextlib.suppress(OSError):
            sock.bind((ip, 0))
        return await connect(loop, sock, address)

    asyncio.selector_events.BaseSelectorEventLoop.sock_connect = connect_from


if __name__ == "__main__":
    ip, role, checkout = sys.argv[1:]
    bind_connections(ip)
    program = str(pathlib.Path(checkout) / "platform" / "run.py")
    sys.argv = [program, role]
    sys.path[0] = str(pathlib.Path(checkout) / "platform")
    runpy.run_path(program, run_name="__main__")
