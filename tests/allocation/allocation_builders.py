"""Builds an allocating node with fake servers and gateways, for tests."""

import asyncio
import random

from returns import result

from declarations import relay_builders
from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.allocation import allocator, client, leader_client, messages
from quetzalpass.backends import discovery
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration, fleet_messages, fleet_registry
from quetzalpass.routing import relay_placement

NEED = relay_placement.GenerationNeed(3_000, 900, objective_s=1.8)
CHECK = relay_placement.GenerationNeed(2_200, 10, objective_s=1.5)
START = messages.Purpose.START
MOVE = messages.Purpose.MOVE


class FixedList(discovery.ServerSource):
    def __init__(self, names):
        self.servers = [relay_servers.discovered(name) for name in names]

    async def list_servers(self, timeout_s):
        return result.Success(tuple(self.servers))

    async def close(self): ...


class AllocatorNode:
    """The allocating node, with its list of servers and its declaration."""

    def __init__(self, names="abcd"):
        self.source = FixedList(names)
        self.is_leader = True
        self.registry = fleet_registry.FleetRegistry(
            self.source, lambda: self.is_leader, 1
        )
        self.holder = configuration.ConfigurationHolder()
        data = schema.encode(relay_builders.declaration())
        self.holder.activate(ids.Revision(1), schema.digest_of(data), data)
        rng = random.Random(0)
        self.allocator = allocator.Allocator(self.registry, self.holder, rng)
        self.count = 0
        self.task = None

    async def start(self):
        self.task = asyncio.create_task(self.registry.run())
        await asyncio.sleep(1.0)
        return self

    def request(self, need=NEED, purpose=START, **changes):
        self.count += 1
        values = {
            "allocation": ids.AllocationId(f"r-{self.count}"),
            "gateway": ids.VmId(f"gw-{self.count % 60}"),
            "service": ids.ServiceName("model"),
            "purpose": purpose,
            "data_centre": ids.DataCentreId("flx-a"),
            "need": need,
            "rank": 0,
            "waited_s": 0.0,
            "wait_s": 0.0,
        }
        return messages.AllocationRequest(**{**values, **changes})

    async def grant(self, need=NEED, purpose=START, **changes):
        reply = await self.allocator.handle(self.request(need, purpose, **changes))
        assert reply.is_allocating
        return reply.grant

    async def fill(self, limit=500):
        """Request grants until no engine has capacity; return the count by engine."""
        counts = {}
        for _ in range(limit):
            grant = await self.grant()
            if grant is None:
                return counts
            counts[grant.server.id] = counts.get(grant.server.id, 0) + 1
        raise AssertionError("all requests were granted")

    def report(self, gateway, uses=(), placed=(), prefills=()):
        self.registry.record_report(
            fleet_messages.FleetRequest(
                ids.VmId(gateway), 0, 0.0, uses, (), None, placed, prefills
            )
        )


class DirectAllocationSource(client.AllocationSource):
    """Calls the allocating node directly, without a network."""

    def __init__(self, node):
        self.node = node

    async def request_grant(self, request):
        reply = await self.node.allocator.handle(request)
        if not reply.is_allocating:
            return leader_client.unavailable("it does not allocate engines")
        return result.Success(reply)


def full_engine_use(name):
    return fleet_messages.ServerUse(ids.ServerId(name), 9, 36_000)


async def keep_reporting(node, name):
    while True:
        node.report("x", (full_engine_use(name),))
        await asyncio.sleep(0.25)
