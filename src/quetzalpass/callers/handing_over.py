"""Hands callers' requests over to other gateways of the own interface.

A gateway that reaches no server of a model or service forwards the whole request to the
peers' listener of another one, which serves it like a request of its own and never
forwards it again. ``docs/design/handing-over.md`` has the reasons.
"""

import asyncio
import random
import ssl
from collections.abc import Awaitable, Callable

import aiohttp
import logbook
import msgspec
from aiohttp import web
from returns import result

from quetzalpass import decoding, event_log, ids, ranges
from quetzalpass.callers import errors
from quetzalpass.callers import headers as caller_headers
from quetzalpass.lifecycle import attempts, relay_events
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.results import codes, failures
from quetzalpass.settings import schema
from quetzalpass.wire import offers, server, transport

LOG = logbook.Logger("callers")

PATH = "/handover/v1/callers"
REQUEST_ID_HEADER = "Quetzalpass-Handover-Request-Id"
# Marks the response of a peer that has not taken the request.
REFUSED_HEADER = "Quetzalpass-Handover-Refused"
TIMEOUT_HEADER = "Quetzalpass-Timeout-Ms"
# Peers to which one request is offered.
MAX_PEERS = 3
# Time that a failed request has for the check of its servers.
MAX_CHECK_S = 1.0
MS_PER_S = 1000
# Headers of a single connection, and those that the forwarding sets itself.
NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        REFUSED_HEADER.lower(),
        REQUEST_ID_HEADER.lower(),
        transport.CLUSTER_KEY_HEADER.lower(),
    }
)
# Results of requests that may have been refused only because of a lost path.
PATH_CODES = frozenset(
    {
        codes.Code.NO_SERVER_REACHED,
        codes.Code.SERVER_FAILED,
        codes.Code.DEADLINE_BEFORE_START,
        codes.Code.QUEUE_FULL,
    }
)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ModelOfBody(msgspec.Struct):
    """The only field of a completion's body that decides where it can be served."""

    model: str = ""


