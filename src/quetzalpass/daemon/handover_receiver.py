"""Interface through which other gateways hand their callers' requests over.

It has a listener of its own and takes the cluster's key only, so that no caller can
claim to be a gateway.
"""

import asyncio

import logbook
from aiohttp import web
from returns import result

from quetzalpass import decoding, event_log
from quetzalpass.backends import held_bytes, relays
from quetzalpass.lifecycle import relay_events
from quetzalpass.relay import (
    handover_channel,
    handover_messages,
    reach_errors,
    relay_gateway,
    relay_requests,
    relaying,
)
from quetzalpass.results import codes, failures
from quetzalpass.wire import messages, offers, server

LOG = logbook.Logger("relay")

# Requests of other gateways that are served at the same time.
MAX_HANDED_REQUESTS = 256
# A request takes the bytes that arrive, and what is decoded from them.
COPIES_IN_MEMORY = 2
# Room for a request whose sender, of an earlier version, doesn't name its size.
UNKNOWN_SIZE_BYTES = 65_536
HOLDING: web.RequestKey[held_bytes.Holding] = web.RequestKey(
    "holding", held_bytes.Holding
)


class PeerResponse(relay_requests.CallerResponse):
    """Response to the gateway that has handed a request over.

    The head for the caller comes first in the body, with its length before it.
    """

    def __init__(self, request: web.Request) -> None:
        self.request = request
        self.response: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether sending has begun."""
        return self.response is not None

    async def send_whole(self, head: relays.ResponseHead, body: bytes) -> None:
        """Send a complete response."""
        first, *rest = held_bytes.slices(body) if body else [body]
        await self.begin(head, first)
        for part in rest:
            await self.write(part)
        await self.finish()

    async def begin(self, head: relays.ResponseHead, body: bytes = b"") -> None:
        """Send the head, and a first part of the body."""
        self.response = web.StreamResponse()
        self.response.force_close()
        await self.response.prepare(self.request)
        data = handover_messages.encode_head(head)
        length = handover_channel.HEAD_LENGTH.pack(len(data))
        await self.response.write(length + data + body)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self.response.write(data)

    async def finish(self) -> None:
        """Mark the response as complete."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection so that the response is visibly incomplete."""
        if self.request.transport is not None:
            self.request.transport.abort()


