"""Typed calls from one daemon to another over the peer protocol."""

import zlib

import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.control import messages
from quetzalpass.membership import inner_messages
from quetzalpass.results import codes, failures
from quetzalpass.wire import transport

LOG = logbook.Logger("membership")

# A call is tried on a pooled connection first, and on a new one after half its time.
TRIES_PER_CALL = 2


class PeerClient:
    """Client of one peer.

    Parameters
    ----------
    vm : VmId
        The peer.
    channel : transport.PeerTransport
        Transport to all peers.
    """

    def __init__(self, vm: ids.VmId, channel: transport.PeerTransport) -> None:
        self.vm = vm
        self.channel = channel

    async def fetch_declaration(
        self,
        newer_than: ids.Revision,
        wait_s: float,
        timeout_s: float,
        whole: bool = False,
    ) -> result.Result[inner_messages.DeclarationReply, failures.Failure]:
        """Wait for a revision that is newer than the given one.

        Parameters
        ----------
        newer_than : Revision
            Revision that this daemon has.
        wait_s : float
            How long the peer may wait for one, in seconds.
        timeout_s : float
            How long one attempt may take, in seconds.
        whole : bool
            Whether to ask for the whole revision instead of a delta.

        Returns
        -------
        Result
            The revision; revision 0 if there was none within ``wait_s`` seconds.
        """
        request = inner_messages.DeclarationRequest(
            newer_than, wait_s, whole, accepts_compressed=True
        )
        received = await self.channel.call(self.vm, request, TRIES_PER_CALL * timeout_s)
        return received.bind(decompress)

    async def fetch_status(
        self, timeout_s: float
    ) -> result.Result[messages.VmStatus, failures.Failure]:
        """Fetch the peer's own status."""
        request = inner_messages.VmStatusRequest()
        received = await self.channel.call(self.vm, request, timeout_s)
        return received.map(lambda reply: reply.status)

    async def propose(
        self, request: inner_messages.ProposeRequest, timeout_s: float
    ) -> result.Result[inner_messages.ProposeReply, failures.Failure]:
        """Forward a command."""
        return await self.channel.call(self.vm, request, TRIES_PER_CALL * timeout_s)

    async def send_summary(
        self, summary: inner_messages.GatewaySummary, timeout_s: float
    ) -> result.Result[inner_messages.SummaryReply, failures.Failure]:
        """Send a summary."""
        return await self.channel.call(self.vm, summary, timeout_s)


def decompress(
    reply: inner_messages.DeclarationReply,
) -> result.Result[inner_messages.DeclarationReply, failures.Failure]:
    """Return a reply with its revision or delta in plain form."""
    if not reply.is_compressed:
        return result.Success(reply)
    try:
        data = zlib.decompress(reply.data) if reply.data else b""
        delta = zlib.decompress(reply.delta) if reply.delta else b""
    except zlib.error as error:
        LOG.error(
            "membership: Revision {} can't be decoded: {}.", reply.revision, error
        )
        return result.Failure(
            failures.Failure(codes.Code.UNREACHABLE, "the reply can't be decoded")
        )
    return result.Success(
        msgspec.structs.replace(reply, data=data, delta=delta, is_compressed=False)
    )
