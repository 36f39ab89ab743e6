"""Requests around the graceful shutdown of a gateway, over real connections."""

import asyncio
import json

import msgspec
import pytest

from platform_standin import standin
from quetzalpass import event_log
from quetzalpass.relay import drain_schedule

WORK_S = 0.4


class SlowServer:
    """A server whose requests take ``WORK_S``; counts those that run to their end."""

    def __init__(self):
        self.raw = standin.RawServer(self.respond)
        self.finished = 0

    async def respond(self, request, writer):
        await asyncio.sleep(WORK_S)
        writer.write(standin.response_bytes(request))
        self.finished += 1


@pytest.fixture
async def slow_server(platform, gateway):
    server = SlowServer()
    await server.raw.start()
    platform.add(server.raw, "i-slow")
    await gateway.until_listed(1)
    yield server
    server.raw.stop()


@pytest.fixture
def log_events(monkeypatch):
    """The events that are logged during the test."""
    log = event_log.EventLog(-1)
    monkeypatch.setattr(event_log.EventLog, "current", log)
    return lambda: [json.loads(line) for line in log.lines]


async def send(port, path="/once/1", request_id="q-1"):
    reader, writer = await asyncio.open_connection(standin.HOST, port)
    writer.write(standin.request_bytes(path, request_id=request_id))
    return reader, writer


class TestLastRequests:
    @pytest.mark.parametrize("is_kept", [False, True])
    async def test_request_that_is_read_while_the_gateway_stops_is_refused(
        self, gateway, slow_server, is_kept
    ):
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        if is_kept:
            writer.write(standin.request_bytes("/once/1"))
            assert (await standin.read_message(reader)).status == 200
        await asyncio.sleep(0.05)
        gateway.role.gateway.requests.begin_drain(0.0)
        gateway.role.gateway.requests.end_drain()
        stopping = asyncio.create_task(gateway.caller_ingress.stop())
        await asyncio.sleep(0.02)
        writer.write(standin.request_bytes("/once/1", request_id="q-2"))
        response = await standin.read_message(reader)
        assert response.status == 503
        assert float(response.header("Retry-After")) <= 0.1
        assert response.header("Connection") == "close"
        await stopping
        assert len(slow_server.raw.requests) == is_kept
        writer.close()

    async def test_call_that_still_runs_gets_a_response(self, gateway, slow_server):
        reader, writer = await send(gateway.port)
        await asyncio.sleep(0.1)
        gateway.role.gateway.requests.begin_drain(0.0)
        gateway.role.gateway.requests.end_drain()
        response = await standin.read_message(reader)
        assert response.status == 502
        assert response.header("X-Response-Signature") is None
        writer.close()

    async def test_stream_that_still_runs_does_not_look_complete(
        self, gateway, platform
    ):
        async def respond(request, writer):
            writer.write(standin.stream_head(request))
            writer.write(standin.chunk(b"id: 1\ndata: x\n\n"))
            await asyncio.sleep(5.0)

        server = await standin.RawServer(respond).start()
        platform.add(server, "i-m", "model", stage="unified", slots=24)
        await gateway.until_listed(1)
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        writer.write(standin.request_bytes("/drafts/1", ["X-Token-Usage: 10,80"]))
        await reader.readuntil(b"id: 1")
        gateway.role.gateway.requests.begin_drain(0.0)
        gateway.role.gateway.requests.end_drain()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readuntil(b"0\r\n\r\n")
        writer.close()
        server.stop()

    async def test_response_is_whole_although_its_caller_reads_late(
        self, gateway, platform
    ):
        body = b"x" * 2_000_000

        async def respond(request, writer):
            writer.write(standin.response_bytes(request, body=body))

        server = await standin.RawServer(respond).start()
        platform.add(server, "i-large")
        await gateway.until_listed(1)
        reader, writer = await send(gateway.port)
        await asyncio.sleep(0.2)
        gateway.role.settings = msgspec.structs.replace(
            gateway.role.settings, drain_s=4.0
        )
        stopping = asyncio.create_task(shut_down(gateway))
        await asyncio.sleep(0.5)
        assert (await standin.read_message(reader)).body == body
        await stopping
        writer.close()
        server.stop()

    async def test_call_before_the_signal_is_told_that_its_connection_closes(
        self, gateway, slow_server
    ):
        reader, writer = await send(gateway.port)
        await asyncio.sleep(0.1)
        gateway.role.gateway.requests.begin_drain(5.0)
        response = await standin.read_message(reader)
        assert response.status == 200
        assert response.header("Connection") == "close"
        writer.close()

    async def test_request_whose_body_still_arrives_is_served(
        self, gateway, slow_server
    ):
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        data = standin.request_bytes("/once/1", body=b"x" * 20_000)
        writer.write(data[:-500])
        await asyncio.sleep(0.05)
        gateway.role.gateway.requests.begin_drain(5.0)
        gateway.caller_ingress.close_idle()
        await asyncio.sleep(0.05)
        writer.write(data[-500:])
        response = await standin.read_message(reader)
        assert response.status == 200
        assert response.header("Connection") == "close"
        writer.close()

    async def test_drain_waits_for_a_body_that_arrives_slowly(
        self, gateway, slow_server
    ):
        gateway.role.settings = msgspec.structs.replace(
            gateway.role.settings, drain_s=6.0
        )
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        data = standin.request_bytes("/once/1", body=b"x" * 1_000)
        writer.write(data[:-500])
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(shut_down(gateway))
        await asyncio.sleep(drain_schedule.BALANCER_REMOVAL_S + 0.3)
        writer.write(data[-500:])
        # The route's timeout has passed since the header arrived.
        assert (await standin.read_message(reader)).status == 504
        await stopping
        writer.close()

    async def test_connection_without_a_request_yet_stays_open(
        self, gateway, slow_server
    ):
        reader, writer = await asyncio.open_connection(standin.HOST, gateway.port)
        await asyncio.sleep(0.05)
        gateway.role.gateway.requests.begin_drain(5.0)
        gateway.caller_ingress.close_idle()
        await asyncio.sleep(0.05)
        writer.write(standin.request_bytes("/once/1"))
        assert (await standin.read_message(reader)).status == 200
        writer.close()


