import asyncio

import pytest
from returns import result

from quetzalpass import ids
from quetzalpass.allocation import leader_client, permits
from quetzalpass.membership import fleet_registry
from quetzalpass.results import codes, failures
from quetzalpass.routing import rate_limits

pytestmark = pytest.mark.looptime

SERVER = ids.ServerId("s-1")
GATEWAY = ids.VmId("gw-1")


def make_request(per_s=2.0, rank=0):
    return permits.PermitRequest(
        GATEWAY, rank, rate_limits.LimitReport(SERVER, per_s, 0.0)
    )


def make_desk(is_active=True):
    registry = fleet_registry.FleetRegistry(None, lambda: is_active, 1)
    registry.active_since_s = 0.0
    return permits.PermitDesk(registry)


class TestDesk:
    async def test_node_that_does_not_lead_decides_nothing(self):
        assert not make_desk(is_active=False).handle(make_request()).is_deciding

    async def test_request_names_the_limit_to_a_new_leader(self):
        desk = make_desk()
        assert desk.handle(make_request()).delay_s == pytest.approx(0.5)
        await asyncio.sleep(0.5)
        assert desk.handle(make_request()).delay_s == 0.0
        assert desk.handle(make_request()).delay_s == pytest.approx(0.5)

    async def test_node_that_leads_again_begins_without_saved_permits(self):
        desk = make_desk()
        desk.handle(make_request())
        await asyncio.sleep(2.0)
        desk.registry.active_since_s = 2.0
        assert desk.handle(make_request()).delay_s == pytest.approx(0.5)

    async def test_server_whose_limit_has_ended_needs_no_permit(self):
        desk = make_desk()
        report = rate_limits.LimitReport(SERVER, 2.0, 1.5, unnamed_age_s=0.2)
        request = permits.PermitRequest(GATEWAY, 0, report)
        for _ in range(20):
            assert desk.handle(request) == permits.PermitReply(True, 0.0)


class FakeChannel:
    """Replies after some time, or fails."""

    def __init__(self, reply, delay_s=0.0):
        self.reply = reply
        self.delay_s = delay_s
        self.calls = 0

    async def call(self, vm, request, timeout_s):
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        return self.reply


FAILED = result.Failure(failures.Failure(codes.Code.UNREACHABLE, "reset"))


class TestRemoteSource:
    @pytest.mark.parametrize(
        ("reply", "delay_s"),
        [
            (FAILED, 0.0),
            (result.Success(permits.PermitReply(False)), 0.0),
            (result.Success(permits.PermitReply(True)), 5.0),
        ],
    )
    async def test_failed_call_is_not_repeated_at_once(self, reply, delay_s):
        channel = FakeChannel(reply, delay_s)
        source = permits.RemotePermitSource(lambda: GATEWAY, channel)
        loop = asyncio.get_running_loop()
        for _ in range(3):
            asked = await source.request_permit(make_request())
            assert isinstance(asked, result.Failure)
        assert channel.calls == 1
        assert loop.time() <= leader_client.REPLY_MARGIN_S + 0.01
        await asyncio.sleep(leader_client.BACKOFF_S)
        await source.request_permit(make_request())
        assert channel.calls == 2

    async def test_reply_has_the_delay(self):
        channel = FakeChannel(result.Success(permits.PermitReply(True, 0.25)))
        source = permits.RemotePermitSource(lambda: GATEWAY, channel)
        assert (await source.request_permit(make_request())).unwrap() == 0.25
