import asyncio

import pytest

from declarations import relay_builders
from fakes import relay_servers
from quetzalpass.backends import base
from quetzalpass.relay import (
    relay_gateway,
    response_statuses,
    shared_budget,
    stream_segments,
)
from relay import gateway_harness

EVENT_COUNT = 60


def engine_harness(names="abc", length=EVENT_COUNT):
    servers = [relay_servers.discovered(f"e-{name}") for name in names]
    return gateway_harness.GatewayHarness(servers, length=length)


def current_server(harness):
    """Return the server that now runs the only generation."""
    (run,) = harness.fleet.runs.values()
    (owner,) = run.owners
    return owner


async def start_stream(harness, events=5):
    response, task = harness.start("/drafts/1")
    while response.data.count(b"id:") < events:
        await asyncio.sleep(0.01)
    return response, task


def disable_backups(monkeypatch):
    monkeypatch.setattr(
        relay_gateway.relay_reservations.ServerReservations,
        "assign_backup",
        assign_no_backup,
    )


def assign_no_backup(reservations, routed, reservation):
    return None


@pytest.mark.looptime
class TestStreams:
    async def test_events_are_relayed_unchanged_and_in_order(self):
        harness = engine_harness()
        response = await harness.serve("/drafts/1")
        assert response.data == gateway_harness.events(EVENT_COUNT)
        assert response.is_complete
        assert harness.reservations.uses == {}

    async def test_refused_start_is_retried_on_another_engine(self):
        harness = engine_harness("ab")
        for name in ("e-a", "e-b"):
            harness.server(name).scripted_responses = [relay_servers.REFUSED]
        response = await harness.serve("/drafts/1")
        assert response.is_complete
        assert response.data == gateway_harness.events(EVENT_COUNT)

    async def test_break_before_the_response_head_is_not_retried(self):
        harness = engine_harness()
        for name in ("e-a", "e-b", "e-c"):
            harness.server(name).scripted_responses = [relay_servers.LOST]
        response = await harness.serve("/drafts/1")
        assert response.status == response_statuses.STATUS_BAD_GATEWAY
        assert sum(harness.send_count(each.id) for each in harness.servers) == 1

    async def test_stream_resumes_from_the_backup_after_a_crash(self):
        harness = engine_harness()
        response, task = await start_stream(harness)
        current_server(harness).is_dead = True
        await task
        assert response.is_complete
        assert response.data == gateway_harness.events(EVENT_COUNT)

    async def test_resume_counts_as_a_retry_and_needs_one(self):
        harness = engine_harness()
        response, task = await start_stream(harness)
        current_server(harness).is_dead = True
        await task
        now_s = asyncio.get_running_loop().time()
        assert harness.budget.retry_counts(now_s) == {"model": 1}
        harness = engine_harness()
        harness.budget.rules = shared_budget.BudgetRules(ratio=0.0, extra=0.0)
        response, task = await start_stream(harness)
        current_server(harness).is_dead = True
        await task
        assert response.is_aborted

    async def test_move_counts_as_a_retry(self):
        harness = engine_harness()
        response, task = await start_stream(harness)
        harness.mark_leaving(current_server(harness).name)
        await task
        assert response.is_complete
        now_s = asyncio.get_running_loop().time()
        assert harness.budget.retry_counts(now_s) == {"model": 1}

    async def test_without_a_copy_the_response_is_aborted(self, monkeypatch):
        disable_backups(monkeypatch)
        harness = engine_harness()
        response, task = await start_stream(harness)
        current_server(harness).is_dead = True
        await task
        assert response.is_aborted
        assert not response.is_complete

    async def test_stream_moves_from_a_leaving_server_to_the_backup(self):
        harness = engine_harness()
        response, task = await start_stream(harness)
        leaving_server = current_server(harness)
        harness.mark_leaving(leaving_server.name)
        await asyncio.sleep(1.0)
        assert current_server(harness) is not leaving_server
        await task
        assert response.data == gateway_harness.events(EVENT_COUNT)
        assert response.longest_pause_s() < 0.18

    async def test_without_a_backup_the_memory_is_moved(self, monkeypatch):
        disable_backups(monkeypatch)
        harness = engine_harness()
        response, task = await start_stream(harness)
        leaving_server = current_server(harness)
        harness.mark_leaving(leaving_server.name)
        await asyncio.sleep(1.0)
        assert current_server(harness) is not leaving_server
        await task
        assert response.data == gateway_harness.events(EVENT_COUNT)
        assert response.longest_pause_s() < 0.18

    async def test_crash_during_the_move_aborts_the_response(self, monkeypatch):
        disable_backups(monkeypatch)
        harness = engine_harness()
        response, task = await start_stream(harness)
        leaving_server = current_server(harness)
        leaving_server.copy_delay_s = 0.5
        harness.mark_leaving(leaving_server.name)
        await asyncio.sleep(0.25)
        leaving_server.is_dead = True
        await task
        assert response.is_aborted
        assert harness.reservations.uses == {}

    async def test_stream_survives_two_reclaimed_servers(self):
        harness = engine_harness("abcd", length=200)
        response, task = await start_stream(harness)
        harness.mark_leaving(current_server(harness).name)
        await asyncio.sleep(1.5)
        harness.mark_leaving(current_server(harness).name)
        await task
        assert response.data == gateway_harness.events(200)

    async def test_backup_on_a_leaving_server_is_not_used(self):
        harness = engine_harness("ab")
        response, task = await start_stream(harness)
        server = current_server(harness)
        other = next(each.id for each in harness.servers if each.id != server.name)
        harness.mark_leaving(other)
        server.is_dead = True
        await task
        assert response.is_aborted

    async def test_stream_resumes_from_the_backup_after_silence(self):
        harness = engine_harness()
        response, task = await start_stream(harness)
        current_server(harness).is_silent = True
        await task
        assert response.data == gateway_harness.events(EVENT_COUNT)
        silence_s = stream_segments.SILENCE_TIMEOUT_WITH_BACKUP_S
        assert response.longest_pause_s() < silence_s + 0.2

    async def test_end_during_the_overlap_ends_both_runs(self):
        harness = engine_harness("ab", length=20)
        response, task = await start_stream(harness, events=17)
        leaving_server = current_server(harness)
        for each in harness.servers:
            harness.server(each.id).is_silent = each.id != leaving_server.name
        harness.mark_leaving(leaving_server.name)
        await task
        assert response.data == gateway_harness.events(20)
        (run,) = harness.fleet.runs.values()
        assert run.owners == []
        assert harness.reservations.uses == {}

    async def test_run_ends_when_the_caller_disconnects(self):
        harness = engine_harness()
        _, task = await start_stream(harness)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        (run,) = harness.fleet.runs.values()
        assert run.owners == []
        assert harness.reservations.uses == {}

    async def test_unused_copy_is_freed(self, monkeypatch):
        disable_backups(monkeypatch)
        harness = engine_harness()
        _, task = await start_stream(harness)
        leaving_server = current_server(harness)
        for each in harness.servers:
            harness.server(each.id).delay_s = 5.0
        harness.mark_leaving(leaving_server.name)
        await asyncio.sleep(2 * leaving_server.copy_delay_s)
        assert harness.fleet.copies
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.1)
        assert not harness.fleet.copies

    async def test_missing_event_aborts_the_response(self):
        harness = engine_harness("a")
        response, task = harness.start("/drafts/1")
        while not response.data:
            await asyncio.sleep(0.01)
        stream = next(iter(harness.gateway.streams.values()))
        stream.segment.server_response.next_event += 1
        await task
        assert response.is_aborted

    async def test_repeated_event_is_relayed_once(self):
        harness = engine_harness("a")
        response, task = await start_stream(harness)
        stream = next(iter(harness.gateway.streams.values()))
        stream.segment.server_response.next_event -= 3
        await task
        assert response.data == gateway_harness.events(EVENT_COUNT)

    async def test_full_engine_refuses_with_a_retry_time(self):
        harness = engine_harness("a", length=1000)
        tasks = [harness.start("/drafts/1")[1] for _ in range(10)]
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        response = await harness.serve("/drafts/1")
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert float(response.header("Retry-After")) > 0
        assert loop.time() - start_s < 6.0
        for task in tasks:
            task.cancel()

    async def test_request_that_crashes_servers_is_quarantined(self):
        harness = engine_harness("abcdef")
        servers_lost = 0
        for _ in range(6):
            for each in harness.servers:
                harness.server(each.id).scripted_responses = [relay_servers.LOST]
                crash_on_request(harness.server(each.id))
            before = sum(harness.send_count(each.id) for each in harness.servers)
            await harness.serve("/drafts/crashing")
            await asyncio.sleep(5.0)
            servers_lost += (
                sum(harness.send_count(each.id) for each in harness.servers) - before
            )
        assert servers_lost == 2

    async def test_unreachable_data_centre_makes_no_suspect(self):
        harness = engine_harness("abcd")
        for _ in range(6):
            for each in harness.servers:
                harness.server(each.id).scripted_responses = [relay_servers.LOST]
                harness.server(each.id).check_health = always_unhealthy
            await harness.serve("/drafts/unrelated")
            await asyncio.sleep(5.0)
        assert harness.gateway.suspects.records == {}

    async def test_request_that_was_not_sent_is_no_suspect(self):
        harness = engine_harness("ab")
        for each in harness.servers:
            harness.server(each.id).scripted_responses = [relay_servers.NOT_SENT] * 20
            harness.server(each.id).check_health = always_unhealthy
        for _ in range(4):
            await harness.serve("/drafts/unrelated")
            await asyncio.sleep(5.0)
        assert harness.gateway.suspects.records == {}


