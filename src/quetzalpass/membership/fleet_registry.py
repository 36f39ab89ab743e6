"""The active control node's registry of servers and gateway loads."""

import asyncio
import collections
import itertools
from collections.abc import Callable

import logbook
import msgspec

from quetzalpass import ids
from quetzalpass.backends import discovery
from quetzalpass.membership import (
    fleet_messages,
    fleet_view,
    peer_values,
    quarantine,
    use_totals,
)
from quetzalpass.routing import brittle_services, peer_gateways, rate_limits

LOG = logbook.Logger("membership")

READ_INTERVAL_S = 0.35
READ_TIMEOUT_S = 1.0
# Limits how long a new leader waits before it begins to read.
IDLE_INTERVAL_S = 0.05
MAX_READ_BACKOFF_S = 2.0
REPORT_LIFETIME_S = 2.0
# Announcements are kept for this time, by which the list shows them too.
ANNOUNCEMENT_LIFETIME_S = 20.0
MS_PER_S = 1000


class GatewayReport(msgspec.Struct, frozen=True):
    """The newest load report of one gateway, with the loop time of its arrival."""

    uses: tuple[fleet_messages.ServerUse, ...]
    at_s: float
    retries: dict[ids.ServiceName, int] = {}
    peer: peer_gateways.PeerGateway | None = None


