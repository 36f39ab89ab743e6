"""Queue of requests that wait for a grant, served in order."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from quetzalpass import ids
from quetzalpass.routing import relay_waiting

Granted = TypeVar("Granted")

QUEUE_POLL_INTERVAL_S = 0.05


class Waiter(Generic[Granted]):
    """A waiting request.

    Parameters
    ----------
    try_grant : callable
        Returns a grant for it, or ``None`` if there is no capacity.
    """

    def __init__(self, try_grant: Callable[[], Granted | None]) -> None:
        self.try_grant = try_grant
        self.future: asyncio.Future[Granted | None]
        self.future = asyncio.get_running_loop().create_future()


class PlacementQueue(Generic[Granted]):
    """Requests of one service that wait for a grant.

    Parameters
    ----------
    release : callable
        Releases a grant whose request was cancelled in the meantime.
    """

    def __init__(self, release: Callable[[Granted], None]) -> None:
        self.release = release
        self.waiting = relay_waiting.WaitingList()
        self.waiters: dict[ids.RequestId, Waiter[Granted]] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def wait(
        self,
        request: relay_waiting.WaitingRequest,
        try_grant: Callable[[], Granted | None],
    ) -> Granted | None:
        """Wait for a grant; return ``None`` after the request's longest wait.

        If an earlier copy of the request is waiting, it ends without a grant and this
        one takes its position.
        """
        if not self.waiters:
            grant = try_grant()
            if grant is not None:
                return grant
        self.finish_wait(request.request_id, None)
        waiter = Waiter(try_grant)
        self.waiters[request.request_id] = waiter
        self.waiting.add(request)
        self.process_queue()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self.abandon(waiter)
            raise
        finally:
            if self.waiters.get(request.request_id) is waiter:
                self.finish_wait(request.request_id, None)

    def abandon(self, waiter: Waiter[Granted]) -> None:
        """Release the grant of a cancelled request, if it had one already."""
        if not waiter.future.done() or waiter.future.cancelled():
            return
        grant = waiter.future.result()
        if grant is not None:
            self.release(grant)

    def process_queue(self) -> None:
        """Grant what is possible, and end requests that have waited too long."""
        if not self.waiters:
            return
        now_s = asyncio.get_running_loop().time()
        for request in self.waiting.expired(now_s):
            self.finish_wait(request.request_id, None)
        self.grant_in_order(now_s)
        if self.waiters and self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(QUEUE_POLL_INTERVAL_S, self.on_timer)

    def on_timer(self) -> None:
        """Poll the queue."""
        self.timer = None
        self.process_queue()

    def grant_in_order(self, now_s: float) -> None:
        """Grant requests in order, until one without capacity blocks the others."""
        for request in self.waiting.in_order(now_s):
            grant = self.waiters[request.request_id].try_grant()
            if grant is not None:
                self.finish_wait(request.request_id, grant)
            elif self.waiting.blocks_others(request, now_s):
                return

    def finish_wait(self, request_id: ids.RequestId, grant: Granted | None) -> None:
        """End the wait of a request with a grant or ``None``.

        A grant that no task waits for is released.
        """
        self.waiting.remove(request_id)
        waiter = self.waiters.pop(request_id, None)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_result(grant)
        elif grant is not None:
            self.release(grant)
