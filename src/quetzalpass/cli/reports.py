"""Printing of the problems of an invalid declaration."""

import msgspec

from quetzalpass.cli import exits, output
from quetzalpass.documents import problems
from quetzalpass.results import codes


class Problems(msgspec.Struct, frozen=True):
    """All problems found in a declaration, with the result code."""

    code: int
    name: str
    problems: tuple[problems.Problem, ...]


def print_problems(found: tuple[problems.Problem, ...], as_json: bool) -> exits.Exit:
    """Print all problems of a declaration and return the exit code."""
    code = codes.Code.DECLARATION_INVALID
    reply = Problems(code.value, code.name.lower(), found)
    output.print_result(
        reply, (output.printable(item.text()) for item in found), as_json
    )
    return exits.exit_for_code(code)
