"""Crowds of clients before the other listeners of the processes.

The memory bounds are those of the machines, as on the platform's pages. On 3281702 the
cases with a header line without end failed, those of operators' bodies, and the one of
descriptors; the others guard against a change for the worse.
"""

import pytest

from crowds import conftest, crowd
from platform_standin import standin

pytestmark = pytest.mark.long

PRESS_S = 4.0
BLOCK = b"x" * 65_536
HEAD = b"PUT /v1/config HTTP/1.1\r\nHost: x\r\n"
# A control node's machine.
CONTROL_MEMORY_BYTES = 296_000_000
METRICS_PORT = 9109

FLOODS = {
    "a header line without end": (60, crowd.Flood(HEAD + b"X-Long: ", BLOCK)),
    "header lines without end": (
        60,
        crowd.Flood(HEAD, b"a:\r\n" * 4_000, interval_s=0.01),
    ),
    "chunks that stop short of the end": (
        60,
        crowd.Flood(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            standin.chunk(BLOCK),
            repeats=100,
        ),
    ),
    "a body that stops short of its end": (
        60,
        crowd.Flood(HEAD + b"Content-Length: 60000000\r\n\r\n", BLOCK, repeats=100),
    ),
}
LISTENERS = (
    "control",
    "control's peers",
    "control's metrics",
    "gateway's ready",
    "gateway's peers",
    "gateway's metrics",
)
CASES = [
    *((listener, "a header line without end") for listener in LISTENERS),
    *(("control", kind) for kind in FLOODS if "header line without" not in kind),
    ("control's peers", "a body that stops short of its end"),
    ("gateway's peers", "chunks that stop short of the end"),
    ("gateway's ready", "header lines without end"),
]


def target_of(system, listener):
    """Return the process, the port and the memory of a listener's machine."""
    ports = system.ports
    return {
        "control": (system.control, ports.control, CONTROL_MEMORY_BYTES),
        "control's peers": (system.control, ports.inner, CONTROL_MEMORY_BYTES),
        "control's metrics": (system.control, METRICS_PORT, CONTROL_MEMORY_BYTES),
        "gateway's ready": (system.gateway, ports.ready, conftest.MEMORY_BYTES),
        "gateway's peers": (system.gateway, ports.inner, conftest.MEMORY_BYTES),
        "gateway's metrics": (system.gateway, METRICS_PORT, conftest.MEMORY_BYTES),
    }[listener]


class TestMemory:
    @pytest.mark.parametrize(("listener", "kind"), CASES)
    async def test_a_process_outlives_a_crowd_within_its_memory(
        self, start_system, listener, kind
    ):
        system = await start_system()
        node, port, memory_bytes = target_of(system, listener)
        size, flood = FLOODS[kind]
        pressing = crowd.Crowd(node.ip, port, flood, size)
        watch = await crowd.press_process(node.process, node.ip, pressing, PRESS_S)
        print(listener, kind, watch.summary(), pressing.opened, "opened")
        assert node.process.returncode is None
        assert watch.memory_bytes <= memory_bytes, watch.summary()
        assert await system.publish()
        assert await system.serve_one() == 200


class TestDescriptors:
    async def test_a_control_node_keeps_within_its_descriptors(self, start_system):
        max_fds = 400
        system = await start_system(max_fds)
        node = system.control
        pressing = crowd.Crowd(
            node.ip, system.ports.control, crowd.Flood(), max_fds + 200
        )
        watch = await crowd.press_process(node.process, node.ip, pressing, PRESS_S)
        print("descriptors", watch.summary(), pressing.opened, "opened")
        assert node.process.returncode is None
        assert watch.descriptors <= max_fds, watch.summary()
        assert await system.publish()
