"""Requests that wait for a place, served in order as soon as there is one."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from quetzalpass import ids
from quetzalpass.routing import relay_waiting

Granted = TypeVar("Granted")

QUEUE_POLL_INTERVAL_S = 0.05


class Waiter(Generic[Granted]):
    """One request that waits.

    Parameters
    ----------
    try_grant : callable
        Returns a place for it, or None while there is none.
    """

    def __init__(self, try_grant: Callable[[], Granted | None]) -> None:
        self.try_grant = try_grant
        self.future: asyncio.Future[Granted | None]
        self.future = asyncio.get_running_loop().create_future()


class PlacementQueue(Generic[Granted]):
    """The requests of one service that wait for a place.

    Parameters
    ----------
    release : callable
        Takes back a place whose request has left in the meantime.
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
        """Wait for a place; return None once the request has waited for too long.

        A request that waits already goes on in the place of its earlier copy.
        """
        if not self.waiters:
            grant = try_grant()
            if grant is not None:
                return grant
        self.settle(request.request_id, None)
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
                self.settle(request.request_id, None)

    def abandon(self, waiter: Waiter[Granted]) -> None:
        """Take back the place of a request that has left."""
        if not waiter.future.done() or waiter.future.cancelled():
            return
        grant = waiter.future.result()
        if grant is not None:
            self.release(grant)

    def process_queue(self) -> None:
        """Place what can be placed, and end what has waited for too long."""
        if not self.waiters:
            return
        now_s = asyncio.get_running_loop().time()
        for request in self.waiting.expired(now_s):
            self.settle(request.request_id, None)
        self.grant_in_order(now_s)
        if self.waiters and self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(QUEUE_POLL_INTERVAL_S, self.on_timer)

    def on_timer(self) -> None:
        """Look at the waiting requests again."""
        self.timer = None
        self.process_queue()

    def grant_in_order(self, now_s: float) -> None:
        """Place requests until one must not be passed."""
        for request in self.waiting.in_order(now_s):
            grant = self.waiters[request.request_id].try_grant()
            if grant is not None:
                self.settle(request.request_id, grant)
            elif self.waiting.blocks_others(request, now_s):
                return

    def settle(self, request_id: ids.RequestId, grant: Granted | None) -> None:
        """Hand a place, or its absence, to the task that waits for it, if any."""
        self.waiting.remove(request_id)
        waiter = self.waiters.pop(request_id, None)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_result(grant)
        elif grant is not None:
            self.release(grant)
