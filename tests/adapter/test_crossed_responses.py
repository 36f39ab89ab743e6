"""Refusals and cut heads of faulty replicas, on the connection of another request."""

import asyncio

import pytest

from platform_standin import standin

OTHER_ID = "X-Request-Id: q-0"
NOT_EXECUTED = "X-Not-Executed: 1"
# Refusals that don't say which request they refuse, or name another one.
CROSSED_REFUSALS = {
    "earlier 503": (503, (NOT_EXECUTED, OTHER_ID)),
    "earlier 429": (429, (NOT_EXECUTED, OTHER_ID)),
    "earlier 421": (421, (OTHER_ID,)),
    "earlier 400": (400, (NOT_EXECUTED, OTHER_ID)),
    "503 without an id": (503, (NOT_EXECUTED,)),
    "421 without an id": (421, ()),
    "503 with two ids": (503, (NOT_EXECUTED, "X-Request-Id: q-1", OTHER_ID)),
}
PROMISING_NOT_RUN = {408, 421, 429, 503}
GENERATION_HEADERS = ["X-Token-Usage: 10,80", "X-Model: m"]
REPLICAS = 3


def refusal_bytes(status, fields):
    lines = [f"HTTP/1.1 {status} No", "Content-Length: 0", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class RunningReplicas:
    """Replicas that run each request; each writes the same bytes as its response."""

    def __init__(self):
        self.response = b""
        self.runs = []
        self.raw = standin.RawServer(self.respond)

    async def respond(self, request, writer):
        self.runs.append(request)
        writer.write(self.response)
        await writer.drain()
        await asyncio.sleep(0.3)


@pytest.fixture
async def running(gateway, platform):
    replicas = RunningReplicas()
    await replicas.raw.start()
    for number in range(REPLICAS):
        platform.add(replicas.raw, f"l-{number}")
        platform.add(replicas.raw, f"e-{number}", "model", stage="unified", slots=24)
    await gateway.until_listed(2 * REPLICAS)
    yield replicas
    replicas.raw.stop()


@pytest.mark.parametrize("refusal", CROSSED_REFUSALS)
class TestRefusalsOfOtherRequests:
    @pytest.mark.parametrize("path", ["/once/1", "/drafts/1"])
    async def test_request_that_runs_is_neither_refused_nor_sent_again(
        self, gateway, running, refusal, path
    ):
        running.response = refusal_bytes(*CROSSED_REFUSALS[refusal])
        data = standin.request_bytes(path, GENERATION_HEADERS)
        response = await standin.exchange(gateway.port, data)
        assert response.status not in PROMISING_NOT_RUN
        assert len(running.runs) == 1

    async def test_repeatable_request_is_not_refused_either(
        self, gateway, running, refusal
    ):
        running.response = refusal_bytes(*CROSSED_REFUSALS[refusal])
        data = standin.request_bytes("/reads/1", method="GET")
        response = await standin.exchange(gateway.port, data)
        assert response.status not in PROMISING_NOT_RUN


class TestKeptConnections:
    async def test_refusal_that_is_written_once_more_reaches_no_later_request(
        self, gateway, platform
    ):
        runs = []

        async def respond(request, writer):
            if request.header("X-Request-Id") == "q-0":
                refusal = standin.response_bytes(request, 503, b"", [NOT_EXECUTED])
                writer.write(refusal)
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.write(refusal)
                return
            runs.append(request)
            writer.write(standin.response_bytes(request))

        server = await standin.RawServer(respond).start()
        platform.add(server, "l-1")
        await gateway.until_listed(1)
        refused = await standin.exchange(
            gateway.port, standin.request_bytes("/once/1", request_id="q-0")
        )
        await asyncio.sleep(0.1)
        response = await standin.exchange(
            gateway.port, standin.request_bytes("/once/1")
        )
        server.stop()
        assert refused.status == 503
        assert (response.status, len(runs)) == (200, 1)
        assert response.header("X-Request-Id") == "q-1"


class TestUpgrades:
    @pytest.mark.parametrize("path", ["/once/1", "/reads/1", "/drafts/1"])
    async def test_switch_of_protocols_is_no_response(self, gateway, running, path):
        fields = ["X-Request-Id: q-1", "X-Response-Signature: s"]
        lines = ["HTTP/1.1 101 Switching", *fields, "Upgrade: x", "Connection: upgrade"]
        running.response = "\r\n".join(lines).encode() + b"\r\n\r\nsurplus"
        data = standin.request_bytes(path, GENERATION_HEADERS)
        response = await standin.exchange(gateway.port, data)
        assert response.status == 502
