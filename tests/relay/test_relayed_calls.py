import asyncio
import enum

import msgspec
import pytest

from declarations import relay_builders
from fakes import relay_servers
from quetzalpass.backends import relays as backend_relays
from quetzalpass.declarations import relays
from quetzalpass.relay import request_routing, response_statuses
from relay import gateway_harness

UNKNOWN_KEY = "stolen"


def ledger_harness(count=3, **changes):
    servers = [
        relay_servers.discovered(f"l-{number}", "ledger", slots=6)
        for number in range(1, count + 1)
    ]
    declaration = relay_builders.declaration(relay_builders.route(**changes))
    return gateway_harness.GatewayHarness(servers, declaration=declaration)


def non_idempotent_harness(count=3):
    return ledger_harness(count, kind=relays.RouteKind.NON_IDEMPOTENT, attempts=1)


def total_send_count(harness):
    return sum(harness.send_count(each.id) for each in harness.servers)


@pytest.mark.looptime
class TestResponsesThatEndWithTheirConnection:
    async def serve(self, harness, is_crashing):
        for each in harness.servers:
            server = harness.server(each.id)
            server.body_end = backend_relays.BodyEnd.CLOSE
            server.delay_s = 0.1
        response, task = harness.start()
        await asyncio.sleep(0.05)
        for each in harness.servers:
            harness.server(each.id).is_dead = is_crashing and harness.send_count(
                each.id
            )
        await task
        return response

    async def test_response_of_a_running_server_is_complete(self):
        response = await self.serve(non_idempotent_harness(), is_crashing=False)
        assert response.status == 200
        assert response.data == b"whole"

    async def test_response_of_a_crashed_server_is_not_passed_on(self):
        harness = non_idempotent_harness()
        response = await self.serve(harness, is_crashing=True)
        assert response.status == response_statuses.STATUS_BAD_GATEWAY
        assert len(harness.gateway.suspects.suspects_by_crash) == 1

    async def test_idempotent_call_is_retried(self):
        harness = ledger_harness()
        response = await self.serve(harness, is_crashing=True)
        assert response.status == 200
        assert total_send_count(harness) == 2

    async def test_response_of_a_leaving_server_is_complete_but_acquits_nothing(self):
        harness = non_idempotent_harness(1)
        cleared = []
        harness.gateway.suspects.clear = lambda *args: cleared.append(args)
        response, task = harness.start()
        harness.server("l-1").body_end = backend_relays.BodyEnd.CLOSE
        harness.server("l-1").delay_s = 0.1
        await asyncio.sleep(0.05)
        harness.mark_leaving("l-1")
        await task
        assert response.status == 200
        assert cleared == []


class Departure(enum.Enum):
    """How a server stops that has been asked to stop."""

    LEAVING = "leaving"
    UNLISTED = "unlisted"

    def announce(self, harness, name):
        if self is Departure.LEAVING:
            harness.mark_leaving(name)
            return
        harness.servers = [each for each in harness.servers if each.id != name]
        harness.publish_server_list()


@pytest.mark.looptime
@pytest.mark.parametrize("departure", Departure)
class TestUnframedResponsesOfServersThatLeave:
    async def serve(self, harness, departure, is_stopping):
        for each in harness.servers:
            server = harness.server(each.id)
            server.body_end = backend_relays.BodyEnd.CLOSE
            server.delay_s = 0.1
        response, task = harness.start()
        await asyncio.sleep(0.05)
        (name,) = [each.id for each in harness.servers if harness.send_count(each.id)]
        harness.server(name).stops_at_end = is_stopping
        departure.announce(harness, name)
        await task
        await asyncio.sleep(5.0)
        assert harness.gateway.suspects.records == {}
        assert harness.gateway.suspects.in_flight == {}
        return response

    async def test_response_of_a_stopped_server_is_not_passed_on(self, departure):
        harness = non_idempotent_harness()
        response = await self.serve(harness, departure, is_stopping=True)
        assert response.status == response_statuses.STATUS_BAD_GATEWAY
        assert sum(len(each.sent) for each in harness.fleet.servers.values()) == 1

    async def test_repeatable_call_is_sent_again(self, departure):
        harness = ledger_harness()
        response = await self.serve(harness, departure, is_stopping=True)
        assert response.status == 200
        sends = [len(each.sent) for each in harness.fleet.servers.values()]
        assert sorted(sends)[-2:] == [1, 1]

    async def test_repeatable_call_without_attempts_is_not_sent_again(self, departure):
        harness = ledger_harness(attempts=1)
        response = await self.serve(harness, departure, is_stopping=True)
        assert response.status == response_statuses.STATUS_BAD_GATEWAY
        assert sum(len(each.sent) for each in harness.fleet.servers.values()) == 1

    async def test_response_of_a_server_that_still_runs_is_complete(self, departure):
        harness = non_idempotent_harness()
        response = await self.serve(harness, departure, is_stopping=False)
        assert response.status == 200
        assert response.data == b"whole"


