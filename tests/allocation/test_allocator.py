import asyncio

import pytest

from allocation import kit
from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.allocation import allocator
from quetzalpass.membership import discovery, fleet_messages

LEAVING = discovery.ServerState.LEAVING


def use(server, requests=0, tokens=0, copy_tokens=0, prefill_tokens=0):
    return fleet_messages.ServerUse(
        ids.ServerId(server), requests, tokens, copy_tokens, prefill_tokens
    )


@pytest.mark.looptime
class TestGrants:
    async def test_each_decision_sees_the_ones_before_it(self):
        node = await kit.Node().start()
        servers = [(await node.grant(kit.CHECK)).server.id for _ in range(16)]
        counts = {name: servers.count(name) for name in "abcd"}
        assert max(counts.values()) <= 5
        assert min(counts.values()) >= 3

    async def test_a_full_engine_gets_nothing_more(self):
        node = await kit.Node().start()
        counts = await node.fill()
        assert set(counts) == set("abcd")
        for name in "abcd":
            used = node.allocator.pending_uses.of(name).tokens
            assert used <= 34_304

    async def test_a_copy_of_a_message_gets_the_same_engine(self):
        node = await kit.Node().start()
        request = node.request()
        first = await node.allocator.answer(request)
        again = await node.allocator.answer(request)
        assert again.grant == first.grant
        assert node.allocator.pending_uses.of(first.grant.server.id).requests == 1

    async def test_a_grant_is_counted_until_its_gateway_counts_it(self):
        node = await kit.Node("a").start()
        grant = await node.grant(gateway=ids.VmId("gw-1"))
        (allocation,) = node.allocator.pending
        node.tell("gw-1", (use("a", 1, 3_720),))
        assert node.allocator.pending_uses.of("a").requests == 1
        node.tell("gw-1", (use("a", 1, 3_720),), placed=(allocation,))
        assert grant.server.id == "a"
        assert node.allocator.pending_uses.of("a").requests == 0
        assert node.registry.totals.of("a").requests == 1

    async def test_a_grant_that_was_lost_is_forgotten(self):
        node = await kit.Node("a").start()
        await node.fill()
        await asyncio.sleep(allocator.GRANT_LIFETIME_S + 0.1)
        assert await node.grant() is not None

    async def test_avoided_engines_are_left_out_while_others_are_there(self):
        node = await kit.Node("ab").start()
        avoided = (ids.ServerId("a"),)
        for _ in range(3):
            grant = await node.grant(avoided=avoided)
            assert grant.server.id == "b"
        both = (ids.ServerId("a"), ids.ServerId("b"))
        assert await node.grant(avoided=both) is not None

    async def test_a_move_never_goes_back_to_where_it_comes_from(self):
        node = await kit.Node("a").start()
        avoided = (ids.ServerId("a"),)
        assert await node.grant(purpose=kit.MOVE, avoided=avoided) is None

    async def test_leaving_engines_get_nothing(self):
        node = await kit.Node("ab").start()
        node.source.servers[0] = relay_servers.discovered("a", state=LEAVING)
        await asyncio.sleep(0.5)
        for _ in range(3):
            assert (await node.grant()).server.id == "b"


@pytest.mark.looptime
class TestWaiting:
    async def test_all_gateways_stand_in_one_order(self):
        node = await kit.Node("a").start()
        await node.fill()
        node.tell("gw-x", (use("a", 9, 36_000),), tuple(node.allocator.pending))
        later = asyncio.create_task(node.grant(rank=1, waited_s=0.1, wait_s=2.0))
        urgent = asyncio.create_task(node.grant(rank=0, wait_s=2.0))
        await asyncio.sleep(0.1)
        node.tell("gw-x", (use("a", 7, 30_500),))
        await asyncio.sleep(0.1)
        assert urgent.done()
        assert not later.done()
        later.cancel()

    async def test_the_one_engine_with_room_is_not_rushed(self):
        node = await kit.Node("ab").start()
        await node.fill()
        full = (use("a", 9, 35_000), use("b", 9, 35_000))
        node.tell("gw-x", full, tuple(node.allocator.pending))
        waiting = [
            asyncio.create_task(node.grant(kit.CHECK, wait_s=3.0)) for _ in range(40)
        ]
        await asyncio.sleep(0.1)
        node.tell("gw-x", (use("a", 0, 0), full[1]))
        await asyncio.sleep(0.1)
        granted = [each for each in waiting if each.done()]
        assert 1 <= len(granted) <= 24
        assert node.allocator.pending_uses.of("a").tokens <= 34_304
        for each in waiting:
            each.cancel()

    async def test_who_waits_in_vain_is_told_in_time(self):
        node = await kit.Node("a").start()
        await node.fill()
        node.tell("gw-x", (use("a", 9, 36_000),), tuple(node.allocator.pending))
        begun_s = asyncio.get_running_loop().time()
        assert await node.grant(wait_s=0.25) is None
        assert asyncio.get_running_loop().time() - begun_s < 0.32

    async def test_an_asker_that_leaves_holds_nothing(self):
        node = await kit.Node("a").start()
        await node.fill()
        node.tell("gw-x", (use("a", 9, 36_000),), tuple(node.allocator.pending))
        asking = asyncio.create_task(node.grant(wait_s=2.0))
        await asyncio.sleep(0.1)
        asking.cancel()
        await asyncio.sleep(0.01)
        node.tell("gw-x", ())
        await asyncio.sleep(0.1)
        assert not node.allocator.pending

    async def test_a_second_copy_takes_the_place_of_the_first(self):
        node = await kit.Node("a").start()
        await node.fill()
        node.tell("gw-x", (use("a", 9, 36_000),), tuple(node.allocator.pending))
        request = node.request(wait_s=2.0)
        first = asyncio.create_task(node.allocator.answer(request))
        await asyncio.sleep(0.05)
        second = asyncio.create_task(node.allocator.answer(request))
        await asyncio.sleep(0.05)
        node.tell("gw-x", ())
        await asyncio.sleep(0.1)
        assert (await first).grant is None
        assert (await second).grant is not None
        assert node.allocator.pending_uses.of("a").requests == 1


@pytest.mark.looptime
class TestLeaders:
    async def test_a_new_leader_waits_until_the_gateways_have_told(self):
        node = kit.Node()
        node.is_leader = False
        await node.start()
        assert not (await node.allocator.answer(node.request())).is_allocating
        node.is_leader = True
        await asyncio.sleep(0.3)
        assert not (await node.allocator.answer(node.request())).is_allocating
        await asyncio.sleep(0.6)
        assert (await node.allocator.answer(node.request())).is_allocating

    async def test_an_unknown_service_is_left_to_the_gateway(self):
        node = await kit.Node().start()
        request = node.request(service=ids.ServiceName("new"))
        assert not (await node.allocator.answer(request)).is_allocating
