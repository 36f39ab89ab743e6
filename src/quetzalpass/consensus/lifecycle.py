"""Start and stop of a replica, whose disk may refuse to be opened for a time."""

import asyncio
from collections import abc

import logbook
from returns import result

from quetzalpass.consensus import applying, following
from quetzalpass.consensus import replica as replicas
from quetzalpass.results import codes, failures

# Pauses between two attempts to open a disk that refuses.
MIN_OPEN_RETRY_S = 0.1
MAX_OPEN_RETRY_S = 1.0

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

    async def start(self) -> Opened:
        """Open the replica; if its disk refuses, open it in the background.

        Returns
        -------
        returns.result.Result
            ``STORAGE_DAMAGED`` if the log or the snapshot is damaged.
        """
        self.initial_state = self.replica.machine.snapshot()
        opened = await self.open()
        if isinstance(opened, result.Success):
            return opened
        if opened.failure().code is codes.Code.STORAGE_DAMAGED:
            self.replica.fail(opened.failure())
            return opened
        self.task = asyncio.create_task(self.open_until_possible())
        return result.Success(None)

    async def open_until_possible(self) -> None:
        """Open the replica once its disk permits it."""
        delay_s = MIN_OPEN_RETRY_S
        await asyncio.sleep(delay_s)
        while isinstance(await self.open(), result.Failure):
            delay_s = min(2 * delay_s, MAX_OPEN_RETRY_S)
            await asyncio.sleep(delay_s)

    async def open(self) -> Opened:
        """Read the disk as after a crash; start the tasks if that succeeds."""
        self.forget()
        opened = await self.replica.open()
        if isinstance(opened, result.Success):
            self.run_tasks()
        return opened

    def forget(self) -> None:
        """Drop all state in memory."""
        self.replica.forget()
        self.replica.log.segments.make_room = self.applier.make_room
        self.replica.machine.restore(self.initial_state)
        self.applier.forget()
        self.follower.incoming = None

    async def stop(self) -> None:
        """Stop the replica and close its log."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])
        await self.replica.close()
