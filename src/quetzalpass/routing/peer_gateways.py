"""Gateways to which another one may hand over requests, as control nodes know them."""

import zlib
from collections.abc import Iterable

import msgspec

from quetzalpass import ids

# Gateways that are named to each one: some of its data centre, some of the others.
LOCAL_PEERS = 4
REMOTE_PEERS = 4
# The gateways are sorted anew after this time.
REBUILD_INTERVAL_S = 0.25


class PeerGateway(msgspec.Struct, frozen=True):
    """State of a gateway that takes requests from others.

    Attributes
    ----------
    vm : VmId
        Address of its listener for peers.
    data_centre : DataCentreId
        Where it runs.
    running : int
        Requests that it serves.
    lost_services : tuple of ServiceName
        Services none of whose servers it reaches.
    """

    vm: ids.VmId
    data_centre: ids.DataCentreId
    running: int = 0
    lost_services: tuple[ids.ServiceName, ...] = ()


class PeerDirectory:
    """Chooses which gateways are named to each one.

    Each gateway gets the ones that follow it in a ring, so that all are named equally
    often and the choice is stable.

    Attributes
    ----------
    rings : dict of DataCentreId to list of PeerGateway
        Gateways that reach all services, by data centre; where all have lost one, all.
    """

    def __init__(self) -> None:
        self.rings: dict[ids.DataCentreId, list[PeerGateway]] = {}
        self.rebuilt_s = float("-inf")

    def update(self, peers: Iterable[PeerGateway], now_s: float) -> None:
        """Sort the gateways, unless that was done a moment ago."""
        if now_s - self.rebuilt_s < REBUILD_INTERVAL_S:
            return
        self.rebuilt_s = now_s
        found = sorted(peers, key=lambda each: each.vm)
        sound = [each for each in found if not each.lost_services]
        self.rings = {}
        for each in sound or found:
            self.rings.setdefault(each.data_centre, []).append(each)

    def peers_of(
        self, vm: ids.VmId, data_centre: ids.DataCentreId
    ) -> tuple[PeerGateway, ...]:
        """Return the gateways that are named to one, its own data centre's first."""
        local = successors(self.rings.get(data_centre, []), vm, LOCAL_PEERS)
        remote = [
            each
            for other in sorted(self.rings)
            if other != data_centre
            for each in successors(self.rings[other], vm, REMOTE_PEERS)
        ]
        return (*local, *successors(remote, vm, REMOTE_PEERS))


def successors(
    ring: list[PeerGateway], vm: ids.VmId, count: int
) -> tuple[PeerGateway, ...]:
    """Return the gateways of a ring that follow the place of an id, except itself."""
    start = zlib.crc32(vm.encode())
    found: list[PeerGateway] = []
    for step in range(min(len(ring), count + 1)):
        each = ring[(start + step) % len(ring)]
        if each.vm != vm:
            found.append(each)
    return tuple(found[:count])
