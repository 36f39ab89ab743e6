"""Validation of the request headers that callers send."""

import asyncio
import re
import string

import msgspec
from aiohttp import web
from returns import result

from quetzalpass import ids
from quetzalpass.declarations import schema
from quetzalpass.lifecycle import requests
from quetzalpass.membership import configuration
from quetzalpass.results import codes, failures

DEFAULT_TIMEOUT_MS = 600_000
MAX_TIMEOUT_MS = 86_400_000
MAX_KEY_CHARACTERS = 200
MS_PER_S = 1000
KEY_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-_.:/")
EVENT_ID = re.compile(r"(gen-[0-9a-f]+-[0-9a-f]+)/([A-Za-z0-9._-]{1,100})/([0-9]{1,9})")
SINGLE_HEADERS = (
    "Authorization",
    "Idempotency-Key",
    "Last-Event-ID",
    "Quetzalpass-Class",
    "Quetzalpass-Delivery",
    "Quetzalpass-Non-Idempotent",
    "Quetzalpass-Timeout-Ms",
)
DEFAULT_CLASS = schema.PriorityClass(name=ids.ClassName("default"))


# Key in the aiohttp request under which the validated headers are stored, for metrics.
CALLER_HEADERS_KEY = "quetzalpass.caller"
# Key in the aiohttp request under which the loop time of its arrival is stored.
ARRIVAL_KEY = "quetzalpass.arrived"


class EventId(msgspec.Struct, frozen=True):
    """Position in a stream up to which a caller has read.

    Attributes
    ----------
    generation_id : GenerationId
        The generation.
    server_id : ServerId
        Engine that runs it.
    offset : int
        Offset of the last token that the caller has read.
    """

    generation_id: ids.GenerationId
    server_id: ids.ServerId
    offset: int


class CallerHeaders(msgspec.Struct, frozen=True):
    """Validated headers of one request.

    Attributes
    ----------
    organisation : schema.Organisation
        Organisation whose key was sent.
    priority_class : schema.PriorityClass
        Class of the request.
    delivery : requests.Delivery or None
        Whether the response is streamed; ``None`` if the body decides.
    deadline_s : float
        Loop time at which the request's deadline expires.
    non_idempotent : bool
        Whether the caller says that the request must not run twice.
    idempotency_key : IdempotencyKey or None
        Key that identifies resends of the same request.
    last_event : EventId or None
        Position from which a stream is resumed after a lost connection.
    """

    organisation: schema.Organisation
    priority_class: schema.PriorityClass
    delivery: requests.Delivery | None
    deadline_s: float
    non_idempotent: bool
    idempotency_key: ids.IdempotencyKey | None
    last_event: EventId | None


def read_headers(
    request: web.Request,
    config: configuration.Configuration,
    default_class: ids.ClassName | None,
) -> result.Result[CallerHeaders, failures.Failure]:
    """Validate all headers of a request.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    config : configuration.Configuration
        Configuration under which the request runs.
    default_class : ClassName or None
        Class of a request that names none.
    """
    try:
        headers = CallerHeaders(
            organisation=read_organisation(request, config),
            priority_class=read_class(request, config, default_class),
            delivery=read_delivery(request),
            deadline_s=read_deadline_s(request),
            non_idempotent=read_non_idempotent(request),
            idempotency_key=read_idempotency_key(request),
            last_event=read_last_event(request),
        )
    except failures.FailureError as error:
        return result.Failure(error.failure)
    request[CALLER_HEADERS_KEY] = headers
    return result.Success(headers)


def header_error(code: codes.Code, message: str) -> failures.FailureError:
    """Return the error to raise for an invalid header."""
    return failures.FailureError(failures.Failure(code, message))


def reject_repeated_headers(request: web.Request) -> None:
    """Reject a request that repeats one of our headers: the values may differ.

    Raises
    ------
    failures.FailureError
        If a header is repeated.
    """
    for name in SINGLE_HEADERS:
        if len(request.headers.getall(name, ())) > 1:
            raise header_error(codes.Code.BAD_HEADER, f"{name} is sent twice")


