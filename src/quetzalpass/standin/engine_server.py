"""HTTP interface of the stand-in engine."""

import asyncio
from collections.abc import Callable

import logbook
import msgspec
from aiohttp import web

from quetzalpass import ids
from quetzalpass.standin import (
    batch,
    engine_streams,
    faults,
    generations,
    messages,
    settings,
    text,
    weights,
)

LOG = logbook.Logger("standin")

START_FAULTS = frozenset(
    {
        faults.FaultKind.CLOSE_BEFORE_ANSWER,
        faults.FaultKind.REFUSE,
        faults.FaultKind.HANG,
        faults.FaultKind.CRASH,
    }
)
RESUME_FAULTS = frozenset({faults.FaultKind.RESUME_EARLY, faults.FaultKind.RESUME_LATE})
SWEEP_INTERVAL_S = 1.0
HANG_DURATION_S = 3600.0


class EngineServer:
    """A stand-in model engine.

    Parameters
    ----------
    config : settings.StandinSettings
        Size and speed.
    crash : callable
        Called when a crash fault is triggered.

    Attributes
    ----------
    batch : batch.BatchRunner
        Runs the engine model, which generates the tokens.
    running : dict of GenerationId to RunningGeneration
        Generations that are queued, in the batch, or finished but not yet dropped.
    started : list of GenerationId
        All generations that were ever started here, for tests and benchmarks.
    orders : list of messages.Order
        Accepted orders.
    """

    def __init__(
        self, config: settings.StandinSettings, crash: Callable[[], None]
    ) -> None:
        self.config = config
        self.crash = crash
        self.plan = faults.FaultPlan()
        self.running: dict[ids.GenerationId, generations.RunningGeneration] = {}
        self.started: list[ids.GenerationId] = []
        self.orders: list[messages.Order] = []
        self.weights = weights.Weights(config)
        self.fencing_term = 0
        self.fencing_index = 0
        self.batch = batch.BatchRunner(config)
        self.tasks: list[asyncio.Task[None]] = []

    def application(self) -> web.Application:
        """Return the aiohttp application that serves this engine."""
        app = web.Application(client_max_size=8_000_000)
        app.router.add_post("/v1/completions", self.handle_start)
        app.router.add_post("/v1/chat/completions", self.handle_start)
        app.router.add_get("/v1/generations/{id}", self.handle_resume)
        app.router.add_delete("/v1/generations/{id}", self.handle_cancel)
        app.router.add_get("/health", self.handle_health)
        app.router.add_get("/load", self.handle_load)
        app.router.add_get("/cache_events", self.handle_cache_events)
        app.router.add_post("/orders", self.handle_order)
        app.router.add_get("/orders", self.handle_orders)
        app.router.add_get("/state", self.handle_state)
        app.router.add_post("/faults", self.handle_fault)
        app.on_startup.append(self.start_tasks)
        app.on_cleanup.append(self.stop_tasks)
        return app

    async def start_tasks(self, app: web.Application) -> None:
        """Start the tasks that generate tokens and drop unread generations."""
        self.tasks = [
            asyncio.create_task(self.batch.run()),
            asyncio.create_task(self.sweep()),
        ]

    async def stop_tasks(self, app: web.Application) -> None:
        """Stop the tasks."""
        for task in self.tasks:
            task.cancel()

    async def sweep(self) -> None:
        """Drop abandoned generations at regular intervals."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.drop_detached(loop.time())

    def drop_detached(self, now_s: float) -> None:
        """Drop generations that had no reader for longer than ``detached_s``."""
        oldest_s = now_s - self.config.detached_s
        for generation in list(self.running.values()):
            detached_at_s = generation.detached_at_s
            if detached_at_s is not None and detached_at_s < oldest_s:
                self.drop(generation)

    def drop(self, generation: generations.RunningGeneration) -> None:
        """Stop a generation and delete it."""
        del self.running[generation.id]
        self.batch.cancel(generation.id)

    async def handle_start(self, request: web.Request) -> web.StreamResponse:
        """Start a generation, or continue one after the tokens in the request."""
        body = await request.read()
        try:
            completion = msgspec.json.decode(body, type=messages.Request)
        except msgspec.MsgspecError as error:
            return web.json_response({"error": str(error)}, status=400)
        now_s = asyncio.get_running_loop().time()
        if not self.weights.is_ready(completion.model, now_s):
            return web.json_response({"error": "model not loaded"}, status=404)
        prompt = completion.prompt_text()
        fault_response = await self.inject_start_fault(request, prompt)
        if fault_response is not None:
            return fault_response
        start_offset = len(completion.tokens_so_far)
        if not self.matches_output(prompt, completion.tokens_so_far):
            return web.json_response({"error": "tokens do not match"}, status=409)
        generation = generations.RunningGeneration(
            ids.GenerationId(completion.generation_id),
            prompt,
            completion.max_tokens,
            start_offset,
        )
        adapter = ids.AdapterName(completion.model.partition(":")[2]) or None
        if not self.batch.submit(generation, completion.priority, adapter):
            return web.json_response({"error": "larger than the memory"}, status=400)
        self.running[generation.id] = generation
        self.started.append(generation.id)
        writer = engine_streams.StreamWriter(self, generation, start_offset)
        return await writer.run(request)

    def matches_output(self, prompt: str, tokens: tuple[str, ...]) -> bool:
        """Return whether tokens are the beginning of this prompt's output."""
        tag = text.prompt_tag(prompt)
        return all(
            token == text.token_text(tag, offset) for offset, token in enumerate(tokens)
        )

    async def inject_start_fault(
        self, request: web.Request, prompt: str
    ) -> web.Response | None:
        """Trigger a pending fault before the first token is generated."""
        fault = self.plan.consume(START_FAULTS, prompt)
        if fault is None:
            return None
        if fault.kind is faults.FaultKind.REFUSE:
            return web.json_response(
                {"error": "overloaded"}, status=503, headers={"Retry-After": "1"}
            )
        if fault.kind is faults.FaultKind.CRASH:
            self.crash()
        if fault.kind is faults.FaultKind.HANG:
            await asyncio.sleep(HANG_DURATION_S)
        assert request.transport is not None
        request.transport.abort()
        return web.Response(status=500)

    async def handle_resume(self, request: web.Request) -> web.StreamResponse:
        """Open a new stream of a running generation from an offset on."""
        generation_id = ids.GenerationId(request.match_info["id"])
        generation = self.running.get(generation_id)
        if generation is None:
            return web.json_response({"error": "unknown generation"}, status=404)
        offset = int(request.query.get("offset", "0"))
        fault = self.plan.consume(RESUME_FAULTS, generation.prompt)
        if fault is not None:
            early = fault.kind is faults.FaultKind.RESUME_EARLY
            offset = max(0, offset - 1) if early else offset + 1
        writer = engine_streams.StreamWriter(self, generation, offset)
        return await writer.run(request)

    async def handle_cancel(self, request: web.Request) -> web.Response:
        """Stop a generation; optionally only if it has no reader."""
        generation = self.running.get(ids.GenerationId(request.match_info["id"]))
        only_if_detached = request.query.get("only_if_detached") == "true"
        if generation is None:
            return web.Response(status=204)
        if only_if_detached and generation.detached_at_s is None:
            return web.Response(status=409)
        self.drop(generation)
        generation.attach()
        return web.Response(status=204)

    async def handle_health(self, request: web.Request) -> web.Response:
        """Report that the engine is alive."""
        return web.Response(text="ok")

    async def handle_load(self, request: web.Request) -> web.Response:
        """Return the latest published load report."""
        now_s = asyncio.get_running_loop().time()
        report = self.batch.load_report(now_s)
        if report is None:
            reply = messages.LoadReply(0, 0, 0, self.config.memory_tokens, 0, 0.0)
            return encode_response(reply)
        reply = messages.LoadReply(
            running=report.running,
            waiting=report.waiting,
            tokens_held=report.held_blocks * report.block_tokens,
            memory_tokens=report.memory_blocks * report.block_tokens,
            preemptions=report.preemptions,
            age_s=now_s - report.taken_at_s,
            prefill_tokens=report.prefill_tokens,
            step_s=report.step_s,
            adapters=report.adapters,
        )
        return encode_response(reply)

    async def handle_cache_events(self, request: web.Request) -> web.Response:
        """Return the prefix cache events after a sequence number."""
        now_s = asyncio.get_running_loop().time()
        after = request.query.get("after", "0")
        if not after.isascii() or not after.isdigit():
            return web.json_response({"error": "after is no number"}, status=400)
        events = self.batch.cache_events(now_s, int(after))
        return encode_response(messages.CacheEventsReply(events))

    async def handle_order(self, request: web.Request) -> web.Response:
        """Accept an order unless its fencing number is checked and outdated."""
        order = msgspec.json.decode(await request.read(), type=messages.Order)
        number = (order.term, order.index)
        newest = (self.fencing_term, self.fencing_index)
        if self.config.checks_fencing and number < newest:
            return web.json_response({"error": "fenced"}, status=409)
        self.fencing_term, self.fencing_index = max(number, newest)
        self.orders.append(order)
        self.weights.apply_order(order.action, asyncio.get_running_loop().time())
        return web.Response(status=202)

    async def handle_state(self, request: web.Request) -> web.Response:
        """Return the loaded models and the highest fencing number."""
        now_s = asyncio.get_running_loop().time()
        reply = messages.StateReply(
            self.fencing_term,
            self.fencing_index,
            self.weights.loaded_models(now_s),
            self.weights.role,
        )
        return encode_response(reply)

    async def handle_orders(self, request: web.Request) -> web.Response:
        """Return the accepted orders, so that a new leader can read them."""
        reply = messages.OrdersReply(
            self.fencing_term, self.fencing_index, tuple(self.orders)
        )
        return encode_response(reply)

    async def handle_fault(self, request: web.Request) -> web.Response:
        """Enable a fault."""
        self.plan.add(msgspec.json.decode(await request.read(), type=faults.Fault))
        return web.Response(status=204)


def encode_response(value: msgspec.Struct) -> web.Response:
    """Encode a struct as a JSON response."""
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
