"""Propagates declarations from the replicas to every daemon.

Each data centre has two relays, the daemons with the smallest ids. Relays long-poll the
replicas for the next revision, and all others long-poll the relays of their data
centre, so that a revision is sent on as soon as it is in force at the source. A reply
that is lost or delayed by a silent link is replaced by that to the next request, or by
anti-entropy, which polls all peers in random order.
"""

import asyncio
import functools
import random

import logbook
from returns import result

from quetzalpass import background, ids
from quetzalpass.membership import configuration, peer_client
from quetzalpass.settings import schema

LOG = logbook.Logger("membership")

RELAYS_PER_DATA_CENTRE = 2
LONG_POLL_S = 5.0
REPLY_TIMEOUT_S = 3.0
RETRY_S = 0.5
ANTI_ENTROPY_INTERVAL_S = 0.5
ANTI_ENTROPY_TIMEOUT_S = 0.8


def relays_in(
    data_centre: ids.DataCentreId, members: dict[ids.VmId, ids.DataCentreId]
) -> list[ids.VmId]:
    """Return the relays of a data centre."""
    inside = sorted(vm for vm, where in members.items() if where == data_centre)
    return inside[:RELAYS_PER_DATA_CENTRE]


def sources_for(settings: schema.Settings) -> list[ids.VmId]:
    """Return the peers that this daemon long-polls for the next revision."""
    members = {each.id: each.data_centre for each in settings.peer_vms}
    members[settings.id] = settings.data_centre
    replicas = [each.id for each in settings.peer_vms if each.replica]
    relays = relays_in(settings.data_centre, members)
    if settings.id in relays or schema.Role.REPLICA in settings.roles:
        return replicas
    return [vm for vm in relays if vm != settings.id]


class Propagation:
    """Keeps this daemon at the newest revision.

    Parameters
    ----------
    settings : schema.Settings
        Roles, data centres and ids of this daemon and its peers.
    holder : configuration.ConfigurationHolder
        Receives the revisions.
    clients : dict of VmId to peer_client.PeerClient
        Clients of all peers.
    rng : random.Random
        Order in which anti-entropy polls the peers.
    """

    def __init__(
        self,
        settings: schema.Settings,
        holder: configuration.ConfigurationHolder,
        clients: dict[ids.VmId, peer_client.PeerClient],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.holder = holder
        self.clients = clients
        self.rng = rng
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start one task for each source and one for anti-entropy."""
        for vm in sources_for(self.settings):
            follow = functools.partial(self.follow, self.clients[vm])
            self.tasks.append(background.start(f"following {vm}", follow))
        if self.clients:
            self.tasks.append(background.start("anti-entropy", self.run_anti_entropy))

    def stop(self) -> None:
        """Stop all tasks."""
        for task in self.tasks:
            task.cancel()

    async def follow(self, client: peer_client.PeerClient) -> None:
        """Long-poll one source for revisions."""
        while True:
            if not await self.pull(client, LONG_POLL_S, LONG_POLL_S + REPLY_TIMEOUT_S):
                await asyncio.sleep(RETRY_S)

    async def run_anti_entropy(self) -> None:
        """Poll one peer after the other, in case a revision was missed.

        The timeout is short, so that a peer behind a silent link doesn't delay the poll
        of one that would reply. It is polled again in the next round.
        """
        while True:
            names = list(self.clients)
            self.rng.shuffle(names)
            for vm in names:
                await asyncio.sleep(ANTI_ENTROPY_INTERVAL_S)
                await self.pull(self.clients[vm], 0.0, ANTI_ENTROPY_TIMEOUT_S)

    async def pull(
        self, client: peer_client.PeerClient, wait_s: float, timeout_s: float
    ) -> bool:
        """Ask a peer for a newer revision; return whether it replied."""
        return await pull_revision(self.holder, client, wait_s, timeout_s)


async def pull_revision(
    holder: configuration.ConfigurationHolder,
    client: peer_client.PeerClient,
    wait_s: float,
    timeout_s: float,
) -> bool:
    """Ask a peer for a newer revision and put it in force.

    Parameters
    ----------
    holder : configuration.ConfigurationHolder
        Receives the revision.
    client : peer_client.PeerClient
        Client of the peer.
    wait_s : float
        How long the peer may wait for a newer one, in seconds.
    timeout_s : float
        How long one attempt may take, in seconds.

    Returns
    -------
    bool
        Whether the peer replied.
    """
    base = holder.revision()
    fetched = await client.fetch_declaration(base, wait_s, timeout_s)
    if isinstance(fetched, result.Failure):
        return False
    reply = fetched.unwrap()
    if reply.delta:
        activated = holder.activate_delta(
            base, reply.revision, reply.digest, reply.delta
        )
        if activated or holder.revision() >= reply.revision:
            return True
        fetched = await client.fetch_declaration(base, 0.0, timeout_s, whole=True)
        if isinstance(fetched, result.Failure):
            return False
        reply = fetched.unwrap()
    if reply.revision:
        holder.activate(reply.revision, reply.digest, reply.data)
    return True
