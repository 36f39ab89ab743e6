"""Handlers of the OpenAI-compatible completions interface."""

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


class Exchange:
    """One caller's request for a generation and its answer.

    Attributes
    ----------
    shape : encoding.Shape
        Which of the two interfaces it came by.
    request_id : RequestId
        Id of the request.
    model_name : str
        Model as the caller named it.
    include_usage : bool
        Whether the stream ends with the token counts.
    created : int
        Unix time of the request, in seconds.
    """

    def __init__(
        self,
        gateway: gateways.Gateway,
        shape: encoding.Shape,
        request: web.Request,
        request_id: ids.RequestId,
    ) -> None:
        self.gateway = gateway
        self.shape = shape
        self.request = request
        self.request_id = request_id
        self.model_name = ""
        self.include_usage = False
        self.created = int(time.time())

    async def run(self, body: bytes, at: configuration.Configuration):
        """Answer the request.

        Parameters
        ----------
        body : bytes
            Whole request body.
        at : configuration.Configuration
            The revision that decides this request.

        Returns
        -------
        web.StreamResponse
            The answer, which has been sent if it is a stream.
        """
        checked = self.check(body, at)
        if isinstance(checked, result.Failure):
            return errors.error_response(checked.failure(), self.request_id)
        request = checked.unwrap().request
        admitted = await self.gateway.limiter.admit(
            request.organisation, request.priority_class, request.deadline_s, streams=1
        )
        if isinstance(admitted, result.Failure):
            return errors.error_response(admitted.failure(), self.request_id)
        with admitted.unwrap():
            return await self.run_admitted(checked.unwrap())

    async def run_admitted(
        self, generation: generations.Generation
    ) -> web.StreamResponse:
        """Run a generation that the limits admit, and answer it."""
        opened = await hedging.open_generation(generation)
        if isinstance(opened, result.Failure):
            return errors.error_response(opened.failure(), self.request_id)
        generation = opened.unwrap()
        if generation.request.delivery is requests.Delivery.WHOLE:
            return await self.answer_whole(generation)
        return await self.answer_stream(generation)

    def check(
        self, data: bytes, at: configuration.Configuration
    ) -> result.Result[generations.Generation, failures.Failure]:
        """Return the generation that a request asks for."""
        decoded = bodies.decode_body(data, self.shape is encoding.Shape.CHAT)
        if isinstance(decoded, result.Failure):
            return decoded
        body = decoded.unwrap()
        chosen = bodies.find_model(body.model, at)
        if isinstance(chosen, result.Failure):
            return chosen
        model = at.models[chosen.unwrap().name]
        read = headers.read_headers(self.request, at, model.default_class)
        if isinstance(read, result.Failure):
            return read
        caller = read.unwrap()
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
            prompt=None if self.shape is encoding.Shape.CHAT else body.prompt,
            messages=body.chat_messages(),
            max_tokens=min(body.wanted_tokens(), model.context_tokens),
            delivery=delivery,
            deadline_s=caller.deadline_s,
            parameters=bodies.passed_parameters(data),
            idempotency_key=caller.idempotency_key if caller.non_idempotent else None,
            configuration=at,
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

    async def answer_whole(self, generation: generations.Generation) -> web.Response:
        """Collect the whole generation, then send it."""
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
        answer = encoding.whole_answer(
            self.shape,
            generation.id,
            self.model_name,
            self.created,
            "".join(generation.tokens),
            finish_reason,
            self.usage(generation),
        )
        return web.Response(
            body=answer,
            headers=self.answer_headers(generation),
            content_type="application/json",
        )

    def usage(self, generation: generations.Generation) -> encoding.Usage:
        """Return the token counts of a generation."""
        prompt = generation.request.prompt_text()
        return encoding.usage_of(
            requests.estimate_prompt_tokens(prompt), generation.next_offset()
        )

    def answer_headers(self, generation: generations.Generation) -> dict[str, str]:
        """Return the headers of a successful answer."""
        return {
            errors.RESULT_HEADER: str(generation.code.value),
            errors.REQUEST_ID_HEADER: self.request_id,
            errors.GENERATION_ID_HEADER: generation.id,
        }

    async def answer_stream(
        self, generation: generations.Generation
    ) -> web.StreamResponse:
        """Stream the generation as server-sent events.

        The first tokens are awaited before the headers go out, so that a request that
        fails before them still gets an error status.
        """
        sink = streams.CallerSink(
            self.request, generation, self.encoder, self.gateway.limits
        )
        try:
            first = await sink.wait_for_first()
            if isinstance(first, result.Failure):
                return errors.error_response(first.failure(), self.request_id)
            response = web.StreamResponse(
                headers={
                    **self.answer_headers(generation),
                    "Content-Type": "text/event-stream; charset=utf-8",
                    "Cache-Control": "no-store",
                }
            )
            await response.prepare(self.request)
            # Only the first event goes through the response, which sends its headers.
            await response.write(sink.first_event())
            await self.write_events(generation, response, sink)
        except (asyncio.CancelledError, ConnectionError):
            LOG.info("callers: Caller of {} has gone.", self.request_id)
            generation.detach()
            raise
        except Exception:
            generation.detach()
            raise
        return response

    def encoder(self, generation: generations.Generation) -> encoding.StreamEncoder:
        """Return the encoder for tokens from the generation's present server."""
        assert generation.server_id is not None
        return encoding.StreamEncoder(
            self.shape,
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
        """Write the events of a generation until its end."""
        while not sink.ended:
            forwarded = await sink.forward()
            if isinstance(forwarded, result.Failure):
                await self.write_failure(response, forwarded.failure())
                return
            if forwarded.unwrap() is base.ForwardEnd.PAUSED:
                read = await sink.wait_until_read()
                if not read:
                    await self.cut(generation, sink)
                    return
        try:
            async with asyncio.timeout(self.gateway.limits.slow_caller_s):
                await self.write_end(generation, response)
        except TimeoutError:
            await self.cut(generation, sink)

    async def cut(
        self, generation: generations.Generation, sink: streams.CallerSink
    ) -> None:
        """Close the connection of a caller that does not read."""
        LOG.warning("callers: Caller of {} reads too slowly.", self.request_id)
        self.request[errors.FAILED_KEY] = codes.Code.CALLER_TOO_SLOW
        sink.cut()
        await generation.cancel()

    async def write_end(
        self, generation: generations.Generation, response: web.StreamResponse
    ) -> None:
        """Write the token counts, if wanted, and the end mark."""
        tail = encoding.END_MARK
        if self.include_usage:
            tail = self.encoder(generation).usage(self.usage(generation)) + tail
        await response.write(tail)
        await response.write_eof()

    async def write_failure(
        self, response: web.StreamResponse, failure: failures.Failure
    ) -> None:
        """Tell the caller inside the stream why it ends without its end mark."""
        LOG.warning("callers: Request {} failed: {}.", self.request_id, failure.message)
        self.request[errors.FAILED_KEY] = failure.code
        await response.write(encoding.failure_event(errors.error_answer(failure)))
        await response.write_eof()
