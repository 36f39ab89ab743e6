"""Runs that must end at one server when their generation goes on at another one."""

import asyncio

import pytest

from fakes import relay_servers
from quetzalpass.backends import relays
from quetzalpass.relay import stream_segments
from relay import gateway_harness, test_relayed_streams

EVENT_COUNT = 60
# The rule allows two servers to work on a generation for 0.4 s.
MAX_OVERLAP_S = 0.4
MAX_PAUSE_S = 0.18

pytestmark = pytest.mark.looptime


class Scenario:
    """One stream on servers that go on with runs whose connections are closed."""

    def __init__(self, body_end=relays.BodyEnd.CHUNKS):
        self.harness = test_relayed_streams.engine_harness()
        for each in self.harness.servers:
            server = self.harness.server(each.id)
            server.keeps_runs = True
            server.body_end = body_end
        self.response = None
        self.task = None
        self.source = None

    async def start(self):
        self.response, self.task = await test_relayed_streams.start_stream(self.harness)
        self.source = test_relayed_streams.current_server(self.harness)

    async def start_move(self, **source_changes):
        await self.start()
        for name, value in source_changes.items():
            setattr(self.source, name, value)
        self.harness.mark_leaving(self.source.name)

    async def finish(self):
        await self.task
        return self.response

    @property
    def run(self):
        (run,) = self.harness.fleet.runs.values()
        return run

    @property
    def others(self):
        servers = self.harness.fleet.servers.values()
        return [each for each in servers if each is not self.source]

    def send_counts(self):
        """Return the number of sends to the first server and to all others."""
        return len(self.source.sent), sum(len(each.sent) for each in self.others)


def is_whole(response):
    return response.is_complete and response.data == gateway_harness.events(EVENT_COUNT)


@pytest.fixture
def without_backups(monkeypatch):
    test_relayed_streams.disable_backups(monkeypatch)


@pytest.mark.usefixtures("without_backups")
class TestMoves:
    @pytest.mark.parametrize("body_end", relays.BodyEnd)
    async def test_run_stops_before_it_goes_on_elsewhere(self, body_end):
        scenario = Scenario(body_end)
        await scenario.start_move()
        response = await scenario.finish()
        assert is_whole(response)
        assert scenario.send_counts() == (1, 1)
        assert scenario.run.overlap_s() == 0.0
        assert response.longest_pause_s() < MAX_PAUSE_S
        await asyncio.sleep(1.0)
        assert scenario.harness.fleet.copies == set()

    @pytest.mark.parametrize("body_end", relays.BodyEnd)
    async def test_run_that_has_ended_is_complete(self, body_end):
        scenario = Scenario(body_end)
        await scenario.start()
        scenario.source.copy_delay_s = 0.0
        while scenario.run.event_count < EVENT_COUNT:
            await asyncio.sleep(0.001)
        scenario.source.stop_failure = relay_servers.NO_SUCH_RUN
        scenario.harness.mark_leaving(scenario.source.name)
        assert is_whole(await scenario.finish())
        assert scenario.send_counts() == (1, 0)

    async def test_move_that_the_server_is_busy_for_is_tried_again(self):
        scenario = Scenario()
        await scenario.start_move(stop_failure=relay_servers.BUSY)
        while not scenario.source.stops:
            await asyncio.sleep(0.01)
        scenario.source.stop_failure = None
        assert is_whole(await scenario.finish())
        assert scenario.send_counts() == (1, 1)
        assert scenario.run.overlap_s() == 0.0

    async def test_run_that_does_not_stop_goes_on_where_it_is(self):
        scenario = Scenario()
        await scenario.start_move(stop_failure=relay_servers.SILENT)
        response = await scenario.finish()
        assert is_whole(response)
        assert scenario.send_counts() == (1, 0)
        assert response.longest_pause_s() < MAX_PAUSE_S

    @pytest.mark.parametrize("body_end", relays.BodyEnd)
    async def test_stop_without_a_response_resumes_from_the_copy(self, body_end):
        scenario = Scenario(body_end)
        await scenario.start_move(loses_stop_response=True)
        assert is_whole(await scenario.finish())
        assert scenario.send_counts() == (1, 1)
        assert scenario.run.overlap_s() == 0.0

    async def test_stop_that_waits_for_other_moves_makes_no_long_pause(self):
        scenario = Scenario()
        await scenario.start_move(stop_delay_s=1.5)
        response = await scenario.finish()
        assert is_whole(response)
        assert scenario.run.overlap_s() == 0.0
        assert response.longest_pause_s() < MAX_PAUSE_S

    @pytest.mark.parametrize("body_end", relays.BodyEnd)
    async def test_stop_without_room_resumes_at_the_first_server(self, body_end):
        scenario = Scenario(body_end)
        await scenario.start_move(has_no_room=True)
        response = await scenario.finish()
        assert is_whole(response)
        assert scenario.send_counts() == (2, 0)
        assert scenario.run.overlap_s() == 0.0
        assert response.longest_pause_s() < MAX_PAUSE_S

    async def test_first_server_gets_no_request_late_in_its_drain(self):
        scenario = Scenario()
        await scenario.start_move(has_no_room=True, refuses_copies=True)
        view = scenario.harness.view
        view.servers[scenario.source.name].leaving_since_s -= 3.0
        scenario.source.refuses_copies = False
        assert is_whole(await scenario.finish())
        assert scenario.send_counts() == (1, 1)

    async def test_refused_copy_resumes_at_the_first_server(self):
        scenario = Scenario()
        await scenario.start()
        for each in scenario.others:
            each.scripted_responses = [relay_servers.REFUSED]
        scenario.harness.mark_leaving(scenario.source.name)
        response = await scenario.finish()
        assert is_whole(response)
        assert scenario.send_counts() == (2, 1)
        assert scenario.run.overlap_s() == 0.0

    async def test_server_that_stops_between_the_calls_leaves_its_copy(self):
        scenario = Scenario()
        await scenario.start()
        copy_memory = scenario.source.copy_memory

        async def copy_and_die(*arguments):
            copied = await copy_memory(*arguments)
            scenario.source.is_dead = True
            return copied

        scenario.source.copy_memory = copy_and_die
        scenario.harness.mark_leaving(scenario.source.name)
        assert is_whole(await scenario.finish())
        assert scenario.send_counts() == (1, 1)

    async def test_run_whose_connection_is_reset_stops_before_the_copy_goes_on(self):
        scenario = Scenario()
        await scenario.start_move(stop_failure=relay_servers.BUSY)
        while not scenario.source.stops:
            await asyncio.sleep(0.01)
        scenario.source.stop_failure = None
        scenario.source.responses[0].close()
        assert is_whole(await scenario.finish())
        assert scenario.run.overlap_s() == 0.0

    async def test_run_is_not_stopped_without_a_retry_for_the_next_server(self):
        scenario = Scenario()
        rules = scenario.harness.budget.rules
        scenario.harness.budget.rules = type(rules)(ratio=0.0, extra=0.0)
        await scenario.start_move()
        assert is_whole(await scenario.finish())
        assert scenario.source.stops == []
        assert scenario.send_counts() == (1, 0)


