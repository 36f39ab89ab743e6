"""Translates a failed attempt for the request, the routing and the caller."""

import msgspec

from quetzalpass.backends import base
from quetzalpass.results import codes, failures
from quetzalpass.routing import work

BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 1.0
# Limits how long a retry avoids the server that failed, as it may be the only one.
AVOID_SERVER_TIMEOUT_S = 1.0
# A caller refused because this gateway reaches no server may try another one at once.
RETRY_ELSEWHERE_MS = 100

EXECUTION_RANK = {
    codes.Execution.NOT_RUN: 0,
    codes.Execution.MAY_HAVE_RUN: 1,
    codes.Execution.RAN: 2,
}


def max_backoff_s(attempts: int) -> float:
    """Return the maximum backoff after a number of attempts; full jitter applies."""
    return min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**attempts)


def execution_of(failure: base.AttemptFailure) -> codes.Execution:
    """Return whether the server ran a failed attempt, as far as is known."""
    if failure.end in (base.AttemptEnd.NOT_SENT, base.AttemptEnd.REFUSED):
        return codes.Execution.NOT_RUN
    if failure.end is base.AttemptEnd.RAN:
        return codes.Execution.RAN
    return codes.Execution.MAY_HAVE_RUN


def combined_execution(
    first: codes.Execution, second: codes.Execution
) -> codes.Execution:
    """Return whether a request ran, given what is known of two of its attempts."""
    return max(first, second, key=EXECUTION_RANK.__getitem__)


def with_execution(
    failure: failures.Failure, earlier: codes.Execution
) -> failures.Failure:
    """Return a failure that covers all attempts of a request.

    It never reports "not run" if one of the earlier attempts may have run.

    Parameters
    ----------
    failure : failures.Failure
        Failure of the last attempt alone.
    earlier : codes.Execution
        Whether one of the earlier attempts ran.
    """
    last = failure.effective_execution()
    if last is None:
        return failure
    return msgspec.structs.replace(failure, execution=combined_execution(last, earlier))


def reservation_outcome(failure: base.AttemptFailure) -> work.ReservationOutcome:
    """Return the outcome with which a failed attempt releases its reservation."""
    if failure.kind in (base.FailureKind.UNREACHABLE, base.FailureKind.CLOSED):
        return work.ReservationOutcome.SERVER_LOST
    if failure.end is base.AttemptEnd.REFUSED:
        return work.ReservationOutcome.REFUSED_BY_SERVER
    return work.ReservationOutcome.FAILED


def caller_failure(failure: base.AttemptFailure) -> failures.Failure:
    """Return the failure that the caller gets for an attempt without any token."""
    if failure.kind is base.FailureKind.REJECTED:
        return failures.Failure(codes.Code.BAD_REQUEST, failure.message)
    if failure.end is base.AttemptEnd.REFUSED:
        return failures.Failure(
            codes.Code.REFUSED_BY_SERVER,
            failure.message,
            retry_after_ms=failure.retry_after_ms,
        )
    return failures.Failure(
        codes.Code.SERVER_FAILED, failure.message, execution_of(failure)
    )


def lost_server_failure(failure: base.AttemptFailure, tokens: int) -> failures.Failure:
    """Return the failure that the caller gets for a generation that can't continue."""
    code = codes.Code.SERVER_LOST
    if failure.kind is base.FailureKind.CROSSED:
        code = codes.Code.STREAM_CROSSED
    if failure.kind is base.FailureKind.TOO_LARGE:
        code = codes.Code.EVENT_TOO_LARGE
    return failures.Failure(code, f"{failure.message}, after {tokens} tokens")
