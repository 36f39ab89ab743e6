"""Whether a disk accepts writes: what is wrong with it, since when, how often."""

import asyncio
import contextlib
import enum
import errno
from collections import abc

import logbook
import msgspec

from quetzalpass import log_limits
from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks

# A sync that takes longer is reported, as its log can't acknowledge meanwhile.
HANG_AFTER_S = 1.0
LINES_PER_MINUTE = 6
NO_ROOM_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})

LOG = logbook.Logger("storage")


class Condition(enum.Enum):
    """What is wrong with a disk."""

    OK = "ok"
    NO_ROOM = "no_room"
    FAILED = "failed"
    FAILED_SYNC = "failed_sync"
    HANGING = "hanging"
    DAMAGED = "damaged"


class Operation(enum.Enum):
    """What the disk was asked to do."""

    START = "start from the log"
    OPEN = "open the log"
    WRITE = "write to the log"
    SNAPSHOT = "store a snapshot"
    REMOVE = "remove a segment"
    RESERVE = "reserve room"
    MARK = "record what is synced"


# Without these the log can't be written.
LOG_OPERATIONS = (Operation.START, Operation.OPEN, Operation.WRITE)


class Trouble(msgspec.Struct):
    """An operation that the disk refuses or doesn't finish.

    Attributes
    ----------
    condition : Condition
        What is wrong.
    since : float
        Loop time of the first of the failures in a row, in seconds.
    detail : str
        The last error.
    failure_count : int
        Failures in a row.
    """

    condition: Condition
    since: float
    detail: str
    failure_count: int


class DiskHealth:
    """Health of the disk of one log, by operation.

    Parameters
    ----------
    name : str
        Name of the log in log lines and metrics.

    Attributes
    ----------
    troubles : dict of Operation to Trouble
        Operations that fail at present.
    failure_counts : dict of Condition to int
        Failures in this process.
    recovery_count : int
        How often an operation succeeded after failures.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.troubles: dict[Operation, Trouble] = {}
        self.failure_counts = dict.fromkeys(Condition, 0)
        self.recovery_count = 0
        self.limiter = log_limits.RateLimiter(LINES_PER_MINUTE)

    @property
    def is_failing(self) -> bool:
        """Return whether the log can't be written at present."""
        return any(operation in self.troubles for operation in LOG_OPERATIONS)

    @property
    def condition(self) -> Condition:
        """Return what is wrong: with the log if possible, else with another part."""
        trouble = self.trouble
        return Condition.OK if trouble is None else trouble.condition

    @property
    def trouble(self) -> Trouble | None:
        """Return the trouble of the log, or else the oldest of the others."""
        for operation in LOG_OPERATIONS:
            if operation in self.troubles:
                return self.troubles[operation]
        return min(self.troubles.values(), key=lambda each: each.since, default=None)

    def failing_for_s(self) -> float:
        """Return for how long the disk has been in trouble; 0 if it isn't."""
        trouble = self.trouble
        return 0.0 if trouble is None else loop_time() - trouble.since

    def log_failing_for_s(self) -> float:
        """Return for how long the log could not be written; 0 if it can."""
        begun = [
            self.troubles[operation].since
            for operation in LOG_OPERATIONS
            if operation in self.troubles
        ]
        return loop_time() - min(begun) if begun else 0.0

    @contextlib.contextmanager
    def watch(self, operation: Operation) -> abc.Iterator[None]:
        """Record how an operation ends; ``OSError`` is recorded and raised again.

        Callers that never give up catch it and try again.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(HANG_AFTER_S, self.on_hang, operation)
        try:
            yield
        except OSError as error:
            self.record_failure(operation, classify(error), str(error))
            raise
        except asyncio.CancelledError:
            self.forget_hang(operation)
            raise
        else:
            self.record_success(operation)
        finally:
            timer.cancel()

    def on_hang(self, operation: Operation) -> None:
        """Record an operation that the disk has not finished yet."""
        detail = f"not finished after {HANG_AFTER_S:.0f} s"
        self.record_failure(operation, Condition.HANGING, detail)

    def record_failure(
        self, operation: Operation, condition: Condition, detail: str
    ) -> None:
        """Record a failure; a line is logged when it is the first or a new one."""
        self.failure_counts[condition] += 1
        before = self.troubles.get(operation)
        since = loop_time() if before is None else before.since
        count = 1 if before is None else before.failure_count + 1
        self.troubles[operation] = Trouble(condition, since, detail, count)
        if before is None or before.condition is not condition:
            text = f"failed to {operation.value} ({condition.value}): {detail}"
            self.log_change(logbook.ERROR, f"{text}; trying again")

    def record_success(self, operation: Operation) -> None:
        """Record that an operation succeeded, which ends its trouble."""
        trouble = self.troubles.pop(operation, None)
        if trouble is None:
            return
        self.recovery_count += 1
        elapsed_s = loop_time() - trouble.since
        text = f"can {operation.value} again"
        text += f", after {trouble.failure_count} failures in {elapsed_s:.1f} s"
        self.log_change(logbook.NOTICE, text)

    def log_change(self, level: int, text: str) -> None:
        """Log that a trouble began, changed or ended, unless there were too many."""
        if not self.limiter.allows():
            return
        suppressed = self.limiter.take_suppressed()
        if suppressed:
            text += f" ({suppressed} other changes were not logged)"
        LOG.log(level, "storage: The disk of {} {}.", self.name, text)

    def forget_hang(self, operation: Operation) -> None:
        """Drop the trouble of an operation whose end nobody waits for any more."""
        trouble = self.troubles.get(operation)
        if trouble is not None and trouble.condition is Condition.HANGING:
            del self.troubles[operation]

    def forget_write(self) -> None:
        """Drop the trouble of a write that nothing repeats, as its log was dropped."""
        self.troubles.pop(Operation.WRITE, None)

    def failure(self) -> failures.Failure:
        """Return the failure for callers that can't wait for the disk."""
        trouble = self.trouble
        reason = "not accept writes" if trouble is None else trouble.detail
        condition = self.condition.value
        message = f"The disk of {self.name} is not usable now ({condition}): {reason}."
        return failures.Failure(codes.Code.STORAGE_FAILED, message)


def classify(error: OSError) -> Condition:
    """Return what an error of the disk says about it."""
    if error.errno in NO_ROOM_ERRORS:
        return Condition.NO_ROOM
    is_sync = isinstance(error, disks.SyncError)
    return Condition.FAILED_SYNC if is_sync else Condition.FAILED


def loop_time() -> float:
    """Return the event loop's time in seconds."""
    return asyncio.get_running_loop().time()
