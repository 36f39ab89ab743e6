"""Calls of plain services; non-idempotent ones run at most once."""

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
OUTCOME_QUERY_TIMEOUT_S = 2.0
STATUS_OK = 200
# From this status on, a response does not show that the call was run to its end.
STATUS_ERROR = 400
DIGEST_HEADER = "Quetzalpass-Body-Sha256"

CallResult = result.Result["CallOutcome", failures.Failure]


class CallOutcome(msgspec.Struct, frozen=True):
    """Response of a service with its result code."""

    code: codes.Code
    response: base.ServiceResponse


async def run_call(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> CallResult:
    """Run a call if the limits admit it; at most once if it is non-idempotent."""
    admitted = await gateway.limiter.admit(
        request.organisation, request.priority_class, request.deadline_s, streams=0
    )
    if isinstance(admitted, result.Failure):
        return admitted
    if request.non_idempotent:
        return await run_at_most_once(gateway, request)
    delay_s = request.priority_class.hedge_after_s
    if delay_s is None:
        return await run_with_retries(gateway, request)
    second = msgspec.structs.replace(
        request, request_id=ids.RequestId(request.request_id + hedging.HEDGE_SUFFIX)
    )
    return await hedging.first_success(
        run_with_retries(gateway, request),
        lambda: run_with_retries(gateway, second),
        delay_s,
        lambda: gateway.retry_budgets.try_withdraw(
            request.organisation.id, request.service.name
        ),
    )


async def run_with_retries(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> CallResult:
    """Run an idempotent call with bounded retries."""
    failed_server: ids.ServerId | None = None
    execution = codes.Execution.NOT_RUN
    for attempt in range(1, MAX_ATTEMPTS + 1):
        attempts_left = MAX_ATTEMPTS + 1 - attempt
        attempted = await call_one_server(
            gateway, request, failed_server, attempts_left
        )
        if isinstance(attempted, result.Success):
            gateway.retry_budgets.deposit(request.organisation.id, request.service.name)
            return attempted.map(lambda response: CallOutcome(codes.Code.OK, response))
        failed = attempted.failure()
        if isinstance(failed, failures.Failure):
            return result.Failure(attempts.with_execution(failed, execution))
        failed_server = failed.server_id
        execution = attempts.combined_execution(
            execution, attempts.execution_of(failed.failure)
        )
        failure = attempts.caller_failure(failed.failure)
        if failure.code is codes.Code.BAD_REQUEST or attempt == MAX_ATTEMPTS:
            break
        if not gateway.retry_budgets.try_withdraw(
            request.organisation.id, request.service.name
        ):
            break
        max_delay_s = attempts.max_backoff_s(attempt)
        await asyncio.sleep(gateway.rng.uniform(0.0, max_delay_s))
    return result.Failure(attempts.with_execution(failure, execution))


class FailedAttempt(msgspec.Struct, frozen=True):
    """A failed attempt and the server that it was made at."""

    server_id: ids.ServerId
    failure: base.AttemptFailure


AttemptResult = result.Result[base.ServiceResponse, FailedAttempt | failures.Failure]


async def call_one_server(
    gateway: gateways.Gateway,
    request: requests.ServiceRequest,
    failed_server: ids.ServerId | None,
    attempts_left: int,
) -> AttemptResult:
    """Make one attempt at one server of the service.

    Parameters
    ----------
    gateway : gateways.Gateway
        State shared by all requests of this gateway.
    request : requests.ServiceRequest
        The call.
    failed_server : ServerId or None
        Server to avoid if another one is available soon.
    attempts_left : int
        Attempts, including this one, that share the time until the deadline.

    Returns
    -------
    Result
        The response; a ``FailedAttempt``; or the failure that ends the request without
        an attempt, as the request is quarantined or no server was available in time.
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
    # The verdict may have come while the call waited.
    refusal = suspects.refusal(fingerprint)
    if refusal is not None:
        reservation.release(work.ReservationOutcome.CANCELLED)
        return result.Failure(refusal)
    backend = gateway.get_backend(reservation.server_id, request.configuration)
    assert isinstance(backend, base.PlainService)
    remaining_s = request.deadline_s - asyncio.get_running_loop().time()
    suspects.add_request(reservation.server_id, request.request_id, fingerprint)
    outcome = work.ReservationOutcome.CANCELLED
    try:
        response = await backend.call(request.call, remaining_s / attempts_left)
        if isinstance(response, result.Success):
            outcome = work.ReservationOutcome.COMPLETED
            if response.unwrap().status < STATUS_ERROR:
                suspects.clear(fingerprint, None)
            return response
        failure = response.failure()
        outcome = attempts.reservation_outcome(failure)
        gateway.on_attempt_failure(request.service.name, failure)
        if attempts.execution_of(failure) is codes.Execution.MAY_HAVE_RUN:
            await gateway.on_server_lost(
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
    """Wait for a reservation; at first only on servers other than the failed one."""
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
            deadline_s=min(request.deadline_s, now_s + attempts.AVOID_SERVER_TIMEOUT_S),
            excluded=frozenset((failed_server,)),
        )
        acquired = await gateway.admission_queue.acquire(avoiding)
        if isinstance(acquired, result.Success):
            return acquired
    unreached = gateway.find_unreached(request.service.name)
    if unreached is not None:
        return result.Failure(unreached)
    return await queueing.acquire_within_class(
        gateway.admission_queue, item, request.priority_class
    )


async def run_at_most_once(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> CallResult:
    """Claim the request, make one attempt, and record its outcome.

    All of it continues if the caller disconnects: an abandoned claim would leave an
    outcome unknown that could have been recorded.
    """
    return await asyncio.shield(gateway.spawn_counted(run_claimed(gateway, request)))


async def run_claimed(
    gateway: gateways.Gateway, request: requests.ServiceRequest
) -> CallResult:
    """Claim the key of a call, then run the call or return its earlier outcome."""
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
        return result.Success(replayed_outcome(claim.outcome))
    return await resolve_by_query(
        gateway, request, key, "an earlier send of this request may have run"
    )


async def attempt_claimed(
    gateway: gateways.Gateway,
    request: requests.ServiceRequest,
    key: messages.ClaimKey,
    token: str,
) -> CallResult:
    """Make the only attempt of a granted claim and settle the claim."""
    attempted = await call_one_server(gateway, request, None, attempts_left=1)
    if isinstance(attempted, result.Success):
        response = attempted.unwrap()
        retention = request.configuration.declaration.retention
        outcome = ledger_client.recorded_outcome(response, retention)
        await gateway.ledger.record(key, token, outcome)
        return result.Success(CallOutcome(codes.Code.OK, response))
    failure = attempted.failure()
    if isinstance(failure, FailedAttempt):
        failure = attempts.caller_failure(failure.failure)
    if failure.effective_execution() is codes.Execution.NOT_RUN:
        await gateway.ledger.release(key, token)
        return result.Failure(failure)
    await gateway.ledger.record(key, token, None)
    return await resolve_by_query(gateway, request, key, failure.message)


async def resolve_by_query(
    gateway: gateways.Gateway,
    request: requests.ServiceRequest,
    key: messages.ClaimKey,
    message: str,
) -> CallResult:
    """Query the service for the outcome of a call that may have run.

    A known outcome settles the claim. An unknown one proves nothing, as the call may
    still be on its way; the outcome then stays unknown and the call isn't repeated.
    """
    path = request.service.outcome_path
    if path is not None:
        path = path.replace("{key}", urllib.parse.quote(key.key, safe=""))
        response = await query_servers(gateway, request, path)
        if response is not None:
            retention = request.configuration.declaration.retention
            outcome = ledger_client.recorded_outcome(response, retention)
            await gateway.ledger.resolve(key, outcome)
            return result.Success(CallOutcome(codes.Code.REPLAYED, response))
    return result.Failure(failures.Failure(codes.Code.OUTCOME_UNKNOWN, message))


async def query_servers(
    gateway: gateways.Gateway, request: requests.ServiceRequest, path: str
) -> base.ServiceResponse | None:
    """Return the outcome from the first server that knows the call, or ``None``."""
    config = request.configuration
    for server in config.declaration.servers:
        if server.service != request.service.name:
            continue
        backend = gateway.get_backend(server.id, config)
        assert isinstance(backend, base.PlainService)
        queried = await backend.find_outcome(path, OUTCOME_QUERY_TIMEOUT_S)
        if isinstance(queried, result.Success) and queried.unwrap().status == STATUS_OK:
            return queried.unwrap()
    return None


def replayed_outcome(outcome: messages.Outcome) -> CallOutcome:
    """Return a recorded outcome as a response; of a large body only the digest."""
    headers = dict(outcome.headers)
    if not outcome.whole:
        headers[DIGEST_HEADER] = outcome.body_digest
    response = base.ServiceResponse(outcome.status, headers, outcome.body)
    return CallOutcome(codes.Code.REPLAYED, response)
