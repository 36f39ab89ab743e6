"""Error responses in the format of the OpenAI API."""

import msgspec
from aiohttp import web

from quetzalpass import ids
from quetzalpass.results import codes, failures

RESULT_HEADER = "Quetzalpass-Result"
REQUEST_ID_HEADER = "Quetzalpass-Request-Id"
GENERATION_ID_HEADER = "Quetzalpass-Generation-Id"
MS_PER_S = 1000
# Key in the aiohttp request under which the result code of a stream is stored that
# failed after its headers were sent.
FAILURE_CODE_KEY = "quetzalpass.failed"
# Key in the aiohttp response under which the failure that it reports is stored.
FAILURE_KEY = "quetzalpass.failure"


class ErrorDetail(msgspec.Struct, frozen=True):
    """Value of the field ``error``."""

    message: str
    type: str
    code: int
    name: str
    execution: str | None
    retry_after_ms: int | None
    advice: str
    param: str | None = None


class ErrorResponse(msgspec.Struct, frozen=True):
    """Body of every error response."""

    error: ErrorDetail


def error_body(failure: failures.Failure) -> ErrorResponse:
    """Return the response body that describes a failure."""
    spec = codes.spec_of(failure.code)
    execution = failure.effective_execution()
    is_client_error = spec.http_status < 500
    return ErrorResponse(
        ErrorDetail(
            message=f"{failure.message}. {spec.advice}",
            type="invalid_request_error" if is_client_error else "server_error",
            code=failure.code.value,
            name=failure.code.name.lower(),
            execution=execution.value if execution else None,
            retry_after_ms=failure.retry_after_ms,
            advice=spec.advice,
        )
    )


def error_response(
    failure: failures.Failure, request_id: ids.RequestId
) -> web.Response:
    """Return the HTTP response that describes a failure."""
    headers = {
        RESULT_HEADER: str(failure.code.value),
        REQUEST_ID_HEADER: request_id,
    }
    if failure.retry_after_ms is not None:
        headers["Retry-After"] = str(-(-failure.retry_after_ms // MS_PER_S))
    response = web.Response(
        status=codes.spec_of(failure.code).http_status,
        body=msgspec.json.encode(error_body(failure)),
        headers=headers,
        content_type="application/json",
    )
    response[FAILURE_KEY] = failure
    return response
