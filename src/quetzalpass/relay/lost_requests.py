"""Requests that were lost on servers of which it is not known whether they crashed."""

import asyncio

import msgspec

from quetzalpass.backends import discovery
from quetzalpass.membership import fleet_view, in_flight_requests

# The list shows a restarted server well within this time.
LOST_LIFETIME_S = 10.0
MAX_LOST_REQUESTS = 1_000


class LostRequest(msgspec.Struct, frozen=True):
    """A request that ended without a response on a server that still responded.

    Attributes
    ----------
    server : discovery.DiscoveredServer
        The start of the server to which it was sent.
    request : in_flight_requests.InFlightRequest
        How far it had got.
    expires_s : float
        Loop time at which it is forgotten.
    """

    server: discovery.DiscoveredServer
    request: in_flight_requests.InFlightRequest
    expires_s: float


class LostRequests:
    """Requests that a gateway has lost recently.

    If the list, or a server at the same address, shows that their server has been
    replaced without notice, it had crashed.

    Parameters
    ----------
    view : fleet_view.FleetView
        The backend servers.

    Attributes
    ----------
    requests : list of LostRequest
        The requests.
    leaving_starts : set of str
        Starts of servers that have announced that they leave.
    """

    def __init__(self, view: fleet_view.FleetView) -> None:
        self.view = view
        self.requests: list[LostRequest] = []
        self.leaving_starts: set[str] = set()

    def add(
        self,
        server: discovery.DiscoveredServer,
        request: in_flight_requests.InFlightRequest,
    ) -> None:
        """Remember a request for some time."""
        if len(self.requests) >= MAX_LOST_REQUESTS:
            return
        now_s = asyncio.get_running_loop().time()
        lost = LostRequest(server, request, now_s + LOST_LIFETIME_S)
        self.requests.append(lost)

    def expire(self) -> None:
        """Forget old requests."""
        now_s = asyncio.get_running_loop().time()
        self.requests = [each for each in self.requests if each.expires_s > now_s]

    def take(
        self, server: discovery.DiscoveredServer
    ) -> list[in_flight_requests.InFlightRequest]:
        """Remove and return the requests that were lost on a start of a server."""
        taken = [each for each in self.requests if is_same_start(each.server, server)]
        self.requests = [
            each for each in self.requests if not is_same_start(each.server, server)
        ]
        return [each.request for each in taken]

    def newest_starts(self) -> dict[str, int]:
        """Return the time of the newest listed start at each address."""
        newest_ms: dict[str, int] = {}
        for each in self.view.servers.values():
            started_ms = each.server.started_ms or 0
            address = each.server.address
            newest_ms[address] = max(started_ms, newest_ms.get(address, 0))
        return newest_ms

    def has_restarted(
        self, server: discovery.DiscoveredServer, newest_ms: dict[str, int]
    ) -> bool:
        """Return whether a server that did not leave has a newer start in its place."""
        if server.started_ms is None or server.start_key in self.leaving_starts:
            return False
        return newest_ms.get(server.address, 0) > server.started_ms


def is_same_start(
    first: discovery.DiscoveredServer, second: discovery.DiscoveredServer
) -> bool:
    """Return whether two entries are the same server, started at the same time."""
    return first.id == second.id and first.start_key == second.start_key
