"""Messages between gateways and the node that allocates engines."""

import enum

import msgspec

from quetzalpass import ids, ranges
from quetzalpass.backends import discovery
from quetzalpass.routing import relay_placement
from quetzalpass.wire import messages


class Purpose(enum.Enum):
    """Purpose of an engine grant."""

    START = "start"
    MOVE = "move"


class EngineGrant(msgspec.Struct, frozen=True):
    """An engine granted to a generation.

    Attributes
    ----------
    server : DiscoveredServer
        The engine.
    backup : DiscoveredServer or None
        Engine that is to hold the backup, which grows with the generation.
    prefill_tokens : int
        Prompt tokens of other requests that the engine has not computed yet.
    reason : str
        The figures behind the choice, for the log.
    """

    server: discovery.DiscoveredServer
    backup: discovery.DiscoveredServer | None = None
    prefill_tokens: ranges.Integer = 0
    reason: str = ""


class AllocationReply(messages.Reply, frozen=True):
    """Reply to a request for an engine.

    Attributes
    ----------
    is_allocating : bool
        Whether this node allocates engines; otherwise the gateway chooses one itself.
    grant : EngineGrant or None
        The engine, or ``None`` if none has capacity.
    """

    is_allocating: bool
    grant: EngineGrant | None = None


class AllocationRequest(messages.Request, frozen=True):
    """Request of a gateway for an engine.

    Attributes
    ----------
    allocation : AllocationId
        Id of the grant, the same in all copies of this message.
    gateway : VmId
        The gateway.
    service : ServiceName
        Service of the engine.
    purpose : Purpose
        Whether to start or to move a generation.
    data_centre : DataCentreId
        Preferred data centre; for a move, that of the current engine.
    need : relay_placement.GenerationNeed
        Memory that the generation needs.
    rank : int
        Its priority; lower numbers are placed first.
    waited_s : float
        Time since its arrival, in seconds.
    wait_s : float
        How long to wait for capacity before replying, in seconds.
    avoided : tuple of ServerId
        Engines that recently failed for the gateway or are about to leave.
    cut_off : tuple of DataCentreId
        Data centres that were recently unreachable for the gateway.
    """

    reply_type = AllocationReply
    allocation: ids.AllocationId
    gateway: ids.VmId
    service: ids.ServiceName
    purpose: Purpose
    data_centre: ids.DataCentreId
    need: relay_placement.GenerationNeed
    rank: ranges.Integer
    waited_s: ranges.SignedDuration
    wait_s: ranges.SignedDuration
    avoided: tuple[ids.ServerId, ...] = ()
    cut_off: tuple[ids.DataCentreId, ...] = ()
