"""A fake operators' interface that holds one declared state."""

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
    """Accepts declarations and records the requests to apply them."""

    def __init__(self):
        self.revision = 7
        self.declaration = DECLARATION
        self.apply_requests = []
        self.replies = {}
        self.before_apply = lambda: None
        self.lost_responses = 0
        self.failure_code = None
        self.vm_revisions = {"entry-1": None}

    def change(self, **fields):
        self.declaration = msgspec.structs.replace(self.declaration, **fields)
        self.revision += 1

    async def handle_apply(self, request):
        apply_request = msgspec.json.decode(
            await request.read(), type=messages.ApplyRequest
        )
        self.apply_requests.append(apply_request)
        reply = self.replies.get(apply_request.operation_id)
        if reply is None:
            self.before_apply()
            if apply_request.base_revision != self.revision:
                return self.error_response(codes.Code.CONFLICT)
            self.change(**msgspec.structs.asdict(apply_request.declaration))
            reply = messages.ApplyReply(self.revision, "digest")
            self.replies[apply_request.operation_id] = reply
        if self.lost_responses:
            self.lost_responses -= 1
            request.transport.abort()
        return json_response(reply)

    async def handle_get(self, request):
        if self.failure_code is not None:
            return self.error_response(self.failure_code)
        reply = messages.DeclarationReply(self.revision, "digest", self.declaration)
        return json_response(reply)

    async def handle_status(self, request):
        vms = tuple(
            messages.VmStatus(
                name,
                "dc",
                True,
                self.revision if vm_revision is None else vm_revision,
                1.0,
            )
            for name, vm_revision in self.vm_revisions.items()
        )
        return json_response(messages.StatusReply(vm=vms[0], vms=vms))

    def error_response(self, code):
        reply = messages.ErrorReply(code.value, code.name, "refused", "advice")
        return json_response(reply, codes.spec_of(code).http_status)

    @web.middleware
    async def check_key(self, request, handler):
        if request.headers.get("Authorization") != f"Bearer {KEY}":
            return self.error_response(codes.Code.UNKNOWN_KEY)
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


def json_response(value, status=200):
    return web.json_response(body=msgspec.json.encode(value), status=status)
