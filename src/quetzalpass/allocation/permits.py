"""Permits for servers that name a limit, given out by the leading control node."""

import abc
import asyncio
from collections.abc import Callable

from returns import result

from quetzalpass import ids, ranges
from quetzalpass.allocation import leader_client
from quetzalpass.membership import fleet_registry, peer_values
from quetzalpass.results import failures
from quetzalpass.routing import rate_limits, rate_permits
from quetzalpass.wire import messages, transport


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
    delay_s: ranges.Duration = 0.0


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
    rank: ranges.Integer
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
        self.client = leader_client.LeaderClient("limits", leader, channel)

    async def request_permit(self, request: PermitRequest) -> PermitResult:
        """Call the leader, unless a recent call has failed."""
        reply = await self.client.call(request, 0.0, lambda each: each.is_deciding)
        return reply.map(lambda each: each.delay_s)


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
        if not peer_values.is_sound_limit(request.limit):
            return PermitReply(True)
        now_s = asyncio.get_running_loop().time()
        limits = self.registry.limits
        limits.merge((request.limit,), now_s)
        server = request.limit.server
        if server not in self.permits.buckets:
            self.permits.keep_only(limits.servers(now_s))
        per_s = limits.find(server, now_s)
        if per_s is None:
            return PermitReply(True)
        return PermitReply(True, self.permits.take(server, per_s, request.rank, now_s))
