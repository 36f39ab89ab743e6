"""Runs whose response or whose stop was lost, while their generation goes on elsewhere.

A server may work on a request although its response was reset (review/13).
"""

import asyncio

import pytest

from fakes import relay_servers
from quetzalpass.backends import base
from relay import gateway_harness, test_relayed_streams
from relay.test_stopped_runs import EVENT_COUNT, MAX_OVERLAP_S, Scenario, is_whole

pytestmark = pytest.mark.looptime

# Longer than all orders to stop that are repeated.
AFTER_S = 15.0


class LosingScenario(Scenario):
    """A stream on six servers, any of which may lose responses and orders."""

    def __init__(self):
        super().__init__()
        self.harness = gateway_harness.GatewayHarness(
            [relay_servers.discovered(f"e-{name}") for name in "abcdef"],
            length=EVENT_COUNT,
        )
        for each in self.harness.servers:
            self.harness.server(each.id).keeps_runs = True

    def backup(self):
        """Return the server that has the backup of the stream."""
        (stream,) = self.harness.gateway.streams.values()
        return self.harness.server(stream.segment.reservation.backup.id)

    def servers_with_runs(self):
        return [each.name for each in self.run.owners]


def lose_responses(server, failure=relay_servers.LOST, count=1, delay_s=0.0):
    """Let a server begin the next requests and lose their responses."""
    send = server.send
    left = [count]

    async def send_and_lose(call, options):
        sent = await send(call, options)
        if not left[0] or isinstance(sent, relay_servers.result.Failure):
            return sent
        left[0] -= 1
        await asyncio.sleep(delay_s)
        return relay_servers.result.Failure(failure)

    server.send = send_and_lose


def lose_stops(server, count, failure=relay_servers.LOST):
    """Let a server lose orders to stop before they have any effect."""
    stop_run = server.stop_run
    left = [count]

    async def stop_or_lose(*arguments):
        if left[0]:
            left[0] -= 1
            server.stops.append("lost")
            return relay_servers.result.Failure(failure)
        return await stop_run(*arguments)

    server.stop_run = stop_or_lose


class TestLostResponses:
    @pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.6])
    @pytest.mark.parametrize(
        "failure",
        [
            relay_servers.LOST,
            relay_servers.SILENT,
            relay_servers.failure(
                base.AttemptEnd.MAY_HAVE_RUN, base.FailureKind.MALFORMED
            ),
        ],
    )
    async def test_backup_whose_response_is_lost_does_not_work_on(
        self, failure, delay_s
    ):
        scenario = LosingScenario()
        await scenario.start()
        backup = scenario.backup()
        lose_responses(backup, failure, delay_s=delay_s)
        scenario.harness.mark_leaving(scenario.source.name)
        response = await scenario.finish()
        assert is_whole(response)
        assert backup.stops
        assert scenario.run.overlap_s() < MAX_OVERLAP_S

    @pytest.mark.parametrize("lost_stops", [1, 2])
    async def test_lost_order_to_a_lost_backup_is_repeated(self, lost_stops):
        scenario = LosingScenario()
        await scenario.start()
        backup = scenario.backup()
        lose_responses(backup)
        lose_stops(backup, lost_stops)
        scenario.harness.mark_leaving(scenario.source.name)
        assert is_whole(await scenario.finish())
        assert backup not in scenario.run.owners
        assert scenario.run.overlap_s() < MAX_OVERLAP_S

    async def test_response_that_breaks_before_its_first_event_counts_as_lost(self):
        scenario = LosingScenario()
        await scenario.start()
        backup = scenario.backup()
        send = backup.send

        async def send_and_break(call, options):
            sent = await send(call, options)
            sent.unwrap().is_closed = True
            return sent

        backup.send = send_and_break
        scenario.harness.mark_leaving(scenario.source.name)
        response = await scenario.finish()
        assert is_whole(response)
        assert scenario.run.overlap_s() < MAX_OVERLAP_S

    async def test_first_server_stops_although_no_other_has_room(self, monkeypatch):
        scenario = LosingScenario()
        await scenario.start()
        lose_responses(scenario.backup())

        async def reserve_none(*arguments):
            return None

        reservations = scenario.harness.reservations
        monkeypatch.setattr(reservations, "reserve_move_target", reserve_none)
        scenario.harness.mark_leaving(scenario.source.name)
        assert is_whole(await scenario.finish())
        assert scenario.run.overlap_s() < MAX_OVERLAP_S

    async def test_backup_that_has_not_begun_leaves_the_first_server(self):
        scenario = LosingScenario()
        await scenario.start()
        backup = scenario.backup()
        backup.scripted_responses = [relay_servers.LOST]
        scenario.harness.mark_leaving(scenario.source.name)
        response = await scenario.finish()
        assert is_whole(response)
        assert scenario.run.overlap_s() == 0.0
        assert response.longest_pause_s() < 0.18

    async def test_copies_of_ended_runs_are_deleted(self):
        scenario = LosingScenario()
        await scenario.start()
        backup = scenario.backup()
        lose_responses(backup)
        scenario.harness.mark_leaving(scenario.source.name)
        await scenario.finish()
        await asyncio.sleep(AFTER_S)
        holders = {holder for holder, _ in scenario.harness.fleet.copies}
        assert f"{backup.name}:80" not in holders

    async def test_abandoned_resume_is_stopped(self):
        """The wait for a server that doesn't respond ends with the move."""
        scenario = LosingScenario()
        await scenario.start()
        backup = scenario.backup()
        lose_responses(backup, relay_servers.SILENT, delay_s=60.0)
        scenario.harness.mark_leaving(scenario.source.name)
        await scenario.finish()
        await asyncio.sleep(AFTER_S)
        assert backup not in scenario.run.owners


