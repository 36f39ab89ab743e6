"""Statuses that no HTTP response may have are never passed on to a caller."""

import aiohttp
import pytest

from platform_standin import standin
from quetzalpass.backends import http_client, relays
from quetzalpass.relay import handover_messages
from quetzalpass.settings import schema

STATUSES = ("000", "001", "099", "600", "700", "999", "2000", "20", "+20", "2e2")


class OddReplica:
    """Responds with a status, on all paths or on those of callers only."""

    def __init__(self):
        self.raw = standin.RawServer(self.respond)
        self.status = "200"

    async def respond(self, request, writer):
        data = standin.response_bytes(request)
        writer.write(data.replace(b" 200 ", b" %s " % self.status.encode(), 1))


@pytest.fixture
async def replica(platform, gateway):
    server = OddReplica()
    await server.raw.start()
    platform.add(server.raw, "i-1")
    platform.add(server.raw, "i-2", service="model", stage="unified")
    await gateway.until_listed(2)
    yield server
    server.raw.stop()


class TestStatuses:
    @pytest.mark.parametrize("status", STATUSES)
    @pytest.mark.parametrize("kind", ["once", "reads", "drafts"])
    async def test_a_status_that_does_not_exist_is_a_failure(
        self, gateway, replica, kind, status
    ):
        """600 and 999 reached the caller with the replica's signature."""
        replica.status = status
        headers = ["X-Token-Usage: 100,160"] if kind == "drafts" else []
        data = standin.request_bytes(f"/{kind}/1", headers)
        response = await standin.exchange(gateway.port, data)
        assert response.first_line.startswith("HTTP/1.1 502")
        assert response.header("X-Response-Signature") is None

    @pytest.mark.parametrize("status", ["600", "999"])
    async def test_a_replica_is_used_again_once_its_statuses_are_sound(
        self, gateway, replica, status
    ):
        replica.status = status
        await standin.exchange(gateway.port, standin.request_bytes("/reads/1"))
        replica.status = "200"
        data = standin.request_bytes("/reads/1", request_id="q-2")
        response = await standin.exchange(gateway.port, data)
        assert (response.status, response.header("X-Request-Id")) == (200, "q-2")


class TestOtherPaths:
    @pytest.mark.parametrize("status", ["600", "999"])
    async def test_no_adapter_gets_such_a_response(self, replica, status):
        """Reports, orders and services of the own interface share the connections."""
        replica.status = status
        session = http_client.open_session(schema.Limits(), reuse=True)
        url = f"http://{replica.raw.address}/v1/report"
        with pytest.raises(aiohttp.ClientResponseError):
            await session.get(url, headers={"X-Request-Id": "q-1"})
        await session.close()

    @pytest.mark.parametrize("status", [0, 1, 99, 100, 199, 600, 999])
    def test_a_hand_over_with_such_a_status_is_malformed(self, status):
        data = handover_messages.encode_head(relays.ResponseHead(status, ()))
        with pytest.raises(ValueError, match="ends no request"):
            handover_messages.decode_head(data)

    def test_a_hand_over_with_a_sound_status_is_read(self):
        head = relays.ResponseHead(503, ())
        data = handover_messages.encode_head(head)
        assert handover_messages.decode_head(data).status == 503
