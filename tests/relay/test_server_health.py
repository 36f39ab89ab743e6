"""Servers that get no new work after a failure, and get it again after a time."""

import asyncio

import pytest

from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.membership import fleet_view
from quetzalpass.relay import server_health

pytestmark = pytest.mark.looptime

HERE = ids.DataCentreId("flx-a")
SERVER = relay_servers.discovered("e-1", data_centre="flx-b")


async def test_an_unreachable_server_gets_work_again_after_a_time():
    loop = asyncio.get_running_loop()
    health = server_health.ServerHealth(fleet_view.FleetView(), HERE)
    health.record_unreachable(SERVER, "refused")
    assert health.is_ejected(SERVER.id, loop.time())
    assert health.is_cut_off(SERVER.data_centre, loop.time())
    await asyncio.sleep(server_health.CUT_OFF_S)
    assert not health.is_cut_off(SERVER.data_centre, loop.time())
    await asyncio.sleep(server_health.EJECTION_S - server_health.CUT_OFF_S)
    assert not health.is_ejected(SERVER.id, loop.time())


async def test_a_server_that_sends_without_end_is_ejected_longer_each_time():
    loop = asyncio.get_running_loop()
    health = server_health.ServerHealth(fleet_view.FleetView(), HERE)
    for ejection_s in (3.0, 6.0, 12.0):
        # The others of the same moment don't count.
        for _ in range(20):
            health.record_endless(SERVER.id, "too large")
        await asyncio.sleep(ejection_s - 0.1)
        assert health.is_ejected(SERVER.id, loop.time())
        await asyncio.sleep(0.2)
        assert not health.is_ejected(SERVER.id, loop.time())
    health.record_success(SERVER.id)
    health.record_endless(SERVER.id, "too large")
    await asyncio.sleep(3.1)
    assert not health.is_ejected(SERVER.id, loop.time())
