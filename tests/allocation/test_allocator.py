import asyncio

import pytest

from allocation import allocation_builders
from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.allocation import allocator
from quetzalpass.backends import discovery
from quetzalpass.membership import fleet_messages

LEAVING = discovery.ServerState.LEAVING


def use(server, requests=0, tokens=0, copy_tokens=0, prefill_tokens=0):
    return fleet_messages.ServerUse(
        ids.ServerId(server), requests, tokens, copy_tokens, prefill_tokens
    )


@pytest.mark.looptime
class TestGrants:
    async def test_each_decision_counts_the_earlier_grants(self):
        node = await allocation_builders.AllocatorNode().start()
        servers = [
            (await node.grant(allocation_builders.CHECK)).server.id for _ in range(16)
        ]
        counts = {name: servers.count(name) for name in "abcd"}
        assert max(counts.values()) <= 5
        assert min(counts.values()) >= 3

    async def test_a_full_engine_gets_no_more_grants(self):
        node = await allocation_builders.AllocatorNode().start()
        counts = await node.fill()
        assert set(counts) == set("abcd")
        for name in "abcd":
            used = node.allocator.pending_uses.get(name).tokens
            assert used <= 34_304

    async def test_a_copy_of_a_message_gets_the_same_engine(self):
        node = await allocation_builders.AllocatorNode().start()
        request = node.request()
        first = await node.allocator.handle(request)
        again = await node.allocator.handle(request)
        assert again.grant == first.grant
        assert node.allocator.pending_uses.get(first.grant.server.id).requests == 1

    async def test_a_grant_is_pending_until_its_gateway_reports_it(self):
        node = await allocation_builders.AllocatorNode("a").start()
        grant = await node.grant(gateway=ids.VmId("gw-1"))
        (allocation,) = node.allocator.pending
        node.report("gw-1", (use("a", 1, 3_720),))
        assert node.allocator.pending_uses.get("a").requests == 1
        node.report("gw-1", (use("a", 1, 3_720),), placed=(allocation,))
        assert grant.server.id == "a"
        assert node.allocator.pending_uses.get("a").requests == 0
        assert node.registry.totals.get("a").requests == 1

    async def test_an_unused_grant_expires(self):
        node = await allocation_builders.AllocatorNode("a").start()
        await node.fill()
        await asyncio.sleep(allocator.GRANT_LIFETIME_S + 0.1)
        assert await node.grant() is not None

    async def test_avoided_engines_are_used_only_if_there_are_no_others(self):
        node = await allocation_builders.AllocatorNode("ab").start()
        avoided = (ids.ServerId("a"),)
        for _ in range(3):
            grant = await node.grant(avoided=avoided)
            assert grant.server.id == "b"
        both = (ids.ServerId("a"), ids.ServerId("b"))
        assert await node.grant(avoided=both) is not None

    async def test_a_move_is_never_granted_its_source(self):
        node = await allocation_builders.AllocatorNode("a").start()
        avoided = (ids.ServerId("a"),)
        assert (
            await node.grant(purpose=allocation_builders.MOVE, avoided=avoided) is None
        )

    async def test_leaving_engines_get_no_grants(self):
        node = await allocation_builders.AllocatorNode("ab").start()
        node.source.servers[0] = relay_servers.discovered("a", state=LEAVING)
        await asyncio.sleep(0.5)
        for _ in range(3):
            assert (await node.grant()).server.id == "b"


@pytest.mark.looptime
class TestWaiting:
    async def test_all_gateways_share_one_queue(self):
        node = await allocation_builders.AllocatorNode("a").start()
        await node.fill()
        node.report("gw-x", (use("a", 9, 36_000),), tuple(node.allocator.pending))
        later = asyncio.create_task(node.grant(rank=1, waited_s=0.1, wait_s=2.0))
        urgent = asyncio.create_task(node.grant(rank=0, wait_s=2.0))
        await asyncio.sleep(0.1)
        node.report("gw-x", (use("a", 7, 30_500),))
        await asyncio.sleep(0.1)
        assert urgent.done()
        assert not later.done()
        later.cancel()

    async def test_waiting_requests_do_not_overload_a_freed_engine(self):
        node = await allocation_builders.AllocatorNode("ab").start()
        await node.fill()
        full = (use("a", 9, 35_000), use("b", 9, 35_000))
        node.report("gw-x", full, tuple(node.allocator.pending))
        waiting = [
            asyncio.create_task(node.grant(allocation_builders.CHECK, wait_s=3.0))
            for _ in range(40)
        ]
        await asyncio.sleep(0.1)
        node.report("gw-x", (use("a", 0, 0), full[1]))
        await asyncio.sleep(0.1)
        granted = [each for each in waiting if each.done()]
        assert 1 <= len(granted) <= 24
        assert node.allocator.pending_uses.get("a").tokens <= 34_304
        for each in waiting:
            each.cancel()

    async def test_a_wait_without_grant_ends_in_time(self):
        node = await allocation_builders.AllocatorNode("a").start()
        await node.fill()
        node.report("gw-x", (use("a", 9, 36_000),), tuple(node.allocator.pending))
        start_s = asyncio.get_running_loop().time()
        assert await node.grant(wait_s=0.25) is None
        assert asyncio.get_running_loop().time() - start_s < 0.32

    async def test_a_cancelled_request_holds_no_grant(self):
        node = await allocation_builders.AllocatorNode("a").start()
        await node.fill()
        node.report("gw-x", (use("a", 9, 36_000),), tuple(node.allocator.pending))
        request_task = asyncio.create_task(node.grant(wait_s=2.0))
        await asyncio.sleep(0.1)
        request_task.cancel()
        await asyncio.sleep(0.01)
        node.report("gw-x", ())
        await asyncio.sleep(0.1)
        assert not node.allocator.pending

    async def test_a_second_copy_of_a_message_replaces_the_first(self):
        node = await allocation_builders.AllocatorNode("a").start()
        await node.fill()
        node.report("gw-x", (use("a", 9, 36_000),), tuple(node.allocator.pending))
        request = node.request(wait_s=2.0)
        first = asyncio.create_task(node.allocator.handle(request))
        await asyncio.sleep(0.05)
        second = asyncio.create_task(node.allocator.handle(request))
        await asyncio.sleep(0.05)
        node.report("gw-x", ())
        await asyncio.sleep(0.1)
        assert (await first).grant is None
        assert (await second).grant is not None
        assert node.allocator.pending_uses.get("a").requests == 1


@pytest.mark.looptime
class TestLeaders:
    async def test_a_new_leader_waits_for_the_reports_of_the_gateways(self):
        node = allocation_builders.AllocatorNode()
        node.is_leader = False
        await node.start()
        assert not (await node.allocator.handle(node.request())).is_allocating
        node.is_leader = True
        await asyncio.sleep(0.3)
        assert not (await node.allocator.handle(node.request())).is_allocating
        await asyncio.sleep(0.6)
        assert (await node.allocator.handle(node.request())).is_allocating

    async def test_an_unknown_service_is_left_to_the_gateway(self):
        node = await allocation_builders.AllocatorNode().start()
        request = node.request(service=ids.ServiceName("new"))
        assert not (await node.allocator.handle(request)).is_allocating
