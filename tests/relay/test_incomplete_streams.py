"""Streams whose body ends in an orderly way before the generation does."""

import asyncio

import pytest

from fakes import relay_servers
from quetzalpass.backends import relays
from quetzalpass.relay import relay_reservations, relayed_streams
from relay import gateway_harness

EVENT_COUNT = 60
TORN_BYTES = 9

pytestmark = pytest.mark.looptime


class Scenario:
    """One stream, whose first server is known once it has begun."""

    def __init__(self, names="abc"):
        servers = [relay_servers.discovered(f"e-{name}") for name in names]
        self.harness = gateway_harness.GatewayHarness(servers, length=EVENT_COUNT)
        for each in servers:
            self.harness.server(each.id).body_end = relays.BodyEnd.CLOSE
        self.response = None
        self.task = None

    async def start(self, events=5):
        self.response, self.task = self.harness.start("/drafts/1")
        while self.response.data.count(b"id:") < events:
            await asyncio.sleep(0.01)
        return self.current_server()

    def current_server(self):
        (run,) = self.harness.fleet.runs.values()
        (owner,) = run.owners
        return owner

    def others(self, server):
        return [
            self.harness.server(each.id)
            for each in self.harness.servers
            if each.id != server.name
        ]

    async def finish(self):
        await self.task
        return self.response


def is_whole(response):
    return response.is_complete and response.data == gateway_harness.events(EVENT_COUNT)


def is_broken_off(response):
    """Return whether a response is visibly incomplete, with whole events only."""
    count = response.data.count(b"id:")
    return (
        response.is_aborted
        and not response.is_complete
        and response.data == gateway_harness.events(count)
    )


def end_early(server, at, torn_bytes=TORN_BYTES):
    server.ends_at = at
    server.torn_bytes = torn_bytes


class TestResumes:
    async def test_stream_that_ends_inside_an_event_resumes_from_its_backup(self):
        scenario = Scenario()
        server = await scenario.start()
        end_early(server, at=20)
        response = await scenario.finish()
        assert is_whole(response)
        assert scenario.harness.reservations.uses == {}

    @pytest.mark.parametrize("torn_bytes", [0, TORN_BYTES])
    async def test_first_event_that_is_torn_is_produced_by_the_backup(self, torn_bytes):
        scenario = Scenario()
        for each in scenario.harness.servers:
            end_early(scenario.harness.server(each.id), 1, torn_bytes)
        scenario.response, scenario.task = scenario.harness.start("/drafts/1")
        await asyncio.sleep(relay_servers.STEP_S / 2)
        for each in scenario.others(scenario.current_server()):
            each.ends_at = None
        assert is_whole(await scenario.finish())

    @pytest.mark.parametrize("torn_bytes", [0, TORN_BYTES])
    async def test_resumed_stream_without_events_is_not_complete(self, torn_bytes):
        scenario = Scenario("ab")
        server = await scenario.start()
        end_early(server, at=20)
        for each in scenario.others(server):
            end_early(each, at=20, torn_bytes=torn_bytes)
        assert is_broken_off(await scenario.finish())

    async def test_resumed_stream_that_is_torn_resumes_from_its_own_backup(self):
        scenario = Scenario("abc")
        server = await scenario.start()
        end_early(server, at=20)
        for each in scenario.others(server):
            end_early(each, at=40)
        while scenario.response.data.count(b"id:") < 25:
            await asyncio.sleep(0.01)
        last_server = scenario.current_server()
        for each in scenario.others(last_server):
            each.ends_at = None
        assert is_whole(await scenario.finish())


class TestMoves:
    @pytest.mark.parametrize("body_end", relays.BodyEnd)
    async def test_next_server_that_sends_no_event_does_not_replace_the_first(
        self, body_end
    ):
        scenario = Scenario()
        server = await scenario.start()
        for each in scenario.others(server):
            end_early(each, ANY_EVENT, torn_bytes=0)
            each.body_end = body_end
        scenario.harness.mark_leaving(server.name)
        assert is_whole(await scenario.finish())

    async def test_next_server_that_tears_its_first_event_breaks_off(self):
        scenario = Scenario()
        server = await scenario.start()
        for each in scenario.others(server):
            end_early(each, ANY_EVENT)
        scenario.harness.mark_leaving(server.name)
        response = await scenario.finish()
        assert is_whole(response) or is_broken_off(response)

    async def test_source_that_ends_before_the_events_it_has_reported_resumes(
        self, monkeypatch
    ):
        monkeypatch.setattr(
            relay_reservations.ServerReservations, "assign_backup", assign_no_backup
        )
        scenario = Scenario()
        server = await scenario.start()
        run = next(iter(scenario.harness.fleet.runs.values()))
        for each in scenario.others(server):
            each.delay_s = 0.3
        scenario.harness.mark_leaving(server.name)
        while not scenario.harness.fleet.copies:
            run.event_count += 1
            await asyncio.sleep(0.01)
        stream = next(iter(scenario.harness.gateway.streams.values()))
        server.ends_at = stream.segment.server_response.next_event
        assert is_whole(await scenario.finish())


