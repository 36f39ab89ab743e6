"""Non-idempotent generations, which run at most once."""

import asyncio
import hashlib

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.control import ledger_messages as messages
from quetzalpass.lifecycle import claims, generations, requests
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.results import codes, failures

STATUS_OK = 200


class RecordedGeneration(msgspec.Struct, frozen=True):
    """A complete generation as the ledger stores it."""

    generation_id: ids.GenerationId
    server_id: ids.ServerId
    tokens: list[str]
    finish_reason: str | None


class ClaimedGeneration(generations.Generation):
    """A generation that is claimed, runs once, and is recorded when it is complete.

    It runs to its end even if the caller disconnects, so that a resend of the request
    gets the response.

    Attributes
    ----------
    key : messages.ClaimKey
        Identifies resends of the request.
    token : str or None
        Token of the claim while this gateway holds it.
    recorded : RecordedGeneration or None
        Recorded outcome of an earlier send of the request.
    receive_task : asyncio.Task or None
        Receives the next tokens; it outlives the caller's connection.
    """

    supports_hedging = False

    def __init__(
        self, gateway: gateways.Gateway, request: requests.GenerationRequest
    ) -> None:
        super().__init__(gateway, request)
        assert request.idempotency_key is not None
        self.key = messages.ClaimKey(request.organisation.id, request.idempotency_key)
        self.token: str | None = None
        self.recorded: RecordedGeneration | None = None
        self.receive_task: asyncio.Task[generations.BatchResult] | None = None

    async def open(self) -> result.Result[None, failures.Failure]:
        """Claim the generation and start it, or find its recorded outcome."""
        open_task = self.gateway.spawn_counted(self.claim_and_open())
        try:
            return await asyncio.shield(open_task)
        except asyncio.CancelledError:
            self.gateway.spawn_counted(self.finish_without_caller(open_task))
            raise

    async def claim_and_open(self) -> result.Result[None, failures.Failure]:
        """Claim the generation, then start it; settle the claim if the start fails."""
        claimed = await claims.obtain(
            self.gateway,
            self.key,
            self.request.fingerprint(),
            self.request.deadline_s,
            self.request.configuration.declaration.retention,
        )
        if isinstance(claimed, result.Failure):
            return claimed
        claim = claimed.unwrap()
        if claim.state is not messages.ClaimState.GRANTED:
            return self.use_recorded_outcome(claim)
        self.token = claim.token
        opened = await super().open()
        if isinstance(opened, result.Failure):
            return result.Failure(await self.settle_failed_claim(opened.failure()))
        return opened

    def use_recorded_outcome(
        self, claim: messages.ClaimReply
    ) -> result.Result[None, failures.Failure]:
        """Take the result from the recorded outcome of an earlier send."""
        outcome = claim.outcome
        if outcome is None:
            return unknown_outcome("an earlier send of this request may have run")
        if not outcome.whole:
            return result.Failure(
                failures.Failure(
                    codes.Code.OUTCOME_UNKNOWN,
                    "an earlier send of this request ran; its response was too large "
                    f"to store, SHA-256 {outcome.body_digest}",
                    codes.Execution.RAN,
                )
            )
        self.recorded = msgspec.msgpack.decode(outcome.body, type=RecordedGeneration)
        self.code = codes.Code.REPLAYED
        self.id = self.recorded.generation_id
        self.server_id = self.recorded.server_id
        return result.Success(None)

    async def settle_failed_claim(self, failure: failures.Failure) -> failures.Failure:
        """Release the claim if nothing ran, else record that it may have run."""
        assert self.token is not None
        token, self.token = self.token, None
        if failure.effective_execution() is codes.Execution.NOT_RUN:
            await self.gateway.ledger.release(self.key, token)
            return failure
        await self.gateway.ledger.record(self.key, token, None)
        return msgspec.structs.replace(
            failure,
            code=codes.Code.OUTCOME_UNKNOWN,
            execution=failure.effective_execution(),
        )

    async def next_batch(self) -> generations.BatchResult:
        """Return the next tokens; the last ones only once the outcome is recorded."""
        if self.recorded is not None:
            return result.Success(self.recorded_batch(self.recorded))
        self.receive_task = self.gateway.spawn_counted(self.receive())
        return await asyncio.shield(self.receive_task)

    async def forward(
        self, sink: base.TokenSink, until_s: float
    ) -> result.Result[base.ForwardEnd, failures.Failure]:
        """Pass the tokens to a sink; the last ones only once the outcome is recorded.

        A separate task receives each batch and outlives the caller's connection. There
        are few such generations, so the cost of one task per token does not matter.
        """
        loop = asyncio.get_running_loop()
        while True:
            if self.recorded is not None:
                batch = self.recorded_batch(self.recorded)
            else:
                if self.receive_task is None:
                    self.receive_task = self.gateway.spawn_counted(self.receive())
                left_s = max(0.0, until_s - loop.time())
                done, _ = await asyncio.wait({self.receive_task}, timeout=left_s)
                if not done:
                    return result.Success(base.ForwardEnd.DUE)
                received = self.receive_task.result()
                self.receive_task = None
                if isinstance(received, result.Failure):
                    return received
                batch = received.unwrap()
            accepted = sink.consume(batch)
            if batch.ended or not accepted:
                return result.Success(base.forward_end(batch))

    def recorded_batch(self, recorded: RecordedGeneration) -> base.TokenBatch:
        """Return the recorded generation as one batch."""
        self.tokens = recorded.tokens
        return base.TokenBatch(0, recorded.tokens, recorded.finish_reason, ended=True)

    async def receive(self) -> generations.BatchResult:
        """Receive the next tokens; settle the claim after the last or a failure."""
        received = await super().next_batch()
        if isinstance(received, result.Failure):
            return result.Failure(await self.settle_failed_claim(received.failure()))
        if received.unwrap().ended:
            await self.record_completed()
        return received

    async def record_completed(self) -> None:
        """Record the complete generation; of a large one only the digest."""
        assert self.token is not None and self.server_id is not None
        body = msgspec.msgpack.encode(
            RecordedGeneration(self.id, self.server_id, self.tokens, self.finish_reason)
        )
        retention = self.request.configuration.declaration.retention
        whole = len(body) <= retention.body_bytes
        digest = hashlib.sha256(body).hexdigest()
        outcome = messages.Outcome(STATUS_OK, {}, body if whole else b"", digest, whole)
        token, self.token = self.token, None
        await self.gateway.ledger.record(self.key, token, outcome)

    def detach(self) -> None:
        """Run to the end without the caller."""
        if self.recorded is None:
            self.gateway.spawn_counted(self.finish_without_caller(None))

    async def cancel(self) -> None:
        """Run to the end without the caller unless the deadline has passed."""
        if self.remaining_s() <= 0:
            await super().cancel()
        else:
            self.detach()

    async def finish_without_caller(
        self, open_task: asyncio.Task[result.Result[None, failures.Failure]] | None
    ) -> None:
        """Receive the rest of the generation and record it."""
        if open_task is not None and isinstance(await open_task, result.Failure):
            return
        if self.receive_task is not None:
            await self.receive_task
        while self.token is not None:
            await self.receive()


def unknown_outcome(message: str) -> result.Result[None, failures.Failure]:
    """Return the failure of a request whose outcome is unknown: it may have run."""
    return result.Failure(failures.Failure(codes.Code.OUTCOME_UNKNOWN, message))


def create_claimed_generation(
    gateway: gateways.Gateway, request: requests.GenerationRequest
) -> result.Result[generations.Generation, failures.Failure]:
    """Return a generation that runs at most once; it needs an idempotency key."""
    if request.idempotency_key is None:
        return result.Failure(
            failures.Failure(
                codes.Code.KEY_REQUIRED,
                "a non-idempotent generation needs an Idempotency-Key",
            )
        )
    return result.Success(ClaimedGeneration(gateway, request))
