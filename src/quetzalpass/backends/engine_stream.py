"""Streams of model engines: decoded, checked and handed over as bytes arrive."""

import asyncio
import math

import aiohttp
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base, connections, engine_messages, event_stream

END_MARK = b"[DONE]"
EVENT_DECODER = msgspec.json.Decoder(engine_messages.EngineEvent)
END_GRACE_S = 1.0
TIMER_RESOLUTION_S = 0.001

ForwardResult = result.Result[base.Forwarded, base.AttemptFailure]
ENDED: ForwardResult = result.Success(base.Forwarded.ENDED)
PAUSED: ForwardResult = result.Success(base.Forwarded.PAUSED)


class OneBatch(base.TokenSink):
    """Takes one batch and pauses the stream."""

    def __init__(self) -> None:
        self.batch: base.TokenBatch | None = None

    def take(self, batch: base.TokenBatch) -> bool:
        """Keep the batch."""
        self.batch = batch
        return False


class HttpTokenStream(base.TokenStream):
    """A stream of one generation over one HTTP response.

    While a sink is attached, each batch is decoded, checked and handed over within the
    callback of the connection; the task that forwards is woken only at the end, on a
    failure or when the sink pauses. Without a sink bytes stay with aiohttp, whose flow
    control stops the engine.

    Attributes
    ----------
    next_offset : int
        Offset that the next token must carry.
    heard_s : float
        Loop time at which bytes arrived last.
    sink : base.TokenSink or None
        Where batches go at present.
    connection : connections.EngineConnection or None
        Where bytes come from; ``None`` once they have all arrived.
    waiter : asyncio.Future or None
        Set with the outcome of the present call of ``forward``.
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
        self.heard_s = self.loop.time()
        self.sink: base.TokenSink | None = None
        self.waiter: asyncio.Future[ForwardResult] | None = None
        self.connection = connections.listen_to(response, self.on_end)

    async def next_batch(
        self, silence_s: float
    ) -> result.Result[base.TokenBatch, base.AttemptFailure]:
        """Wait for tokens; see the base class."""
        sink = OneBatch()
        forwarded = await self.forward(sink, silence_s, math.inf)
        if isinstance(forwarded, result.Failure):
            return forwarded
        assert sink.batch is not None
        return result.Success(sink.batch)

    async def forward(
        self, sink: base.TokenSink, silence_s: float, until_s: float
    ) -> ForwardResult:
        """Hand batches to a sink as they arrive; see the base class."""
        self.sink = sink
        try:
            forwarded = self.pump()
            while forwarded is None:
                # A timer may fire early by the resolution of the clock.
                now_s = self.loop.time() + TIMER_RESOLUTION_S
                if now_s >= until_s:
                    return result.Success(base.Forwarded.DUE)
                silent_at_s = self.heard_s + silence_s
                if now_s >= silent_at_s:
                    return broken(
                        base.FailureKind.SILENT, f"nothing for {silence_s:.1f} s"
                    )
                forwarded = await self.wait_until(min(silent_at_s, until_s))
        finally:
            self.sink = None
        if forwarded is ENDED:
            self.leave_connection()
        return forwarded

    async def wait_until(self, at_s: float) -> ForwardResult | None:
        """Wait for an outcome of the listener; return ``None`` when the time comes."""
        assert self.connection is not None
        self.waiter = self.loop.create_future()
        self.connection.receive = self.receive
        try:
            async with asyncio.timeout_at(at_s):
                return await self.waiter
        except TimeoutError:
            return None
        finally:
            self.waiter = None
            if self.connection is not None:
                self.connection.receive = None

    def receive(self, chunk: bytes) -> None:
        """Take in bytes of the response's body."""
        self.heard_s = self.loop.time()
        forwarded = self.hand_over(chunk)
        if forwarded is not None:
            self.finish(forwarded)

    def on_end(self) -> None:
        """Note that the response's body has ended or failed."""
        if self.waiter is None or self.waiter.done():
            return
        forwarded = self.pump()
        assert forwarded is not None
        self.finish(forwarded)

    def finish(self, forwarded: ForwardResult) -> None:
        """Stop listening and wake the task that forwards."""
        assert self.connection is not None
        self.connection.receive = None
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(forwarded)

    def pump(self) -> ForwardResult | None:
        """Hand over what was buffered; return an outcome that ends the forwarding."""
        try:
            while chunk := self.reader.read_nowait():
                self.heard_s = self.loop.time()
                forwarded = self.hand_over(chunk)
                if forwarded is not None:
                    return forwarded
        except (aiohttp.ClientError, ConnectionError, ValueError) as error:
            return broken(base.FailureKind.CLOSED, f"stream broke: {error!r}")
        if self.reader.at_eof():
            return broken(base.FailureKind.CLOSED, "stream closed before its end")
        return None

    def hand_over(self, chunk: bytes) -> ForwardResult | None:
        """Check the events in a chunk and hand their tokens to the sink."""
        try:
            events = self.decoder.feed(chunk)
        except event_stream.EventTooLargeError:
            return broken(base.FailureKind.TOO_LARGE, "an event is too large")
        if not events:
            return None
        checked = self.check_events(events)
        if isinstance(checked, base.AttemptFailure):
            return result.Failure(checked)
        assert self.sink is not None
        accepted = self.sink.take(checked)
        if checked.ended:
            return ENDED
        return None if accepted else PAUSED

    def check_events(
        self, events: list[bytes]
    ) -> base.TokenBatch | base.AttemptFailure:
        """Return the tokens of events whose ids and offsets are as expected."""
        first = self.next_offset
        texts: list[str] = []
        finish_reason = None
        for data in events:
            if data == END_MARK:
                return base.TokenBatch(first, texts, finish_reason, ended=True)
            try:
                event = EVENT_DECODER.decode(data)
            except ValueError as error:
                return stream_failure(
                    base.FailureKind.MALFORMED, f"malformed event: {error}"
                )
            if event.id != self.generation_id:
                return stream_failure(
                    base.FailureKind.CROSSED, "token of another generation"
                )
            if event.offset != self.next_offset:
                return stream_failure(
                    base.FailureKind.CROSSED,
                    f"token offset {event.offset} instead of {self.next_offset}",
                )
            if not event.choices:
                return stream_failure(
                    base.FailureKind.MALFORMED, "event without a choice"
                )
            choice = event.choices[0]
            texts.append(choice.text)
            finish_reason = choice.finish_reason
            self.next_offset += 1
        return base.TokenBatch(first, texts, finish_reason)

    def leave_connection(self) -> None:
        """Stop listening; the connection is free once the response has its end.

        A server that goes on sending behind its end mark is cut off.
        """
        if self.connection is None:
            return
        self.connection.leave()
        self.connection = None
        if not self.reader.is_eof():
            self.loop.call_later(END_GRACE_S, self.response.close)

    def close(self) -> None:
        """Close the connection without cancelling the generation.

        A task that forwards is told at once: it may be asked to move elsewhere.
        """
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(broken(base.FailureKind.CLOSED, "closed here"))
        if self.connection is not None:
            self.connection.leave()
            self.connection = None
        self.response.close()


def stream_failure(kind: base.FailureKind, message: str) -> base.AttemptFailure:
    """Return the failure of a stream that had been opened."""
    return base.AttemptFailure(base.AttemptEnd.RAN, kind, message)


def broken(kind: base.FailureKind, message: str) -> ForwardResult:
    """Return the result of a stream that had been opened and broke."""
    return result.Failure(stream_failure(kind, message))
