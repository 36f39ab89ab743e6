import asyncio
import random

import pytest
from returns import result

from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.allocation import leader_client, permits
from quetzalpass.backends import base
from quetzalpass.relay import rate_gate, response_statuses
from relay import gateway_harness

pytestmark = pytest.mark.looptime

ENGINES = [relay_servers.discovered(f"e-{name}") for name in "abc"]
SERVICES = [relay_servers.discovered(f"l-{number}", "ledger") for number in (1, 2, 3)]
RELAYED = [("/drafts/1", ENGINES), ("/reads/1", SERVICES)]
SERVER = ids.ServerId("l-1")


def make_harness(servers):
    return gateway_harness.GatewayHarness(servers, length=10)


def name_limit(harness, per_s, names):
    for each in names:
        harness.server(each).rate_notice = base.RateNotice(per_s)


def send_counts(harness):
    return {each.id: harness.send_count(each.id) for each in harness.servers}


class Load:
    """Requests that arrive 24 times a second for some time, at one gateway."""

    def __init__(self, harness, path):
        self.harness = harness
        self.path = path
        self.refusal_times_s = []
        self.responses = []

    async def run(self, seconds):
        tasks = []
        for _ in range(int(24 * seconds)):
            tasks.append(asyncio.create_task(self.send()))
            await asyncio.sleep(1 / 24)
        await asyncio.gather(*tasks)

    async def send(self):
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        response = await self.harness.serve(self.path)
        self.responses.append(response)
        if response.status == response_statuses.STATUS_NOT_RUN:
            self.refusal_times_s.append(loop.time() - start_s)


@pytest.mark.parametrize(("path", "servers"), RELAYED)
class TestLimitedServers:
    async def test_others_take_the_load_of_a_limited_one(self, path, servers):
        harness = make_harness(servers)
        name_limit(harness, 2.0, [servers[0].id])
        load = Load(harness, path)
        await load.run(1.0)
        before = send_counts(harness)
        await load.run(8.0)
        after = send_counts(harness)
        assert after[servers[0].id] - before[servers[0].id] <= 2.0 * 8 + 3
        assert all(each.status == 200 for each in load.responses)

    async def test_excess_is_refused_at_once_and_the_limits_are_used(
        self, path, servers
    ):
        harness = make_harness(servers)
        name_limit(harness, 2.0, [each.id for each in servers])
        load = Load(harness, path)
        await load.run(1.0)
        before = sum(send_counts(harness).values())
        await load.run(8.0)
        sent = sum(send_counts(harness).values()) - before
        assert 0.7 * 6.0 * 8 <= sent <= 6.0 * 8 + 9
        assert load.refusal_times_s
        assert max(load.refusal_times_s) < 0.1
        refused = [each for each in load.responses if each.status == 503]
        assert all(float(each.header("Retry-After")) > 0 for each in refused)

    async def test_ended_limit_is_forgotten(self, path, servers):
        harness = make_harness(servers)
        name_limit(harness, 2.0, [each.id for each in servers])
        load = Load(harness, path)
        await load.run(4.0)
        name_limit(harness, None, [each.id for each in servers])
        await load.run(2.0)
        load.refusal_times_s.clear()
        await load.run(2.0)
        assert not load.refusal_times_s

    async def test_limit_that_cannot_be_read_limits_nothing(self, path, servers):
        harness = make_harness(servers)
        for each in servers:
            harness.server(each.id).rate_notice = None
        load = Load(harness, path)
        await load.run(2.0)
        assert all(each.status == 200 for each in load.responses)


class TestRefusals:
    async def test_refusal_names_a_limit_too(self):
        harness = make_harness(SERVICES[:1])
        refusal = base.AttemptFailure(
            base.AttemptEnd.REFUSED,
            base.FailureKind.OVERLOADED,
            "full",
            rate_notice=base.RateNotice(1.0),
        )
        harness.server("l-1").scripted_responses = [refusal] * 10
        response = await harness.serve("/reads/1")
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert harness.send_count("l-1") == 1


