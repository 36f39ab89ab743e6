"""Keeps a gateway's sends within the room of brittle servers."""

import asyncio
import collections
from collections.abc import Callable

import logbook
from returns import result

from quetzalpass import background, event_log, ids
from quetzalpass.allocation import rooms
from quetzalpass.backends import base, discovery
from quetzalpass.lifecycle import relay_events
from quetzalpass.routing import brittle_services, server_rooms

LOG = logbook.Logger("relay")

# Requests in flight on one brittle server while no node decides.
LOCAL_ROOM = 1


class RoomGate:
    """Asks for room before each send to a brittle server.

    While no node decides, this gateway has one request in flight on each, and after a
    refusal none for so long that all gateways together stay below what fells a server.

    Parameters
    ----------
    vm : VmId
        This gateway.
    source : rooms.RoomSource or None
        Shares the room out; ``None`` where no node does.
    count_gateways : callable
        Returns the number of gateways; 0 if it is unknown.
    new_name : callable
        Returns a new id for an admission.

    Attributes
    ----------
    services : brittle_services.BrittleServices
        Services whose servers are brittle.
    blocked_until_s : dict of ServerId to float
        Servers that had no room, until when they are not asked for again.
    admitted : dict of str to DiscoveredServer
        Servers of the requests in flight, by the id of the admission.
    refusals : Counter of ServerId
        Refusals that have not been reported yet.
    tasks : background.BackgroundTasks
        Releases on their way.
    """

    def __init__(
        self,
        vm: ids.VmId,
        source: rooms.RoomSource | None,
        count_gateways: Callable[[], int],
        new_name: Callable[[], str],
    ) -> None:
        self.vm = vm
        self.source = source
        self.count_gateways = count_gateways
        self.new_name = new_name
        self.services = brittle_services.BrittleServices()
        self.blocked_until_s: dict[ids.ServerId, float] = {}
        self.admitted: dict[str, discovery.DiscoveredServer] = {}
        self.refusals: collections.Counter[ids.ServerId] = collections.Counter()
        self.tasks = background.BackgroundTasks()

    def observe(
        self, server: discovery.DiscoveredServer, notice: base.ServerNotice | None
    ) -> None:
        """Record what a response says about its server."""
        if notice is None:
            return
        now_s = asyncio.get_running_loop().time()
        before = self.services.find(server.service, now_s)
        self.services.observe(server.service, notice.max_refusals_per_s, now_s)
        after = self.services.find(server.service, now_s)
        if before != after:
            event_log.record(
                relay_events.BrittleEvent(server.service, server.id, before, after),
                event_log.Level.NOTICE,
            )

    def on_refusal(self, server: discovery.DiscoveredServer) -> None:
        """Record that a server has refused a request for want of room."""
        if self.is_brittle(server.service):
            self.refusals[server.id] += 1

    def is_brittle(self, service: ids.ServiceName) -> bool:
        """Return whether the servers of a service are brittle now."""
        now_s = asyncio.get_running_loop().time()
        return self.services.find(service, now_s) is not None

    def merge(self, reports: tuple[brittle_services.BrittleReport, ...]) -> None:
        """Merge what other gateways have read."""
        self.services.merge(reports, asyncio.get_running_loop().time())

    def reports(self) -> tuple[brittle_services.BrittleReport, ...]:
        """Return what other gateways need to know."""
        return self.services.reports(asyncio.get_running_loop().time())

    def block(self, server_id: ids.ServerId, seconds: float) -> None:
        """Send nothing to a server for some time."""
        now_s = asyncio.get_running_loop().time()
        until_s = max(self.blocked_until_s.get(server_id, 0.0), now_s + seconds)
        self.blocked_until_s[server_id] = until_s

    def blocked_s(self, server_id: ids.ServerId) -> float:
        """Return for how long a server is not asked for room, in seconds."""
        until_s = self.blocked_until_s.get(server_id)
        if until_s is None:
            return 0.0
        left_s = until_s - asyncio.get_running_loop().time()
        if left_s <= 0.0:
            del self.blocked_until_s[server_id]
        return max(0.0, left_s)

    async def acquire(
        self, server: discovery.DiscoveredServer, rank: int, max_duration_s: float
    ) -> result.Result[str | None, float]:
        """Ask for room for one request.

        Returns
        -------
        Result
            The id of the admission, to be released; ``None`` if the server is not
            brittle; or after which delay there may be room, in seconds.
        """
        now_s = asyncio.get_running_loop().time()
        max_refusals_per_s = self.services.find(server.service, now_s)
        if max_refusals_per_s is None:
            return result.Success(None)
        blocked_s = self.blocked_s(server.id)
        if blocked_s > 0.0:
            return result.Failure(blocked_s)
        name = self.new_name()
        if not await self.has_room(name, server, rank, max_duration_s):
            self.block(server.id, server_rooms.RETRY_S)
            return result.Failure(server_rooms.RETRY_S)
        self.admitted[name] = server
        return result.Success(name)

    async def has_room(
        self,
        name: str,
        server: discovery.DiscoveredServer,
        rank: int,
        max_duration_s: float,
    ) -> bool:
        """Return whether a server has room, as the deciding node says, or as it seems.

        If the request is cancelled meanwhile, the room that it may have is released.
        """
        if self.source is None:
            return self.has_local_room(server)
        now_s = asyncio.get_running_loop().time()
        request = rooms.RoomRequest(
            self.vm,
            name,
            server.id,
            rank,
            max_duration_s,
            self.services.said_for_s(server.service, now_s),
        )
        try:
            reply = await self.source.request_room(request)
        except asyncio.CancelledError:
            self.admitted[name] = server
            self.release(name)
            raise
        if isinstance(reply, result.Failure):
            return self.has_local_room(server)
        return reply.unwrap().is_admitted

    def has_local_room(self, server: discovery.DiscoveredServer) -> bool:
        """Return whether a server has room while no node decides."""
        now_s = asyncio.get_running_loop().time()
        max_refusals_per_s = self.services.find(server.service, now_s) or 0.0
        if self.refusals.pop(server.id, 0):
            borne = max(server_rooms.MIN_REFUSALS_PER_S, max_refusals_per_s)
            self.block(server.id, max(1, self.count_gateways()) / borne)
            return False
        in_flight = sum(each.id == server.id for each in self.admitted.values())
        return in_flight < LOCAL_ROOM

    def release(self, name: str) -> None:
        """Release the room of a request that has ended; it is reported at once."""
        server = self.admitted.pop(name, None)
        if server is not None and self.source is not None:
            self.tasks.spawn(self.report_release(name, server))

    async def report_release(
        self, name: str, server: discovery.DiscoveredServer
    ) -> None:
        """Tell the deciding node that a request has ended."""
        now_s = asyncio.get_running_loop().time()
        refusals = self.refusals.pop(server.id, 0)
        release = rooms.RoomRelease(
            name, server.id, refusals, self.services.find(server.service, now_s) or 0.0
        )
        reply = await self.source.release_room(release)
        if isinstance(reply, result.Failure):
            # The admission expires by itself; the refusals count for this gateway.
            self.refusals[server.id] += refusals
            LOG.info("relay: No node took the release of {}.", server.id)
