"""Gateways of one group that lose the path to all servers of a service."""

import asyncio
import contextlib

import pytest
from returns import result

from declarations import relay_builders
from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.backends import base, relays
from quetzalpass.declarations import relays as declared
from quetzalpass.relay import (
    handover_channel,
    handover_messages,
    reach_errors,
    relaying,
)
from quetzalpass.results import codes
from quetzalpass.routing import peer_gateways
from quetzalpass.wire import messages
from relay import gateway_harness

pytestmark = pytest.mark.looptime

CONTACT_S = 3.0
CONNECT_TIMEOUT_S = 0.25
ENGINES = [relay_servers.discovered(f"e-{name}") for name in "abc"]
SERVICES = [relay_servers.discovered(f"l-{number}", "ledger") for number in (1, 2, 3)]
CLOSED = relay_servers.failure(base.AttemptEnd.MAY_HAVE_RUN)
DECLARATION = relay_builders.declaration(
    relay_builders.route(),
    relay_builders.route(
        name="once",
        path_prefix="/once/",
        kind=declared.RouteKind.NON_IDEMPOTENT,
        attempts=1,
    ),
    relay_builders.draft_route(),
)
PATHS = ["/reads/1", "/once/1", "/drafts/1"]


class CutServer(relays.RelayServer):
    """A gateway's client of a server, through a path that may be cut."""

    def __init__(self, gateway, server):
        self.gateway = gateway
        self.server = server

    async def send(self, call, options):
        self.gateway.sends += 1
        if self.gateway.cut is None:
            return await self.server.send(call, options)
        if self.gateway.cut == "reset":
            return result.Failure(CLOSED)
        await asyncio.sleep(CONNECT_TIMEOUT_S)
        return result.Failure(relay_servers.NOT_SENT)

    async def responds(self, timeout_s):
        if self.gateway.cut is None:
            return await self.server.responds(timeout_s)
        if self.gateway.cut != "reset":
            await asyncio.sleep(CONNECT_TIMEOUT_S)
        return False

    async def check_health(self, timeout_s):
        return self.gateway.cut == "reset" or await self.responds(timeout_s)

    async def copy_memory(self, request_id, destination, timeout_s):
        return await self.server.copy_memory(request_id, destination, timeout_s)

    async def stop_run(self, request_id, destination, timeout_s):
        return await self.server.stop_run(request_id, destination, timeout_s)

    async def drop_copy(self, copy_id, timeout_s):
        await self.server.drop_copy(copy_id, timeout_s)

    async def wait_for_leaving_hint(self, wait_s):
        return await self.server.wait_for_leaving_hint(wait_s)

    async def is_leaving(self):
        return False

    async def close(self): ...


class PipedResponse(relays.RelayResponse):
    """What a gateway sends for another one's caller, as that one reads it."""

    def __init__(self, task):
        self.task = task
        self.has_begun = False
        self.begun = asyncio.Event()
        self.head = None
        self.queue = asyncio.Queue()

    async def send_whole(self, head, body):
        await self.begin(head)
        await self.write(body)
        await self.finish()

    async def begin(self, head):
        self.has_begun = True
        self.head = head
        self.begun.set()

    async def write(self, data):
        if data:
            self.queue.put_nowait(result.Success(data))

    async def finish(self):
        self.queue.put_nowait(result.Success(b""))

    def abort(self):
        self.queue.put_nowait(result.Failure(CLOSED))

    async def next_chunk(self):
        return await self.queue.get()

    async def read_body(self):
        body = b""
        while True:
            received = await self.next_chunk()
            if isinstance(received, result.Failure) or not received.unwrap():
                return received.map(lambda _, body=body: body)
            body += received.unwrap()

    def close(self):
        self.task.cancel()


class GroupChannel(handover_channel.HandoverChannel):
    """Hands requests to the gateways of a group."""

    def __init__(self, group):
        self.group = group
        self.offers = []

    async def send(self, peer, message):
        self.offers.append((message.sender, peer))
        harness = self.group.gateways[peer]
        if harness.is_down:
            return result.Failure(relay_servers.NOT_SENT)
        decoded = messages.decode(
            messages.encode(message), handover_messages.HandoverRequest
        ).unwrap()
        request = handover_messages.make_request(decoded)
        response = PipedResponse(None)
        task = asyncio.create_task(relaying.serve(harness.gateway, request, response))
        response.task = task
        harness.handed.add(task)
        task.add_done_callback(lambda _: response.begun.set())
        try:
            await response.begun.wait()
        except asyncio.CancelledError:
            task.cancel()
            raise
        if not response.has_begun:
            with contextlib.suppress(asyncio.CancelledError):
                error = task.exception()
                assert isinstance(error, reach_errors.NoServerReachedError)
                end = base.AttemptEnd.REFUSED
                if error.runs > message.earlier_runs:
                    end = base.AttemptEnd.MAY_HAVE_RUN
                return result.Failure(relay_servers.failure(end))
            return result.Failure(CLOSED)
        return result.Success(response)

    async def close(self): ...


