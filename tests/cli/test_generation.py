import asyncio
import contextlib

import aiohttp
import msgspec
import pytest
from aiohttp import web
from returns import result

from quetzalpass.callers import errors
from quetzalpass.cli import completion_messages, event_stream, generation
from quetzalpass.results import codes, failures

pytestmark = pytest.mark.looptime

WORDS = ["a ", "b ", "c ", "d "]


def event(offset, text, finish_reason=None):
    data = {"choices": [{"index": 0, "text": text, "finish_reason": finish_reason}]}
    body = msgspec.json.encode(data)
    return b"id: gen/s-1/%d\ndata: %s\n\n" % (offset, body)


def error_event(code):
    body = errors.error_body(failures.Failure(code, "it ended"))
    return b"event: error\ndata: " + msgspec.json.encode(body) + b"\n\n"


class FakeGateway:
    """Runs one script for each connection.

    A step of a script is bytes to send, a code to refuse with, or a pause in seconds.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.resumed_from = []

    async def handle(self, request):
        self.resumed_from.append(request.headers.get("Last-Event-ID"))
        script = self.scripts.pop(0)
        if isinstance(script[0], codes.Code):
            return errors.error_response(failures.Failure(script[0], "no"), "req-1")
        response = web.StreamResponse(headers={"Quetzalpass-Request-Id": "req-1"})
        await response.prepare(request)
        for step in script:
            if isinstance(step, bytes):
                await response.write(step)
            else:
                await asyncio.sleep(step)
        request.transport.abort()
        return response

    @contextlib.asynccontextmanager
    async def serve(self):
        app = web.Application()
        app.router.add_post("/v1/completions", self.handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        try:
            yield f"http://127.0.0.1:{runner.addresses[0][1]}"
        finally:
            await runner.cleanup()


async def generate(gateway):
    async with gateway.serve() as url, aiohttp.ClientSession() as session:
        request = completion_messages.GenerationRequest(
            (url,), "key", "model", "prompt"
        )
        stream = generation.Generation(session, request, lambda text: None)
        return await stream.run()


EVENTS = [event(offset, word) for offset, word in enumerate(WORDS)]
END_EVENT = b"data: [DONE]\n\n"
# Long enough for the bytes before it to be sent before the connection is aborted.
SEND_PAUSE_S = 0.01


class TestGeneration:
    async def test_a_complete_stream_needs_one_connection(self):
        outcome = await generate(FakeGateway([*EVENTS, END_EVENT, SEND_PAUSE_S]))
        assert outcome.unwrap().text == "a b c d "
        assert outcome.unwrap().connections == 1

    async def test_it_resumes_after_the_last_event(self):
        gateway = FakeGateway(
            [*EVENTS[:2], SEND_PAUSE_S],
            [*EVENTS[2:], END_EVENT, SEND_PAUSE_S],
        )
        outcome = await generate(gateway)
        assert outcome.unwrap().text == "a b c d "
        assert gateway.resumed_from == [None, "gen/s-1/1"]

    async def test_a_silent_connection_is_replaced(self):
        gateway = FakeGateway(
            [*EVENTS[:1], 100.0], [*EVENTS[1:], END_EVENT, SEND_PAUSE_S]
        )
        outcome = await generate(gateway)
        assert outcome.unwrap().text == "a b c d "
        assert outcome.unwrap().longest_gap_s >= 30.0

    async def test_a_repeated_event_is_refused(self):
        outcome = await generate(
            FakeGateway(
                [
                    EVENTS[0],
                    EVENTS[1],
                    EVENTS[1],
                    END_EVENT,
                    SEND_PAUSE_S,
                ]
            )
        )
        assert outcome.failure().code is codes.Code.STREAM_CROSSED

    async def test_a_refusal_by_a_draining_gateway_is_retried(self):
        gateway = FakeGateway([codes.Code.DRAINING], [*EVENTS, END_EVENT, SEND_PAUSE_S])
        assert isinstance(await generate(gateway), result.Success)

    @pytest.mark.parametrize(
        "code", [codes.Code.UNKNOWN_MODEL, codes.Code.NO_SERVER, codes.Code.QUEUE_FULL]
    )
    async def test_a_refusal_of_the_first_request_is_reported_at_once(self, code):
        gateway = FakeGateway([code])
        outcome = await generate(gateway)
        assert outcome.failure().code is code
        assert len(gateway.resumed_from) == 1

    async def test_a_refusal_to_resume_is_retried(self):
        gateway = FakeGateway(
            [*EVENTS[:2], SEND_PAUSE_S],
            [codes.Code.NO_SERVER],
            [*EVENTS[2:], END_EVENT, SEND_PAUSE_S],
        )
        assert (await generate(gateway)).unwrap().text == "a b c d "

    async def test_a_generation_that_ended_early_is_not_restarted(self):
        lost_event = error_event(codes.Code.SERVER_LOST)
        gateway = FakeGateway([*EVENTS[:2], lost_event, SEND_PAUSE_S])
        outcome = await generate(gateway)
        assert outcome.failure().code is codes.Code.SERVER_LOST
        assert gateway.resumed_from == [None]

    async def test_it_gives_up_after_connections_without_progress(self):
        gateway = FakeGateway(*[[SEND_PAUSE_S]] * generation.MAX_STALLED_ATTEMPTS)
        outcome = await generate(gateway)
        assert outcome.failure().code is codes.Code.UNREACHABLE


class TestEventDecoder:
    def test_events_are_decoded_at_any_chunk_size(self):
        stream = b": alive\n\n" + b"".join(EVENTS) + END_EVENT.replace(b"\n", b"\r\n")
        for chunk_size in (1, 3, 7, len(stream)):
            decoder = event_stream.EventDecoder()
            events = []
            for start in range(0, len(stream), chunk_size):
                events += decoder.feed(stream[start : start + chunk_size])
            assert [item.id for item in events[:-1]] == [
                f"gen/s-1/{offset}" for offset in range(4)
            ]
            assert events[-1].data == "[DONE]"

    def test_a_line_above_the_limit_is_refused(self):
        decoder = event_stream.EventDecoder()
        with pytest.raises(event_stream.EventTooLargeError):
            decoder.feed(b"x" * (event_stream.MAX_EVENT_BYTES + 1))
