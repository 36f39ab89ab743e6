"""Tests that nothing that another process writes stops one that reads it.

Guards against the report of issue 38: an odd entry of the list of servers ended those
who followed it, or they followed it no more.
"""

import asyncio
import json
import os
import random

import logbook
import msgspec
import pytest
from hypothesis import HealthCheck, given, settings, strategies
from returns import result

from allocation import allocation_builders
from fakes import relay_servers, transports
from fleet_adapter import desired_state, headers, instances, node_settings, replicas
from fuzz import odd_documents
from platform_standin import standin
from quetzalpass import decoding, ids, odd_values, ranges
from quetzalpass.allocation import allocator, permits, rooms
from quetzalpass.allocation import messages as allocation_messages
from quetzalpass.backends import discovery, engine_http
from quetzalpass.callers import bodies
from quetzalpass.control import declared_state
from quetzalpass.declarations import checks, schema
from quetzalpass.membership import (
    configuration,
    control_links,
    fleet_messages,
    fleet_view,
)
from quetzalpass.relay import handover_messages
from quetzalpass.wire import handlers, messages
from upgrades import samples

LONG = os.environ.get("QUETZALPASS_FUZZ_PROFILE") == "long"
PROFILE = settings(
    derandomize=not LONG,
    deadline=None,
    max_examples=3_000 if LONG else 120,
    suppress_health_check=list(HealthCheck),
)

SOUND_ENTRY = {
    "id": "i-7f3a91c2",
    "service": "model",
    "addr": "10.128.0.9:8080",
    "zone": "flx-a",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "cold_ms": 0,
    "born": 1_765_000_000_000,
    "stage": "unified",
    "models": [{"name": "m", "version": 1, "adapters": []}],
}
PAGE = {
    "instances": [{**SOUND_ENTRY, "id": "i-1"}, SOUND_ENTRY],
    "next": None,
}
NODE_FILE = {
    "node": "edge-1",
    "ip": "10.1.0.24",
    "zone": "flx-a",
    "listen": {"front": "10.1.0.24:8740", "ready": "10.1.0.24:8749"},
    "internal_ports": [7200, 7215],
    "seeds": ["10.1.0.27:8748", "10.2.0.23:8748"],
    "bootstrap": True,
    "data_dir": None,
    "fault_tolerance": {"machines": 1},
    "bounds": {"grace_s": 8, "budget_ratio": 0.2, "budget_window_s": 10},
    "cloud": {"addr": "10.200.0.63:8742"},
}
REPORT = {"stage": "unified", "state": "ready", "seq": 2, "runs": [["q", 3, 1, 5]]}
CACHE_EVENTS = {"epoch": 1, "next": 7, "lost": False, "events": [[1, "+", "", "a", 3]]}
MOVE = {"handle": "h-1", "made": 7}
ENGINE_LOAD = {"running": 1, "waiting": 0, "tokens_held": 5, "memory_tokens": 9}
ENGINE_STATE = {
    "term": 1,
    "index": 2,
    "models": [{"name": "m", "version": "1", "ready": True}],
    "role": "unified",
}
COMPLETION = {"model": "m", "prompt": "p", "max_tokens": 5, "temperature": 0.5}


def sample_documents(*names):
    """Return sound messages of peers as plain values, by the name of their type."""
    found = [
        (name, json.loads(data))
        for name, data in samples.all_samples()
        if name in names or (not names and name in samples.message_types())
    ]
    assert found
    return found


MESSAGES = sample_documents()
FLEET_REPLIES = sample_documents("membership.fleet_messages.FleetReply")
FLEET_REQUESTS = sample_documents("membership.fleet_messages.FleetRequest")
ALLOCATIONS = sample_documents("allocation.messages.AllocationRequest")
PERMITS = sample_documents("allocation.permits.PermitRequest")
ROOMS = sample_documents("allocation.rooms.RoomRequest")
HANDOVERS = sample_documents("lifecycle.handover_messages.HandoverRequest")


@strategies.composite
def odd_messages(draw, found):
    """Return the name of a message's type, and one with odd values as JSON."""
    name, document = draw(strategies.sampled_from(found))
    return name, draw(odd_documents.odd_documents(document))


