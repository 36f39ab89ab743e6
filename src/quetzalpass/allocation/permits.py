"""Permits for servers that name a limit, given out by the leading control node."""

import abc
import asyncio
from collections.abc import Callable

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.membership import fleet_registry
from quetzalpass.results import codes, failures
from quetzalpass.routing import rate_limits, rate_permits
from quetzalpass.wire import messages, transport

LOG = logbook.Logger("allocation")

# Longest wait for a reply; the caller of a refused request must not wait much longer.
REPLY_TIMEOUT_S = 0.15
# After a call fails, a gateway shares the limit out by itself for this time.
BACKOFF_S = 0.6


class PermitReply(messages.Reply, frozen=True):
    """Reply to a request for a permit.

    Attributes
    ----------
    is_deciding : bool
        Whether this node decides; otherwise the gateway does by itself.
    delay_s : float
        0 if the request may be sent now; otherwise the time until the next permit.
    """

    is_deciding: bool
    delay_s: float = 0.0


class PermitRequest(messages.Request, frozen=True):
    """A gateway's request to send one request to a server with a limit.

    Attributes
    ----------
    gateway : VmId
        The gateway.
    rank : int
        Priority of the request; 0 is the highest.
    limit : rate_limits.LimitReport
        The server and its limit, as the gateway knows it.
    """

    reply_type = PermitReply
    gateway: ids.VmId
    rank: int
    limit: rate_limits.LimitReport


PermitResult = result.Result[float, failures.Failure]


class PermitSource(abc.ABC):
    """Source of a gateway's permits."""

    @abc.abstractmethod
    async def request_permit(self, request: PermitRequest) -> PermitResult:
        """Return the delay until the request may be sent, or why nobody decides."""


class RemotePermitSource(PermitSource):
    """Requests permits from the leading control node.

    Parameters
    ----------
    leader : callable
        Returns the control node that leads, or ``None`` if it is unknown.
    channel : transport.PeerTransport
        Transport to the control nodes.
    """

    def __init__(
        self, leader: Callable[[], ids.VmId | None], channel: transport.PeerTransport
    ) -> None:
        self.leader = leader
        self.channel = channel
        self.backoff_until_s = 0.0

    async def request_permit(self, request: PermitRequest) -> PermitResult:
        """Call the leader, unless a recent call has failed."""
        leader = self.leader()
        now_s = asyncio.get_running_loop().time()
        if leader is None or now_s < self.backoff_until_s:
            return no_decision("no node decides")
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await self.channel.call(leader, request, 2 * REPLY_TIMEOUT_S)
        except TimeoutError:
            reply = no_decision(f"no reply within {REPLY_TIMEOUT_S} s")
        if isinstance(reply, result.Failure):
            return self.back_off(leader, reply.failure().message)
        if not reply.unwrap().is_deciding:
            return self.back_off(leader, "it does not lead")
        return result.Success(reply.unwrap().delay_s)

    def back_off(self, leader: ids.VmId, reason: str) -> PermitResult:
        """Send no calls for ``BACKOFF_S``."""
        LOG.warning("allocation: Sharing limits without {}: {}.", leader, reason)
        self.backoff_until_s = asyncio.get_running_loop().time() + BACKOFF_S
        return no_decision(reason)


def no_decision(message: str) -> PermitResult:
    """Return the failure of a request that no node decided."""
    return result.Failure(failures.Failure(codes.Code.UNREACHABLE, message))


class PermitDesk:
    """Gives out the permits for all gateways, on the leading control node.

    Parameters
    ----------
    registry : fleet_registry.FleetRegistry
        Knows the limits, and whether this node leads.
    """

    def __init__(self, registry: fleet_registry.FleetRegistry) -> None:
        self.registry = registry
        self.permits = rate_permits.RatePermits()
        self.active_since_s: float | None = None

    def handle(self, request: PermitRequest) -> PermitReply:
        """Give out a permit, or return when the next one is due."""
        if not self.registry.is_active():
            return PermitReply(False)
        if self.registry.active_since_s != self.active_since_s:
            # Another node may have given out what was saved before.
            self.permits.clear()
            self.active_since_s = self.registry.active_since_s
        now_s = asyncio.get_running_loop().time()
        limits = self.registry.limits
        limits.merge((request.limit,), now_s)
        self.permits.keep_only(frozenset(limits.limits))
        server = request.limit.server
        per_s = limits.find(server, now_s)
        if per_s is None:
            return PermitReply(True)
        return PermitReply(True, self.permits.take(server, per_s, request.rank, now_s))
