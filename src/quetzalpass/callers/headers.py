"""Checked request headers of the callers' interface."""

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


# Where the checked headers are kept with the request, for metrics.
CALLER_KEY = "quetzalpass.caller"


class EventId(msgspec.Struct, frozen=True):
    """Where a caller stopped reading.

    Attributes
    ----------
    generation_id : GenerationId
        The generation.
    server_id : ServerId
        Engine that runs it.
    offset : int
        Offset of the last token that was read.
    """

    generation_id: ids.GenerationId
    server_id: ids.ServerId
    offset: int


class CallerHeaders(msgspec.Struct, frozen=True):
    """What the headers of one request say.

    Attributes
    ----------
    organisation : schema.Organisation
        Whose key was sent.
    priority_class : schema.PriorityClass
        Class of the request.
    delivery : requests.Delivery or None
        How the answer should come; ``None`` leaves it to the body.
    deadline_s : float
        Loop time after which the answer is of no use.
    non_idempotent : bool
        The caller says that the request may not run twice.
    idempotency_key : IdempotencyKey or None
        Key under which resends are known.
    last_event : EventId or None
        Where to go on after a lost connection.
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
    at: configuration.Configuration,
    default_class: ids.ClassName | None,
) -> result.Result[CallerHeaders, failures.Failure]:
    """Check all headers of a request.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    at : configuration.Configuration
        The revision that decides it.
    default_class : ClassName or None
        Class of a request that names none.
    """
    try:
        headers = CallerHeaders(
            organisation=read_organisation(request, at),
            priority_class=read_class(request, at, default_class),
            delivery=read_delivery(request),
            deadline_s=read_deadline_s(request),
            non_idempotent=read_non_idempotent(request),
            idempotency_key=read_idempotency_key(request),
            last_event=read_last_event(request),
        )
    except failures.FailureError as error:
        return result.Failure(error.failure)
    request[CALLER_KEY] = headers
    return result.Success(headers)


def refuse(code: codes.Code, message: str) -> failures.FailureError:
    """Return the error to raise for a bad header."""
    return failures.FailureError(failures.Failure(code, message))


def check_repeats(request: web.Request) -> None:
    """Refuse a header of ours that comes twice: the copies may differ.

    Raises
    ------
    failures.FailureError
        If one does.
    """
    for name in SINGLE_HEADERS:
        if len(request.headers.getall(name, ())) > 1:
            raise refuse(codes.Code.BAD_HEADER, f"{name} is sent twice")


def read_organisation(
    request: web.Request, at: configuration.Configuration
) -> schema.Organisation:
    """Return the organisation whose key the request carries."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    key = key.strip()
    found = at.find_organisation(key) if key.isascii() else None
    if scheme.lower() != "bearer" or found is None:
        raise refuse(codes.Code.UNKNOWN_KEY, "the key is unknown or missing")
    return found


def read_class(
    request: web.Request,
    at: configuration.Configuration,
    default_class: ids.ClassName | None,
) -> schema.PriorityClass:
    """Return the priority class of the request."""
    name = request.headers.get("Quetzalpass-Class")
    if name is None:
        if default_class is None:
            return DEFAULT_CLASS
        return at.classes.get(default_class, DEFAULT_CLASS)
    found = at.classes.get(ids.ClassName(name))
    if found is None:
        raise refuse(codes.Code.UNKNOWN_CLASS, "Quetzalpass-Class is not declared")
    return found


def read_delivery(request: web.Request) -> requests.Delivery | None:
    """Return how the answer should come."""
    value = request.headers.get("Quetzalpass-Delivery")
    if value is None:
        return None
    try:
        return requests.Delivery(value)
    except ValueError:
        raise refuse(
            codes.Code.BAD_HEADER, "Quetzalpass-Delivery must be 'stream' or 'whole'"
        ) from None


def read_deadline_s(request: web.Request) -> float:
    """Return the loop time of the request's deadline."""
    value = request.headers.get("Quetzalpass-Timeout-Ms", str(DEFAULT_TIMEOUT_MS))
    valid = value.isascii() and value.isdigit() and len(value) < 10
    if not valid or not 0 < int(value) <= MAX_TIMEOUT_MS:
        raise refuse(
            codes.Code.BAD_HEADER,
            f"Quetzalpass-Timeout-Ms must be a number from 1 to {MAX_TIMEOUT_MS}",
        )
    return asyncio.get_running_loop().time() + int(value) / MS_PER_S


def read_non_idempotent(request: web.Request) -> bool:
    """Return whether the caller says that the request may not run twice."""
    value = request.headers.get("Quetzalpass-Non-Idempotent", "false").lower()
    if value not in ("true", "false"):
        raise refuse(
            codes.Code.BAD_HEADER, "Quetzalpass-Non-Idempotent must be true or false"
        )
    return value == "true"


def read_idempotency_key(request: web.Request) -> ids.IdempotencyKey | None:
    """Return the checked idempotency key."""
    value = request.headers.get("Idempotency-Key")
    if value is None:
        return None
    if not 0 < len(value) <= MAX_KEY_CHARACTERS or not KEY_CHARACTERS.issuperset(value):
        raise refuse(
            codes.Code.BAD_HEADER,
            f"Idempotency-Key must have 1 to {MAX_KEY_CHARACTERS} letters, digits "
            "or any of -_.:/",
        )
    return ids.IdempotencyKey(value)


def read_last_event(request: web.Request) -> EventId | None:
    """Return where the caller stopped reading."""
    value = request.headers.get("Last-Event-ID")
    if value is None:
        return None
    found = EVENT_ID.fullmatch(value)
    if found is None:
        raise refuse(codes.Code.BAD_HEADER, "Last-Event-ID is not one of ours")
    return EventId(
        ids.GenerationId(found.group(1)),
        ids.ServerId(found.group(2)),
        int(found.group(3)),
    )