def is_decoded(decode, *arguments):
    """Return whether a document was decoded; only a decoding error may be raised."""
    try:
        decode(*arguments)
    except decoding.DecodingError:
        return False
    return True


def run_virtual(work):
    """Run a coroutine function on a loop of its own."""
    return asyncio.run(work())


async def leading_node():
    """Return a node that has led long enough to allocate engines."""
    node = allocation_builders.AllocatorNode("ab")
    now_s = asyncio.get_running_loop().time()
    node.registry.active_since_s = now_s - 2 * allocator.REPORT_GATHER_S
    await node.registry.read_once()
    return node


class TestListOfServers:
    def read(self, body):
        """Return the servers of a page; ``None`` if it can't be read as a whole."""
        source = instances.InstanceList("127.0.0.1:1")

        async def read_page():
            page = await source.decode_page(body)
            source.next_page_token(page)
            return source.decode_servers(page)

        try:
            return run_virtual(read_page)
        except decoding.DecodingError:
            return None

    def check(self, servers):
        for each in servers or ():
            assert discovery.find_problem(each) is None
            assert ranges.ip_address_problem(each.address) is None

    @PROFILE
    @given(odd_documents.odd_documents(SOUND_ENTRY))
    def test_an_odd_entry_leaves_the_others(self, entry):
        sound = json.dumps({**SOUND_ENTRY, "id": "i-1"}).encode()
        servers = self.read(b'{"instances": [%s, %s], "next": null}' % (sound, entry))
        self.check(servers)
        assert servers is not None
        assert servers[0].id == "i-1"

    @PROFILE
    @given(odd_documents.odd_documents(PAGE))
    def test_an_odd_page(self, body):
        self.check(self.read(body))

    @PROFILE
    @given(odd_documents.damaged(json.dumps(PAGE).encode()))
    def test_a_damaged_page(self, body):
        self.check(self.read(body))

    @PROFILE
    @given(strategies.binary(max_size=200))
    def test_any_bytes(self, body):
        self.check(self.read(body))


class TestReplicas:
    """Reports, lists of kept memory and responses to moves."""

    @PROFILE
    @given(odd_documents.odd_documents(REPORT))
    def test_reports(self, body):
        is_decoded(decoding.decode_json, body, replicas.EngineReport)

    @PROFILE
    @given(odd_documents.odd_documents(CACHE_EVENTS))
    def test_cache_events(self, body):
        if is_decoded(decoding.decode_json, body, replicas.CacheEvents):
            events = decoding.decode_json(body, replicas.CacheEvents)
            assert len(f"{events.next}") < 20

    @PROFILE
    @given(
        odd_documents.odd_documents(MOVE),
        strategies.sampled_from([200, 404, 409, 503]),
        strategies.booleans(),
    )
    def test_moves(self, body, status, is_last):
        try:
            moved = replicas.read_move_response(status, body, is_last)
        except decoding.DecodingError:
            return
        if isinstance(moved, result.Success):
            copy = moved.unwrap()
            assert copy.copy_id.isprintable()
            assert " " not in copy.copy_id

    @PROFILE
    @given(odd_documents.odd_documents(ENGINE_LOAD))
    def test_load_of_an_own_engine(self, body):
        engine_http.decode_load(body)

    @PROFILE
    @given(odd_documents.odd_documents(ENGINE_STATE))
    def test_state_of_an_own_engine(self, body):
        engine_http.decode_state(body)


HEADER_TEXTS = strategies.one_of(
    strategies.text(max_size=30),
    strategies.sampled_from(
        [
            "",
            "9" * 20,
            "9" * 400,
            "9" * 5_000,
            "-1",
            "1e400",
            "nan",
            "\u0663",
            "\udcff",
            "5,5",
            f"{'9' * 400},5",
            f"5,{'9' * 5_000}",
            "a:1," * 2_000,
            ",,,",
        ]
    ),
)


class FakeMessage:
    """A request or response with nothing but a status and headers."""

    def __init__(self, name, text):
        import multidict

        self.status = 503
        self.headers = multidict.CIMultiDict({name: text})


