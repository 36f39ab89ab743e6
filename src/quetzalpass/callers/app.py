"""HTTP application for callers: routes, limits and error responses."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook
import msgspec
from aiohttp import web

from quetzalpass import ids
from quetzalpass.backends import held_bytes
from quetzalpass.callers import (
    completions,
    encoding,
    errors,
    handing_over,
    headers,
    services,
)
from quetzalpass.inbound import bodies, rules
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.membership import configuration
from quetzalpass.results import codes, failures
from quetzalpass.wire import server

LOG = logbook.Logger("callers")

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_NOT_ALLOWED = 405

Handler = Callable[
    [web.Request, ids.RequestId, bytes, configuration.Configuration],
    Awaitable[web.StreamResponse],
]


class CallersInterface:
    """HTTP interface for callers.

    Parameters
    ----------
    gateway : gateways.Gateway
        State that all requests of this gateway share.
    handover : handing_over.CallerHandover or None
        Way to other gateways; ``None`` if there is none.
    """

    def __init__(
        self,
        gateway: gateways.Gateway,
        handover: handing_over.CallerHandover | None = None,
    ) -> None:
        self.gateway = gateway
        self.handover = handover

    def application(self) -> web.Application:
        """Return the aiohttp application of the callers' listener."""
        app = web.Application(client_max_size=self.gateway.limits.body_bytes)
        app.middlewares.append(self.convert_http_errors)
        app.on_response_prepare.append(self.add_result_headers)
        router = app.router
        router.add_get("/healthz", self.handle_health)
        router.add_get("/readyz", self.handle_ready)
        router.add_get(
            "/v1/models", self.handle_models, expect_handler=self.handle_expect
        )
        for method, path, handler in self.served_routes():
            router.add_route(method, path, handler, expect_handler=self.handle_expect)
        return app

    def served_routes(self) -> tuple[tuple[str, str, handing_over.Handler], ...]:
        """Return the method, path and handler of what backend servers serve."""
        return (
            ("POST", "/v1/completions", self.handle_completion),
            ("POST", "/v1/chat/completions", self.handle_chat),
            ("*", "/services/{service}/{path:.*}", self.handle_service),
        )

    def add_peer_routes(self, app: web.Application) -> None:
        """Add the routes for requests of other gateways to the peers' application."""
        handover = self.handover
        assert handover is not None, "there is no way to other gateways"
        for method, path, handler in self.served_routes():
            app.router.add_route(
                method,
                handing_over.PATH + path,
                handover.guard(handler),
                expect_handler=handover.handle_offer,
            )

    @web.middleware
    async def convert_http_errors(
        self, request: web.Request, handler: Callable
    ) -> web.StreamResponse:
        """Convert HTTP errors that aiohttp raises to responses with a result code."""
        try:
            return await handler(request)
        except web.HTTPException as error:
            request_id = self.gateway.new_request_id()
            if error.status in (STATUS_NOT_FOUND, STATUS_NOT_ALLOWED):
                failure = failures.Failure(codes.Code.NOT_FOUND, "no such path")
            else:
                failure = failures.Failure(codes.Code.BAD_REQUEST, error.reason)
            return errors.error_response(failure, request_id)

    async def add_result_headers(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Add a result code derived from the status to a response that has none."""
        if errors.RESULT_HEADER in response.headers:
            return
        code = codes.Code.OK
        if response.status >= STATUS_BAD_REQUEST:
            code = codes.Code.BAD_REQUEST
        response.headers[errors.RESULT_HEADER] = str(code.value)
        response.headers[errors.REQUEST_ID_HEADER] = self.gateway.new_request_id()

    async def handle_expect(self, request: web.Request) -> web.Response | None:
        """Handle ``Expect: 100-continue``: ask for the body or reject the request."""
        headers.arrived_s(request)
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
        await server.send_continue(request)
        return None

    async def handle_health(self, request: web.Request) -> web.Response:
        """Report that the process is alive."""
        return web.Response(text="ok\n")

    async def handle_ready(self, request: web.Request) -> web.Response:
        """Report whether the load balancer should send requests to this VM."""
        failure = self.gateway.refusal()
        if failure is None:
            return web.Response(text="ready\n")
        return errors.error_response(failure, self.gateway.new_request_id())

    async def handle_completion(self, request: web.Request) -> web.StreamResponse:
        """Handle ``POST /v1/completions``."""
        return await self.run_handler(request, self.run_completion)

    async def handle_chat(self, request: web.Request) -> web.StreamResponse:
        """Handle ``POST /v1/chat/completions``."""
        return await self.run_handler(request, self.run_chat)

    async def handle_models(self, request: web.Request) -> web.StreamResponse:
        """Handle ``GET /v1/models``."""
        return await self.run_handler(request, self.list_models)

    async def handle_service(self, request: web.Request) -> web.StreamResponse:
        """Handle a call to a plain service."""
        return await self.run_handler(request, self.run_service_call)

    async def run_completion(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        body: bytes,
        config: configuration.Configuration,
    ) -> web.StreamResponse:
        """Run a text completion."""
        handler = completions.CompletionHandler(
            self.gateway, encoding.Endpoint.COMPLETION, request, request_id
        )
        return await handler.run(body, config)

    async def run_chat(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        body: bytes,
        config: configuration.Configuration,
    ) -> web.StreamResponse:
        """Run a chat completion."""
        handler = completions.CompletionHandler(
            self.gateway, encoding.Endpoint.CHAT, request, request_id
        )
        return await handler.run(body, config)

    async def list_models(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        body: bytes,
        config: configuration.Configuration,
    ) -> web.StreamResponse:
        """List the models, if the organisation's key is valid."""
        try:
            headers.read_organisation(request, config)
        except failures.FailureError as error:
            return errors.error_response(error.failure, request_id)
        return web.Response(
            body=msgspec.json.encode(services.model_list(config)),
            headers={
                errors.RESULT_HEADER: str(codes.Code.OK.value),
                errors.REQUEST_ID_HEADER: request_id,
            },
            content_type="application/json",
        )

    async def run_service_call(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        body: bytes,
        config: configuration.Configuration,
    ) -> web.StreamResponse:
        """Run a call to a plain service."""
        return await services.handle_service_call(
            self.gateway, request, request_id, body, config
        )

    async def run_handler(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Run the handler of a request, unless this VM accepts no requests now."""
        headers.arrived_s(request)
        is_handed = request.path.startswith(handing_over.PATH)
        request_id = self.gateway.new_request_id()
        if is_handed:
            handed_id = request.headers.get(handing_over.REQUEST_ID_HEADER, request_id)
            request_id = ids.RequestId(handed_id)
        failure = self.gateway.refusal()
        if failure is not None:
            if is_handed:
                return self.handover.refuse(failure.code, failure.message)
            return errors.error_response(failure, request_id)
        config = self.gateway.holder.current
        assert config is not None
        self.gateway.requests += 1
        try:
            headers.reject_repeated_headers(request)
            # The key is checked before the body is read: the body may be large, and
            # an unknown sender must not make the gateway receive it.
            headers.read_organisation(request, config)
            response = await self.respond_unless_interrupted(
                request, request_id, config, handler
            )
            self.count_result(request, response)
            return await self.send_response(request, response)
        except failures.FailureError as error:
            return errors.error_response(error.failure, request_id)
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception:
            LOG.exception("callers: Request {} failed: internal error.", request_id)
            if request.writer.output_size > 0:
                raise ConnectionError("the response was already being sent") from None
            failure = failures.Failure(codes.Code.INTERNAL, "an internal error")
            return errors.error_response(failure, request_id)
        finally:
            self.gateway.requests -= 1

    async def respond_unless_interrupted(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        config: configuration.Configuration,
        handler: Handler,
    ) -> web.StreamResponse:
        """Return the response, or one that says that this VM stops at once.

        Raises
        ------
        ConnectionError
            If the response had begun. The caller can resume a stream elsewhere.
        """
        is_received = False
        try:
            async with self.gateway.interruptions.interruptible() as interruption:
                body = await self.read_body(request)
                is_received = True
                return await self.respond(
                    request, request_id, body.data, config, handler
                )
        except TimeoutError:
            if not interruption.expired():
                raise
        LOG.warning("callers: The stop of this VM interrupts request {}.", request_id)
        if request.writer.output_size > 0:
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionError("the response was already being sent")
        failure = self.gateway.refusal()
        if is_received or failure is None:
            failure = failures.Failure(
                codes.Code.OUTCOME_UNKNOWN, "this VM stops at once"
            )
        return errors.error_response(failure, request_id)

    async def respond(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        body: bytes,
        config: configuration.Configuration,
        handler: Handler,
    ) -> web.StreamResponse:
        """Return the response of the handler, or of another gateway.

        Another gateway responds if no server can be reached from here and the request
        has not run.
        """
        handover = self.handover
        if handover is None:
            return await handler(request, request_id, body, config)
        lost = handover.reach_checks.reach.lost_since_s
        if lost and handover.is_lost(handover.target_of(request, body)):
            return await self.hand_over(request, request_id, body)
        response = await handler(request, request_id, body, config)
        failure = response.get(errors.FAILURE_KEY)
        if failure is None:
            return response
        left_s = handing_over.MAX_CHECK_S
        target = handover.target_of(request, body)
        if not await handover.check_after(target, failure, left_s):
            return response
        return await self.hand_over(request, request_id, body)

    async def hand_over(
        self, request: web.Request, request_id: ids.RequestId, body: bytes
    ) -> web.StreamResponse:
        """Let another gateway respond; give back what another one has handed over."""
        if request.path.startswith(handing_over.PATH):
            return self.handover.refuse(
                codes.Code.NO_SERVER_REACHED, "no server can be reached from here"
            )
        return await self.handover.forward(request, request_id, body)

    async def send_response(
        self, request: web.Request, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Send a response, or close the connection if the caller reads too slowly.

        The request counts as in progress until the response is sent, so that a
        graceful shutdown waits for it. A stream has already been sent.
        """
        try:
            async with asyncio.timeout(self.gateway.limits.slow_caller_s):
                await response.prepare(request)
                await response.write_eof()
        except TimeoutError:
            LOG.warning(
                "callers: Closed the connection of a caller that read too slowly."
            )
            if request.transport is not None:
                request.transport.abort()
        return response

    def count_result(self, request: web.Request, response: web.StreamResponse) -> None:
        """Count the result code of a response by organisation and priority class."""
        caller = request.get(headers.CALLER_HEADERS_KEY)
        if caller is None:
            return
        code = request.get(errors.FAILURE_CODE_KEY)
        if code is None:
            code = codes.Code(int(response.headers[errors.RESULT_HEADER]))
        self.gateway.recorder.count_result(
            caller.organisation.id, caller.priority_class.name, code
        )

    async def read_body(self, request: web.Request) -> held_bytes.HeldBody:
        """Return the complete request body.

        Raises
        ------
        failures.FailureError
            If the body is too large, incomplete or late, or if there is no room for it.
        """
        limits = self.gateway.limits
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                if (request.content_length or 0) > limits.body_bytes:
                    raise web.HTTPRequestEntityTooLarge(
                        limits.body_bytes, request.content_length or 0
                    )
                return await bodies.read_body(request, limits.body_bytes)
        except held_bytes.NoRoomError:
            raise failures.FailureError(rules.no_room_failure()) from None
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
