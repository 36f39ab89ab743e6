"""Adapter for model engines that stream completions as server-sent events."""

import asyncio

import aiohttp
import msgspec
from returns import result

from quetzalpass import decoding, ids, ranges
from quetzalpass.backends import (
    base,
    engine_messages,
    engine_stream,
    held_bytes,
    http_client,
)
from quetzalpass.settings import schema

MS_PER_S = 1000
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503
STATUS_SERVER_ERROR = 500


class HttpEngine(base.ModelEngine):
    """A model engine that is reached over HTTP.

    Parameters
    ----------
    url : str
        Base URL.
    limits : schema.Limits
        Size limits and timeouts of this process.
    """

    def __init__(self, url: str, limits: schema.Limits) -> None:
        self.url = url
        self.limits = limits
        # A kept-alive connection may be dead without either end having noticed.
        # Therefore each stream has a connection of its own.
        self.session = http_client.open_session(limits, reuse=False)

    async def start(
        self, call: base.GenerationCall, timeout_s: float
    ) -> result.Result[base.TokenStream, base.AttemptFailure]:
        """Start or continue a generation; see the base class."""
        path = "/v1/completions" if call.prompt is not None else "/v1/chat/completions"
        messages = tuple(
            engine_messages.EngineMessage(each.role, each.content)
            for each in call.messages
        )
        request = engine_messages.EngineRequest(
            model=model_with_adapter(call.model, call.adapter),
            generation_id=call.generation_id,
            max_tokens=call.max_tokens,
            priority=call.priority,
            stream=True,
            prompt=call.prompt,
            messages=messages,
            tokens_so_far=call.tokens_so_far,
        )
        return await self.open_stream(
            "POST",
            path,
            merge_parameters(request, call.parameters),
            call.generation_id,
            len(call.tokens_so_far),
            timeout_s,
            call.time_left_ms,
        )

    async def resume(
        self, generation_id: ids.GenerationId, offset: int, timeout_s: float
    ) -> result.Result[base.TokenStream, base.AttemptFailure]:
        """Open a new stream of a running generation; see the base class."""
        path = f"/v1/generations/{generation_id}?offset={offset}"
        return await self.open_stream(
            "GET", path, None, generation_id, offset, timeout_s
        )

    async def open_stream(
        self,
        method: str,
        path: str,
        body: bytes | None,
        generation_id: ids.GenerationId,
        offset: int,
        timeout_s: float,
        time_left_ms: int | None = None,
    ) -> result.Result[base.TokenStream, base.AttemptFailure]:
        """Send a request and return its stream once the headers are received."""
        headers = {"Content-Type": "application/json"}
        if time_left_ms is not None:
            headers[http_client.TIME_LEFT_HEADER] = str(time_left_ms)
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.session.request(
                    method,
                    self.url + path,
                    data=body,
                    headers=headers,
                    allow_redirects=False,
                )
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            return result.Failure(attempt_failure_from(error))
        if response.status == STATUS_OK:
            return result.Success(
                engine_stream.HttpTokenStream(
                    response, generation_id, offset, self.limits.event_bytes
                )
            )
        response.close()
        return result.Failure(error_status_failure(response))

    async def cancel(
        self, generation_id: ids.GenerationId, only_if_detached: bool = False
    ) -> None:
        """Stop a generation; see the base class."""
        query = "?only_if_detached=true" if only_if_detached else ""
        try:
            async with asyncio.timeout(self.limits.connect_timeout_s):
                response = await self.session.delete(
                    f"{self.url}/v1/generations/{generation_id}{query}"
                )
                response.release()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    async def load_report(
        self, timeout_s: float
    ) -> result.Result[base.LoadReport, base.AttemptFailure]:
        """Request the load report; see the base class."""
        response = await self.exchange("GET", "/load", None, timeout_s)
        return response.bind(decode_load)

    async def order(
        self, order: base.EngineOrder, timeout_s: float
    ) -> result.Result[None, base.AttemptFailure]:
        """Send an order; see the base class."""
        action = engine_messages.EngineOrderAction(
            order.verb.value, order.model, order.version, order.adapter, order.role
        )
        body = engine_messages.EngineOrderBody(
            order.fencing.term, order.fencing.index, action
        )
        response = await self.exchange(
            "POST", "/orders", msgspec.json.encode(body), timeout_s
        )
        return response.map(lambda data: None)

    async def state(
        self, timeout_s: float
    ) -> result.Result[base.EngineState, base.AttemptFailure]:
        """Request the engine's state; see the base class."""
        response = await self.exchange("GET", "/state", None, timeout_s)
        return response.bind(decode_state)

    async def exchange(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> result.Result[bytes, base.AttemptFailure]:
        """Send one control request and return the body of its response."""
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.session.request(
                    method, self.url + path, data=body, allow_redirects=False
                )
                data = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return result.Failure(attempt_failure_from(error))
        if response.status == STATUS_CONFLICT:
            return result.Failure(
                base.AttemptFailure(
                    base.AttemptEnd.REFUSED,
                    base.FailureKind.FENCED,
                    "the engine has seen a newer fencing number",
                )
            )
        if not response.ok:
            return result.Failure(error_status_failure(response))
        return result.Success(data)

    async def check_health(self, timeout_s: float) -> bool:
        """Return whether the server responds on a new connection."""
        return await http_client.responds_on_new_connection(
            f"{self.url}/health", self.limits, timeout_s
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def decode_load(
    data: bytes,
) -> result.Result[base.LoadReport, base.AttemptFailure]:
    """Decode an engine's load report."""
    try:
        load = decoding.decode_json(data, engine_messages.EngineLoad)
    except decoding.DecodingError as error:
        return malformed_response(error)
    return result.Success(
        base.LoadReport(
            load.running,
            load.waiting,
            load.tokens_held,
            load.memory_tokens,
            load.preemptions,
            load.age_s,
            load.prefill_tokens,
            load.step_s,
            tuple(ids.AdapterName(each) for each in load.adapters),
        )
    )


def decode_state(
    data: bytes,
) -> result.Result[base.EngineState, base.AttemptFailure]:
    """Decode an engine's state."""
    try:
        reply = decoding.decode_json(data, engine_messages.EngineStateReply)
    except decoding.DecodingError as error:
        return malformed_response(error)
    models = tuple(
        base.LoadedModel(
            ids.ModelName(each.name),
            ids.VersionName(each.version),
            each.ready,
            tuple(ids.AdapterName(name) for name in each.adapters),
        )
        for each in reply.models
    )
    fencing = base.FencingNumber(ids.Term(reply.term), ids.LogIndex(reply.index))
    return result.Success(base.EngineState(fencing, models, reply.role))


def malformed_response(error: Exception) -> result.Result:
    """Return the failure of a response that can't be decoded."""
    return result.Failure(
        base.AttemptFailure(
            base.AttemptEnd.RAN, base.FailureKind.MALFORMED, f"malformed: {error}"
        )
    )


def model_with_adapter(model: ids.ModelName, adapter: ids.AdapterName | None) -> str:
    """Return the model name, with the adapter if any, in the engines' format."""
    return model if adapter is None else f"{model}:{adapter}"


def merge_parameters(
    request: engine_messages.EngineRequest, parameters: dict[str, msgspec.Raw]
) -> bytes:
    """Return the request body with the caller's sampling parameters added."""
    body = msgspec.to_builtins(request)
    for name, value in parameters.items():
        body.setdefault(name, value)
    return msgspec.json.encode(body)


def attempt_failure_from(error: BaseException) -> base.AttemptFailure:
    """Return the failure of an attempt that raised an exception in the HTTP client.

    Only a failure to connect proves that no byte was sent. Every other error can occur
    after the server has read the request.
    """
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return base.AttemptFailure(
            base.AttemptEnd.NOT_SENT, base.FailureKind.UNREACHABLE, f"{error}"
        )
    kind = base.FailureKind.CLOSED
    if isinstance(error, TimeoutError):
        kind = base.FailureKind.SILENT
    if isinstance(error, aiohttp.ClientResponseError):
        # The bytes that have arrived are no HTTP response.
        kind = base.FailureKind.MALFORMED
    if isinstance(error, http_client.BodyTooLargeError):
        kind = base.FailureKind.TOO_LARGE
    if isinstance(error, held_bytes.NoRoomError):
        kind = base.FailureKind.NO_ROOM
    return base.AttemptFailure(base.AttemptEnd.MAY_HAVE_RUN, kind, f"{error!r}")


def error_status_failure(response: aiohttp.ClientResponse) -> base.AttemptFailure:
    """Return the failure of an attempt whose response has an error status."""
    status = response.status
    message = f"the backend server responded with {status}"
    retry_after_ms = parse_retry_after_ms(response)
    if status == STATUS_NOT_FOUND:
        kind = base.FailureKind.UNKNOWN_GENERATION
    elif status in (STATUS_TOO_MANY, STATUS_UNAVAILABLE):
        kind = base.FailureKind.OVERLOADED
    elif status >= STATUS_SERVER_ERROR:
        return base.AttemptFailure(
            base.AttemptEnd.MAY_HAVE_RUN, base.FailureKind.CLOSED, message
        )
    else:
        kind = base.FailureKind.REJECTED
    return base.AttemptFailure(base.AttemptEnd.REFUSED, kind, message, retry_after_ms)


def parse_retry_after_ms(response: aiohttp.ClientResponse) -> int | None:
    """Return the delay in a Retry-After header that gives seconds, not a date."""
    value = response.headers.get("Retry-After", "")
    seconds = ranges.parse_whole_number(value, int(ranges.MAX_DURATION_S))
    return None if seconds is None else seconds * MS_PER_S
