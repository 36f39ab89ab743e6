"""Crowds of clients before the listeners of a daemon with our own interface.

On 3281702 the cases of a line without end failed, and those of odd requests with more
than 128 header lines; the others guard against a change for the worse.
"""

import pytest

from crowds import crowd
from daemon import test_planned_stops
from platform_standin import standin

pytestmark = pytest.mark.long

PRESS_S = 4.0
# A node's part of the memory at the size that docs/CAPACITY.md designs for.
MEMORY_BYTES = 256_000_000
BLOCK = b"x" * 65_536
HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer org\r\n"

FLOODS = {
    "a header line without end": (60, crowd.Flood(HEAD + b"X-Long: ", BLOCK)),
    "a request line without end": (20, crowd.Flood(b"GET /", BLOCK)),
    "header lines without end": (
        60,
        crowd.Flood(HEAD, b"a:\r\n" * 4_000, interval_s=0.01),
    ),
    "chunks that stop short of the end": (
        100,
        crowd.Flood(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            standin.chunk(BLOCK),
            repeats=30,
        ),
    ),
}
CASES = [
    *(("callers", kind) for kind in FLOODS),
    ("operators", "a header line without end"),
    ("peers", "a header line without end"),
]


@pytest.fixture
async def daemon(tmp_path):
    service = test_planned_stops.SlowService()
    await service.start()
    process = test_planned_stops.DaemonProcess(tmp_path, service)
    await process.start()
    yield process
    await process.stop()
    await service.stop()


class TestMemory:
    @pytest.mark.parametrize(("listener", "kind"), CASES)
    async def test_a_daemon_outlives_a_crowd_within_its_memory(
        self, daemon, listener, kind
    ):
        size, flood = FLOODS[kind]
        host, port = test_planned_stops.HOST, daemon.ports[listener]
        pressing = crowd.Crowd(host, port, flood, size)
        watch = await crowd.press_process(daemon.process, host, pressing, PRESS_S, port)
        print(listener, kind, watch.summary(), pressing.opened, "opened")
        assert daemon.process.returncode is None
        assert watch.memory_bytes <= MEMORY_BYTES, watch.summary()
        served = await daemon.exchange(
            test_planned_stops.request("/services/ledger-app/0")
        )
        assert served.startswith(b"HTTP/1.1 200")


class TestOddRequests:
    @pytest.mark.parametrize("count", [100, 130, 500, 1_000])
    async def test_many_header_lines_are_served(self, daemon, count):
        lines = "".join(f"x-{number}: 1\r\n" for number in range(count))
        data = test_planned_stops.request("/services/ledger-app/0")
        data = data.replace(b"\r\n\r\n", b"\r\n" + lines.encode() + b"\r\n", 1)
        assert (await daemon.exchange(data)).startswith(b"HTTP/1.1 200")
