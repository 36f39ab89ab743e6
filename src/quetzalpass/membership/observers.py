"""Which gateways watch a backend server."""

import xxhash

from quetzalpass import ids

OBSERVERS_PER_SERVER = 3
ALL_OBSERVE_BELOW_SERVERS = 64


def rendezvous_weight(server_id: ids.ServerId, gateway: ids.VmId) -> int:
    """Return the rendezvous weight of a gateway for a server."""
    return xxhash.xxh3_64_intdigest(f"{server_id}/{gateway}".encode())


def choose_observers(
    server_id: ids.ServerId, gateways: list[ids.VmId], server_count: int
) -> list[ids.VmId]:
    """Return the gateways that probe a server.

    In a small deployment all gateways do. In a large one rendezvous hashing picks a
    few, so that the probes a server gets don't grow with the number of gateways and
    a lost gateway moves only its own share.

    Parameters
    ----------
    server_id : ServerId
        The server.
    gateways : list of VmId
        Gateways that could probe it.
    server_count : int
        Declared servers in all.
    """
    if server_count < ALL_OBSERVE_BELOW_SERVERS:
        return sorted(gateways)
    ranked = sorted(
        gateways, key=lambda vm: (rendezvous_weight(server_id, vm), vm), reverse=True
    )
    return ranked[:OBSERVERS_PER_SERVER]
