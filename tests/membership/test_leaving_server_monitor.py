import asyncio

import msgspec
import pytest

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
