"""Messages between daemons about declarations, status, commands and load."""

from quetzalpass import ids, ranges
from quetzalpass.control import messages as control_messages
from quetzalpass.membership import opinions, suspect_reports, usages
from quetzalpass.results import failures
from quetzalpass.routing import servers
from quetzalpass.wire import messages


class DeclarationReply(messages.Reply, frozen=True):
    """A whole revision or a delta to it; revision 0 if there is no newer one.

    Attributes
    ----------
    revision : Revision
        Number of the revision.
    digest : str
        Digest of ``data``.
    data : bytes
        Canonical form of the declaration; empty if ``delta`` is given.
    delta : bytes
        Delta from the revision that the request names.
    is_compressed : bool
        Whether ``data`` and ``delta`` are compressed with zlib.
    """

    revision: ids.Revision
    digest: str = ""
    data: bytes = b""
    delta: bytes = b""
    is_compressed: bool = False


class DeclarationRequest(messages.Request, frozen=True):
    """Asks for a revision newer than the given one, and waits a while for it.

    Attributes
    ----------
    newer_than : Revision
        Revision that the sender has.
    wait_s : float
        How long to wait for a newer one, in seconds.
    whole : bool
        Asks for the whole revision, because a delta could not be applied.
    accepts_compressed : bool
        Whether the sender can read a compressed reply; earlier releases can't.
    """

    reply_type = DeclarationReply
    newer_than: ids.Revision
    wait_s: ranges.SignedDuration
    whole: bool = False
    accepts_compressed: bool = False


class VmStatusReply(messages.Reply, frozen=True):
    """A daemon's own status."""

    status: control_messages.VmStatus


class VmStatusRequest(messages.Request, frozen=True):
    """Asks a daemon for its own status."""

    reply_type = VmStatusReply


class ProposeReply(messages.Reply, frozen=True):
    """Reply of the state machine, or the reason why there is none.

    Attributes
    ----------
    answer : bytes
        Encoded reply of the state machine.
    failure : failures.Failure or None
        Set if there is no reply.
    leader : VmId or None
        Leader, as far as the sender of this reply knows.
    """

    answer: bytes = b""
    failure: failures.Failure | None = None
    leader: ids.VmId | None = None


class ProposeRequest(messages.Request, frozen=True):
    """A command that is forwarded to the leader of a group."""

    reply_type = ProposeReply
    group: ids.GroupId
    session: str
    operation: ids.OperationId
    command: bytes


class SummaryReply(messages.Reply, frozen=True):
    """Acknowledges a summary."""


class GatewaySummary(messages.Request, frozen=True):
    """One gateway's state for the others.

    Each summary contains the whole state, so that the next one makes up for a lost one.

    Attributes
    ----------
    vm : VmId
        The gateway.
    dispatches : servers.PeerDispatches
        Its in-flight load on each backend server.
    server_opinions : tuple of opinions.ServerHealthReport
        Results of its own probes.
    verdicts : suspect_reports.SuspectReports or None
        Requests that it suspects of crashing servers.
    usage : usages.UsageReport or None
        Usage by organisations on this gateway.
    """

    reply_type = SummaryReply
    vm: ids.VmId
    dispatches: servers.PeerDispatches
    server_opinions: tuple[opinions.ServerHealthReport, ...] = ()
    verdicts: suspect_reports.SuspectReports | None = None
    usage: usages.UsageReport | None = None
