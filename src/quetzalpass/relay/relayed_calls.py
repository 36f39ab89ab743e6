"""Relayed calls of plain services, which are retried only where that is safe."""

import asyncio

import msgspec
from returns import result

from quetzalpass import event_log, ids
from quetzalpass.backends import base, held_bytes, relays
from quetzalpass.declarations import relays as declared
from quetzalpass.lifecycle import attempts
from quetzalpass.relay import (
    crash_checks,
    reach_errors,
    relay_gateway,
    relay_requests,
    response_statuses,
    server_reservation,
)
from quetzalpass.results import codes, failures

# Sends of one request, including those that a server refused.
MAX_SENDS = 4
# Part of the remaining time that one attempt gets while a retry may follow.
ATTEMPT_SHARE = 0.45


class WholeResponse(msgspec.Struct, frozen=True):
    """A response that has been received completely.

    Attributes
    ----------
    head : relays.ResponseHead
        Status and headers.
    body : bytes
        The body.
    holding : held_bytes.Holding or None
        What the body takes of the limit of all responses while this is referenced.
    """

    head: relays.ResponseHead
    body: bytes
    holding: held_bytes.Holding | None = None


class CallState(msgspec.Struct):
    """Outcome of the sends of one call so far.

    Attributes
    ----------
    sends : int
        Number of sends.
    runs : int
        Number of sends that a server may have run.
    tried : set of ServerId
        Servers to which the call was sent.
    failed_response : WholeResponse or None
        Last error response of a server, for the caller if no retry succeeds.
    failure : base.AttemptFailure or None
        Last failure without a response.
    denied : set of ServerId
        Servers whose limit allowed no request.
    """

    sends: int = 0
    runs: int = 0
    tried: set[ids.ServerId] = msgspec.field(default_factory=set)
    failed_response: WholeResponse | None = None
    failure: base.AttemptFailure | None = None
    denied: set[ids.ServerId] = msgspec.field(default_factory=set)

    def execution(self) -> codes.Execution:
        """Return whether a server may have run the call."""
        if self.runs:
            return codes.Execution.MAY_HAVE_RUN
        return codes.Execution.NOT_RUN


async def run(
    gateway: relay_gateway.RelayGateway, routed: relay_requests.RoutedRequest
) -> result.Result[WholeResponse, failures.Failure]:
    """Get the response to a call; at most the declared number of servers run it.

    Raises
    ------
    NoServerReachedError
        If no server of the service can be reached, and the call may run elsewhere.
    """
    state = initial_state(routed)
    while True:
        raise_if_unreached(gateway, routed, state)
        refusal = await check_suspect(gateway, routed, state)
        if refusal is not None:
            return refused_result(state, refusal)
        reservation = reserve_server(gateway, routed, state)
        if reservation is None:
            break
        try:
            await back_off(gateway, reservation, state)
            if await gateway.reservations.gates.acquire(routed, reservation):
                state.denied.add(reservation.server.id)
                continue
            refusal = gateway.refusal(routed, state.execution())
            if refusal is not None:
                return refused_result(state, refusal)
            response = await send_once(gateway, routed, reservation, state)
        finally:
            reservation.release()
        if response is not None:
            return result.Success(response)
        if not try_withdraw_retry(gateway, routed, state):
            break
    if state.failed_response is not None:
        return result.Success(state.failed_response)
    return result.Failure(final_failure(gateway, routed, state))


def initial_state(routed: relay_requests.RoutedRequest) -> CallState:
    """Return the state of a call that another gateway may have sent already."""
    request = routed.request
    if not request.earlier_runs:
        return CallState()
    earlier = base.AttemptFailure(
        base.AttemptEnd.MAY_HAVE_RUN,
        base.FailureKind.CLOSED,
        f"an attempt of {request.sender} got no response",
    )
    return CallState(runs=request.earlier_runs, failure=earlier)


def raise_if_unreached(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    state: CallState,
) -> None:
    """Raise if no server can be reached, unless one of them has responded.

    Raises
    ------
    NoServerReachedError
        If another gateway should serve the call.
    """
    if state.failed_response is not None:
        return
    if state.runs and not may_retry(routed):
        return
    if gateway.reach_checks.is_lost(routed.service.name):
        raise reach_errors.NoServerReachedError(state.runs)


