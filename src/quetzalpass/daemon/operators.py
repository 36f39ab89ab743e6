"""The HTTP interface of a daemon for operators."""

import asyncio
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from returns import result

from quetzalpass import decoding, ids
from quetzalpass.control import declared_state, messages
from quetzalpass.daemon import groups, keys
from quetzalpass.declarations import checks, schema
from quetzalpass.documents import problems
from quetzalpass.inbound import bodies
from quetzalpass.results import codes, failures

if TYPE_CHECKING:
    from quetzalpass.daemon import process

MAX_BODY_BYTES = 64_000_000
STATUS_TIMEOUT_S = 2.0
MAX_LISTED_PROBLEMS = 20


class OperatorsInterface:
    """Handles the requests of the operators' tool."""

    def __init__(self, daemon: "process.Daemon") -> None:
        self.daemon = daemon

    def application(self, key: str) -> web.Application:
        """Return the aiohttp application of the operators' listener."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[keys.make_key_middleware(key)]
        )
        app.router.add_get("/healthz", self.handle_health)
        app.router.add_post("/v1/declaration", self.handle_apply)
        app.router.add_get("/v1/declaration", self.handle_get)
        app.router.add_get("/status", self.handle_status)
        app.router.add_post("/v1/members", self.handle_members)
        app.router.add_get("/v1/explanations/{id}", self.handle_explanation)
        return app

    async def handle_health(self, request: web.Request) -> web.Response:
        """Respond that the process is alive."""
        return web.Response(text="ok\n")

    async def handle_apply(self, request: web.Request) -> web.Response:
        """Replace the declaration, completely or not at all."""
        try:
            held_body = await bodies.read_declaration(request, MAX_BODY_BYTES)
        except failures.FailureError as error:
            return error_response(error.failure)
        try:
            change = decoding.decode_json(held_body.data, messages.ApplyRequest)
        except decoding.DecodingError as error:
            return error_response(
                failures.Failure(codes.Code.DECLARATION_INVALID, f"{error}")
            )
        errors = checks.select_errors(checks.check_declaration(change.declaration))
        if errors:
            return error_response(invalid_failure(errors))
        command = declared_state.encode_apply_command(
            change.base_revision,
            self.daemon.holder.find_declaration(change.base_revision),
            change.declaration,
            change.author,
        )
        proposed = await self.daemon.groups[groups.DECLARATION_GROUP].propose(
            declared_state.SESSION, change.operation_id, command
        )
        if isinstance(proposed, result.Failure):
            return error_response(proposed.failure())
        outcome = msgspec.msgpack.decode(
            proposed.unwrap(), type=declared_state.ApplyOutcome
        )
        if not outcome.accepted:
            return error_response(conflict_failure(change.base_revision, outcome))
        return json_response(messages.ApplyReply(outcome.revision, outcome.digest))

    async def handle_get(self, request: web.Request) -> web.Response:
        """Return the declaration that is in force on this daemon."""
        current = self.daemon.holder.current
        if current is None:
            empty = declared_state.EMPTY
            return json_response(
                messages.DeclarationReply(
                    empty.revision, empty.digest, schema.Declaration()
                )
            )
        return json_response(
            messages.DeclarationReply(
                current.revision, current.digest, current.declaration
            )
        )

    async def handle_status(self, request: web.Request) -> web.Response:
        """Return the status of this daemon and of all its peers."""
        own = self.daemon.own_status()
        peer_statuses = await asyncio.gather(
            *(
                self.fetch_peer_status(peer.id, peer.data_centre)
                for peer in self.daemon.settings.peer_vms
            )
        )
        reply = messages.StatusReply(
            vm=own,
            vms=(own, *peer_statuses),
            servers=self.daemon.server_statuses(),
            groups=self.daemon.replica.statuses() if self.daemon.replica else (),
        )
        return json_response(reply)

    async def handle_members(self, request: web.Request) -> web.Response:
        """Add or remove one member of a consensus group that this replica leads."""
        body = await request.read()
        try:
            change = decoding.decode_json(body, messages.MembersRequest)
        except decoding.DecodingError as error:
            return error_response(failures.Failure(codes.Code.BAD_REQUEST, f"{error}"))
        if self.daemon.replica is None:
            return error_response(
                failures.Failure(codes.Code.NOT_LEADER, "this VM is not a replica")
            )
        changed = await self.daemon.replica.change_members(change)
        if isinstance(changed, result.Failure):
            return error_response(changed.failure())
        return json_response(changed.unwrap())

    async def handle_explanation(self, request: web.Request) -> web.Response:
        """Return why this gateway placed a request on its server."""
        request_id = ids.RequestId(request.match_info["id"])
        found = self.daemon.gateway.admission_queue.explain(request_id)
        if found is None:
            return error_response(
                failures.Failure(
                    codes.Code.NOT_FOUND, "this VM has not placed the request recently"
                )
            )
        now_s = asyncio.get_running_loop().time()
        return json_response(
            messages.ExplanationReply(
                request_id=request_id,
                vm=self.daemon.settings.id,
                server=found.choice.server_id,
                reason=found.choice.reason,
                waited_s=found.waited_s,
                age_s=now_s - found.decided_at_s,
                report_age_s=found.choice.report_age_s,
            )
        )

    async def fetch_peer_status(
        self, vm: ids.VmId, data_centre: ids.DataCentreId
    ) -> messages.VmStatus:
        """Return a peer's status; one that can't be reached is not ready."""
        status = await self.daemon.clients[vm].fetch_status(STATUS_TIMEOUT_S)
        unknown = messages.VmStatus(vm, data_centre, False, ids.Revision(0), 0.0)
        return status.value_or(unknown) or unknown


def invalid_failure(errors: tuple[problems.Problem, ...]) -> failures.Failure:
    """Return the failure that lists the errors of a declaration."""
    listed = "; ".join(each.text() for each in errors[:MAX_LISTED_PROBLEMS])
    return failures.Failure(
        codes.Code.DECLARATION_INVALID, f"{len(errors)} errors: {listed}"
    )


def conflict_failure(
    base: ids.Revision, outcome: declared_state.ApplyOutcome
) -> failures.Failure:
    """Return the failure that names the newest revision and its author."""
    author = outcome.author or "another operator"
    return failures.Failure(
        codes.Code.CONFLICT,
        f"base revision {base} is not the newest: revision {outcome.revision} "
        f"by {author} is",
    )


def error_response(failure: failures.Failure) -> web.Response:
    """Return the response that reports a failure to the operators' tool."""
    spec = codes.spec_of(failure.code)
    reply = messages.ErrorReply(
        failure.code.value,
        failure.code.name.lower(),
        failure.message,
        spec.advice,
        failure.retry_after_ms,
    )
    return json_response(reply, spec.http_status)


def json_response(value: msgspec.Struct, status: int = 200) -> web.Response:
    """Return a response with a struct as JSON."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )
