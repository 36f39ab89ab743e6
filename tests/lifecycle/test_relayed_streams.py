import asyncio

import pytest

from declarations import relay_builders
from fakes import relay_servers
from lifecycle import relaying_kit
from quetzalpass.lifecycle import relay_gateway, relayed_streams

MANY = 60


def engine_kit(names="abc", length=MANY):
    servers = [relay_servers.discovered(f"e-{name}") for name in names]
    return relaying_kit.Kit(servers, length=length)


def runner_of(kit):
    """Return the server that runs the only generation now."""
    (run,) = kit.fleet.runs.values()
    (owner,) = run.owners
    return owner


async def started(kit, events=5):
    response, task = kit.start("/drafts/1")
    while response.data.count(b"id:") < events:
        await asyncio.sleep(0.01)
    return response, task


def without_backups(monkeypatch):
    monkeypatch.setattr(relay_gateway.relay_places.Places, "give_backup", no_backup)


def no_backup(places, routed, place):
    return None


@pytest.mark.looptime
class TestStreams:
    async def test_events_pass_unchanged_and_in_order(self):
        kit = engine_kit()
        response = await kit.serve("/drafts/1")
        assert response.data == relaying_kit.events(MANY)
        assert response.is_complete
        assert kit.places.uses == {}

    async def test_a_refusal_before_the_start_goes_to_another_engine(self):
        kit = engine_kit("ab")
        for name in ("e-a", "e-b"):
            kit.server(name).scripted_responses = [relay_servers.REFUSED]
        response = await kit.serve("/drafts/1")
        assert response.is_complete
        assert response.data == relaying_kit.events(MANY)

    async def test_a_break_before_the_head_is_not_repeated(self):
        kit = engine_kit()
        for name in ("e-a", "e-b", "e-c"):
            kit.server(name).scripted_responses = [relay_servers.LOST]
        response = await kit.serve("/drafts/1")
        assert response.status == relay_gateway.STATUS_BAD_GATEWAY
        assert sum(kit.sends(each.id) for each in kit.servers) == 1

    async def test_a_dead_server_is_replaced_by_the_backup(self):
        kit = engine_kit()
        response, task = await started(kit)
        runner_of(kit).is_dead = True
        await task
        assert response.is_complete
        assert response.data == relaying_kit.events(MANY)

    async def test_without_a_copy_the_answer_does_not_look_complete(self, monkeypatch):
        without_backups(monkeypatch)
        kit = engine_kit()
        response, task = await started(kit)
        runner_of(kit).is_dead = True
        await task
        assert response.is_aborted
        assert not response.is_complete

    async def test_a_leaving_server_is_left_for_the_backup(self):
        kit = engine_kit()
        response, task = await started(kit)
        left = runner_of(kit)
        kit.leave(left.name)
        await asyncio.sleep(1.0)
        assert runner_of(kit) is not left
        await task
        assert response.data == relaying_kit.events(MANY)
        assert response.longest_pause_s() < 0.18

    async def test_without_a_backup_the_memory_is_moved(self, monkeypatch):
        without_backups(monkeypatch)
        kit = engine_kit()
        response, task = await started(kit)
        left = runner_of(kit)
        kit.leave(left.name)
        await asyncio.sleep(1.0)
        assert runner_of(kit) is not left
        await task
        assert response.data == relaying_kit.events(MANY)
        assert response.longest_pause_s() < 0.18

    async def test_a_server_that_goes_during_the_move_leaves_nothing_wrong(
        self, monkeypatch
    ):
        without_backups(monkeypatch)
        kit = engine_kit()
        response, task = await started(kit)
        left = runner_of(kit)
        left.copy_delay_s = 0.5
        kit.leave(left.name)
        await asyncio.sleep(0.25)
        left.is_dead = True
        await task
        assert response.is_aborted
        assert kit.places.uses == {}

    async def test_two_reclaims_in_a_row_are_survived(self):
        kit = engine_kit("abcd", length=200)
        response, task = await started(kit)
        kit.leave(runner_of(kit).name)
        await asyncio.sleep(1.5)
        kit.leave(runner_of(kit).name)
        await task
        assert response.data == relaying_kit.events(200)

    async def test_a_backup_server_that_leaves_is_no_longer_counted_on(self):
        kit = engine_kit("ab")
        response, task = await started(kit)
        runner = runner_of(kit)
        other = next(each.id for each in kit.servers if each.id != runner.name)
        kit.leave(other)
        runner.is_dead = True
        await task
        assert response.is_aborted

    async def test_a_mute_server_is_left_for_the_backup(self):
        kit = engine_kit()
        response, task = await started(kit)
        runner_of(kit).is_silent = True
        await task
        assert response.data == relaying_kit.events(MANY)
        silence_s = relayed_streams.SILENCE_WITH_BACKUP_S
        assert response.longest_pause_s() < silence_s + 0.2

    async def test_an_end_during_the_overlap_leaves_no_run_behind(self):
        kit = engine_kit("ab", length=20)
        response, task = await started(kit, events=17)
        left = runner_of(kit)
        for each in kit.servers:
            kit.server(each.id).is_silent = each.id != left.name
        kit.leave(left.name)
        await task
        assert response.data == relaying_kit.events(20)
        (run,) = kit.fleet.runs.values()
        assert run.owners == []
        assert kit.places.uses == {}

    async def test_the_run_ends_when_the_caller_leaves(self):
        kit = engine_kit()
        _, task = await started(kit)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        (run,) = kit.fleet.runs.values()
        assert run.owners == []
        assert kit.places.uses == {}

    async def test_a_copy_that_is_not_used_is_freed_where_it_was_made(
        self, monkeypatch
    ):
        without_backups(monkeypatch)
        kit = engine_kit()
        _, task = await started(kit)
        left = runner_of(kit)
        for each in kit.servers:
            kit.server(each.id).delay_s = 5.0
        kit.leave(left.name)
        await asyncio.sleep(2 * left.copy_delay_s)
        assert kit.fleet.copies
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.1)
        assert not kit.fleet.copies

    async def test_a_missing_event_ends_the_stream(self):
        kit = engine_kit("a")
        response, task = kit.start("/drafts/1")
        while not response.data:
            await asyncio.sleep(0.01)
        stream = next(iter(kit.gateway.streams.values()))
        stream.leg.answer.next_event += 1
        await task
        assert response.is_aborted

    async def test_a_repeated_event_is_passed_on_once(self):
        kit = engine_kit("a")
        response, task = await started(kit)
        stream = next(iter(kit.gateway.streams.values()))
        stream.leg.answer.next_event -= 3
        await task
        assert response.data == relaying_kit.events(MANY)

    async def test_no_room_is_told_with_a_time_to_return(self):
        kit = engine_kit("a", length=1000)
        tasks = [kit.start("/drafts/1")[1] for _ in range(10)]
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        response = await kit.serve("/drafts/1")
        assert response.status == relay_gateway.STATUS_NOT_RUN
        assert float(response.header("Retry-After")) > 0
        assert loop.time() - began_s < 6.0
        for task in tasks:
            task.cancel()

    async def test_a_request_that_kills_servers_is_refused(self):
        kit = engine_kit("abcdef")
        servers_lost = 0
        for _ in range(6):
            for each in kit.servers:
                kit.server(each.id).scripted_responses = [relay_servers.LOST]
                die_when_asked(kit.server(each.id))
            before = sum(kit.sends(each.id) for each in kit.servers)
            await kit.serve("/drafts/killer")
            await asyncio.sleep(5.0)
            servers_lost += sum(kit.sends(each.id) for each in kit.servers) - before
        assert servers_lost == 2

    async def test_a_cut_that_refuses_connections_blames_nobody(self):
        kit = engine_kit("abcd")
        for _ in range(6):
            for each in kit.servers:
                kit.server(each.id).scripted_responses = [relay_servers.LOST]
                kit.server(each.id).check_health = never_healthy
            await kit.serve("/drafts/innocent")
            await asyncio.sleep(5.0)
        assert kit.gateway.suspects.records == {}

    async def test_what_was_never_sent_is_not_blamed(self):
        kit = engine_kit("ab")
        for each in kit.servers:
            kit.server(each.id).scripted_responses = [relay_servers.NOT_SENT] * 20
            kit.server(each.id).check_health = never_healthy
        for _ in range(4):
            await kit.serve("/drafts/innocent")
            await asyncio.sleep(5.0)
        assert kit.gateway.suspects.records == {}


