"""Calls from a gateway to the leading control node, which fail fast and back off."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.results import codes, failures
from quetzalpass.wire import messages, transport

LOG = logbook.Logger("allocation")

# Time for the round trip and the decision, in addition to the requested wait.
REPLY_MARGIN_S = 0.15
# After a call fails, the gateway decides by itself for this time.
BACKOFF_S = 0.6

Reply = TypeVar("Reply", bound=messages.Reply)


class LeaderClient:
    """Client of the leading control node for one kind of decision.

    Parameters
    ----------
    decision : str
        What the node decides, for the log.
    leader : callable
        Returns the control node that leads, or ``None`` if it is unknown.
    channel : transport.PeerTransport
        Transport to the control nodes.
    """

    def __init__(
        self,
        decision: str,
        leader: Callable[[], ids.VmId | None],
        channel: transport.PeerTransport,
    ) -> None:
        self.decision = decision
        self.leader = leader
        self.channel = channel
        self.backoff_until_s = 0.0

    async def call(
        self,
        request: messages.Request,
        wait_s: float,
        is_decided: Callable[[Reply], bool],
    ) -> result.Result[Reply, failures.Failure]:
        """Call the leader, unless a recent call has failed.

        Parameters
        ----------
        request : messages.Request
            The request.
        wait_s : float
            How long the leader may wait before it replies, in seconds.
        is_decided : callable
            Returns whether a reply is from a node that leads.
        """
        leader = self.leader()
        now_s = asyncio.get_running_loop().time()
        if leader is None or now_s < self.backoff_until_s:
            return unavailable(f"no node decides on {self.decision}")
        timeout_s = wait_s + REPLY_MARGIN_S
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.channel.call(leader, request, 2 * timeout_s)
        except TimeoutError:
            reply = unavailable(f"no reply within {timeout_s:.2f} s")
        if isinstance(reply, result.Failure):
            return self.back_off(leader, reply.failure().message)
        if not is_decided(reply.unwrap()):
            return self.back_off(leader, "it does not lead")
        return reply

    def back_off(self, leader: ids.VmId, reason: str) -> result.Result:
        """Send no calls for ``BACKOFF_S``."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.backoff_until_s:
            LOG.warning(
                "allocation: Deciding on {} without {}: {}.",
                self.decision,
                leader,
                reason,
            )
        self.backoff_until_s = now_s + BACKOFF_S
        return unavailable(reason)


def unavailable(message: str) -> result.Result:
    """Return the failure of a request that no node handled."""
    return result.Failure(failures.Failure(codes.Code.UNREACHABLE, message))
