"""Error answers in the shape of the OpenAI interface."""

import msgspec
from aiohttp import web

from quetzalpass import ids
from quetzalpass.results import codes, failures

RESULT_HEADER = "Quetzalpass-Result"
REQUEST_ID_HEADER = "Quetzalpass-Request-Id"
GENERATION_ID_HEADER = "Quetzalpass-Generation-Id"
MS_PER_S = 1000
# Where the code of a stream that failed after its headers is kept with the request.
FAILED_KEY = "quetzalpass.failed"


class ErrorBody(msgspec.Struct, frozen=True):
    """The object behind ``error``."""

    message: str
    type: str
    code: int
    name: str
    execution: str | None
    retry_after_ms: int | None
    advice: str
    param: str | None = None


class ErrorResponse(msgspec.Struct, frozen=True):
    """Body of every error answer."""

    error: ErrorBody


def error_body(failure: failures.Failure) -> ErrorResponse:
    """Return the body that tells a caller about a failure."""
    spec = codes.spec_of(failure.code)
    execution = failure.effective_execution()
    client_fault = spec.http_status < 500
    return ErrorResponse(
        ErrorBody(
            message=f"{failure.message}. {spec.advice}",
            type="invalid_request_error" if client_fault else "server_error",
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
    """Return the HTTP answer that tells a caller about a failure."""
    headers = {
        RESULT_HEADER: str(failure.code.value),
        REQUEST_ID_HEADER: request_id,
    }
    if failure.retry_after_ms is not None:
        headers["Retry-After"] = str(-(-failure.retry_after_ms // MS_PER_S))
    return web.Response(
        status=codes.spec_of(failure.code).http_status,
        body=msgspec.json.encode(error_body(failure)),
        headers=headers,
        content_type="application/json",
    )
