"""Messages between daemons about declared state, status, commands and load."""

from quetzalpass import ids
from quetzalpass.control import messages as control_messages
from quetzalpass.membership import health_observations, quarantine, usages
from quetzalpass.results import failures
from quetzalpass.routing import servers
from quetzalpass.wire import messages


class DeclarationReply(messages.Reply, frozen=True):
    """A whole revision, or revision 0 where there is no newer one.

    Attributes
    ----------
    revision : Revision
        Number of the revision.
    digest : str
        Digest of ``data``.
    data : bytes
        Canonical form of the declaration; empty where a difference is given.
    delta : bytes
        Difference from the revision that was named in the request.
    """

    revision: ids.Revision
    digest: str = ""
    data: bytes = b""
    delta: bytes = b""


class DeclarationRequest(messages.Request, frozen=True):
    """Asks for a revision newer than one, and waits a while for it.

    Attributes
    ----------
    newer_than : Revision
        Revision that the sender has.
    wait_s : float
        How long to wait for a newer one, in seconds.
    whole : bool
        Asks for the whole revision, because a difference did not fit.
    """

    reply_type = DeclarationReply
    newer_than: ids.Revision
    wait_s: float
    whole: bool = False


class VmStatusReply(messages.Reply, frozen=True):
    """What a daemon reports of itself."""

    status: control_messages.VmStatus


class VmStatusRequest(messages.Request, frozen=True):
    """Asks a daemon for its own status."""

    reply_type = VmStatusReply


class ProposeReply(messages.Reply, frozen=True):
    """Answer of the state machine, or why there is none.

    Attributes
    ----------
    answer : bytes
        Answer of the state machine.
    failure : failures.Failure or None
        Set where there is no answer.
    leader : VmId or None
        Leader as far as the one who answers knows.
    """

    answer: bytes = b""
    failure: failures.Failure | None = None
    leader: ids.VmId | None = None


class ProposeRequest(messages.Request, frozen=True):
    """A command that is passed on to the leader of a group."""

    reply_type = ProposeReply
    group: ids.GroupId
    session: str
    operation: ids.OperationId
    command: bytes


class SummaryReply(messages.Reply, frozen=True):
    """A summary was taken in."""


class GatewaySummary(messages.Request, frozen=True):
    """What one gateway tells the others, always the whole state.

    A lost summary is repaired by the next one.

    Attributes
    ----------
    vm : VmId
        The gateway.
    dispatches : servers.PeerDispatches
        What it has in flight on each backend server.
    server_opinions : tuple of health_observations.ServerHealthReport
        What its own probes say.
    verdicts : quarantine.SuspectReports or None
        Requests that it suspects of crashing servers.
    usage : usages.UsageReport or None
        What the organisations use there.
    """

    reply_type = SummaryReply
    vm: ids.VmId
    dispatches: servers.PeerDispatches
    server_opinions: tuple[health_observations.ServerHealthReport, ...] = ()
    verdicts: quarantine.SuspectReports | None = None
    usage: usages.UsageReport | None = None
