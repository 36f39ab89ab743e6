"""Servers that a gateway excludes from new work after its own requests failed there."""

import asyncio
from collections.abc import Callable

import logbook

from quetzalpass import ids
from quetzalpass.backends import discovery
from quetzalpass.membership import fleet_view
from quetzalpass.routing import ejection

LOG = logbook.Logger("routing")

# Short, because other requests to the server may still succeed.
EJECTION_S = 3.0
# Each time that a server sends without end, up to this, until it completes a request.
MAX_ENDLESS_EJECTION_S = 60.0
# Time for which a data centre is used last after one of its servers was unreachable.
CUT_OFF_S = 1.5


class ServerHealth:
    """Health of the servers as observed by this gateway's own requests.

    Parameters
    ----------
    view : fleet_view.FleetView
        The backend servers.
    data_centre : DataCentreId
        Data centre of this gateway.

    Attributes
    ----------
    endless_counts : dict of ServerId to int
        How often a server sent without end since it last completed a request.
    find_servers_to_avoid : callable
        Returns the servers to which a request, given its fingerprint, is not sent while
        others are available.
    """

    def __init__(
        self, view: fleet_view.FleetView, data_centre: ids.DataCentreId
    ) -> None:
        self.view = view
        self.data_centre = data_centre
        self.find_servers_to_avoid: Callable[[str], frozenset[ids.ServerId]]
        self.find_servers_to_avoid = avoid_none
        self.health: dict[ids.ServerId, ejection.Health] = {}
        self.ejected_until_s: dict[ids.ServerId, float] = {}
        self.endless_counts: dict[ids.ServerId, int] = {}
        self.cut_off_until_s: dict[ids.DataCentreId, float] = {}

    def is_ejected(self, server_id: ids.ServerId, now_s: float) -> bool:
        """Return whether a server is excluded from new work now."""
        return now_s < self.ejected_until_s.get(server_id, 0.0)

    def is_cut_off(self, data_centre: ids.DataCentreId, now_s: float) -> bool:
        """Return whether a data centre was recently unreachable."""
        return now_s < self.cut_off_until_s.get(data_centre, 0.0)

    def cut_off_data_centres(self, now_s: float) -> tuple[ids.DataCentreId, ...]:
        """Return the data centres that were recently unreachable."""
        return tuple(
            each for each in self.cut_off_until_s if self.is_cut_off(each, now_s)
        )

    def record_success(self, server_id: ids.ServerId) -> None:
        """Record that a server completed a request."""
        if server_id in self.view.servers:
            data_centre = self.view.servers[server_id].server.data_centre
            self.cut_off_until_s.pop(data_centre, None)
        if server_id in self.health:
            self.health[server_id].record_success()
        self.endless_counts.pop(server_id, None)

    def record_unreachable(
        self, server: discovery.DiscoveredServer, reason: str
    ) -> None:
        """Record that no connection to a server could be opened, and eject it.

        Its whole data centre may be unreachable. Unless that is the gateway's own, its
        servers are used last for a short time.
        """
        self.eject(server.id, reason)
        if server.data_centre != self.data_centre:
            now_s = asyncio.get_running_loop().time()
            self.cut_off_until_s[server.data_centre] = now_s + CUT_OFF_S

    def record_failure(self, server_id: ids.ServerId, reason: str) -> None:
        """Record a failed request, and eject the server after repeated failures."""
        health = self.health.setdefault(server_id, ejection.Health())
        if health.record_failure():
            self.eject(server_id, reason)

    def record_endless(self, server_id: ids.ServerId, reason: str) -> None:
        """Eject a server that sent more than any response has, longer each time.

        Each request there would be lost, and takes memory until it is given up. Further
        requests that were there at the same time don't count.
        """
        now_s = asyncio.get_running_loop().time()
        if self.is_ejected(server_id, now_s):
            return
        count = self.endless_counts.get(server_id, 0)
        self.endless_counts[server_id] = count + 1
        duration_s = min(MAX_ENDLESS_EJECTION_S, EJECTION_S * 2**count)
        self.eject(server_id, reason, duration_s)

    def eject(
        self, server_id: ids.ServerId, reason: str, duration_s: float = EJECTION_S
    ) -> None:
        """Exclude a server from new work for a short time."""
        now_s = asyncio.get_running_loop().time()
        self.ejected_until_s[server_id] = now_s + duration_s
        self.health.pop(server_id, None)
        LOG.warning("routing: No new work for {}: {}.", server_id, reason)


def avoid_none(fingerprint: str) -> frozenset[ids.ServerId]:
    """Return no server to avoid."""
    return frozenset()
