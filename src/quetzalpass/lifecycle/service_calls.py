"""Calls of plain services, at most once where they may not be repeated."""

import asyncio

import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.control import ledger
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.lifecycle import generations, ledger_client, requests
from quetzalpass.results import codes, failures
from quetzalpass.routing import work

LOG = logbook.Logger("lifecycle")

MAX_ATTEMPTS = 3
RETRY_BASE_S = 0.05

AnswerResult = result.Result["CallOutcome", failures.Failure]


class CallOutcome(msgspec.Struct, frozen=True):
    """Answer of a service with its numbered code."""

    code: codes.Code
    answer: base.ServiceAnswer


async def run_call(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> AnswerResult:
    """Make a call, once only where the request is non-idempotent."""
    if request.non_idempotent:
        return await run_at_most_once(gateway, request)
    return await run_repeatable(gateway, request)


async def run_repeatable(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> AnswerResult:
    """Make a call that may be repeated, with bounded retries."""
    excluded: set[ids.ServerId] = set()
    for attempt in range(MAX_ATTEMPTS):
        tried = await call_one_server(gateway, request, excluded)
        if isinstance(tried, result.Success):
            return tried.map(lambda answer: CallOutcome(codes.Code.OK, answer))
        failure = tried.failure()
        if isinstance(failure, failures.Failure):
            return result.Failure(failure)
        last = failure
        await asyncio.sleep(gateway.rng.uniform(0.0, RETRY_BASE_S * 2**attempt))
    return result.Failure(generations.numbered_failure_of(last))


async def call_one_server(
    gateway: gateways.Gateway,
    request: requests.ServiceRequest,
    excluded: set[ids.ServerId],
) -> result.Result[base.ServiceAnswer, base.AttemptFailure | failures.Failure]:
    """Make one attempt at one server of the service.

    Returns
    -------
    Result
        The answer; an ``AttemptFailure`` of the server; or the numbered failure that
        ends the request because no server was found in time.
    """
    item = work.WorkItem(
        request_id=request.request_id,
        organisation=request.organisation.id,
        class_name=request.priority_class.name,
        model=ids.ModelName(request.service.name),
        priority=-request.priority_class.priority,
        must_not_drop=request.priority_class.must_not_drop,
        deadline_s=request.deadline_s,
        max_tokens=0,
        excluded=frozenset(excluded),
    )
    acquired = await gateway.slots.acquire(item)
    if isinstance(acquired, result.Failure):
        return acquired
    slot = acquired.unwrap()
    backend = gateway.backend_of(slot.server_id, request.configuration)
    assert isinstance(backend, base.PlainService)
    remaining_s = request.deadline_s - asyncio.get_running_loop().time()
    try:
        answer = await backend.call(request.call, remaining_s)
    except asyncio.CancelledError:
        slot.release(work.SlotOutcome.CANCELLED)
        raise
    if isinstance(answer, result.Failure):
        excluded.add(slot.server_id)
        slot.release(generations.slot_outcome_of(answer.failure()))
        LOG.warn(
            "lifecycle: Call {} at {} failed: {}.",
            request.request_id,
            slot.server_id,
            answer.failure().message,
        )
        return answer
    slot.release(work.SlotOutcome.COMPLETED)
    return answer


async def run_at_most_once(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> AnswerResult:
    """Claim the request, make one attempt, and record what became of it."""
    assert request.call.idempotency_key is not None
    key = ledger.ClaimKey(request.organisation.id, request.call.idempotency_key)
    claimed = await gateway.ledger.claim(key, request.fingerprint())
    if isinstance(claimed, result.Failure):
        return claimed
    claim = claimed.unwrap()
    if claim.state is not ledger.ClaimState.GRANTED:
        return answer_of_earlier_claim(claim)
    # The attempt runs to its end even if the caller goes away: an abandoned claim
    # would leave an outcome that could have been recorded as unknown.
    attempt = asyncio.create_task(attempt_claimed(gateway, request, key, claim))
    return await asyncio.shield(attempt)


async def attempt_claimed(
    gateway: gateways.Gateway,
    request: requests.ServiceRequest,
    key: ledger.ClaimKey,
    claim: ledger.ClaimAnswer,
) -> AnswerResult:
    """Make the one attempt of a granted claim and settle the claim."""
    tried = await call_one_server(gateway, request, set())
    if isinstance(tried, result.Success):
        answer = tried.unwrap()
        retention = request.configuration.declaration.retention
        outcome = ledger_client.outcome_of(answer, retention)
        await gateway.ledger.record(key, claim.attempt, outcome)
        return result.Success(CallOutcome(codes.Code.OK, answer))
    failure = tried.failure()
    if provably_not_run(failure):
        await gateway.ledger.release(key, claim.attempt)
        if isinstance(failure, base.AttemptFailure):
            failure = generations.numbered_failure_of(failure)
        return result.Failure(failure)
    await gateway.ledger.record(key, claim.attempt, None)
    return result.Failure(
        failures.Failure(codes.Code.OUTCOME_UNKNOWN, f"{failure.message}")
    )


def provably_not_run(failure: base.AttemptFailure | failures.Failure) -> bool:
    """Return whether a failure proves that nothing ran."""
    if isinstance(failure, failures.Failure):
        return failure.effective_execution() is codes.Execution.NOT_RUN
    return failure.end in (base.AttemptEnd.NOT_SENT, base.AttemptEnd.REFUSED)


def answer_of_earlier_claim(claim: ledger.ClaimAnswer) -> AnswerResult:
    """Return what a resend gets."""
    if claim.state is ledger.ClaimState.KEY_REUSED:
        return result.Failure(
            failures.Failure(
                codes.Code.KEY_REUSED, "the key was used with a different request"
            )
        )
    if claim.state is ledger.ClaimState.IN_PROGRESS:
        return result.Failure(
            failures.Failure(
                codes.Code.CLAIM_IN_PROGRESS,
                f"the first call is under way at {claim.owner}",
                retry_after_ms=500,
            )
        )
    outcome = claim.outcome
    if outcome is None:
        return result.Failure(
            failures.Failure(codes.Code.OUTCOME_UNKNOWN, "the first call may have run")
        )
    answer = base.ServiceAnswer(outcome.status, outcome.headers, outcome.body)
    return result.Success(CallOutcome(codes.Code.REPLAYED, answer))
