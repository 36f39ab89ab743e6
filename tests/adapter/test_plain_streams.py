"""Streams of services that are no model engines."""

import asyncio

import pytest

from platform_standin import standin

ROUTE = {
    "name": "r-feed",
    "host": "desk.example",
    "prefix": "/feed/",
    "kind": "streaming",
    "timeout_ms": 4000,
    "goal_ms": 800,
    "priority": 1,
    "service": "ledger",
    "attempts": 1,
    "public": False,
    "gap_target_ms": 180,
}
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
SLOTS = 2


class StreamingReplica:
    def __init__(self):
        self.running = 0
        self.most_running = 0
        self.raw = standin.RawServer(self.respond)

    async def respond(self, request, writer):
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        writer.write(standin.stream_head(request) + standin.chunk(EVENTS))
        await asyncio.sleep(0.05)
        writer.write(standin.chunk(b""))
        self.running -= 1


@pytest.fixture
async def replica(gateway, platform):
    streaming = StreamingReplica()
    await streaming.raw.start()
    platform.add(streaming.raw, "l-1", slots=SLOTS)
    gateway.adopt(standin.state(routes=[ROUTE]), revision=8)
    await gateway.until_listed(1)
    yield streaming
    streaming.raw.stop()


@pytest.mark.parametrize("headers", [[], ["X-Token-Usage: 2500,80", "X-Model: m"]])
class TestPlainStreams:
    async def test_stream_of_a_plain_service_is_relayed(
        self, gateway, replica, headers
    ):
        response = await standin.exchange(
            gateway.port, standin.request_bytes("/feed/1", headers)
        )
        assert (response.status, response.body) == (200, EVENTS)

    async def test_streams_beyond_the_slots_wait(self, gateway, replica, headers):
        responses = await asyncio.gather(
            *(
                standin.exchange(
                    gateway.port,
                    standin.request_bytes("/feed/1", headers, request_id=f"q-{number}"),
                )
                for number in range(3 * SLOTS)
            )
        )
        assert {each.status for each in responses} == {200}
        assert replica.most_running == SLOTS
