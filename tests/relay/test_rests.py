"""Servers that refuse a request and ask for some time without further ones."""

import asyncio

import pytest
from returns import result

from fakes import relay_servers
from quetzalpass.backends import base
from quetzalpass.routing import server_rests
from relay import gateway_harness

pytestmark = pytest.mark.looptime

# The platform's rule: from half a second after the answer to the end of the time, two
# requests of the same gateway at most.
GRACE_S = 0.5
ALLOWED = 2
REQUESTS_PER_S = 30
SERVICES = [relay_servers.discovered(f"l-{number}", "ledger") for number in (1, 2, 3)]
ENGINES = [relay_servers.discovered(f"e-{name}") for name in "abc"]
RELAYED = [("/reads/1", SERVICES), ("/drafts/1", ENGINES)]


class RestingServers:
    """Records the sends to servers that refuse each request and ask for rest."""

    def __init__(self, harness, names, rest_ms):
        self.refused_s = {name: [] for name in names}
        self.rest_s = rest_ms / 1000
        self.refusal = base.AttemptFailure(
            base.AttemptEnd.REFUSED,
            base.FailureKind.OVERLOADED,
            "full",
            rest_ms,
            notice=base.ServerNotice(rest_s=rest_ms / 1000),
        )
        for name in names:
            self.record(harness.server(name), self.refused_s[name])

    def record(self, server, times_s):
        async def refuse(call, options):
            times_s.append(asyncio.get_running_loop().time())
            return result.Failure(self.refusal)

        server.send = refuse

    def most_in_a_rest(self):
        return max(
            sum(each + GRACE_S <= s < each + self.rest_s for s in times_s)
            for times_s in self.refused_s.values()
            for each in times_s
        )


async def load(harness, path, seconds):
    sent = []
    for _ in range(int(seconds * REQUESTS_PER_S)):
        sent.append((asyncio.get_running_loop().time(), *harness.start(path)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.wait([task for *_, task in sent])
    return [(at_s, response) for at_s, response, _ in sent]


@pytest.mark.parametrize("rest_ms", [1_000, 2_000, 3_000])
@pytest.mark.parametrize(("path", "servers"), RELAYED)
class TestRests:
    async def test_server_that_asks_for_rest_gets_no_requests(
        self, path, servers, rest_ms
    ):
        harness = gateway_harness.GatewayHarness(servers)
        resting = RestingServers(harness, [servers[0].id], rest_ms)
        sent = await load(harness, path, 8.0)
        assert resting.most_in_a_rest() <= ALLOWED
        served = sum(response.status == 200 for _, response in sent)
        assert served >= 0.97 * len(sent)

    async def test_callers_are_refused_at_once_while_all_servers_rest(
        self, path, servers, rest_ms
    ):
        harness = gateway_harness.GatewayHarness(servers)
        resting = RestingServers(harness, [each.id for each in servers], rest_ms)
        await load(harness, path, 8.0)
        assert resting.most_in_a_rest() <= ALLOWED
        start_s = asyncio.get_running_loop().time()
        response = await harness.serve(path)
        response = await harness.serve(path)
        assert response.status == 503
        assert asyncio.get_running_loop().time() - start_s < 0.5
        assert float(response.header("Retry-After")) > 0.0


class TestServerRests:
    def test_another_start_at_the_same_address_has_not_asked(self):
        rests = server_rests.ServerRests()
        first = relay_servers.discovered("l-1", "ledger", started_ms=1)
        second = relay_servers.discovered("l-1", "ledger", started_ms=2)
        rests.record(first, 3.0, 10.0)
        assert rests.left_s(first, 11.0) == 2.0
        assert rests.left_s(second, 11.0) == 0.0

    def test_shorter_time_does_not_end_a_longer_one(self):
        rests = server_rests.ServerRests()
        server = relay_servers.discovered("l-1", "ledger")
        rests.record(server, 3.0, 10.0)
        rests.record(server, 1.0, 10.5)
        assert rests.left_s(server, 11.0) == 2.0

    def test_absurd_time_ends(self):
        rests = server_rests.ServerRests()
        server = relay_servers.discovered("l-1", "ledger")
        rests.record(server, 1e9, 0.0)
        assert rests.left_s(server, 0.0) == server_rests.MAX_REST_S
        rests.expire(server_rests.MAX_REST_S + 1.0)
        assert not rests.rests


async def lose_engine_while_backup_rests(rest_s):
    """Lose the engine of a generation while the one with its backup rests."""
    harness = gateway_harness.GatewayHarness(ENGINES, length=100)
    response, task = harness.start("/drafts/1")
    await asyncio.sleep(0.5)
    (run,) = harness.fleet.runs.values()
    (owner,) = run.owners
    ((_, options),) = owner.sent
    holder = options.backup_address.partition(":")[0]
    now_s = asyncio.get_running_loop().time()
    server = next(each for each in ENGINES if each.id == holder)
    harness.reservations.gates.rests.record(server, rest_s, now_s)
    owner.is_dead = True
    await task
    return harness, holder, response


class TestFurtherSends:
    async def test_retry_goes_to_a_server_that_does_not_rest(self):
        harness = gateway_harness.GatewayHarness(SERVICES)
        resting = RestingServers(harness, ["l-1"], 3_000)
        for _ in range(20):
            assert (await harness.serve("/reads/1")).status == 200
        assert len(resting.refused_s["l-1"]) <= 1

    async def test_request_that_waited_does_not_reach_a_server_that_rests_now(self):
        harness = gateway_harness.GatewayHarness(SERVICES[:1])
        resting = RestingServers(harness, ["l-1"], 3_000)
        gate = harness.reservations.gates.room_gate
        acquire = gate.acquire

        async def acquire_late(server, rank, left_s):
            await asyncio.sleep(0.1)
            return await acquire(server, rank, left_s)

        gate.acquire = acquire_late
        responses = [harness.start("/reads/1") for _ in range(2)]
        await asyncio.sleep(0.05)
        harness.reservations.gates.rests.record(SERVICES[0], 3.0, 0.05)
        await asyncio.wait([task for _, task in responses])
        assert resting.refused_s["l-1"] == []

    async def test_generation_does_not_resume_on_a_server_that_rests(self):
        harness, holder, response = await lose_engine_while_backup_rests(5.0)
        assert harness.send_count(holder) == 0
        assert response.is_aborted

    async def test_generation_waits_for_a_short_rest_to_resume(self):
        _, _, response = await lose_engine_while_backup_rests(0.8)
        assert response.data == gateway_harness.events(100)
