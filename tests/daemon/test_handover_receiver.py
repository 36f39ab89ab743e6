"""Requests between two gateways over real connections."""

import asyncio
import random

import aiohttp
import msgspec
import pytest
from aiohttp import web
from returns import result

from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.backends import base, held_bytes, relays
from quetzalpass.daemon import handover_receiver
from quetzalpass.relay import handover_channel, handover_messages
from quetzalpass.routing import peer_choice, peer_gateways
from quetzalpass.wire import server
from relay import gateway_harness

KEY = "cluster"
SERVERS = [
    relay_servers.discovered("l-1", "ledger"),
    relay_servers.discovered("e-1"),
]


class Receiver:
    def __init__(self):
        self.harness = gateway_harness.GatewayHarness(SERVERS, vm="gw-b")
        self.receiver = handover_receiver.HandoverReceiver(self.harness.gateway, KEY)

    async def start(self):
        self.runner = web.AppRunner(
            self.receiver.application(), handler_cancellation=True
        )
        await server.listen(self.runner, "127.0.0.1:0")
        port = self.runner.addresses[0][1]
        self.vm = ids.VmId(f"127.0.0.1:{port}")

    async def stop(self):
        await self.runner.cleanup()
        await self.harness.gateway.close()


@pytest.fixture
async def receiver():
    started = Receiver()
    await started.start()
    yield started
    await started.stop()


@pytest.fixture
async def channel():
    opened = handover_channel.HttpHandoverChannel(KEY)
    yield opened
    await opened.close()


@pytest.fixture
async def sender(receiver, channel):
    """A gateway that reaches no server and knows the receiver."""
    harness = gateway_harness.GatewayHarness(SERVERS, vm="gw-a")
    gateway = harness.gateway
    gateway.handover_channel = channel
    gateway.peer_choice.peers = (
        peer_gateways.PeerGateway(receiver.vm, ids.DataCentreId("flx-b")),
    )
    for service in ("ledger", "model"):
        gateway.reach_checks.reach.lost_since_s[service] = 0.0
    yield harness
    await gateway.close()


def message(harness, path="/reads/1", **changes):
    routed = harness.gateway.route(harness.request(path, **changes)).unwrap()
    return handover_messages.make_message(routed, ids.VmId("gw-a"), 0)


def lose_service(receiver):
    """Return a check that finds the service lost."""
    lost = receiver.harness.gateway.reach_checks.reach.lost_since_s

    async def wait_for_check(service, left_s):
        lost[service] = 0.0

    return wait_for_check


class TestHandover:
    async def test_call_gets_the_response_of_the_server(self, sender, receiver):
        response = await sender.serve("/reads/1")
        assert (response.status, response.data) == (200, b"whole")
        assert response.header("Signature") == "s"
        assert receiver.harness.send_count("l-1") == 1
        assert sender.send_count("l-1") == 0

    async def test_stream_is_relayed_whole(self, sender, receiver):
        response = await sender.serve("/drafts/1")
        assert response.data == gateway_harness.events(20)
        assert response.is_complete

    async def test_bytes_that_are_no_text_arrive_unchanged(self, sender, receiver):
        value = b"caf\xe9".decode("utf-8", "surrogateescape")
        headers = (relays.Header("X-Place", value),)
        body = bytes(range(256))
        await sender.serve("/reads/%FF?x=\u00e9", headers=headers, body=body)
        (call, _), *_ = receiver.harness.server("l-1").sent
        assert call.headers == headers
        assert call.body == body
        assert call.target == "/reads/%FF?x=\u00e9"

    async def test_deadline_counts_from_the_arrival_at_the_first_gateway(
        self, sender, receiver
    ):
        now_s = asyncio.get_running_loop().time()
        await sender.serve("/reads/1", arrived_s=now_s - 0.5)
        (_, options), *_ = receiver.harness.server("l-1").sent
        assert options.time_left_s < 0.35

    async def test_response_that_is_cut_aborts_the_callers_stream(
        self, sender, receiver
    ):
        response, task = sender.start("/drafts/1")
        while not response.data:
            await asyncio.sleep(0.01)
        for connection in list(receiver.runner.server.connections):
            connection.transport.abort()
        await task
        assert response.is_aborted
        assert not response.is_complete

    async def test_caller_that_leaves_ends_the_run_on_the_server(
        self, sender, receiver
    ):
        _, task = sender.start("/drafts/1")
        runs = receiver.harness.fleet.runs
        while not any(run.owners for run in runs.values()):
            await asyncio.sleep(0.01)
        task.cancel()
        async with asyncio.timeout(1.0):
            while any(run.owners for run in runs.values()):
                await asyncio.sleep(0.01)

    async def test_retries_are_counted_by_the_receiver_alone(self, sender, receiver):
        await sender.serve("/reads/1")
        now_s = asyncio.get_running_loop().time()
        assert len(sender.budget.window("ledger", now_s).requests) == 0
        assert len(receiver.harness.budget.window("ledger", now_s).requests) == 1