@pytest.mark.looptime
class TestUnframedResponsesOfRestartedServers:
    async def test_response_that_ended_before_a_restart_is_not_passed_on(self):
        harness = non_idempotent_harness(1)
        harness.servers = [
            msgspec.structs.replace(harness.servers[0], started_ms=1_000)
        ]
        harness.publish_server_list()
        harness.server("l-1").body_end = backend_relays.BodyEnd.CLOSE
        harness.server("l-1").delay_s = 0.1
        response, task = harness.start()
        await asyncio.sleep(0.05)
        harness.servers = [
            msgspec.structs.replace(harness.servers[0], started_ms=9_000)
        ]
        harness.publish_server_list()
        await task
        assert response.status == response_statuses.STATUS_BAD_GATEWAY


@pytest.mark.looptime
class TestRouting:
    async def test_without_declaration_response_says_not_run(self):
        harness = ledger_harness()
        harness.holder.current = None
        response = await harness.serve()
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert float(response.header("Retry-After")) > 0

    async def test_request_waits_for_the_first_declaration(self):
        harness = ledger_harness()
        current, harness.holder.current = harness.holder.current, None
        response, task = harness.start(time_left_s=1.5)
        await asyncio.sleep(0.4)
        harness.holder.put_in_force(current)
        await task
        assert response.status == 200

    async def test_wait_for_declaration_ends_well_before_the_deadline(self):
        harness = ledger_harness()
        harness.holder.current = None
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        response = await harness.serve(time_left_s=1.5)
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert loop.time() - start_s < 0.75

    async def test_unknown_path_or_host_is_not_found(self):
        harness = ledger_harness()
        assert (await harness.serve("/other/1")).status == 404
        assert (await harness.serve(host="else.example")).status == 404
        assert total_send_count(harness) == 0

    async def test_unknown_key_is_refused_except_on_public_routes(self):
        harness = ledger_harness()
        assert (await harness.serve(key=UNKNOWN_KEY)).status == 401
        assert (await harness.serve(key=None)).status == 401
        public = ledger_harness(public=True)
        assert (await public.serve(key=None)).status == 200

    async def test_longest_prefix_wins(self):
        harness = gateway_harness.GatewayHarness(
            [],
            declaration=relay_builders.declaration(
                relay_builders.route(name="wide", path_prefix="/a/"),
                relay_builders.route(name="narrow", path_prefix="/a/b/"),
            ),
        )
        current = harness.holder.current
        assert current.find_route("desk.example", "/a/b/c").name == "narrow"
        assert current.find_route("DESK.example", "/a/bc").name == "wide"
        assert current.find_route("desk.example", "/a") is None

    async def test_split_is_stable_and_follows_the_weights(self):
        route = relay_builders.route(
            shares=(
                relays.ServiceShare("one", 3),
                relays.ServiceShare("two", 1),
                relays.ServiceShare("never", 0),
            )
        )
        chosen = [
            request_routing.choose_service(route, f"r-{each}") for each in range(4000)
        ]
        assert chosen == [
            request_routing.choose_service(route, f"r-{each}") for each in range(4000)
        ]
        assert 0.7 < chosen.count("one") / len(chosen) < 0.8
        assert "never" not in chosen


