"""Finds out early which backend servers are about to leave.

The list tells it late. A server itself hints at it in each of its answers, so the node
that reads the list keeps one question open at each engine. A hint is confirmed before
it counts, since servers close connections for other reasons too.
"""

import asyncio
from collections.abc import Callable

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.backends import relays
from quetzalpass.membership import discovery, fleet_board

LOG = logbook.Logger("membership")

QUESTION_WAIT_S = 0.25
RETRY_S = 0.5
LOOK_INTERVAL_S = 0.2

Connect = Callable[[discovery.DiscoveredServer], relays.RelayServer]


class LeavingWatch:
    """Keeps a question open at each engine that is in use.

    Parameters
    ----------
    board : fleet_board.FleetBoard
        The list, and where announcements go.
    connect : callable
        Makes the adapter of a server.
    """

    def __init__(self, board: fleet_board.FleetBoard, connect: Connect) -> None:
        self.board = board
        self.connect = connect
        self.tasks: dict[ids.ServerId, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Have one task for each engine in use, while this node reads the list."""
        while True:
            wanted = {}
            if self.board.is_active():
                wanted = {each.id: each for each in self.board.servers if watched(each)}
            for server_id in list(self.tasks):
                if server_id not in wanted:
                    self.tasks.pop(server_id).cancel()
            for server_id, server in wanted.items():
                if server_id not in self.tasks:
                    self.tasks[server_id] = asyncio.create_task(self.watch(server))
            await asyncio.sleep(LOOK_INTERVAL_S)

    async def watch(self, server: discovery.DiscoveredServer) -> None:
        """Ask one engine again and again until it leaves."""
        adapter = self.connect(server)
        try:
            while not await self.is_leaving(adapter):
                pass
            self.board.announce((server.id,))
        finally:
            await adapter.close()

    async def is_leaving(self, adapter: relays.RelayServer) -> bool:
        """Ask once; return whether the engine has confirmed that it leaves."""
        hinted = await adapter.hints_leaving(QUESTION_WAIT_S)
        if isinstance(hinted, result.Failure):
            await asyncio.sleep(RETRY_S)
            return False
        return hinted.unwrap() and await adapter.is_leaving()

    def stop(self) -> None:
        """Stop all tasks."""
        for task in self.tasks.values():
            task.cancel()


def watched(server: discovery.DiscoveredServer) -> bool:
    """Return whether a server is an engine in use."""
    return server.is_engine and server.state is discovery.ServerState.READY
