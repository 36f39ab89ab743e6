"""The peers' listener of a daemon."""

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from quetzalpass import ids
from quetzalpass.daemon import groups, keys
from quetzalpass.membership import inner_messages, summaries

if TYPE_CHECKING:
    from quetzalpass.daemon import process

MAX_WAIT_S = 30.0
MAX_BODY_BYTES = 16_000_000


class PeersInterface:
    """Answers other daemons."""

    def __init__(self, daemon: "process.Daemon") -> None:
        self.daemon = daemon

    def application(self, key: str) -> web.Application:
        """Return the aiohttp application of the peers' listener."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[keys.key_check(key)]
        )
        app.router.add_get("/healthz", self.handle_health)
        app.router.add_get("/inner/declaration", self.handle_declaration)
        app.router.add_get("/inner/status", self.handle_status)
        app.router.add_post("/inner/propose", self.handle_propose)
        app.router.add_post("/inner/summary", self.handle_summary)
        return app

    async def handle_health(self, request: web.Request) -> web.Response:
        """Answer that the process is alive."""
        return web.Response(text="ok\n")

    async def handle_declaration(self, request: web.Request) -> web.Response:
        """Answer the next revision as soon as there is one."""
        newer_than = ids.Revision(int(request.query.get("newer_than", "0")))
        wait_s = min(MAX_WAIT_S, float(request.query.get("wait_s", "0")))
        holder = self.daemon.holder
        if holder.revision() <= newer_than and wait_s > 0:
            await holder.wait_newer(newer_than, wait_s)
        current = holder.current
        if current is None or current.revision <= newer_than:
            return web.Response(status=204)
        return json_answer(
            inner_messages.DeclarationMessage(
                current.revision, current.digest, current.data
            )
        )

    async def handle_status(self, request: web.Request) -> web.Response:
        """Answer this daemon's own status."""
        return json_answer(self.daemon.own_status())

    async def handle_propose(self, request: web.Request) -> web.Response:
        """Propose a command that a peer passed on."""
        body = await request.read()
        try:
            message = msgspec.json.decode(body, type=inner_messages.ProposeMessage)
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=f"{error}\n")
        return json_answer(await groups.answer_proposal(self.daemon.groups, message))

    async def handle_summary(self, request: web.Request) -> web.Response:
        """Take in another gateway's summary."""
        body = await request.read()
        try:
            summary = msgspec.json.decode(body, type=summaries.GatewaySummary)
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=f"{error}\n")
        self.daemon.fleet.note_summary(summary)
        return web.Response(status=204)


def json_answer(value: msgspec.Struct, status: int = 200) -> web.Response:
    """Return a struct as a JSON answer."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )
