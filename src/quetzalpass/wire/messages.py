"""Base classes of the peer protocol's messages, and their JSON codec."""

from typing import ClassVar

import msgspec
from returns import result

from quetzalpass import decoding
from quetzalpass.results import codes, failures

MAX_MESSAGE_BYTES = 16 * 1024 * 1024


class Reply(msgspec.Struct, frozen=True):
    """Base class of replies."""


class Request(msgspec.Struct, frozen=True):
    """Base class of requests.

    Attributes
    ----------
    reply_type : type
        Type of the reply; a class attribute that each request type sets.
    """

    reply_type: ClassVar[type[Reply]] = Reply


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message as JSON, with bytes fields in base64."""
    return msgspec.json.encode(message)


def decode(
    data: bytes, message_type: type[msgspec.Struct]
) -> result.Result[msgspec.Struct, failures.Failure]:
    """Decode a message from JSON.

    Parameters
    ----------
    data : bytes
        JSON text.
    message_type : type
        Expected type of the message.

    Returns
    -------
    returns.result.Result
        The message, or ``BAD_JSON`` with the name of the first invalid field.
    """
    try:
        return result.Success(decoding.decode_json(data, message_type))
    except decoding.DecodingError as error:
        message = f"Invalid {message_type.__name__}: {error}."
        return result.Failure(failures.Failure(codes.Code.BAD_JSON, message))
