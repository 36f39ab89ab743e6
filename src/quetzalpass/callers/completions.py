"""Handlers of the OpenAI-compatible completion endpoints."""

import asyncio
import time

import logbook
from aiohttp import web
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.callers import bodies, encoding, errors, headers, streams
from quetzalpass.lifecycle import (
    claimed_generations,
    generations,
    hedging,
    requests,
    resumption,
)
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.membership import configuration
from quetzalpass.results import codes, failures

LOG = logbook.Logger("callers")


class CompletionHandler:
    """Handles one completion request.

    Attributes
    ----------
    endpoint : encoding.Endpoint
        Endpoint that received the request.
    request_id : RequestId
        Id of the request.
    model_name : str
        Model name as the caller sent it.
    include_usage : bool
        Whether the stream ends with the token counts.
    created : int
        Unix time of the request, in seconds.
    """

    def __init__(
        self,
        gateway: gateways.Gateway,
        endpoint: encoding.Endpoint,
        request: web.Request,
        request_id: ids.RequestId,
    ) -> None:
        self.gateway = gateway
        self.endpoint = endpoint
        self.request = request
        self.request_id = request_id
        self.model_name = ""
        self.include_usage = False
        self.created = int(time.time())

    async def run(self, body: bytes, config: configuration.Configuration):
        """Handle the request.

        Parameters
        ----------
        body : bytes
            Complete request body.
        config : configuration.Configuration
            Configuration under which the request runs.

        Returns
        -------
        web.StreamResponse
            The response. If it is a stream, it has already been sent.
        """
        created = self.create_generation(body, config)
        if isinstance(created, result.Failure):
            return errors.error_response(created.failure(), self.request_id)
        request = created.unwrap().request
        admitted = await self.gateway.limiter.admit(
            request.organisation, request.priority_class, request.deadline_s, streams=1
        )
        if isinstance(admitted, result.Failure):
            return errors.error_response(admitted.failure(), self.request_id)
        with admitted.unwrap():
            return await self.run_admitted(created.unwrap())

    async def run_admitted(
        self, generation: generations.Generation
    ) -> web.StreamResponse:
        """Run a generation that the organisation's limits admit."""
        opened = await hedging.open_generation(generation)
        if isinstance(opened, result.Failure):
            return errors.error_response(opened.failure(), self.request_id)
        generation = opened.unwrap()
        if generation.request.delivery is requests.Delivery.WHOLE:
            return await self.whole_response(generation)
        return await self.stream_response(generation)

    def create_generation(
        self, data: bytes, config: configuration.Configuration
    ) -> result.Result[generations.Generation, failures.Failure]:
        """Validate the request and return its generation, which hasn't started."""
        decoded = bodies.decode_body(data, self.endpoint is encoding.Endpoint.CHAT)
        if isinstance(decoded, result.Failure):
            return decoded
        body = decoded.unwrap()
        chosen = bodies.find_model(body.model, config)
        if isinstance(chosen, result.Failure):
            return chosen
        model = config.models[chosen.unwrap().name]
        checked_headers = headers.read_headers(
            self.request, config, model.default_class
        )
        if isinstance(checked_headers, result.Failure):
            return checked_headers
        caller = checked_headers.unwrap()
        self.model_name = body.model
        options = body.stream_options
        self.include_usage = options is not None and options.include_usage
        delivery = caller.delivery
        if delivery is None:
            delivery = requests.Delivery.WHOLE
            if body.stream:
                delivery = requests.Delivery.STREAM
        request = requests.GenerationRequest(
            request_id=self.request_id,
            organisation=caller.organisation,
            priority_class=caller.priority_class,
            model=model,
            adapter=chosen.unwrap().adapter,
            prompt=None if self.endpoint is encoding.Endpoint.CHAT else body.prompt,
            messages=body.chat_messages(),
            max_tokens=min(body.requested_tokens(), model.context_tokens),
            delivery=delivery,
            deadline_s=caller.deadline_s,
            parameters=bodies.sampling_parameters(data),
            idempotency_key=caller.idempotency_key if caller.non_idempotent else None,
            configuration=config,
        )
        if caller.last_event is not None:
            return resumption.create_resumed_generation(
                self.gateway,
                request,
                caller.last_event.generation_id,
                caller.last_event.server_id,
                caller.last_event.offset + 1,
            )
        if caller.non_idempotent:
            return claimed_generations.create_claimed_generation(self.gateway, request)
        return result.Success(generations.Generation(self.gateway, request))

    async def whole_response(self, generation: generations.Generation) -> web.Response:
        """Run a generation to its end and return it in one response."""
        finish_reason = None
        try:
            while True:
                received = await generation.next_batch()
                if isinstance(received, result.Failure):
                    return errors.error_response(received.failure(), self.request_id)
                batch = received.unwrap()
                finish_reason = batch.finish_reason or finish_reason
                if batch.ended:
                    break
        except asyncio.CancelledError:
            self.gateway.spawn(generation.cancel())
            raise
        data = encoding.encode_response(
            self.endpoint,
            generation.id,
            self.model_name,
            self.created,
            "".join(generation.tokens),
            finish_reason,
            self.usage(generation),
        )
        return web.Response(
            body=data,
            headers=self.response_headers(generation),
            content_type="application/json",
        )

    def usage(self, generation: generations.Generation) -> encoding.Usage:
        """Return the token counts of a generation."""
        prompt = generation.request.prompt_text()
        return encoding.create_usage(
            requests.estimate_prompt_tokens(prompt), generation.next_offset()
        )

    def response_headers(self, generation: generations.Generation) -> dict[str, str]:
        """Return the headers of a successful response."""
        return {
            errors.RESULT_HEADER: str(generation.code.value),
            errors.REQUEST_ID_HEADER: self.request_id,
            errors.GENERATION_ID_HEADER: generation.id,
        }

    async def stream_response(
        self, generation: generations.Generation
    ) -> web.StreamResponse:
        """Stream the generation as server-sent events.

        The headers are sent only after the first tokens have arrived, so that a request
        that fails earlier still gets an error status.
        """
        sink = streams.CallerSink(
            self.request, generation, self.create_encoder, self.gateway.limits
        )
        try:
            forwarded = await sink.wait_for_first_batch()
            if isinstance(forwarded, result.Failure):
                return errors.error_response(forwarded.failure(), self.request_id)
            response = web.StreamResponse(
                headers={
                    **self.response_headers(generation),
                    "Content-Type": "text/event-stream; charset=utf-8",
                    "Cache-Control": "no-store",
                }
            )
            await response.prepare(self.request)
            # Only the first event is written through the response object, which sends
            # the headers with it.
            await response.write(sink.start_writing())
            await self.write_events(generation, response, sink)
        except (asyncio.CancelledError, ConnectionError):
            LOG.info("callers: Caller of {} has disconnected.", self.request_id)
            generation.detach()
            raise
        except Exception:
            generation.detach()
            raise
        return response

    def create_encoder(
        self, generation: generations.Generation
    ) -> encoding.StreamEncoder:
        """Return an encoder for tokens from the generation's current server."""
        assert generation.server_id is not None
        return encoding.StreamEncoder(
            self.endpoint,
            generation.id,
            generation.server_id,
            self.model_name,
            self.created,
        )

    async def write_events(
        self,
        generation: generations.Generation,
        response: web.StreamResponse,
        sink: streams.CallerSink,
    ) -> None:
        """Write the events of a generation until it ends or fails."""
        while not sink.ended:
            forwarded = await sink.forward()
            if isinstance(forwarded, result.Failure):
                await self.write_failure(response, forwarded.failure())
                return
            if forwarded.unwrap() is base.ForwardEnd.PAUSED:
                drained = await sink.wait_until_drained()
                if not drained:
                    await self.abort_slow_caller(generation, sink)
                    return
        try:
            async with asyncio.timeout(self.gateway.limits.slow_caller_s):
                await self.write_end(generation, response)
        except TimeoutError:
            await self.abort_slow_caller(generation, sink)

    async def abort_slow_caller(
        self, generation: generations.Generation, sink: streams.CallerSink
    ) -> None:
        """Close a connection that is read too slowly and cancel its generation."""
        LOG.warning("callers: Caller of {} reads too slowly.", self.request_id)
        self.request[errors.FAILURE_CODE_KEY] = codes.Code.CALLER_TOO_SLOW
        sink.abort()
        await generation.cancel()

    async def write_end(
        self, generation: generations.Generation, response: web.StreamResponse
    ) -> None:
        """Write the token counts, if the caller asked for them, and the end mark."""
        ending = encoding.END_MARK
        if self.include_usage:
            ending = (
                self.create_encoder(generation).encode_usage(self.usage(generation))
                + ending
            )
        await response.write(ending)
        await response.write_eof()

    async def write_failure(
        self, response: web.StreamResponse, failure: failures.Failure
    ) -> None:
        """Write an error event that says why the stream ends without its end mark."""
        LOG.warning("callers: Request {} failed: {}.", self.request_id, failure.message)
        self.request[errors.FAILURE_CODE_KEY] = failure.code
        await response.write(encoding.error_event(errors.error_body(failure)))
        await response.write_eof()
