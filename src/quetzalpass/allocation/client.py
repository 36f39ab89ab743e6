"""Client of the node that allocates engines, for gateways."""

import abc
import asyncio
from collections.abc import Callable

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.allocation import messages
from quetzalpass.results import codes, failures
from quetzalpass.wire import transport

LOG = logbook.Logger("allocation")

# Time for the round trip and the decision, in addition to the requested wait.
REPLY_MARGIN_S = 0.15
# After a call fails the gateway chooses engines itself for this time.
BACKOFF_S = 0.6

AllocationResult = result.Result[messages.AllocationReply, failures.Failure]


class AllocationSource(abc.ABC):
    """Source of the engine grants of a gateway."""

    @abc.abstractmethod
    async def request_grant(
        self, request: messages.AllocationRequest
    ) -> AllocationResult:
        """Request an engine; after a failure the gateway has to choose one itself."""


class RemoteAllocationSource(AllocationSource):
    """Requests grants from the leading control node.

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

    async def request_grant(
        self, request: messages.AllocationRequest
    ) -> AllocationResult:
        """Call the leader, unless a recent call has failed."""
        leader = self.leader()
        now_s = asyncio.get_running_loop().time()
        if leader is None or now_s < self.backoff_until_s:
            return unavailable("no node allocates engines")
        timeout_s = request.wait_s + REPLY_MARGIN_S
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.channel.call(leader, request, 2 * timeout_s)
        except TimeoutError:
            reply = unavailable(f"no reply within {timeout_s:.2f} s")
        if isinstance(reply, result.Failure):
            return self.back_off(leader, reply.failure().message)
        if not reply.unwrap().is_allocating:
            return self.back_off(leader, "it does not allocate engines")
        return reply

    def back_off(self, leader: ids.VmId, reason: str) -> AllocationResult:
        """Send no calls for ``BACKOFF_S``."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.backoff_until_s:
            LOG.warning("allocation: Choosing engines without {}: {}.", leader, reason)
        self.backoff_until_s = now_s + BACKOFF_S
        return unavailable(reason)


def unavailable(message: str) -> AllocationResult:
    """Return the failure of a request that no node handled."""
    return result.Failure(failures.Failure(codes.Code.UNREACHABLE, message))
