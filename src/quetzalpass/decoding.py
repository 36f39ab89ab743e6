"""Decoding of documents that other processes have written.

A document may be nested too deeply, hold numbers of any size or bytes that are no text.
The decoders report these in different ways, so every reader of foreign documents uses
the functions of this module, which fail in one way only.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

Document = TypeVar("Document")

# Errors of msgspec and of text decoding are value errors. A document that is nested too
# deeply raises RecursionError, a number that doesn't fit may raise OverflowError.
DECODER_ERRORS = (ValueError, OverflowError, RecursionError)


class DecodingError(ValueError):
    """Raised if a document can't be decoded, whatever is wrong with it."""


class MismatchError(DecodingError):
    """Raised if a document is well-formed, but its values are not those expected."""


def decode_json(data: bytes | msgspec.Raw, document_type: type[Document]) -> Document:
    """Decode a JSON document.

    Parameters
    ----------
    data : bytes or msgspec.Raw
        JSON text.
    document_type : type
        Expected type of the document.

    Raises
    ------
    DecodingError
        If the document is malformed or has another type.
    """
    return decode(msgspec.json.decode, data, document_type)


def decode_yaml(data: bytes, document_type: type[Document]) -> Document:
    """Decode a YAML document; see :func:`decode_json`."""
    return decode(msgspec.yaml.decode, data, document_type)


def decode(
    decoder: Callable[..., Document],
    data: bytes | msgspec.Raw,
    document_type: type[Document],
) -> Document:
    """Decode a document with one of msgspec's decoders; see :func:`decode_json`."""
    try:
        return decoder(data, type=document_type)
    except DECODER_ERRORS as error:
        raise decoding_error(error) from error


def is_json(data: bytes) -> bool:
    """Return whether bytes are a JSON document that can be decoded."""
    try:
        decode_json(data, Any)
    except DecodingError:
        return False
    return True


def decoding_error(error: Exception) -> DecodingError:
    """Return the error of this module for an error of a decoder."""
    if isinstance(error, RecursionError):
        return DecodingError("nested too deeply")
    if isinstance(error, msgspec.ValidationError):
        return MismatchError(str(error))
    return DecodingError(str(error))
