"""Messages between gateways and the node that allocates engines."""

import enum

import msgspec

from quetzalpass import ids
from quetzalpass.membership import discovery
from quetzalpass.routing import relay_placement
from quetzalpass.wire import messages


class Purpose(enum.Enum):
    """What an engine is needed for."""

    START = "start"
    MOVE = "move"


class EngineGrant(msgspec.Struct, frozen=True):
    """An engine that takes a generation.

    Attributes
    ----------
    server : DiscoveredServer
        The engine.
    backup : DiscoveredServer or None
        Engine that is to hold a growing copy.
    prefill_tokens : int
        Prompt tokens that the engine has still to read for others.
    reason : str
        The figures that decided, for the log.
    """

    server: discovery.DiscoveredServer
    backup: discovery.DiscoveredServer | None = None
    prefill_tokens: int = 0
    reason: str = ""


class AllocationReply(messages.Reply, frozen=True):
    """Answer to a question for an engine.

    Attributes
    ----------
    is_allocating : bool
        Whether this node decides; the asker decides for itself where not.
    grant : EngineGrant or None
        The engine, if one has room.
    """

    is_allocating: bool
    grant: EngineGrant | None = None


class AllocationRequest(messages.Request, frozen=True):
    """A gateway asks for an engine.

    Attributes
    ----------
    allocation : AllocationId
        The same for all copies of this message.
    gateway : VmId
        The gateway.
    service : ServiceName
        Service whose engines are wanted.
    purpose : Purpose
        What for.
    data_centre : DataCentreId
        Where the engine is best; that of the present engine for a move.
    need : relay_placement.GenerationNeed
        Memory that the generation needs.
    rank : int
        Its priority, 0 first.
    waited_s : float
        Time since its arrival, in seconds.
    wait_s : float
        How long the answer may wait for room, in seconds.
    avoided : tuple of ServerId
        Engines that have failed the gateway lately or are about to leave.
    cut_off : tuple of DataCentreId
        Data centres that the gateway could not reach a moment ago.
    """

    reply_type = AllocationReply
    allocation: ids.AllocationId
    gateway: ids.VmId
    service: ids.ServiceName
    purpose: Purpose
    data_centre: ids.DataCentreId
    need: relay_placement.GenerationNeed
    rank: int
    waited_s: float
    wait_s: float
    avoided: tuple[ids.ServerId, ...] = ()
    cut_off: tuple[ids.DataCentreId, ...] = ()
