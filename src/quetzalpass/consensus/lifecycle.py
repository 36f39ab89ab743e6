"""Start, restart and stop of a replica within its process.

A replica starts anew from its disk when one of its tasks fails, just as if its process
had crashed: what its disk doesn't hold, it has lost.
"""

import asyncio
import math
from collections import abc

import logbook
import msgspec
from returns import result

from quetzalpass import background
from quetzalpass.consensus import applying, following
from quetzalpass.consensus import replica as replicas
from quetzalpass.results import codes, failures
from quetzalpass.storage import health

# A start that takes longer goes on in the background, as the disk may hang.
START_TIMEOUT_S = 5.0
# Pauses between two attempts to open a disk that refuses.
MIN_OPEN_RETRY_S = 0.1
MAX_OPEN_RETRY_S = 1.0
# Interval at which a damaged log is read again, as its folder may have been emptied.
DAMAGED_RETRY_S = 30.0
# Pauses before a replica whose task failed starts anew. After a time without a failure
# the first of them is used again.
MIN_RESTART_DELAY_S = 1.0
MAX_RESTART_DELAY_S = 30.0
STABLE_S = 60.0

LOG = logbook.Logger("consensus")

Opened = result.Result[None, failures.Failure]


class Lifecycle:
    """Opens a replica from its disk and starts its tasks.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.
    applier : applying.Applier
        Applies its entries.
    follower : following.Follower
        Receives its entries.
    run_tasks : callable
        Starts the tasks of a replica that is open.

    Attributes
    ----------
    initial_state : bytes
        The state of the state machine before anything was applied.
    task : asyncio.Task or None
        Opens the replica in the background.
    restart_delay_s : float
        Pause before the next restart.
    failed_at : float
        Loop time of the last failure, in seconds.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        applier: applying.Applier,
        follower: following.Follower,
        run_tasks: abc.Callable[[], None],
    ) -> None:
        self.replica = replica
        self.applier = applier
        self.follower = follower
        self.run_tasks = run_tasks
        self.initial_state = b""
        self.task: asyncio.Task[None] | None = None
        self.is_stopped = False
        self.failure_log = background.FailureLog()
        self.restart_delay_s = MIN_RESTART_DELAY_S
        self.failed_at = -math.inf
        replica.on_failure = self.on_failure

    async def start(self) -> Opened:
        """Open the replica; if its disk refuses, open it in the background.

        Returns
        -------
        returns.result.Result
            ``STORAGE_DAMAGED`` if the log or the snapshot is damaged.
        """
        self.initial_state = self.replica.machine.snapshot()
        opening = asyncio.create_task(self.open())
        try:
            await asyncio.wait([opening], timeout=START_TIMEOUT_S)
        except asyncio.CancelledError:
            opening.cancel()
            raise
        if not opening.done():
            self.task = asyncio.create_task(self.finish_opening(opening))
            return result.Success(None)
        opened = opening.result()
        if isinstance(opened, result.Success):
            return opened
        if opened.failure().code is codes.Code.STORAGE_DAMAGED:
            self.replica.fail(opened.failure())
            return opened
        self.task = asyncio.create_task(self.open_until_possible())
        return result.Success(None)

    async def finish_opening(self, opening: asyncio.Task[Opened]) -> None:
        """Wait for an attempt that takes long; make others if it fails."""
        try:
            opened = await opening
        except Exception as error:
            self.record_failure(error)
            opened = None
        if not isinstance(opened, result.Success):
            await self.open_until_possible()

    def on_failure(self, error: BaseException) -> None:
        """Start the replica anew after one of its tasks has failed."""
        self.record_failure(error)
        self.replica.end_leadership()
        self.replica.role = replicas.Role.STOPPED
        self.replica.leader = None
        if not self.is_stopped and (self.task is None or self.task.done()):
            self.task = asyncio.create_task(self.restart())

    def record_failure(self, error: BaseException) -> None:
        """Log a failure, and choose the pause before the next start."""
        group = self.replica.settings.group
        text = f"The replica of group {group} failed and starts anew from its disk"
        self.failure_log.record(text, error)
        now = self.replica.now()
        is_stable = now - self.failed_at > STABLE_S
        self.failed_at = now
        longer_s = min(2 * self.restart_delay_s, MAX_RESTART_DELAY_S)
        self.restart_delay_s = MIN_RESTART_DELAY_S if is_stable else longer_s

    async def restart(self) -> None:
        """Drop all state in memory and open the replica from its disk."""
        await self.end_tasks()
        await asyncio.sleep(self.restart_delay_s)
        await self.open_until_possible()

    async def end_tasks(self) -> None:
        """Cancel all tasks and wait until nothing writes to the disk any more."""
        replica = self.replica
        async with self.applier.lock:
            tasks = list(replica.tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if not replica.log.is_blank:
                self.forbid_forming()
            segments = replica.log.segments
            self.forget()
        await segments.close()
        if segments.flush_task is not None:
            await asyncio.wait([segments.flush_task])

    def forbid_forming(self) -> None:
        """Never form a new group again: this VM has held a part of one.

        If its disk is empty at the next start, it was replaced.
        """
        settings = self.replica.settings
        rules = msgspec.structs.replace(settings.rules, may_form=False)
        self.replica.settings = msgspec.structs.replace(settings, rules=rules)

    async def open_until_possible(self) -> None:
        """Open the replica once its disk permits it."""
        delay_s = MIN_OPEN_RETRY_S
        await asyncio.sleep(delay_s)
        while True:
            try:
                opened = await self.open()
            except Exception as error:
                self.record_failure(error)
                await asyncio.sleep(self.restart_delay_s)
                continue
            if isinstance(opened, result.Success):
                return
            if opened.failure().code is codes.Code.STORAGE_DAMAGED:
                await asyncio.sleep(DAMAGED_RETRY_S)
                continue
            delay_s = min(2 * delay_s, MAX_OPEN_RETRY_S)
            await asyncio.sleep(delay_s)

    async def open(self) -> Opened:
        """Read the disk as after a crash; start the tasks if that succeeds."""
        self.forget()
        opened = await self.open_files()
        if isinstance(opened, result.Success):
            self.replica.health.record_success(health.Operation.START)
            self.run_tasks()
        elif opened.failure().code is codes.Code.STORAGE_DAMAGED:
            self.replica.health.record_failure(
                health.Operation.START,
                health.Condition.DAMAGED,
                opened.failure().message,
            )
        return opened

    async def open_files(self) -> Opened:
        """Open the files anew, as another disk may hold the folder since."""
        replica = self.replica
        replica.disk.close()
        try:
            with replica.health.watch(health.Operation.OPEN):
                await replica.disk.make()
        except OSError:
            return result.Failure(replica.health.failure())
        return await replica.open()

    def forget(self) -> None:
        """Drop all state in memory."""
        self.replica.forget()
        self.replica.log.segments.make_room = self.applier.make_room
        self.replica.machine.restore(self.initial_state)
        self.applier.forget()
        self.follower.incoming = None

    async def stop(self) -> None:
        """Stop the replica and close its log."""
        self.is_stopped = True
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])
        await self.replica.close()
