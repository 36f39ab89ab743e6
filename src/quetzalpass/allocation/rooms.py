"""Room on brittle servers, shared out by the leading control node."""

import abc
import asyncio
from collections.abc import Callable

from returns import result

from quetzalpass import ids, ranges
from quetzalpass.allocation import leader_client
from quetzalpass.backends import discovery
from quetzalpass.membership import fleet_registry
from quetzalpass.results import failures
from quetzalpass.routing import server_rooms
from quetzalpass.wire import messages, transport


class RoomReply(messages.Reply, frozen=True):
    """Reply to a request for room, or to a release.

    Attributes
    ----------
    is_deciding : bool
        Whether this node decides; otherwise the gateway does by itself.
    is_admitted : bool
        Whether the request may be sent.
    """

    is_deciding: bool
    is_admitted: bool = False


class RoomRequest(messages.Request, frozen=True):
    """A gateway's request to send one request to a brittle server.

    Attributes
    ----------
    gateway : VmId
        The gateway.
    admission : str
        Id of the admission, the same in all copies of this message.
    server : ServerId
        The server.
    rank : int
        Priority of the request; 0 is the highest.
    max_duration_s : float
        Time after which the request has certainly ended, in seconds.
    brittle_for_s : float
        Time since the service has first said that it is brittle, in seconds.
    """

    reply_type = RoomReply
    gateway: ids.VmId
    admission: str
    server: ids.ServerId
    rank: ranges.Integer
    max_duration_s: ranges.Duration
    brittle_for_s: ranges.Duration


class RoomRelease(messages.Request, frozen=True):
    """A gateway's report that an admitted request has ended.

    Attributes
    ----------
    admission : str
        Id of the admission.
    server : ServerId
        The server.
    refusals : int
        Requests of this gateway that the server has refused since the last report.
    max_refusals_per_s : float
        Refusals within a second above which the server falls over.
    """

    reply_type = RoomReply
    admission: str
    server: ids.ServerId
    refusals: ranges.Count
    max_refusals_per_s: ranges.Rate


RoomResult = result.Result[RoomReply, failures.Failure]


class RoomSource(abc.ABC):
    """Source of a gateway's room on brittle servers."""

    @abc.abstractmethod
    async def request_room(self, request: RoomRequest) -> RoomResult:
        """Ask for room; after a failure the gateway decides by itself."""

    @abc.abstractmethod
    async def release_room(self, release: RoomRelease) -> RoomResult:
        """Report the end of a request."""


class RemoteRoomSource(RoomSource):
    """Asks the leading control node.

    Parameters
    ----------
    leader : callable
        Returns the control node that leads, or ``None`` if it is unknown.
    channel : transport.PeerTransport
        Transport to the control nodes.
    """

    def __init__(
        self, leader: Callable[[], ids.VmId | None], channel: transport.PeerTransport
    ) -> None:
        self.client = leader_client.LeaderClient("rooms", leader, channel)

    async def request_room(self, request: RoomRequest) -> RoomResult:
        """Call the leader, unless a recent call has failed."""
        return await self.client.call(request, 0.0, lambda each: each.is_deciding)

    async def release_room(self, release: RoomRelease) -> RoomResult:
        """Call the leader, unless a recent call has failed."""
        return await self.client.call(release, 0.0, lambda each: each.is_deciding)


class RoomDesk:
    """Admits requests to brittle servers for all gateways, on the leading node.

    Parameters
    ----------
    registry : fleet_registry.FleetRegistry
        Knows the servers and their load, and whether this node leads.

    Attributes
    ----------
    rooms : dict of ServerId to ServerRoom
        Room of each brittle server.
    starts : dict of ServerId to str
        Start of the server to which each room applies.
    """

    def __init__(self, registry: fleet_registry.FleetRegistry) -> None:
        self.registry = registry
        self.rooms: dict[ids.ServerId, server_rooms.ServerRoom] = {}
        self.starts: dict[ids.ServerId, str] = {}
        self.active_since_s: float | None = None

    def is_deciding(self) -> bool:
        """Return whether this node leads and has the list; forget earlier rooms."""
        if not self.registry.is_active() or self.registry.read_at_s is None:
            return False
        if self.registry.active_since_s != self.active_since_s:
            self.rooms.clear()
            self.starts.clear()
            self.active_since_s = self.registry.active_since_s
        return True

    def handle(self, request: RoomRequest) -> RoomReply:
        """Admit a request if its server is listed and has room."""
        if not self.is_deciding():
            return RoomReply(False)
        server = self.find_server(request.server)
        if server is None:
            return RoomReply(True)
        now_s = asyncio.get_running_loop().time()
        room = self.room(server, now_s)
        admission = server_rooms.Admission(
            request.gateway, now_s + request.max_duration_s
        )
        others = self.long_running(server)
        room.settle(request.brittle_for_s, others, now_s)
        is_admitted = room.admit(
            request.admission, admission, request.rank, others, now_s
        )
        return RoomReply(True, is_admitted)

    def handle_release(self, release: RoomRelease) -> RoomReply:
        """Record that an admitted request has ended."""
        if not self.is_deciding():
            return RoomReply(False)
        room = self.rooms.get(release.server)
        if room is not None:
            now_s = asyncio.get_running_loop().time()
            room.release(
                release.admission, release.refusals, release.max_refusals_per_s, now_s
            )
        return RoomReply(True)

    def find_server(self, server_id: ids.ServerId) -> discovery.DiscoveredServer | None:
        """Return the entry of a server, or ``None`` if it is not listed."""
        servers = self.registry.servers
        return next((each for each in servers if each.id == server_id), None)

    def long_running(self, server: discovery.DiscoveredServer) -> int:
        """Return the generations on an engine, of which some began before.

        The reports are too old to count calls.
        """
        if not server.is_engine:
            return 0
        return self.registry.totals.get(server.id).requests

    def room(
        self, server: discovery.DiscoveredServer, now_s: float
    ) -> server_rooms.ServerRoom:
        """Return the room of a server; it begins anew with each start of it.

        What the first known start had in flight without refusals is known to fit.
        """
        found = self.rooms.get(server.id)
        if found is not None and self.starts[server.id] == server.start_key:
            return found
        in_flight = 0
        if found is None:
            self.drop_unlisted()
            in_flight = self.registry.totals.get(server.id).requests
        found = self.rooms[server.id] = server_rooms.ServerRoom(in_flight, now_s)
        self.starts[server.id] = server.start_key
        return found

    def drop_unlisted(self) -> None:
        """Forget servers that are no longer listed."""
        listed = {each.id for each in self.registry.servers}
        for server_id in [each for each in self.rooms if each not in listed]:
            del self.rooms[server_id]
            del self.starts[server_id]
