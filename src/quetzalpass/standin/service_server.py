"""A stand-in plain service that counts how often each call has run."""

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web

from quetzalpass.standin import engine_server, faults, messages, settings

CALL_FAULTS = frozenset(
    {
        faults.FaultKind.CLOSE_BEFORE_ANSWER,
        faults.FaultKind.CLOSE_AFTER_RUN,
        faults.FaultKind.REFUSE,
        faults.FaultKind.HANG,
        faults.FaultKind.CRASH,
        faults.FaultKind.ERROR,
    }
)
HANG_DURATION_S = 3600.0
NO_KEY = "-"


class ServiceServer:
    """A stand-in plain service.

    Attributes
    ----------
    runs : dict of str to int
        Number of times that a call has run, by idempotency key.
    """

    def __init__(
        self, config: settings.StandinSettings, crash: Callable[[], None]
    ) -> None:
        self.config = config
        self.crash = crash
        self.plan = faults.FaultPlan()
        self.runs: dict[str, int] = {}
        self.sequence = 0

    def application(self) -> web.Application:
        """Return the aiohttp application that serves this service."""
        app = web.Application(client_max_size=8_000_000)
        app.router.add_get("/health", self.handle_health)
        app.router.add_post("/faults", self.handle_fault)
        app.router.add_get("/runs/{key}", self.handle_runs)
        app.router.add_route("*", "/{path:.*}", self.handle_call)
        return app

    async def handle_health(self, request: web.Request) -> web.Response:
        """Report that the service is alive."""
        return web.Response(text="ok")

    async def handle_fault(self, request: web.Request) -> web.Response:
        """Enable a fault."""
        self.plan.add(msgspec.json.decode(await request.read(), type=faults.Fault))
        return web.Response(status=204)

    async def handle_runs(self, request: web.Request) -> web.Response:
        """Return how often the call with a key has run; 404 if it never did."""
        key = request.match_info["key"]
        runs = self.runs.get(key, 0)
        if runs == 0:
            return web.json_response({"error": "never ran"}, status=404)
        return engine_server.encode_response(
            messages.RunReply(key, runs, self.sequence)
        )

    async def handle_call(self, request: web.Request) -> web.StreamResponse:
        """Run a call, unless a fault prevents it."""
        body = await request.text()
        key = request.headers.get("Idempotency-Key", NO_KEY)
        fault = self.plan.consume(CALL_FAULTS, body)
        if fault is None:
            return self.run_call(key)
        if fault.kind is faults.FaultKind.REFUSE:
            return web.json_response(
                {"error": "busy"},
                status=503,
                headers={"Retry-After": "1", "Quetzalpass-Not-Run": "true"},
            )
        if fault.kind is faults.FaultKind.ERROR:
            return web.json_response({"error": "internal error"}, status=500)
        if fault.kind is faults.FaultKind.CLOSE_AFTER_RUN:
            self.run_call(key)
        if fault.kind is faults.FaultKind.CRASH:
            self.crash()
        if fault.kind is faults.FaultKind.HANG:
            await asyncio.sleep(HANG_DURATION_S)
        assert request.transport is not None
        request.transport.abort()
        return web.Response(status=500)

    def run_call(self, key: str) -> web.Response:
        """Count one run and return the response."""
        self.sequence += 1
        self.runs[key] = self.runs.get(key, 0) + 1
        reply = messages.RunReply(key, self.runs[key], self.sequence)
        return engine_server.encode_response(reply)