class FleetRegistry:
    """Reads the list of servers and collects the loads of the gateways.

    One control node reads for all, since the list allows few calls per second.

    Parameters
    ----------
    source : discovery.ServerSource
        The list.
    is_active : callable
        Returns whether this node is the one that reads the list.
    first_version : int
        Differs at each start, so that no gateway confuses versions of two starts.

    Attributes
    ----------
    servers : tuple of discovery.DiscoveredServer
        The published servers; announced ones are shown as leaving.
    listed : tuple of discovery.DiscoveredServer
        The servers as last read from the list.
    version : int
        Version of ``servers``.
    read_at_s : float or None
        Loop time of the last successful read while this node is active.
    reports : dict of VmId to GatewayReport
        Newest report of each gateway, the oldest first.
    announcements : dict of ServerId to fleet_view.Announcement
        Servers of which a gateway has reported that they are leaving.
    suspects : quarantine.Quarantine
        Merged suspects of all gateways.
    limits : rate_limits.RateLimits
        Limits that servers have named to any gateway.
    brittle : brittle_services.BrittleServices
        Brittle services, as any gateway has read.
    warm_at_s : dict of ServerId to float
        Loop time from which a server that has just started is no longer slow.
    totals : use_totals.UseTotals
        What all gateways together have on each server.
    retries : Counter of ServiceName
        Retries of all gateways together, by service.
    peers : peer_gateways.PeerDirectory
        Gateways that take requests of others.
    active_since_s : float or None
        Loop time since which this node has been active.
    report_observers : list of callable
        Called with each gateway's request, which is also its report.
    change_observers : list of callable
        Called after each change of the servers.
    """

    def __init__(
        self,
        source: discovery.ServerSource,
        is_active: Callable[[], bool],
        first_version: int,
    ) -> None:
        self.source = source
        self.is_active = is_active
        self.servers: tuple[discovery.DiscoveredServer, ...] = ()
        self.listed: tuple[discovery.DiscoveredServer, ...] = ()
        self.version = first_version
        self.read_at_s: float | None = None
        self.changed = asyncio.Event()
        self.reports: dict[ids.VmId, GatewayReport] = {}
        self.announcements: dict[ids.ServerId, fleet_view.Announcement] = {}
        self.suspects = quarantine.Quarantine("board")
        self.limits = rate_limits.RateLimits()
        self.brittle = brittle_services.BrittleServices()
        self.warm_at_s: dict[ids.ServerId, float] = {}
        self.totals = use_totals.UseTotals()
        self.retries: collections.Counter[ids.ServiceName] = collections.Counter()
        self.peers = peer_gateways.PeerDirectory()
        self.peer_values = peer_values.PeerValues()
        self.active_since_s: float | None = None
        self.report_observers: list[Callable[[fleet_messages.FleetRequest], None]] = []
        self.change_observers: list[Callable[[], None]] = []

    async def run(self) -> None:
        """Read the list periodically while this node is active."""
        pause_s = READ_INTERVAL_S
        while True:
            if self.is_active():
                self.record_active_since()
                pause_s = max(pause_s, READ_INTERVAL_S)
                is_read = await self.read_once()
                pause_s = (
                    READ_INTERVAL_S if is_read else min(MAX_READ_BACKOFF_S, 2 * pause_s)
                )
            else:
                self.read_at_s = self.active_since_s = None
                pause_s = IDLE_INTERVAL_S
            await asyncio.sleep(pause_s)

    def record_active_since(self) -> None:
        """Record the time at which this node became active."""
        if self.active_since_s is None:
            self.active_since_s = asyncio.get_running_loop().time()

    async def read_once(self) -> bool:
        """Read the list once; return whether that succeeded."""
        listed = await self.source.read(READ_TIMEOUT_S)
        if listed is None:
            return False
        self.listed = listed
        now_s = self.read_at_s = asyncio.get_running_loop().time()
        self.warm_at_s = {
            each.id: now_s + each.slow_for_ms / MS_PER_S
            for each in self.listed
            if each.slow_for_ms
        }
        self.publish()
        return True

    def announce(
        self, server_ids: tuple[ids.ServerId, ...], start_keys: tuple[str, ...] = ()
    ) -> None:
        """Record servers that have announced that they are leaving.

        Parameters
        ----------
        server_ids : tuple of ServerId
            The servers.
        start_keys : tuple of str
            Their starts; none, or empty texts, where these are unknown.
        """
        now_s = asyncio.get_running_loop().time()
        for server_id, start_key in itertools.zip_longest(
            server_ids, start_keys[: len(server_ids)], fillvalue=""
        ):
            if server_id not in self.announcements:
                LOG.info(
                    "membership: Server {} has announced that it is leaving.", server_id
                )
            self.announcements[server_id] = fleet_view.Announcement(start_key, now_s)
        if server_ids:
            self.publish()

    def publish(self) -> None:
        """Publish a new version if more than the remaining slow times has changed."""
        now_s = asyncio.get_running_loop().time()
        for server_id, announcement in list(self.announcements.items()):
            if now_s - announcement.at_s > ANNOUNCEMENT_LIFETIME_S:
                del self.announcements[server_id]
        servers = tuple(self.apply_announcement(each) for each in self.listed)
        if without_timers(servers) == without_timers(self.servers):
            return
        self.servers = servers
        self.version += 1
        LOG.info(
            "membership: Version {} of the list has {} servers, {} leaving.",
            self.version,
            len(servers),
            sum(each.state is discovery.ServerState.LEAVING for each in servers),
        )
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        for observer in self.change_observers:
            observer()

    def apply_announcement(
        self, server: discovery.DiscoveredServer
    ) -> discovery.DiscoveredServer:
        """Return a server, marked as leaving if it has announced so itself."""
        announcement = self.announcements.get(server.id)
        if announcement is None or announcement.start_key not in ("", server.start_key):
            return server
        return msgspec.structs.replace(server, state=discovery.ServerState.LEAVING)

    async def handle(
        self,
        request: fleet_messages.FleetRequest,
        leader: ids.VmId | None,
        controls: tuple[ids.VmId, ...],
    ) -> fleet_messages.FleetReply:
        """Record a gateway's report and return the fleet, or where to find it."""
        request = self.peer_values.check_request(request)
        if request.verdicts is not None:
            self.suspects.merge(request.verdicts)
        now_s = asyncio.get_running_loop().time()
        self.limits.merge(request.limits, now_s)
        self.brittle.merge(request.brittle, now_s)
        if not self.is_active() or self.read_at_s is None:
            # Suspects spread also while there is no leader or the list can't be read.
            return fleet_messages.FleetReply(
                False,
                leader,
                controls,
                verdicts=self.suspects.suspect_reports_since(0),
                limits=self.limits.reports(now_s),
                brittle=self.brittle.reports(now_s),
            )
        self.record_report(request)
        if request.known_version == self.version and request.wait_s > 0:
            await self.wait_for_change(request.wait_s)
        now_s = asyncio.get_running_loop().time()
        is_known = request.known_version == self.version
        return fleet_messages.FleetReply(
            True,
            leader,
            controls,
            len(self.reports),
            self.version,
            now_s - self.read_at_s if self.read_at_s is not None else 0.0,
            None if is_known else self.servers,
            self.uses_of_others(request.gateway),
            self.suspects.suspect_reports_since(0),
            self.retries_of_others(request.gateway),
            self.limits.reports(now_s),
            self.peers_of(request, now_s),
            self.brittle.reports(now_s),
        )

    def peers_of(
        self, request: fleet_messages.FleetRequest, now_s: float
    ) -> tuple[peer_gateways.PeerGateway, ...]:
        """Return the gateways that are named to the sender of a request."""
        reports = self.reports.values()
        self.peers.update((e.peer for e in reports if e.peer is not None), now_s)
        return self.peers.peers_of(request.gateway, request.data_centre)

    def record_report(self, request: fleet_messages.FleetRequest) -> None:
        """Record what a gateway reports, and forward it to the observers."""
        now_s = asyncio.get_running_loop().time()
        self.drop_report(request.gateway)
        self.reports[request.gateway] = GatewayReport(
            request.uses, now_s, request.retries, request.peer
        )
        self.totals.add(request.uses)
        self.retries.update(request.retries)
        self.expire_reports(now_s)
        for observer in self.report_observers:
            observer(request)
        self.announce(request.leaving, request.leaving_starts)

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait for the next version, at most for the given time."""
        try:
            async with asyncio.timeout(wait_s):
                await self.changed.wait()
        except TimeoutError:
            return

    def drop_report(self, gateway: ids.VmId) -> None:
        """Remove a gateway's load from the totals."""
        report = self.reports.pop(gateway, None)
        if report is not None:
            self.totals.subtract(report.uses)
            self.retries.subtract(report.retries)

    def expire_reports(self, now_s: float) -> None:
        """Drop outdated reports, which come first in the dict."""
        while self.reports:
            gateway, report = next(iter(self.reports.items()))
            if now_s - report.at_s <= REPORT_LIFETIME_S:
                return
            self.drop_report(gateway)

    def uses_of_others(self, gateway: ids.VmId) -> tuple[fleet_messages.ServerUse, ...]:
        """Return the summed load of all gateways but one."""
        self.expire_reports(asyncio.get_running_loop().time())
        own = self.reports.get(gateway)
        return self.totals.without(own.uses if own is not None else ())

    def retries_of_others(self, gateway: ids.VmId) -> dict[ids.ServiceName, int]:
        """Return the summed retries of all gateways but one, by service."""
        own = self.reports.get(gateway)
        others = self.retries.copy()
        if own is not None:
            others.subtract(own.retries)
        return dict(+others)

    def is_cold(self, server_id: ids.ServerId) -> bool:
        """Return whether a server is still slow after its start."""
        now_s = asyncio.get_running_loop().time()
        return now_s < self.warm_at_s.get(server_id, 0.0)


def without_timers(
    servers: tuple[discovery.DiscoveredServer, ...],
) -> tuple[discovery.DiscoveredServer, ...]:
    """Return the servers without the remaining times, which change by themselves."""
    return tuple(
        msgspec.structs.replace(each, slow_for_ms=int(each.slow_for_ms > 0))
        for each in servers
    )
