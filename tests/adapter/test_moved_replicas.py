"""Replicas that start again under their id at another address."""

import asyncio

import pytest

from platform_standin import standin


class RecordingReplica:
    def __init__(self):
        self.raw = standin.RawServer(self.respond)

    async def respond(self, request, writer):
        writer.write(standin.response_bytes(request))


@pytest.fixture
async def addresses():
    """The replica at the address that is left, and the one at the new address."""
    started = [RecordingReplica(), RecordingReplica()]
    for each in started:
        await each.raw.start()
    yield started
    for each in started:
        each.raw.stop()


class TestMovedReplicas:
    @pytest.mark.parametrize("born", [None, 1_800_000_000_000])
    async def test_request_goes_to_the_listed_address(
        self, gateway, platform, addresses, born
    ):
        old, new = addresses
        platform.add(old.raw, "i-1")
        await gateway.until_listed(1)
        await standin.exchange(gateway.port, standin.request_bytes("/once/1"))
        assert len(old.raw.requests) == 1
        entry = {**platform.entries[0], "addr": new.raw.address}
        if born is not None:
            entry["born"] = born
        platform.entries[0] = entry
        async with asyncio.timeout(3.0):
            while gateway.role.view.servers["i-1"].server.address != new.raw.address:
                await asyncio.sleep(0.01)
        response = await standin.exchange(
            gateway.port, standin.request_bytes("/once/1", request_id="q-2")
        )
        assert response.status == 200
        assert len(old.raw.requests) == 1
        assert len(new.raw.requests) == 1
