"""Problems of a document, with their location and a suggested correction."""

import difflib
import enum
from collections.abc import Iterable

import msgspec

from quetzalpass import escaping


class Severity(enum.Enum):
    """Whether a problem makes the document invalid."""

    ERROR = "error"
    WARNING = "warning"


class Problem(msgspec.Struct, frozen=True):
    """One problem of a document.

    Attributes
    ----------
    file : str
        File that contains the problem.
    line : int
        Line of the problem, from 1; 0 if it concerns the whole file.
    field : str
        Path of the field, such as ``servers[3].vm``.
    message : str
        What is wrong.
    suggestion : str or None
        What to write instead.
    severity : Severity
        Whether the problem makes the document invalid.
    """

    file: str
    line: int
    field: str
    message: str
    suggestion: str | None = None
    severity: Severity = Severity.ERROR

    def text(self) -> str:
        """Return the problem as one line of text."""
        location = f"{self.file}:{self.line}" if self.line else self.file
        field = f" {self.field}:" if self.field else ""
        label = " warning:" if self.severity is Severity.WARNING else ""
        advice = f"; {self.suggestion}" if self.suggestion else ""
        return escaping.escape_control_characters(
            f"{location}:{label}{field} {self.message}{advice}"
        )


def suggest_name(name: str, known: Iterable[str]) -> str | None:
    """Return a suggestion with the most similar known name, if any is similar."""
    matches = difflib.get_close_matches(name, list(known), n=1)
    if not matches:
        return None
    return f"did you mean '{matches[0]}'?"