@pytest.mark.looptime
class TestCalls:
    async def test_response_is_relayed_unchanged(self):
        harness = ledger_harness()
        response = await harness.serve()
        assert (response.status, response.data) == (200, b"whole")
        assert response.header("Signature") == "s"

    async def test_failure_is_retried_on_another_server(self):
        harness = ledger_harness(2)
        for each in harness.servers:
            harness.server(each.id).scripted_responses = [500, 200]
        response = await harness.serve()
        assert total_send_count(harness) == 2
        assert response.status == 500
        assert (await harness.serve()).status == 200

    async def test_attempts_are_limited_to_the_declared_number(self):
        harness = ledger_harness(3)
        for each in harness.servers:
            harness.server(each.id).scripted_responses = [500] * 9
        assert (await harness.serve()).status == 500
        assert total_send_count(harness) == 2

    async def test_non_idempotent_call_is_resent_after_a_refusal(self):
        harness = non_idempotent_harness(3)
        for each in harness.servers:
            harness.server(each.id).scripted_responses = [relay_servers.REFUSED]
        harness.server("l-1").scripted_responses = []
        response = await harness.serve()
        assert response.status == 200

    async def test_non_idempotent_call_is_not_retried_after_a_break(self):
        harness = non_idempotent_harness(3)
        for each in harness.servers:
            harness.server(each.id).scripted_responses = [relay_servers.LOST]
        response = await harness.serve()
        assert response.status == response_statuses.STATUS_BAD_GATEWAY
        assert total_send_count(harness) == 1

    async def test_refusal_by_all_servers_says_not_run_and_when_to_retry(self):
        harness = non_idempotent_harness(2)
        for each in harness.servers:
            harness.server(each.id).scripted_responses = [relay_servers.REFUSED] * 9
        response = await harness.serve()
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert 0 < float(response.header("Retry-After")) <= 0.8 / 3

    async def test_503_without_the_not_run_marker_is_not_relayed(self):
        harness = non_idempotent_harness(1)
        harness.server("l-1").scripted_responses = [503]
        assert (await harness.serve()).status == response_statuses.STATUS_BAD_GATEWAY

    async def test_unresponsive_server_leaves_time_for_a_retry(self):
        harness = ledger_harness(2)
        harness.server("l-1").delay_s = harness.server("l-2").delay_s = 60.0
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        response, task = harness.start()
        await asyncio.sleep(0.01)
        slow = next(each.id for each in harness.servers if harness.send_count(each.id))
        for each in harness.servers:
            if each.id != slow:
                harness.server(each.id).delay_s = 0.0
        await task
        assert response.status == 200
        assert loop.time() - start_s < 0.5

    async def test_deadline_of_the_route_ends_the_wait(self):
        harness = non_idempotent_harness(1)
        harness.server("l-1").delay_s = 60.0
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        response = await harness.serve()
        assert response.status == response_statuses.STATUS_TIMEOUT
        assert loop.time() - start_s == pytest.approx(0.8, abs=0.05)

    async def test_servers_get_no_more_time_than_the_caller_has(self):
        harness = ledger_harness(1)
        await harness.serve(time_left_s=0.3)
        (_, options) = harness.server("l-1").sent[0]
        assert options.time_left_s <= 0.3

    async def test_retries_stay_within_the_budget(self):
        harness = ledger_harness(2)
        for each in harness.servers:
            harness.server(each.id).scripted_responses = [500] * 1000
        for _ in range(200):
            await harness.serve()
        retries = total_send_count(harness) - 200
        rules = harness.budget.rules
        assert 0 < retries <= rules.ratio * 200 + rules.extra

    async def test_broken_body_is_a_failure(self):
        harness = non_idempotent_harness(1)
        harness.server("l-1").body_failure = relay_servers.LOST
        response = await harness.serve()
        assert response.status == response_statuses.STATUS_BAD_GATEWAY
