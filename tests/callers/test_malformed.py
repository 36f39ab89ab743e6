import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from quetzalpass.results import codes

pytestmark = pytest.mark.looptime
CODE = codes.Code
GOOD = b'{"model": "claims-llm", "prompt": "a check [tokens=3]"}'


def post(body=GOOD, path="/v1/completions", key="org", length=None, extra_headers=""):
    length = len(body) if length is None else length
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {length}\r\nConnection: close\r\n{extra_headers}\r\n"
    )
    return head.encode("latin-1") + body


MALFORMED = {
    "bad JSON": (post(b'{"model": '), CODE.BAD_JSON),
    "not an object": (post(b"[1]"), CODE.BAD_REQUEST),
    "bad UTF-8": (post(b'{"model": "\xff"}'), CODE.BAD_JSON),
    "deep nesting": (post(b'{"a":' * 700 + b"1"), CODE.BAD_JSON),
    "wrong type": (post(b'{"model": 3}'), CODE.BAD_REQUEST),
    "body too large": (post(b"x" * 5_000), CODE.BODY_TOO_LARGE),
    "length too large": (post(b"x", length=10**9), CODE.BODY_TOO_LARGE),
    "header too large": (post(extra_headers=f"X: {'x' * 2_000}\r\n"), CODE.BAD_HEADER),
    "line too long": (post(path="/" + "x" * 2_000), CODE.BAD_HEADER),
    "header without name": (post(extra_headers=": x\r\n"), CODE.BAD_HEADER),
    "control in header": (post(extra_headers="X: a\x01b\r\n"), CODE.BAD_HEADER),
    "unknown model": (post(b'{"model": "m", "prompt": "p"}'), CODE.UNKNOWN_MODEL),
    "bad key": (post(key="nobody"), CODE.UNKNOWN_KEY),
    "key not ASCII": (post(key="k\xe9\xff"), CODE.UNKNOWN_KEY),
    "bad class": (post(extra_headers="Quetzalpass-Class: no\r\n"), CODE.UNKNOWN_CLASS),
    "bad timeout": (
        post(extra_headers="Quetzalpass-Timeout-Ms: -1\r\n"),
        CODE.BAD_HEADER,
    ),
    "bad event id": (post(extra_headers="Last-Event-ID: x\r\n"), CODE.BAD_HEADER),
    "header twice": (
        post(extra_headers="Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
        CODE.BAD_HEADER,
    ),
    "half a body": (post(length=90), CODE.BODY_INCOMPLETE),
    "unknown path": (post(path="/v1/nothing"), CODE.NOT_FOUND),
    "unknown method": (
        b"PUT /v1/models HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
        CODE.NOT_FOUND,
    ),
    "bad percent-encoding": (post(path="/services/ledger-app/%zz"), CODE.BAD_REQUEST),
    "dotted path": (
        post(path="/services/ledger-app/x/%2e%2e/waivers"),
        CODE.BAD_REQUEST,
    ),
    "empty segment": (post(path="/services/ledger-app//waivers"), CODE.BAD_REQUEST),
    "encoded slash": (post(path="/services/ledger-app/%2Fwaivers"), CODE.BAD_REQUEST),
    "control in path": (post(path="/services/ledger-app/a%07b"), CODE.BAD_REQUEST),
    "newline in path": (post(path="/services/ledger-app/a%0ab"), CODE.NOT_FOUND),
    "not HTTP": (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", CODE.BAD_REQUEST),
    "bad expectation": (post(extra_headers="Expect: magic\r\n"), CODE.BAD_HEADER),
}


def result_code(response):
    head = response.partition(b"\r\n\r\n")[0].decode("latin-1")
    lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
    assert "Quetzalpass-Request-Id" in lines, head
    return CODE(int(lines["Quetzalpass-Result"]))


class TestMalformedRequests:
    @pytest.mark.parametrize("kind", MALFORMED)
    async def test_malformed_request_gets_code_and_daemon_survives(
        self, start_frontend, kind
    ):
        frontend = await start_frontend()
        data, code = MALFORMED[kind]
        response = await frontend.send(data, finish=code is CODE.BODY_INCOMPLETE)
        assert result_code(response) is code, response
        body = json.loads(response.partition(b"\r\n\r\n")[2])
        assert body["error"]["execution"] == "not_run"
        assert body["error"]["advice"]
        assert result_code(await frontend.send(post())) is CODE.OK
        assert frontend.gateway.requests == 0
        assert not frontend.cluster.services[0].runs

    async def test_late_body_counts_as_incomplete(self, start_frontend):
        frontend = await start_frontend()
        response = await frontend.send(post(length=90))
        assert result_code(response) is CODE.BODY_INCOMPLETE

    async def test_connection_with_late_header_is_closed(self, start_frontend):
        frontend = await start_frontend()
        assert await frontend.send(post()[:40]) == b""

    async def test_connections_above_the_limit_are_closed(self, start_frontend):
        frontend = await start_frontend()
        open_connections = [await frontend.connect() for _ in range(8)]
        reader, writer = await frontend.connect()
        try:
            assert await reader.read() == b""
        except ConnectionError:
            pass
        for _, open_writer in (*open_connections, (reader, writer)):
            open_writer.close()

    async def test_continue_is_sent_before_the_body(self, start_frontend):
        frontend = await start_frontend()
        data = post(extra_headers="Expect: 100-continue\r\n")
        reader, writer = await frontend.connect()
        writer.write(data[: -len(GOOD)])
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(GOOD)
        assert result_code(await reader.read()) is CODE.OK
        writer.close()

    async def test_continue_is_not_sent_for_too_large_body(self, start_frontend):
        frontend = await start_frontend()
        data = post(b"", length=10**7, extra_headers="Expect: 100-continue\r\n")
        assert result_code(await frontend.send(data)) is CODE.BODY_TOO_LARGE


class TestFuzzedRequests:
    @pytest.mark.parametrize("seed", range(4))
    async def test_daemon_survives_any_bytes(self, start_frontend, seed):
        frontend = await start_frontend()
        samples = []

        @settings(
            max_examples=30,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        @given(
            st.sampled_from([each[0] for each in MALFORMED.values()] + [post()]),
            st.integers(0, 400),
            st.binary(max_size=12),
        )
        def collect(data, position, extra):
            position = (position + seed * 37) % (len(data) + 1)
            samples.append(data[:position] + extra + data[position + seed :])

        collect()
        for data in samples:
            response = await frontend.send(data)
            if response.startswith(b"HTTP/1.1 2"):
                assert result_code(response) is CODE.OK
            elif response:
                assert b"Quetzalpass-Result: " in response, (data, response)
        assert not frontend.cluster.services[0].runs
        assert result_code(await frontend.send(post())) is CODE.OK
        assert frontend.gateway.requests == 0
