"""The callers' listener: routes, caps, and answers to what goes wrong."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook
import msgspec
from aiohttp import web

from quetzalpass import ids
from quetzalpass.callers import completions, encoding, errors, headers, services
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.membership import configuration
from quetzalpass.results import codes, failures

LOG = logbook.Logger("callers")

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_NOT_ALLOWED = 405

Answer = Callable[
    [web.Request, ids.RequestId, bytes, configuration.Configuration],
    Awaitable[web.StreamResponse],
]


class CallersInterface:
    """HTTP interface towards callers.

    Parameters
    ----------
    gateway : gateways.Gateway
        Shared parts of this gateway.
    """

    def __init__(self, gateway: gateways.Gateway) -> None:
        self.gateway = gateway

    def application(self) -> web.Application:
        """Return the aiohttp application of the callers' listener."""
        app = web.Application(client_max_size=self.gateway.limits.body_bytes)
        app.middlewares.append(self.number_unknown_paths)
        app.on_response_prepare.append(self.number_answer)
        router = app.router
        router.add_get("/healthz", self.handle_health)
        router.add_get("/readyz", self.handle_ready)
        routes = (
            ("POST", "/v1/completions", self.handle_completion),
            ("POST", "/v1/chat/completions", self.handle_chat),
            ("GET", "/v1/models", self.handle_models),
            ("*", "/services/{service}/{path:.*}", self.handle_service),
        )
        for method, path, handler in routes:
            router.add_route(method, path, handler, expect_handler=self.handle_expect)
        return app

    @web.middleware
    async def number_unknown_paths(
        self, request: web.Request, handler: Callable
    ) -> web.StreamResponse:
        """Give answers that aiohttp makes by itself a numbered code."""
        try:
            return await handler(request)
        except web.HTTPException as error:
            request_id = self.gateway.new_request_id()
            if error.status in (STATUS_NOT_FOUND, STATUS_NOT_ALLOWED):
                failure = failures.Failure(codes.Code.NOT_FOUND, "no such path")
            else:
                failure = failures.Failure(codes.Code.BAD_REQUEST, error.reason)
            return errors.error_response(failure, request_id)

    async def number_answer(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Give an answer that has no result code the one of its status."""
        if errors.RESULT_HEADER in response.headers:
            return
        code = codes.Code.OK
        if response.status >= STATUS_BAD_REQUEST:
            code = codes.Code.BAD_REQUEST
        response.headers[errors.RESULT_HEADER] = str(code.value)
        response.headers[errors.REQUEST_ID_HEADER] = self.gateway.new_request_id()

    async def handle_expect(self, request: web.Request) -> web.Response | None:
        """Ask for the body of a request that waits for it, or refuse it at once."""
        request_id = self.gateway.new_request_id()
        failure = self.gateway.refusal()
        if request.headers["Expect"].lower() != "100-continue":
            failure = failures.Failure(
                codes.Code.BAD_HEADER, "Expect must be 100-continue"
            )
        limit = self.gateway.limits.body_bytes
        if (request.content_length or 0) > limit:
            failure = failures.Failure(
                codes.Code.BODY_TOO_LARGE, f"the body is larger than {limit} bytes"
            )
        if failure is not None:
            response = errors.error_response(failure, request_id)
            response.force_close()
            return response
        assert request.transport is not None
        request.transport.write(CONTINUE)
        return None

    async def handle_health(self, request: web.Request) -> web.Response:
        """Answer that the process is alive."""
        return web.Response(text="ok\n")

    async def handle_ready(self, request: web.Request) -> web.Response:
        """Answer whether the balancer should send requests here."""
        failure = self.gateway.refusal()
        if failure is None:
            return web.Response(text="ready\n")
        return errors.error_response(failure, self.gateway.new_request_id())

    async def handle_completion(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/completions``."""
        return await self.admit(request, self.answer_completion)

    async def handle_chat(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/chat/completions``."""
        return await self.admit(request, self.answer_chat)

    async def handle_models(self, request: web.Request) -> web.StreamResponse:
        """Answer ``GET /v1/models``."""
        return await self.admit(request, self.answer_models)

    async def handle_service(self, request: web.Request) -> web.StreamResponse:
        """Answer calls of plain services."""
        return await self.admit(request, self.answer_service)

    async def answer_completion(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        body: bytes,
        at: configuration.Configuration,
    ) -> web.StreamResponse:
        """Run a plain completion."""
        exchange = completions.Exchange(
            self.gateway, encoding.Shape.COMPLETION, request, request_id
        )
        return await exchange.run(body, at)

    async def answer_chat(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        body: bytes,
        at: configuration.Configuration,
    ) -> web.StreamResponse:
        """Run a chat completion."""
        exchange = completions.Exchange(
            self.gateway, encoding.Shape.CHAT, request, request_id
        )
        return await exchange.run(body, at)

    async def answer_models(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        body: bytes,
        at: configuration.Configuration,
    ) -> web.StreamResponse:
        """List the models to an organisation that is known."""
        try:
            headers.read_organisation(request, at)
        except failures.FailureError as error:
            return errors.error_response(error.failure, request_id)
        return web.Response(
            body=msgspec.json.encode(services.model_list(at)),
            headers={
                errors.RESULT_HEADER: str(codes.Code.OK.value),
                errors.REQUEST_ID_HEADER: request_id,
            },
            content_type="application/json",
        )

    async def answer_service(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        body: bytes,
        at: configuration.Configuration,
    ) -> web.StreamResponse:
        """Run a call of a plain service."""
        return await services.answer_service_call(
            self.gateway, request, request_id, body, at
        )

    async def admit(self, request: web.Request, answer: Answer) -> web.StreamResponse:
        """Answer a request unless this VM takes none at present."""
        request_id = self.gateway.new_request_id()
        failure = self.gateway.refusal()
        if failure is not None:
            return errors.error_response(failure, request_id)
        at = self.gateway.holder.current
        assert at is not None
        self.gateway.requests += 1
        try:
            headers.check_repeats(request)
            # Before the body is read: it may be large, and its sender unknown.
            headers.read_organisation(request, at)
            body = await self.read_body(request)
            response = await answer(request, request_id, body, at)
            self.count_result(request, response)
            return await self.send(request, response)
        except failures.FailureError as error:
            return errors.error_response(error.failure, request_id)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception:
            LOG.exception("callers: Request {} met an internal error.", request_id)
            if request.writer.output_size > 0:
                raise ConnectionError("the answer had begun before the error") from None
            failure = failures.Failure(codes.Code.INTERNAL, "an internal error")
            return errors.error_response(failure, request_id)
        finally:
            self.gateway.requests -= 1

    async def send(
        self, request: web.Request, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Send an answer that is not a stream, to a caller that reads in time.

        The request counts as under way until then, so that a drain waits for it.
        """
        try:
            async with asyncio.timeout(self.gateway.limits.slow_caller_s):
                await response.prepare(request)
                await response.write_eof()
        except TimeoutError:
            LOG.warning("callers: Cut a caller that does not read its answer.")
            if request.transport is not None:
                request.transport.abort()
        return response

    def count_result(self, request: web.Request, response: web.StreamResponse) -> None:
        """Count the result code of an answer for its organisation and class."""
        caller = request.get(headers.CALLER_KEY)
        if caller is None:
            return
        code = request.get(errors.FAILED_KEY)
        if code is None:
            code = codes.Code(int(response.headers[errors.RESULT_HEADER]))
        self.gateway.recorder.count_result(
            caller.organisation.id, caller.priority_class.name, code
        )

    async def read_body(self, request: web.Request) -> bytes:
        """Return the whole body.

        Raises
        ------
        failures.FailureError
            If it is too large, incomplete or late.
        """
        limits = self.gateway.limits
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                if (request.content_length or 0) > limits.body_bytes:
                    raise web.HTTPRequestEntityTooLarge(
                        limits.body_bytes, request.content_length or 0
                    )
                return await request.read()
        except web.HTTPRequestEntityTooLarge:
            raise failures.FailureError(
                failures.Failure(
                    codes.Code.BODY_TOO_LARGE,
                    f"the body is larger than {limits.body_bytes} bytes",
                )
            ) from None
        except (TimeoutError, web.RequestPayloadError):
            raise failures.FailureError(
                failures.Failure(
                    codes.Code.BODY_INCOMPLETE, "the body did not arrive whole"
                )
            ) from None
