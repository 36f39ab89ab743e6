"""Peers of the own interface that stop in the middle of a handed-over response."""

import asyncio

import aiohttp
import pytest

from fakes import cut_peers
from lifecycle import callers
from quetzalpass import ids
from quetzalpass.bench import local_cluster
from quetzalpass.callers import handing_over
from quetzalpass.settings import schema

LIMITS = schema.Limits(connect_timeout_s=0.3, caller_grace_s=2.0)
BODY = b"the body of a service"
WITH_LENGTH = (
    b"HTTP/1.1 200 OK\r\nQuetzalpass-Result: 0\r\nContent-Length: %d\r\n\r\n%s"
    % (len(BODY), BODY)
)
IN_CHUNKS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
)
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 2\r\n\r\n{}"
    % handing_over.REFUSED_HEADER.encode()
)


class Frontend:
    """A gateway that reaches no server, and its only peer."""

    def __init__(self, cluster, peer):
        self.caller = callers.Caller(cluster)
        self.cluster = cluster
        self.peer = peer
        handover = cluster.gateways[0].handover
        entry = schema.Peer(
            ids.VmId("gw-b"), ids.DataCentreId("dc"), f"http://{peer.address}"
        )
        handover.peers = lambda: [entry]
        handover.is_lost = lambda target: True
        handover.reach_checks.reach.lost_since_s[local_cluster.SERVICE] = 0.0

    async def exchange(self, data):
        """Return the status and body of a call that the peer responds to with data.

        The body is ``None`` if the response is visibly incomplete.
        """
        self.peer.responses = [data]
        url = (
            self.cluster.gateways[0].url + f"/services/{local_cluster.SERVICE}/waivers"
        )
        headers = self.caller.headers()
        post = self.cluster.session.post
        try:
            async with asyncio.timeout(5), post(url, headers=headers) as response:
                return response.status, await response.read()
        except aiohttp.ClientError:
            return response.status, None


@pytest.fixture
async def frontend():
    peer = cut_peers.CutPeer()
    await peer.start()
    cluster = local_cluster.LocalCluster(limits=LIMITS)
    await cluster.start()
    yield Frontend(cluster, peer)
    await cluster.stop()
    peer.server.close()


@pytest.mark.parametrize("is_reset", [False, True])
class TestCutResponses:
    @pytest.mark.parametrize("whole", [WITH_LENGTH, IN_CHUNKS])
    async def test_cut_response_is_never_whole(self, frontend, whole, is_reset):
        frontend.peer.is_reset = is_reset
        for data in cut_peers.cuts(whole):
            status, body = await frontend.exchange(data)
            assert status == 502 or body is None
        assert frontend.peer.requests == len(whole)
        assert await frontend.exchange(whole) == (200, BODY)

    async def test_cut_refusal_proves_nothing(self, frontend, is_reset):
        frontend.peer.is_reset = is_reset
        head_bytes = REFUSAL.index(b"\r\n\r\n") + 4
        for data in cut_peers.cuts(REFUSAL)[:head_bytes]:
            status, body = await frontend.exchange(data)
            assert status == 502
            assert b"not_run" not in body
        assert (await frontend.exchange(REFUSAL))[0] == 503
