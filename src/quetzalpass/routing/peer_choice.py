"""Choice of the gateway to which a request is handed over, without input or output.

Load patterns that it handles:

- Most gateways of a data centre reach no server, and the few others would get all of
  their requests. The load of those that can be reached counts more than the distance.
- A gateway fails or refuses while requests are handed to it. It is avoided for a short
  time, so that each request tries few of them.
"""

import random
from collections.abc import Collection, Sequence

from quetzalpass import ids
from quetzalpass.routing import peer_gateways

# A gateway of another data centre counts as if it served so many requests more.
REMOTE_PENALTY_REQUESTS = 4.0
# After a failure a gateway is avoided for this time.
AVOID_S = 1.0


class PeerChoice:
    """Peers of one gateway, and what it has handed to each.

    Parameters
    ----------
    data_centre : DataCentreId
        Data centre of this gateway.
    rng : random.Random
        Draws the candidates.

    Attributes
    ----------
    peers : tuple of PeerGateway
        The peers that the control node has named last.
    handed : dict of VmId to int
        Requests that each peer serves for this gateway now.
    avoided_until_s : dict of VmId to float
        Peers that have failed or refused, until when they are avoided.
    """

    def __init__(self, data_centre: ids.DataCentreId, rng: random.Random) -> None:
        self.data_centre = data_centre
        self.rng = rng
        self.peers: tuple[peer_gateways.PeerGateway, ...] = ()
        self.handed: dict[ids.VmId, int] = {}
        self.avoided_until_s: dict[ids.VmId, float] = {}

    def candidates(
        self, service: ids.ServiceName, excluded: Collection[ids.VmId], now_s: float
    ) -> list[peer_gateways.PeerGateway]:
        """Return the peers that reach a service, as far as is known."""
        return [
            each
            for each in self.peers
            if service not in each.lost_services
            and each.vm not in excluded
            and self.avoided_until_s.get(each.vm, 0.0) <= now_s
        ]

    def choose(
        self, service: ids.ServiceName, excluded: Collection[ids.VmId], now_s: float
    ) -> ids.VmId | None:
        """Return the less loaded of two random peers that reach a service.

        Parameters
        ----------
        service : ServiceName
            Service of the request.
        excluded : collection of VmId
            Peers that the request has tried.
        now_s : float
            Loop time.
        """
        found = self.candidates(service, excluded, now_s)
        if not found:
            return None
        drawn: Sequence[peer_gateways.PeerGateway]
        drawn = self.rng.sample(found, min(2, len(found)))
        return min(drawn, key=self.load).vm

    def load(self, peer: peer_gateways.PeerGateway) -> float:
        """Return the load of a peer; one of another data centre counts as busier."""
        is_remote = peer.data_centre != self.data_centre
        load = peer.running + self.handed.get(peer.vm, 0)
        return load + REMOTE_PENALTY_REQUESTS * is_remote

    def avoid(self, vm: ids.VmId, now_s: float) -> None:
        """Avoid a peer for a short time."""
        self.avoided_until_s[vm] = now_s + AVOID_S

    def begin(self, vm: ids.VmId) -> None:
        """Count a request that a peer serves."""
        self.handed[vm] = self.handed.get(vm, 0) + 1

    def end(self, vm: ids.VmId) -> None:
        """Stop counting a request."""
        self.handed[vm] -= 1
        if not self.handed[vm]:
            del self.handed[vm]