async def never_healthy(timeout_s):
    return False


def die_when_asked(server):
    """Have a server look dead after it was sent a request."""
    before = len(server.sent)

    async def is_healthy(timeout_s):
        return len(server.sent) == before

    server.check_health = is_healthy


@pytest.mark.looptime
class TestGrowth:
    async def test_the_memory_counted_follows_the_output(self):
        kit = engine_kit("a", length=MANY)
        response, task = await started(kit, events=50)
        use = kit.places.uses["e-a"]
        made = 50 * relay_builders.ENGINE.tokens_per_event
        assert use.tokens >= relaying_kit.SIZE.prompt_tokens + made
        assert use.prefill_tokens == 0
        await task
        assert kit.places.uses == {}


@pytest.mark.looptime
class TestDrains:
    async def test_what_could_not_end_in_time_is_sent_elsewhere_at_once(self):
        kit = engine_kit("ab")
        loop = asyncio.get_running_loop()
        kit.gateway.drains_until_s = loop.time() + 5.0
        response = await kit.serve("/drafts/1")
        assert response.status == relay_gateway.STATUS_NOT_RUN
        assert kit.sends("e-a") + kit.sends("e-b") == 0

    async def test_a_hint_at_a_short_output_is_not_relied_on(self):
        kit = engine_kit("ab")
        loop = asyncio.get_running_loop()
        kit.gateway.drains_until_s = loop.time() + 3.4
        size = relaying_kit.relay_requests.GenerationSize(3_000, 2_000, 80)
        response = await kit.serve("/drafts/1", size=size)
        assert response.status == relay_gateway.STATUS_NOT_RUN
        assert kit.sends("e-a") + kit.sends("e-b") == 0

    async def test_a_short_one_is_served(self):
        kit = engine_kit("ab", length=3)
        loop = asyncio.get_running_loop()
        kit.gateway.drains_until_s = loop.time() + 5.0
        size = relaying_kit.relay_requests.GenerationSize(2_200, 12)
        response = await kit.serve("/drafts/1", size=size)
        assert response.is_complete
        assert response.data == relaying_kit.events(3)
