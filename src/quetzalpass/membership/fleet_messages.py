"""Messages between gateways and control nodes about backend servers and their load."""

import msgspec

from quetzalpass import ids, ranges
from quetzalpass.backends import discovery
from quetzalpass.membership import suspect_reports
from quetzalpass.routing import (
    brittle_services,
    peer_gateways,
    prefill_rates,
    rate_limits,
)
from quetzalpass.wire import messages


class ServerUse(msgspec.Struct, frozen=True):
    """Work that one or more gateways have on one backend server.

    Attributes
    ----------
    server : ServerId
        The server.
    requests : int
        Requests in progress.
    tokens : int
        Tokens that they are expected to hold in memory at their end.
    copy_tokens : int
        Same for backups of generations that run on other servers.
    prefill_tokens : int
        Prompt tokens of requests whose first event has not arrived.
    """

    server: ids.ServerId
    requests: int = 0
    tokens: int = 0
    copy_tokens: int = 0
    prefill_tokens: int = 0

    def times(self, count: int) -> "ServerUse":
        """Return the use multiplied by a number of gateways."""
        return ServerUse(
            self.server,
            count * self.requests,
            count * self.tokens,
            count * self.copy_tokens,
            count * self.prefill_tokens,
        )

    def plus(self, other: "ServerUse") -> "ServerUse":
        """Return the sum of two uses of one server."""
        return ServerUse(
            self.server,
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.copy_tokens + other.copy_tokens,
            self.prefill_tokens + other.prefill_tokens,
        )


class FleetReply(messages.Reply, frozen=True):
    """The fleet, as a control node knows it.

    Attributes
    ----------
    is_watching : bool
        Whether this node is the one that reads the list of servers. If not, only
        ``leader`` and ``controls`` are filled in.
    leader : VmId or None
        The node that reads the list, as far as this one knows.
    controls : tuple of VmId
        All control nodes.
    gateways : int
        Number of gateways that have reported lately.
    version : int
        Changes whenever ``servers`` does.
    age_s : float
        Time since the list was read, in seconds.
    servers : tuple of DiscoveredServer
        The list; ``None`` if the gateway already has this version.
    uses : tuple of ServerUse
        Work of all other gateways together, by server.
    verdicts : suspect_reports.SuspectReports or None
        Requests that are suspected of crashing servers; also from a node that does not
        read the list.
    retries : dict of ServiceName to int
        Retries of all other gateways together within the window of the retry budget.
    limits : tuple of LimitReport
        Limits that servers have named to any gateway; also from a node that does not
        read the list.
    peers : tuple of PeerGateway
        Some gateways that take requests which reach no server from this one.
    brittle : tuple of BrittleReport
        Brittle services, as any gateway has read; also from a node that does not read
        the list.
    """

    is_watching: bool
    leader: ids.VmId | None = None
    controls: tuple[ids.VmId, ...] = ()
    gateways: ranges.Count = 1
    version: ranges.Integer = 0
    age_s: ranges.SignedDuration = 0.0
    servers: tuple[discovery.DiscoveredServer, ...] | None = None
    uses: tuple[ServerUse, ...] = ()
    verdicts: suspect_reports.SuspectReports | None = None
    retries: dict[ids.ServiceName, ranges.Integer] = {}
    limits: tuple[rate_limits.LimitReport, ...] = ()
    peers: tuple[peer_gateways.PeerGateway, ...] = ()
    brittle: tuple[brittle_services.BrittleReport, ...] = ()


class FleetRequest(messages.Request, frozen=True):
    """A gateway's report of its load, and its query for the fleet.

    Attributes
    ----------
    gateway : VmId
        The gateway.
    known_version : int
        Version of the list that the gateway has; 0 for none.
    wait_s : float
        How long the node may wait for a newer version before it replies, in seconds.
    uses : tuple of ServerUse
        Work of this gateway, by server.
    leaving : tuple of ServerId
        Servers that have announced to this gateway that they are leaving.
    leaving_starts : tuple of str
        The start of each of them; empty texts where it is unknown.
    verdicts : suspect_reports.SuspectReports or None
        Requests that this gateway suspects of crashing servers.
    placed : tuple of AllocationId
        Allocations of engines that ``uses`` already includes; each is listed until a
        reply has arrived.
    reads : tuple of PrefillMeasurement
        Prefill measurements, from first events since the last report.
    retries : dict of ServiceName to int
        Retries of this gateway within the window of the retry budget.
    limits : tuple of LimitReport
        Limits that servers have named, as far as this gateway knows.
    data_centre : DataCentreId
        Data centre of this gateway.
    peer : PeerGateway or None
        State of this gateway for others; ``None`` while it takes no requests of others.
    brittle : tuple of BrittleReport
        Brittle services, as far as this gateway knows.
    """

    reply_type = FleetReply
    gateway: ids.VmId
    known_version: ranges.Integer
    wait_s: ranges.SignedDuration
    uses: tuple[ServerUse, ...] = ()
    leaving: tuple[ids.ServerId, ...] = ()
    verdicts: suspect_reports.SuspectReports | None = None
    placed: tuple[ids.AllocationId, ...] = ()
    reads: tuple[prefill_rates.PrefillMeasurement, ...] = ()
    retries: dict[ids.ServiceName, ranges.Integer] = {}
    limits: tuple[rate_limits.LimitReport, ...] = ()
    data_centre: ids.DataCentreId = ids.DataCentreId("")
    peer: peer_gateways.PeerGateway | None = None
    brittle: tuple[brittle_services.BrittleReport, ...] = ()
    leaving_starts: tuple[str, ...] = ()
