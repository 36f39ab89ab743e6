"""A generation, from its request to its last token.

A generation survives lost connections. It survives a crash of its engine where tokens
of two generations can't be mixed: before any token is delivered, it restarts on another
server; after that, it continues on another server only if the engines declare that any
replica can continue a generation from its tokens.
"""

import asyncio
import math

import logbook
from returns import result

from quetzalpass.backends import base
from quetzalpass.lifecycle import attempts, recording_sinks, requests, starting
from quetzalpass.results import failures
from quetzalpass.routing import work

LOG = logbook.Logger("lifecycle")

MAX_RECONNECT_DELAY_S = 1.0
RECONNECT_DELAY_BASE_S = 0.02
TOKENS_PER_REPORT = 16
# The old server keeps generating meanwhile, so a move that finds no server soon is
# abandoned.
MOVE_QUEUE_TIMEOUT_S = 1.0

BatchResult = result.Result[base.TokenBatch, failures.Failure]


class Generation(starting.StartingGeneration):
    """Runs one generation and returns its tokens in order, each exactly once."""

    async def next_batch(self) -> BatchResult:
        """Return the next tokens; reconnect or change the server if needed.

        Returns
        -------
        Result
            Tokens that follow the earlier ones without a gap, or the failure that
            ends the generation.
        """
        if self.buffered_batch is not None:
            buffered, self.buffered_batch = self.buffered_batch, None
            return result.Success(buffered)
        while True:
            remaining_s = self.remaining_s()
            if remaining_s <= 0:
                await self.cancel()
                return result.Failure(self.deadline_failure())
            assert self.stream is not None
            silence_s = min(remaining_s, self.gateway.limits.silent_stream_s)
            received = await self.stream.next_batch(silence_s)
            received = received.bind(self.check_end)
            if isinstance(received, result.Success):
                return result.Success(self.record_batch(received.unwrap()))
            if self.finish_reason is not None:
                # Only the end mark is missing; all tokens have arrived.
                return result.Success(self.record_batch(self.end_batch()))
            recovered = await self.recover(received.failure())
            if isinstance(recovered, result.Failure):
                return recovered

    async def forward(
        self, sink: base.TokenSink, until_s: float
    ) -> result.Result[base.ForwardEnd, failures.Failure]:
        """Pass the tokens to a sink as they arrive; reconnect if needed.

        Parameters
        ----------
        sink : base.TokenSink
            Receives tokens that follow the earlier ones without a gap.
        until_s : float
            Loop time at which to return.

        Returns
        -------
        Result
            Why it stopped, or the failure that ends the generation.
        """
        if self.buffered_batch is not None:
            buffered, self.buffered_batch = self.buffered_batch, None
            accepted = sink.consume(buffered)
            if buffered.ended or not accepted:
                return result.Success(base.forward_end(buffered))
        recording_sink = recording_sinks.RecordingTokenSink(self, sink)
        while True:
            remaining_s = self.remaining_s()
            if remaining_s <= 0:
                await self.cancel()
                return result.Failure(self.deadline_failure())
            assert self.stream is not None
            due_s = min(until_s, self.request.deadline_s)
            silence_s = self.gateway.limits.silent_stream_s
            forwarded = await self.stream.forward(recording_sink, silence_s, due_s)
            forwarded = forwarded.bind(recording_sink.check_end)
            if isinstance(forwarded, result.Failure):
                if self.finish_reason is not None:
                    sink.consume(self.record_batch(self.end_batch()))
                    return result.Success(base.ForwardEnd.ENDED)
                recovered = await self.recover(forwarded.failure())
                if isinstance(recovered, result.Failure):
                    return recovered
            elif due_s == until_s or forwarded.unwrap() is not base.ForwardEnd.DUE:
                return forwarded
            else:
                await self.cancel()
                return result.Failure(self.deadline_failure())

    def check_end(
        self, batch: base.TokenBatch
    ) -> result.Result[base.TokenBatch, base.AttemptFailure]:
        """Return a batch, or a failure if its end mark came before the last token."""
        if self.ends_early(batch):
            return result.Failure(recording_sinks.EARLY_END)
        return result.Success(batch)

    def ends_early(self, batch: base.TokenBatch) -> bool:
        """Return whether a batch has the end mark but the last token is missing."""
        finished = batch.finish_reason or self.finish_reason
        return batch.ended and not finished and not self.first_offset

    def end_batch(self) -> base.TokenBatch:
        """Return an empty last batch, for a generation whose end mark was lost."""
        return base.TokenBatch(self.next_offset(), [], None, ended=True)

    def record_batch(self, batch: base.TokenBatch) -> base.TokenBatch:
        """Store the tokens of a batch; release the server after the last one."""
        tokens = self.tokens
        assert batch.offset == self.first_offset + len(tokens)
        self.consecutive_resumes = 0
        if batch.texts:
            self.attempts = 0
            first = not tokens
            tokens.extend(batch.texts)
            now_s = self.loop.time()
            self.in_flight_request.record_output(len(tokens), now_s)
            self.meter.record_tokens(now_s)
            self.unreported_tokens += len(batch.texts)
            if first or self.unreported_tokens >= TOKENS_PER_REPORT:
                self.report_tokens()
        self.finish_reason = batch.finish_reason or self.finish_reason
        if self.request.delivery is requests.Delivery.STREAM:
            self.delivered = len(self.tokens)
        if batch.ended:
            self.meter.finish()
            self.on_completed()
        return batch

    def on_completed(self) -> None:
        """Report the last tokens and release the server."""
        request = self.request
        if self.unreported_tokens:
            self.report_tokens()
        self.gateway.quarantine.clear(self.fingerprint, None)
        self.gateway.quarantine.parts.clear(self.parts)
        self.gateway.retry_budgets.deposit(request.organisation.id, request.model.name)
        self.leave_server(work.ReservationOutcome.COMPLETED)

    def report_tokens(self) -> None:
        """Report new tokens to the quarantine, the limiter and the routing.

        The first token is reported at once, later ones every ``TOKENS_PER_REPORT``: a
        report for each token would cost more than forwarding it.
        """
        suspects = self.gateway.quarantine
        suspects.clear(self.fingerprint, len(self.tokens))
        if self.in_flight_request.is_settled():
            suspects.parts.clear(self.parts)
        self.gateway.limiter.record_tokens(
            self.request.organisation.id, self.unreported_tokens
        )
        if self.reservation is not None:
            self.reservation.on_tokens(self.unreported_tokens)
        self.unreported_tokens = 0

    async def recover(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Continue after a broken stream, on a new connection or another server."""
        if self.move_requested:
            return await self.move_as_requested()
        LOG.warning(
            "lifecycle: Stream of {} from {} broke: {}.",
            self.request.request_id,
            self.server_id,
            failure.message,
        )
        assert self.stream is not None
        self.stream.close()
        await self.wait_before_reconnect()
        while self.consecutive_resumes < starting.MAX_CONSECUTIVE_RESUMES:
            self.consecutive_resumes += 1
            if await self.resume_on_same_server():
                return result.Success(None)
        return await self.move_to_another_server(failure)

    async def wait_before_reconnect(self) -> None:
        """Wait before every reconnect but the first, longer after each lost connection.

        The caller may have resumed the stream at another gateway. Without a delay the
        two gateways would take over the stream from each other in a tight loop.
        """
        max_delay_s = min(
            MAX_RECONNECT_DELAY_S, RECONNECT_DELAY_BASE_S * 2**self.lost_connections
        )
        self.lost_connections += 1
        if self.lost_connections > 1:
            await asyncio.sleep(self.gateway.rng.uniform(0.0, max_delay_s))

    async def move_to_another_server(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Continue or restart on another server, if that is allowed."""
        assert self.server_id is not None
        await self.on_server_lost()
        self.cancel_previous_run()
        self.failed_server = self.server_id
        can_continue = self.can_continue_elsewhere()
        self.leave_server(attempts.reservation_outcome(failure))
        lost = attempts.lost_server_failure(failure, len(self.tokens))
        if self.request.idempotency_key is not None:
            return result.Failure(lost)
        if self.delivered and not can_continue:
            return result.Failure(lost)
        if not self.try_withdraw_retry():
            return result.Failure(lost)
        if not can_continue:
            self.tokens.clear()
        self.consecutive_resumes = 0
        return await self.open()

    def can_move(self) -> bool:
        """Return whether the generation may be moved to another server now."""
        if self.move_requested or self.stream is None or self.reservation is None:
            return False
        if self.request.idempotency_key is not None or self.first_offset:
            return False
        return self.can_continue_elsewhere() or not self.delivered

    def request_move(self) -> None:
        """Make the task that reads the stream move the generation to another server."""
        assert self.stream is not None
        self.move_requested = True
        self.stream.close()

    async def move_as_requested(self) -> result.Result[None, failures.Failure]:
        """Continue on another server, or on the old one if no other is available soon.

        The generation is cancelled on the old server only after the new one has
        started it.
        """
        assert self.server_id is not None
        old_id, old_server_id, old_engine = self.id, self.server_id, self.engine()
        self.move_requested = False
        old_tokens = list(self.tokens)
        if not self.can_continue_elsewhere():
            self.tokens.clear()
        self.leave_server(work.ReservationOutcome.MOVED)
        self.failed_server = old_server_id
        self.max_wait_s = MOVE_QUEUE_TIMEOUT_S
        opened = await self.open()
        self.max_wait_s = math.inf
        if isinstance(opened, result.Success):
            LOG.info(
                "lifecycle: Moved {} from {} to {} after {} tokens.",
                self.request.request_id,
                old_server_id,
                self.server_id,
                len(self.tokens),
            )
            self.gateway.spawn(old_engine.cancel(old_id))
            return opened
        self.id, self.server_id, self.tokens = old_id, old_server_id, old_tokens
        if await self.resume_on_same_server():
            return result.Success(None)
        return opened

    def can_continue_elsewhere(self) -> bool:
        """Return whether any replica can continue the generation from its tokens."""
        assert self.server_id is not None
        server = self.request.configuration.servers[self.server_id]
        return server.resumes_across_replicas

    async def cancel(self) -> None:
        """Cancel the generation at the engine."""
        if self.server_id is None:
            return
        if self.stream is not None:
            self.stream.close()
        self.leave_server(work.ReservationOutcome.CANCELLED)
        await self.engine().cancel(self.id)

    def detach(self) -> None:
        """Close the connection after the caller has disconnected, and cancel later.

        The caller may resume at any gateway within ``caller_grace_s``; the engine
        cancels the generation only if no gateway is attached by then.
        """
        if self.stream is not None:
            self.stream.close()
        self.gateway.spawn(self.cancel_if_abandoned())

    async def cancel_if_abandoned(self) -> None:
        """Cancel the generation if no gateway attaches within the grace period."""
        if self.server_id is None or self.reservation is None and not self.first_offset:
            return
        await asyncio.sleep(self.gateway.limits.caller_grace_s)
        self.leave_server(work.ReservationOutcome.CANCELLED)
        await self.engine().cancel(self.id, only_if_detached=True)
