import asyncio
import random

import pytest
from returns import result

from allocation import kit
from fakes import relay_servers
from lifecycle import gateway_harness
from quetzalpass import ids
from quetzalpass.allocation import client, messages
from quetzalpass.wire import transport

LEADER = ids.VmId("c-1")


class FakeChannel(transport.PeerTransport):
    def __init__(self, node):
        self.node = node
        self.is_frozen = False
        self.calls = 0

    async def call(self, peer, message, timeout_s=2.0):
        self.calls += 1
        if self.is_frozen:
            await asyncio.sleep(60.0)
        return result.Success(await self.node.allocator.answer(message))

    async def close(self): ...


@pytest.mark.looptime
class TestRemoteAllocation:
    async def test_a_frozen_node_costs_little(self):
        node = await kit.Node().start()
        channel = FakeChannel(node)
        source = client.RemoteAllocation(lambda: LEADER, channel)
        channel.is_frozen = True
        begun_s = asyncio.get_running_loop().time()
        for _ in range(5):
            asked = await source.ask(node.request())
            assert isinstance(asked, result.Failure)
        assert asyncio.get_running_loop().time() - begun_s < 0.2
        assert channel.calls == 1

    async def test_a_node_that_comes_back_is_asked_again(self):
        node = await kit.Node().start()
        channel = FakeChannel(node)
        source = client.RemoteAllocation(lambda: LEADER, channel)
        channel.is_frozen = True
        await source.ask(node.request())
        channel.is_frozen = False
        await asyncio.sleep(client.PAUSE_S + 0.1)
        asked = await source.ask(node.request())
        assert asked.unwrap().grant is not None

    async def test_nobody_is_asked_while_no_leader_is_known(self):
        node = await kit.Node().start()
        channel = FakeChannel(node)
        source = client.RemoteAllocation(lambda: None, channel)
        assert isinstance(await source.ask(node.request()), result.Failure)
        assert channel.calls == 0


def gateway(node, names="abcd"):
    servers = [relay_servers.discovered(name) for name in names]
    made = gateway_harness.GatewayHarness(servers)
    if node is not None:
        made.reservations.allocation_requests.source = kit.Direct(node)
    return made


async def draft(made):
    response, task = made.start("/drafts/1")
    while not response.data:
        await asyncio.sleep(0.01)
    return response, task


@pytest.mark.looptime
class TestGateways:
    async def test_many_gateways_do_not_rush_to_the_one_engine_with_room(self):
        # All have the same reports, and what each has placed since is in none of them.
        full = tuple(kit.full_use(name) for name in "abc")
        node = await kit.Node().start()
        node.tell("x", full)
        gateways = [gateway(node) for _ in range(20)]
        tasks = []
        for number, each in enumerate(gateways):
            each.reservations.rng = random.Random(number)
            each.reservations.allocation_requests.vm = ids.VmId(f"gw-{number}")
            each.view.take_uses(full, 21)
            tasks.append(each.start("/drafts/1")[1])
        await asyncio.sleep(0.3)
        on_empty = [
            each.reservations.uses["d"] for each in gateways if each.reservations.uses
        ]
        assert len(on_empty) >= 6
        assert sum(use.tokens for use in on_empty) <= 34_304
        for task in tasks:
            task.cancel()

    async def test_without_the_node_a_gateway_serves_on(self):
        node = kit.Node()
        node.is_leader = False
        made = gateway(await node.start())
        response = await made.serve("/drafts/1")
        assert response.is_complete

    async def test_a_grant_is_told_until_it_is_confirmed(self):
        node = await kit.Node().start()
        made = gateway(node)
        await made.serve("/drafts/1")
        (told,) = made.reservations.allocation_requests.unreported_allocations
        assert told in node.allocator.pending
        assert len(made.reservations.allocation_requests.unreported_prefills) == 1
        made.reservations.allocation_requests.confirm_reported((told,), 1)
        assert made.reservations.allocation_requests.unreported_allocations == []
        assert made.reservations.allocation_requests.unreported_prefills == []

    async def test_a_full_fleet_refuses_within_the_patience_of_the_route(self):
        node = await kit.Node("a").start()
        made = gateway(node, "a")
        await node.fill()
        node.tell("x", (kit.full_use("a"),), tuple(node.allocator.pending))
        keeping = asyncio.create_task(kit.keep_telling(node, "a"))
        response = await made.serve("/drafts/1")
        assert response.status == 503
        assert response.header("Retry-After") is not None
        keeping.cancel()

    async def test_an_asked_place_is_given_back_when_the_caller_leaves(self):
        node = await kit.Node("a").start()
        made = gateway(node, "a")
        _, task = await draft(made)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert made.reservations.uses == {}

    async def test_a_move_asks_the_node_too(self):
        node = await kit.Node("ab").start()
        made = gateway(node, "ab")
        routed = made.gateway.route(made.request("/drafts/1")).unwrap()
        source = relay_servers.discovered("a")
        reservation = await made.reservations.reserve_move_target(
            routed, kit.NEED, source
        )
        assert reservation.server.id == "b"
        (pending,) = node.allocator.pending.values()
        assert pending.grant.server.id == "b"
        assert messages.Purpose.MOVE is kit.MOVE