class TestServersThatLeave:
    """A server leaves as announced and stops: its kernel ends bodies between events."""

    async def start(self, monkeypatch, has_backup, is_unlisted=False):
        if not has_backup:
            monkeypatch.setattr(
                relay_reservations.ServerReservations, "assign_backup", assign_no_backup
            )
            monkeypatch.setattr(
                relay_reservations.ServerReservations,
                "reserve_move_target",
                reserve_no_target,
            )
        monkeypatch.setattr(
            relayed_streams.RelayedStream, "start_move", lambda stream: None
        )
        scenario = Scenario()
        server = await scenario.start()
        if is_unlisted:
            harness = scenario.harness
            harness.servers = [
                each for each in harness.servers if each.id != server.name
            ]
            harness.publish_server_list()
        else:
            scenario.harness.mark_leaving(server.name)
        return scenario, server

    @pytest.mark.parametrize("is_unlisted", [False, True])
    async def test_stream_of_a_server_that_stops_is_broken_off(
        self, monkeypatch, is_unlisted
    ):
        scenario, server = await self.start(monkeypatch, False, is_unlisted)
        end_early(server, at=20, torn_bytes=0)
        server.stops_at_end = True
        assert is_broken_off(await scenario.finish())
        await asyncio.sleep(5.0)
        assert scenario.harness.gateway.suspects.records == {}
        assert scenario.harness.reservations.uses == {}

    @pytest.mark.parametrize("is_unlisted", [False, True])
    async def test_stream_of_a_server_that_stops_resumes_from_its_backup(
        self, monkeypatch, is_unlisted
    ):
        scenario, server = await self.start(monkeypatch, True, is_unlisted)
        end_early(server, at=20, torn_bytes=0)
        server.stops_at_end = True
        assert is_whole(await scenario.finish())

    @pytest.mark.parametrize("is_unlisted", [False, True])
    async def test_whole_stream_of_a_server_that_still_runs_is_complete(
        self, monkeypatch, is_unlisted
    ):
        scenario, _ = await self.start(monkeypatch, False, is_unlisted)
        assert is_whole(await scenario.finish())

    async def test_resumed_stream_whose_server_stops_is_broken_off(self, monkeypatch):
        scenario = Scenario("ab")
        server = await scenario.start()
        end_early(server, at=20)
        (other,) = scenario.others(server)
        while scenario.response.data.count(b"id:") < 25:
            await asyncio.sleep(0.01)
        end_early(other, at=30, torn_bytes=0)
        other.stops_at_end = True
        scenario.harness.mark_leaving(server.name)
        scenario.harness.mark_leaving(other.name)
        assert is_broken_off(await scenario.finish())


class TestProbes:
    async def test_probe_that_began_before_the_end_shows_nothing(self, monkeypatch):
        scenario = Scenario("a")
        server = await scenario.start()
        is_up = True

        async def check_health(timeout_s):
            found = is_up and not server.is_dead
            await asyncio.sleep(0.2)
            return found

        server.check_health = check_health
        probes = scenario.harness.gateway.crash_checks.probes
        end_early(server, at=server_events(scenario) + 3, torn_bytes=0)
        server.stops_at_end = True
        early = asyncio.create_task(
            probes.probe(scenario.harness.view.servers[server.name].server)
        )
        assert is_broken_off(await scenario.finish())
        await early


def server_events(scenario):
    return scenario.response.data.count(b"id:")


async def reserve_no_target(reservations, routed, need, source):
    return None


class AnyEvent:
    """Equal to every event number."""

    def __eq__(self, other):
        return True


ANY_EVENT = AnyEvent()


def assign_no_backup(reservations, routed, reservation):
    return None
