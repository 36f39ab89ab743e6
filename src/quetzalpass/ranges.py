"""Allowed ranges of the numbers and texts that other processes send.

A value outside of its range is malformed, even if its type is right: a number with
hundreds of digits can't be converted to a float, and a wait of 1e300 s never ends. The
types are checked where a message is decoded; ``docs/design/foreign-input.md`` has what
follows from a violation.
"""

import ipaddress
import re
from typing import Annotated

import msgspec

MAX_PORT = 65_535
# Far above what one engine can hold.
MAX_TOKENS = 100_000_000
MAX_SLOTS = 100_000
MAX_DURATION_S = 7 * 86_400.0
MS_PER_S = 1000
MAX_DURATION_MS = int(MAX_DURATION_S * MS_PER_S)
MAX_RATE_PER_S = 1_000_000.0
# Largest integer that a float represents exactly, as do most JSON libraries.
MAX_INTEGER = 2**53
# Largest integer that MessagePack and the replicated log can store.
MAX_STORED_INTEGER = 2**63 - 1
MAX_NAME_CHARACTERS = 255
# Visible ASCII characters, which are also safe in a header and in a URL's query.
NAME_PATTERN = r"\A[!-~]+\Z"
# Labels of a DNS name, or an IPv6 address in brackets.
HOST_PATTERN = re.compile(
    r"[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*|\[[0-9A-Fa-f:.]{2,45}\]"
)

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_STORED_INTEGER, le=MAX_STORED_INTEGER)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Duration = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_S)]
# Differences of two clock readings may be slightly below zero.
SignedDuration = Annotated[float, msgspec.Meta(ge=-MAX_DURATION_S, le=MAX_DURATION_S)]
DurationMs = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_DURATION_MS))]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Rate = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE_PER_S)]
Name = Annotated[
    str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS, pattern=NAME_PATTERN)
]


def parse_whole_number(text: str, maximum: int) -> int | None:
    """Return the value of ASCII digits, or ``None`` for other texts and above a limit.

    Parameters
    ----------
    text : str
        Text of any length.
    maximum : int
        Largest value.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0") or "0"
    # Python refuses to convert texts of several thousand digits.
    if len(digits) > len(str(maximum)):
        return None
    number = int(digits)
    return number if number <= maximum else None


def ip_address_problem(address: str) -> str | None:
    """Return what is wrong with an ``ip:port`` address, if anything.

    Addresses that no single server can have are refused.
    """
    host = address.rpartition(":")[0]
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return "the host is no IPv4 address"
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        return "no server can have this address"
    return address_problem(address)


def address_problem(address: str) -> str | None:
    """Return what is wrong with a ``host:port`` address, if anything."""
    host, _, port = address.rpartition(":")
    if len(host) > MAX_NAME_CHARACTERS or not HOST_PATTERN.fullmatch(host):
        return "the host is neither an IP address nor a name"
    if not parse_whole_number(port, MAX_PORT):
        return f"the port is no number from 1 to {MAX_PORT}"
    return None
