"""Handler of calls to plain services."""

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

# Headers that are meant for this system, or that would reveal the caller's key.
KEPT_HEADERS = frozenset({"authorization", "idempotency-key"})
OWN_PREFIX = "quetzalpass-"
FORBIDDEN = frozenset("%\\?#")


async def answer_service_call(
    gateway: gateways.Gateway,
    request: web.Request,
    request_id: ids.RequestId,
    body: bytes,
    at: configuration.Configuration,
) -> web.Response:
    """Pass a call to a plain service and answer what came back."""
    checked = check_call(request, request_id, body, at)
    if isinstance(checked, result.Failure):
        return errors.error_response(checked.failure(), request_id)
    ran = await service_calls.run_call(gateway, checked.unwrap())
    if isinstance(ran, result.Failure):
        return errors.error_response(ran.failure(), request_id)
    outcome = ran.unwrap()
    return web.Response(
        status=outcome.response.status,
        body=outcome.response.body,
        headers={
            **answered_headers(outcome.response.headers),
            errors.RESULT_HEADER: str(outcome.code.value),
            errors.REQUEST_ID_HEADER: request_id,
        },
    )


def check_call(
    request: web.Request,
    request_id: ids.RequestId,
    body: bytes,
    at: configuration.Configuration,
) -> result.Result[requests.ServiceRequest, failures.Failure]:
    """Return the checked call of a plain service."""
    service = at.services.get(ids.ServiceName(request.match_info["service"]))
    default_class = service.default_class if service else None
    read = headers.read_headers(request, at, default_class)
    if isinstance(read, result.Failure):
        return read
    caller = read.unwrap()
    if service is None:
        return result.Failure(
            failures.Failure(
                codes.Code.UNKNOWN_SERVICE, "no service of that name is declared"
            )
        )
    path = request.match_info["path"]
    refused = refusal_of_path(path) or refusal_of_headers(request)
    if refused is not None:
        return result.Failure(refused)
    non_idempotent = caller.non_idempotent or is_non_idempotent(
        service, request.method, path
    )
    if non_idempotent and caller.idempotency_key is None:
        return result.Failure(
            failures.Failure(
                codes.Code.KEY_REQUIRED, f"{request.method} /{path[:80]} runs once only"
            )
        )
    call = base.ServiceCall(
        method=request.method,
        path=path,
        query=request.query_string,
        headers=passed_headers(request),
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
            configuration=at,
        )
    )


def refusal_of_path(path: str) -> failures.Failure | None:
    """Return why a decoded path is not passed on, or ``None``.

    The path that is compared with the declared routes must be the one that the service
    sees. A client library or a service that resolves ``..`` or a second encoding would
    otherwise run a route that may not run twice without a claim.
    """
    segments = path.split("/")
    strange = any(each in (".", "..") for each in segments) or "" in segments[:-1]
    if strange or not path.isprintable() or not FORBIDDEN.isdisjoint(path):
        return failures.Failure(
            codes.Code.BAD_REQUEST,
            "the path has empty or dotted segments, control characters, a percent "
            "sign, or one of \\?# after decoding",
        )
    return None


def refusal_of_headers(request: web.Request) -> failures.Failure | None:
    """Return why the caller's headers are not passed on, or ``None``."""
    for value in request.headers.values():
        if not is_clean(value):
            return failures.Failure(
                codes.Code.BAD_HEADER, "a header has characters that are not printable"
            )
    return None


def is_clean(value: str) -> bool:
    """Return whether a header's value may be passed on."""
    return value.replace("\t", " ").isprintable()


def answered_headers(answered: Mapping[str, str]) -> dict[str, str]:
    """Return the service's headers that the caller gets."""
    return {
        name: value
        for name, value in answered.items()
        if is_clean(value) and not name.lower().startswith(OWN_PREFIX)
    }


def is_non_idempotent(service: schema.Service, method: str, path: str) -> bool:
    """Return whether a route is declared as one that may not run twice."""
    return any(
        route.method.upper() == method.upper()
        and f"/{path}".startswith(route.path_prefix)
        for route in service.non_idempotent_routes
    )


def passed_headers(request: web.Request) -> dict[str, str]:
    """Return the caller's headers that the service gets."""
    return {
        name: value
        for name, value in request.headers.items()
        if name.lower() not in KEPT_HEADERS and not name.lower().startswith(OWN_PREFIX)
    }


class ModelEntry(msgspec.Struct, frozen=True):
    """One entry of ``GET /v1/models``."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "operator"


class ModelList(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/models``."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


def model_list(at: configuration.Configuration) -> ModelList:
    """Return the declared models and their adapters."""
    names: list[str] = []
    for model in at.declaration.models:
        names.append(model.name)
        names.extend(f"{model.name}:{each.name}" for each in model.adapters)
    return ModelList(tuple(ModelEntry(name) for name in names))
