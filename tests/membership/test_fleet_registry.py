import asyncio

import pytest
from returns import result

from fakes import relay_servers
from quetzalpass import background, ids
from quetzalpass.backends import discovery
from quetzalpass.membership import (
    fleet_messages,
    fleet_registry,
    fleet_view,
    leaving_server_monitor,
    suspect_reports,
)
from quetzalpass.results import codes, failures

LEAVING = discovery.ServerState.LEAVING
FAILED = failures.Failure(codes.Code.UNREACHABLE, "down")


class FakeSource(discovery.ServerSource):
    def __init__(self):
        self.servers = ()
        self.is_down = False
        self.reads = 0

    async def list_servers(self, timeout_s):
        self.reads += 1
        if self.is_down:
            return result.Failure(FAILED)
        return result.Success(tuple(self.servers))

    async def close(self): ...


async def list_without_memory(timeout_s):
    raise MemoryError


def make_registry(active=True):
    source = FakeSource()
    source.servers = (relay_servers.discovered("e-a"), relay_servers.discovered("e-b"))
    return source, fleet_registry.FleetRegistry(source, lambda: active, 100)


def make_request(gateway="gw-1", known_version=0, wait_s=0.0, **rest):
    return fleet_messages.FleetRequest(ids.VmId(gateway), known_version, wait_s, **rest)


async def query(registry, *args, **kwargs):
    return await registry.handle(
        make_request(*args, **kwargs), ids.VmId("c-1"), ("c-1",)
    )


def states(reply):
    return {each.id: each.state for each in reply.servers}


@pytest.mark.looptime
class TestFleetRegistry:
    async def test_only_the_active_node_reads_the_list(self):
        source, registry = make_registry(active=False)
        task = asyncio.create_task(registry.run())
        await asyncio.sleep(2.0)
        assert source.reads == 0
        assert not (await query(registry)).is_watching
        task.cancel()

    async def test_a_change_is_sent_to_waiting_gateways_at_once(self):
        source, registry = make_registry()
        await registry.read_once()
        first = await query(registry)
        waiting = asyncio.create_task(
            query(registry, known_version=first.version, wait_s=5.0)
        )
        await asyncio.sleep(0.1)
        source.servers = (relay_servers.discovered("e-a", state=LEAVING),)
        await registry.read_once()
        await asyncio.sleep(0.01)
        assert waiting.done()
        assert states(waiting.result()) == {"e-a": LEAVING}

    async def test_a_known_version_of_the_list_is_not_sent_again(self):
        _, registry = make_registry()
        await registry.read_once()
        first = await query(registry)
        again = await query(registry, known_version=first.version)
        assert again.servers is None

    async def test_an_announcement_to_one_gateway_reaches_the_others(self):
        _, registry = make_registry()
        await registry.read_once()
        await query(registry, "gw-1", leaving=(ids.ServerId("e-a"),))
        assert states(await query(registry, "gw-2"))["e-a"] is LEAVING
        await registry.read_once()
        assert states(await query(registry, "gw-2"))["e-a"] is LEAVING

    async def test_each_gateway_receives_the_total_of_the_others(self):
        _, registry = make_registry()
        await registry.read_once()
        for name, tokens in (("gw-1", 100), ("gw-2", 20), ("gw-3", 3)):
            use = fleet_messages.ServerUse(ids.ServerId("e-a"), 1, tokens, 0, tokens)
            reply = await query(registry, name, uses=(use,))
        (use,) = reply.uses
        assert (use.requests, use.tokens, use.prefill_tokens) == (2, 120, 120)
        assert reply.gateways == 3

    async def test_the_load_of_a_silent_gateway_expires(self):
        _, registry = make_registry()
        await registry.read_once()
        use = fleet_messages.ServerUse(ids.ServerId("e-a"), 1, 100)
        await query(registry, "gw-1", uses=(use,))
        await asyncio.sleep(fleet_registry.REPORT_LIFETIME_S + 0.1)
        assert (await query(registry, "gw-2")).uses == ()

    async def test_a_failed_read_keeps_the_list_and_backs_off(self):
        source, registry = make_registry()
        task = asyncio.create_task(registry.run())
        await asyncio.sleep(0.1)
        source.is_down = True
        await asyncio.sleep(10.0)
        assert source.reads < 10
        assert len(registry.servers) == 2
        task.cancel()

    @pytest.mark.parametrize("raises", [False, True], ids=["failed", "raised"])
    async def test_the_list_is_read_again_after_reads_have_failed(
        self, monkeypatch, raises
    ):
        source, registry = make_registry()
        task = background.start("board", registry.run)
        await asyncio.sleep(1.0)
        source.is_down = True
        if raises:
            monkeypatch.setattr(source, "list_servers", list_without_memory)
        await asyncio.sleep(10.0)
        monkeypatch.undo()
        source.is_down = False
        source.servers = source.servers[:1]
        await asyncio.sleep(fleet_registry.MAX_READ_BACKOFF_S + 1.0)
        assert len(registry.servers) == 1
        task.cancel()


@pytest.mark.looptime
class TestLeavingServerMonitor:
    async def test_a_confirmed_hint_is_announced(self):
        _, registry = make_registry()
        await registry.read_once()
        fleet = relay_servers.Fleet()
        engine = fleet.server("e-a")
        monitor = leaving_server_monitor.LeavingServerMonitor(registry, fleet.connect)
        set_hint(engine, is_leaving=True)
        set_no_hint(fleet.server("e-b"))
        task = asyncio.create_task(monitor.run())
        await asyncio.sleep(1.0)
        assert states(await query(registry))["e-a"] is LEAVING
        assert states(await query(registry))["e-b"] is not LEAVING
        task.cancel()
        monitor.stop()

    async def test_an_unconfirmed_hint_is_not_announced(self):
        _, registry = make_registry()
        await registry.read_once()
        fleet = relay_servers.Fleet()
        monitor = leaving_server_monitor.LeavingServerMonitor(registry, fleet.connect)
        set_hint(fleet.server("e-a"), is_leaving=False)
        set_no_hint(fleet.server("e-b"))
        task = asyncio.create_task(monitor.run())
        await asyncio.sleep(1.0)
        assert states(await query(registry))["e-a"] is not LEAVING
        task.cancel()
        monitor.stop()


