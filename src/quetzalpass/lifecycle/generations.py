"""One generation from its request to its last token.

A generation survives silent links, and the death of its engine where that can be done
without mixing two generations: with nothing delivered it starts anew elsewhere; with
tokens delivered it goes on elsewhere only where the engines declare that any replica
continues a generation from its tokens.
"""

import asyncio
import math

import logbook
from returns import result

from quetzalpass.backends import base
from quetzalpass.lifecycle import attempts, requests, starting, taps
from quetzalpass.results import failures
from quetzalpass.routing import work

LOG = logbook.Logger("lifecycle")

MAX_LINK_DELAY_S = 1.0
LINK_DELAY_BASE_S = 0.02
REPORT_TOKENS = 16
# The old server goes on meanwhile, so a move that finds no place soon is given up.
MOVE_WAIT_S = 1.0

BatchResult = result.Result[base.TokenBatch, failures.Failure]


class Generation(starting.StartingGeneration):
    """Runs one generation and gives its tokens in order, each once."""

    async def next_batch(self) -> BatchResult:
        """Return the next tokens, over new links or servers where needed.

        Returns
        -------
        Result
            Tokens that follow the earlier ones without a gap, or the numbered
            failure that ends the generation.
        """
        if self.ready_batch is not None:
            ready, self.ready_batch = self.ready_batch, None
            return result.Success(ready)
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
                return result.Success(self.note_batch(received.unwrap()))
            if self.finish_reason is not None:
                # Only the end mark is missing; the answer is whole.
                return result.Success(self.note_batch(self.end_batch()))
            recovered = await self.recover(received.failure())
            if isinstance(recovered, result.Failure):
                return recovered

    async def forward(
        self, sink: base.TokenSink, until_s: float
    ) -> result.Result[base.ForwardEnd, failures.Failure]:
        """Hand the tokens to a sink as they arrive, over new links where needed.

        Parameters
        ----------
        sink : base.TokenSink
            Takes tokens that follow the earlier ones without a gap.
        until_s : float
            Loop time at which to return.

        Returns
        -------
        Result
            Why it stopped, or the numbered failure that ends the generation.
        """
        if self.ready_batch is not None:
            ready, self.ready_batch = self.ready_batch, None
            accepted = sink.consume(ready)
            if ready.ended or not accepted:
                return result.Success(base.forward_end(ready))
        tap = taps.TokenTap(self, sink)
        while True:
            remaining_s = self.remaining_s()
            if remaining_s <= 0:
                await self.cancel()
                return result.Failure(self.deadline_failure())
            assert self.stream is not None
            due_s = min(until_s, self.request.deadline_s)
            silence_s = self.gateway.limits.silent_stream_s
            forwarded = await self.stream.forward(tap, silence_s, due_s)
            forwarded = forwarded.bind(tap.check_end)
            if isinstance(forwarded, result.Failure):
                if self.finish_reason is not None:
                    sink.consume(self.note_batch(self.end_batch()))
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
        """Return a batch unless it ends a generation that has no last token."""
        if self.ends_early(batch):
            return result.Failure(taps.EARLY_END)
        return result.Success(batch)

    def ends_early(self, batch: base.TokenBatch) -> bool:
        """Return whether the end mark came before the last token."""
        finished = batch.finish_reason or self.finish_reason
        return batch.ended and not finished and not self.first_offset

    def end_batch(self) -> base.TokenBatch:
        """Return the batch that ends a generation whose end mark was lost."""
        return base.TokenBatch(self.next_offset(), [], None, ended=True)

    def note_batch(self, batch: base.TokenBatch) -> base.TokenBatch:
        """Keep the tokens of a batch; leave the server after the last."""
        tokens = self.tokens
        assert batch.offset == self.first_offset + len(tokens)
        self.resumes = 0
        if batch.texts:
            self.attempts = 0
            first = not tokens
            tokens.extend(batch.texts)
            self.in_flight_request.tokens = len(tokens)
            self.meter.note_tokens(self.loop.time())
            self.unreported += len(batch.texts)
            if first or self.unreported >= REPORT_TOKENS:
                self.report_tokens()
        self.finish_reason = batch.finish_reason or self.finish_reason
        if self.request.delivery is requests.Delivery.STREAM:
            self.delivered = len(self.tokens)
        if batch.ended:
            self.meter.finish()
            self.note_whole()
        return batch

    def note_whole(self) -> None:
        """Leave the server after the last token."""
        request = self.request
        if self.unreported:
            self.report_tokens()
        self.gateway.quarantine.clear(self.fingerprint, None)
        self.gateway.retries.earn(request.organisation.id, request.model.name)
        self.leave_server(work.ReservationOutcome.COMPLETED)

    def report_tokens(self) -> None:
        """Tell the shared parts of new tokens: of the first at once, then of several.

        A call for each token would cost more than forwarding it.
        """
        self.gateway.quarantine.clear(self.fingerprint, len(self.tokens))
        self.gateway.limiter.note_tokens(self.request.organisation.id, self.unreported)
        if self.reservation is not None:
            self.reservation.on_tokens(self.unreported)
        self.unreported = 0

    async def recover(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Go on after a broken stream, on a new link or another server."""
        if self.moving:
            return await self.move_on_purpose()
        LOG.warning(
            "lifecycle: Stream of {} from {} broke: {}.",
            self.request.request_id,
            self.server_id,
            failure.message,
        )
        assert self.stream is not None
        self.stream.close()
        await self.wait_before_new_link()
        while self.resumes < starting.MAX_RESUMES_IN_A_ROW:
            self.resumes += 1
            if await self.resume_on_same_server():
                return result.Success(None)
        return await self.move_to_another_server(failure)

    async def wait_before_new_link(self) -> None:
        """Wait longer with each lost link.

        Another gateway may have taken the stream over because the caller came back
        there; without a wait the two would take it from each other at full speed.
        """
        longest_s = min(MAX_LINK_DELAY_S, LINK_DELAY_BASE_S * 2**self.links_lost)
        self.links_lost += 1
        if self.links_lost > 1:
            await asyncio.sleep(self.gateway.rng.uniform(0.0, longest_s))

    async def move_to_another_server(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Continue or start anew on another server, where that is allowed."""
        assert self.server_id is not None
        await self.note_lost_server()
        self.cancel_behind()
        self.failed_server = self.server_id
        continues = self.continues_elsewhere()
        self.leave_server(attempts.reservation_outcome(failure))
        lost = attempts.lost_server_failure(failure, len(self.tokens))
        if self.request.idempotency_key is not None:
            return result.Failure(lost)
        if self.delivered and not continues:
            return result.Failure(lost)
        if not continues:
            self.tokens.clear()
        self.resumes = 0
        return await self.open()

    def can_move(self) -> bool:
        """Return whether it may be moved to another server now."""
        if self.moving or self.stream is None or self.reservation is None:
            return False
        if self.request.idempotency_key is not None or self.first_offset:
            return False
        return self.continues_elsewhere() or not self.delivered

    def request_move(self) -> None:
        """Have it moved to another server by the task that reads it."""
        assert self.stream is not None
        self.moving = True
        self.stream.close()

    async def move_on_purpose(self) -> result.Result[None, failures.Failure]:
        """Go on at another server, or where it is if no other has a place soon.

        The old server is told to stop only when the new one has started.
        """
        assert self.server_id is not None
        old_id, old_server_id, old_engine = self.id, self.server_id, self.engine()
        self.moving = False
        old_tokens = list(self.tokens)
        if not self.continues_elsewhere():
            self.tokens.clear()
        self.leave_server(work.ReservationOutcome.MOVED)
        self.failed_server = old_server_id
        self.longest_wait_s = MOVE_WAIT_S
        opened = await self.open()
        self.longest_wait_s = math.inf
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

    def continues_elsewhere(self) -> bool:
        """Return whether any replica can continue from the tokens."""
        assert self.server_id is not None
        server = self.request.configuration.servers[self.server_id]
        return server.resumes_across_replicas

    async def cancel(self) -> None:
        """Stop the generation at the engine; the caller wants no more of it."""
        if self.server_id is None:
            return
        if self.stream is not None:
            self.stream.close()
        self.leave_server(work.ReservationOutcome.CANCELLED)
        await self.engine().cancel(self.id)

    def detach(self) -> None:
        """Close the link because the caller has gone, and cancel after a while.

        The caller may come back at any gateway within ``caller_grace_s``; the engine
        cancels only if no gateway has attached by then.
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
