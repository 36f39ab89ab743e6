"""Messages between the replicas of a group.

Each names the replica it is meant for, so that a disk which was emptied under its old
address never answers in the name of the former one.
"""

from quetzalpass import ids
from quetzalpass.consensus import entries
from quetzalpass.wire import messages


class VoteReply(messages.Reply, frozen=True):
    """Answer to a request for a vote.

    Attributes
    ----------
    term : ids.Term
        Term of the one who answers.
    is_granted : bool
        Whether the candidate has the vote.
    """

    term: ids.Term
    is_granted: bool


class VoteRequest(messages.Request, frozen=True):
    """Asks for a vote, or with ``is_pre_vote`` whether one would be granted.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    term : ids.Term
        Term that the candidate would lead.
    vm : ids.VmId
        Address of the candidate.
    replica : ids.ReplicaId
        The candidate.
    target : ids.ReplicaId
        Replica whose vote is asked for.
    last_index : ids.LogIndex
        Last position of the candidate's log.
    last_term : ids.Term
        Term of the entry there.
    is_pre_vote : bool
        Whether nothing is to be promised yet.
    is_hand_over : bool
        Whether the present leader gave up its lease and asked for this election.
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
    """Says that a request to stand for election has arrived."""


class HandOverRequest(messages.Request, frozen=True):
    """Asks a voter to stand for election at once.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    term : ids.Term
        Term of the leader that gives up its lease.
    target : ids.ReplicaId
        Replica that is asked.
    """

    reply_type = HandOverReply
    group: ids.GroupId
    term: ids.Term
    target: ids.ReplicaId


class AppendReply(messages.Reply, frozen=True):
    """Answer to entries or a heartbeat.

    Attributes
    ----------
    term : ids.Term
        Term of the one who answers.
    replica : ids.ReplicaId
        The one who answers; empty where the message was for another disk.
    is_matching : bool
        Whether the entries fitted and are synced.
    match_index : ids.LogIndex
        Last position known to equal the leader's log and to be synced.
    next_index : ids.LogIndex
        Where the leader should go on if the entries did not fit.
    """

    term: ids.Term
    replica: ids.ReplicaId
    is_matching: bool
    match_index: ids.LogIndex
    next_index: ids.LogIndex


class AppendRequest(messages.Request, frozen=True):
    """Entries of a leader; a heartbeat where there are none.

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
        Replica the entries are for.
    previous_index : ids.LogIndex
        Position before the entries.
    previous_term : ids.Term
        Term of the leader's entry there.
    commit_index : ids.LogIndex
        Last position known to be committed.
    entries : list of entries.Entry
        Entries in order.
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
    """Answer to a chunk of a snapshot.

    Attributes
    ----------
    term : ids.Term
        Term of the one who answers.
    replica : ids.ReplicaId
        The one who answers; empty where the message was for another disk.
    next_offset : int
        Offset in bytes of the chunk that is wanted next.
    is_installed : bool
        Whether the replica now holds all that the snapshot stands for.
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
        Replica the snapshot is for.
    index : ids.LogIndex
        Last position that the snapshot stands for.
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


class StatusReply(messages.Reply, frozen=True):
    """What a replica says of itself.

    Attributes
    ----------
    replica : ids.ReplicaId
        Id of its disk.
    is_blank : bool
        Whether it has neither entries nor ever voted.
    term : ids.Term
        Highest term it has seen.
    leader : ids.VmId or None
        Leader that it follows.
    """

    replica: ids.ReplicaId
    is_blank: bool
    term: ids.Term
    leader: ids.VmId | None


class StatusRequest(messages.Request, frozen=True):
    """Asks a replica who it is, and says who asks.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    vm : ids.VmId
        Address of the one who asks.
    replica : ids.ReplicaId
        Its replica.
    """

    reply_type = StatusReply
    group: ids.GroupId
    vm: ids.VmId
    replica: ids.ReplicaId
