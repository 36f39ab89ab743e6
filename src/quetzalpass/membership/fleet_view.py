"""One gateway's view of the discovered backend servers."""

import asyncio
import math
from collections.abc import Callable

import logbook
import msgspec

from quetzalpass import ids
from quetzalpass.backends import discovery
from quetzalpass.membership import fleet_messages

LOG = logbook.Logger("membership")

MS_PER_S = 1000
# An older report of the other gateways' load lacks servers that have started since.
USES_LIFETIME_S = 1.0
# Announcements of servers that are no longer listed are kept for this time.
UNLISTED_LIFETIME_S = 300.0


class KnownServer(msgspec.Struct):
    """A discovered server and its state as this gateway knows it.

    Attributes
    ----------
    server : discovery.DiscoveredServer
        The newest entry of the list.
    warm_at_s : float
        Loop time from which it is no longer slow after its start.
    leaving_since_s : float or None
        Loop time at which it was first known to be leaving.
    """

    server: discovery.DiscoveredServer
    warm_at_s: float = 0.0
    leaving_since_s: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether it is leaving and takes no new work."""
        return self.leaving_since_s is not None


class Announcement(msgspec.Struct, frozen=True):
    """Word of one start of a server that it is leaving.

    Attributes
    ----------
    start_key : str
        The start; another one at the same address is a new server.
    at_s : float
        Loop time at which it reached this gateway.
    """

    start_key: str
    at_s: float


class FleetView:
    """The servers by id; notifies observers when one leaves.

    Attributes
    ----------
    servers : dict of ServerId to KnownServer
        All servers of the list.
    uses : dict of ServerId to fleet_messages.ServerUse
        Work of all other gateways on each.
    uses_at_s : float
        Loop time at which ``uses`` arrived.
    gateways : int
        Number of gateways.
    read_at_s : float or None
        Loop time at which the list was read.
    own_announcements : dict of ServerId to Announcement
        Servers that have announced to this gateway that they are leaving.
    leaving_observers : list of callable
        Called with the id of each server that starts leaving or is gone.
    change_observers : list of callable
        Called after each change.
    """

    def __init__(self) -> None:
        self.servers: dict[ids.ServerId, KnownServer] = {}
        self.uses: dict[ids.ServerId, fleet_messages.ServerUse] = {}
        self.uses_at_s = 0.0
        self.gateways = 1
        self.read_at_s: float | None = None
        self.own_announcements: dict[ids.ServerId, Announcement] = {}
        self.leaving_observers: list[Callable[[ids.ServerId], None]] = []
        self.change_observers: list[Callable[[], None]] = []

    def replace_servers(
        self, servers: tuple[discovery.DiscoveredServer, ...], age_s: float
    ) -> None:
        """Replace the list; remove servers that are no longer in it."""
        now_s = asyncio.get_running_loop().time()
        self.read_at_s = now_s - age_s
        listed = {each.id: each for each in servers}
        gone = [each for each in self.servers if each not in listed]
        leaving = [each for each in listed.values() if self.update_server(each, now_s)]
        for server_id in gone:
            del self.servers[server_id]
        self.expire_announcements(now_s)
        for server_id in [*gone, *(each.id for each in leaving)]:
            for observer in self.leaving_observers:
                observer(server_id)
        self.notify_change()

    def expire_announcements(self, now_s: float) -> None:
        """Forget old announcements of servers that are no longer listed.

        The list may lack a server for a short time.
        """
        self.own_announcements = {
            server_id: each
            for server_id, each in self.own_announcements.items()
            if server_id in self.servers or now_s - each.at_s < UNLISTED_LIFETIME_S
        }

    def update_server(self, server: discovery.DiscoveredServer, now_s: float) -> bool:
        """Apply one entry; return whether the server has just started leaving."""
        known = self.servers.get(server.id)
        if known is None or known.server.started_ms != server.started_ms:
            known = self.servers[server.id] = KnownServer(server)
        known.server = server
        known.warm_at_s = now_s + server.slow_for_ms / MS_PER_S
        is_leaving = server.state is discovery.ServerState.LEAVING
        if (is_leaving or self.is_announced(server)) and not known.is_leaving:
            known.leaving_since_s = now_s
            return True
        if not is_leaving and not self.is_announced(server):
            known.leaving_since_s = None
        return False

    def is_announced(self, server: discovery.DiscoveredServer) -> bool:
        """Return whether this start of a server has announced that it is leaving."""
        announcement = self.own_announcements.get(server.id)
        return announcement is not None and announcement.start_key == server.start_key

    def announce(self, server_id: ids.ServerId) -> None:
        """Record that a server has announced to this gateway that it is leaving."""
        known = self.servers.get(server_id)
        if known is None or known.is_leaving:
            return
        now_s = asyncio.get_running_loop().time()
        known.leaving_since_s = now_s
        start_key = known.server.start_key
        self.own_announcements[server_id] = Announcement(start_key, now_s)
        LOG.info("membership: Server {} announces that it is leaving.", server_id)
        for observer in self.leaving_observers:
            observer(server_id)
        self.notify_change()

    def replace_uses(
        self, uses: tuple[fleet_messages.ServerUse, ...], gateways: int
    ) -> None:
        """Replace the work that the other gateways have on the servers."""
        self.uses = {each.server: each for each in uses}
        self.uses_at_s = asyncio.get_running_loop().time()
        self.gateways = max(1, gateways)
        self.notify_change()

    def use_of_others(self, own: fleet_messages.ServerUse) -> fleet_messages.ServerUse:
        """Return the work that the other gateways have on a server.

        Without a recent report, each of them is assumed to have as much as this one.
        With old figures, servers that have started since would appear idle and receive
        all new work.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s - self.uses_at_s <= USES_LIFETIME_S:
            none = fleet_messages.ServerUse(own.server)
            return self.uses.get(own.server, none)
        return own.times(self.gateways - 1)

    def age_s(self) -> float:
        """Return the age of the list; infinite before the first arrives."""
        if self.read_at_s is None:
            return math.inf
        return asyncio.get_running_loop().time() - self.read_at_s

    def age_ms(self) -> int | None:
        """Return the age of the list; ``None`` before the first arrives."""
        age_s = self.age_s()
        return None if math.isinf(age_s) else int(age_s * MS_PER_S)

    def notify_change(self) -> None:
        """Notify the observers of a change."""
        for observer in self.change_observers:
            observer()

    def count(self, state: discovery.ServerState) -> int:
        """Return how many listed servers are in a state, with announcements applied."""
        is_leaving = state is discovery.ServerState.LEAVING
        return sum(each.is_leaving is is_leaving for each in self.servers.values())

    def find_servers(self, service: ids.ServiceName) -> list[KnownServer]:
        """Return the servers of a service, leaving ones included."""
        return [
            each for each in self.servers.values() if each.server.service == service
        ]
