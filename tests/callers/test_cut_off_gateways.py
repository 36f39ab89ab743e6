"""Gateways of the own interface that lose the path to all servers.

Their callers are served by other gateways, which reach the servers.
"""

import asyncio
import socket

import aiohttp
import pytest

from lifecycle import callers
from quetzalpass.backends import registry
from quetzalpass.bench import local_cluster
from quetzalpass.callers import handing_over
from quetzalpass.settings import schema

LIMITS = schema.Limits(silent_stream_s=3.0, connect_timeout_s=0.3, caller_grace_s=5.0)
BACKLOG_CONNECTIONS = 4
# The platform's rule: from 3 s after the cut began.
CONTACT_S = 3.0


class ClosedPorts:
    """Addresses at which connections are refused or hang."""

    def __init__(self):
        self.sockets = []

    def refusing(self):
        closed = socket.socket()
        closed.bind(("127.0.0.1", 0))
        self.sockets.append(closed)
        return f"http://127.0.0.1:{closed.getsockname()[1]}"

    def hanging(self):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        self.sockets.append(listener)
        for _ in range(BACKLOG_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            self.sockets.append(filler)
        return f"http://127.0.0.1:{listener.getsockname()[1]}"

    def close(self):
        for each in self.sockets:
            each.close()


class CutGateways:
    """Cuts gateways of a cluster off from all servers."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.ports = ClosedPorts()
        self.opened = []

    def cut(self, number, how):
        gateway = self.cluster.gateways[number].gateway
        url = self.ports.refusing() if how == "refused" else self.ports.hanging()
        backends = {}

        def get_backend(server_id, config):
            if server_id not in backends:
                server = config.servers[server_id]
                lost = type(server)(
                    server.id,
                    server.vm,
                    server.kind,
                    url,
                    models=server.models,
                    service=server.service,
                )
                backends[server_id] = registry.open_backend(lost, LIMITS)
                self.opened.append(backends[server_id])
            return backends[server_id]

        gateway.get_backend = get_backend

    def heal(self, number):
        del self.cluster.gateways[number].gateway.get_backend

    async def close(self):
        for each in self.opened:
            await each.close()
        self.ports.close()


@pytest.fixture
async def group():
    cluster = local_cluster.LocalCluster(gateways_count=3, limits=LIMITS, token_s=0.002)
    await cluster.start()
    cuts = CutGateways(cluster)
    yield callers.Caller(cluster), cuts
    await cuts.close()
    await cluster.stop()


async def call_until(caller, seconds, gateway=0):
    """Send calls for some seconds; return those of the last."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    late = []
    while loop.time() < start_s + seconds:
        sent_s = loop.time()
        response = await caller.call("tariff", gateway, method="GET")
        if sent_s >= start_s + CONTACT_S:
            late.append(response)
        await asyncio.sleep(0.05)
    return late


@pytest.mark.parametrize("how", ["refused", "hanging"])
class TestCutOff:
    async def test_callers_are_served_by_another_gateway(self, group, how):
        caller, cuts = group
        cuts.cut(0, how)
        late = await call_until(caller, CONTACT_S + 1.0)
        assert late
        assert [each.status for each in late] == [200] * len(late)
        response = await caller.generate("a prompt")
        assert response.is_complete("a prompt")

    async def test_stream_is_relayed_to_its_end(self, group, how):
        caller, cuts = group
        cuts.cut(0, how)
        for _ in range(8):
            response = await caller.generate("hello")
        assert response.is_complete("hello")
        assert response.done

    async def test_call_that_runs_once_runs_once(self, group, how):
        caller, cuts = group
        cuts.cut(0, how)
        for number in range(8):
            response = await caller.call(
                gateway=0, idempotency_key=f"key-{number}", body="once"
            )
        assert response.status == 200
        repeated = await caller.call(gateway=1, idempotency_key="key-7", body="once")
        assert repeated.body == response.body
        runs = caller.cluster.services[0].runs
        assert max(runs.values()) == 1

    async def test_all_gateways_cut_off_refuse_without_circles(self, group, how):
        caller, cuts = group
        for number in range(3):
            cuts.cut(number, how)
        for number in range(9):
            await caller.call("tariff", number % 3, method="GET")
        await asyncio.sleep(0.5)
        for each in caller.cluster.gateways:
            assert each.handover.reach_checks.reach.lost_since_s
        start_s = asyncio.get_running_loop().time()
        response = await caller.call("tariff", 0, method="GET")
        assert response.error_name == "no_server_reached"
        assert response.execution == "not_run"
        assert asyncio.get_running_loop().time() - start_s < 0.3

    async def test_gateway_serves_again_once_the_path_is_back(self, group, how):
        caller, cuts = group
        cuts.cut(0, how)
        for _ in range(5):
            await caller.call("tariff", 0, method="GET")
        cuts.heal(0)
        await asyncio.sleep(1.5)
        caller.cluster.gateways[1].kill()
        caller.cluster.gateways[2].kill()
        assert (await caller.call("tariff", 0, method="GET")).status == 200

    async def test_request_goes_on_if_a_peer_is_down(self, group, how):
        caller, cuts = group
        cuts.cut(0, how)
        for _ in range(5):
            await caller.call("tariff", 0, method="GET")
        caller.cluster.gateways[1].kill()
        for _ in range(4):
            assert (await caller.call("tariff", 0, method="GET")).status == 200


class TestPlannedStops:
    async def test_request_goes_on_if_a_peer_drains_after_its_consent(self, group):
        caller, cuts = group
        cuts.cut(0, "refused")
        for _ in range(5):
            await caller.call("tariff", 0, method="GET")
        first, draining, _ = caller.cluster.gateways
        first.handover.rng.shuffle = lambda peers: peers.sort(key=lambda e: e.id)
        refusal = draining.gateway.refusal
        consents = []

        def drain_after_consent():
            consents.append(refusal())
            draining.gateway.draining = True
            return consents[-1]

        draining.gateway.refusal = drain_after_consent
        response = await caller.call("tariff", 0, method="GET")
        assert consents[0] is None
        assert response.status == 200

    @pytest.mark.parametrize("draining", [0, 1])
    async def test_handed_request_ends_whole_if_either_gateway_drains(
        self, group, draining
    ):
        caller, cuts = group
        cuts.cut(0, "refused")
        for _ in range(5):
            await caller.call("tariff", 0, method="GET")
        caller.cluster.gateways[2].kill()
        prompt = "a draft [tokens=300]"
        running = asyncio.create_task(caller.generate(prompt))
        await asyncio.sleep(0.3)
        assert not running.done()
        gateway = caller.cluster.gateways[draining].gateway
        assert gateway.requests == 1
        await gateway.drain()
        response = await running
        assert response.is_complete(prompt)
        assert response.done


class TestTrust:
    async def test_callers_listener_has_no_way_for_peers(self, group):
        caller, _ = group
        url = caller.cluster.gateways[0].url + handing_over.PATH + "/v1/completions"
        headers = {**caller.headers(), "Quetzalpass-Cluster-Key": "cluster-key"}
        async with caller.cluster.session.post(url, headers=headers) as response:
            assert response.status == 404

    async def test_peers_need_the_cluster_key(self, group):
        caller, _ = group
        peers = caller.cluster.gateways[0].peers
        url = peers.url + handing_over.PATH + "/v1/completions"
        for expect100 in (False, True):
            async with aiohttp.ClientSession() as session:
                async with session.post(
                    url, headers=caller.headers(), data=b"{}", expect100=expect100
                ) as response:
                    assert response.status == 401


class TestDeadlines:
    async def test_peer_gets_only_the_time_that_is_left_of_the_callers(self, group):
        """The first gateway spends some of it on servers that it can't reach."""
        caller, cuts = group
        cuts.cut(0, "hanging")
        client = caller.cluster.gateways[0].handover.client
        forwarded = []
        send = client.send

        async def record_and_send(method, url, headers, data):
            forwarded.append(int(headers["Quetzalpass-Timeout-Ms"]))
            return await send(method, url, headers, data)

        client.send = record_and_send
        response = await caller.call(
            "tariff", 0, method="GET", Quetzalpass_Timeout_Ms="5000"
        )
        assert response.status == 200
        # One connection has timed out before.
        assert forwarded[0] <= 5_000 - LIMITS.connect_timeout_s * 1_000

    async def test_time_for_a_slow_body_counts(self, group):
        caller, _ = group
        port = caller.cluster.gateways[0].port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        started_s = asyncio.get_running_loop().time()
        body = b'{"model": "claims-llm", "prompt": "a draft [tokens=9000]"}'
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
            b"Authorization: Bearer org\r\nQuetzalpass-Timeout-Ms: 1500\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        )
        await asyncio.sleep(1.0)
        writer.write(body)
        response = await reader.readuntil(b"\r\n\r\n")
        assert b" 504 " in response
        assert asyncio.get_running_loop().time() - started_s < 2.0
        writer.close()
