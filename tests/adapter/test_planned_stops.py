"""Requests around the graceful shutdown of a gateway, over real connections."""

import asyncio
import json

import pytest

from platform_standin import standin
from quetzalpass import event_log

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
    async def test_call_before_the_signal_is_told_that_its_connection_closes(
        self, gateway, slow_server
    ):
        reader, writer = await send(gateway.port)
        await asyncio.sleep(0.1)
        gateway.role.gateway.begin_drain(5.0)
        response = await standin.read_message(reader)
        assert response.status == 200
        assert response.header("Connection") == "close"
        writer.close()


class TestLogs:
    async def test_interrupted_request_is_not_logged_as_left_by_its_caller(
        self, gateway, slow_server, log_events
    ):
        _, writer = await send(gateway.port)
        await asyncio.sleep(0.1)
        gateway.role.gateway.is_stopping = True
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