class TestRefusals:
    async def test_wrong_key_is_refused_before_the_request_is_sent(self, receiver):
        intruder = handover_channel.HttpHandoverChannel("wrong")
        offer = message(receiver.harness)
        sent = await intruder.send(receiver.vm, offer)
        await intruder.close()
        assert sent.failure().end is not base.AttemptEnd.MAY_HAVE_RUN
        assert receiver.harness.send_count("l-1") == 0

    async def test_request_without_an_offer_needs_the_key_too(self, receiver):
        async with aiohttp.ClientSession() as session:
            url = f"http://{receiver.vm}{handover_channel.PATH}"
            async with session.post(url, data=b"{}") as response:
                assert response.status == 401

    async def test_draining_receiver_takes_nothing(self, receiver, channel):
        receiver.harness.gateway.requests.begin_drain(float("inf"))
        sent = await channel.send(receiver.vm, message(receiver.harness))
        assert sent.failure().end is base.AttemptEnd.REFUSED
        assert receiver.harness.send_count("l-1") == 0

    async def test_full_receiver_takes_nothing(self, receiver, channel):
        receiver.receiver.count = handover_receiver.MAX_HANDED_REQUESTS
        sent = await channel.send(receiver.vm, message(receiver.harness))
        assert sent.failure().end is base.AttemptEnd.REFUSED

    async def test_receiver_with_an_older_revision_takes_nothing(
        self, receiver, channel
    ):
        offer = message(receiver.harness)
        newer = msgspec.structs.replace(offer, revision=99)
        sent = await channel.send(receiver.vm, newer)
        assert sent.failure().end is base.AttemptEnd.REFUSED

    async def test_receiver_that_lost_the_service_gives_the_request_back(
        self, receiver, channel
    ):
        lost = receiver.harness.gateway.reach_checks.reach.lost_since_s
        lost[ids.ServiceName("ledger")] = 0.0
        sent = await channel.send(receiver.vm, message(receiver.harness))
        assert sent.failure().end is base.AttemptEnd.REFUSED

    async def test_request_given_back_after_it_may_have_run_is_no_bad_request(
        self, sender, receiver
    ):
        receiver.harness.server("l-1").scripted_responses = [relay_servers.LOST] * 9
        receiver.harness.gateway.reach_checks.wait_for_check = lose_service(receiver)
        sender.budget.try_withdraw = lambda service, now_s: False
        response = await sender.serve("/reads/1")
        assert response.status == 502

    async def test_peer_that_does_not_answer_has_not_got_the_request(self, channel):
        received = []

        async def stay_silent(reader, writer):
            received.append(await reader.read(65_536))

        silent = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
        port = silent.sockets[0].getsockname()[1]
        harness = gateway_harness.GatewayHarness(SERVERS)
        start_s = asyncio.get_running_loop().time()
        offer = message(harness, body=b"secret body")
        sent = await channel.send(ids.VmId(f"127.0.0.1:{port}"), offer)
        assert sent.failure().end is base.AttemptEnd.NOT_SENT
        assert asyncio.get_running_loop().time() - start_s < 0.6
        assert all(b"ledger" not in data for data in received)
        silent.close()

    async def test_unreachable_peer_has_not_got_the_request(self, channel):
        harness = gateway_harness.GatewayHarness(SERVERS)
        sent = await channel.send(ids.VmId("127.0.0.1:1"), message(harness))
        assert isinstance(sent, result.Failure)
        assert sent.failure().end is base.AttemptEnd.NOT_SENT


