"""Log entries and the other records that a replica stores on its disk."""

import enum

import msgspec

from quetzalpass import ids

NO_REPLICA = ids.ReplicaId("")
NO_OPERATION = ids.OperationId("")


class EntryKind(enum.Enum):
    """Kind of an entry."""

    NOOP = "noop"
    COMMAND = "command"
    CONFIGURATION = "configuration"


class Entry(msgspec.Struct, frozen=True, tag="entry"):
    """One entry of the replicated log.

    Attributes
    ----------
    index : ids.LogIndex
        Index in the log, from 1.
    term : ids.Term
        Term of the leader that appended it.
    kind : EntryKind
        Kind of the entry.
    session : str
        Client session that sent the command.
    operation : ids.OperationId
        Operation id of the command within its session.
    data : bytes
        The command, or the encoded ``Configuration``.
    """

    index: ids.LogIndex
    term: ids.Term
    kind: EntryKind
    session: str = ""
    operation: ids.OperationId = NO_OPERATION
    data: bytes = b""


class HardState(msgspec.Struct, frozen=True, tag="state"):
    """Term and vote, which must be durable before the replica replies.

    Attributes
    ----------
    term : ids.Term
        Highest term seen.
    voted_for : ids.ReplicaId or None
        Replica that it voted for in this term.
    """

    term: ids.Term = ids.Term(0)
    voted_for: ids.ReplicaId | None = None


class Reset(msgspec.Struct, frozen=True, tag="reset"):
    """Record that a snapshot has replaced all entries written before it.

    Attributes
    ----------
    index : ids.LogIndex
        Last index that the snapshot covers.
    """

    index: ids.LogIndex


class Member(msgspec.Struct, frozen=True):
    """One member of a group.

    Attributes
    ----------
    vm : ids.VmId
        Address.
    replica : ids.ReplicaId
        Random id of its disk; empty until its VM has first made contact.
    is_voter : bool
        Whether it votes; learners receive entries, but don't count for a majority.
    """

    vm: ids.VmId
    replica: ids.ReplicaId
    is_voter: bool


class Configuration(msgspec.Struct, frozen=True):
    """The members of a group.

    Attributes
    ----------
    members : list of Member
        At most one for each VM.
    """

    members: list[Member] = []

    @property
    def voters(self) -> list[Member]:
        """Return the members that count for a majority."""
        return [member for member in self.members if member.is_voter]

    @property
    def majority(self) -> int:
        """Return how many voters form a majority."""
        return len(self.voters) // 2 + 1

    def has_voter(self, replica: ids.ReplicaId) -> bool:
        """Return whether a replica is a voter."""
        return any(member.replica == replica for member in self.voters)

    def has_replica(self, replica: ids.ReplicaId) -> bool:
        """Return whether a replica is a member."""
        return any(member.replica == replica for member in self.members)

    def member_at(self, vm: ids.VmId) -> Member | None:
        """Return the member at an address."""
        for member in self.members:
            if member.vm == vm:
                return member
        return None

    def with_member(self, member: Member) -> "Configuration":
        """Return the configuration with a member that replaces any other of its VM."""
        return Configuration([*self.without(member.vm).members, member])

    def without(self, vm: ids.VmId) -> "Configuration":
        """Return the configuration without the member at an address."""
        return Configuration([item for item in self.members if item.vm != vm])


StoredRecord = Entry | HardState | Reset


def encode_stored(record: StoredRecord) -> bytes:
    """Encode a record for the disk."""
    return msgspec.msgpack.encode(record)


def decode_stored(data: bytes) -> StoredRecord:
    """Decode a record from the disk."""
    return msgspec.msgpack.decode(data, type=StoredRecord)


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration as the data of an entry."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration from the data of an entry."""
    return msgspec.msgpack.decode(data, type=Configuration)
