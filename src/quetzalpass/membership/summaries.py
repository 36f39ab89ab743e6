"""Sends this gateway's summaries to the other gateways."""

import asyncio
import functools
from collections.abc import Callable

import logbook
from returns import result

from quetzalpass import background, ids
from quetzalpass.membership import inner_messages, peer_client
from quetzalpass.settings import schema

LOG = logbook.Logger("membership")

BUSY_INTERVAL_S = 0.5
IDLE_INTERVAL_S = 1.5
SEND_TIMEOUT_S = 1.0
MAX_DIRECT_PEERS = 16


def summary_peers(settings: schema.Settings) -> list[ids.VmId]:
    """Return the peers that receive this gateway's summaries.

    In a small deployment these are all peers, in a large one those in its data centre.
    """
    peers = settings.peer_vms
    if len(peers) > MAX_DIRECT_PEERS:
        peers = tuple(
            each for each in peers if each.data_centre == settings.data_centre
        )
    return [each.id for each in peers]


class SummarySender:
    """Sends this gateway's summary, one task for each peer.

    Parameters
    ----------
    clients : dict of VmId to peer_client.PeerClient
        Clients of the peers that receive summaries.
    make_summary : callable
        Returns the current summary.

    Attributes
    ----------
    send_requests : list of asyncio.Event
        One for each peer; set to send a summary at once.
    """

    def __init__(
        self,
        clients: dict[ids.VmId, peer_client.PeerClient],
        make_summary: Callable[[], inner_messages.GatewaySummary],
    ) -> None:
        self.clients = clients
        self.make_summary = make_summary
        self.tasks: list[asyncio.Task[None]] = []
        self.send_requests: list[asyncio.Event] = []

    def start(self) -> None:
        """Start one task for each peer."""
        for client in self.clients.values():
            send_request = asyncio.Event()
            self.send_requests.append(send_request)
            send = functools.partial(self.send_periodically, client, send_request)
            self.tasks.append(background.start(f"summaries for {client.vm}", send))

    def send_now(self) -> None:
        """Send the next summaries without waiting for the end of the interval."""
        for send_request in self.send_requests:
            send_request.set()

    def stop(self) -> None:
        """Stop all tasks."""
        for task in self.tasks:
            task.cancel()

    async def send_periodically(
        self, client: peer_client.PeerClient, send_request: asyncio.Event
    ) -> None:
        """Send summaries to one peer periodically and when requested."""
        reachable = True
        while True:
            summary = self.make_summary()
            sent = await client.send_summary(summary, SEND_TIMEOUT_S)
            if reachable and isinstance(sent, result.Failure):
                LOG.warning("membership: Can't send summaries to {}.", client.vm)
            reachable = isinstance(sent, result.Success)
            try:
                async with asyncio.timeout(interval_after(summary)):
                    await send_request.wait()
            except TimeoutError:
                continue
            send_request.clear()


def interval_after(summary: inner_messages.GatewaySummary) -> float:
    """Return the delay before the next summary, in seconds.

    The routing of the other gateways needs fresh figures only from a gateway that has
    requests in progress. Both intervals are well below the lifetime of a summary.
    """
    if summary.dispatches.loads:
        return BUSY_INTERVAL_S
    return IDLE_INTERVAL_S
