"""Propagation of declared state from the replicas to every daemon.

Each data centre has two relays, the daemons with the smallest ids. Relays wait at the
replicas for the next revision, all others wait at the relays of their data centre. The
waiting request is the push: its answer leaves as soon as a revision is in force at the
source. A lost answer or a silent link is repaired by the next request, and by one more
request that goes round all peers.
"""

import asyncio
import random

import logbook
from returns import result

from quetzalpass import ids
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
    """Return the peers at which this daemon waits for the next revision."""
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
        Who the peers are.
    holder : configuration.ConfigurationHolder
        Where revisions come into force.
    clients : dict of VmId to peer_client.PeerClient
        Clients of all peers.
    rng : random.Random
        Order of the round.
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
        """Start one task for each source and one for the round."""
        for vm in sources_for(self.settings):
            self.tasks.append(asyncio.create_task(self.follow(self.clients[vm])))
        if self.clients:
            self.tasks.append(asyncio.create_task(self.run_anti_entropy()))

    def stop(self) -> None:
        """Stop all tasks."""
        for task in self.tasks:
            task.cancel()

    async def follow(self, client: peer_client.PeerClient) -> None:
        """Wait at one source for the next revision, for ever."""
        while True:
            if not await self.pull(client, LONG_POLL_S, LONG_POLL_S + REPLY_TIMEOUT_S):
                await asyncio.sleep(RETRY_S)

    async def run_anti_entropy(self) -> None:
        """Ask one peer after the other, which repairs whatever went wrong.

        The timeout is short: a peer behind a silent link is asked again in the next
        round, and must not hold up the question to one that would answer.
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
        """Ask a peer for a newer revision; return whether it answered."""
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
        Where the revision comes into force.
    client : peer_client.PeerClient
        Client of the peer.
    wait_s : float
        How long the peer may wait for a newer one.
    timeout_s : float
        How long one try may take.

    Returns
    -------
    bool
        Whether the peer answered.
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
