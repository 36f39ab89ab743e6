"""Serves one relayed request: routes it, and responds to its caller."""

import asyncio

import logbook
from returns import result

from quetzalpass import event_log
from quetzalpass.backends import relays
from quetzalpass.declarations import relays as declared
from quetzalpass.lifecycle import relay_events
from quetzalpass.relay import (
    handovers,
    reach_errors,
    relay_gateway,
    relay_requests,
    relayed_calls,
    relayed_streams,
    response_statuses,
    running_requests,
    stream_failures,
)
from quetzalpass.results import codes, failures

LOG = logbook.Logger("relay")

MS_PER_S = 1000


async def serve(
    gateway: relay_gateway.RelayGateway,
    request: relay_requests.RelayRequest,
    response: relay_requests.CallerResponse,
) -> None:
    """Serve one request, and send its caller a response in every case."""
    with gateway.requests.counted():
        await gateway.wait_until_ready(request)
        routed = gateway.route(request)
        if isinstance(routed, result.Failure):
            record_unrouted(gateway, request, routed.failure())
            await send_failure(response, routed.failure())
            return
        await serve_routed(gateway, routed.unwrap(), response)


async def serve_routed(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    response: relay_requests.CallerResponse,
) -> None:
    """Serve a routed request within its deadline."""
    try:
        failure = await respond_in_time(gateway, routed, response)
    except asyncio.CancelledError:
        record_cancelled(gateway, routed)
        raise
    elapsed_s = asyncio.get_running_loop().time() - routed.request.arrived_s
    route = gateway.metrics.bounded_label(routed.route.name)
    gateway.metrics.request_s.labels(route).observe(elapsed_s)
    if failure is None:
        gateway.record_decision(routed, "served", None, elapsed_text(routed))
        return
    gateway.record_decision(
        routed,
        "failed",
        None,
        f"{failure.code.name.lower()}: {failure.message}, {elapsed_text(routed)}",
        event_log.Level.NOTICE,
    )
    await send_failure(response, failure)


async def respond_in_time(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    response: relay_requests.CallerResponse,
) -> failures.Failure | None:
    """Respond to the caller by the deadline, or return why that is not possible.

    The end of a drain brings the deadline forward.
    """
    try:
        async with gateway.requests.interruptions.interruptible(routed.deadline_s):
            return await respond(gateway, routed, response)
    except TimeoutError:
        return expired_failure(gateway, routed)


def expired_failure(
    gateway: relay_gateway.RelayGateway, routed: relay_requests.RoutedRequest
) -> failures.Failure:
    """Return the failure of a request that had no response in time."""
    now_s = asyncio.get_running_loop().time()
    if gateway.requests.is_stopping and now_s < routed.deadline_s:
        record_interrupted(gateway, routed)
        return running_requests.interrupted_failure(routed)
    return failures.Failure(
        codes.Code.DEADLINE_EXCEEDED,
        "the deadline has passed",
        codes.Execution.MAY_HAVE_RUN,
    )


async def respond(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    response: relay_requests.CallerResponse,
) -> failures.Failure | None:
    """Respond to the caller, or return why that is not possible.

    If this gateway reaches no server of the service, another gateway responds.
    """
    if gateway.reach_checks.is_lost(routed.service.name):
        runs = routed.request.earlier_runs
        return await handovers.serve_elsewhere(gateway, routed, response, runs)
    try:
        return await respond_from_here(gateway, routed, response)
    except reach_errors.NoServerReachedError as error:
        return await handovers.serve_elsewhere(gateway, routed, response, error.runs)


async def respond_from_here(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    response: relay_requests.CallerResponse,
) -> failures.Failure | None:
    """Respond to the caller, or return why that is not possible.

    Raises
    ------
    NoServerReachedError
        If no server of the service can be reached, and the request may run elsewhere.
    """
    if routed.route.kind is declared.RouteKind.STREAMING:
        stream = relayed_streams.RelayedStream(gateway, routed, response)
        try:
            await stream.run()
        except stream_failures.StreamFailedError as error:
            return error.failure
        return None
    called = await relayed_calls.run(gateway, routed)
    if isinstance(called, result.Failure):
        return called.failure()
    gateway.requests.observe_duration(routed)
    whole = called.unwrap()
    await response.send_whole(whole.head, whole.body)
    return None


def record_cancelled(
    gateway: relay_gateway.RelayGateway, routed: relay_requests.RoutedRequest
) -> None:
    """Log why a request ends without a response.

    Both a caller that disconnects and a gateway that stops cancel it.
    """
    if gateway.requests.is_stopping:
        record_interrupted(gateway, routed)
        return
    gateway.record_decision(routed, "caller_gone", None, elapsed_text(routed))


def record_interrupted(
    gateway: relay_gateway.RelayGateway, routed: relay_requests.RoutedRequest
) -> None:
    """Log that the stop of this gateway interrupts a request."""
    progress = routed.progress
    now_s = asyncio.get_running_loop().time()
    gateway.record_decision(
        routed,
        "interrupted",
        progress.server,
        f"by the stop of this gateway, {elapsed_text(routed)}, "
        f"{routed.deadline_s - now_s:.3f} s before its deadline, "
        f"last decision: {progress.decision}",
        event_log.Level.NOTICE,
    )


def elapsed_text(routed: relay_requests.RoutedRequest) -> str:
    """Return how long a request has taken so far, for the log."""
    now_s = asyncio.get_running_loop().time()
    return f"after {now_s - routed.request.arrived_s:.3f} s"


def record_unrouted(
    gateway: relay_gateway.RelayGateway,
    request: relay_requests.RelayRequest,
    failure: failures.Failure,
) -> None:
    """Log and count a request that is not routed."""
    gateway.metrics.decisions.labels("not_routed", "").inc()
    event_log.record(
        relay_events.RelayEvent(
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
    """Send a failure to the caller, or abort a response that has begun."""
    if response.has_begun:
        response.abort()
        return
    headers = [relays.Header("Content-Type", "text/plain; charset=utf-8")]
    if failure.retry_after_ms is not None:
        seconds = f"{failure.retry_after_ms / MS_PER_S:.3f}"
        headers.append(relays.Header("Retry-After", seconds))
    head = relays.ResponseHead(
        response_statuses.failure_status(failure), tuple(headers)
    )
    text = f"{failure.code.value} {failure.message}\n"
    await response.send_whole(head, text.encode())