class TestContinuedGenerations:
    async def test_backup_is_not_placed_on_a_limited_engine(self):
        harness = make_harness(ENGINES)
        now_s = asyncio.get_running_loop().time()
        for each in ENGINES[1:]:
            harness.reservations.gates.rate_gate.limits.observe(each.id, 2.0, now_s)
        await harness.serve("/drafts/1")
        ((_, options),) = harness.server("e-a").sent
        assert options.backup_address is None

    async def test_generation_resumes_when_the_limit_of_its_backup_allows_it(self):
        harness = gateway_harness.GatewayHarness(ENGINES, length=60)
        response, task = harness.start("/drafts/1")
        while response.data.count(b"id:") < 5:
            await asyncio.sleep(0.01)
        (run,) = harness.fleet.runs.values()
        broken = run.owners[0]
        now_s = asyncio.get_running_loop().time()
        for each in ENGINES:
            harness.reservations.gates.rate_gate.limits.observe(each.id, 2.0, now_s)
        harness.reservations.gates.rate_gate.own_permits.part_rng = None
        broken.is_dead = True
        await task
        assert response.data == gateway_harness.events(60)
        assert 0.5 <= response.longest_pause_s() < 1.0


class FakeSource(permits.PermitSource):
    """Gives out permits until it fails."""

    def __init__(self, delay_s=0.0):
        self.delay_s = delay_s
        self.fails = False
        self.requests = []

    async def request_permit(self, request):
        self.requests.append(request)
        if self.fails:
            return leader_client.unavailable("fails")
        return result.Success(self.delay_s)


def make_gate(source, gateways=4):
    rng = random.Random(1)
    gate = rate_gate.RateGate(ids.VmId("gw-1"), source, lambda: gateways, rng)
    gate.limits.observe(SERVER, 2.0, asyncio.get_running_loop().time())
    return gate


class TestGate:
    async def test_denied_server_is_not_asked_for_again_before_its_time(self):
        source = FakeSource(delay_s=0.4)
        gate = make_gate(source)
        assert await gate.acquire(SERVER, 1) == 0.4
        assert await gate.acquire(SERVER, 1) == pytest.approx(0.4)
        assert len(source.requests) == 1
        await asyncio.sleep(0.4)
        await gate.acquire(SERVER, 1)
        assert len(source.requests) == 2

    async def test_denial_does_not_hold_back_more_urgent_requests(self):
        source = FakeSource(delay_s=0.4)
        gate = make_gate(source)
        await gate.acquire(SERVER, 2)
        source.delay_s = 0.0
        assert await gate.acquire(SERVER, 1) == 0.0

    async def test_server_without_a_limit_needs_no_permit(self):
        source = FakeSource(delay_s=0.4)
        gate = make_gate(source)
        assert await gate.acquire(ids.ServerId("other"), 0) == 0.0
        assert source.requests == []

    async def test_own_part_is_used_while_no_node_decides(self):
        source = FakeSource()
        source.fails = True
        gate = make_gate(source)
        sent = 0
        for _ in range(100):
            gate.limits.observe(SERVER, 2.0, asyncio.get_running_loop().time())
            sent += await gate.acquire(SERVER, 0) == 0.0
            await asyncio.sleep(0.1)
        assert 3 <= sent <= 5

    async def test_own_part_begins_anew_after_each_reply(self):
        source = FakeSource()
        gate = make_gate(source)
        sent = 0
        for number in range(60):
            source.fails = number % 10 > 0
            gate.limits.observe(SERVER, 2.0, asyncio.get_running_loop().time())
            is_sent = await gate.request(SERVER, 2.0, 0) == 0.0
            sent += is_sent and source.fails
            await asyncio.sleep(0.1)
        assert sent == 0

    async def test_nothing_is_sent_while_the_number_of_gateways_is_unknown(self):
        gate = make_gate(None, gateways=0)
        for _ in range(20):
            gate.limits.observe(SERVER, 2.0, asyncio.get_running_loop().time())
            assert await gate.acquire(SERVER, 0) > 0.0
            await asyncio.sleep(0.1)