class Gateway(gateway_harness.GatewayHarness):
    """A gateway whose path to all servers may be cut.

    Attributes
    ----------
    cut : str or None
        ``hang`` or ``reset``.
    sends : int
        Requests that it has sent to servers, or tried to.
    """

    def __init__(self, group, name, data_centre, **options):
        self.cut = None
        self.sends = 0
        self.is_down = False
        self.handed = set()
        super().__init__([*ENGINES, *SERVICES], vm=name, **options)
        self.gateway.connect = lambda server: CutServer(
            self, group.fleet.connect(server)
        )
        self.gateway.handover_channel = group.channel
        self.data_centre = ids.DataCentreId(data_centre)
        self.gateway.start()


class Group:
    """Four gateways in two data centres, which know of each other."""

    def __init__(self):
        self.fleet = relay_servers.Fleet(20)
        self.channel = GroupChannel(self)
        self.gateways = {}
        self.id_count = 0
        for number, data_centre in enumerate(("flx-a", "flx-a", "flx-b", "flx-b")):
            name = ids.VmId(f"gw-{number}")
            self.gateways[name] = Gateway(
                self,
                name,
                data_centre,
                fleet=self.fleet,
                seed=number,
                declaration=DECLARATION,
            )
        self.exchange()

    def exchange(self):
        """Tell all gateways what each of them reaches."""
        directory = peer_gateways.PeerDirectory()
        directory.update(
            (
                peer_gateways.PeerGateway(
                    vm,
                    each.data_centre,
                    each.gateway.requests.count,
                    each.gateway.reach_checks.reach.lost_services(),
                )
                for vm, each in self.gateways.items()
            ),
            0.0,
        )
        for vm, each in self.gateways.items():
            peers = directory.peers_of(vm, each.data_centre)
            each.gateway.peer_choice.peers = peers

    async def exchange_repeatedly(self):
        while True:
            await asyncio.sleep(0.3)
            self.exchange()

    def cut(self, numbers, how="hang"):
        for number in numbers:
            self.gateways[f"gw-{number}"].cut = how

    def gateway(self, number):
        return self.gateways[f"gw-{number}"]

    async def serve_one(self, path):
        """Send a request to the first gateway."""
        return await self.gateway(0).serve(path, request_id=self.new_id())

    def new_id(self):
        self.id_count += 1
        return ids.RequestId(f"q-{self.id_count}")

    def runs(self):
        """Return how often each request has reached a server."""
        sent = [
            call.request_id
            for server in self.fleet.servers.values()
            for call, _ in server.sent
        ]
        return {each: sent.count(each) for each in sent}

    async def serve_all(self, path, seconds, per_s=20):
        """Send requests to each gateway in turn; return those of each."""
        exchanging = asyncio.create_task(self.exchange_repeatedly())
        tasks = []
        for number in range(int(seconds * per_s)):
            gateway = self.gateway(number % 4)
            _, task = pair = gateway.start(path, request_id=self.new_id())
            tasks.append((number % 4, asyncio.get_running_loop().time(), *pair))
            await asyncio.sleep(1 / per_s)
        await asyncio.wait([task for *_, task in tasks])
        exchanging.cancel()
        return tasks


@pytest.mark.parametrize("how", ["hang", "reset"])
@pytest.mark.parametrize("path", PATHS)
class TestCutOff:
    @pytest.mark.parametrize("numbers", [(0,), (0, 1), (0, 1, 2)])
    async def test_callers_of_gateways_without_servers_are_served(
        self, path, how, numbers
    ):
        group = Group()
        await group.serve_all(path, 1.0)
        group.cut(numbers, how)
        start_s = asyncio.get_running_loop().time()
        sent = await group.serve_all(path, 8.0)
        late = [(n, r) for n, at_s, r, _ in sent if at_s >= start_s + CONTACT_S]
        failed = [n for n, r in late if r.status != 200 or not r.is_complete]
        assert len(late) >= 90
        assert failed == []
        assert path == "/reads/1" or max(group.runs().values()) == 1

    async def test_no_request_tests_the_lost_path(self, path, how):
        group = Group()
        group.cut((0,), how)
        await group.serve_all(path, 3.0)
        sends = group.gateway(0).sends
        await group.serve_all(path, 5.0)
        assert group.gateway(0).sends == sends

    async def test_gateway_serves_again_once_the_path_is_back(self, path, how):
        group = Group()
        group.cut((0,), how)
        await group.serve_all(path, 3.0)
        group.gateway(0).cut = None
        await asyncio.sleep(1.0)
        offers = len(group.channel.offers)
        sent = await group.serve_all(path, 2.0)
        assert len(group.channel.offers) == offers
        assert all(response.status == 200 for _, _, response, _ in sent)

    async def test_no_request_is_handed_over_twice(self, path, how):
        group = Group()
        group.cut((0, 1, 2, 3), how)
        await group.serve_all(path, 3.0)
        group.channel.offers.clear()
        # Each gateway believes that the others reach all servers.
        for vm, each in group.gateways.items():
            peers = [
                peer_gateways.PeerGateway(other, harness.data_centre)
                for other, harness in group.gateways.items()
                if other != vm
            ]
            each.gateway.peer_choice.peers = tuple(peers)
            each.gateway.peer_choice.avoided_until_s.clear()
        response = await group.serve_one(path)
        assert response.status == 503
        assert float(response.header("Retry-After")) <= 0.5
        assert [sender for sender, _ in group.channel.offers] == ["gw-0"] * 3

    async def test_all_gateways_cut_off_refuse_at_once(self, path, how):
        group = Group()
        group.cut((0, 1, 2, 3), how)
        await group.serve_all(path, 4.0)
        start_s = asyncio.get_running_loop().time()
        response = await group.serve_one(path)
        assert response.status == 503
        assert asyncio.get_running_loop().time() - start_s < 0.05
        assert response.data.startswith(b"%d " % codes.Code.NO_SERVER_REACHED.value)


