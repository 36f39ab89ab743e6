"""Several gateways before servers that name a limit, with cuts and restarts between."""

import asyncio
import random

import pytest
from returns import result

from declarations import relay_builders
from fakes import relay_servers
from quetzalpass.allocation import leader_client, permits
from quetzalpass.backends import base
from quetzalpass.membership import fleet_registry
from relay import gateway_harness

pytestmark = pytest.mark.looptime

GATEWAYS = 4
WINDOW_S = 4.0
CONTACT_S = 3.0
LIMIT_PER_S = 2.0
# The platform's rule, for each server.
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
REQUESTS_PER_S = 24
EXCHANGE_S = 0.25
ENGINES = [relay_servers.discovered(f"e-{name}") for name in "abc"]
SERVICES = [relay_servers.discovered(f"l-{number}", "ledger") for number in (1, 2, 3)]
RELAYED = [("/drafts/1", ENGINES), ("/reads/1", SERVICES)]


class Fleet(relay_servers.Fleet):
    """Servers whose sends are recorded with their times."""

    def server(self, name):
        known = name in self.servers
        server = super().server(name)
        if not known:
            server.rate_notice = base.RateNotice(LIMIT_PER_S)
            server.times_s = []
            server.send = self.recording_send(server, server.send)
        return server

    def recording_send(self, server, send):
        async def record_and_send(call, options):
            server.times_s.append(asyncio.get_running_loop().time())
            return await send(call, options)

        return record_and_send


class DeskSource(permits.PermitSource):
    """One gateway's way to the leading node, which may be cut."""

    def __init__(self, group):
        self.group = group
        self.is_cut = False

    async def request_permit(self, request):
        if self.is_cut:
            return leader_client.unavailable("cut off")
        reply = self.group.desk.handle(request)
        if not reply.is_deciding:
            return leader_client.unavailable("no leader")
        return result.Success(reply.delay_s)


class LimitedGroup:
    """Gateways that share their limits through one registry."""

    def __init__(self, path, servers, seed):
        self.path = path
        self.servers = servers
        self.rng = random.Random(seed)
        self.fleet = Fleet(10)
        self.has_leader = True
        self.replace_leader()
        self.gateways = [self.new_gateway() for _ in range(GATEWAYS)]
        self.responses = []
        self.tasks = set()

    def replace_leader(self):
        registry = fleet_registry.FleetRegistry(None, lambda: self.has_leader, 1)
        registry.active_since_s = asyncio.get_running_loop().time()
        self.desk = permits.PermitDesk(registry)

    def new_gateway(self):
        harness = gateway_harness.GatewayHarness(
            self.servers,
            fleet=self.fleet,
            seed=self.rng.getrandbits(32),
            declaration=relay_builders.declaration(),
        )
        gate = harness.reservations.gates.rate_gate
        gate.source = DeskSource(self)
        gate.count_gateways = lambda: GATEWAYS
        return harness

    async def exchange_repeatedly(self):
        while True:
            await asyncio.sleep(EXCHANGE_S)
            now_s = asyncio.get_running_loop().time()
            limits = self.desk.registry.limits
            for harness in self.gateways:
                gate = harness.reservations.gates.rate_gate
                if not gate.source.is_cut:
                    limits.merge(gate.reports(), now_s)
                    gate.merge(limits.reports(now_s))

    async def send(self):
        harness = self.rng.choice(self.gateways)
        self.responses.append(await harness.serve(self.path))

    async def run(self, seconds):
        exchange = asyncio.create_task(self.exchange_repeatedly())
        for _ in range(int(REQUESTS_PER_S * seconds)):
            task = asyncio.create_task(self.send())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)
        exchange.cancel()
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    def check(self):
        for each in self.servers:
            times_s = [t for t in self.fleet.server(each.id).times_s if t >= CONTACT_S]
            for start_s in times_s:
                count = sum(start_s <= t < start_s + WINDOW_S for t in times_s)
                assert count <= ALLOWED

    def sent_per_s(self, from_s, until_s):
        return sum(
            from_s <= t < until_s
            for each in self.servers
            for t in self.fleet.server(each.id).times_s
        ) / (until_s - from_s)


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize(("path", "servers"), RELAYED)
class TestSeveralGateways:
    async def test_sum_of_all_holds_and_is_used_up(self, path, servers, seed):
        group = LimitedGroup(path, servers, seed)
        await group.run(16.0)
        group.check()
        assert group.sent_per_s(CONTACT_S, 16.0) >= 0.7 * LIMIT_PER_S * len(servers)

    async def test_sum_holds_while_half_are_cut_off_from_the_leader(
        self, path, servers, seed
    ):
        group = LimitedGroup(path, servers, seed)
        await group.run(5.0)
        for harness in group.gateways[: GATEWAYS // 2]:
            harness.reservations.gates.rate_gate.source.is_cut = True
        await group.run(8.0)
        for harness in group.gateways:
            harness.reservations.gates.rate_gate.source.is_cut = False
        await group.run(6.0)
        group.check()

    async def test_sum_holds_while_leaders_change(self, path, servers, seed):
        group = LimitedGroup(path, servers, seed)
        await group.run(4.0)
        for _ in range(4):
            group.has_leader = False
            await group.run(group.rng.uniform(0.2, 2.0))
            group.has_leader = True
            group.replace_leader()
            await group.run(group.rng.uniform(0.5, 3.0))
        group.check()

    async def test_sum_holds_while_gateways_restart(self, path, servers, seed):
        group = LimitedGroup(path, servers, seed)
        await group.run(4.0)
        for number in range(GATEWAYS):
            group.gateways[number] = group.new_gateway()
            await group.run(1.5)
        group.check()

    async def test_sum_holds_while_a_server_loses_its_responses(
        self, path, servers, seed
    ):
        group = LimitedGroup(path, servers, seed)
        await group.run(4.0)
        broken = group.fleet.server(servers[0].id)
        broken.scripted_responses = [relay_servers.LOST] * 20
        await group.run(8.0)
        group.check()
