"""Entries of the log and the other records that a replica keeps on its disk."""

import enum

import msgspec

from quetzalpass import ids

NO_REPLICA = ids.ReplicaId("")
NO_OPERATION = ids.OperationId("")


class EntryKind(enum.Enum):
    """What an entry is for."""

    NOOP = "noop"
    COMMAND = "command"
    CONFIGURATION = "configuration"


class Entry(msgspec.Struct, frozen=True, tag="entry"):
    """One entry of the replicated log.

    Attributes
    ----------
    index : ids.LogIndex
        Position, from 1.
    term : ids.Term
        Term of the leader that appended it.
    kind : EntryKind
        What it is for.
    session : str
        Client session of a command.
    operation : ids.OperationId
        Operation id of a command within its session.
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
    """What a replica must remember before it answers.

    Attributes
    ----------
    term : ids.Term
        Highest term seen.
    voted_for : ids.ReplicaId or None
        Replica that has its vote in this term.
    """

    term: ids.Term = ids.Term(0)
    voted_for: ids.ReplicaId | None = None


class Reset(msgspec.Struct, frozen=True, tag="reset"):
    """Says that a snapshot replaced all entries written before.

    Attributes
    ----------
    index : ids.LogIndex
        Last position that the snapshot stands for.
    """

    index: ids.LogIndex


class Member(msgspec.Struct, frozen=True):
    """One member of a group.

    Attributes
    ----------
    vm : ids.VmId
        Address.
    replica : ids.ReplicaId
        Random id of its disk; empty until the VM has first been heard from.
    is_voter : bool
        Learners receive entries, but neither vote nor count for a majority.
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
        """Return the members whose acknowledgements count."""
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
        """Return the configuration in which a member takes its VM's place."""
        return Configuration([*self.without(member.vm).members, member])

    def without(self, vm: ids.VmId) -> "Configuration":
        """Return the configuration without the member at an address."""
        return Configuration([item for item in self.members if item.vm != vm])


Stored = Entry | HardState | Reset


def encode_stored(record: Stored) -> bytes:
    """Return a record as bytes for the disk."""
    return msgspec.msgpack.encode(record)


def decode_stored(data: bytes) -> Stored:
    """Return the record that the disk holds."""
    return msgspec.msgpack.decode(data, type=Stored)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return a configuration as the data of an entry."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration in the data of an entry."""
    return msgspec.msgpack.decode(data, type=Configuration)
