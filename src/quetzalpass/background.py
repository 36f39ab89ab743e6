"""Background tasks that run for the lifetime of the process."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook

LOG = logbook.Logger("background")

RESTART_DELAY_S = 1.0


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine forever; log an exception and restart after a delay.

    Parameters
    ----------
    name : str
        Name for log lines.
    work : callable
        Makes the coroutine for each run.
    """
    while True:
        try:
            await work()
        except Exception:
            LOG.exception("background: {} failed and will be restarted.", name)
        await asyncio.sleep(RESTART_DELAY_S)
