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

    def eject(self, server_id: ids.ServerId, reason: str) -> None:
        """Exclude a server from new work for a short time."""
        now_s = asyncio.get_running_loop().time()
        self.ejected_until_s[server_id] = now_s + EJECTION_S
        self.health.pop(server_id, None)
        LOG.warning("routing: No new work for {}: {}.", server_id, reason)


def avoid_none(fingerprint: str) -> frozenset[ids.ServerId]:
    """Return no server to avoid."""
    return frozenset()
