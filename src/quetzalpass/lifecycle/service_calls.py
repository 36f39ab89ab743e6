"""Calls of plain services, at most once where they may not be repeated."""

import asyncio
import urllib.parse

import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.control import ledger_messages as messages
from quetzalpass.lifecycle import (
    attempts,
    claims,
    hedging,
    ledger_client,
    queueing,
    requests,
)
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.results import codes, failures
from quetzalpass.routing import admission, work

LOG = logbook.Logger("lifecycle")

MAX_ATTEMPTS = 3
ASK_TIMEOUT_S = 2.0
STATUS_OK = 200
DIGEST_HEADER = "Quetzalpass-Body-Sha256"

AnswerResult = result.Result["CallOutcome", failures.Failure]


class CallOutcome(msgspec.Struct, frozen=True):
    """Answer of a service with its numbered code."""

    code: codes.Code
    answer: base.ServiceResponse


async def run_call(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> AnswerResult:
    """Make a call that the limits admit, once only where it is non-idempotent."""
    admitted = await gateway.limiter.admit(
        request.organisation, request.priority_class, request.deadline_s, streams=0
    )
    if isinstance(admitted, result.Failure):
        return admitted
    if request.non_idempotent:
        return await run_at_most_once(gateway, request)
    delay_s = request.priority_class.hedge_after_s
    if delay_s is None:
        return await run_repeatable(gateway, request)
    second = msgspec.structs.replace(
        request, request_id=ids.RequestId(request.request_id + hedging.HEDGE_SUFFIX)
    )
    return await hedging.first_success(
        run_repeatable(gateway, request),
        lambda: run_repeatable(gateway, second),
        delay_s,
        lambda: gateway.retries.spend(request.organisation.id, request.service.name),
    )


async def run_repeatable(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> AnswerResult:
    """Make a call that may be repeated, with bounded retries."""
    failed_server: ids.ServerId | None = None
    execution = codes.Execution.NOT_RUN
    for attempt in range(1, MAX_ATTEMPTS + 1):
        tries_left = MAX_ATTEMPTS + 1 - attempt
        tried = await call_one_server(gateway, request, failed_server, tries_left)
        if isinstance(tried, result.Success):
            gateway.retries.earn(request.organisation.id, request.service.name)
            return tried.map(lambda answer: CallOutcome(codes.Code.OK, answer))
        lost = tried.failure()
        if isinstance(lost, failures.Failure):
            return result.Failure(attempts.with_execution(lost, execution))
        failed_server = lost.server_id
        execution = attempts.stronger(execution, attempts.execution_of(lost.failure))
        failure = attempts.numbered_failure_of(lost.failure)
        if failure.code is codes.Code.BAD_REQUEST or attempt == MAX_ATTEMPTS:
            break
        if not gateway.retries.spend(request.organisation.id, request.service.name):
            break
        longest_s = attempts.longest_backoff_s(attempt)
        await asyncio.sleep(gateway.rng.uniform(0.0, longest_s))
    return result.Failure(attempts.with_execution(failure, execution))


class FailedAttempt(msgspec.Struct, frozen=True):
    """An attempt that failed, and where."""

    server_id: ids.ServerId
    failure: base.AttemptFailure


AttemptResult = result.Result[base.ServiceResponse, FailedAttempt | failures.Failure]


async def call_one_server(
    gateway: gateways.Gateway,
    request: requests.ServiceRequest,
    failed_server: ids.ServerId | None,
    tries_left: int,
) -> AttemptResult:
    """Make one attempt at one server of the service.

    Parameters
    ----------
    gateway : gateways.Gateway
        Shared parts.
    request : requests.ServiceRequest
        The call.
    failed_server : ServerId or None
        Server to avoid if another has a place soon.
    tries_left : int
        Tries, this one included, that share the time until the deadline.

    Returns
    -------
    Result
        The answer; a ``FailedAttempt``; or the numbered failure that ends the request
        because no server was found in time.
    """
    fingerprint = request.fingerprint()
    suspects = gateway.quarantine
    await suspects.wait_for_other_copy(fingerprint, request.deadline_s)
    refusal = suspects.refusal(fingerprint)
    if refusal is not None:
        return result.Failure(refusal)
    acquired = await acquire_reservation(gateway, request, failed_server)
    if isinstance(acquired, result.Failure):
        return acquired
    reservation = acquired.unwrap()
    backend = gateway.backend_of(reservation.server_id, request.configuration)
    assert isinstance(backend, base.PlainService)
    remaining_s = request.deadline_s - asyncio.get_running_loop().time()
    suspects.add_request(reservation.server_id, request.request_id, fingerprint)
    outcome = work.ReservationOutcome.CANCELLED
    try:
        answer = await backend.call(request.call, remaining_s / tries_left)
        if isinstance(answer, result.Success):
            outcome = work.ReservationOutcome.COMPLETED
            suspects.clear(fingerprint, None)
            return answer
        failure = answer.failure()
        outcome = attempts.reservation_outcome(failure)
        if attempts.execution_of(failure) is codes.Execution.MAY_HAVE_RUN:
            await gateway.note_lost_server(
                reservation.server_id, request.request_id, request.configuration, False
            )
    finally:
        suspects.remove_request(reservation.server_id, request.request_id)
        reservation.release(outcome)
    LOG.warning(
        "lifecycle: Call {} at {} failed: {}.",
        request.request_id,
        reservation.server_id,
        failure.message,
    )
    return result.Failure(FailedAttempt(reservation.server_id, failure))


async def acquire_reservation(
    gateway: gateways.Gateway,
    request: requests.ServiceRequest,
    failed_server: ids.ServerId | None,
) -> result.Result[admission.Reservation, failures.Failure]:
    """Wait for a place, for a while only on other servers than the failed one."""
    item = work.WorkItem(
        request_id=request.request_id,
        organisation=request.organisation.id,
        class_name=request.priority_class.name,
        model=ids.ModelName(request.service.name),
        priority=queueing.queue_priority(request.configuration, request.priority_class),
        must_not_drop=request.priority_class.must_not_drop,
        deadline_s=request.deadline_s,
        max_tokens=0,
        suspect=gateway.quarantine.is_suspect(request.fingerprint()),
    )
    if failed_server is not None:
        now_s = asyncio.get_running_loop().time()
        avoiding = msgspec.structs.replace(
            item,
            deadline_s=min(request.deadline_s, now_s + attempts.AVOID_WAIT_S),
            excluded=frozenset((failed_server,)),
        )
        acquired = await gateway.slots.acquire(avoiding)
        if isinstance(acquired, result.Success):
            return acquired
    return await queueing.acquire_within_class(
        gateway.slots, item, request.priority_class
    )


async def run_at_most_once(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> AnswerResult:
    """Claim the request, make one attempt, and record what became of it.

    All of it goes on when the caller goes away: an abandoned claim would leave an
    outcome unknown that could have been recorded.
    """
    return await asyncio.shield(gateway.spawn_counted(run_claimed(gateway, request)))


async def run_claimed(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> AnswerResult:
    """Run a call whose key is claimed first."""
    assert request.call.idempotency_key is not None
    key = messages.ClaimKey(request.organisation.id, request.call.idempotency_key)
    claimed = await claims.obtain(
        gateway,
        key,
        request.fingerprint(),
        request.deadline_s,
        request.configuration.declaration.retention,
    )
    if isinstance(claimed, result.Failure):
        return claimed
    claim = claimed.unwrap()
    if claim.state is messages.ClaimState.GRANTED:
        try:
            return await attempt_claimed(gateway, request, key, claim.token)
        except Exception:
            await gateway.ledger.record(key, claim.token, None)
            raise
    if claim.outcome is not None:
        return result.Success(replayed(claim.outcome))
    return await resolve_by_asking(gateway, request, key, "the first call may have run")


async def attempt_claimed(
    gateway: gateways.Gateway,
    request: requests.ServiceRequest,
    key: messages.ClaimKey,
    token: str,
) -> AnswerResult:
    """Make the one attempt of a granted claim and settle the claim."""
    tried = await call_one_server(gateway, request, None, tries_left=1)
    if isinstance(tried, result.Success):
        answer = tried.unwrap()
        retention = request.configuration.declaration.retention
        outcome = ledger_client.outcome_of(answer, retention)
        await gateway.ledger.record(key, token, outcome)
        return result.Success(CallOutcome(codes.Code.OK, answer))
    failure = tried.failure()
    if isinstance(failure, FailedAttempt):
        failure = attempts.numbered_failure_of(failure.failure)
    if failure.effective_execution() is codes.Execution.NOT_RUN:
        await gateway.ledger.release(key, token)
        return result.Failure(failure)
    await gateway.ledger.record(key, token, None)
    return await resolve_by_asking(gateway, request, key, failure.message)


async def resolve_by_asking(
    gateway: gateways.Gateway,
    request: requests.ServiceRequest,
    key: messages.ClaimKey,
    message: str,
) -> AnswerResult:
    """Ask the service whether a call ran whose outcome is unknown.

    "It ran" settles the claim. "It did not" proves nothing, as the call may still be
    on its way; the claim then stays unknown and nothing runs again.
    """
    path = request.service.outcome_path
    if path is not None:
        path = path.replace("{key}", urllib.parse.quote(key.key, safe=""))
        answer = await ask_servers(gateway, request, path)
        if answer is not None:
            retention = request.configuration.declaration.retention
            outcome = ledger_client.outcome_of(answer, retention)
            await gateway.ledger.resolve(key, outcome)
            return result.Success(CallOutcome(codes.Code.REPLAYED, answer))
    return result.Failure(failures.Failure(codes.Code.OUTCOME_UNKNOWN, message))


async def ask_servers(
    gateway: gateways.Gateway, request: requests.ServiceRequest, path: str
) -> base.ServiceResponse | None:
    """Return the first answer of a server that knows of the call."""
    at = request.configuration
    for server in at.declaration.servers:
        if server.service != request.service.name:
            continue
        backend = gateway.backend_of(server.id, at)
        assert isinstance(backend, base.PlainService)
        asked = await backend.find_outcome(path, ASK_TIMEOUT_S)
        if isinstance(asked, result.Success) and asked.unwrap().status == STATUS_OK:
            return asked.unwrap()
    return None


def replayed(outcome: messages.Outcome) -> CallOutcome:
    """Return a recorded outcome as an answer; a large body is told by its digest."""
    headers = dict(outcome.headers)
    if not outcome.whole:
        headers[DIGEST_HEADER] = outcome.body_digest
    answer = base.ServiceResponse(outcome.status, headers, outcome.body)
    return CallOutcome(codes.Code.REPLAYED, answer)
