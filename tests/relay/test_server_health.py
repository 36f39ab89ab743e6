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