async def always_unhealthy(timeout_s):
    return False


def crash_on_request(server):
    """Make a server fail its health check after it has received a request."""
    before = len(server.sent)

    async def is_healthy(timeout_s):
        return len(server.sent) == before

    server.check_health = is_healthy


@pytest.mark.looptime
class TestGrowth:
    async def test_recorded_memory_use_follows_the_output(self):
        harness = engine_harness("a", length=EVENT_COUNT)
        response, task = await start_stream(harness, events=50)
        use = harness.reservations.uses["e-a"]
        generated_tokens = 50 * relay_builders.ENGINE.tokens_per_event
        assert use.tokens >= gateway_harness.SIZE.prompt_tokens + generated_tokens
        assert use.prefill_tokens == 0
        await task
        assert harness.reservations.uses == {}


@pytest.mark.looptime
class TestDrains:
    async def test_generation_that_may_outlast_the_drain_is_refused(self):
        harness = engine_harness("ab")
        harness.gateway.requests.begin_drain(5.0)
        response = await harness.serve("/drafts/1")
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert harness.send_count("e-a") + harness.send_count("e-b") == 0

    async def test_hint_at_a_short_output_is_ignored(self):
        harness = engine_harness("ab")
        harness.gateway.requests.begin_drain(3.4)
        size = gateway_harness.relay_requests.GenerationSize(3_000, 2_000, 80)
        response = await harness.serve("/drafts/1", size=size)
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert harness.send_count("e-a") + harness.send_count("e-b") == 0

    async def test_short_generation_is_served(self):
        harness = engine_harness("ab", length=3)
        harness.gateway.requests.begin_drain(5.0)
        size = gateway_harness.relay_requests.GenerationSize(2_200, 12)
        response = await harness.serve("/drafts/1", size=size)
        assert response.is_complete
        assert response.data == gateway_harness.events(3)


