"""The message with which one gateway hands a request over to another.

The receiver owns the request from then on: its attempts, retries, permits, crash
reports, and whether it has run.
"""

import asyncio

import msgspec

from quetzalpass import decoding, ids, ranges
from quetzalpass.backends import connections, relays
from quetzalpass.relay import relay_requests
from quetzalpass.wire import messages


class HandoverRequest(messages.Request, frozen=True):
    """A caller's request that another gateway has received.

    All texts of the caller have one character a byte, since JSON can't carry bytes
    that aren't UTF-8.

    Attributes
    ----------
    sender : VmId
        The gateway that hands it over.
    revision : Revision
        Revision by which the sender has routed it.
    service : ServiceName
        Service to which the sender has routed it.
    request_id, method, target, host : str
        As in ``relay_requests.RelayRequest``.
    headers : tuple of relays.Header
        Headers to forward.
    body : bytes
        The whole body.
    key : str or None
        The caller's API key.
    time_left_s : float or None
        Time from its arrival at the sender to the caller's deadline, in seconds.
    waited_s : float
        Time since its arrival at the sender, in seconds.
    size : relay_requests.GenerationSize or None
        Size of the generation; ``None`` for other requests.
    shared_parts : tuple of PromptPartId
        Leading parts of the prompt, which other requests may have too.
    earlier_runs : int
        Sends of the sender that a server may have run.
    """

    sender: ids.VmId
    revision: ids.Revision
    service: ids.ServiceName
    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[relays.Header, ...]
    body: bytes
    key: str | None
    time_left_s: ranges.SignedDuration | None
    waited_s: ranges.SignedDuration
    size: relay_requests.GenerationSize | None
    shared_parts: tuple[str, ...]
    earlier_runs: ranges.Count = 0


def make_message(
    routed: relay_requests.RoutedRequest, sender: ids.VmId, earlier_runs: int
) -> HandoverRequest:
    """Return the message that hands over a routed request."""
    request = routed.request
    now_s = asyncio.get_running_loop().time()
    return HandoverRequest(
        sender,
        routed.configuration.revision,
        routed.service.name,
        byte_characters(request.request_id),
        request.method,
        byte_characters(request.target),
        byte_characters(request.host),
        tuple(
            relays.Header(byte_characters(each.name), byte_characters(each.value))
            for each in request.headers
        ),
        request.body,
        None if request.key is None else byte_characters(request.key),
        request.time_left_s,
        now_s - request.arrived_s,
        request.size,
        tuple(byte_characters(each) for each in request.shared_parts),
        earlier_runs,
    )


def make_request(message: HandoverRequest) -> relay_requests.RelayRequest:
    """Return the caller's request, as if it had arrived here at the same time.

    Raises
    ------
    decoding.DecodingError
        If a text of the caller has a character that stands for no byte.
    """
    now_s = asyncio.get_running_loop().time()
    return relay_requests.RelayRequest(
        ids.RequestId(original_text(message.request_id)),
        message.method,
        original_text(message.target),
        original_text(message.host),
        tuple(
            relays.Header(original_text(each.name), original_text(each.value))
            for each in message.headers
        ),
        message.body,
        None if message.key is None else original_text(message.key),
        message.time_left_s,
        now_s - message.waited_s,
        message.size,
        tuple(ids.PromptPartId(original_text(each)) for each in message.shared_parts),
        message.sender,
        message.earlier_runs,
    )


class HandoverHead(msgspec.Struct, frozen=True):
    """Head of the response of a gateway that has taken a request.

    Attributes
    ----------
    status : int
        HTTP status for the caller.
    headers : tuple of relays.Header
        Headers for the caller, with one character a byte.
    """

    status: int
    headers: tuple[relays.Header, ...]


def encode_head(head: relays.ResponseHead) -> bytes:
    """Encode the head of a response."""
    headers = tuple(
        relays.Header(byte_characters(each.name), byte_characters(each.value))
        for each in head.headers
    )
    return msgspec.json.encode(HandoverHead(head.status, headers))


def decode_head(data: bytes) -> relays.ResponseHead:
    """Decode the head of a response.

    Raises
    ------
    ValueError
        If it can't be decoded.
    """
    head = decoding.decode_json(data, HandoverHead)
    if head.status not in connections.FINAL_STATUSES:
        raise decoding.DecodingError(f"status {head.status} ends no request")
    headers = tuple(
        relays.Header(original_text(each.name), original_text(each.value))
        for each in head.headers
    )
    return relays.ResponseHead(head.status, headers)


def byte_characters(text: str) -> str:
    """Return a text of the HTTP library with one character for each of its bytes."""
    return text.encode("utf-8", "surrogateescape").decode("latin-1")


def original_text(characters: str) -> str:
    """Return the text that ``byte_characters`` was given.

    Raises
    ------
    decoding.DecodingError
        If a character stands for no byte.
    """
    try:
        return characters.encode("latin-1").decode("utf-8", "surrogateescape")
    except UnicodeEncodeError as error:
        raise decoding.DecodingError(str(error)) from error
