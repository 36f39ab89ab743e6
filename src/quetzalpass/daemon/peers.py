"""The interface of a daemon for other daemons."""

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from returns import result

from quetzalpass import ids
from quetzalpass.membership import configuration, inner_messages
from quetzalpass.wire import handlers, server

if TYPE_CHECKING:
    from quetzalpass.daemon import process

MAX_WAIT_S = 30.0


class PeersInterface:
    """Handles the messages of other daemons."""

    def __init__(self, daemon: "process.Daemon") -> None:
        self.daemon = daemon
        table = daemon.table
        table.add(inner_messages.DeclarationRequest, self.handle_declaration)
        table.add(inner_messages.VmStatusRequest, self.handle_status)
        table.add(inner_messages.GatewaySummary, self.handle_summary)
        if daemon.replica is not None:
            table.add(inner_messages.ProposeRequest, daemon.replica.handle_proposal)

    def application(self, key: str) -> web.Application:
        """Return the aiohttp application of the peers' listener."""
        app = server.new_application()
        app.router.add_get("/healthz", self.handle_health)
        server.PeerServer(self.daemon.table, key).add_routes(app)
        return app

    async def handle_health(self, request: web.Request) -> web.Response:
        """Respond that the process is alive."""
        return web.Response(text="ok\n")

    async def handle_declaration(
        self, request: inner_messages.DeclarationRequest
    ) -> handlers.Outcome:
        """Return a newer revision as soon as there is one."""
        holder = self.daemon.holder
        wait_s = min(MAX_WAIT_S, request.wait_s)
        if holder.revision() <= request.newer_than and wait_s > 0:
            await holder.wait_newer(request.newer_than, wait_s)
        return result.Success(declaration_reply(holder, request))

    async def handle_status(
        self, request: inner_messages.VmStatusRequest
    ) -> handlers.Outcome:
        """Return the status of this daemon."""
        return result.Success(inner_messages.VmStatusReply(self.daemon.own_status()))

    async def handle_summary(
        self, request: inner_messages.GatewaySummary
    ) -> handlers.Outcome:
        """Merge another gateway's summary."""
        self.daemon.merge_summary(request)
        return result.Success(inner_messages.SummaryReply())


def declaration_reply(
    holder: configuration.ConfigurationHolder,
    request: inner_messages.DeclarationRequest,
) -> inner_messages.DeclarationReply:
    """Return the revision in force, as a delta if one is available."""
    current = holder.current
    if current is None or current.revision <= request.newer_than:
        return inner_messages.DeclarationReply(ids.Revision(0))
    delta = None if request.whole else holder.delta_from(request.newer_than)
    if delta is not None:
        base = request.newer_than
        reply = inner_messages.DeclarationReply(
            current.revision, current.digest, delta=delta
        )
    else:
        base = current.revision
        reply = inner_messages.DeclarationReply(
            current.revision, current.digest, current.data
        )
    if not request.accepts_compressed:
        return reply
    return compress_reply(holder, base, reply)


def compress_reply(
    holder: configuration.ConfigurationHolder,
    base: ids.Revision,
    reply: inner_messages.DeclarationReply,
) -> inner_messages.DeclarationReply:
    """Return a reply in compressed form, which the holder keeps for the next peers."""
    compressed = holder.compress(base, reply.delta or reply.data)
    if reply.delta:
        return msgspec.structs.replace(reply, delta=compressed, is_compressed=True)
    return msgspec.structs.replace(reply, data=compressed, is_compressed=True)
