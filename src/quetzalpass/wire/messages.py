"""Base class of the inner protocol's messages, and their JSON codec."""

from typing import ClassVar

import msgspec
from returns import result

from quetzalpass.results import codes, failures

MAX_MESSAGE_BYTES = 16 * 1024 * 1024


class Reply(msgspec.Struct, frozen=True):
    """Base class of the answers to messages."""


class Request(msgspec.Struct, frozen=True):
    """Base class of the messages.

    Attributes
    ----------
    reply_type : type
        Type of the answer; a class attribute that each message type sets.
    """

    reply_type: ClassVar[type[Reply]] = Reply


def encode(message: msgspec.Struct) -> bytes:
    """Return a message as JSON; bytes fields become base64."""
    return msgspec.json.encode(message)


def decode(
    data: bytes, message_type: type[msgspec.Struct]
) -> result.Result[msgspec.Struct, failures.Failure]:
    """Return the message that JSON bytes hold.

    Parameters
    ----------
    data : bytes
        JSON text.
    message_type : type
        Type that the text must fit.

    Returns
    -------
    returns.result.Result
        The message, or ``BAD_JSON`` naming the field that doesn't fit.
    """
    try:
        return result.Success(msgspec.json.decode(data, type=message_type))
    except msgspec.MsgspecError as error:
        message = f"A {message_type.__name__} doesn't fit its type: {error}."
        return result.Failure(failures.Failure(codes.Code.BAD_JSON, message))