async def check_suspect(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    state: CallState,
) -> failures.Failure | None:
    """Wait until no other copy of a suspect runs; return why it can't be sent."""
    left_s = routed.deadline_s - asyncio.get_running_loop().time()
    waited = await gateway.wait_for_other_copy(routed, left_s * ATTEMPT_SHARE)
    refusal = gateway.refusal(routed, state.execution())
    if refusal is None and waited is not None:
        return attempts.with_execution(waited, state.execution())
    return refusal


def refused_result(
    state: CallState, refusal: failures.Failure
) -> result.Result[WholeResponse, failures.Failure]:
    """Return a server's error response if there is one, else the refusal."""
    if state.failed_response is not None:
        return result.Success(state.failed_response)
    return result.Failure(refusal)


def reserve_server(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    state: CallState,
) -> server_reservation.Reservation | None:
    """Reserve a server, one that was not tried yet if there is one."""
    reservation = gateway.reservations.reserve_service_server(
        routed, frozenset(state.tried | state.denied)
    )
    if reservation is None and state.tried and state.runs == 0:
        reservation = gateway.reservations.reserve_service_server(
            routed, frozenset(state.denied)
        )
    return reservation


async def back_off(
    gateway: relay_gateway.RelayGateway,
    reservation: server_reservation.Reservation,
    state: CallState,
) -> None:
    """Wait before a further send to a server that has not accepted the call."""
    if reservation.server.id in state.tried:
        max_delay_s = attempts.max_backoff_s(state.sends)
        await asyncio.sleep(gateway.rng.uniform(0.0, max_delay_s))


async def send_once(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    reservation: server_reservation.Reservation,
    state: CallState,
) -> WholeResponse | None:
    """Send a call to one server; return its response, or ``None`` on failure."""
    server = reservation.server
    state.sends += 1
    state.tried.add(server.id)
    timeout_s = attempt_timeout_s(routed, state)
    gateway.record_decision(
        routed, "send", server.id, f"send {state.sends}, {timeout_s:.3f} s"
    )
    routed.progress.is_sent = True
    gateway.crash_checks.on_send(server)
    gateway.suspects.add_request(
        server.id, routed.request.request_id, routed.fingerprint, routed.parts
    )
    try:
        async with asyncio.timeout(timeout_s):
            sent = await exchange(gateway, routed, reservation)
    except TimeoutError:
        sent = result.Failure(
            base.AttemptFailure(
                base.AttemptEnd.MAY_HAVE_RUN,
                base.FailureKind.SILENT,
                f"no response within {timeout_s:.2f} s",
            )
        )
    except asyncio.CancelledError:
        gateway.crash_checks.on_request_left(routed, server)
        raise
    if isinstance(sent, result.Success):
        gateway.suspects.remove_request(server.id, routed.request.request_id)
        return evaluate_response(gateway, routed, reservation, state, sent.unwrap())
    record_failure(gateway, routed, reservation, state, sent.failure())
    await gateway.crash_checks.wait_for_check(server.id)
    left_s = routed.deadline_s - asyncio.get_running_loop().time()
    await gateway.reach_checks.wait_for_check(server.service, left_s)
    return None


async def exchange(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    reservation: server_reservation.Reservation,
) -> result.Result[WholeResponse, base.AttemptFailure]:
    """Send a call and read the complete response."""
    server = gateway.get_relay_server(reservation.server)
    left_s = routed.deadline_s - asyncio.get_running_loop().time()
    sent = await server.send(routed.call(), relays.SendOptions(left_s))
    if isinstance(sent, result.Failure):
        return sent
    response = sent.unwrap()
    try:
        gateway.on_response_head(reservation.server, response.head)
        body = await response.read_body()
    finally:
        response.close()
    if isinstance(body, result.Failure):
        return body
    if not await gateway.is_complete(routed, reservation.server, response.head):
        return result.Failure(crash_checks.ENDED_WITH_CONNECTION)
    whole = WholeResponse(response.head, body.unwrap(), response.holding)
    return result.Success(whole)


