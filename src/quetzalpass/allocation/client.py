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
ANSWER_S = 0.15
# After a node did not answer, the gateway decides for itself for so long.
PAUSE_S = 0.6

Asked = result.Result[messages.AllocationReply, failures.Failure]


class AllocationSource(abc.ABC):
    """Where a gateway asks for engines."""

    @abc.abstractmethod
    async def ask(self, request: messages.AllocationRequest) -> Asked:
        """Ask for an engine; a failure means that the gateway is on its own."""


class RemoteAllocation(AllocationSource):
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
        self.paused_until_s = 0.0

    async def ask(self, request: messages.AllocationRequest) -> Asked:
        """Ask the leader, unless it has been silent a moment ago."""
        leader = self.leader()
        now_s = asyncio.get_running_loop().time()
        if leader is None or now_s < self.paused_until_s:
            return failed("no node allocates")
        timeout_s = request.wait_s + ANSWER_S
        try:
            async with asyncio.timeout(timeout_s):
                asked = await self.channel.call(leader, request, 2 * timeout_s)
        except TimeoutError:
            asked = failed(f"no answer within {timeout_s:.2f} s")
        if isinstance(asked, result.Failure):
            return self.pause(leader, asked.failure().message)
        if not asked.unwrap().is_allocating:
            return self.pause(leader, "it does not allocate")
        return asked

    def pause(self, leader: ids.VmId, reason: str) -> Asked:
        """Ask nobody for a moment."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.paused_until_s:
            LOG.warning("allocation: Deciding without {}: {}.", leader, reason)
        self.paused_until_s = now_s + PAUSE_S
        return failed(reason)


def failed(message: str) -> Asked:
    """Return the failure of a question that nobody answered."""
    return result.Failure(failures.Failure(codes.Code.UNREACHABLE, message))
