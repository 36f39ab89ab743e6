"""Messages between gateways and control nodes about backend servers and their load."""

import msgspec

from quetzalpass import ids
from quetzalpass.membership import discovery, quarantine
from quetzalpass.routing import prefill_rates
from quetzalpass.wire import messages


class ServerUse(msgspec.Struct, frozen=True):
    """What gateways have on one backend server.

    Attributes
    ----------
    server : ServerId
        The server.
    requests : int
        Requests under way.
    tokens : int
        Tokens that their memory is expected to reach.
    copy_tokens : int
        Tokens that backups of generations on other servers are expected to reach.
    prefill_tokens : int
        Prompt tokens of requests whose first event has not come.
    """

    server: ids.ServerId
    requests: int = 0
    tokens: int = 0
    copy_tokens: int = 0
    prefill_tokens: int = 0

    def times(self, count: int) -> "ServerUse":
        """Return what so many gateways with this use have together."""
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
    """What a control node knows of the fleet.

    Attributes
    ----------
    is_watching : bool
        Whether this node reads the list of servers. The rest is empty where not.
    leader : VmId or None
        The node that does, as far as this one knows.
    controls : tuple of VmId
        All control nodes.
    gateways : int
        Gateways that were heard from lately.
    version : int
        Changes whenever ``servers`` does.
    age_s : float
        Time since the list was read, in seconds.
    servers : tuple of DiscoveredServer
        The list; left out where the asker has this version.
    uses : tuple of ServerUse
        What all other gateways have on the servers, summed up.
    verdicts : quarantine.SuspectReports or None
        Requests that are suspected of crashing servers.
    """

    is_watching: bool
    leader: ids.VmId | None = None
    controls: tuple[ids.VmId, ...] = ()
    gateways: int = 1
    version: int = 0
    age_s: float = 0.0
    servers: tuple[discovery.DiscoveredServer, ...] | None = None
    uses: tuple[ServerUse, ...] = ()
    verdicts: quarantine.SuspectReports | None = None


class FleetRequest(messages.Request, frozen=True):
    """A gateway tells its load and asks for the fleet.

    Attributes
    ----------
    gateway : VmId
        The gateway.
    known_version : int
        Version of the list that it has; 0 for none.
    wait_s : float
        How long the node may wait for a newer version before it answers.
    uses : tuple of ServerUse
        What this gateway has on the servers.
    leaving : tuple of ServerId
        Servers that have announced to this gateway that they leave.
    verdicts : quarantine.SuspectReports or None
        Requests that this gateway suspects of crashing servers.
    placed : tuple of AllocationId
        Engines that this gateway was granted and that ``uses`` counts, as far as no
        reply has come since.
    reads : tuple of PromptRead
        First events since the last report.
    """

    reply_type = FleetReply
    gateway: ids.VmId
    known_version: int
    wait_s: float
    uses: tuple[ServerUse, ...] = ()
    leaving: tuple[ids.ServerId, ...] = ()
    verdicts: quarantine.SuspectReports | None = None
    placed: tuple[ids.AllocationId, ...] = ()
    reads: tuple[prefill_rates.PromptRead, ...] = ()