class TestLostStops:
    async def test_lost_order_after_a_backup_took_over_is_repeated(self):
        scenario = LosingScenario()
        await scenario.start()
        lose_stops(scenario.source, 1)
        scenario.harness.mark_leaving(scenario.source.name)
        assert is_whole(await scenario.finish())
        assert scenario.run.overlap_s() < MAX_OVERLAP_S

    @pytest.mark.parametrize(
        "failure", [relay_servers.LOST, relay_servers.BUSY, relay_servers.NOT_SENT]
    )
    async def test_lost_order_to_a_broken_off_run_is_repeated(self, failure):
        scenario = LosingScenario()
        await scenario.start()
        lose_stops(scenario.source, 2, failure)
        scenario.source.responses[0].is_closed = True
        assert is_whole(await scenario.finish())
        assert scenario.run.overlap_s() < MAX_OVERLAP_S

    async def test_orders_end_with_the_entry_of_the_server(self):
        scenario = LosingScenario()
        await scenario.start()
        scenario.source.stop_failure = relay_servers.NOT_SENT
        scenario.source.responses[0].is_closed = True
        await scenario.finish()
        harness = scenario.harness
        harness.servers = [
            each for each in harness.servers if each.id != scenario.source.name
        ]
        harness.publish_server_list()
        await asyncio.sleep(1.0)
        count = len(scenario.source.stops)
        await asyncio.sleep(AFTER_S)
        assert len(scenario.source.stops) == count

    async def test_orders_to_a_server_that_never_responds_end(self):
        scenario = LosingScenario()
        await scenario.start()
        scenario.source.stop_failure = relay_servers.NOT_SENT
        scenario.source.responses[0].is_closed = True
        await scenario.finish()
        await asyncio.sleep(AFTER_S)
        count = len(scenario.source.stops)
        assert count < 30
        await asyncio.sleep(AFTER_S)
        assert len(scenario.source.stops) == count


class TestFirstSends:
    async def test_lost_first_send_goes_on_nowhere(self):
        """Nothing goes on elsewhere, so the close of the connection is enough."""
        harness = test_relayed_streams.engine_harness("ab")
        for each in harness.servers:
            lose_responses(harness.server(each.id))
        response = await harness.serve("/drafts/1")
        assert response.status == 502
        assert sum(harness.send_count(each.id) for each in harness.servers) == 1