class HandoverReceiver:
    """Serves the requests that other gateways hand over.

    Parameters
    ----------
    gateway : relay_gateway.RelayGateway
        Gateway that serves them.
    cluster_key : str
        Secret key that all VMs of the system share.

    Attributes
    ----------
    count : int
        Requests that are served now.
    """

    def __init__(self, gateway: relay_gateway.RelayGateway, cluster_key: str) -> None:
        self.gateway = gateway
        self.guard = server.PeerGuard(cluster_key)
        self.count = 0

    def application(self) -> web.Application:
        """Return the aiohttp application of the peers' listener."""
        app = server.new_application()
        app.router.add_post(
            handover_channel.PATH, self.handle, expect_handler=self.handle_offer
        )
        return app

    def accepts(self) -> bool:
        """Return whether this gateway takes requests of others now."""
        return (
            not self.gateway.requests.is_draining
            and self.gateway.holder.current is not None
            and self.count < MAX_HANDED_REQUESTS
        )

    async def handle_offer(self, request: web.Request) -> web.Response | None:
        """Accept an offer, so that its request is sent, or refuse it."""
        if not self.guard.is_peer(request):
            return refuse(codes.Code.UNKNOWN_KEY, "The cluster key is wrong.")
        if not self.accepts():
            return refuse(codes.Code.NOT_READY, "this gateway takes no requests now")
        try:
            request[HOLDING] = held_bytes.REQUESTS.reserve(memory_bytes(request))
        except held_bytes.NoRoomError as error:
            LOG.info("relay: Took no request of another gateway: {}.", error)
            return refuse(codes.Code.QUEUE_FULL, "this gateway has no room for it")
        await server.send_continue(request)
        return None

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve a request whose offer was accepted."""
        if not self.guard.is_peer(request):
            return refuse(codes.Code.UNKNOWN_KEY, "The cluster key is wrong.")
        try:
            return await self.handle_held(request)
        finally:
            if HOLDING in request:
                request[HOLDING].release()

    async def handle_held(self, request: web.Request) -> web.StreamResponse:
        """Serve a request for which there is room."""
        # The request object would keep the bytes until the response has ended.
        decoded = messages.decode(
            await request.content.read(), handover_messages.HandoverRequest
        )
        if isinstance(decoded, result.Failure):
            return failed(decoded.failure())
        message = decoded.unwrap()
        try:
            handover_messages.make_request(message)
        except decoding.DecodingError as error:
            return failed(failures.Failure(codes.Code.BAD_JSON, str(error)))
        refusal = self.find_refusal(message)
        if refusal is not None:
            self.record(message, "not_taken", refusal.message)
            return failed(refusal)
        return await self.serve(message, request)

    def find_refusal(
        self, message: handover_messages.HandoverRequest
    ) -> failures.Failure | None:
        """Return why a request can't be served here, or ``None``."""
        if not self.accepts():
            return failures.Failure(
                codes.Code.NOT_READY, "this gateway takes no requests now"
            )
        if self.gateway.holder.revision() < message.revision:
            return failures.Failure(
                codes.Code.NOT_READY,
                f"revision {message.revision} has not arrived here yet",
            )
        if self.gateway.reach_checks.is_lost(message.service):
            return unreached(message, codes.Execution.NOT_RUN)
        return None

    async def serve(
        self, message: handover_messages.HandoverRequest, request: web.Request
    ) -> web.StreamResponse:
        """Serve a request; it is given back if no server can be reached from here."""
        self.record(message, "taken_over", f"from {message.sender}")
        response = PeerResponse(request)
        self.count += 1
        try:
            await relaying.serve(
                self.gateway, handover_messages.make_request(message), response
            )
        except reach_errors.NoServerReachedError as error:
            has_run = error.runs > message.earlier_runs
            execution = codes.Execution.NOT_RUN
            if has_run:
                execution = codes.Execution.MAY_HAVE_RUN
            self.record(message, "given_back", execution.value)
            return failed(unreached(message, execution))
        finally:
            self.count -= 1
        assert response.response is not None, "relaying ended without a response"
        return response.response

    def record(
        self, message: handover_messages.HandoverRequest, decision: str, detail: str
    ) -> None:
        """Log a decision on a request of another gateway, and count it."""
        self.gateway.metrics.decisions.labels(decision, "").inc()
        now_s = asyncio.get_running_loop().time()
        request = handover_messages.make_request(message)
        event_log.record(
            relay_events.RelayEvent(
                request.request_id,
                decision,
                self.gateway.holder.revision(),
                list_age_ms=self.gateway.view.age_ms(),
                detail=f"{detail}, {now_s - request.arrived_s:.3f} s old, "
                f"{self.count} others here",
            )
        )


def memory_bytes(request: web.Request) -> int:
    """Return the memory that an offered request will take."""
    size = request.headers.get(offers.SIZE_HEADER, "")
    if not (size.isascii() and size.isdecimal()):
        return COPIES_IN_MEMORY * UNKNOWN_SIZE_BYTES
    return COPIES_IN_MEMORY * int(size)


def unreached(
    message: handover_messages.HandoverRequest, execution: codes.Execution
) -> failures.Failure:
    """Return the failure of a request whose service can't be reached from here."""
    return failures.Failure(
        codes.Code.NO_SERVER_REACHED,
        f"no server of {message.service} can be reached from here",
        execution,
    )


def refuse(code: codes.Code, message: str) -> web.Response:
    """Return the refusal of an offer; the request itself is not read."""
    response = failed(failures.Failure(code, message))
    response.force_close()
    return response


def failed(failure: failures.Failure) -> web.Response:
    """Return the response that carries a failure to the other gateway."""
    return server.failure_response(failure)
