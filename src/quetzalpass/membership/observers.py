"""Chooses the gateways that probe a backend server."""

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

    In a small deployment all gateways do. In a large one rendezvous hashing selects a
    few, so that a server's probe load doesn't grow with the number of gateways and the
    loss of a gateway reassigns only the servers that it probed.

    Parameters
    ----------
    server_id : ServerId
        The server.
    gateways : list of VmId
        Gateways that could probe it.
    server_count : int
        Total number of declared servers.
    """
    if server_count < ALL_OBSERVE_BELOW_SERVERS:
        return sorted(gateways)
    ranked = sorted(
        gateways, key=lambda vm: (rendezvous_weight(server_id, vm), vm), reverse=True
    )
    return ranked[:OBSERVERS_PER_SERVER]
