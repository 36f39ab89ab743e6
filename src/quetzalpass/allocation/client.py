"""Client of the node that allocates engines, for gateways."""

import abc
from collections.abc import Callable

from returns import result

from quetzalpass import ids
from quetzalpass.allocation import leader_client, messages
from quetzalpass.results import failures
from quetzalpass.wire import transport

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
        self.client = leader_client.LeaderClient("engines", leader, channel)

    async def request_grant(
        self, request: messages.AllocationRequest
    ) -> AllocationResult:
        """Call the leader, unless a recent call has failed."""
        return await self.client.call(
            request, request.wait_s, lambda reply: reply.is_allocating
        )
