"""Servers that refuse a request and ask for some time without further ones."""

import asyncio

import pytest
from returns import result

from fakes import relay_servers
from lifecycle import gateway_harness
from quetzalpass.backends import base

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
            base.AttemptEnd.REFUSED, base.FailureKind.OVERLOADED, "full", rest_ms
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
