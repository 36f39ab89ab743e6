"""Ends runs whose server may still work on them although their stream is gone.

A run goes on for a time after its response was lost, after nobody waits for it any
more, or after the order to stop it was lost. If its generation continues on another
server, its server is ordered to stop it until a response shows that it has ended.
"""

import asyncio
import enum
from typing import TYPE_CHECKING

import logbook
from returns import result

from quetzalpass import event_log, ids
from quetzalpass.backends import base, discovery, relays

if TYPE_CHECKING:
    from quetzalpass.relay import relayed_streams

LOG = logbook.Logger("relay")

# Longest response time of an order; it can wait for other moves of the server.
ORDER_TIMEOUT_S = 2.0
# An order without a response is repeated after this time. A run stops before its memory
# is copied, so a repeated order is mostly told that there is no such run.
REPEAT_AFTER_S = 0.1
MAX_REPEAT_DELAY_S = 0.5
REPEAT_DELAY_FACTOR = 1.5
# Orders are not repeated for longer than any server keeps a run without a connection.
MAX_ORDERING_S = 10.0
# A request that was queued when its connection closed may begin shortly after.
CONFIRM_DELAY_S = 0.3
# A generation waits this long for earlier runs to end before it continues elsewhere.
MAX_SETTLE_S = 0.15


class EndingState(enum.Enum):
    """What is known of a run whose server is ordered to stop it."""

    ORDERED = "ordered"
    STOPPED = "stopped"
    NO_RUN = "no_run"
    UNLISTED = "unlisted"
    ABANDONED = "abandoned"


class RunEnding:
    """The orders to one server to stop its run of a generation.

    Parameters
    ----------
    stream : relayed_streams.RelayedStream
        The generation's stream.
    server : discovery.DiscoveredServer
        Server that may work on the generation.
    destination : discovery.DiscoveredServer
        Server to which an order copies the memory, which is then deleted.

    Attributes
    ----------
    state : EndingState
        What is known of the run.
    responded : asyncio.Event
        Set once nothing more is to be learned of the run.
    order_count : int
        Orders that were sent.
    """

    def __init__(
        self,
        stream: "relayed_streams.RelayedStream",
        server: discovery.DiscoveredServer,
        destination: discovery.DiscoveredServer,
    ) -> None:
        self.stream = stream
        self.server = server
        self.destination = destination
        self.state = EndingState.ORDERED
        self.responded = asyncio.Event()
        self.order_count = 0
        self.started_s = stream.now_s()
        self.task = stream.gateway.spawn(self.run())

    async def run(self) -> None:
        """Order the server to stop the run until a response shows that it has ended."""
        try:
            await self.order_until_ended()
            if self.state is EndingState.NO_RUN:
                await asyncio.sleep(CONFIRM_DELAY_S)
                await self.order()
        finally:
            self.responded.set()
        self.log_end()

    async def order_until_ended(self) -> None:
        """Send orders, with growing delays between them."""
        delay_s = REPEAT_AFTER_S
        while self.state is EndingState.ORDERED:
            if not self.is_listed():
                self.settle(EndingState.UNLISTED)
            elif self.stream.now_s() > self.started_s + MAX_ORDERING_S:
                self.settle(EndingState.ABANDONED)
            else:
                self.stream.gateway.spawn(self.order())
                await self.wait(delay_s)
                delay_s = min(MAX_REPEAT_DELAY_S, REPEAT_DELAY_FACTOR * delay_s)

    def is_listed(self) -> bool:
        """Return whether the process that may work on the run is still listed."""
        known = self.stream.gateway.view.servers.get(self.server.id)
        return known is not None and known.server.start_key == self.server.start_key

    async def order(self) -> None:
        """Send one order, apply its response, and delete the copy that it made."""
        self.order_count += 1
        relay_server = self.stream.gateway.get_relay_server(self.server)
        stopped = await relay_server.stop_run(
            self.stream.request_id, self.destination.address, ORDER_TIMEOUT_S
        )
        self.apply_response(stopped)
        if isinstance(stopped, result.Success):
            copy_id = stopped.unwrap().copy_id
            await relay_server.drop_copy(copy_id, ORDER_TIMEOUT_S)

    def apply_response(
        self, stopped: result.Result[relays.MovedCopy, base.AttemptFailure]
    ) -> None:
        """Update what is known of the run."""
        if isinstance(stopped, result.Success):
            self.settle(EndingState.STOPPED)
        elif stopped.failure().kind is base.FailureKind.UNKNOWN_GENERATION:
            self.settle(EndingState.NO_RUN)
        else:
            message = stopped.failure().message
            LOG.info(
                "relay: Run of {} on {} may go on: {}.",
                self.stream.request_id,
                self.server.id,
                event_log.sanitize(message),
            )

    def settle(self, state: EndingState) -> None:
        """Set what is known of the run, unless it is known to have been stopped."""
        if self.state is not EndingState.STOPPED:
            self.state = state
        self.responded.set()

    async def wait(self, max_wait_s: float) -> None:
        """Wait for a time until the run has ended."""
        try:
            async with asyncio.timeout(max_wait_s):
                await self.responded.wait()
        except TimeoutError:
            return

    async def wait_since_start(self) -> None:
        """Wait until the run has ended, for a short time after the first order.

        A server that has crashed is not waited for.
        """
        if self.stream.gateway.crash_checks.has_crashed(self.server):
            return
        await self.wait(self.started_s + MAX_SETTLE_S - self.stream.now_s())

    def log_end(self) -> None:
        """Log what became of the run."""
        level = event_log.Level.ROUTINE
        if self.state is EndingState.ABANDONED:
            level = event_log.Level.NOTICE
        duration_s = self.stream.now_s() - self.started_s
        self.stream.gateway.record_decision(
            self.stream.routed,
            "run_ended",
            self.server.id,
            f"{self.state.value}, {self.order_count} orders in {duration_s:.3f} s",
            level,
        )


class RunEndings:
    """The runs of one generation that were left and may still go on, by server.

    Parameters
    ----------
    stream : relayed_streams.RelayedStream
        The generation's stream.
    """

    def __init__(self, stream: "relayed_streams.RelayedStream") -> None:
        self.stream = stream
        self.endings: dict[ids.ServerId, RunEnding] = {}

    def start(
        self,
        server: discovery.DiscoveredServer,
        destination: discovery.DiscoveredServer,
    ) -> None:
        """Order a server to stop its run, unless that is under way."""
        engine = self.stream.routed.service.engine
        if engine is None or not engine.moves:
            return
        found = self.endings.get(server.id)
        if found is None or found.task.done():
            self.endings[server.id] = RunEnding(self.stream, server, destination)

    async def settle(self, server: discovery.DiscoveredServer) -> bool:
        """Wait for a short time until earlier runs have ended.

        Returns
        -------
        bool
            Whether a request to the server can't meet an earlier run there.
        """
        for ending in list(self.endings.values()):
            await ending.wait_since_start()
        found = self.endings.get(server.id)
        return found is None or found.state is not EndingState.ORDERED

    async def has_run(self, server: discovery.DiscoveredServer) -> bool:
        """Return whether a server may have begun a run whose response was lost."""
        found = self.endings.get(server.id)
        if found is None:
            return True
        await found.wait_since_start()
        return found.state is not EndingState.NO_RUN
