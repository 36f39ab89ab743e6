"""Printing of results: text for people, or one JSON object for programs."""

import sys
from collections.abc import Iterable

import msgspec

from quetzalpass import escaping
from quetzalpass.cli import exits
from quetzalpass.control import messages
from quetzalpass.results import codes, failures

UNESCAPED_CHARACTERS = "\n\t"


def print_result(value: msgspec.Struct, lines: Iterable[str], as_json: bool) -> None:
    """Print a result as one JSON object or as lines of text."""
    if as_json:
        print(msgspec.json.encode(value).decode(), flush=True)
        return
    for line in lines:
        print(line, flush=True)


def print_failure(failure: failures.Failure, as_json: bool) -> exits.Exit:
    """Print a failure and return its exit code."""
    advice = codes.spec_of(failure.code).advice
    if as_json:
        reply = messages.ErrorReply(
            code=failure.code.value,
            name=failure.code.name.lower(),
            message=failure.message,
            advice=advice,
            retry_after_ms=failure.retry_after_ms,
        )
        print(msgspec.json.encode(reply).decode(), flush=True)
    else:
        number = failure.code.value
        name = failure.code.name.lower()
        print(f"{number} {name}: {printable(failure.message)}", file=sys.stderr)
        print(advice, file=sys.stderr)
    return exits.exit_for_code(failure.code)


def printable(text: str) -> str:
    """Escape the control characters of a text, except line feeds and tabs."""
    return escaping.escape_control_characters(text, UNESCAPED_CHARACTERS)


def table(rows: list[tuple[str, ...]]) -> list[str]:
    """Format rows as lines with aligned columns."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
