"""Routes of relayed requests: their service, deadline and identity."""

import xxhash
from returns import result

from quetzalpass import ids
from quetzalpass.declarations import relays as declared
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration
from quetzalpass.relay import relay_requests
from quetzalpass.results import codes, failures

HASH_RANGE = 2**64
MS_PER_S = 1000


def refuse(
    code: codes.Code, message: str, retry_after_ms: int | None = None
) -> result.Result[relay_requests.RoutedRequest, failures.Failure]:
    """Return the failure of a request that is not routed."""
    return result.Failure(
        failures.Failure(code, message, retry_after_ms=retry_after_ms)
    )


def routed_request(
    request: relay_requests.RelayRequest,
    route: declared.HostRoute,
    service: schema.Service,
    organisation: schema.Organisation | None,
    current: configuration.Configuration,
) -> relay_requests.RoutedRequest:
    """Return a routed request with the earlier of the caller's and route's deadline."""
    time_left_s = route.timeout_ms / MS_PER_S
    if request.time_left_s is not None:
        time_left_s = min(time_left_s, request.time_left_s)
    deadline_s = request.arrived_s + time_left_s
    return relay_requests.RoutedRequest(
        request,
        route,
        service,
        organisation,
        current,
        deadline_s,
        relay_requests.fingerprint_of(request, organisation),
        relay_requests.parts_of_service(request, service.name),
    )


def choose_service(
    route: declared.HostRoute, request_id: ids.RequestId
) -> ids.ServiceName:
    """Return the service of a request, chosen by a hash of its id and the weights.

    All copies of a request go to the same service.
    """
    total = sum(share.weight for share in route.shares)
    point = (
        xxhash.xxh64_intdigest(request_id.encode("utf-8", "surrogateescape"))
        / HASH_RANGE
        * total
    )
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return max(route.shares, key=share_weight).service


def share_weight(share: declared.ServiceShare) -> float:
    """Return the weight of a share."""
    return share.weight
