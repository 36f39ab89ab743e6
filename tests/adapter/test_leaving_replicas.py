"""Replicas that say in their answers that they leave, which the list does not show."""

import asyncio

import pytest

from platform_standin import standin

REQUESTS = 30


class LeavingReplica:
    """A replica of the plain service that may say that it leaves."""

    def __init__(self):
        self.raw = standin.RawServer(self.respond)
        self.extra = ()
        self.status = 200

    async def respond(self, request, writer):
        writer.write(standin.response_bytes(request, self.status, b"bytes", self.extra))


@pytest.fixture
async def replicas(platform, gateway):
    started = [LeavingReplica(), LeavingReplica()]
    for number, each in enumerate(started):
        await each.raw.start()
        platform.add(each.raw, f"i-{number}")
    await gateway.until_listed(2)
    yield started
    for each in started:
        each.raw.stop()


async def send(gateway, number):
    data = standin.request_bytes(f"/once/{number}", request_id=f"q-{number}")
    return await standin.exchange(gateway.port, data)


async def until_answered_by(gateway, replica):
    for number in range(REQUESTS):
        await send(gateway, number)
        if replica.raw.requests:
            return
    raise AssertionError("the replica got no request")


class TestLeavingReplicas:
    @pytest.mark.parametrize(
        ("status", "extra"),
        [
            (200, ("Server-Leaving: 1",)),
            (500, ("Server-Leaving: 1",)),
            (503, ("Server-Leaving: 1", "X-Not-Executed: 1")),
        ],
    )
    async def test_replica_that_says_that_it_leaves_gets_no_new_requests(
        self, gateway, replicas, status, extra
    ):
        leaving, other = replicas
        leaving.status, leaving.extra = status, extra
        await until_answered_by(gateway, leaving)
        # Lists that show it as ready arrive meanwhile.
        await asyncio.sleep(0.3)
        before = len(leaving.raw.requests)
        for number in range(REQUESTS):
            assert (await send(gateway, 100 + number)).status == 200
        assert len(leaving.raw.requests) == before

    async def test_replica_at_the_same_address_is_new(
        self, gateway, replicas, platform
    ):
        leaving, other = replicas
        leaving.extra = ("Server-Leaving: 1",)
        await until_answered_by(gateway, leaving)
        leaving.extra = ()
        before = len(leaving.raw.requests)
        platform.entries[0] = {**platform.entries[0], "born": 1_900_000_000_000}
        await asyncio.sleep(0.3)
        for number in range(REQUESTS):
            await send(gateway, 200 + number)
        assert len(leaving.raw.requests) > before

    async def test_values_other_than_one_say_nothing(self, gateway, replicas):
        staying, _ = replicas
        staying.extra = ("Server-Leaving: 0",)
        await until_answered_by(gateway, staying)
        before = len(staying.raw.requests)
        for number in range(REQUESTS):
            await send(gateway, 100 + number)
        assert len(staying.raw.requests) > before
