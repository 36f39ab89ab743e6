"""A fake operators' interface with one declared state."""

import contextlib

import aiohttp
import msgspec
from aiohttp import web

from quetzalpass.cli import client
from quetzalpass.control import messages
from quetzalpass.declarations import schema
from quetzalpass.results import codes

KEY = "key-of-operators"
DECLARATION = schema.Declaration(
    data_centres=(schema.DataCentre("dc", "region"),),
    vms=(schema.Vm("vm-1", "dc"), schema.Vm("vm-2", "dc")),
)


class FakeOperators:
    """Accepts declarations and remembers what it was asked."""

    def __init__(self):
        self.revision = 7
        self.declaration = DECLARATION
        self.applied = []
        self.outcomes = {}
        self.before_apply = lambda: None
        self.lose_answers = 0
        self.refusal = None
        self.entry_revisions = {"entry-1": None}

    def change(self, **fields):
        self.declaration = msgspec.structs.replace(self.declaration, **fields)
        self.revision += 1

    async def handle_apply(self, request):
        order = msgspec.json.decode(await request.read(), type=messages.ApplyRequest)
        self.applied.append(order)
        reply = self.outcomes.get(order.operation_id)
        if reply is None:
            self.before_apply()
            if order.base_revision != self.revision:
                return self.refuse(codes.Code.CONFLICT)
            self.change(**msgspec.structs.asdict(order.declaration))
            reply = messages.ApplyReply(self.revision, "digest")
            self.outcomes[order.operation_id] = reply
        if self.lose_answers:
            self.lose_answers -= 1
            request.transport.abort()
        return answer(reply)

    async def handle_get(self, request):
        if self.refusal is not None:
            return self.refuse(self.refusal)
        reply = messages.DeclarationReply(self.revision, "digest", self.declaration)
        return answer(reply)

    async def handle_status(self, request):
        vms = tuple(
            messages.VmStatus(
                name, "dc", True, self.revision if at is None else at, 1.0
            )
            for name, at in self.entry_revisions.items()
        )
        return answer(messages.StatusReply(vm=vms[0], vms=vms))

    def refuse(self, code):
        reply = messages.ErrorReply(code.value, code.name, "refused", "advice")
        return answer(reply, codes.spec_of(code).http_status)

    @web.middleware
    async def check_key(self, request, handler):
        if request.headers.get("Authorization") != f"Bearer {KEY}":
            return self.refuse(codes.Code.UNKNOWN_KEY)
        return await handler(request)

    def application(self):
        app = web.Application(middlewares=[self.check_key])
        app.router.add_post("/v1/declaration", self.handle_apply)
        app.router.add_get("/v1/declaration", self.handle_get)
        app.router.add_get("/status", self.handle_status)
        return app

    @contextlib.asynccontextmanager
    async def serve(self):
        runner = web.AppRunner(self.application(), access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        try:
            yield f"http://127.0.0.1:{port}"
        finally:
            await runner.cleanup()

    @contextlib.asynccontextmanager
    async def client(self, *urls_before, key=KEY):
        async with self.serve() as url, aiohttp.ClientSession() as session:
            yield client.OperatorsClient(session, (*urls_before, url), key)


def answer(value, status=200):
    return web.json_response(body=msgspec.json.encode(value), status=status)
