import asyncio

import msgspec
import pytest
from returns import result

from fakes import relay_servers
from quetzalpass.membership import leaving_server_monitor


class FakeRegistry:
    def __init__(self, server):
        self.servers = (server,)
        self.announced = []

    def is_active(self):
        return True

    def announce(self, server_ids, start_keys):
        self.announced += start_keys


class QuietEngine(relay_servers.FakeServer):
    """Never hints that it leaves."""

    def __init__(self, place):
        super().__init__(relay_servers.Fleet(), place.id)
        self.place = place
        self.is_closed = False

    async def close(self):
        self.is_closed = True


@pytest.mark.looptime
class TestServersThatStartAgain:
    @pytest.mark.parametrize(
        "changes", [{"address": "e-1:81"}, {"started_ms": 7}], ids=["address", "start"]
    )
    async def test_new_start_under_an_id_gets_a_client_of_its_own(self, changes):
        server = relay_servers.discovered("e-1")
        registry = FakeRegistry(server)
        engines = []

        def connect(listed):
            engines.append(QuietEngine(listed.place))
            return engines[-1]

        monitor = leaving_server_monitor.LeavingServerMonitor(registry, connect)
        running = asyncio.create_task(monitor.run())
        await asyncio.sleep(5)
        again = msgspec.structs.replace(server, **changes)
        registry.servers = (again,)
        await asyncio.sleep(5)
        monitor.stop()
        running.cancel()
        assert [each.place for each in engines] == [server.place, again.place]
        assert engines[0].is_closed


class LeavingEngine(QuietEngine):
    """Hints that it leaves; the client's queries fail while ``error`` is set."""

    error = None

    async def wait_for_leaving_hint(self, wait_s):
        if self.error is not None:
            raise self.error
        return result.Success(True)

    async def is_leaving(self):
        return True


@pytest.mark.looptime
class TestFailedQueries:
    async def test_an_engine_is_watched_again_after_its_client_has_failed(self):
        server = relay_servers.discovered("e-1", started_ms=7)
        registry = FakeRegistry(server)
        engine = LeavingEngine(server.place)
        engine.error = RuntimeError("can't start new thread")
        monitor = leaving_server_monitor.LeavingServerMonitor(
            registry, lambda listed: engine
        )
        running = asyncio.create_task(monitor.run())
        await asyncio.sleep(5)
        assert not registry.announced
        engine.error = None
        await asyncio.sleep(5)
        monitor.stop()
        running.cancel()
        assert registry.announced == [server.start_key]
