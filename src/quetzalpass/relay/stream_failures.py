"""Failures of relayed streams that can't be continued."""

from quetzalpass import event_log
from quetzalpass.results import codes, failures

# Largest incomplete event that is buffered until the rest arrives.
MAX_EVENT_BYTES = 1_048_576


class StreamFailedError(Exception):
    """Raised if a stream can't be continued.

    Parameters
    ----------
    failure : failures.Failure
        Failure that the caller gets if its response has not begun.
    """

    def __init__(self, failure: failures.Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


def server_lost(message: str) -> StreamFailedError:
    """Return the error of a generation that can't be resumed."""
    failure = failures.Failure(
        codes.Code.SERVER_LOST, message, codes.Execution.MAY_HAVE_RUN
    )
    return StreamFailedError(failure)


def event_too_large() -> StreamFailedError:
    """Return the error of a stream with an event above the size limit."""
    failure = failures.Failure(
        codes.Code.EVENT_TOO_LARGE,
        f"an event is larger than {MAX_EVENT_BYTES} bytes",
        codes.Execution.MAY_HAVE_RUN,
    )
    return StreamFailedError(failure)


def stream_crossed(found: str, last: str) -> StreamFailedError:
    """Return the error of a stream with an unexpected event."""
    failure = failures.Failure(
        codes.Code.STREAM_CROSSED,
        f"event {event_log.sanitize(found)} arrived after event "
        f"{event_log.sanitize(last)}",
        codes.Execution.MAY_HAVE_RUN,
    )
    return StreamFailedError(failure)