class TestDrain:
    async def test_callers_who_come_all_the_time_lose_no_request(
        self, gateway, slow_server
    ):
        gateway.role.settings = msgspec.structs.replace(
            gateway.role.settings, drain_s=3.5
        )
        stopped = asyncio.Event()
        callers = [
            asyncio.create_task(call_repeatedly(gateway, number, stopped))
            for number in range(8)
        ]
        await asyncio.sleep(0.3)
        await shut_down(gateway)
        stopped.set()
        statuses = [
            status for each in await asyncio.gather(*callers) for status in each
        ]
        assert statuses.count(200) == len(slow_server.raw.requests)
        assert slow_server.finished == len(slow_server.raw.requests)
        assert set(statuses) == {200, 503}


async def shut_down(gateway):
    await gateway.role.drain()
    await gateway.caller_ingress.stop()


async def call_repeatedly(gateway, number, stopped):
    """Send requests until the gateway no longer listens; return their statuses."""
    statuses = []
    await asyncio.sleep(0.05 * number)
    while not stopped.is_set():
        try:
            reader, writer = await send(
                gateway.port, request_id=f"q-{number}-{len(statuses)}"
            )
            response = await standin.read_message(reader)
        except ConnectionRefusedError:
            break
        except (ConnectionError, asyncio.IncompleteReadError):
            # Closed unread, unless the server has got the request.
            continue
        statuses.append(response.status)
        writer.close()
        await asyncio.sleep(0.03)
    return statuses


class TestLogs:
    async def test_interrupted_request_is_not_logged_as_left_by_its_caller(
        self, gateway, slow_server, log_events
    ):
        _, writer = await send(gateway.port)
        await asyncio.sleep(0.1)
        gateway.role.gateway.requests.begin_drain(0.0)
        gateway.role.gateway.requests.end_drain()
        await gateway.caller_ingress.stop()
        (event,) = [
            each for each in log_events() if each.get("decision") == "interrupted"
        ]
        assert event["server"] == "i-slow"
        assert "last decision: send" in event["detail"]
        writer.close()

    async def test_caller_that_leaves_is_logged_as_such(
        self, gateway, slow_server, log_events
    ):
        _, writer = await send(gateway.port)
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)
        decisions = [each.get("decision") for each in log_events()]
        assert "caller_gone" in decisions
        assert "interrupted" not in decisions
