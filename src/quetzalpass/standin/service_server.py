"""A stand-in plain service whose calls count how often they ran."""

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
    }
)
HANG_S = 3600.0
NO_KEY = "-"


class ServiceServer:
    """A stand-in plain service.

    Attributes
    ----------
    runs : dict of str to int
        How often a call ran, by idempotency key.
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
        """Answer that the service is alive."""
        return web.Response(text="ok")

    async def handle_fault(self, request: web.Request) -> web.Response:
        """Switch a fault on."""
        self.plan.add(msgspec.json.decode(await request.read(), type=faults.Fault))
        return web.Response(status=204)

    async def handle_runs(self, request: web.Request) -> web.Response:
        """Answer how often the call with a key ran; 404 if it never did."""
        key = request.match_info["key"]
        runs = self.runs.get(key, 0)
        if runs == 0:
            return web.json_response({"error": "never ran"}, status=404)
        return engine_server.json_answer(messages.RunReply(key, runs, self.sequence))

    async def handle_call(self, request: web.Request) -> web.StreamResponse:
        """Run a call, unless a fault strikes before it."""
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
        if fault.kind is faults.FaultKind.CLOSE_AFTER_RUN:
            self.run_call(key)
        if fault.kind is faults.FaultKind.CRASH:
            self.crash()
        if fault.kind is faults.FaultKind.HANG:
            await asyncio.sleep(HANG_S)
        assert request.transport is not None
        request.transport.abort()
        return web.Response(status=500)

    def run_call(self, key: str) -> web.Response:
        """Count one run and answer it."""
        self.sequence += 1
        self.runs[key] = self.runs.get(key, 0) + 1
        reply = messages.RunReply(key, self.runs[key], self.sequence)
        return engine_server.json_answer(reply)
