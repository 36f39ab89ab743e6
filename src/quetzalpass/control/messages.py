"""Messages of the operators' interface, shared by the daemon and the CLI."""

import enum

import msgspec

from quetzalpass import ids
from quetzalpass.declarations import schema


class ApplyRequest(msgspec.Struct, frozen=True):
    """Asks to replace the declaration.

    Attributes
    ----------
    operation_id : OperationId
        Chosen by the operator's tool; a request that is sent again with the same id
        gets the first outcome.
    base_revision : Revision
        Revision that the change is based on.
    declaration : Declaration
        The whole new declaration.
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
    """Status of one daemon.

    Attributes
    ----------
    id : VmId
        The daemon's VM.
    data_centre : DataCentreId
        Where it runs.
    ready : bool
        Whether it accepts requests.
    revision : Revision
        Revision in force there; 0 before the first.
    in_force_since_s : float
        Seconds since that revision came into force.
    age_s : float
        Age of this status, in seconds, if another daemon passed it on.
    requests : int
        Number of running requests.
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
    """Status of one backend server as a gateway observes it."""

    id: ids.ServerId
    vm: ids.VmId
    state: schema.ServiceState
    alive: bool
    requests: int = 0


class GroupStatus(msgspec.Struct, frozen=True):
    """Status of a consensus group as one of its replicas reports it.

    Attributes
    ----------
    disk : str
        Condition of this replica's disk, ``ok`` or what is wrong with it.
    disk_trouble_s : float
        Time in seconds for which that has lasted.
    """

    group: ids.GroupId
    leader: ids.VmId | None
    term: ids.Term
    applied: ids.LogIndex
    members: tuple[ids.VmId, ...]
    disk: str = "ok"
    disk_trouble_s: float = 0.0


class StatusReply(msgspec.Struct, frozen=True):
    """Status of a daemon, of the other daemons, and of servers and groups."""

    vm: VmStatus
    vms: tuple[VmStatus, ...] = ()
    servers: tuple[ServerStatus, ...] = ()
    groups: tuple[GroupStatus, ...] = ()


class ErrorReply(msgspec.Struct, frozen=True):
    """A failure as the operators' interface returns it."""

    code: int
    name: str
    message: str
    advice: str
    retry_after_ms: int | None = None
    leader: ids.VmId | None = None


class MemberAction(enum.Enum):
    """What to do with a member of a consensus group."""

    ADD = "add"
    REMOVE = "remove"


class MembersRequest(msgspec.Struct, frozen=True):
    """Asks to change the members of a consensus group by one.

    Attributes
    ----------
    operation_id : OperationId
        Chosen by the operator's tool; a request that is sent again with the same id
        gets the first outcome.
    group : GroupId
        The group.
    vm : VmId
        VM to add or remove. A new member votes only after it has all committed state.
    action : MemberAction
        Whether to add or remove it.
    """

    operation_id: ids.OperationId
    group: ids.GroupId
    vm: ids.VmId
    action: MemberAction


class MembersReply(msgspec.Struct, frozen=True):
    """The members of a group after a change."""

    group: ids.GroupId
    members: tuple[ids.VmId, ...]


class ExplanationReply(msgspec.Struct, frozen=True):
    """Why a gateway placed a request on its server.

    Attributes
    ----------
    request_id : RequestId
        The request.
    vm : VmId
        Gateway that decided.
    server : ServerId
        Server that was chosen.
    reason : str
        One sentence with the figures that were decisive.
    waited_s : float
        Time in the gateway's queue, in seconds.
    age_s : float
        Time since the decision, in seconds.
    report_age_s : float or None
        Age of the load report at the decision, in seconds.
    """

    request_id: ids.RequestId
    vm: ids.VmId
    server: ids.ServerId
    reason: str
    waited_s: float
    age_s: float
    report_age_s: float | None = None
