"""Moves generations off backend servers that are leaving.

Work that will end in time is left to end where it is. Work that will not, and that
can go on elsewhere, is moved early and spread over the time that is left, so that the
other replicas don't have to compute all the prompts at once.
"""

import asyncio
import datetime
import math
from typing import TYPE_CHECKING

import logbook

from quetzalpass import ids
from quetzalpass.routing import lengths

if TYPE_CHECKING:
    from quetzalpass.lifecycle import gateway as gateways
    from quetzalpass.lifecycle import generations

LOG = logbook.Logger("drain")

CHECK_INTERVAL_S = 0.25
# Notice that is assumed where the platform takes a VM away without a deadline.
SHORT_NOTICE_S = 15.0
MARGIN_S = 3.0
DEFAULT_TOKEN_S = 0.05
TOKENS_TO_MEASURE = 8


class DrainMover:
    """Watches the generations of one gateway that run on leaving servers.

    Parameters
    ----------
    gateway : gateways.Gateway
        Shared parts.

    Attributes
    ----------
    watched : dict of ServerId to set of Generation
        Generations by the server that runs them.
    leaving_since_s : dict of ServerId to float
        When a server was first seen to be leaving.
    shares : dict of ServerId to float
        Parts of a move that have become due.
    moves : int
        Generations that were asked to move.
    """

    def __init__(self, gateway: "gateways.Gateway") -> None:
        self.gateway = gateway
        self.watched: dict[ids.ServerId, set[generations.Generation]] = {}
        self.leaving_since_s: dict[ids.ServerId, float] = {}
        self.shares: dict[ids.ServerId, float] = {}
        self.moves = 0
        self.task: asyncio.Task[None] | None = None

    def watch(
        self, server_id: ids.ServerId, generation: "generations.Generation"
    ) -> None:
        """Watch a generation that starts on a server."""
        self.watched.setdefault(server_id, set()).add(generation)
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.run())

    def forget(
        self, server_id: ids.ServerId, generation: "generations.Generation"
    ) -> None:
        """Stop to watch a generation."""
        watched = self.watched.get(server_id, set())
        watched.discard(generation)
        if not watched:
            self.watched.pop(server_id, None)

    async def run(self) -> None:
        """Look at the leaving servers while anything runs."""
        while self.watched:
            for server_id in list(self.watched):
                self.check(server_id)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self, server_id: ids.ServerId) -> None:
        """Move what has to leave one server now; nothing if it isn't leaving."""
        if not self.gateway.is_leaving(server_id):
            self.leaving_since_s.pop(server_id, None)
            self.shares.pop(server_id, None)
            return
        now_s = asyncio.get_running_loop().time()
        self.leaving_since_s.setdefault(server_id, now_s)
        left_s = self.left_s(server_id, now_s) - MARGIN_S
        late = [
            each
            for each in self.watched[server_id]
            if each.can_move() and self.expected_s(each, now_s) > left_s
        ]
        if not late:
            return
        late.sort(key=lambda each: self.expected_s(each, now_s), reverse=True)
        count = self.due_moves(server_id, len(late), left_s)
        if not count:
            return
        LOG.info(
            "drain: Moving {} of {} late generations off {}, {:.1f} s are left.",
            count,
            len(late),
            server_id,
            left_s,
        )
        for generation in late[:count]:
            self.moves += 1
            generation.request_move()

    def due_moves(self, server_id: ids.ServerId, late: int, left_s: float) -> int:
        """Return how many moves are due, spread over half of the time left."""
        spread_s = max(CHECK_INTERVAL_S, left_s / 2)
        share = self.shares.get(server_id, 1.0) + late * CHECK_INTERVAL_S / spread_s
        self.shares[server_id] = share - math.floor(share)
        return math.floor(share)

    def left_s(self, server_id: ids.ServerId, now_s: float) -> float:
        """Return the time until a leaving server ends, in seconds."""
        notice_s = self.leaving_since_s[server_id] + SHORT_NOTICE_S - now_s
        at = self.gateway.holder.current
        server = at.servers.get(server_id) if at else None
        vm = at.vms.get(server.vm) if at and server else None
        if vm is None or vm.deadline is None:
            return notice_s
        deadline = datetime.datetime.fromisoformat(vm.deadline)
        if deadline.tzinfo is None:
            deadline = deadline.replace(tzinfo=datetime.UTC)
        now = datetime.datetime.now(datetime.UTC)
        return (deadline - now).total_seconds()

    def expected_s(self, generation: "generations.Generation", now_s: float) -> float:
        """Return how long a generation is expected to go on, in seconds."""
        request = generation.request
        dispatcher = self.gateway.slots.dispatcher
        table = dispatcher.estimator.table(
            request.model.name, request.priority_class.name
        )
        generated = len(generation.tokens)
        more = lengths.expected_remaining(table, generated, request.max_tokens)
        received = generated - generation.start_offset
        token_s = DEFAULT_TOKEN_S
        if received >= TOKENS_TO_MEASURE:
            token_s = (now_s - generation.started_s) / received
        return more * token_s
