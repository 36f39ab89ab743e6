"""Messages between the replicas of a group.

Each names its target replica, so that a replica whose disk was wiped never replies in
the name of the former replica at the same address.
"""

from quetzalpass import ids
from quetzalpass.consensus import entries
from quetzalpass.wire import messages


class VoteReply(messages.Reply, frozen=True):
    """Reply to a request for a vote.

    Attributes
    ----------
    term : ids.Term
        Term of the replica that replies.
    is_granted : bool
        Whether the candidate gets the vote.
    """

    term: ids.Term
    is_granted: bool


class VoteRequest(messages.Request, frozen=True):
    """Requests a vote or, with ``is_pre_vote``, asks whether one would be granted.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    term : ids.Term
        Term in which the candidate would lead.
    vm : ids.VmId
        Address of the candidate.
    replica : ids.ReplicaId
        The candidate.
    target : ids.ReplicaId
        Replica whose vote is requested.
    last_index : ids.LogIndex
        Last index of the candidate's log.
    last_term : ids.Term
        Term of the entry there.
    is_pre_vote : bool
        Whether this is a pre-vote, which promises nothing.
    is_hand_over : bool
        Whether the current leader gave up its lease and requested this election.
    """

    reply_type = VoteReply
    group: ids.GroupId
    term: ids.Term
    vm: ids.VmId
    replica: ids.ReplicaId
    target: ids.ReplicaId
    last_index: ids.LogIndex
    last_term: ids.Term
    is_pre_vote: bool
    is_hand_over: bool = False


class HandOverReply(messages.Reply, frozen=True):
    """Confirms that a request to take over leadership was received."""


class HandOverRequest(messages.Request, frozen=True):
    """Requests that a voter run an election at once, to transfer leadership.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    term : ids.Term
        Term of the leader that gives up its lease.
    target : ids.ReplicaId
        Replica that is to run the election.
    """

    reply_type = HandOverReply
    group: ids.GroupId
    term: ids.Term
    target: ids.ReplicaId


class AppendReply(messages.Reply, frozen=True):
    """Reply to entries or a heartbeat.

    Attributes
    ----------
    term : ids.Term
        Term of the replica that replies.
    replica : ids.ReplicaId
        The replica that replies; empty if it rejected the message.
    is_matching : bool
        Whether the entries matched the log, synced or not.
    match_index : ids.LogIndex
        Last index up to which the log is known to match the leader's and be synced.
    next_index : ids.LogIndex
        Index that the leader should send next.
    disk_condition : str
        What is wrong with the disk of a replica whose log can't be written now, as a
        value of ``health.Condition``. Empty if it can, or in an earlier version.
    data_centre : ids.DataCentreId
        Data centre of the replica that replies; empty if unknown, or in an earlier
        version.
    """

    term: ids.Term
    replica: ids.ReplicaId
    is_matching: bool
    match_index: ids.LogIndex
    next_index: ids.LogIndex
    disk_condition: str = ""
    data_centre: ids.DataCentreId = ids.UNKNOWN_DATA_CENTRE


class AppendRequest(messages.Request, frozen=True):
    """Entries of a leader; a heartbeat if there are none.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    term : ids.Term
        Term of the leader.
    vm : ids.VmId
        Address of the leader.
    replica : ids.ReplicaId
        The leader.
    target : ids.ReplicaId
        Replica that receives the entries.
    previous_index : ids.LogIndex
        Index of the entry before these.
    previous_term : ids.Term
        Term of the leader's entry there.
    commit_index : ids.LogIndex
        Last index known to be committed.
    entries : list of entries.Entry
        Entries in the order of the log.
    """

    reply_type = AppendReply
    group: ids.GroupId
    term: ids.Term
    vm: ids.VmId
    replica: ids.ReplicaId
    target: ids.ReplicaId
    previous_index: ids.LogIndex
    previous_term: ids.Term
    commit_index: ids.LogIndex
    entries: list[entries.Entry]


class SnapshotReply(messages.Reply, frozen=True):
    """Reply to a chunk of a snapshot.

    Attributes
    ----------
    term : ids.Term
        Term of the replica that replies.
    replica : ids.ReplicaId
        The replica that replies; empty if it rejected the message.
    next_offset : int
        Offset in bytes of the next chunk to send.
    is_installed : bool
        Whether the replica now holds all entries that the snapshot covers.
    """

    term: ids.Term
    replica: ids.ReplicaId
    next_offset: int
    is_installed: bool


class SnapshotRequest(messages.Request, frozen=True):
    """One chunk of a leader's snapshot.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    term : ids.Term
        Term of the leader.
    vm : ids.VmId
        Address of the leader.
    replica : ids.ReplicaId
        The leader.
    target : ids.ReplicaId
        Replica that receives the snapshot.
    index : ids.LogIndex
        Last index that the snapshot covers.
    offset : int
        Offset of the chunk in bytes.
    total_bytes : int
        Size of the snapshot in bytes.
    checksum : int
        The crc32c of the whole snapshot.
    data : bytes
        The chunk.
    """

    reply_type = SnapshotReply
    group: ids.GroupId
    term: ids.Term
    vm: ids.VmId
    replica: ids.ReplicaId
    target: ids.ReplicaId
    index: ids.LogIndex
    offset: int
    total_bytes: int
    checksum: int
    data: bytes


class VoteReleaseReply(messages.Reply, frozen=True):
    """Reply to a replica that is about to stop.

    Attributes
    ----------
    is_released : bool
        Whether a committed configuration no longer counts its vote.
    """

    is_released: bool


class VoteReleaseRequest(messages.Request, frozen=True):
    """Requests that the leader move a vote to a learner before the voter stops.

    Sent repeatedly until the vote is released; the leader forgets a request soon, as
    the replica may be back.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    vm : ids.VmId
        Address of the replica that is about to stop.
    replica : ids.ReplicaId
        The replica.
    """

    reply_type = VoteReleaseReply
    group: ids.GroupId
    vm: ids.VmId
    replica: ids.ReplicaId


class StatusReply(messages.Reply, frozen=True):
    """Status of a replica.

    Attributes
    ----------
    replica : ids.ReplicaId
        Id of the replica.
    is_blank : bool
        Whether its log is empty and it has never voted.
    term : ids.Term
        Highest term that it has seen.
    leader : ids.VmId or None
        Leader that it follows, if any.
    members : list of ids.VmId
        Members of the group as far as it knows.
    """

    replica: ids.ReplicaId
    is_blank: bool
    term: ids.Term
    leader: ids.VmId | None
    members: list[ids.VmId] = []


class StatusRequest(messages.Request, frozen=True):
    """Requests a replica's status and names the replica that asks.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    vm : ids.VmId
        Address of the replica that asks.
    replica : ids.ReplicaId
        The replica that asks.
    is_forwarded : bool
        Whether a follower has forwarded the request; it is then not forwarded again.
    """

    reply_type = StatusReply
    group: ids.GroupId
    vm: ids.VmId
    replica: ids.ReplicaId
    is_forwarded: bool = False
