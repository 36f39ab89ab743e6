"""Background tasks that run for the lifetime of the process."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

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


class BackgroundTasks:
    """Tasks that nothing awaits; their failures are logged.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Running tasks. The references keep them from being garbage-collected.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a task in the background."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_done)
        return task

    def on_done(self, task: asyncio.Task) -> None:
        """Remove a finished task, and log its failure."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("background: A task failed: {!r}.", task.exception())

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self.tasks):
            task.cancel()
