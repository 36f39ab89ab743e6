"""Background tasks that run for the lifetime of the process."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import logbook

from quetzalpass import log_limits

LOG = logbook.Logger("background")

RESTART_DELAY_S = 1.0
LINES_PER_MINUTE = 6


class FailureLog:
    """Logs failures that may repeat with each request or restart, within a bound.

    Attributes
    ----------
    total : int
        Failures in this process, logged or not.
    """

    total = 0

    def __init__(self) -> None:
        self.limiter = log_limits.RateLimiter(LINES_PER_MINUTE)

    def record(self, message: str, error: BaseException) -> None:
        """Count a failure, and log it unless there were too many lately."""
        FailureLog.total += 1
        if not self.limiter.allows():
            return
        suppressed = self.limiter.take_suppressed()
        if suppressed:
            message = f"{message} ({suppressed} other failures were not logged)"
        LOG.error("background: {}: {!r}.", message, error, exc_info=exc_info(error))


def exc_info(error: BaseException) -> tuple:
    """Return an exception in the form that a logger takes."""
    return type(error), error, error.__traceback__


def failure_count() -> int:
    """Return how many background tasks have failed in this process."""
    return FailureLog.total


def log_loop_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Log within a bound what the event loop reports, such as failed callbacks.

    Without descriptors it reports each of a thousand attempts to accept a connection;
    formatting all of them would take up most of its time.
    """
    failure_log = FailureLog()

    def on_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        message = context["message"]
        error = context.get("exception") or RuntimeError(message)
        failure_log.record(f"The event loop reports: {message}", error)

    loop.set_exception_handler(on_error)


async def run_to_end(
    name: str,
    work: Callable[[], Awaitable[None]],
    delay_s: float = RESTART_DELAY_S,
    failure_log: FailureLog | None = None,
) -> None:
    """Run a coroutine until it returns; log an exception and restart after a delay.

    Only the cancellation of this task ends it early. If something that the coroutine
    awaits was cancelled, that is a failure like any other.

    Parameters
    ----------
    name : str
        Name for log lines.
    work : callable
        Makes the coroutine for each run.
    delay_s : float
        Pause after a failure, in seconds.
    failure_log : FailureLog or None
        Bounds the log lines; a new one if it isn't given.
    """
    failure_log = failure_log or FailureLog()
    while True:
        try:
            return await work()
        except (Exception, asyncio.CancelledError) as error:
            if is_cancelled():
                raise
            failure_log.record(f"{name} failed and will be restarted", error)
        await asyncio.sleep(delay_s)


async def keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine forever, also after it returns; see :func:`run_to_end`."""
    failure_log = FailureLog()
    while True:
        await run_to_end(name, work, failure_log=failure_log)
        await asyncio.sleep(RESTART_DELAY_S)


def is_cancelled() -> bool:
    """Return whether somebody has asked for the end of the current task."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def start(name: str, work: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Start a task that runs a coroutine forever; see :func:`keep_running`."""
    return asyncio.create_task(keep_running(name, work))


class BackgroundTasks:
    """Tasks that nothing awaits; their failures are logged.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Running tasks. The references keep them from being garbage-collected.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task] = set()
        self.failure_log = FailureLog()

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
            self.failure_log.record("A task failed", task.exception())

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self.tasks):
            task.cancel()
