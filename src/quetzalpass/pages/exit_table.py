"""Table of the command-line tool's exit codes."""

from quetzalpass.cli import exits
from quetzalpass.results import codes

HEAD = "| exit code | name | result codes that lead to it |\n|---|---|---|"


def render_table() -> str:
    """Return the table of all exit codes as Markdown."""
    return "\n".join([HEAD, *(render_row(code) for code in exits.Exit)])


def render_row(exit_code: exits.Exit) -> str:
    """Return the table row of one exit code."""
    if exit_code is exits.Exit.FAILED:
        reasons = "all others"
    else:
        found = (code for code in codes.Code if exits.exit_for_code(code) is exit_code)
        reasons = ", ".join(f"`{code.name.lower()}`" for code in found)
    return f"| {exit_code.value} | {exit_code.name} | {reasons} |"
