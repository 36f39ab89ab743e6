import asyncio
import contextlib

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base, engine_http, event_stream
from quetzalpass.settings import schema

FUZZ = settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
LIMIT = 400
ID = "gen-1-1"
END = b"data: [DONE]\n\n"
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)


def event(offset, generation_id=ID):
    text = (
        f'data: {{"id":"{generation_id}","offset":{offset},'
        f'"choices":[{{"text":"t{offset} ","finish_reason":null}}]}}\n\n'
    )
    return text.encode()


UNEXPECTED_DATA = st.one_of(
    st.binary(max_size=30),
    st.sampled_from(
        [
            b": comment\n\n",
            b"data: {}\n\n",
            b'data: {"id":3}\n\n',
            b"data: [1]\n\n",
            b"event: x\n\n",
            b"data: \xff\n\n",
            b"data:" + b"x" * 500 + b"\n\n",
            b'data: {"id":"gen-1-1","offset":0,"choices":[]}\n\n',
            END,
            event(0),
            event(1),
            event(2, "another"),
            event(-1),
            event(10**30),
        ]
    ),
)


@st.composite
def streams(draw):
    """Return chunks of a stream with unexpected data in any place."""
    parts = [event(offset) for offset in range(draw(st.integers(0, 6)))] + [END]
    for _ in range(draw(st.integers(0, 2))):
        parts.insert(draw(st.integers(0, len(parts))), draw(UNEXPECTED_DATA))
    data = b"".join(parts)
    if draw(st.booleans()):
        data = data.replace(b"\n", b"\r\n")
    cuts = sorted(draw(st.lists(st.integers(0, len(data)), max_size=4)))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


def collect_samples(strategy):
    samples = []

    @FUZZ
    @given(strategy)
    def collect(sample):
        samples.append(sample)

    collect()
    return samples


class TestEventStreamDecoder:
    @FUZZ
    @given(streams())
    def test_events_do_not_depend_on_chunk_boundaries(self, chunks):
        assert self.decode_events(chunks) == self.decode_events([b"".join(chunks)])

    def decode_events(self, chunks):
        decoder = event_stream.EventStreamDecoder(10_000)
        return [found for chunk in chunks for found in decoder.feed(chunk)]

    @FUZZ
    @given(st.lists(st.binary(max_size=200)))
    def test_memory_is_bounded_for_any_bytes(self, chunks):
        decoder = event_stream.EventStreamDecoder(LIMIT)
        for chunk in chunks:
            try:
                found = decoder.feed(chunk)
            except event_stream.EventTooLargeError:
                return
            assert len(decoder.rest) <= LIMIT
            assert all(len(each) <= LIMIT for each in found)


class CollectingSink(base.TokenSink):
    def __init__(self):
        self.texts = []
        self.ended = False

    def consume(self, batch):
        assert batch.offset == len(self.texts)
        self.texts += batch.texts
        self.ended = batch.ended
        return len(self.texts) % 2 == 1


async def serve_raw(chunks, stack):
    """Return an engine adapter for a server that responds with raw chunks."""

    async def respond(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            for chunk in chunks:
                writer.write(chunk)
                await asyncio.sleep(0.001)
            writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    stack.callback(server.close)
    port = server.sockets[0].getsockname()[1]
    engine = engine_http.HttpEngine(
        f"http://127.0.0.1:{port}", schema.Limits(event_bytes=LIMIT)
    )
    stack.push_async_callback(engine.close)
    return engine


async def forward_stream(chunks):
    """Return a sink that consumed raw chunks, and the result of forwarding them."""
    async with contextlib.AsyncExitStack() as stack:
        engine = await serve_raw(chunks, stack)
        opened = await engine.resume(ids.GenerationId(ID), 0, 5.0)
        sink = CollectingSink()
        if isinstance(opened, result.Failure):
            return sink, opened
        stream = opened.unwrap()
        loop = asyncio.get_running_loop()
        forwarded = result.Success(base.ForwardEnd.PAUSED)
        while forwarded == result.Success(base.ForwardEnd.PAUSED):
            forwarded = await stream.forward(sink, 1.0, loop.time() + 60.0)
        stream.close()
        return sink, forwarded


@pytest.mark.looptime
class TestHttpTokenStream:
    async def test_fuzzed_streams_deliver_a_prefix_or_fail(self):
        samples = collect_samples(streams())
        complete_count = 0
        for chunks in samples:
            sink, forwarded = await forward_stream([HEAD, *chunks])
            expected = [f"t{offset} " for offset in range(len(sink.texts))]
            assert sink.texts == expected, chunks
            ended = forwarded == result.Success(base.ForwardEnd.ENDED)
            assert ended == sink.ended
            assert ended or isinstance(forwarded, result.Failure), forwarded
            complete_count += ended
        assert 0 < complete_count < len(samples)

    @pytest.mark.parametrize(
        "wrong",
        [event(1, "another"), event(0), event(2), event(-1), event(10**30)],
    )
    async def test_unexpected_token_fails_the_stream(self, wrong):
        sink, forwarded = await forward_stream([HEAD, event(0), wrong, event(1), END])
        kinds = (base.FailureKind.CROSSED, base.FailureKind.MALFORMED)
        assert forwarded.failure().kind in kinds
        assert sink.texts in ([], ["t0 "])

    async def test_fuzzed_http_responses_fail(self):
        samples = collect_samples(st.lists(st.binary(max_size=40), max_size=4))
        for chunks in samples:
            for head in (b"", HEAD, HEAD[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"):
                sink, forwarded = await forward_stream([head, *chunks])
                assert isinstance(forwarded, result.Failure)
                assert not sink.texts

    async def test_silence_on_an_open_connection_is_a_failure(self):
        async with contextlib.AsyncExitStack() as stack:
            engine = await serve_raw([HEAD, event(0), *[b""] * 9_000], stack)
            stream = (await engine.resume(ids.GenerationId(ID), 0, 5.0)).unwrap()
            started_s = asyncio.get_running_loop().time()
            sink = CollectingSink()
            forwarded = await stream.forward(sink, 2.0, started_s + 60.0)
            assert forwarded.failure().kind is base.FailureKind.SILENT
            assert sink.texts == ["t0 "]
            stream.close()

    async def test_connection_of_a_server_that_sends_after_its_end_mark_is_closed(self):
        async with contextlib.AsyncExitStack() as stack:
            chunks = [HEAD, event(0), END, *[b"data: more\n\n"] * 9_000]
            engine = await serve_raw(chunks, stack)
            stream = (await engine.resume(ids.GenerationId(ID), 0, 5.0)).unwrap()
            loop = asyncio.get_running_loop()
            await stream.forward(CollectingSink(), 2.0, loop.time() + 60.0)
            response = stream.response
            assert response.connection is not None
            await asyncio.sleep(2.0)
            assert response.connection is None