def set_hint(engine, is_leaving):
    async def hints(wait_s):
        await asyncio.sleep(wait_s)
        return result.Success(True)

    async def confirms():
        return is_leaving

    engine.wait_for_leaving_hint = hints
    engine.is_leaving = confirms


def set_no_hint(engine):
    async def hints(wait_s):
        await asyncio.sleep(wait_s)
        return result.Success(False)

    engine.wait_for_leaving_hint = hints


@pytest.mark.looptime
class TestFleetView:
    async def test_observers_are_notified_once_of_a_leaving_server(self):
        view = fleet_view.FleetView()
        notified = []
        view.leaving_observers.append(notified.append)
        view.replace_servers((relay_servers.discovered("e-a"),), 0.0)
        view.announce("e-a")
        leaving = relay_servers.discovered("e-a", state=LEAVING)
        view.replace_servers((leaving,), 0.0)
        view.replace_servers((leaving,), 0.0)
        assert notified == ["e-a"]

    async def test_an_outdated_list_does_not_undo_an_announcement(self):
        view = fleet_view.FleetView()
        view.replace_servers((relay_servers.discovered("e-a"),), 0.0)
        view.announce("e-a")
        view.replace_servers((relay_servers.discovered("e-a"),), 0.5)
        assert view.servers["e-a"].is_leaving

    async def test_a_restart_with_the_same_id_is_another_server(self):
        view = fleet_view.FleetView()
        view.replace_servers((relay_servers.discovered("e-a", started_ms=1),), 0.0)
        view.announce("e-a")
        view.replace_servers((relay_servers.discovered("e-a", started_ms=2),), 0.0)
        assert not view.servers["e-a"].is_leaving

    async def test_server_that_is_unlisted_for_a_moment_is_still_leaving(self):
        view = fleet_view.FleetView()
        listed = (relay_servers.discovered("e-a", started_ms=1),)
        view.replace_servers(listed, 0.0)
        view.announce("e-a")
        view.replace_servers((), 0.0)
        view.replace_servers(listed, 0.0)
        assert view.servers["e-a"].is_leaving

    async def test_announcements_of_servers_that_are_gone_are_forgotten(self):
        view = fleet_view.FleetView()
        view.replace_servers((relay_servers.discovered("e-a"),), 0.0)
        view.announce("e-a")
        await asyncio.sleep(fleet_view.UNLISTED_LIFETIME_S + 1.0)
        view.replace_servers((), 0.0)
        assert not view.own_announcements

    async def test_observers_are_notified_of_a_server_that_is_gone(self):
        view = fleet_view.FleetView()
        notified = []
        view.leaving_observers.append(notified.append)
        view.replace_servers((relay_servers.discovered("e-a"),), 0.0)
        view.replace_servers((), 0.0)
        assert notified == ["e-a"]

    async def test_without_a_report_other_gateways_are_assumed_to_have_as_much(self):
        """Covers the loss of the leader while a new, empty engine starts.

        Without the assumption, each gateway would send all new work to that engine.
        """
        view = fleet_view.FleetView()
        old = fleet_messages.ServerUse(ids.ServerId("e-old"), 20, 60_000)
        view.replace_uses((old,), gateways=9)
        own_old = fleet_messages.ServerUse(ids.ServerId("e-old"), 2, 8_000)
        own_new = fleet_messages.ServerUse(ids.ServerId("e-new"), 3, 12_000)
        assert view.use_of_others(own_old) == old
        await asyncio.sleep(fleet_view.USES_LIFETIME_S + 0.1)
        assert view.use_of_others(own_old).tokens == 64_000
        assert view.use_of_others(own_new).tokens == 96_000


@pytest.mark.looptime
class TestSuspects:
    REPORT = suspect_reports.SuspectReport(
        "f", (suspect_reports.ServerCrash("gw-1/1", 1.0),), (), 60.0
    )

    @pytest.mark.parametrize("active", [False, True])
    async def test_suspects_spread_while_no_node_reads_the_list(self, active):
        source, registry = make_registry(active)
        source.is_down = True
        await registry.read_once()
        reports = suspect_reports.SuspectReports(1, (self.REPORT,))
        await query(registry, verdicts=reports)
        reply = await query(registry, gateway="gw-2")
        assert not reply.is_watching
        (report,) = reply.verdicts.verdicts
        assert report.deaths == self.REPORT.deaths


@pytest.mark.looptime
class TestAnnouncedStarts:
    async def test_restarted_server_takes_work_although_its_id_is_announced(self):
        source, registry = make_registry()
        source.servers = (relay_servers.discovered("e-a", started_ms=1),)
        await registry.read_once()
        registry.announce(("e-a",), ("e-a@1",))
        assert registry.servers[0].state is LEAVING
        source.servers = (relay_servers.discovered("e-a", started_ms=2),)
        await registry.read_once()
        registry.announce(("e-a",), ("e-a@1",))
        assert registry.servers[0].state is discovery.ServerState.READY

    async def test_announcement_without_a_start_holds_for_the_id(self):
        source, registry = make_registry()
        source.servers = (relay_servers.discovered("e-a", started_ms=1),)
        await registry.read_once()
        registry.announce(("e-a",))
        assert registry.servers[0].state is LEAVING
