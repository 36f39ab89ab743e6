import asyncio
import random

import pytest
from returns import result

from allocation import allocation_builders
from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.allocation import client, leader_client, messages
from quetzalpass.wire import transport
from relay import gateway_harness

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
        return result.Success(await self.node.allocator.handle(message))

    async def close(self): ...


@pytest.mark.looptime
class TestRemoteAllocationSource:
    async def test_a_frozen_node_delays_requests_only_once(self):
        node = await allocation_builders.AllocatorNode().start()
        channel = FakeChannel(node)
        source = client.RemoteAllocationSource(lambda: LEADER, channel)
        channel.is_frozen = True
        start_s = asyncio.get_running_loop().time()
        for _ in range(5):
            reply = await source.request_grant(node.request())
            assert isinstance(reply, result.Failure)
        assert asyncio.get_running_loop().time() - start_s < 0.2
        assert channel.calls == 1

    async def test_a_recovered_node_is_called_again(self):
        node = await allocation_builders.AllocatorNode().start()
        channel = FakeChannel(node)
        source = client.RemoteAllocationSource(lambda: LEADER, channel)
        channel.is_frozen = True
        await source.request_grant(node.request())
        channel.is_frozen = False
        await asyncio.sleep(leader_client.BACKOFF_S + 0.1)
        reply = await source.request_grant(node.request())
        assert reply.unwrap().grant is not None

    async def test_no_call_is_made_without_a_known_leader(self):
        node = await allocation_builders.AllocatorNode().start()
        channel = FakeChannel(node)
        source = client.RemoteAllocationSource(lambda: None, channel)
        assert isinstance(await source.request_grant(node.request()), result.Failure)
        assert channel.calls == 0


def gateway(node, names="abcd"):
    servers = [relay_servers.discovered(name) for name in names]
    made = gateway_harness.GatewayHarness(servers)
    if node is not None:
        made.reservations.allocation_requests.source = (
            allocation_builders.DirectAllocationSource(node)
        )
    return made


async def draft(made):
    response, task = made.start("/drafts/1")
    while not response.data:
        await asyncio.sleep(0.01)
    return response, task


@pytest.mark.looptime
class TestGateways:
    async def test_many_gateways_do_not_overload_the_one_free_engine(self):
        # All gateways have the same reports, which lack what each has placed since.
        full = tuple(allocation_builders.full_engine_use(name) for name in "abc")
        node = await allocation_builders.AllocatorNode().start()
        node.report("x", full)
        gateways = [gateway(node) for _ in range(20)]
        tasks = []
        for number, each in enumerate(gateways):
            each.reservations.rng = random.Random(number)
            each.reservations.allocation_requests.vm = ids.VmId(f"gw-{number}")
            each.view.replace_uses(full, 21)
            tasks.append(each.start("/drafts/1")[1])
        await asyncio.sleep(0.3)
        on_empty = [
            each.reservations.uses["d"] for each in gateways if each.reservations.uses
        ]
        assert len(on_empty) >= 6
        assert sum(use.tokens for use in on_empty) <= 34_304
        for task in tasks:
            task.cancel()

    async def test_a_gateway_serves_without_an_allocating_node(self):
        node = allocation_builders.AllocatorNode()
        node.is_leader = False
        made = gateway(await node.start())
        response = await made.serve("/drafts/1")
        assert response.is_complete

    async def test_a_grant_is_reported_until_it_is_confirmed(self):
        node = await allocation_builders.AllocatorNode().start()
        made = gateway(node)
        await made.serve("/drafts/1")
        (reported,) = made.reservations.allocation_requests.unreported_allocations
        assert reported in node.allocator.pending
        assert len(made.reservations.allocation_requests.unreported_prefills) == 1
        made.reservations.allocation_requests.confirm_reported((reported,), 1)
        assert made.reservations.allocation_requests.unreported_allocations == []
        assert made.reservations.allocation_requests.unreported_prefills == []

    async def test_a_full_fleet_refuses_within_the_longest_wait_of_the_route(self):
        node = await allocation_builders.AllocatorNode("a").start()
        made = gateway(node, "a")
        await node.fill()
        node.report(
            "x",
            (allocation_builders.full_engine_use("a"),),
            tuple(node.allocator.pending),
        )
        keeping = asyncio.create_task(allocation_builders.keep_reporting(node, "a"))
        response = await made.serve("/drafts/1")
        assert response.status == 503
        assert response.header("Retry-After") is not None
        keeping.cancel()

    async def test_a_grant_is_released_when_the_caller_disconnects(self):
        node = await allocation_builders.AllocatorNode("a").start()
        made = gateway(node, "a")
        _, task = await draft(made)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert made.reservations.uses == {}

    async def test_a_move_gets_its_target_from_the_allocating_node(self):
        node = await allocation_builders.AllocatorNode("ab").start()
        made = gateway(node, "ab")
        routed = made.gateway.route(made.request("/drafts/1")).unwrap()
        source = relay_servers.discovered("a")
        reservation = await made.reservations.reserve_move_target(
            routed, allocation_builders.NEED, source
        )
        assert reservation.server.id == "b"
        (pending,) = node.allocator.pending.values()
        assert pending.grant.server.id == "b"
        assert messages.Purpose.MOVE is allocation_builders.MOVE
