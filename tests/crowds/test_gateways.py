"""Crowds of clients before a gateway's listener for callers.

Each test failed on 3281702: the gateway took more memory than its machine has, or more
descriptors.
"""

import pytest

from crowds import conftest, crowd
from platform_standin import standin

pytestmark = pytest.mark.long

PRESS_S = 5.0
HEAD_BYTES = 16_000
MIB = 1024 * 1024
BLOCK = b"x" * 65_536


def head(*lines, request_line=b"POST /once/crowd HTTP/1.1"):
    """Return the beginning of a request's head, without its empty line."""
    first = (
        request_line,
        b"Host: desk.example",
        b"X-Request-Id: crowd",
        b"X-Deadline-Ms: 30000",
        b"Authorization: Bearer key-1",
    )
    return b"\r\n".join((*first, *lines)) + b"\r\n"


def many_lines(line):
    return line * (HEAD_BYTES // len(line))


CHUNKED = head(b"Transfer-Encoding: chunked") + b"\r\n"
ODD_HEAD = head() + many_lines(b"1f:\r\n")

FLOODS = {
    "short header lines": (200, crowd.Flood(ODD_HEAD + b"\r\n")),
    "short header lines and no empty line": (200, crowd.Flood(ODD_HEAD)),
    "short header lines and part of a body": (
        300,
        crowd.Flood(ODD_HEAD + b"Content-Length: 2\r\n\r\nx"),
    ),
    "lines with bytes above 127": (
        300,
        crowd.Flood(head() + many_lines(b"x:\t\xe9\xff\r\n")),
    ),
    "header lines without end": (
        200,
        crowd.Flood(head(), many_lines(b"a:\r\n"), interval_s=0.01),
    ),
    "a header line without end": (60, crowd.Flood(head() + b"X-Long: ", BLOCK)),
    "a request line without end": (20, crowd.Flood(b"GET /", BLOCK)),
    "empty lines without end": (150, crowd.Flood(b"", b"\r\n" * 16_384)),
    "chunks that stop short of the end": (
        300,
        crowd.Flood(CHUNKED, standin.chunk(BLOCK), repeats=63),
    ),
    "a chunk that stops short of its end": (
        300,
        crowd.Flood(CHUNKED + b"400000\r\n", BLOCK, repeats=63),
    ),
    "a body that stops short of its end": (
        300,
        crowd.Flood(head(b"Content-Length: 4194304") + b"\r\n", BLOCK, repeats=63),
    ),
    "chunks of one byte": (
        100,
        crowd.Flood(CHUNKED, standin.chunk(b"x") * 8_192, repeats=488),
    ),
    "a chunk size without end": (100, crowd.Flood(CHUNKED, b"0" * 65_536)),
    "a chunk extension without end": (100, crowd.Flood(CHUNKED + b"1;", BLOCK)),
    "trailers without end": (
        150,
        crowd.Flood(CHUNKED + b"0\r\n", many_lines(b"a:\r\n"), interval_s=0.01),
    ),
    "requests behind one that runs": (
        200,
        crowd.Flood(
            head(request_line=b"GET /drafts/crowd HTTP/1.1") + b"\r\n",
            (head(request_line=b"GET /reads/crowd HTTP/1.1") + b"\r\n") * 100,
        ),
    ),
    "heads behind a request that runs": (
        100,
        crowd.Flood(
            head(request_line=b"GET /drafts/crowd HTTP/1.1") + b"\r\n" + ODD_HEAD
        ),
    ),
    "responses that are not read": (
        450,
        crowd.Flood(
            head(b"Content-Length: 262144") + b"\r\n" + b"x" * 262_144, reads=False
        ),
    ),
}


class TestMemory:
    @pytest.mark.parametrize("kind", FLOODS)
    async def test_a_gateway_outlives_a_crowd_within_its_memory(
        self, start_system, kind
    ):
        system = await start_system()
        node = system.gateway
        size, flood = FLOODS[kind]
        pressing = crowd.Crowd(node.ip, system.ports.front, flood, size)
        watch = await crowd.press_process(node.process, node.ip, pressing, PRESS_S)
        print(kind, watch.summary(), pressing.opened, "opened")
        assert node.process.returncode is None
        assert watch.memory_bytes <= conftest.MEMORY_BYTES, watch.summary()
        assert await system.serve_one() == 200


class TestDescriptors:
    @pytest.mark.parametrize(
        "start", [b"", b"GET / HTTP/1.1\r\n"], ids=["nothing", "part of a head"]
    )
    async def test_a_gateway_keeps_within_its_descriptors(self, start_system, start):
        max_fds = 400
        system = await start_system(max_fds)
        node = system.gateway
        flood = crowd.Flood(start)
        pressing = crowd.Crowd(node.ip, system.ports.front, flood, max_fds + 200)
        watch = await crowd.press_process(node.process, node.ip, pressing, PRESS_S)
        print("descriptors", watch.summary(), pressing.opened, "opened")
        assert node.process.returncode is None
        assert watch.descriptors <= max_fds, watch.summary()
        assert await system.serve_one() == 200
