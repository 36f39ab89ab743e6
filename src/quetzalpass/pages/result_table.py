"""Table of result codes."""

from collections.abc import Iterator

from quetzalpass.results import codes

HEAD = (
    "| code | name | HTTP | did it run | send again | what to do |\n"
    "|---|---|---|---|---|---|"
)
EXECUTIONS: dict[codes.Execution | None, str] = {
    codes.Execution.NOT_RUN: "not run",
    codes.Execution.MAY_HAVE_RUN: "may have run",
    codes.Execution.RAN: "ran",
    None: "",
}


def render_table() -> str:
    """Return the table of all result codes as Markdown."""
    return "\n".join([HEAD, *render_rows()])


def render_rows() -> Iterator[str]:
    """Yield the table row of each result code."""
    for code, spec in sorted(codes.SPECS.items()):
        cells = (
            str(code.value),
            f"`{code.name.lower()}`",
            str(spec.http_status),
            EXECUTIONS[spec.execution],
            "yes" if spec.retry else "no",
            spec.advice,
        )
        yield f"| {' | '.join(cells)} |"