class TestHeaders:
    @PROFILE
    @given(HEADER_TEXTS)
    def test_headers_of_callers(self, text):
        for name in (headers.DEADLINE_MS, headers.TOKEN_USAGE, headers.LENGTH_HINT):
            fields = {headers.TOKEN_USAGE: "5,5", name: text}
            left_s = headers.time_left_s(fields)
            assert left_s is None or 0 <= left_s <= ranges.MAX_DURATION_S
            size = headers.generation_size(fields)
            if size is not None:
                assert size.max_duration_s() >= 0
                assert size.need(1.0).tokens >= 0
        headers.organisation_key({"Authorization": f"Bearer {text}"})
        prefix = FakeMessage(headers.PROMPT_PREFIX, text)
        headers.shared_prompt_parts(prefix.headers)

    @PROFILE
    @given(HEADER_TEXTS)
    def test_headers_of_replicas(self, text):
        for name in (
            headers.RETRY_AFTER,
            headers.SERVER_LIMIT,
            headers.SERVER_BRITTLE,
            headers.SERVER_LEAVING,
        ):
            response = FakeMessage(name, text)
            retry_ms = headers.retry_after_ms(response)
            assert retry_ms is None or 0 <= retry_ms <= ranges.MAX_DURATION_MS
            headers.rate_notice(response)
            notice = headers.server_notice(response)
            assert 0 <= notice.rest_s <= ranges.MAX_DURATION_S
            engine_http.parse_retry_after_ms(response)

    def test_odd_headers_of_replicas_are_logged_within_a_bound(self):
        with logbook.TestHandler() as handler:
            for number in range(1_000):
                headers.retry_after_ms(FakeMessage(headers.RETRY_AFTER, f"x{number}"))
        assert len(handler.records) <= odd_values.LINES_PER_MINUTE


class TestOwnInterface:
    @PROFILE
    @given(odd_documents.odd_documents(COMPLETION))
    def test_completions(self, body):
        decoded = bodies.decode_body(body, False)
        if isinstance(decoded, result.Success):
            assert decoded.unwrap().requested_tokens() <= ranges.MAX_TOKENS
            bodies.sampling_parameters(body)


class TestPeers:
    @PROFILE
    @given(odd_messages(MESSAGES))
    def test_any_message_is_decoded_or_refused(self, odd):
        name, body = odd
        decoded = messages.decode(body, samples.message_types()[name])
        assert isinstance(decoded, result.Success | result.Failure)

    @PROFILE
    @given(odd_messages(FLEET_REPLIES))
    def test_a_gateway_follows_the_list_after_any_reply(self, odd):
        async def follow():
            links = control_links.ControlLinks(
                ids.VmId("127.0.0.1:7200"),
                (ids.VmId("127.0.0.2:7200"),),
                configuration.ConfigurationHolder(),
                fleet_view.FleetView(),
                channel=transports.FakeTransport(transports.FakeNetwork(), "gw-1"),
                source=None,
                make_request=None,
                rng=random.Random(1),
            )
            decoded = messages.decode(odd[1], fleet_messages.FleetReply)
            if isinstance(decoded, result.Success):
                links.apply_reply(decoded.unwrap())
                for known in links.view.servers.values():
                    assert discovery.find_problem(known.server) is None
            sound = (relay_servers.discovered("e-new"),)
            links.apply_reply(fleet_messages.FleetReply(True, servers=sound, version=9))
            assert list(links.view.servers) == ["e-new"]
            links.stop()

        run_virtual(follow)

    @PROFILE
    @given(odd_messages(FLEET_REQUESTS))
    def test_a_control_node_serves_others_after_any_report(self, odd):
        async def serve():
            node = await leading_node()
            registry = node.registry
            decoded = messages.decode(odd[1], fleet_messages.FleetRequest)
            if isinstance(decoded, result.Success):
                request = msgspec.structs.replace(decoded.unwrap(), wait_s=0.0)
                await registry.handle(request, None, ())
            sound = fleet_messages.FleetRequest(ids.VmId("127.0.0.9:7200"), 0, 0.0)
            reply = await registry.handle(sound, None, ())
            assert [each.id for each in reply.servers] == ["a", "b"]
            # The next reader must understand what this node passes on.
            again = messages.decode(messages.encode(reply), fleet_messages.FleetReply)
            assert isinstance(again, result.Success)
            assert (await node.allocator.handle(node.request())).grant is not None

        run_virtual(serve)

    @PROFILE
    @given(odd_messages(ALLOCATIONS + PERMITS + ROOMS))
    def test_a_control_node_decides_after_any_question(self, odd):
        async def decide():
            node = await leading_node()
            table = handlers.HandlerTable()
            desk = permits.PermitDesk(node.registry)
            room_desk = rooms.RoomDesk(node.registry)

            async def allocate(request):
                request = msgspec.structs.replace(request, wait_s=0.0)
                return result.Success(await node.allocator.handle(request))

            async def permit(request):
                return result.Success(desk.handle(request))

            async def room(request):
                return result.Success(room_desk.handle(request))

            table.add(allocation_messages.AllocationRequest, allocate)
            table.add(permits.PermitRequest, permit)
            table.add(rooms.RoomRequest, room)
            name, body = odd
            with logbook.TestHandler() as handler:
                await table.handle(name.rpartition(".")[2], body)
            assert not [e for e in handler.records if "failed" in e.message]
            assert (await node.allocator.handle(node.request())).grant is not None

        run_virtual(decide)

    @PROFILE
    @given(odd_messages(HANDOVERS))
    def test_a_request_that_is_handed_over(self, odd):
        async def take():
            decoded = messages.decode(odd[1], handover_messages.HandoverRequest)
            if isinstance(decoded, result.Success):
                try:
                    handover_messages.make_request(decoded.unwrap())
                except decoding.DecodingError:
                    return

        run_virtual(take)


