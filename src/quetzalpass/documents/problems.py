"""What is wrong with a document, where, and what to write instead."""

import difflib
import enum
from collections.abc import Iterable

import msgspec

from quetzalpass import escaping


class Severity(enum.Enum):
    """Whether a problem refuses the document."""

    ERROR = "error"
    WARNING = "warning"


class Problem(msgspec.Struct, frozen=True):
    """One fault of a document.

    Attributes
    ----------
    file : str
        File that holds the fault.
    line : int
        Line of the fault, from 1; 0 where it concerns the whole file.
    field : str
        Path of the field, such as ``servers[3].vm``.
    message : str
        What is wrong.
    suggestion : str or None
        What to write instead.
    severity : Severity
        Whether the document is refused for it.
    """

    file: str
    line: int
    field: str
    message: str
    suggestion: str | None = None
    severity: Severity = Severity.ERROR

    def text(self) -> str:
        """Return the problem as one line."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        field = f" {self.field}:" if self.field else ""
        mark = " warning:" if self.severity is Severity.WARNING else ""
        advice = f"; {self.suggestion}" if self.suggestion else ""
        return escaping.escape_control_characters(
            f"{place}:{mark}{field} {self.message}{advice}"
        )


def near_name(name: str, known: Iterable[str]) -> str | None:
    """Return advice that names the nearest known name, if one is near."""
    matches = difflib.get_close_matches(name, list(known), n=1)
    if not matches:
        return None
    return f"did you mean '{matches[0]}'?"
