"""Messages of the operators' interface, shared by the daemon and the CLI."""

import msgspec

from quetzalpass import ids
from quetzalpass.declarations import schema


class ApplyRequest(msgspec.Struct, frozen=True):
    """Asks to replace the declared state.

    Attributes
    ----------
    operation_id : OperationId
        Chosen by the operator's tool; a resend with the same id gets the first
        outcome.
    base_revision : Revision
        Revision that the change was made from.
    declaration : Declaration
        The whole new state.
    author : str
        Who applies it, for the conflict message.
    """

    operation_id: ids.OperationId
    base_revision: ids.Revision
    declaration: schema.Declaration
    author: str = ""


class ApplyReply(msgspec.Struct, frozen=True):
    """The accepted revision and the digest of its canonical form."""

    revision: ids.Revision
    digest: str


class DeclarationReply(msgspec.Struct, frozen=True):
    """The newest accepted declaration."""

    revision: ids.Revision
    digest: str
    declaration: schema.Declaration


class VmStatus(msgspec.Struct, frozen=True):
    """What one daemon reports of itself.

    Attributes
    ----------
    id : VmId
        The daemon's VM.
    data_centre : DataCentreId
        Where it runs.
    ready : bool
        Whether it takes requests.
    revision : Revision
        Revision in force there; 0 before the first.
    in_force_since_s : float
        Seconds since that revision came into force.
    age_s : float
        Age of this report where it was relayed.
    requests : int
        Requests under way.
    draining : bool
        Whether it is shutting down.
    """

    id: ids.VmId
    data_centre: ids.DataCentreId
    ready: bool
    revision: ids.Revision
    in_force_since_s: float
    age_s: float = 0.0
    requests: int = 0
    draining: bool = False


class ServerStatus(msgspec.Struct, frozen=True):
    """What a gateway sees of one backend server."""

    id: ids.ServerId
    vm: ids.VmId
    state: schema.ServiceState
    alive: bool
    requests: int = 0


class GroupStatus(msgspec.Struct, frozen=True):
    """What a replica says of its consensus group."""

    group: ids.GroupId
    leader: ids.VmId | None
    term: ids.Term
    applied: ids.LogIndex
    members: tuple[ids.VmId, ...]


class StatusReply(msgspec.Struct, frozen=True):
    """Status of a daemon and of what it knows about the others."""

    vm: VmStatus
    vms: tuple[VmStatus, ...] = ()
    servers: tuple[ServerStatus, ...] = ()
    groups: tuple[GroupStatus, ...] = ()


class ErrorReply(msgspec.Struct, frozen=True):
    """A failure as the operators' interface answers it."""

    code: int
    name: str
    message: str
    advice: str
    retry_after_ms: int | None = None
    leader: ids.VmId | None = None
