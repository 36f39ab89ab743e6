"""Requests that reach the replica as their caller sent them."""

import gzip

import pytest

from platform_standin import standin


@pytest.fixture
async def ledger(platform, gateway):
    async def respond(request, writer):
        writer.write(standin.response_bytes(request))

    server = await standin.RawServer(respond).start()
    platform.add(server, "i-1")
    await gateway.until_listed(1)
    yield server
    server.stop()


BODIES = {
    "gzip": gzip.compress(b"payload" * 100),
    "deflate": b"\x78\x9c\x4b\x04\x00\x00\x62\x00\x62",
    "br": b"\x0b\x02\x80abc\x03",
    "zstd": b"not a frame",
    "unknown": b"bytes",
}


class TestEncodedBodies:
    @pytest.mark.parametrize("is_chunked", [False, True])
    @pytest.mark.parametrize("encoding", BODIES)
    async def test_encoded_body_is_forwarded_as_it_is(
        self, gateway, ledger, encoding, is_chunked
    ):
        body = BODIES[encoding]
        fields = [f"Content-Encoding: {encoding}"]
        data = standin.request_bytes("/once/1", fields, body)
        if is_chunked:
            fields.append("Transfer-Encoding: chunked")
            data = standin.request_bytes("/once/1", fields)
            data += standin.chunk(body) + standin.chunk(b"")
        response = await standin.exchange(gateway.port, data)
        (request,) = ledger.requests
        assert response.status == 200
        assert request.body == body
        assert request.header("Content-Encoding") == encoding

    @pytest.mark.parametrize("encoding", BODIES)
    async def test_body_that_is_not_encoded_so_is_forwarded_too(
        self, gateway, ledger, encoding
    ):
        data = standin.request_bytes(
            "/once/1", [f"Content-Encoding: {encoding}"], b"plain text"
        )
        response = await standin.exchange(gateway.port, data)
        assert response.status == 200
        assert ledger.requests[0].body == b"plain text"


TARGETS = [
    "/once/1?",
    "/once/1??",
    "/once/1?a=b?",
    "/once/1?a=b&",
    "/once/1?#",
    "/once/1#part",
    "/once/1?a=%3f%23#part",
    "/once//1/./../x",
    "/once/%2e%2E/%zz",
    "/once/a:b@c;d=e,f",
    "/once/[1]|{2}^`",
]


class TestTargets:
    @pytest.mark.parametrize("target", TARGETS)
    async def test_target_is_forwarded_unchanged(self, gateway, ledger, target):
        response = await standin.exchange(gateway.port, standin.request_bytes(target))
        assert response.status == 200
        assert ledger.requests[0].first_line == f"POST {target} HTTP/1.1"
