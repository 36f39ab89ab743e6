"""Tasks that must go on for as long as the process does."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook

LOG = logbook.Logger("background")

RESTART_S = 1.0


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run something for ever; log what it fails with and begin again.

    Parameters
    ----------
    name : str
        For the log.
    work : callable
        Makes the coroutine.
    """
    while True:
        try:
            await work()
        except Exception:
            LOG.exception("background: {} failed and starts again.", name)
        await asyncio.sleep(RESTART_S)
