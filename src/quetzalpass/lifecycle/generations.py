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
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.lifecycle import requests
from quetzalpass.results import codes, failures
from quetzalpass.routing import admission, work

LOG = logbook.Logger("lifecycle")

MAX_ATTEMPTS = 4
MAX_RESUMES_IN_A_ROW = 2
RETRY_BASE_S = 0.05
RETRY_CAP_S = 1.0
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
    tokens : list of str
        Tokens received so far.
    first_offset : int
        Offset of the first of these; above 0 only where a caller came back.
    delivered : int
        Tokens that have been handed to the caller and can't be taken back.
    server_id : ServerId or None
        Where it runs.
    """

    def __init__(
        self, gateway: gateways.Gateway, request: requests.GenerationRequest
    ) -> None:
        self.gateway = gateway
        self.request = request
        self.id = ids.GenerationId("")
        self.tokens: list[str] = []
        self.delivered = 0
        self.server_id: ids.ServerId | None = None
        self.slot: admission.Slot | None = None
        self.stream: base.TokenStream | None = None
        self.attempts = 0
        self.resumes = 0
        self.excluded: set[ids.ServerId] = set()
        self.first_offset = 0
        self.unreported = 0

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
            if self.attempts >= MAX_ATTEMPTS or not self.may_try_again(failure):
                return started
            await self.back_off()

    def may_try_again(self, failure: failures.Failure) -> bool:
        """Return whether another attempt may be made after a failure."""
        if failure.code not in (codes.Code.SERVER_FAILED, codes.Code.REFUSED_BY_SERVER):
            return False
        if self.request.idempotency_key is None:
            return True
        return failure.effective_execution() is codes.Execution.NOT_RUN

    async def back_off(self) -> None:
        """Wait with jitter before the next attempt."""
        longest_s = min(RETRY_CAP_S, RETRY_BASE_S * 2**self.attempts)
        await asyncio.sleep(self.gateway.rng.uniform(0.0, longest_s))

    async def attempt(self) -> result.Result[None, failures.Failure]:
        """Make one attempt at one backend server."""
        self.attempts += 1
        acquired = await self.gateway.slots.acquire(self.work_item())
        if isinstance(acquired, result.Failure):
            return acquired
        self.slot = acquired.unwrap()
        self.server_id = self.slot.server_id
        if not self.tokens:
            self.id = self.gateway.new_generation_id(self.request.organisation.id)
        timeout_s = self.remaining_s()
        if timeout_s <= 0:
            self.leave_server(work.SlotOutcome.CANCELLED)
            return result.Failure(
                failures.Failure(
                    codes.Code.DEADLINE_BEFORE_START, "no time was left to start"
                )
            )
        timeout_s = min(timeout_s, self.gateway.limits.first_token_timeout_s)
        started = await self.engine().start(self.call(), timeout_s)
        if isinstance(started, result.Failure):
            return result.Failure(self.note_failed_start(started.failure()))
        self.stream = started.unwrap()
        return result.Success(None)

    def work_item(self) -> work.WorkItem:
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
            deadline_s=request.deadline_s,
            max_tokens=request.max_tokens,
            generated_tokens=len(self.tokens),
            excluded=frozenset(self.excluded),
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

    def note_failed_start(self, failure: base.AttemptFailure) -> failures.Failure:
        """Leave the server and return the numbered failure of a failed start."""
        assert self.server_id is not None
        LOG.warn(
            "lifecycle: Start of {} on {} failed: {}.",
            self.request.request_id,
            self.server_id,
            failure.message,
        )
        self.excluded.add(self.server_id)
        self.leave_server(slot_outcome_of(failure))
        return numbered_failure_of(failure)

    async def next_batch(self) -> BatchResult:
        """Return the next tokens, over new links or servers where needed.

        Returns
        -------
        Result
            Tokens that follow the earlier ones without a gap, or the numbered
            failure that ends the generation.
        """
        while True:
            remaining_s = self.remaining_s()
            if remaining_s <= 0:
                await self.cancel()
                return result.Failure(self.deadline_failure())
            assert self.stream is not None
            silence_s = min(remaining_s, self.gateway.limits.silent_stream_s)
            received = await self.stream.next_batch(silence_s)
            if isinstance(received, result.Success):
                return result.Success(self.note_batch(received.unwrap()))
            recovered = await self.recover(received.failure())
            if isinstance(recovered, result.Failure):
                return recovered

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
        tap = TokenTap(self, sink)
        while True:
            remaining_s = self.remaining_s()
            if remaining_s <= 0:
                await self.cancel()
                return result.Failure(self.deadline_failure())
            assert self.stream is not None
            due_s = min(until_s, self.request.deadline_s)
            silence_s = self.gateway.limits.silent_stream_s
            forwarded = await self.stream.forward(tap, silence_s, due_s)
            if isinstance(forwarded, result.Failure):
                recovered = await self.recover(forwarded.failure())
                if isinstance(recovered, result.Failure):
                    return recovered
            elif due_s == until_s or forwarded.unwrap() is not base.Forwarded.DUE:
                return forwarded

    def deadline_failure(self) -> failures.Failure:
        """Return the failure of a generation whose time is over."""
        return failures.Failure(
            codes.Code.DEADLINE_EXCEEDED,
            f"the deadline passed after {len(self.tokens)} tokens",
            codes.Execution.RAN if self.tokens else None,
        )

    def note_batch(self, batch: base.TokenBatch) -> base.TokenBatch:
        """Keep the tokens of a batch; leave the server after the last."""
        assert batch.offset == self.next_offset()
        self.resumes = 0
        if batch.texts:
            self.tokens.extend(batch.texts)
            self.report_tokens(len(batch.texts))
        if self.request.delivery is requests.Delivery.STREAM:
            self.delivered = len(self.tokens)
        if batch.ended:
            self.leave_server(work.SlotOutcome.COMPLETED)
        return batch

    def report_tokens(self, count: int) -> None:
        """Tell the routing of new tokens: of the first at once, then of several."""
        self.unreported += count
        if self.unreported < REPORT_TOKENS and len(self.tokens) > count:
            return
        if self.slot is not None:
            self.slot.on_tokens(self.unreported)
        self.unreported = 0

    async def recover(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Go on after a broken stream, on a new link or another server."""
        LOG.warn(
            "lifecycle: Stream of {} from {} broke: {}.",
            self.request.request_id,
            self.server_id,
            failure.message,
        )
        assert self.stream is not None
        self.stream.close()
        if self.resumes < MAX_RESUMES_IN_A_ROW:
            self.resumes += 1
            resumed = await self.resume_on_same_server()
            if resumed:
                return result.Success(None)
        return await self.move_to_another_server(failure)

    async def resume_on_same_server(self) -> bool:
        """Open a new link to the running generation; return whether it opened."""
        opened = await self.engine().resume(
            self.id, self.next_offset(), min(RESUME_TIMEOUT_S, self.remaining_s())
        )
        if isinstance(opened, result.Failure):
            return False
        self.stream = opened.unwrap()
        return True

    async def move_to_another_server(
        self, failure: base.AttemptFailure
    ) -> result.Result[None, failures.Failure]:
        """Continue or start anew on another server, where that is allowed."""
        assert self.server_id is not None
        await self.engine().cancel(self.id)
        self.excluded.add(self.server_id)
        continues = self.continues_elsewhere()
        self.leave_server(slot_outcome_of(failure))
        if self.request.idempotency_key is not None:
            return result.Failure(lost_server_failure(failure, len(self.tokens)))
        if self.delivered and not continues:
            return result.Failure(lost_server_failure(failure, len(self.tokens)))
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
        await asyncio.sleep(self.gateway.limits.caller_grace_s)
        if self.server_id is None:
            return
        self.leave_server(work.SlotOutcome.CANCELLED)
        await self.engine().cancel(self.id, only_if_detached=True)