def read_organisation(
    request: web.Request, config: configuration.Configuration
) -> schema.Organisation:
    """Return the organisation to which the request's key belongs."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    key = key.strip()
    organisation = config.find_organisation(key) if key.isascii() else None
    if scheme.lower() != "bearer" or organisation is None:
        raise header_error(codes.Code.UNKNOWN_KEY, "the key is unknown or missing")
    return organisation


def read_class(
    request: web.Request,
    config: configuration.Configuration,
    default_class: ids.ClassName | None,
) -> schema.PriorityClass:
    """Return the priority class of the request."""
    name = request.headers.get("Quetzalpass-Class")
    if name is None:
        if default_class is None:
            return DEFAULT_CLASS
        return config.classes.get(default_class, DEFAULT_CLASS)
    priority_class = config.classes.get(ids.ClassName(name))
    if priority_class is None:
        raise header_error(
            codes.Code.UNKNOWN_CLASS, "Quetzalpass-Class is not declared"
        )
    return priority_class


def read_delivery(request: web.Request) -> requests.Delivery | None:
    """Return whether the response is streamed, or ``None`` if the body decides."""
    value = request.headers.get("Quetzalpass-Delivery")
    if value is None:
        return None
    try:
        return requests.Delivery(value)
    except ValueError:
        raise header_error(
            codes.Code.BAD_HEADER, "Quetzalpass-Delivery must be 'stream' or 'whole'"
        ) from None


def read_deadline_s(request: web.Request) -> float:
    """Return the loop time of the request's deadline."""
    value = request.headers.get("Quetzalpass-Timeout-Ms", str(DEFAULT_TIMEOUT_MS))
    valid = value.isascii() and value.isdigit() and len(value) < 10
    if not valid or not 0 < int(value) <= MAX_TIMEOUT_MS:
        raise header_error(
            codes.Code.BAD_HEADER,
            f"Quetzalpass-Timeout-Ms must be a number from 1 to {MAX_TIMEOUT_MS}",
        )
    return arrived_s(request) + int(value) / MS_PER_S


def arrived_s(request: web.Request) -> float:
    """Return the loop time at which a request arrived, that is of the first call."""
    return request.setdefault(ARRIVAL_KEY, asyncio.get_running_loop().time())


def read_non_idempotent(request: web.Request) -> bool:
    """Return whether the caller says that the request must not run twice."""
    value = request.headers.get("Quetzalpass-Non-Idempotent", "false").lower()
    if value not in ("true", "false"):
        raise header_error(
            codes.Code.BAD_HEADER, "Quetzalpass-Non-Idempotent must be true or false"
        )
    return value == "true"


def read_idempotency_key(request: web.Request) -> ids.IdempotencyKey | None:
    """Return the validated idempotency key."""
    value = request.headers.get("Idempotency-Key")
    if value is None:
        return None
    if not 0 < len(value) <= MAX_KEY_CHARACTERS or not KEY_CHARACTERS.issuperset(value):
        raise header_error(
            codes.Code.BAD_HEADER,
            f"Idempotency-Key must have 1 to {MAX_KEY_CHARACTERS} letters, digits "
            "or any of -_.:/",
        )
    return ids.IdempotencyKey(value)


def read_last_event(request: web.Request) -> EventId | None:
    """Return the position up to which the caller has read, for a resumed stream."""
    value = request.headers.get("Last-Event-ID")
    if value is None:
        return None
    match = EVENT_ID.fullmatch(value)
    if match is None:
        raise header_error(
            codes.Code.BAD_HEADER,
            "Last-Event-ID is not an event id of this system",
        )
    return EventId(
        ids.GenerationId(match.group(1)),
        ids.ServerId(match.group(2)),
        int(match.group(3)),
    )