class TestDesiredState:
    @PROFILE
    @given(odd_documents.odd_documents(standin.STATE))
    def test_it_is_invalid_or_can_be_published_and_put_in_force(self, body):
        try:
            state = desired_state.decode(body)
            declaration = desired_state.make_declaration(state)
        except (decoding.DecodingError, KeyError):
            return
        if checks.select_errors(checks.check_declaration(declaration)):
            return
        data = schema.encode(declaration)
        revision = ids.Revision(state.version)
        command = declared_state.PublishCommand(revision, data, body, "")
        assert msgspec.msgpack.encode(command)
        current = configuration.Configuration(revision, "d", data)
        for route in current.declaration.routes:
            assert 0 < route.timeout_ms / 1000 < float("inf")
            weights = [share.weight for share in route.shares]
            assert 0 < sum(weights) < float("inf")


class TestSettingsFile:
    @PROFILE
    @given(odd_documents.odd_documents(NODE_FILE))
    def test_odd_values(self, data):
        try:
            node = node_settings.decode(data)
        except decoding.DecodingError:
            return
        for vm in node.seed_vms:
            assert ranges.address_problem(vm) is None

    @PROFILE
    @given(odd_documents.damaged(json.dumps(NODE_FILE).encode()))
    def test_damaged_file(self, data):
        try:
            assert isinstance(node_settings.decode(data).seed_vms, tuple)
        except decoding.DecodingError:
            return

    def test_an_odd_seed_leaves_the_others(self):
        seeds = ["10.1.0.27:8748", "..:1", 5, None, ["a"], "10.2.0.23:99999"]
        data = json.dumps({**NODE_FILE, "seeds": seeds}).encode()
        assert node_settings.decode(data).seed_vms == ("10.1.0.27:7200",)


class TestTransport:
    @pytest.mark.parametrize(
        "peer",
        ["..:7200", "a" * 300 + ":7200", "127.0.0.1:99999", "127.0.0.1:x", "", "\0:1"],
    )
    async def test_a_peer_with_an_odd_address_is_unreachable(self, peer):
        from quetzalpass.wire import transport

        channel = transport.HttpTransport(transport.DirectAddresses(), "key")
        request = fleet_messages.FleetRequest(ids.VmId("gw-1"), 0, 0.0)
        reply = await channel.call(ids.VmId(peer), request, 1.0)
        assert isinstance(reply, result.Failure)
        await channel.close()
