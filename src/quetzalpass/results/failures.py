"""The typed failure that functions return and answers carry."""

import msgspec

from quetzalpass.results import codes


class Failure(msgspec.Struct, frozen=True):
    """Why something did not succeed.

    Functions whose failure is part of normal work return it inside
    ``returns.result.Failure``; an exception is kept for broken invariants.

    Attributes
    ----------
    code : codes.Code
        Numbered result code.
    message : str
        What happened, with the figures that matter. One sentence.
    execution : codes.Execution or None
        Overrides the execution statement of the code's table row.
    retry_after_ms : int or None
        When to come back, in milliseconds.
    """

    code: codes.Code
    message: str
    execution: codes.Execution | None = None
    retry_after_ms: int | None = None

    def effective_execution(self) -> codes.Execution | None:
        """Return the execution statement that holds for this failure."""
        if self.execution is not None:
            return self.execution
        return codes.spec_of(self.code).execution


class FailureError(Exception):
    """Carries a ``Failure`` through code that can only raise.

    Parameters
    ----------
    failure : Failure
        The failure that is carried.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.code.value} {failure.message}")
        self.failure = failure