def attempt_timeout_s(routed: relay_requests.RoutedRequest, state: CallState) -> float:
    """Return how long a send may take, so that time for a retry is left."""
    left_s = routed.deadline_s - asyncio.get_running_loop().time()
    if may_retry(routed) and state.runs + 1 < routed.route.attempts:
        return left_s * ATTEMPT_SHARE
    return left_s


def may_retry(routed: relay_requests.RoutedRequest) -> bool:
    """Return whether a request may run more than once."""
    return routed.route.kind is declared.RouteKind.IDEMPOTENT


def evaluate_response(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    reservation: server_reservation.Reservation,
    state: CallState,
    response: WholeResponse,
) -> WholeResponse | None:
    """Return a response that goes to the caller; keep a failure for a retry."""
    state.runs += 1
    state.failure = None
    status = response.head.status
    gateway.record_decision(
        routed,
        "responded",
        reservation.server.id,
        f"status {status}, body ended by {response.head.body_end.value}",
    )
    if (
        status < response_statuses.SERVER_ERROR
        and status not in response_statuses.STATUSES_PROMISING_NOT_RUN
    ):
        gateway.reservations.health.record_success(reservation.server.id)
        if status < response_statuses.STATUS_ERROR:
            gateway.record_completion(routed, reservation.server, response.head)
        return response
    gateway.record_decision(
        routed, "server_failed", reservation.server.id, f"status {status}"
    )
    if status in response_statuses.STATUSES_PROMISING_NOT_RUN:
        state.failure = base.AttemptFailure(
            base.AttemptEnd.MAY_HAVE_RUN,
            base.FailureKind.MALFORMED,
            f"the server responded {status} without stating that it did not run",
        )
        return None
    state.failed_response = response
    return None


def record_failure(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    reservation: server_reservation.Reservation,
    state: CallState,
    failure: base.AttemptFailure,
) -> None:
    """Record a send that got no response."""
    state.failure = failure
    may_have_run = failure.end in (base.AttemptEnd.MAY_HAVE_RUN, base.AttemptEnd.RAN)
    state.runs += may_have_run
    gateway.record_decision(
        routed,
        "send_failed",
        reservation.server.id,
        f"{failure.end.value}, {failure.kind.value}: {failure.message}",
        event_log.Level.NOTICE,
    )
    if failure.end is base.AttemptEnd.NOT_SENT:
        gateway.reservations.health.record_unreachable(
            reservation.server, failure.message
        )
    gateway.on_broken_request(routed, reservation.server, failure)


def try_withdraw_retry(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    state: CallState,
) -> bool:
    """Return whether a failed call may be retried; withdraw from the budget if so."""
    now_s = asyncio.get_running_loop().time()
    if state.sends >= MAX_SENDS or routed.deadline_s <= now_s:
        return False
    if state.runs and not may_retry(routed):
        return False
    if state.runs >= routed.route.attempts:
        return False
    if state.failure is not None and not gateway.reservations.gates.may_send_after(
        routed, state.failure
    ):
        return False
    if state.failure is not None and state.failure.end is base.AttemptEnd.NOT_SENT:
        # No server has received the request, so the retry costs no budget.
        return True
    return gateway.budget.try_withdraw(routed.service.name, now_s)


def final_failure(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    state: CallState,
) -> failures.Failure:
    """Return the failure of a call to which no server has responded."""
    delay_s = gateway.reservations.gates.service_blocked_s(routed)
    if state.runs == 0 and delay_s:
        return gateway.reservations.rate_limited_failure(routed, delay_s)
    if state.runs == 0:
        reason = state.failure.message if state.failure else "there is no server"
        return gateway.reservations.queue_full_failure(routed, reason)
    now_s = asyncio.get_running_loop().time()
    message = state.failure.message if state.failure else "the server failed"
    if now_s >= routed.deadline_s:
        return failures.Failure(
            codes.Code.DEADLINE_EXCEEDED, message, codes.Execution.MAY_HAVE_RUN
        )
    assert state.failure is not None, "a run without a response has failed"
    numbered = attempts.caller_failure(state.failure)
    return attempts.with_execution(numbered, codes.Execution.MAY_HAVE_RUN)
