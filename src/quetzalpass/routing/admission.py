"""Lets the gateway's tasks wait until a backend server can run their request."""

import asyncio

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.results import failures
from quetzalpass.routing import dispatch, reports, servers, work

LOG = logbook.Logger("routing")

# Predictions change as tokens arrive, so a queue with waiting requests is polled.
QUEUE_POLL_INTERVAL_S = 0.025


class Reservation:
    """Capacity of a backend server that one request holds until it is released."""

    def __init__(
        self, admission: "Admission", item: work.WorkItem, choice: work.Choice
    ) -> None:
        self.admission = admission
        self.item = item
        self.choice = choice
        self.released = False

    @property
    def server_id(self) -> ids.ServerId:
        """Server that is to run the request."""
        return self.choice.server_id

    def on_tokens(self, count: int) -> None:
        """Count newly generated tokens; one call may cover several."""
        if not self.released:
            self.admission.dispatcher.on_tokens(self.item.request_id, count)

    def release(self, outcome: work.ReservationOutcome) -> None:
        """Release the reservation; a second call has no effect."""
        if self.released:
            return
        self.released = True
        self.admission.release(self.item.request_id, outcome)


class Admission:
    """Queues the requests of one gateway and reserves servers for them.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
        Queues, policy and table of servers.

    Notes
    -----
    A request that won't be placed is refused at once, with the time after which the
    caller should retry; a refused request was not sent to any server.
    """

    def __init__(self, dispatcher: dispatch.Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.waiters: dict[ids.RequestId, asyncio.Future[dispatch.Decision]] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def acquire(
        self, item: work.WorkItem
    ) -> result.Result[Reservation, failures.Failure]:
        """Wait until a backend server is reserved for a request.

        Parameters
        ----------
        item : work.WorkItem
            The request. No other request in this object may have its id.

        Returns
        -------
        returns.result.Result of Reservation or failures.Failure
            The reservation, or ``QUEUE_FULL``, ``NO_SERVER`` or
            ``DEADLINE_BEFORE_START`` with ``retry_after_ms``.
        """
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[dispatch.Decision] = loop.create_future()
        self.waiters[item.request_id] = waiter
        self.deliver(self.dispatcher.submit(item, loop.time()))
        try:
            decision = await waiter
        except asyncio.CancelledError:
            self.abandon(item, waiter)
            raise
        finally:
            self.waiters.pop(item.request_id, None)
        if isinstance(decision, dispatch.Refusal):
            return result.Failure(decision.failure)
        return result.Success(Reservation(self, item, decision.choice))

    def abandon(
        self, item: work.WorkItem, waiter: asyncio.Future[dispatch.Decision]
    ) -> None:
        """Drop the request of a cancelled task, even if it was placed just now."""
        if self.dispatcher.cancel(item.request_id):
            return
        if waiter.done() and not waiter.cancelled():
            if isinstance(waiter.result(), dispatch.Placement):
                self.release(item.request_id, work.ReservationOutcome.CANCELLED)
        elif item.request_id in self.dispatcher.in_flight:
            self.release(item.request_id, work.ReservationOutcome.CANCELLED)

    def deliver(self, decisions: list[dispatch.Decision]) -> None:
        """Pass decisions to the tasks that wait for them."""
        for decision in decisions:
            waiter = self.waiters.get(decision.item.request_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)
        self.schedule_poll()

    def refuse_waiting(self, model: ids.ModelName, failure: failures.Failure) -> None:
        """Refuse the requests that wait for a model or service and have not begun."""
        self.deliver(self.dispatcher.refuse_queued(model, failure))

    def schedule_poll(self) -> None:
        """Schedule the next poll of the queues if any request waits."""
        if self.timer is None and self.dispatcher.queued:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(QUEUE_POLL_INTERVAL_S, self.on_timer)

    def on_timer(self) -> None:
        """Poll the queues."""
        self.timer = None
        self.process_queues()

    def process_queues(self) -> None:
        """Place requests that fit and refuse those whose deadline has passed."""
        now_s = asyncio.get_running_loop().time()
        self.deliver(self.dispatcher.process_queues(now_s))

    def release(
        self, request_id: ids.RequestId, outcome: work.ReservationOutcome
    ) -> None:
        """Release the capacity of a request that has left its server."""
        now_s = asyncio.get_running_loop().time()
        self.deliver(self.dispatcher.release(request_id, outcome, now_s))

    def update_servers(self, views: tuple[servers.ServerView, ...]) -> None:
        """Replace the declared servers; a leaving one gets no new requests."""
        now_s = asyncio.get_running_loop().time()
        self.dispatcher.table.update(views, now_s)
        self.process_queues()

    def observe_report(
        self, server_id: ids.ServerId, report: reports.LoadReport
    ) -> None:
        """Apply a load report."""
        self.dispatcher.table.observe_report(server_id, report)

    def observe_cache_event(
        self, server_id: ids.ServerId, event: reports.CacheEvent
    ) -> None:
        """Apply an event of a server's prefix cache."""
        self.dispatcher.table.observe_cache_event(server_id, event)

    def observe_peer_dispatches(self, message: servers.PeerDispatches) -> None:
        """Apply a peer's summary of its requests in flight."""
        now_s = asyncio.get_running_loop().time()
        self.dispatcher.table.observe_peer(message, now_s)

    def own_loads(self) -> tuple[servers.ServerLoad, ...]:
        """Return the load of this gateway's requests in flight, for its peers."""
        return self.dispatcher.table.own_loads()

    def eject(self, server_id: ids.ServerId, reason: str) -> None:
        """Stop using a server for some time."""
        now_s = asyncio.get_running_loop().time()
        self.dispatcher.table.eject(server_id, reason, now_s)

    def explain(self, request_id: ids.RequestId) -> dispatch.Explanation | None:
        """Return why a recent request was placed on its server."""
        return self.dispatcher.explain(request_id)
