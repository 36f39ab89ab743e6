"""Reports of replicas, which are fetched on kept connections."""

import asyncio

import pytest

from fleet_adapter import replicas
from platform_standin import standin
from quetzalpass import ids
from quetzalpass.backends import discovery


def report_bytes(state, status="200 OK", extra=()):
    body = b'{"state":"%s","next":1}' % state.encode()
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *extra]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


STALE_RESPONSES = {
    "a refusal": report_bytes("ready", "503 Busy", ["X-Not-Executed: 1"]),
    "a report": report_bytes("ready"),
    "a cut head": b"HTTP/1.1 200 OK\r\nContent-Len",
    "a cut body": report_bytes("ready")[:-3],
}


class ReportingReplica:
    """Responds to reports; writes ``stale`` once more after its first response.

    Attributes
    ----------
    is_delayed : bool
        Whether ``stale`` arrives later than the response, or with the end of its body.
    """

    def __init__(self, stale):
        self.stale = stale
        self.is_delayed = True
        self.state = "ready"
        self.raw = standin.RawServer(self.respond)

    async def respond(self, request, writer):
        stale, self.stale = self.stale, b""
        data = report_bytes(self.state)
        if stale:
            sent_bytes = len(data) if self.is_delayed else len(data) - 3
            writer.write(data[:sent_bytes])
            await writer.drain()
            await asyncio.sleep(0.03)
            data = data[sent_bytes:] + stale
        writer.write(data)

    async def start(self):
        await self.raw.start()
        entry = discovery.DiscoveredServer(
            ids.ServerId("e-1"),
            ids.ServiceName("model"),
            self.raw.address,
            ids.DataCentreId("flx-a"),
            discovery.ServerState.READY,
            6,
            is_engine=True,
        )
        self.connector = replicas.ReplicaConnector(keep_alive=True)
        return self.connector(entry)

    async def stop(self):
        await self.connector.close()
        self.raw.stop()


@pytest.fixture
async def reporting():
    replica = ReportingReplica(b"")
    yield replica
    await replica.stop()


class TestKeptConnections:
    async def test_reports_share_a_connection(self, reporting):
        client = await reporting.start()
        assert [await client.is_leaving() for _ in range(3)] == [False] * 3
        assert reporting.raw.connections == 1

    @pytest.mark.parametrize("is_delayed", [True, False])
    @pytest.mark.parametrize("stale", STALE_RESPONSES)
    async def test_response_that_nobody_asked_for_is_no_later_report(
        self, reporting, stale, is_delayed
    ):
        reporting.stale = STALE_RESPONSES[stale]
        reporting.is_delayed = is_delayed
        client = await reporting.start()
        assert not await client.is_leaving()
        await asyncio.sleep(0.1)
        reporting.state = "draining"
        assert await client.is_leaving()

    @pytest.mark.parametrize("stale", STALE_RESPONSES)
    async def test_response_that_nobody_asked_for_is_no_hint(self, reporting, stale):
        reporting.stale = STALE_RESPONSES[stale]
        client = await reporting.start()
        (await client.wait_for_leaving_hint(0.1)).unwrap()
        await asyncio.sleep(0.1)
        assert (await client.wait_for_leaving_hint(0.1)).unwrap() is False
