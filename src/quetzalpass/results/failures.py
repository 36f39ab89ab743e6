"""The failure type that functions return and that responses carry."""

import msgspec

from quetzalpass.results import codes


class Failure(msgspec.Struct, frozen=True):
    """Reason why an operation failed.

    Functions that can fail in normal operation return it inside
    ``returns.result.Failure``; exceptions are for broken invariants.

    Attributes
    ----------
    code : codes.Code
        Numbered result code.
    message : str
        What happened, with the relevant figures, in one sentence.
    execution : codes.Execution or None
        Overrides the execution statement of the code.
    retry_after_ms : int or None
        Time after which to retry, in milliseconds.
    """

    code: codes.Code
    message: str
    execution: codes.Execution | None = None
    retry_after_ms: int | None = None

    def effective_execution(self) -> codes.Execution | None:
        """Return the failure's own execution statement, or that of its code."""
        if self.execution is not None:
            return self.execution
        return codes.spec_of(self.code).execution


class FailureError(Exception):
    """Exception that carries a ``Failure`` through code that can only raise.

    Parameters
    ----------
    failure : Failure
        The failure that is carried.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.code.value} {failure.message}")
        self.failure = failure
