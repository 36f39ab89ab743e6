"""Streams that move between replicas that go on with a run whose channel is closed."""

import asyncio
import json

import pytest

from adapter import test_broken_off_streams as streams
from fleet_adapter import replicas as fleet_replicas
from platform_standin import standin
from quetzalpass import ids
from quetzalpass.backends import base, discovery

EVENT_COUNT = 40
STEP_S = 0.03
# The rule allows two replicas to work on a request for 0.4 s.
MAX_OVERLAP_S = 0.4


class KeepingReplica(standin.RawServer):
    """Runs streams to their end unless a move stops them."""

    def __init__(self, move_status=200):
        super().__init__(self.answer)
        self.move_status = move_status
        self.moves = []
        self.made = {}
        self.stopped = set()
        self.runs = []
        self.last_event_s = 0.0

    async def answer(self, request, writer):
        path = request.first_line.split()[1]
        if path == "/v1/kv-move":
            writer.write(self.move(json.loads(request.body)))
        elif path.startswith("/v1/"):
            writer.write(standin.response_bytes(request, 200, b'{"next": 1}'))
        else:
            await self.run(request, writer)

    def move(self, order):
        self.moves.append(order)
        status = 200
        if order["last"]:
            self.stopped.add(order["id"])
            status = self.move_status
        body = json.dumps({"handle": "h1", "made": self.made[order["id"]]}).encode()
        head = f"HTTP/1.1 {status} Whatever\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    async def run(self, request, writer):
        request_id = request.header("X-Request-Id")
        self.runs.append(request)
        self.stopped.discard(request_id)
        writer.write(standin.stream_head(request))
        begin = int(request.header("Last-Event-Id") or 0)
        for number in range(begin + 1, EVENT_COUNT + 1):
            self.made[request_id] = number
            self.last_event_s = asyncio.get_running_loop().time()
            writer.write(standin.chunk(streams.event(number, b"\n")))
            await asyncio.sleep(STEP_S)
            if request_id in self.stopped:
                raise ConnectionError
        writer.write(standin.chunk(b""))


async def move_stream(gateway, platform, source, target):
    """Return what a caller receives of a stream whose replica begins to leave."""
    now_s = asyncio.get_running_loop().time()
    gateway.role.gateway.budget.update_gateways(1, {}, now_s)
    platform.add(source, "i-1", "model", stage="unified", slots=24)
    await gateway.until_listed(1)
    reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
    writer.write(standin.request_bytes("/drafts/1", streams.GENERATION_HEADERS))
    reading = asyncio.create_task(streams.read_response(reader))
    while not source.runs:
        await asyncio.sleep(0.01)
    platform.add(target, "i-2", "model", stage="unified", slots=24)
    await gateway.until_listed(2)
    platform.entries[0] = {**platform.entries[0], "state": "draining"}
    try:
        async with asyncio.timeout(5):
            return await reading
    finally:
        writer.close()


@pytest.fixture
async def target():
    started = KeepingReplica()
    await started.start()
    yield started
    started.stop()


class TestMovedStreams:
    async def test_first_replica_stops_before_the_second_goes_on(
        self, gateway, platform, target
    ):
        source = KeepingReplica()
        await source.start()
        received = await move_stream(gateway, platform, source, target)
        assert received.is_whole(streams.events(1, EVENT_COUNT))
        assert [each["last"] for each in source.moves] == [False, True]
        assert {each["to"] for each in source.moves} == {target.address}
        (moved,) = target.runs
        assert moved.header("Kv-From") == f"{source.address}/h1"
        assert source.made["q-1"] < EVENT_COUNT
        assert target.made["q-1"] == EVENT_COUNT
        source.stop()

    async def test_move_without_room_goes_on_at_the_first_replica(
        self, gateway, platform, target
    ):
        source = KeepingReplica(move_status=503)
        await source.start()
        received = await move_stream(gateway, platform, source, target)
        assert received.is_whole(streams.events(1, EVENT_COUNT))
        assert len(source.runs) == 2
        assert source.runs[1].header("Kv-From") == f"{source.address}/h1"
        assert target.runs == []
        source.stop()


class TestStops:
    """The responses of a replica to the move that stops a run."""

    async def stop(self, status, body, is_closing=False):
        async def respond(request, writer):
            if is_closing:
                raise ConnectionError
            writer.write(standin.response_bytes(request, status, body))

        server = await standin.RawServer(respond).start()
        connector = fleet_replicas.ReplicaConnector()
        replica = connector(
            discovery.DiscoveredServer(
                ids.ServerId("i-1"),
                ids.ServiceName("model"),
                server.address,
                ids.DataCentreId("flx-a"),
                state=discovery.ServerState.READY,
                slots=24,
                is_engine=True,
            )
        )
        try:
            return await replica.stop_run(ids.RequestId("q-1"), "10.0.0.2:80", 1.0)
        finally:
            await connector.close()
            server.stop()

    @pytest.mark.parametrize(("status", "is_at_destination"), [(200, 1), (503, 0)])
    async def test_stopped_run_has_a_handle(self, status, is_at_destination):
        stopped = await self.stop(status, b'{"handle": "h7", "made": 12}')
        copy = stopped.unwrap()
        assert (copy.copy_id, copy.event_count) == ("h7", 12)
        assert copy.is_at_destination is bool(is_at_destination)

    @pytest.mark.parametrize(
        ("status", "kind"),
        [
            (404, base.FailureKind.UNKNOWN_GENERATION),
            (409, base.FailureKind.REJECTED),
        ],
    )
    async def test_refused_stop_has_not_stopped_the_run(self, status, kind):
        failure = (await self.stop(status, b"")).failure()
        assert failure.end is base.AttemptEnd.REFUSED
        assert failure.kind is kind

    @pytest.mark.parametrize(
        ("status", "body"),
        [(200, b"torn"), (500, b""), (503, b""), (503, b"{}"), (503, b"full")],
    )
    async def test_other_responses_leave_it_open(self, status, body):
        failure = (await self.stop(status, body)).failure()
        assert failure.end is base.AttemptEnd.MAY_HAVE_RUN

    async def test_lost_response_leaves_it_open(self):
        failure = (await self.stop(200, b"", is_closing=True)).failure()
        assert failure.end is base.AttemptEnd.MAY_HAVE_RUN
