"""Token streams of model engines, decoded and checked as bytes are received."""

import asyncio
import math

import aiohttp
import msgspec
from returns import result

from quetzalpass import decoding, ids
from quetzalpass.backends import base, connections, engine_messages, event_stream

END_MARK = b"[DONE]"
EVENT_DECODER = msgspec.json.Decoder(engine_messages.EngineEvent)
RESPONSE_END_TIMEOUT_S = 1.0
TIMER_RESOLUTION_S = 0.001

ForwardResult = result.Result[base.ForwardEnd, base.AttemptFailure]
ENDED: ForwardResult = result.Success(base.ForwardEnd.ENDED)
PAUSED: ForwardResult = result.Success(base.ForwardEnd.PAUSED)


class SingleBatchSink(base.TokenSink):
    """Keeps one batch and pauses the stream."""

    def __init__(self) -> None:
        self.batch: base.TokenBatch | None = None

    def consume(self, batch: base.TokenBatch) -> bool:
        """Keep the batch and pause the stream."""
        self.batch = batch
        return False


class HttpTokenStream(base.TokenStream):
    """A stream of one generation over one HTTP response.

    While a sink is attached, each batch is decoded, checked and passed to the sink in
    the connection's callback. The task that called ``forward`` is woken only at the end
    of the stream, on a failure or when the sink pauses the stream. Without a sink the
    bytes are buffered by aiohttp, whose flow control stops the engine.

    Attributes
    ----------
    next_offset : int
        Offset that the next token must have.
    last_received_s : float
        Loop time at which bytes were last received.
    sink : base.TokenSink or None
        Consumer of the batches during a call of ``forward``.
    connection : connections.EngineConnection or None
        Source of the bytes; ``None`` once they have all been received.
    waiter : asyncio.Future or None
        Set to the result of the present call of ``forward``.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        generation_id: ids.GenerationId,
        next_offset: int,
        max_event_bytes: int,
    ) -> None:
        self.response = response
        self.reader = response.content
        self.generation_id = generation_id
        self.next_offset = next_offset
        self.decoder = event_stream.EventStreamDecoder(max_event_bytes)
        self.loop = asyncio.get_running_loop()
        self.last_received_s = self.loop.time()
        self.sink: base.TokenSink | None = None
        self.waiter: asyncio.Future[ForwardResult] | None = None
        self.connection = connections.attach_listener(response, self.on_end)

    async def next_batch(
        self, max_silence_s: float
    ) -> result.Result[base.TokenBatch, base.AttemptFailure]:
        """Wait for tokens; see the base class."""
        sink = SingleBatchSink()
        forwarded = await self.forward(sink, max_silence_s, math.inf)
        if isinstance(forwarded, result.Failure):
            return forwarded
        assert sink.batch is not None
        return result.Success(sink.batch)

    async def forward(
        self, sink: base.TokenSink, max_silence_s: float, until_s: float
    ) -> ForwardResult:
        """Pass batches to a sink as they arrive; see the base class."""
        self.sink = sink
        try:
            forwarded = self.forward_buffered()
            while forwarded is None:
                # A timer may fire early by up to the resolution of the clock.
                now_s = self.loop.time() + TIMER_RESOLUTION_S
                if now_s >= until_s:
                    return result.Success(base.ForwardEnd.DUE)
                silent_at_s = self.last_received_s + max_silence_s
                if now_s >= silent_at_s:
                    return failed_stream(
                        base.FailureKind.SILENT,
                        f"received nothing for {max_silence_s:.1f} s",
                    )
                forwarded = await self.wait_until(min(silent_at_s, until_s))
        finally:
            self.sink = None
        if forwarded is ENDED:
            self.release_connection()
        return forwarded

    async def wait_until(self, at_s: float) -> ForwardResult | None:
        """Return a result from the listener, or ``None`` at the loop time ``at_s``."""
        assert self.connection is not None
        self.waiter = self.loop.create_future()
        self.connection.on_data = self.on_data
        try:
            async with asyncio.timeout_at(at_s):
                return await self.waiter
        except TimeoutError:
            return None
        finally:
            self.waiter = None
            if self.connection is not None:
                self.connection.on_data = None

    def on_data(self, chunk: bytes) -> None:
        """Process bytes of the response body."""
        self.last_received_s = self.loop.time()
        forwarded = self.forward_chunk(chunk)
        if forwarded is not None:
            self.finish_forward(forwarded)

    def on_end(self) -> None:
        """Finish the present call of ``forward``, as the response body has ended."""
        if self.waiter is None or self.waiter.done():
            return
        forwarded = self.forward_buffered()
        assert forwarded is not None
        self.finish_forward(forwarded)

    def finish_forward(self, forwarded: ForwardResult) -> None:
        """Stop listening and wake the task that called ``forward``."""
        assert self.connection is not None
        self.connection.on_data = None
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(forwarded)

    def forward_buffered(self) -> ForwardResult | None:
        """Forward buffered bytes; return a result if forwarding must stop."""
        try:
            while chunk := self.reader.read_nowait():
                self.last_received_s = self.loop.time()
                forwarded = self.forward_chunk(chunk)
                if forwarded is not None:
                    return forwarded
        except (aiohttp.ClientError, ConnectionError, ValueError) as error:
            return failed_stream(base.FailureKind.CLOSED, f"stream failed: {error!r}")
        if self.reader.at_eof():
            return failed_stream(
                base.FailureKind.CLOSED, "stream closed before its end"
            )
        return None

    def forward_chunk(self, chunk: bytes) -> ForwardResult | None:
        """Pass the tokens in a chunk to the sink; return a result if it must stop."""
        try:
            events = self.decoder.feed(chunk)
        except event_stream.EventTooLargeError:
            return failed_stream(
                base.FailureKind.TOO_LARGE, "an event exceeds the size limit"
            )
        if not events:
            return None
        checked = self.check_events(events)
        if isinstance(checked, base.AttemptFailure):
            return result.Failure(checked)
        assert self.sink is not None
        accepts_more = self.sink.consume(checked)
        if checked.ended:
            return ENDED
        return None if accepts_more else PAUSED

    def check_events(
        self, events: list[bytes]
    ) -> base.TokenBatch | base.AttemptFailure:
        """Decode events; fail if an id or an offset isn't the expected one."""
        first = self.next_offset
        texts: list[str] = []
        finish_reason = None
        for data in events:
            if data == END_MARK:
                return base.TokenBatch(first, texts, finish_reason, ended=True)
            try:
                event = EVENT_DECODER.decode(data)
            except decoding.DECODER_ERRORS as error:
                return stream_failure(
                    base.FailureKind.MALFORMED, f"malformed event: {error}"
                )
            if event.id != self.generation_id:
                return stream_failure(
                    base.FailureKind.CROSSED, "token belongs to another generation"
                )
            if event.offset != self.next_offset:
                return stream_failure(
                    base.FailureKind.CROSSED,
                    f"token has offset {event.offset} instead of {self.next_offset}",
                )
            if not event.choices:
                return stream_failure(base.FailureKind.MALFORMED, "event has no choice")
            choice = event.choices[0]
            texts.append(choice.text)
            finish_reason = choice.finish_reason
            self.next_offset += 1
        return base.TokenBatch(first, texts, finish_reason)

    def release_connection(self) -> None:
        """Stop listening; the connection is released when the response ends.

        The connection to a server that doesn't end its response soon after the end
        marker is closed.
        """
        if self.connection is None:
            return
        self.connection.remove_listener()
        self.connection = None
        if not self.reader.is_eof():
            self.loop.call_later(RESPONSE_END_TIMEOUT_S, self.response.close)

    def close(self) -> None:
        """Close the connection without cancelling the generation.

        A pending call of ``forward`` returns at once, as its generation may have to
        move to another server.
        """
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(
                failed_stream(base.FailureKind.CLOSED, "closed by the gateway")
            )
        if self.connection is not None:
            self.connection.remove_listener()
            self.connection = None
        self.response.close()


def stream_failure(kind: base.FailureKind, message: str) -> base.AttemptFailure:
    """Return the failure of a stream after it was opened."""
    return base.AttemptFailure(base.AttemptEnd.RAN, kind, message)


def failed_stream(kind: base.FailureKind, message: str) -> ForwardResult:
    """Return the result of ``forward`` for a stream that failed."""
    return result.Failure(stream_failure(kind, message))
