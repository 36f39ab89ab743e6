"""Handlers of calls to plain services and of the list of models."""

from collections.abc import Mapping

import msgspec
from aiohttp import web
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.callers import errors, headers
from quetzalpass.declarations import schema
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.lifecycle import requests, service_calls
from quetzalpass.membership import configuration
from quetzalpass.results import codes, failures

# These headers are meant for this system; the first would reveal the caller's key.
WITHHELD_HEADERS = frozenset({"authorization", "idempotency-key"})
OWN_HEADER_PREFIX = "quetzalpass-"
FORBIDDEN_PATH_CHARACTERS = frozenset("%\\?#")


async def handle_service_call(
    gateway: gateways.Gateway,
    request: web.Request,
    request_id: ids.RequestId,
    body: bytes,
    config: configuration.Configuration,
) -> web.Response:
    """Forward a call to a plain service and return its response."""
    parsed = parse_call(request, request_id, body, config)
    if isinstance(parsed, result.Failure):
        return errors.error_response(parsed.failure(), request_id)
    called = await service_calls.run_call(gateway, parsed.unwrap())
    if isinstance(called, result.Failure):
        return errors.error_response(called.failure(), request_id)
    outcome = called.unwrap()
    return web.Response(
        status=outcome.response.status,
        body=outcome.response.body,
        headers={
            **response_headers(outcome.response.headers),
            errors.RESULT_HEADER: str(outcome.code.value),
            errors.REQUEST_ID_HEADER: request_id,
        },
    )


def parse_call(
    request: web.Request,
    request_id: ids.RequestId,
    body: bytes,
    config: configuration.Configuration,
) -> result.Result[requests.ServiceRequest, failures.Failure]:
    """Return the validated call to a plain service."""
    service = config.services.get(ids.ServiceName(request.match_info["service"]))
    default_class = service.default_class if service else None
    checked_headers = headers.read_headers(request, config, default_class)
    if isinstance(checked_headers, result.Failure):
        return checked_headers
    caller = checked_headers.unwrap()
    if service is None:
        return result.Failure(
            failures.Failure(
                codes.Code.UNKNOWN_SERVICE, "no service of that name is declared"
            )
        )
    path = request.match_info["path"]
    failure = check_path(path) or check_header_values(request)
    if failure is not None:
        return result.Failure(failure)
    non_idempotent = caller.non_idempotent or is_non_idempotent(
        service, request.method, path
    )
    if non_idempotent and caller.idempotency_key is None:
        return result.Failure(
            failures.Failure(
                codes.Code.KEY_REQUIRED,
                f"{request.method} /{path[:80]} is non-idempotent",
            )
        )
    call = base.ServiceCall(
        method=request.method,
        path=path,
        query=request.query_string,
        headers=forwarded_headers(request),
        body=body,
        request_id=request_id,
        idempotency_key=caller.idempotency_key,
    )
    return result.Success(
        requests.ServiceRequest(
            request_id=request_id,
            organisation=caller.organisation,
            priority_class=caller.priority_class,
            service=service,
            call=call,
            non_idempotent=non_idempotent,
            deadline_s=caller.deadline_s,
            configuration=config,
        )
    )


def check_path(path: str) -> failures.Failure | None:
    """Return why a decoded path can't be forwarded, or ``None``.

    The path that is compared with the declared routes must be the one that the service
    sees. Otherwise, a client library or a service that resolves ``..`` or a second
    encoding would run a non-idempotent route without a claim.
    """
    segments = path.split("/")
    has_bad_segment = (
        any(each in (".", "..") for each in segments) or "" in segments[:-1]
    )
    if (
        has_bad_segment
        or not path.isprintable()
        or not FORBIDDEN_PATH_CHARACTERS.isdisjoint(path)
    ):
        return failures.Failure(
            codes.Code.BAD_REQUEST,
            "the path has empty or dotted segments, control characters, a percent "
            "sign, or one of \\?# after decoding",
        )
    return None


def check_header_values(request: web.Request) -> failures.Failure | None:
    """Return why the caller's headers can't be forwarded, or ``None``."""
    for value in request.headers.values():
        if not is_printable(value):
            return failures.Failure(
                codes.Code.BAD_HEADER, "a header has characters that are not printable"
            )
    return None


def is_printable(value: str) -> bool:
    """Return whether a header's value has only printable characters and tabs."""
    return value.replace("\t", " ").isprintable()


def response_headers(service_headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of the service's response that are sent to the caller."""
    return {
        name: value
        for name, value in service_headers.items()
        if is_printable(value) and not name.lower().startswith(OWN_HEADER_PREFIX)
    }


def is_non_idempotent(service: schema.Service, method: str, path: str) -> bool:
    """Return whether a route is declared as non-idempotent."""
    return any(
        route.method.upper() == method.upper()
        and f"/{path}".startswith(route.path_prefix)
        for route in service.non_idempotent_routes
    )


def forwarded_headers(request: web.Request) -> dict[str, str]:
    """Return the caller's headers that are forwarded to the service."""
    return {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in WITHHELD_HEADERS
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    }


class ModelEntry(msgspec.Struct, frozen=True):
    """One entry of ``GET /v1/models``."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "operator"


class ModelList(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/models``."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


def model_list(config: configuration.Configuration) -> ModelList:
    """Return the declared models and their adapters."""
    names: list[str] = []
    for model in config.declaration.models:
        names.append(model.name)
        names.extend(f"{model.name}:{each.name}" for each in model.adapters)
    return ModelList(tuple(ModelEntry(name) for name in names))