class TokenTap(base.TokenSink):
    """Keeps the tokens of a generation on their way to the caller's sink."""

    def __init__(self, generation: Generation, sink: base.TokenSink) -> None:
        self.note_batch = generation.note_batch
        self.take_on = sink.take

    def take(self, batch: base.TokenBatch) -> bool:
        """Keep the tokens, then pass them on."""
        return self.take_on(self.note_batch(batch))


def slot_outcome_of(failure: base.AttemptFailure) -> work.SlotOutcome:
    """Return what a failure tells the routing about the server."""
    if failure.kind in (base.FailureKind.UNREACHABLE, base.FailureKind.CLOSED):
        return work.SlotOutcome.SERVER_LOST
    if failure.end is base.AttemptEnd.REFUSED:
        return work.SlotOutcome.REFUSED_BY_SERVER
    return work.SlotOutcome.FAILED


def numbered_failure_of(failure: base.AttemptFailure) -> failures.Failure:
    """Return the numbered failure of an attempt that gave no token."""
    if failure.kind is base.FailureKind.REJECTED:
        return failures.Failure(codes.Code.BAD_REQUEST, failure.message)
    if failure.end is base.AttemptEnd.REFUSED:
        return failures.Failure(
            codes.Code.REFUSED_BY_SERVER,
            failure.message,
            retry_after_ms=failure.retry_after_ms,
        )
    execution = codes.Execution.MAY_HAVE_RUN
    if failure.end is base.AttemptEnd.NOT_SENT:
        execution = codes.Execution.NOT_RUN
    return failures.Failure(codes.Code.SERVER_FAILED, failure.message, execution)


def lost_server_failure(failure: base.AttemptFailure, tokens: int) -> failures.Failure:
    """Return the numbered failure of a generation that can't go on."""
    code = codes.Code.SERVER_LOST
    if failure.kind is base.FailureKind.CROSSED:
        code = codes.Code.STREAM_CROSSED
    if failure.kind is base.FailureKind.TOO_LARGE:
        code = codes.Code.EVENT_TOO_LARGE
    return failures.Failure(code, f"{failure.message}, after {tokens} tokens")
