"""Sends of several gateways to brittle servers on the virtual clock."""

import asyncio
import random

import pytest
from returns import result

from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.allocation import leader_client, rooms
from quetzalpass.backends import base
from quetzalpass.membership import fleet_registry
from quetzalpass.relay import room_gate

pytestmark = pytest.mark.looptime

SERVER = relay_servers.discovered("l-1", "ledger", started_ms=1)
NOTICE = base.ServerNotice(5.0)
GATEWAYS = 4


class DeskSource(rooms.RoomSource):
    """A gateway's way to the deciding node, which may be cut."""

    def __init__(self, desk):
        self.desk = desk
        self.is_cut = False
        self.delay_s = 0.0

    async def request_room(self, request):
        return await self.call(self.desk.handle, request)

    async def release_room(self, release):
        return await self.call(self.desk.handle_release, release)

    async def call(self, handle, message):
        if self.is_cut:
            return leader_client.unavailable("cut off")
        reply = handle(message)
        if not reply.is_deciding:
            return leader_client.unavailable("no leader")
        await asyncio.sleep(self.delay_s)
        return result.Success(reply)


class Group:
    def __init__(self, seed=0):
        registry = fleet_registry.FleetRegistry(None, lambda: True, 1)
        registry.servers = (SERVER,)
        registry.read_at_s = 0.0
        self.desk = rooms.RoomDesk(registry)
        self.rng = random.Random(seed)
        self.gates = [self.new_gate(number) for number in range(GATEWAYS)]
        self.running = 0
        self.served = 0
        self.refused_s = []

    def new_gate(self, number):
        gate = room_gate.RoomGate(
            ids.VmId(f"gw-{number}"),
            DeskSource(self.desk),
            lambda: GATEWAYS,
            lambda: f"{self.rng.getrandbits(64):x}",
        )
        gate.observe(SERVER, NOTICE)
        return gate

    async def send(self, gate):
        room = await gate.acquire(SERVER, 0, 3.0)
        if isinstance(room, result.Failure):
            return
        try:
            await self.run(gate)
        finally:
            gate.release(room.unwrap())

    async def run(self, gate):
        if self.running >= 3:
            self.refused_s.append(asyncio.get_running_loop().time())
            gate.on_refusal(SERVER)
            return
        self.running += 1
        self.served += 1
        await asyncio.sleep(0.25)
        self.running -= 1

    async def load(self, seconds, per_s=40):
        tasks = []
        for _ in range(int(seconds * per_s)):
            tasks.append(asyncio.create_task(self.send(self.rng.choice(self.gates))))
            await asyncio.sleep(1 / per_s)
        await asyncio.wait(tasks)

    def most_refused_in_a_second(self):
        return max(
            (sum(s <= e < s + 1.0 for e in self.refused_s) for s in self.refused_s),
            default=0,
        )


@pytest.mark.parametrize("seed", range(4))
class TestSeveralGateways:
    async def test_server_is_not_felled_and_its_room_is_used(self, seed):
        group = Group(seed)
        await group.load(20.0)
        assert group.most_refused_in_a_second() <= 4
        assert group.served >= 0.7 * 20.0 * 3 / 0.25

    async def test_server_is_not_felled_while_no_node_decides(self, seed):
        group = Group(seed)
        for gate in group.gates:
            gate.source.is_cut = True
        await group.load(20.0)
        assert group.most_refused_in_a_second() <= 5
        assert group.served >= 0.3 * 20.0 * 3 / 0.25

    async def test_server_is_not_felled_by_gateways_of_which_half_are_cut(self, seed):
        group = Group(seed)
        await group.load(5.0)
        for gate in group.gates[:2]:
            gate.source.is_cut = True
        await group.load(10.0)
        assert group.most_refused_in_a_second() <= 5

    async def test_server_that_comes_back_is_not_felled_again(self, seed):
        group = Group(seed)
        await group.load(5.0)
        restarted = relay_servers.discovered("l-1", "ledger", started_ms=2)
        group.desk.registry.servers = (restarted,)
        group.refused_s.clear()
        await group.load(5.0)
        assert group.most_refused_in_a_second() <= 4


class TestRoomGate:
    async def test_servers_that_are_not_brittle_need_no_room(self):
        group = Group()
        other = relay_servers.discovered("e-1")
        room = await group.gates[0].acquire(other, 0, 1.0)
        assert room.unwrap() is None

    async def test_caller_that_leaves_while_it_waits_for_room_holds_none(self):
        group = Group()
        gate = group.gates[0]
        gate.source.delay_s = 0.1
        task = asyncio.create_task(gate.acquire(SERVER, 0, 3.0))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.sleep(0.5)
        assert not group.desk.rooms[SERVER.id].admitted
        assert not gate.admitted

    async def test_new_leader_without_the_list_lets_gateways_decide(self):
        group = Group()
        group.desk.registry.read_at_s = None
        room = await group.gates[0].acquire(SERVER, 0, 1.0)
        assert room.unwrap() is not None
