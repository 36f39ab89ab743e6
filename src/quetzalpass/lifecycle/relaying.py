"""Serves one relayed request: routes it, gets its answer, tells its caller."""

import asyncio

import logbook
from returns import result

from quetzalpass import event_log
from quetzalpass.backends import relays
from quetzalpass.declarations import relays as declared
from quetzalpass.lifecycle import (
    relay_gateway,
    relay_requests,
    relayed_calls,
    relayed_streams,
)
from quetzalpass.results import codes, failures

LOG = logbook.Logger("lifecycle")

MS_PER_S = 1000


async def serve(
    gateway: relay_gateway.RelayGateway,
    request: relay_requests.RelayRequest,
    response: relay_requests.CallerResponse,
) -> None:
    """Serve one request to its end; its caller always learns what became of it."""
    gateway.running += 1
    try:
        await gateway.wait_for_start(request)
        found = gateway.route(request)
        if isinstance(found, result.Failure):
            note_unrouted(gateway, request, found.failure())
            await send_failure(response, found.failure())
            return
        await serve_routed(gateway, found.unwrap(), response)
    finally:
        gateway.running -= 1


async def serve_routed(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    response: relay_requests.CallerResponse,
) -> None:
    """Serve a request that has a route, within its time."""
    try:
        async with asyncio.timeout_at(routed.deadline_s):
            failure = await answer(gateway, routed, response)
    except TimeoutError:
        failure = failures.Failure(
            codes.Code.DEADLINE_EXCEEDED,
            "the deadline has passed",
            codes.Execution.MAY_HAVE_RUN,
        )
    except asyncio.CancelledError:
        gateway.note(routed, "caller_gone")
        raise
    elapsed_s = asyncio.get_running_loop().time() - routed.request.arrived_s
    route = gateway.metrics.label(routed.route.name)
    gateway.metrics.request_s.labels(route).observe(elapsed_s)
    if failure is None:
        gateway.note(routed, "served", None, elapsed_text(routed))
        return
    gateway.note(
        routed,
        "failed",
        None,
        f"{failure.code.name.lower()}: {failure.message}, {elapsed_text(routed)}",
        event_log.Level.NOTICE,
    )
    await send_failure(response, failure)


async def answer(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    response: relay_requests.CallerResponse,
) -> failures.Failure | None:
    """Answer the caller, or return why that is not possible."""
    if routed.route.kind is declared.RouteKind.STREAMING:
        stream = relayed_streams.RelayedStream(gateway, routed, response)
        try:
            await stream.run()
        except relayed_streams.StreamFailedError as error:
            return error.failure
        return None
    answered = await relayed_calls.run(gateway, routed)
    if isinstance(answered, result.Failure):
        return answered.failure()
    whole = answered.unwrap()
    await response.send_whole(whole.head, whole.body)
    return None


def elapsed_text(routed: relay_requests.RoutedRequest) -> str:
    """Return how long a request has taken so far."""
    now_s = asyncio.get_running_loop().time()
    return f"after {now_s - routed.request.arrived_s:.3f} s"


def note_unrouted(
    gateway: relay_gateway.RelayGateway,
    request: relay_requests.RelayRequest,
    failure: failures.Failure,
) -> None:
    """Log and count a request that goes nowhere."""
    gateway.metrics.decisions.labels("not_routed", "").inc()
    event_log.record(
        relay_gateway.RelayEvent(
            request.request_id,
            "not_routed",
            gateway.holder.revision(),
            detail=f"{failure.code.name.lower()}: {failure.message}",
        ),
        event_log.Level.NOTICE,
    )


async def send_failure(
    response: relay_requests.CallerResponse, failure: failures.Failure
) -> None:
    """Tell the caller of a failure, or break an answer off that has begun."""
    if response.has_begun:
        response.abort()
        return
    headers = [relays.Header("Content-Type", "text/plain; charset=utf-8")]
    if failure.retry_after_ms is not None:
        seconds = f"{failure.retry_after_ms / MS_PER_S:.3f}"
        headers.append(relays.Header("Retry-After", seconds))
    head = relays.ResponseHead(relay_gateway.answer_of_failure(failure), tuple(headers))
    text = f"{failure.code.value} {failure.message}\n"
    await response.send_whole(head, text.encode())