class TestPeerDirectory:
    def test_each_gateway_is_named_equally_often(self):
        directory = peer_gateways.PeerDirectory()
        peers = [
            peer_gateways.PeerGateway(ids.VmId(f"gw-{number}"), f"dc-{number % 8}")
            for number in range(740)
        ]
        directory.update(peers, 0.0)
        named = {}
        for each in peers:
            found = directory.peers_of(each.vm, each.data_centre)
            assert each.vm not in {other.vm for other in found}
            assert len(found) == 8
            assert sum(e.data_centre == each.data_centre for e in found) == 4
            for other in found:
                named[other.vm] = named.get(other.vm, 0) + 1
        assert max(named.values()) <= 40

    def test_gateways_without_servers_are_not_named_while_others_are_left(self):
        directory = peer_gateways.PeerDirectory()
        lost = peer_gateways.PeerGateway(ids.VmId("a"), "dc", 0, ("ledger",))
        sound = peer_gateways.PeerGateway(ids.VmId("b"), "dc")
        directory.update([lost, sound], 0.0)
        assert directory.peers_of(ids.VmId("c"), "dc") == (sound,)


class TestPeerChoice:
    def test_one_gateway_left_in_a_data_centre_is_not_overrun(self):
        choice = peer_choice.PeerChoice(ids.DataCentreId("a"), random.Random(0))
        choice.peers = tuple(
            peer_gateways.PeerGateway(ids.VmId(f"{dc}-{number}"), dc)
            for dc, number in (("a", 1), ("b", 1), ("b", 2), ("b", 3))
        )
        for _ in range(100):
            choice.begin(choice.choose(ids.ServiceName("ledger"), (), 0.0))
        assert max(choice.handed.values()) <= 40
        assert min(choice.handed.values()) >= 15

    def test_a_gateway_that_has_failed_is_chosen_again_after_a_moment(self):
        choice = peer_choice.PeerChoice(ids.DataCentreId("a"), random.Random(0))
        peer = peer_gateways.PeerGateway(ids.VmId("a-1"), ids.DataCentreId("a"))
        choice.peers = (peer,)
        service = ids.ServiceName("ledger")
        choice.avoid(peer.vm, 10.0)
        assert choice.choose(service, (), 10.0) is None
        assert choice.choose(service, (), 10.0 + peer_choice.AVOID_S) == peer.vm


class TestRoom:
    """Requests of other gateways count against the limit of all bodies (review/12).

    A gateway that took the requests of three others that were cut off grew above its
    machine's memory and was killed, with its own callers' requests.
    """

    BODY_BYTES = 1_000_000

    async def serve_many(self, sender, count):
        body = bytes(self.BODY_BYTES)
        return await asyncio.gather(
            *(sender.serve("/reads/1", body=body) for _ in range(count))
        )

    async def test_bodies_together_stay_within_the_limit(
        self, sender, receiver, monkeypatch
    ):
        limit_bytes = 6 * self.BODY_BYTES
        held = held_bytes.HeldBytes(limit_bytes, held_bytes.SMALL_REQUEST_BYTES)
        monkeypatch.setattr(held_bytes, "REQUESTS", held)
        server = receiver.harness.server("l-1")
        server.delay_s = 0.3
        taken = []
        monkeypatch.setattr(
            receiver.receiver,
            "serve",
            count_calls(receiver.receiver.serve, taken),
        )
        responses = await self.serve_many(sender, 12)
        assert max(taken) * self.BODY_BYTES <= limit_bytes
        assert {each.status for each in responses} == {200, 503}
        assert held.total == 0
        # The sender avoids a peer for a short time that had no room.
        await asyncio.sleep(peer_choice.AVOID_S + 0.1)
        assert [each.status for each in await self.serve_many(sender, 1)] == [200]


def count_calls(serve, counts):
    """Record how many calls run at the same time."""
    running = []

    async def serve_counted(message, request):
        running.append(message)
        counts.append(len(running))
        try:
            return await serve(message, request)
        finally:
            running.pop()

    return serve_counted
