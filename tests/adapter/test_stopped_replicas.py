"""Replicas that leave and stop, which ends the unframed bodies that they send."""

import asyncio

import pytest

from adapter import test_broken_off_streams as streams
from platform_standin import standin

EVENT_COUNT = 12
# The process has closed this connection, but still has its listening socket.
EXIT_S = 0.004
# One that leaves may take longer, as its last requests end one after the other.
LATE_EXIT_S = 0.03
ANSWER_HEAD = [
    "HTTP/1.1 200 OK",
    "X-Response-Signature: sig.s",
    "Server-Leaving: 1",
]


class LeavingReplica(standin.RawServer):
    """Leaves, ends its answer with the connection, and then stops or not."""

    def __init__(self):
        super().__init__(self.respond_unframed)
        self.body = streams.events(1, EVENT_COUNT)
        self.writers = []
        self.stops = True
        self.exit_s = 0.0
        self.is_full = False

    async def serve(self, reader, writer):
        self.writers.append(writer)
        if self.is_full and len(self.writers) > 1:
            writer.transport.abort()
            return
        await super().serve(reader, writer)

    async def respond_unframed(self, request, writer):
        lines = [*ANSWER_HEAD, f"X-Request-Id: {request.header('X-Request-Id')}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + self.body)
        await writer.drain()
        if self.stops and self.exit_s:
            asyncio.get_running_loop().call_later(self.exit_s, self.exit)
        elif self.stops:
            self.exit()
        raise ConnectionError

    def exit(self):
        self.stop()
        for each in self.writers[1:]:
            each.transport.abort()


@pytest.fixture
async def replica(platform, gateway):
    started = LeavingReplica()
    await started.start()
    yield started
    started.stop()
    for each in started.writers:
        each.transport.abort()


async def receive_stream(gateway, platform, replica):
    platform.add(replica, "i-1", "model", stage="unified", slots=24)
    await gateway.until_listed(1)
    reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
    writer.write(standin.request_bytes("/drafts/1", streams.GENERATION_HEADERS))
    try:
        async with asyncio.timeout(5):
            return await streams.read_response(reader)
    finally:
        writer.close()


async def receive_call(gateway, platform, replica):
    platform.add(replica, "i-1")
    await gateway.until_listed(1)
    return await standin.exchange(gateway.port, standin.request_bytes("/once/1"))


@pytest.mark.parametrize("exit_s", [0.0, EXIT_S, LATE_EXIT_S])
class TestStoppedReplicas:
    async def test_unframed_stream_is_broken_off(
        self, gateway, platform, replica, exit_s
    ):
        replica.exit_s = exit_s
        received = await receive_stream(gateway, platform, replica)
        assert received.is_broken_off_after(replica.body)

    async def test_unframed_answer_to_a_once_only_call_is_a_bad_gateway(
        self, gateway, platform, replica, exit_s
    ):
        replica.exit_s = exit_s
        received = await receive_call(gateway, platform, replica)
        assert received.status == 502
        assert received.header("X-Response-Signature") is None


@pytest.mark.parametrize("is_full", [False, True])
class TestRunningReplicas:
    """A replica with too many connections resets the others, and runs all the same."""

    async def test_unframed_stream_is_complete(
        self, gateway, platform, replica, is_full
    ):
        replica.stops = False
        replica.is_full = is_full
        received = await receive_stream(gateway, platform, replica)
        assert received.is_whole(replica.body)

    async def test_unframed_answer_to_a_call_is_passed_on(
        self, gateway, platform, replica, is_full
    ):
        replica.stops = False
        replica.is_full = is_full
        received = await receive_call(gateway, platform, replica)
        assert received.status == 200
        assert received.body == replica.body


class RestartedReplica(LeavingReplica):
    """Ends its stream by a crash, and is back before the list shows it."""

    def __init__(self, born_ms):
        super().__init__()
        self.stops = False
        self.born_ms = born_ms

    async def respond_unframed(self, request, writer):
        if "/v1/report" in request.first_line:
            body = b'{"state":"ready","born":%d}' % self.born_ms
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            return
        await super().respond_unframed(request, writer)


class TestRestartedReplicas:
    LISTED_MS = 1_700_000_000_000

    @pytest.mark.parametrize("later_ms", [0, 3_000])
    async def test_a_stream_cut_by_a_crash_is_broken_off(
        self, gateway, platform, later_ms
    ):
        """The replica of review/7 was back behind a cut, and passed for the old one."""
        replica = RestartedReplica(self.LISTED_MS + later_ms)
        await replica.start()
        platform.add(
            replica, "i-1", "model", stage="unified", slots=24, born=self.LISTED_MS
        )
        await gateway.until_listed(1)
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        writer.write(standin.request_bytes("/drafts/1", streams.GENERATION_HEADERS))
        async with asyncio.timeout(5):
            received = await streams.read_response(reader)
        writer.close()
        replica.stop()
        for each in replica.writers:
            each.transport.abort()
        assert received.is_whole(replica.body) is (later_ms == 0)
        assert received.is_broken_off_after(replica.body) is (later_ms > 0)
