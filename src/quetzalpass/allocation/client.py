"""A gateway's way to the node that allocates engines."""

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

# Longest time for the way there and back and the decision.
REPLY_MARGIN_S = 0.15
# After a node did not answer, the gateway decides for itself for so long.
BACKOFF_S = 0.6

AllocationResult = result.Result[messages.AllocationReply, failures.Failure]


class AllocationSource(abc.ABC):
    """Where a gateway asks for engines."""

    @abc.abstractmethod
    async def request_grant(
        self, request: messages.AllocationRequest
    ) -> AllocationResult:
        """Ask for an engine; a failure means that the gateway is on its own."""


class RemoteAllocationSource(AllocationSource):
    """Asks the leading control node.

    Parameters
    ----------
    leader : callable
        Returns the node that watches the fleet, if it is known.
    channel : transport.PeerTransport
        Way to the control nodes.
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
        """Ask the leader, unless it has been silent a moment ago."""
        leader = self.leader()
        now_s = asyncio.get_running_loop().time()
        if leader is None or now_s < self.backoff_until_s:
            return unavailable("no node allocates")
        timeout_s = request.wait_s + REPLY_MARGIN_S
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.channel.call(leader, request, 2 * timeout_s)
        except TimeoutError:
            reply = unavailable(f"no answer within {timeout_s:.2f} s")
        if isinstance(reply, result.Failure):
            return self.back_off(leader, reply.failure().message)
        if not reply.unwrap().is_allocating:
            return self.back_off(leader, "it does not allocate")
        return reply

    def back_off(self, leader: ids.VmId, reason: str) -> AllocationResult:
        """Ask nobody for a moment."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.backoff_until_s:
            LOG.warning("allocation: Deciding without {}: {}.", leader, reason)
        self.backoff_until_s = now_s + BACKOFF_S
        return unavailable(reason)


def unavailable(message: str) -> AllocationResult:
    """Return the failure of a question that nobody answered."""
    return result.Failure(failures.Failure(codes.Code.UNREACHABLE, message))
