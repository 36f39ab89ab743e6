"""Hands requests over to other gateways while this one reaches no server for them.

The request has one owner at any time. The gateway that receives it makes all attempts,
and never hands it over again. This gateway tries another peer only if the last one has
certainly not sent it, or if it may run once more.
"""

import asyncio

from returns import result

from quetzalpass import event_log, ids
from quetzalpass.backends import base, relays
from quetzalpass.declarations import relays as declared
from quetzalpass.lifecycle import attempts
from quetzalpass.relay import (
    handover_messages,
    reach_errors,
    relay_gateway,
    relay_requests,
)
from quetzalpass.results import codes, failures

# Peers to which one request is offered.
MAX_PEERS = 3
STATUS_OK = 200


class Handover:
    """The way of one request to another gateway.

    Parameters
    ----------
    gateway : relay_gateway.RelayGateway
        State shared by the requests of this gateway.
    routed : relay_requests.RoutedRequest
        The request.
    response : relay_requests.CallerResponse
        Response to the caller.
    runs : int
        Sends of this gateway that a server may have run.

    Attributes
    ----------
    tried : set of VmId
        Peers to which the request was offered.
    """

    def __init__(
        self,
        gateway: relay_gateway.RelayGateway,
        routed: relay_requests.RoutedRequest,
        response: relay_requests.CallerResponse,
        runs: int,
    ) -> None:
        self.gateway = gateway
        self.routed = routed
        self.response = response
        self.runs = runs
        self.tried: set[ids.VmId] = set()

    async def run(self) -> failures.Failure | None:
        """Let a peer serve the request; return why none did."""
        while len(self.tried) < MAX_PEERS and self.may_send():
            refusal = self.gateway.refusal(self.routed, self.execution())
            if refusal is not None:
                return refusal
            peer = self.choose_peer()
            if peer is None:
                break
            failure = await self.try_peer(peer)
            if failure is None:
                return None
            if self.response.has_begun or not self.may_retry(failure):
                return self.final_failure(failure)
        return self.no_peer_failure()

    def execution(self) -> codes.Execution:
        """Return whether a server may have run the request."""
        if self.runs:
            return codes.Execution.MAY_HAVE_RUN
        return codes.Execution.NOT_RUN

    def may_send(self) -> bool:
        """Return whether the request may still be sent to a server by anybody."""
        if not self.runs:
            return True
        if self.routed.route.kind is not declared.RouteKind.IDEMPOTENT:
            return False
        return self.runs < self.routed.route.attempts

    def choose_peer(self) -> ids.VmId | None:
        """Return the next peer, if there is one that reaches the service."""
        now_s = asyncio.get_running_loop().time()
        choice = self.gateway.peer_choice
        return choice.choose(self.routed.service.name, self.tried, now_s)

    async def try_peer(self, peer: ids.VmId) -> base.AttemptFailure | None:
        """Hand the request to one peer; return why the caller got no response."""
        self.tried.add(peer)
        message = handover_messages.make_message(
            self.routed, self.gateway.vm, self.runs
        )
        detail = f"to {peer}, {len(self.tried)}. peer, {self.runs} runs before"
        self.gateway.record_decision(self.routed, "hand_over", None, detail)
        choice = self.gateway.peer_choice
        choice.begin(peer)
        self.routed.progress.is_sent = True
        try:
            sent = await self.gateway.handover_channel.send(peer, message)
            if isinstance(sent, result.Success):
                return await self.relay(peer, sent.unwrap())
        finally:
            choice.end(peer)
        failure = sent.failure()
        self.record_failure(peer, failure)
        return failure

    def record_failure(self, peer: ids.VmId, failure: base.AttemptFailure) -> None:
        """Log a failure, and avoid the peer for a short time."""
        now_s = asyncio.get_running_loop().time()
        self.gateway.peer_choice.avoid(peer, now_s)
        self.runs += failure.end is base.AttemptEnd.MAY_HAVE_RUN
        self.gateway.record_decision(
            self.routed,
            "hand_over_failed",
            None,
            f"{peer}, {failure.end.value}: {failure.message}",
            event_log.Level.NOTICE,
        )

    def may_retry(self, failure: base.AttemptFailure) -> bool:
        """Return whether another peer may get the request; withdraw from the budget."""
        if failure.end is not base.AttemptEnd.MAY_HAVE_RUN:
            return True
        if not self.may_send():
            return False
        now_s = asyncio.get_running_loop().time()
        return self.gateway.budget.try_withdraw(self.routed.service.name, now_s)

    async def relay(
        self, peer: ids.VmId, handed: relays.RelayResponse
    ) -> base.AttemptFailure | None:
        """Relay a peer's response; return a failure if it broke off."""
        now_s = asyncio.get_running_loop().time()
        # The peer counts the request and has the retries that it allows.
        self.gateway.budget.cancel_request(self.routed.service.name, now_s)
        try:
            failure = await self.relay_body(handed)
        finally:
            handed.close()
        if failure is not None:
            self.record_failure(peer, failure)
            return failure
        detail = f"{peer}, status {handed.head.status}"
        self.gateway.record_decision(self.routed, "handed_over", None, detail)
        return None

    async def relay_body(
        self, handed: relays.RelayResponse
    ) -> base.AttemptFailure | None:
        """Relay the events of a stream as they arrive, any other response whole."""
        is_stream = self.routed.route.kind is declared.RouteKind.STREAMING
        if not is_stream or handed.head.status != STATUS_OK:
            body = await handed.read_body()
            if isinstance(body, result.Failure):
                return body.failure()
            await self.response.send_whole(handed.head, body.unwrap())
            return None
        await self.response.begin(handed.head)
        while True:
            received = await handed.next_chunk()
            if isinstance(received, result.Failure):
                return received.failure()
            chunk = received.unwrap()
            if not chunk:
                await self.response.finish()
                return None
            await self.response.write(chunk)

    def final_failure(self, failure: base.AttemptFailure) -> failures.Failure:
        """Return the failure of a request that may not be handed over again."""
        numbered = attempts.caller_failure(failure)
        return attempts.with_execution(numbered, self.execution())

    def no_peer_failure(self) -> failures.Failure:
        """Return the failure of a request that no peer has taken."""
        return attempts.with_execution(
            failures.Failure(
                codes.Code.NO_SERVER_REACHED,
                f"no server of {self.routed.service.name} can be reached from here, "
                f"and {len(self.tried)} other gateways did not take the request",
                retry_after_ms=attempts.RETRY_ELSEWHERE_MS,
            ),
            self.execution(),
        )


async def serve_elsewhere(
    gateway: relay_gateway.RelayGateway,
    routed: relay_requests.RoutedRequest,
    response: relay_requests.CallerResponse,
    runs: int,
) -> failures.Failure | None:
    """Let another gateway serve a request that reaches no server from here.

    Raises
    ------
    NoServerReachedError
        If another gateway has handed the request over.
    """
    if routed.request.sender is not None:
        raise reach_errors.NoServerReachedError(runs)
    return await Handover(gateway, routed, response, runs).run()
