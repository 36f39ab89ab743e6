"""Relayed calls of plain services: whole answers, repeated only where that is safe."""

import asyncio

import msgspec
from returns import result

from quetzalpass import event_log, ids
from quetzalpass.backends import base, relays
from quetzalpass.declarations import relays as declared
from quetzalpass.lifecycle import (
    attempts,
    relay_gateway,
    relay_places,
    relay_requests,
)
from quetzalpass.results import codes, failures

# Sends of one request, refused ones included.
MAX_SENDS = 4
# Part of the time left that one attempt gets while another may follow.
ATTEMPT_SHARE = 0.45


class WholeAnswer(msgspec.Struct, frozen=True):
    """An answer that has arrived whole."""

    head: relays.ResponseHead
    body: bytes


class CallState(msgspec.Struct):
    """What became of the sends of one call so far.

    Attributes
    ----------
    sends : int
        Sends so far.
    runs : int
        Sends that a server may have run.
    tried : set of ServerId
        Servers that were tried.
    failed_answer : WholeAnswer or None
        A server's own failure, for the caller if nothing better comes.
    failure : base.AttemptFailure or None
        The last failure without an answer.
    """

    sends: int = 0
    runs: int = 0
    tried: set[ids.ServerId] = msgspec.field(default_factory=set)
    failed_answer: WholeAnswer | None = None
    failure: base.AttemptFailure | None = None


async def run(
    gateway: relay_gateway.RelayGateway, routed: relay_requests.RoutedRequest
) -> result.Result[WholeAnswer, failures.Failure]:
    """Get the answer to a call; at most the declared number of servers run it."""
    refusal = gateway.suspects.refusal(routed.fingerprint())
    if refusal is not None:
        return result.Failure(refusal)
    state = CallState()
    while True:
        place = find_place(gateway, routed, state)
        if place is None:
            break
        try:
            answer = await send_once(gateway, routed, place, state)
        finally:
            place.release()
        if answer is not None:
            return result.Success(answer)
        if not may_send_again(gateway, routed, state):
            break
    if state.failed_answer is not None:
        return result.Success(state.failed_answer)
    return result.Failure(failure_of(gateway, routed, state))


def find_place(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    state: CallState,
) -> relay_places.Place | None:
    """Return a place, on a server that was not tried yet if there is one."""
    place = gateway.places.service_place(routed, frozenset(state.tried))
    if place is None and state.tried and state.runs == 0:
        place = gateway.places.service_place(routed)
    return place


async def send_once(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    place: relay_places.Place,
    state: CallState,
) -> WholeAnswer | None:
    """Send a call to one server; return its answer unless another may do better."""
    server = place.server
    state.sends += 1
    state.tried.add(server.id)
    timeout_s = attempt_timeout_s(routed, state)
    gateway.note(routed, "send", server.id, f"send {state.sends}, {timeout_s:.3f} s")
    gateway.suspects.add_request(
        server.id, routed.request.request_id, routed.fingerprint()
    )
    try:
        async with asyncio.timeout(timeout_s):
            answered = await exchange(gateway, routed, place)
    except TimeoutError:
        answered = result.Failure(
            base.AttemptFailure(
                base.AttemptEnd.MAY_HAVE_RUN,
                base.FailureKind.SILENT,
                f"no answer within {timeout_s:.2f} s",
            )
        )
    except asyncio.CancelledError:
        gateway.suspects.remove_request(server.id, routed.request.request_id)
        raise
    if isinstance(answered, result.Success):
        gateway.suspects.remove_request(server.id, routed.request.request_id)
        return judge_answer(gateway, routed, place, state, answered.unwrap())
    note_failure(gateway, routed, place, state, answered.failure())
    return None


