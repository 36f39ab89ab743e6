"""What the end of an attempt means for the request, the routing and the caller."""

import msgspec

from quetzalpass.backends import base
from quetzalpass.results import codes, failures
from quetzalpass.routing import work

BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 1.0
# A server that failed is avoided this long at most, as it may be the only one.
AVOID_SERVER_TIMEOUT_S = 1.0

EXECUTION_RANK = {
    codes.Execution.NOT_RUN: 0,
    codes.Execution.MAY_HAVE_RUN: 1,
    codes.Execution.RAN: 2,
}


def max_backoff_s(attempts: int) -> float:
    """Return the upper end of the full-jitter wait after some attempts, in seconds."""
    return min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**attempts)


def execution_of(failure: base.AttemptFailure) -> codes.Execution:
    """Return whether the server ran an attempt that failed."""
    if failure.end in (base.AttemptEnd.NOT_SENT, base.AttemptEnd.REFUSED):
        return codes.Execution.NOT_RUN
    if failure.end is base.AttemptEnd.RAN:
        return codes.Execution.RAN
    return codes.Execution.MAY_HAVE_RUN


def combined_execution(
    first: codes.Execution, second: codes.Execution
) -> codes.Execution:
    """Return what is known of a request after two of its attempts."""
    return max(first, second, key=EXECUTION_RANK.__getitem__)


def with_execution(
    failure: failures.Failure, earlier: codes.Execution
) -> failures.Failure:
    """Return a failure that never says "not run" of a request that may have run.

    Parameters
    ----------
    failure : failures.Failure
        Failure of the last attempt alone.
    earlier : codes.Execution
        What is known from the attempts before it.
    """
    last = failure.effective_execution()
    if last is None:
        return failure
    return msgspec.structs.replace(failure, execution=combined_execution(last, earlier))


def reservation_outcome(failure: base.AttemptFailure) -> work.SlotOutcome:
    """Return what a failure tells the routing about the server."""
    if failure.kind in (base.FailureKind.UNREACHABLE, base.FailureKind.CLOSED):
        return work.SlotOutcome.SERVER_LOST
    if failure.end is base.AttemptEnd.REFUSED:
        return work.SlotOutcome.REFUSED_BY_SERVER
    return work.SlotOutcome.FAILED


def caller_failure(failure: base.AttemptFailure) -> failures.Failure:
    """Return the numbered failure of an attempt that gave no token."""
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
    """Return the numbered failure of a generation that can't go on."""
    code = codes.Code.SERVER_LOST
    if failure.kind is base.FailureKind.CROSSED:
        code = codes.Code.STREAM_CROSSED
    if failure.kind is base.FailureKind.TOO_LARGE:
        code = codes.Code.EVENT_TOO_LARGE
    return failures.Failure(code, f"{failure.message}, after {tokens} tokens")
