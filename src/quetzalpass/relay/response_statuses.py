"""HTTP statuses of relayed responses, and those of failures."""

from quetzalpass.results import codes, failures

STATUS_NOT_RUN = 503
# From this status on, a response does not show that the request was run to its end.
STATUS_ERROR = 400
SERVER_ERROR = 500
# Statuses that promise that a request has not run. A server that sends one without its
# "not run" marker may still have run the request.
STATUSES_PROMISING_NOT_RUN = frozenset({408, 421, 429, 503})
STATUS_TIMEOUT = 504
STATUS_BAD_GATEWAY = 502


def failure_status(failure: failures.Failure) -> int:
    """Return the HTTP status with which a failure is reported to the caller.

    503 is a promise that the request has not run; 502 and 504 promise nothing.
    """
    spec = codes.spec_of(failure.code)
    if failure.effective_execution() is codes.Execution.NOT_RUN:
        if spec.retry or failure.code is codes.Code.QUARANTINED:
            return STATUS_NOT_RUN
        return spec.http_status
    if failure.code is codes.Code.DEADLINE_EXCEEDED:
        return STATUS_TIMEOUT
    return STATUS_BAD_GATEWAY