async def exchange(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    place: relay_places.Place,
) -> result.Result[WholeAnswer, base.AttemptFailure]:
    """Send a call and read the whole answer."""
    server = gateway.server_of(place.server)
    left_s = routed.deadline_s - asyncio.get_running_loop().time()
    sent = await server.send(routed.call(), relays.SendOptions(left_s))
    if isinstance(sent, result.Failure):
        return sent
    answer = sent.unwrap()
    try:
        gateway.note_head(place.server, answer.head)
        body = await answer.read_body()
    finally:
        answer.close()
    return body.map(lambda data: WholeAnswer(answer.head, data))


def attempt_timeout_s(routed: relay_requests.RoutedRequest, state: CallState) -> float:
    """Return how long a send may take, so that a repeat still has time."""
    left_s = routed.deadline_s - asyncio.get_running_loop().time()
    if may_repeat(routed) and state.runs + 1 < routed.route.attempts:
        return left_s * ATTEMPT_SHARE
    return left_s


def may_repeat(routed: relay_requests.RoutedRequest) -> bool:
    """Return whether the requests of a route may run more than once."""
    return routed.route.kind is declared.RouteKind.IDEMPOTENT


def judge_answer(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    place: relay_places.Place,
    state: CallState,
    answer: WholeAnswer,
) -> WholeAnswer | None:
    """Return an answer that goes to the caller; keep a failure that may be mended."""
    state.runs += 1
    state.failure = None
    status = answer.head.status
    if status < relay_gateway.SERVER_ERROR and status not in relay_gateway.PROMISING:
        gateway.places.health.note_success(place.server.id)
        gateway.suspects.clear(routed.fingerprint(), None)
        return answer
    gateway.note(routed, "server_failed", place.server.id, f"status {status}")
    if status in relay_gateway.PROMISING:
        state.failure = base.AttemptFailure(
            base.AttemptEnd.MAY_HAVE_RUN,
            base.FailureKind.MALFORMED,
            f"the server answered {status} without saying that it did not run",
        )
        return None
    state.failed_answer = answer
    return None


def note_failure(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    place: relay_places.Place,
    state: CallState,
    failure: base.AttemptFailure,
) -> None:
    """Note a send that brought no answer."""
    state.failure = failure
    may_have_run = failure.end in (base.AttemptEnd.MAY_HAVE_RUN, base.AttemptEnd.RAN)
    state.runs += may_have_run
    gateway.note(
        routed,
        "send_failed",
        place.server.id,
        f"{failure.end.value}, {failure.kind.value}: {failure.message}",
        event_log.Level.NOTICE,
    )
    if failure.end is base.AttemptEnd.NOT_SENT:
        gateway.places.health.note_unreachable(place.server, failure.message)
    gateway.spawn(gateway.note_break(routed, place.server, failure))


def may_send_again(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    state: CallState,
) -> bool:
    """Return whether a call that failed may be sent once more, and count it."""
    now_s = asyncio.get_running_loop().time()
    if state.sends >= MAX_SENDS or routed.deadline_s <= now_s:
        return False
    if state.runs and not may_repeat(routed):
        return False
    if state.runs >= routed.route.attempts:
        return False
    if state.failure is not None and state.failure.end is base.AttemptEnd.NOT_SENT:
        # Nothing has arrived at a server, so that no budget is needed.
        return True
    return gateway.budget.spend(routed.service.name, now_s)


def failure_of(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    state: CallState,
) -> failures.Failure:
    """Return the failure of a call that no server has answered."""
    if state.runs == 0:
        reason = state.failure.message if state.failure else "no server is there"
        return gateway.places.refusal(routed, reason)
    now_s = asyncio.get_running_loop().time()
    message = state.failure.message if state.failure else "the server failed"
    if now_s >= routed.deadline_s:
        return failures.Failure(
            codes.Code.DEADLINE_EXCEEDED, message, codes.Execution.MAY_HAVE_RUN
        )
    assert state.failure is not None, "a run without an answer has failed"
    numbered = attempts.caller_failure(state.failure)
    return attempts.with_execution(numbered, codes.Execution.MAY_HAVE_RUN)
