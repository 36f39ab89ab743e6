"""What commands print of a declaration that is refused."""

import msgspec

from quetzalpass.cli import exits, output
from quetzalpass.documents import problems
from quetzalpass.results import codes


class Problems(msgspec.Struct, frozen=True):
    """Everything that is wrong with a declaration."""

    code: int
    name: str
    problems: tuple[problems.Problem, ...]


def print_problems(found: tuple[problems.Problem, ...], as_json: bool) -> exits.Exit:
    """Print every problem of a declaration."""
    code = codes.Code.DECLARATION_INVALID
    reply = Problems(code.value, code.name.lower(), found)
    output.print_result(
        reply, (output.printable(item.text()) for item in found), as_json
    )
    return exits.exit_for_code(code)