class TestBackups:
    async def test_first_run_ends_soon_after_the_backup_goes_on(self):
        scenario = Scenario()
        await scenario.start_move()
        response = await scenario.finish()
        assert is_whole(response)
        assert scenario.send_counts() == (1, 1)
        assert scenario.run.overlap_s() < MAX_OVERLAP_S
        assert response.longest_pause_s() < MAX_PAUSE_S
        await asyncio.sleep(1.0)
        names = {holder for holder, _ in scenario.harness.fleet.copies}
        assert f"{scenario.source.name}:80" not in names

    async def test_first_run_stops_while_the_backup_does_not_respond(self):
        scenario = Scenario()
        await scenario.start()
        for each in scenario.others:
            each.delay_s = 0.6
        scenario.harness.mark_leaving(scenario.source.name)
        await asyncio.sleep(MAX_OVERLAP_S + 0.5)
        assert scenario.source.stops
        assert is_whole(await scenario.finish())
        assert scenario.run.overlap_s() == 0.0

    async def test_backup_that_refuses_late_leaves_the_first_server(self):
        scenario = Scenario()
        await scenario.start()
        for each in scenario.others:
            each.send = refuse_late
        scenario.harness.mark_leaving(scenario.source.name)
        assert is_whole(await scenario.finish())
        assert scenario.run.overlap_s() == 0.0

    async def test_server_whose_stream_is_silent_stops_before_the_backup_goes_on(self):
        scenario = Scenario()
        await scenario.start()
        scenario.source.is_silent = True
        response = await scenario.finish()
        assert is_whole(response)
        assert scenario.run.overlap_s() == 0.0
        silence_s = stream_segments.SILENCE_TIMEOUT_WITH_BACKUP_S
        assert response.longest_pause_s() < silence_s + 0.2

    async def test_server_that_responds_to_nothing_is_not_waited_for(self):
        scenario = Scenario()
        await scenario.start()
        scenario.source.is_silent = True
        scenario.source.stop_failure = relay_servers.SILENT
        response = await scenario.finish()
        assert is_whole(response)
        silence_s = stream_segments.SILENCE_TIMEOUT_WITH_BACKUP_S
        assert response.longest_pause_s() < silence_s + 0.2


async def refuse_late(call, options):
    await asyncio.sleep(0.6)
    return relay_servers.result.Failure(relay_servers.REFUSED)
