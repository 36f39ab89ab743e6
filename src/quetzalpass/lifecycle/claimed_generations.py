"""Generations that may run at most once."""

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
    """A whole generation as the ledger keeps it."""

    generation_id: ids.GenerationId
    server_id: ids.ServerId
    tokens: list[str]
    finish_reason: str | None


class ClaimedGeneration(generations.Generation):
    """A generation that is claimed, runs once, and is recorded when it is whole.

    It goes on to its end without its caller, so that a resend gets the answer.

    Attributes
    ----------
    key : messages.ClaimKey
        How resends are known.
    token : str or None
        Token of the claim while it is held here.
    replay : RecordedGeneration or None
        Outcome of an earlier call.
    receiving : asyncio.Task or None
        Wait for the next tokens; it outlives the caller.
    """

    hedges = False

    def __init__(
        self, gateway: gateways.Gateway, request: requests.GenerationRequest
    ) -> None:
        super().__init__(gateway, request)
        assert request.idempotency_key is not None
        self.key = messages.ClaimKey(request.organisation.id, request.idempotency_key)
        self.token: str | None = None
        self.replay: RecordedGeneration | None = None
        self.receiving: asyncio.Task[generations.BatchResult] | None = None

    async def open(self) -> result.Result[None, failures.Failure]:
        """Claim the generation and start it, or find its recorded outcome."""
        opening = self.gateway.spawn_counted(self.open_claimed())
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            self.gateway.spawn_counted(self.finish_alone(opening))
            raise

    async def open_claimed(self) -> result.Result[None, failures.Failure]:
        """Claim, then start; the claim is settled if the start fails."""
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
            return self.take_outcome(claim)
        self.token = claim.token
        opened = await super().open()
        if isinstance(opened, result.Failure):
            return result.Failure(await self.settle_failure(opened.failure()))
        return opened

    def take_outcome(
        self, claim: messages.ClaimAnswer
    ) -> result.Result[None, failures.Failure]:
        """Answer from the recorded outcome of the first call."""
        outcome = claim.outcome
        if outcome is None:
            return unknown("the first call may have run")
        if not outcome.whole:
            return result.Failure(
                failures.Failure(
                    codes.Code.OUTCOME_UNKNOWN,
                    "the first call ran; its answer was too large to keep, SHA-256 "
                    f"{outcome.body_digest}",
                    codes.Execution.RAN,
                )
            )
        self.replay = msgspec.msgpack.decode(outcome.body, type=RecordedGeneration)
        self.code = codes.Code.REPLAYED
        self.id = self.replay.generation_id
        self.server_id = self.replay.server_id
        return result.Success(None)

    async def settle_failure(self, failure: failures.Failure) -> failures.Failure:
        """Give the claim back if nothing ran, else record that it may have run."""
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
        """Return the next tokens; the last ones once the outcome is recorded."""
        if self.replay is not None:
            return result.Success(self.replay_batch(self.replay))
        self.receiving = self.gateway.spawn_counted(self.receive())
        return await asyncio.shield(self.receiving)

    async def forward(
        self, sink: base.TokenSink, until_s: float
    ) -> result.Result[base.ForwardEnd, failures.Failure]:
        """Hand the tokens to a sink; the last ones once the outcome is recorded.

        Each batch is received by a task that outlives the caller. Such generations are
        few, so that the cost of a task for each token does not matter.
        """
        loop = asyncio.get_running_loop()
        while True:
            if self.replay is not None:
                batch = self.replay_batch(self.replay)
            else:
                if self.receiving is None:
                    self.receiving = self.gateway.spawn_counted(self.receive())
                left_s = max(0.0, until_s - loop.time())
                done, _ = await asyncio.wait({self.receiving}, timeout=left_s)
                if not done:
                    return result.Success(base.ForwardEnd.DUE)
                received = self.receiving.result()
                self.receiving = None
                if isinstance(received, result.Failure):
                    return received
                batch = received.unwrap()
            accepted = sink.consume(batch)
            if batch.ended or not accepted:
                return result.Success(base.forward_end(batch))

    def replay_batch(self, replay: RecordedGeneration) -> base.TokenBatch:
        """Return the recorded generation as one batch."""
        self.tokens = replay.tokens
        return base.TokenBatch(0, replay.tokens, replay.finish_reason, ended=True)

    async def receive(self) -> generations.BatchResult:
        """Receive the next tokens and settle the claim at the end."""
        received = await super().next_batch()
        if isinstance(received, result.Failure):
            return result.Failure(await self.settle_failure(received.failure()))
        if received.unwrap().ended:
            await self.record_whole()
        return received

    async def record_whole(self) -> None:
        """Record the whole generation; a large one leaves its digest only."""
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
        """Go on without the caller."""
        if self.replay is None:
            self.gateway.spawn_counted(self.finish_alone(None))

    async def cancel(self) -> None:
        """Go on without the caller; only the deadline ends it early."""
        if self.remaining_s() <= 0:
            await super().cancel()
        else:
            self.detach()

    async def finish_alone(
        self, opening: asyncio.Task[result.Result[None, failures.Failure]] | None
    ) -> None:
        """Receive and record the rest of the generation."""
        if opening is not None and isinstance(await opening, result.Failure):
            return
        if self.receiving is not None:
            await self.receiving
        while self.token is not None:
            await self.receive()


def unknown(message: str) -> result.Result[None, failures.Failure]:
    """Return the failure of a request that may have run."""
    return result.Failure(failures.Failure(codes.Code.OUTCOME_UNKNOWN, message))


def claimed_generation(
    gateway: gateways.Gateway, request: requests.GenerationRequest
) -> result.Result[generations.Generation, failures.Failure]:
    """Return a generation that runs at most once; its caller must send a key."""
    if request.idempotency_key is None:
        return result.Failure(
            failures.Failure(
                codes.Code.KEY_REQUIRED, "a non-idempotent generation needs a key"
            )
        )
    return result.Success(ClaimedGeneration(gateway, request))
