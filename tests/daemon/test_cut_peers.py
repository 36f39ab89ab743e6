"""Peers that stop in the middle of their response to a handed-over request."""

import pytest

from declarations import relay_builders
from fakes import cut_peers, relay_servers
from quetzalpass import ids
from quetzalpass.backends import base, relays
from quetzalpass.declarations import relays as declared
from quetzalpass.relay import handover_channel, handover_messages
from quetzalpass.results import codes, failures
from quetzalpass.routing import peer_gateways
from quetzalpass.wire import messages
from relay import gateway_harness

SERVERS = [
    relay_servers.discovered("l-1", "ledger"),
    relay_servers.discovered("e-1"),
]
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
BODY = b"id: 1\ndata: x\n\n"
DECLARATION = relay_builders.declaration(
    relay_builders.route(
        name="writes",
        path_prefix="/writes/",
        kind=declared.RouteKind.NON_IDEMPOTENT,
        attempts=1,
    ),
    relay_builders.draft_route(),
)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def response_bytes():
    """Return the whole response of a peer, as ``daemon.handover_receiver`` sends it."""
    head = handover_messages.encode_head(
        relays.ResponseHead(200, (relays.Header("Signature", "s"),))
    )
    framed_head = handover_channel.HEAD_LENGTH.pack(len(head)) + head
    return CHUNKED + chunk(framed_head) + chunk(BODY) + chunk(b"")


def refusal_bytes():
    """Return a peer's response to a request that has not run."""
    failure = failures.Failure(codes.Code.DRAINING, "the gateway stops")
    body = messages.encode(failure)
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n" % len(body)
        + body
    )


@pytest.fixture
async def peer():
    cut_peer = cut_peers.CutPeer()
    await cut_peer.start()
    yield cut_peer
    cut_peer.server.close()


@pytest.fixture
async def sender(peer):
    """A gateway that reaches no server and knows the peer."""
    harness = gateway_harness.GatewayHarness(
        SERVERS, declaration=DECLARATION, vm="gw-a"
    )
    gateway = harness.gateway
    gateway.handover_channel = handover_channel.HttpHandoverChannel("cluster")
    gateway.peer_choice.avoid = lambda *_: None
    gateway.peer_choice.peers = (
        peer_gateways.PeerGateway(ids.VmId(peer.address), ids.DataCentreId("flx-b")),
    )
    for service in ("ledger", "model"):
        gateway.reach_checks.reach.lost_since_s[service] = 0.0
    yield harness
    await gateway.handover_channel.close()
    await gateway.close()


async def send(peer, channel, harness):
    routed = harness.gateway.route(harness.request("/writes/1")).unwrap()
    message = handover_messages.make_message(routed, ids.VmId("gw-a"), 0)
    return await channel.send(ids.VmId(peer.address), message)


@pytest.mark.parametrize("is_reset", [False, True])
class TestCutResponses:
    @pytest.mark.parametrize("path", ["/writes/1", "/drafts/1"])
    async def test_cut_response_is_never_whole(self, peer, sender, path, is_reset):
        peer.is_reset = is_reset
        peer.responses = cut_peers.cuts(response_bytes())
        count = len(peer.responses)
        for _ in range(count):
            response = await sender.serve(path)
            assert response.status == 502 or response.is_aborted
        assert peer.requests == count

    async def test_whole_response_is_relayed(self, peer, sender, is_reset):
        peer.is_reset = is_reset
        for path in ("/writes/1", "/drafts/1"):
            peer.responses = [response_bytes()]
            response = await sender.serve(path)
            assert (response.status, response.data) == (200, BODY)
            assert response.is_complete

    async def test_cut_refusal_proves_nothing(self, peer, sender, is_reset):
        peer.is_reset = is_reset
        whole = refusal_bytes()
        channel = sender.gateway.handover_channel
        ends = []
        for data in [*cut_peers.cuts(whole), whole]:
            peer.responses = [data]
            sent = await send(peer, channel, sender)
            ends.append(sent.failure().end)
        assert ends.pop() is base.AttemptEnd.REFUSED
        assert set(ends) == {base.AttemptEnd.MAY_HAVE_RUN}

    async def test_cut_consent_gets_no_request(self, peer, sender, is_reset):
        peer.is_reset = is_reset
        channel = sender.gateway.handover_channel
        for consent in cut_peers.cuts(cut_peers.CONSENT):
            peer.consent = consent
            sent = await send(peer, channel, sender)
            assert sent.failure().end is base.AttemptEnd.NOT_SENT
        assert peer.requests == 0
