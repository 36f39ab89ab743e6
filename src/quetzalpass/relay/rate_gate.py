"""Holds a gateway's sends to the limits that servers name."""

import asyncio
import random
from collections.abc import Callable

import msgspec
from returns import result

from quetzalpass import event_log, ids
from quetzalpass.allocation import permits
from quetzalpass.backends import base
from quetzalpass.lifecycle import relay_events
from quetzalpass.routing import rate_limits, rate_permits


class Block(msgspec.Struct, frozen=True):
    """Until when a server takes no request of a rank or a less urgent one."""

    rank: int
    until_s: float


class RateGate:
    """Asks for a permit before each send to a server that names a limit.

    While no node decides, this gateway uses an equal part of each limit.

    Parameters
    ----------
    vm : VmId
        This gateway.
    source : permits.PermitSource or None
        Gives out the permits; ``None`` where no node does.
    count_gateways : callable
        Returns the number of gateways; 0 if it is unknown, which allows no sends
        while no node decides.
    rng : random.Random
        Spreads the sends of several gateways over time while no node decides.

    Attributes
    ----------
    limits : rate_limits.RateLimits
        The limits that servers have named.
    blocks : dict of ServerId to Block
        Servers for which a permit has been denied, until the next one is due.
    own_permits : rate_permits.RatePermits
        This gateway's part of the limits while no node decides.
    """

    def __init__(
        self,
        vm: ids.VmId,
        source: permits.PermitSource | None,
        count_gateways: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.limits = rate_limits.RateLimits()
        self.source = source
        self.count_gateways = count_gateways
        self.blocks: dict[ids.ServerId, Block] = {}
        self.own_permits = rate_permits.RatePermits(rng)

    def observe(self, server: ids.ServerId, notice: base.RateNotice | None) -> None:
        """Record what a response says about the rate that its server takes."""
        if notice is None:
            return
        now_s = asyncio.get_running_loop().time()
        before = self.limits.find(server, now_s)
        self.limits.observe(server, notice.per_s, now_s)
        after = self.limits.find(server, now_s)
        if before != after:
            event_log.record(
                relay_events.RateLimitEvent(server, before, after),
                event_log.Level.NOTICE,
            )

    def merge(self, reports: tuple[rate_limits.LimitReport, ...]) -> None:
        """Merge what other gateways have read about the limits of servers."""
        self.limits.merge(reports, asyncio.get_running_loop().time())

    def reports(self) -> tuple[rate_limits.LimitReport, ...]:
        """Return what other gateways need to know about the limits of servers."""
        return self.limits.reports(asyncio.get_running_loop().time())

    def limited_servers(self) -> frozenset[ids.ServerId]:
        """Return the servers that have a limit now."""
        return self.limits.servers(asyncio.get_running_loop().time())

    def is_limited(self, server: ids.ServerId) -> bool:
        """Return whether a server has a limit now."""
        now_s = asyncio.get_running_loop().time()
        return self.limits.find(server, now_s) is not None

    def blocked_s(self, server: ids.ServerId, rank: int) -> float:
        """Return for how long a server takes no request of a rank, in seconds."""
        block = self.blocks.get(server)
        if block is None or rank < block.rank:
            return 0.0
        now_s = asyncio.get_running_loop().time()
        if block.until_s <= now_s or not self.is_limited(server):
            del self.blocks[server]
            return 0.0
        return block.until_s - now_s

    async def acquire(self, server: ids.ServerId, rank: int) -> float:
        """Return 0 if a request may be sent to a server now, else the delay until then.

        Each call that returns 0 stands for one send.
        """
        now_s = asyncio.get_running_loop().time()
        per_s = self.limits.find(server, now_s)
        if per_s is None:
            return 0.0
        blocked_s = self.blocked_s(server, rank)
        if blocked_s > 0.0:
            return blocked_s
        delay_s = await self.request(server, per_s, rank)
        if delay_s > 0.0:
            now_s = asyncio.get_running_loop().time()
            self.blocks[server] = Block(rank, now_s + delay_s)
        return delay_s

    async def request(self, server: ids.ServerId, per_s: float, rank: int) -> float:
        """Ask the deciding node for a permit, or decide here if there is none."""
        now_s = asyncio.get_running_loop().time()
        if self.source is not None:
            report = self.limits.report(server, now_s)
            asked = permits.PermitRequest(self.vm, rank, report)
            reply = await self.source.request_permit(asked)
            if isinstance(reply, result.Success):
                # What is saved here is given out there.
                self.own_permits.clear()
                return reply.unwrap()
            now_s = asyncio.get_running_loop().time()
        gateways = self.count_gateways()
        if not gateways:
            return 1.0 / per_s
        return self.own_permits.take(server, per_s / gateways, rank, now_s)