class CallerHandover:
    """Forwards requests of one gateway, and takes those of others.

    Parameters
    ----------
    gateway : gateways.Gateway
        State shared by the requests of this gateway.
    cluster_key : str
        Secret key that all VMs of the system share.
    rng : random.Random
        Chooses the peers and the servers to probe.
    ssl_context : ssl.SSLContext or None
        TLS settings for peers.
    """

    def __init__(
        self,
        gateway: gateways.Gateway,
        cluster_key: str,
        rng: random.Random,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self.gateway = gateway
        self.peer_guard = server.PeerGuard(cluster_key)
        self.rng = rng
        self.client = offers.OfferClient(cluster_key, ssl_context)
        self.reach_checks = gateway.reach_checks

    async def close(self) -> None:
        """Close all connections."""
        await self.client.close()

    def guard(self, handler: Handler) -> Handler:
        """Return a handler that takes requests of other gateways only."""

        async def handle(request: web.Request) -> web.StreamResponse:
            if not self.peer_guard.is_peer(request):
                return self.refuse(codes.Code.UNKNOWN_KEY, "the cluster key is wrong")
            return await handler(request)

        return handle

    async def handle_offer(self, request: web.Request) -> web.Response | None:
        """Accept an offer, so that its request is sent, or refuse it."""
        caller_headers.arrived_s(request)
        if not self.peer_guard.is_peer(request):
            return self.refuse(codes.Code.UNKNOWN_KEY, "the cluster key is wrong")
        failure = self.gateway.refusal()
        if failure is not None:
            return self.refuse(failure.code, failure.message)
        await server.send_continue(request)
        return None

    def refuse(self, code: codes.Code, message: str) -> web.Response:
        """Return the response that gives a request back to its gateway."""
        response = errors.error_response(
            failures.Failure(code, message), self.gateway.new_request_id()
        )
        response.headers[REFUSED_HEADER] = "1"
        response.force_close()
        return response

    def target_of(self, request: web.Request, body: bytes) -> ids.ServiceName | None:
        """Return the model or service that a request is for, if it can be read."""
        service = request.match_info.get("service")
        if service is not None:
            return ids.ServiceName(service)
        try:
            model = decoding.decode_json(body, ModelOfBody).model
        except decoding.DecodingError:
            return None
        return ids.ServiceName(model.partition(":")[0])

    def is_lost(self, target: ids.ServiceName | None) -> bool:
        """Return whether this gateway reaches no server of a target."""
        return target is not None and self.reach_checks.is_lost(target)

    async def check_after(
        self,
        target: ids.ServiceName | None,
        failure: failures.Failure,
        left_s: float,
    ) -> bool:
        """Return whether a failed request has not run and reaches no server here."""
        if target is None or failure.code not in PATH_CODES:
            return False
        if failure.effective_execution() is not codes.Execution.NOT_RUN:
            return False
        await self.reach_checks.wait_for_check(target, left_s)
        return self.is_lost(target)

    def peers(self) -> list[schema.Peer]:
        """Return some peers in random order, those of the own data centre first."""
        peers = [each for each in self.gateway.settings.peer_vms if each.url]
        self.rng.shuffle(peers)
        own = self.gateway.settings.data_centre
        peers.sort(key=lambda each: each.data_centre != own)
        return peers[:MAX_PEERS]

    async def forward(
        self, request: web.Request, request_id: ids.RequestId, body: bytes
    ) -> web.StreamResponse:
        """Let a peer serve a request; return its response, or why none did.

        Raises
        ------
        ConnectionError
            If the response broke off after it had begun.
        """
        for peer in self.peers():
            headers = self.forwarded_headers(request, request_id)
            self.record(request_id, "hand_over", f"to {peer.id}")
            url = f"{peer.url}{PATH}{request.raw_path}"
            sent = await self.client.send(request.method, url, headers, body)
            if isinstance(sent, result.Failure):
                self.record(request_id, "hand_over_failed", sent.failure().message)
                if sent.failure().is_sent:
                    return self.lost_response(request_id, peer)
                continue
            handed = sent.unwrap()
            if REFUSED_HEADER in handed.headers:
                self.record(request_id, "hand_over_failed", f"{peer.id} refused")
                handed.close()
                continue
            detail = f"{peer.id}, status {handed.status}"
            self.record(request_id, "handed_over", detail)
            return await self.relay(request, handed)
        failure = failures.Failure(
            codes.Code.NO_SERVER_REACHED,
            "no server can be reached from here, and no other VM took the request",
            retry_after_ms=attempts.RETRY_ELSEWHERE_MS,
        )
        return errors.error_response(failure, request_id)

    def lost_response(
        self, request_id: ids.RequestId, peer: schema.Peer
    ) -> web.Response:
        """Return the response for a request that a peer may have run."""
        failure = failures.Failure(
            codes.Code.OUTCOME_UNKNOWN, f"{peer.id} was lost with the request"
        )
        return errors.error_response(failure, request_id)

    def forwarded_headers(
        self, request: web.Request, request_id: ids.RequestId
    ) -> dict[str, str]:
        """Return the headers for a peer, with the time that is left."""
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in NOT_FORWARDED
        }
        headers[REQUEST_ID_HEADER] = request_id
        timeout_ms = ranges.parse_whole_number(
            request.headers.get(TIMEOUT_HEADER, ""), ranges.MAX_DURATION_MS
        )
        if timeout_ms is not None:
            now_s = asyncio.get_running_loop().time()
            spent_s = now_s - caller_headers.arrived_s(request)
            left_ms = timeout_ms - int(spent_s * MS_PER_S)
            headers[TIMEOUT_HEADER] = str(max(1, left_ms))
        return headers

    async def relay(
        self, request: web.Request, handed: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Relay a peer's response to the caller as it arrives."""
        response = web.StreamResponse(status=handed.status)
        for name, value in handed.headers.items():
            if name.lower() not in NOT_FORWARDED:
                response.headers.add(name, value)
        try:
            await response.prepare(request)
            while chunk := await handed.content.readany():
                await response.write(chunk)
        except (aiohttp.ClientError, OSError) as error:
            raise ConnectionError(f"the peer's response broke off: {error!r}") from None
        finally:
            handed.close()
        await response.write_eof()
        return response

    def record(self, request_id: ids.RequestId, decision: str, detail: str) -> None:
        """Log a decision on a request."""
        event_log.record(
            relay_events.RelayEvent(
                request_id, decision, self.gateway.holder.revision(), detail=detail
            )
        )
        LOG.info("callers: Request {}: {}, {}.", request_id, decision, detail)
