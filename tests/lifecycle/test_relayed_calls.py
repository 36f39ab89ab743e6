import asyncio

import pytest

from declarations import relay_builders
from fakes import relay_servers
from lifecycle import relaying_kit
from quetzalpass.declarations import relays
from quetzalpass.lifecycle import relay_gateway

KEY_OF_NOBODY = "stolen"


def ledger_kit(count=3, **changes):
    servers = [
        relay_servers.discovered(f"l-{number}", "ledger", slots=6)
        for number in range(1, count + 1)
    ]
    declaration = relay_builders.declaration(relay_builders.route(**changes))
    return relaying_kit.Kit(servers, declaration=declaration)


def once_kit(count=3):
    return ledger_kit(count, kind=relays.RouteKind.NON_IDEMPOTENT, attempts=1)


def total_sends(kit):
    return sum(kit.sends(each.id) for each in kit.servers)


@pytest.mark.looptime
class TestRouting:
    async def test_without_a_declaration_the_request_has_not_run(self):
        kit = ledger_kit()
        kit.holder.current = None
        response = await kit.serve()
        assert response.status == relay_gateway.STATUS_NOT_RUN
        assert float(response.header("Retry-After")) > 0

    async def test_right_after_the_start_a_request_waits_for_the_declaration(self):
        kit = ledger_kit()
        current, kit.holder.current = kit.holder.current, None
        response, task = kit.start(time_left_s=1.5)
        await asyncio.sleep(0.4)
        kit.holder.put_in_force(current)
        await task
        assert response.status == 200

    async def test_without_a_declaration_nobody_is_held_to_the_end(self):
        kit = ledger_kit()
        kit.holder.current = None
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        response = await kit.serve(time_left_s=1.5)
        assert response.status == relay_gateway.STATUS_NOT_RUN
        assert loop.time() - began_s < 0.75

    async def test_an_unknown_place_is_not_found(self):
        kit = ledger_kit()
        assert (await kit.serve("/other/1")).status == 404
        assert (await kit.serve(host="else.example")).status == 404
        assert total_sends(kit) == 0

    async def test_an_unknown_key_is_refused_and_a_public_route_needs_none(self):
        kit = ledger_kit()
        assert (await kit.serve(key=KEY_OF_NOBODY)).status == 401
        assert (await kit.serve(key=None)).status == 401
        public = ledger_kit(public=True)
        assert (await public.serve(key=None)).status == 200

    async def test_the_longest_prefix_wins(self):
        kit = relaying_kit.Kit(
            [],
            declaration=relay_builders.declaration(
                relay_builders.route(name="wide", path_prefix="/a/"),
                relay_builders.route(name="narrow", path_prefix="/a/b/"),
            ),
        )
        current = kit.holder.current
        assert current.find_route("desk.example", "/a/b/c").name == "narrow"
        assert current.find_route("DESK.example", "/a/bc").name == "wide"
        assert current.find_route("desk.example", "/a") is None

    async def test_a_split_is_stable_and_follows_the_weights(self):
        route = relay_builders.route(
            shares=(
                relays.ServiceShare("one", 3),
                relays.ServiceShare("two", 1),
                relays.ServiceShare("never", 0),
            )
        )
        chosen = [relay_gateway.service_of(route, f"r-{each}") for each in range(4000)]
        assert chosen == [
            relay_gateway.service_of(route, f"r-{each}") for each in range(4000)
        ]
        assert 0.7 < chosen.count("one") / len(chosen) < 0.8
        assert "never" not in chosen


@pytest.mark.looptime
class TestCalls:
    async def test_an_answer_is_passed_on_unchanged(self):
        kit = ledger_kit()
        response = await kit.serve()
        assert (response.status, response.data) == (200, b"whole")
        assert response.header("Signature") == "s"

    async def test_a_failure_is_tried_on_another_server(self):
        kit = ledger_kit(2)
        for each in kit.servers:
            kit.server(each.id).scripted_responses = [500, 200]
        response = await kit.serve()
        assert total_sends(kit) == 2
        assert response.status == 500
        assert (await kit.serve()).status == 200

    async def test_no_more_servers_run_it_than_declared(self):
        kit = ledger_kit(3)
        for each in kit.servers:
            kit.server(each.id).scripted_responses = [500] * 9
        assert (await kit.serve()).status == 500
        assert total_sends(kit) == 2

    async def test_what_must_run_once_is_sent_again_only_when_it_has_not_run(self):
        kit = once_kit(3)
        for each in kit.servers:
            kit.server(each.id).scripted_responses = [relay_servers.REFUSED]
        kit.server("l-1").scripted_responses = []
        response = await kit.serve()
        assert response.status == 200

    async def test_what_must_run_once_is_not_repeated_after_a_break(self):
        kit = once_kit(3)
        for each in kit.servers:
            kit.server(each.id).scripted_responses = [relay_servers.LOST]
        response = await kit.serve()
        assert response.status == relay_gateway.STATUS_BAD_GATEWAY
        assert total_sends(kit) == 1

    async def test_refused_by_all_says_not_run_with_a_time_to_return(self):
        kit = once_kit(2)
        for each in kit.servers:
            kit.server(each.id).scripted_responses = [relay_servers.REFUSED] * 9
        response = await kit.serve()
        assert response.status == relay_gateway.STATUS_NOT_RUN
        assert 0 < float(response.header("Retry-After")) <= 0.8 / 3

    async def test_a_promise_without_the_marker_is_not_passed_on(self):
        kit = once_kit(1)
        kit.server("l-1").scripted_responses = [503]
        assert (await kit.serve()).status == relay_gateway.STATUS_BAD_GATEWAY

    async def test_a_mute_server_leaves_time_for_another(self):
        kit = ledger_kit(2)
        kit.server("l-1").delay_s = kit.server("l-2").delay_s = 60.0
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        response, task = kit.start()
        await asyncio.sleep(0.01)
        slow = next(each.id for each in kit.servers if kit.sends(each.id))
        for each in kit.servers:
            if each.id != slow:
                kit.server(each.id).delay_s = 0.0
        await task
        assert response.status == 200
        assert loop.time() - began_s < 0.5

    async def test_the_deadline_of_the_route_ends_the_wait(self):
        kit = once_kit(1)
        kit.server("l-1").delay_s = 60.0
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        response = await kit.serve()
        assert response.status == relay_gateway.STATUS_TIMEOUT
        assert loop.time() - began_s == pytest.approx(0.8, abs=0.05)

    async def test_the_servers_get_no_more_time_than_the_caller_has(self):
        kit = ledger_kit(1)
        await kit.serve(time_left_s=0.3)
        (_, options) = kit.server("l-1").sent[0]
        assert options.time_left_s <= 0.3

    async def test_repeats_stay_within_the_budget(self):
        kit = ledger_kit(2)
        for each in kit.servers:
            kit.server(each.id).scripted_responses = [500] * 1000
        for _ in range(200):
            await kit.serve()
        repeats = total_sends(kit) - 200
        rules = kit.budget.rules
        assert 0 < repeats <= rules.ratio * 200 + rules.extra

    async def test_a_broken_body_is_no_answer(self):
        kit = once_kit(1)
        kit.server("l-1").body_failure = relay_servers.LOST
        response = await kit.serve()
        assert response.status == relay_gateway.STATUS_BAD_GATEWAY
