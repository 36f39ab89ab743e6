"""Moves generations off backend servers that are leaving.

A generation that is expected to end in time stays on its server. One that is not, and
that can continue elsewhere, is moved early. The moves are spread over the remaining
time, so that the other replicas don't have to prefill all the prompts at once.
"""

import asyncio
import datetime
import math
from typing import TYPE_CHECKING

import logbook

from quetzalpass import background, ids
from quetzalpass.routing import lengths

if TYPE_CHECKING:
    from quetzalpass.lifecycle import gateway as gateways
    from quetzalpass.lifecycle import generations

LOG = logbook.Logger("drain")

CHECK_INTERVAL_S = 0.25
# Assumed time until a VM ends that the platform reclaims without a deadline.
DEFAULT_NOTICE_S = 15.0
SAFETY_MARGIN_S = 3.0
DEFAULT_TOKEN_S = 0.05
MIN_MEASURED_TOKENS = 8


class DrainMover:
    """Moves the generations of one gateway off servers that are leaving.

    Parameters
    ----------
    gateway : gateways.Gateway
        State shared by all requests of this gateway.

    Attributes
    ----------
    watched : dict of ServerId to set of Generation
        Running generations by server.
    leaving_since_s : dict of ServerId to float
        Loop time at which each server was first seen to be leaving.
    fractional_moves : dict of ServerId to float
        Fractions of a move that are due, carried over to the next check.
    moves : int
        Number of moves requested so far.
    """

    def __init__(self, gateway: "gateways.Gateway") -> None:
        self.gateway = gateway
        self.watched: dict[ids.ServerId, set[generations.Generation]] = {}
        self.leaving_since_s: dict[ids.ServerId, float] = {}
        self.fractional_moves: dict[ids.ServerId, float] = {}
        self.moves = 0
        self.task: asyncio.Task[None] | None = None

    def watch(
        self, server_id: ids.ServerId, generation: "generations.Generation"
    ) -> None:
        """Add a generation that starts on a server."""
        self.watched.setdefault(server_id, set()).add(generation)
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(
                background.run_to_end("moving generations", self.run)
            )

    def unwatch(
        self, server_id: ids.ServerId, generation: "generations.Generation"
    ) -> None:
        """Remove a generation that has left a server."""
        watched = self.watched.get(server_id, set())
        watched.discard(generation)
        if not watched:
            self.watched.pop(server_id, None)

    async def run(self) -> None:
        """Check the servers periodically while any generation runs."""
        while self.watched:
            for server_id in list(self.watched):
                self.move_due_generations(server_id)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def move_due_generations(self, server_id: ids.ServerId) -> None:
        """Move the generations that are due to leave a server, if it is leaving."""
        if not self.gateway.is_leaving(server_id):
            self.leaving_since_s.pop(server_id, None)
            self.fractional_moves.pop(server_id, None)
            return
        now_s = asyncio.get_running_loop().time()
        self.leaving_since_s.setdefault(server_id, now_s)
        left_s = self.left_s(server_id, now_s) - SAFETY_MARGIN_S
        late = [
            each
            for each in self.watched[server_id]
            if each.can_move() and self.expected_remaining_s(each, now_s) > left_s
        ]
        if not late:
            return
        late.sort(key=lambda each: self.expected_remaining_s(each, now_s), reverse=True)
        count = self.due_moves(server_id, len(late), left_s)
        if not count:
            return
        LOG.info(
            "drain: Moving {} of {} late generations off {}; {:.1f} s remain.",
            count,
            len(late),
            server_id,
            left_s,
        )
        for generation in late[:count]:
            self.moves += 1
            generation.request_move()

    def due_moves(self, server_id: ids.ServerId, late: int, left_s: float) -> int:
        """Return how many moves are due; they are spread over half the time left."""
        spread_s = max(CHECK_INTERVAL_S, left_s / 2)
        moves_due = (
            self.fractional_moves.get(server_id, 1.0)
            + late * CHECK_INTERVAL_S / spread_s
        )
        self.fractional_moves[server_id] = moves_due - math.floor(moves_due)
        return math.floor(moves_due)

    def left_s(self, server_id: ids.ServerId, now_s: float) -> float:
        """Return the time until a leaving server stops, in seconds."""
        notice_s = self.leaving_since_s[server_id] + DEFAULT_NOTICE_S - now_s
        config = self.gateway.holder.current
        server = config.servers.get(server_id) if config else None
        vm = config.vms.get(server.vm) if config and server else None
        if vm is None or vm.deadline is None:
            return notice_s
        deadline = datetime.datetime.fromisoformat(vm.deadline)
        if deadline.tzinfo is None:
            deadline = deadline.replace(tzinfo=datetime.UTC)
        now = datetime.datetime.now(datetime.UTC)
        return (deadline - now).total_seconds()

    def expected_remaining_s(
        self, generation: "generations.Generation", now_s: float
    ) -> float:
        """Return the expected remaining run time of a generation, in seconds."""
        request = generation.request
        dispatcher = self.gateway.admission_queue.dispatcher
        table = dispatcher.estimator.table(
            request.model.name, request.priority_class.name
        )
        generated = len(generation.tokens)
        more_tokens = lengths.expected_remaining(table, generated, request.max_tokens)
        received = generated - generation.start_offset
        token_s = DEFAULT_TOKEN_S
        if received >= MIN_MEASURED_TOKENS:
            token_s = (now_s - generation.started_s) / received
        return more_tokens * token_s