@pytest.mark.parametrize("path", PATHS)
class TestPeers:
    async def test_request_goes_on_to_another_peer_if_one_is_down(self, path):
        group = Group()
        group.cut((0,))
        await group.serve_all(path, 3.0)
        group.gateway(1).is_down = True
        group.gateway(2).is_down = True
        response = await group.serve_one(path)
        assert response.status == 200

    async def test_request_goes_on_if_a_peer_is_cut_off_too(self, path):
        group = Group()
        group.cut((0,))
        await group.serve_all(path, 3.0)
        group.cut((1,))
        choice = group.gateway(0).gateway.peer_choice
        choice.peers = tuple(e for e in choice.peers if e.vm != "gw-2")
        choice.choose = lambda service, tried, now_s: "gw-3" if tried else "gw-1"
        response = await group.serve_one(path)
        assert [peer for _, peer in group.channel.offers[-2:]] == ["gw-1", "gw-3"]
        assert response.status == 200
        assert max(group.runs().values()) == 1

    async def test_response_that_breaks_off_does_not_look_complete(self, path):
        group = Group()
        group.cut((0,))
        await group.serve_all(path, 3.0)
        response, task = group.gateway(0).start(path)
        while not any(each.handed for each in group.gateways.values()):
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.1 if path.startswith("/drafts") else 0.0)
        for each in group.gateways.values():
            for handed in list(each.handed):
                handed.cancel()
        await task
        is_whole = response.is_complete and response.status == 200
        assert not is_whole or path == "/reads/1"

    async def test_caller_that_leaves_ends_the_request_at_the_peer(self, path):
        group = Group()
        group.cut((0,))
        await group.serve_all(path, 3.0)
        for server in group.fleet.servers.values():
            server.delay_s = 0.5
        _, task = group.gateway(0).start(path)
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.sleep(0.05)
        handed = [e for each in group.gateways.values() for e in each.handed]
        assert handed
        assert all(each.done() for each in handed)


class TestPartlyCut:
    async def test_other_services_are_served_from_here(self):
        group = Group()
        gateway = group.gateway(0)
        for each in ENGINES:
            group.fleet.server(each.id).is_dead = True
        await gateway.serve("/drafts/1")
        await asyncio.sleep(1.0)
        assert gateway.gateway.reach_checks.is_lost("model")
        assert (await gateway.serve("/reads/1")).status == 200
        assert group.channel.offers == [] or gateway.sends

    async def test_one_server_that_answers_is_enough(self):
        group = Group()
        for each in SERVICES[:2]:
            group.fleet.server(each.id).is_dead = True
        for _ in range(5):
            assert (await group.gateway(0).serve("/reads/1")).status == 200
        assert group.channel.offers == []

    async def test_server_that_leaves_says_nothing_about_the_path(self):
        group = Group()
        gateway = group.gateway(0)
        gateway.mark_leaving("l-1")
        probes = []
        checks = gateway.gateway.reach_checks
        checks.suspect = probes.append
        routed = gateway.gateway.route(gateway.request()).unwrap()
        for name in ("l-1", "l-2"):
            server = gateway.view.servers[name].server
            gateway.gateway.on_broken_request(routed, server, CLOSED)
        assert probes == ["ledger"]

    async def test_late_response_to_an_earlier_request_does_not_end_a_loss(self):
        group = Group()
        group.cut((0,))
        await group.serve_all("/reads/1", 3.0)
        checks = group.gateway(0).gateway.reach_checks
        checks.on_response("ledger")
        assert checks.is_lost("ledger")
