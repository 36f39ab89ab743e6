"""Client that streams one generation and reconnects after lost connections."""

import asyncio
import enum
from collections.abc import Callable

import aiohttp
import msgspec
from returns import result

from quetzalpass.callers import errors
from quetzalpass.cli import completion_messages, event_stream
from quetzalpass.results import codes, failures

END_MARK = "[DONE]"
ERROR_EVENT = "error"
CONNECT_TIMEOUT_S = 3.0
MAX_STALLED_ATTEMPTS = 6
FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0
MS_PER_S = 1000
# Refusals that concern one gateway; the next one may accept the request at once.
RETRIED_ON_NEXT_GATEWAY = frozenset(
    {codes.Code.DRAINING, codes.Code.NOT_READY, codes.Code.UNREACHABLE}
)


class ConnectionEnd(enum.Enum):
    """How one connection ended."""

    COMPLETE = "complete"
    LOST = "lost"


ConnectionResult = result.Result[ConnectionEnd, failures.Failure]


class Generation:
    """Streams one generation and resumes it after lost connections.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session.
    request : completion_messages.GenerationRequest
        What to generate.
    on_text : callable
        Called with each new piece of text.

    Attributes
    ----------
    generated : completion_messages.GenerationOutput
        Output received so far.
    last_event_id : str
        Id of the last event received, from which the stream is resumed.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        request: completion_messages.GenerationRequest,
        on_text: Callable[[str], None],
    ) -> None:
        self.session = session
        self.request = request
        self.on_text = on_text
        self.generated = completion_messages.GenerationOutput()
        self.last_event_id = ""
        self.last_offset = -1
        self.last_text_s = 0.0
        self.started_s = 0.0

    async def run(
        self,
    ) -> result.Result[completion_messages.GenerationOutput, failures.Failure]:
        """Stream until the output is complete.

        Returns
        -------
        Result of completion_messages.GenerationOutput or Failure
            The gateway's failure, or ``Code.UNREACHABLE`` after
            ``MAX_STALLED_ATTEMPTS`` consecutive attempts without new output.
        """
        self.started_s = asyncio.get_running_loop().time()
        stalled_attempts = 0
        attempt = 0
        while True:
            previous_offset = self.last_offset
            outcome = await self.connect(attempt)
            attempt += 1
            if outcome == result.Success(ConnectionEnd.COMPLETE):
                self.record_duration()
                return result.Success(self.generated)
            stalled_attempts = (
                0 if self.last_offset > previous_offset else stalled_attempts + 1
            )
            if not self.should_reconnect(outcome, stalled_attempts):
                self.record_duration()
                return result.Failure(self.final_failure(outcome))
            await asyncio.sleep(self.retry_delay_s(outcome, stalled_attempts))

    def record_duration(self) -> None:
        """Record the time since the start."""
        now_s = asyncio.get_running_loop().time()
        self.generated.duration_s = now_s - self.started_s

    def should_reconnect(
        self, outcome: ConnectionResult, stalled_attempts: int
    ) -> bool:
        """Return whether another connection may bring more output."""
        if stalled_attempts >= MAX_STALLED_ATTEMPTS:
            return False
        if isinstance(outcome, result.Success):
            return True
        code = outcome.failure().code
        if code in RETRIED_ON_NEXT_GATEWAY:
            return True
        # If the first request is refused, the operator wants to see that refusal.
        # After the first event, a new generation would repeat text that was
        # delivered, and resuming only helps while the generation still exists.
        spec = codes.spec_of(code)
        has_ended = spec.execution is codes.Execution.RAN
        return bool(self.last_event_id) and spec.retry and not has_ended

    def final_failure(self, outcome: ConnectionResult) -> failures.Failure:
        """Return the failure to report when no further attempt is made."""
        if not isinstance(outcome, result.Success):
            return outcome.failure()
        message = f"the connection was lost {MAX_STALLED_ATTEMPTS} times in a row"
        return failures.Failure(codes.Code.UNREACHABLE, message)

    def retry_delay_s(self, outcome: ConnectionResult, stalled_attempts: int) -> float:
        """Return the delay before the next connection, in seconds."""
        if not isinstance(outcome, result.Success):
            retry_after_ms = outcome.failure().retry_after_ms
            if retry_after_ms is not None:
                return retry_after_ms / MS_PER_S
        if not stalled_attempts:
            return 0.0
        return min(
            FIRST_RETRY_DELAY_S * 2 ** (stalled_attempts - 1),
            MAX_RETRY_DELAY_S,
        )

    async def connect(self, attempt: int) -> ConnectionResult:
        """Send the request to the next gateway and read its response."""
        gateway = self.request.gateways[attempt % len(self.request.gateways)]
        headers = self.request.headers()
        if self.last_event_id:
            headers["Last-Event-ID"] = self.last_event_id
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=self.request.silence_s
        )
        try:
            async with self.session.post(
                gateway.rstrip("/") + self.request.path(),
                data=self.request.body(),
                headers=headers,
                timeout=timeout,
            ) as response:
                return await self.read_response(response)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return result.Success(ConnectionEnd.LOST)
        except event_stream.EventTooLargeError:
            message = "the gateway sent an event that is too large"
            return failure_result(codes.Code.EVENT_TOO_LARGE, message)

    async def read_response(self, response: aiohttp.ClientResponse) -> ConnectionResult:
        """Read a response to its end."""
        self.record_headers(response)
        if response.status != codes.spec_of(codes.Code.OK).http_status:
            return decode_error(await response.read(), response.status)
        decoder = event_stream.EventDecoder()
        async for chunk in response.content.iter_any():
            for event in decoder.feed(chunk):
                ended = self.process_event(event)
                if ended is not None:
                    return ended
        return result.Success(ConnectionEnd.LOST)

    def record_headers(self, response: aiohttp.ClientResponse) -> None:
        """Record the ids in the headers of the first response."""
        generated = self.generated
        generated.connections += 1
        if not generated.request_id:
            generated.request_id = response.headers.get(errors.REQUEST_ID_HEADER, "")
        if not generated.generation_id:
            name = errors.GENERATION_ID_HEADER
            generated.generation_id = response.headers.get(name, "")

    def process_event(self, event: event_stream.Event) -> ConnectionResult | None:
        """Process one event; return the outcome if it ends the connection."""
        if event.name == ERROR_EVENT:
            return decode_error(event.data.encode(), None)
        if event.data == END_MARK:
            return result.Success(ConnectionEnd.COMPLETE)
        try:
            chunk = msgspec.json.decode(event.data, type=completion_messages.Chunk)
        except msgspec.DecodeError:
            return failure_result(
                codes.Code.STREAM_CROSSED,
                "the gateway sent no JSON",
            )
        if event.id and not self.advance_to(event.id):
            message = f"event {event.id} came after {self.last_event_id}"
            return failure_result(codes.Code.STREAM_CROSSED, message)
        if chunk.usage is not None:
            self.generated.completion_tokens = chunk.usage.completion_tokens
        for choice in chunk.choices:
            self.append_choice(choice)
        return None

    def advance_to(self, event_id: str) -> bool:
        """Record an event's id and offset; return ``False`` if it isn't a later one."""
        _, _, offset = event_id.rpartition("/")
        if not offset.isdecimal() or int(offset) <= self.last_offset:
            return False
        self.last_offset = int(offset)
        self.last_event_id = event_id
        return True

    def append_choice(self, choice: completion_messages.Choice) -> None:
        """Append new text to the output and update its timings."""
        text = choice.delta.content if choice.delta is not None else choice.text
        if choice.finish_reason is not None:
            self.generated.finish_reason = choice.finish_reason
        if not text:
            return
        now_s = asyncio.get_running_loop().time()
        if self.generated.first_token_s is None:
            self.generated.first_token_s = now_s - self.started_s
        else:
            gap_s = now_s - self.last_text_s
            self.generated.longest_gap_s = max(self.generated.longest_gap_s, gap_s)
        self.last_text_s = now_s
        self.generated.text += text
        self.on_text(text)


def failure_result(code: codes.Code, message: str) -> ConnectionResult:
    """Return a failed outcome of a connection."""
    return result.Failure(failures.Failure(code, message))


def decode_error(data: bytes, status: int | None) -> ConnectionResult:
    """Decode the failure in an error response or error event."""
    try:
        error = msgspec.json.decode(data, type=errors.ErrorResponse).error
        code = codes.Code(error.code)
    except (msgspec.DecodeError, ValueError):
        message = f"the gateway answered {status} in a form that is not known here"
        return failure_result(codes.Code.UNREACHABLE, message)
    failure = failures.Failure(code, error.message, retry_after_ms=error.retry_after_ms)
    return result.Failure(failure)