@pytest.mark.looptime
class TestLeavingNotices:
    async def test_engine_that_says_that_it_leaves_gets_no_new_generation(self):
        harness = engine_harness()
        response, task = await start_stream(harness)
        leaving = current_server(harness)
        leaving.notice = base.ServerNotice(is_leaving=True)
        await task
        await harness.serve("/drafts/1")
        for _ in range(9):
            await harness.serve("/drafts/1")
        told = [each for each in harness.fleet.servers.values() if each.sent]
        assert len(leaving.sent) <= 2
        assert len(told) == 3

    async def test_generation_moves_away_from_an_engine_that_says_so_at_its_start(
        self, monkeypatch
    ):
        disable_backups(monkeypatch)
        harness = engine_harness()
        for name in ("e-a", "e-b", "e-c"):
            harness.server(name).notice = base.ServerNotice()
        response, task = await start_stream(harness, 1)
        first = current_server(harness)
        harness.gateway.observe_notice(
            harness.view.servers[first.name].server,
            None,
            base.ServerNotice(is_leaving=True),
        )
        await task
        assert response.data == gateway_harness.events(EVENT_COUNT)
        assert len(first.sent) == 1
        assert sum(len(each.sent) for each in harness.fleet.servers.values()) == 2

    async def test_new_requests_are_refused_while_all_engines_leave(self):
        harness = engine_harness()
        for each in harness.servers:
            leaving = base.ServerNotice(is_leaving=True)
            harness.gateway.observe_notice(each, None, leaving)
        response = await harness.serve("/drafts/1")
        assert response.status == 503
        assert response.header("Retry-After") is not None
        assert all(not each.sent for each in harness.fleet.servers.values())
