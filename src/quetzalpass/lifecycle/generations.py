"""One generation from its request to its last token.

A generation survives silent links, and the death of its engine where that can be done
without mixing two generations: with nothing delivered it starts anew elsewhere; with
tokens delivered it goes on elsewhere only where the engines declare that any replica
continues a generation from its tokens.
"""

import asyncio

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.lifecycle import attempts, requests, taps
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.metrics import metering
from quetzalpass.results import codes, failures
from quetzalpass.routing import admission, work

LOG = logbook.Logger("lifecycle")

MAX_ATTEMPTS = 4
MAX_RESUMES_IN_A_ROW = 2
MAX_LINK_DELAY_S = 1.0
LINK_DELAY_BASE_S = 0.02
RESUME_TIMEOUT_S = 3.0
REPORT_TOKENS = 16

BatchResult = result.Result[base.TokenBatch, failures.Failure]


class Generation:
    """Runs one generation and gives its tokens in order, each once.

    Parameters
    ----------
    gateway : gateways.Gateway
        Shared parts.
    request : requests.GenerationRequest
        What the caller asked for.

    Attributes
    ----------
    id : GenerationId
        Changes only when the generation starts anew with nothing delivered.
    code : codes.Code
        Code of the answer if it succeeds.
    tokens : list of str
        Tokens received so far.
    first_offset : int
        Offset of the first of these; above 0 only where a caller came back.
    delivered : int
        Tokens that have been handed to the caller and can't be taken back.
    finish_reason : str or None
        Set once the last token has arrived.
    execution : codes.Execution
        What is known of all attempts so far.
    server_id : ServerId or None
        Where it runs.
    failed_server : ServerId or None
        Where the last attempt failed; the next one avoids it if it can.
    ready_batch : base.TokenBatch or None
        Tokens that were received while the generation was being opened.
    """

    hedges = True

    def __init__(
        self, gateway: gateways.Gateway, request: requests.GenerationRequest
    ) -> None:
        self.gateway = gateway
        self.request = request
        self.id = ids.GenerationId("")
        self.code = codes.Code.OK
        self.tokens: list[str] = []
        self.first_offset = 0
        self.delivered = 0
        self.finish_reason: str | None = None
        self.execution = codes.Execution.NOT_RUN
        self.server_id: ids.ServerId | None = None
        self.failed_server: ids.ServerId | None = None
        self.slot: admission.Slot | None = None
        self.stream: base.TokenStream | None = None
        self.attempts = 0
        counted = gateway.recorder.series_of(
            request.organisation.id, request.priority_class.name
        )
        self.meter = metering.StreamMeter(counted, asyncio.get_running_loop().time())
        self.resumes = 0
        self.unreported = 0
        self.loop = asyncio.get_running_loop()
        self.links_lost = 0
        self.ready_batch: base.TokenBatch | None = None

    def next_offset(self) -> int:
        """Return the offset of the next token."""
        return self.first_offset + len(self.tokens)

    async def open(self) -> result.Result[None, failures.Failure]:
        """Find a backend server and start there.

        Returns
        -------
        Result
            Nothing, or the numbered failure that ends the request.
        """
        while True:
            started = await self.attempt()
            if isinstance(started, result.Success):
                return started
            failure = started.failure()
            if not self.may_try_again(failure) or not self.spend_retry():
                return result.Failure(self.final_failure(failure))
            longest_s = attempts.longest_backoff_s(self.attempts)
            await asyncio.sleep(self.gateway.rng.uniform(0.0, longest_s))

    def may_try_again(self, failure: failures.Failure) -> bool:
        """Return whether another attempt may be made after a failure."""
        if self.attempts >= MAX_ATTEMPTS:
            return False
        if failure.code not in (codes.Code.SERVER_FAILED, codes.Code.REFUSED_BY_SERVER):
            return False
        if self.request.idempotency_key is None:
            return True
        return self.execution is codes.Execution.NOT_RUN

    def spend_retry(self) -> bool:
        """Take one retry from the budget; return whether there was one left."""
        request = self.request
        return self.gateway.retries.spend(request.organisation.id, request.model.name)

    def final_failure(self, failure: failures.Failure) -> failures.Failure:
        """Return the failure of the whole request, given that of the last attempt."""
        if self.execution is codes.Execution.NOT_RUN:
            return failure
        if failure.code is codes.Code.DEADLINE_BEFORE_START:
            return self.deadline_failure()
        return attempts.with_execution(failure, self.execution)

    async def attempt(self) -> result.Result[None, failures.Failure]:
        """Make one attempt at one backend server."""
        self.attempts += 1
        acquired = await self.acquire_slot()
        if isinstance(acquired, result.Failure):
            return acquired
        self.slot = acquired.unwrap()
        self.meter.note_placed(asyncio.get_running_loop().time())
        self.server_id = self.slot.server_id
        if not self.tokens:
            self.id = self.gateway.new_generation_id(self.request.organisation.id)
        if self.remaining_s() <= 0:
            self.leave_server(work.SlotOutcome.CANCELLED)
            return result.Failure(
                failures.Failure(
                    codes.Code.DEADLINE_BEFORE_START, "no time was left to start"
                )
            )
        return await self.start()

    async def start(self) -> result.Result[None, failures.Failure]:
        """Send the generation to the server that was chosen."""
        timeout_s = min(self.remaining_s(), self.gateway.limits.silent_stream_s)
        engine = self.engine()
        try:
            started = await engine.start(self.call(), timeout_s)
        except asyncio.CancelledError:
            self.leave_server(work.SlotOutcome.CANCELLED)
            self.gateway.spawn(engine.cancel(self.id))
            raise
        if isinstance(started, result.Failure):
            return await self.note_failed_start(started.failure())
        self.stream = started.unwrap()
        self.execution = codes.Execution.RAN
        return result.Success(None)

    async def acquire_slot(self) -> result.Result[admission.Slot, failures.Failure]:
        """Wait for a place, for a while only on other servers than the failed one."""
        if self.failed_server is not None:
            now_s = asyncio.get_running_loop().time()
            excluded = frozenset((self.failed_server,))
            self.failed_server = None
            deadline_s = min(self.request.deadline_s, now_s + attempts.AVOID_WAIT_S)
            item = self.work_item(deadline_s, excluded)
            acquired = await self.gateway.slots.acquire(item)
            if isinstance(acquired, result.Success):
                return acquired
        return await self.gateway.slots.acquire(
            self.work_item(self.request.deadline_s, frozenset())
        )

    def work_item(
        self, deadline_s: float, excluded: frozenset[ids.ServerId]
    ) -> work.WorkItem:
        """Return what the routing needs to know of this generation."""
        request = self.request
        prompt = request.prompt_text()
        return work.WorkItem(
            request_id=request.request_id,
            organisation=request.organisation.id,
            class_name=request.priority_class.name,
            model=request.model.name,
            adapter=request.adapter,
            prompt_tokens=requests.estimate_prompt_tokens(prompt),
            prefix_hashes=requests.prefix_hashes_of(prompt),
            priority=-request.priority_class.priority,
            must_not_drop=request.priority_class.must_not_drop,
            deadline_s=deadline_s,
            max_tokens=request.max_tokens,
            generated_tokens=len(self.tokens),
            excluded=excluded,
        )

    def call(self) -> base.GenerationCall:
        """Return the call that starts this generation, or continues it."""
        request = self.request
        return base.GenerationCall(
            generation_id=self.id,
            request_id=request.request_id,
            model=request.model.name,
            version=request.model.version,
            adapter=request.adapter,
            prompt=request.prompt,
            messages=request.messages,
            max_tokens=request.max_tokens,
            priority=request.priority_class.priority,
            tokens_so_far=tuple(self.tokens),
            parameters=request.parameters,
        )

    def engine(self) -> base.ModelEngine:
        """Return the adapter of the engine that runs this generation."""
        assert self.server_id is not None
        backend = self.gateway.backend_of(self.server_id, self.request.configuration)
        assert isinstance(backend, base.ModelEngine)
        return backend

    def remaining_s(self) -> float:
        """Return the time left until the deadline, in seconds."""
        return self.request.deadline_s - asyncio.get_running_loop().time()

    async def note_failed_start(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Go on after a start without an answer, or leave the server.

        The engine knows the generation by the id that this gateway chose. So after a
        lost answer a new connection tells whether the request had arrived.
        """
        assert self.server_id is not None
        LOG.warning(
            "lifecycle: Start of {} on {} failed: {}.",
            self.request.request_id,
            self.server_id,
            failure.message,
        )
        execution = attempts.execution_of(failure)
        self.execution = attempts.stronger(self.execution, execution)
        if execution is codes.Execution.MAY_HAVE_RUN:
            if await self.resume_on_same_server():
                return result.Success(None)
            self.gateway.spawn(self.engine().cancel(self.id))
        self.failed_server = self.server_id
        self.leave_server(attempts.slot_outcome_of(failure))
        rejected = failure.kind is base.FailureKind.REJECTED
        if rejected and self.tokens and not self.delivered:
            # This replica does not accept the tokens of the other: start anew.
            self.tokens.clear()
            return await self.attempt()
        return result.Failure(attempts.numbered_failure_of(failure))

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

    async def forward(
        self, sink: base.TokenSink, until_s: float
    ) -> result.Result[base.Forwarded, failures.Failure]:
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
            accepted = sink.take(ready)
            if ready.ended or not accepted:
                return result.Success(base.outcome_of(ready))
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
                    sink.take(self.note_batch(self.end_batch()))
                    return result.Success(base.Forwarded.ENDED)
                recovered = await self.recover(forwarded.failure())
                if isinstance(recovered, result.Failure):
                    return recovered
            elif due_s == until_s or forwarded.unwrap() is not base.Forwarded.DUE:
                return forwarded
            else:
                await self.cancel()
                return result.Failure(self.deadline_failure())

    def deadline_failure(self) -> failures.Failure:
        """Return the failure of a generation whose time is over."""
        return failures.Failure(
            codes.Code.DEADLINE_EXCEEDED,
            f"the deadline passed after {len(self.tokens)} tokens",
            codes.Execution.RAN if self.tokens else None,
        )

    def note_batch(self, batch: base.TokenBatch) -> base.TokenBatch:
        """Keep the tokens of a batch; leave the server after the last."""
        tokens = self.tokens
        assert batch.offset == self.first_offset + len(tokens)
        self.resumes = 0
        if batch.texts:
            self.attempts = 0
            first = not tokens
            tokens.extend(batch.texts)
            self.meter.note_tokens(self.loop.time())
            self.unreported += len(batch.texts)
            if first or self.unreported >= REPORT_TOKENS:
                self.report_tokens()
        self.finish_reason = batch.finish_reason or self.finish_reason
        if self.request.delivery is requests.Delivery.STREAM:
            self.delivered = len(self.tokens)
        if batch.ended:
            self.meter.finish()
            self.leave_server(work.SlotOutcome.COMPLETED)
        return batch

    def report_tokens(self) -> None:
        """Tell the routing of new tokens: of the first at once, then of several."""
        if self.slot is not None:
            self.slot.on_tokens(self.unreported)
        self.unreported = 0

    async def recover(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Go on after a broken stream, on a new link or another server."""
        LOG.warning(
            "lifecycle: Stream of {} from {} broke: {}.",
            self.request.request_id,
            self.server_id,
            failure.message,
        )
        assert self.stream is not None
        self.stream.close()
        await self.wait_before_new_link()
        while self.resumes < MAX_RESUMES_IN_A_ROW:
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

    async def resume_on_same_server(self) -> bool:
        """Open a new link to the running generation; return whether it opened."""
        timeout_s = min(RESUME_TIMEOUT_S, self.remaining_s())
        if timeout_s <= 0:
            return False
        opened = await self.engine().resume(self.id, self.next_offset(), timeout_s)
        if isinstance(opened, result.Failure):
            if opened.failure().kind is base.FailureKind.UNKNOWN_GENERATION:
                self.resumes = MAX_RESUMES_IN_A_ROW
            return False
        self.stream = opened.unwrap()
        self.execution = codes.Execution.RAN
        return True

    async def move_to_another_server(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Continue or start anew on another server, where that is allowed."""
        assert self.server_id is not None
        self.gateway.spawn(self.engine().cancel(self.id))
        self.failed_server = self.server_id
        continues = self.continues_elsewhere()
        self.leave_server(attempts.slot_outcome_of(failure))
        lost = attempts.lost_server_failure(failure, len(self.tokens))
        if self.request.idempotency_key is not None:
            return result.Failure(lost)
        if self.delivered and not continues:
            return result.Failure(lost)
        if not continues:
            self.tokens.clear()
        self.resumes = 0
        return await self.open()

    def continues_elsewhere(self) -> bool:
        """Return whether any replica can continue from the tokens."""
        assert self.server_id is not None
        server = self.request.configuration.servers[self.server_id]
        return server.resumes_across_replicas

    def leave_server(self, outcome: work.SlotOutcome) -> None:
        """Give the place on the server back."""
        if self.slot is not None:
            self.slot.release(outcome)
            self.slot = None

    async def cancel(self) -> None:
        """Stop the generation at the engine; the caller wants no more of it."""
        if self.server_id is None:
            return
        if self.stream is not None:
            self.stream.close()
        self.leave_server(work.SlotOutcome.CANCELLED)
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
        if self.server_id is None or self.slot is None and not self.first_offset:
            return
        await asyncio.sleep(self.gateway.limits.caller_grace_s)
        self.leave_server(work.SlotOutcome.CANCELLED)
        await self.engine().cancel(self.id, only_if_detached=True)
