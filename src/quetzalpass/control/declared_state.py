"""Replicated state machine that holds the accepted declaration."""

import enum
from collections.abc import Callable

import msgspec

from quetzalpass import ids
from quetzalpass.consensus import machine
from quetzalpass.declarations import delta, schema

SESSION = "declaration"


class ApplyCommand(msgspec.Struct, frozen=True, tag="apply"):
    """Replaces the declaration if its base revision is still the newest.

    Attributes
    ----------
    base_revision : Revision
        Revision that the change is based on.
    declaration : bytes
        Canonical form of the new declaration; empty if ``delta`` is set.
    author : str
        Who applies it.
    delta : bytes
        Difference from the base revision. A whole declaration takes megabytes, which
        each replica would write to its disk for each change.
    """

    base_revision: ids.Revision
    declaration: bytes
    author: str
    delta: bytes = b""


def encode_apply_command(
    base_revision: ids.Revision,
    base: schema.Declaration | None,
    new: schema.Declaration,
    author: str,
) -> bytes:
    """Return the encoded command that applies a declaration.

    Parameters
    ----------
    base_revision : Revision
        Revision that the change is based on.
    base : schema.Declaration or None
        Declaration of that revision. If it is known, the command holds only the
        difference.
    new : schema.Declaration
        The new declaration.
    author : str
        Who applies it.
    """
    change = None if base is None else delta.delta_between(base, new)
    if change is None:
        command = ApplyCommand(base_revision, schema.encode(new), author)
    else:
        command = ApplyCommand(base_revision, b"", author, delta.encode(change))
    return msgspec.msgpack.encode(command)


class ApplyOutcome(msgspec.Struct, frozen=True):
    """Outcome of an ``ApplyCommand``.

    Attributes
    ----------
    accepted : bool
        Whether the declaration was replaced.
    revision : Revision
        The newest revision after the command.
    digest : str
        Digest of that revision.
    author : str
        Who applied that revision.
    """

    accepted: bool
    revision: ids.Revision
    digest: str
    author: str


class PublishCommand(msgspec.Struct, frozen=True, tag="publish"):
    """Replaces the declaration if the given revision is the highest.

    Used instead of ``ApplyCommand`` by operators who number the revisions themselves.

    Attributes
    ----------
    revision : Revision
        Number that the operator chose.
    declaration : bytes
        Canonical form of the declaration.
    document : bytes
        Declaration as the operator sent it; returned unchanged when it is read.
    author : str
        Who publishes it.
    """

    revision: ids.Revision
    declaration: bytes
    document: bytes
    author: str


class BarrierCommand(msgspec.Struct, frozen=True, tag="barrier"):
    """Changes nothing; its outcome is the newest revision when it is applied.

    The leader answers it without an entry. One of an earlier version appends it.
    """


class PublishVerdict(enum.Enum):
    """Whether a published revision was accepted, and why not.

    ``ACCEPTED``: it is the newest now. ``HELD``: it was the newest already.
    ``OVERTAKEN``: a higher revision exists. ``CONFLICT``: the newest revision has the
    same number and different content.
    """

    ACCEPTED = "accepted"
    HELD = "held"
    OVERTAKEN = "overtaken"
    CONFLICT = "conflict"


class PublishOutcome(msgspec.Struct, frozen=True):
    """Outcome of a ``PublishCommand``.

    Attributes
    ----------
    verdict : PublishVerdict
        Whether the revision was accepted, and why not.
    revision : Revision
        The newest revision after the command.
    """

    verdict: PublishVerdict
    revision: ids.Revision


Command = ApplyCommand | PublishCommand | BarrierCommand
BARRIER = msgspec.msgpack.encode(BarrierCommand())


class AcceptedDeclaration(msgspec.Struct, frozen=True):
    """An accepted revision of the declaration.

    Attributes
    ----------
    revision : Revision
        Its number.
    digest : str
        Digest of ``data``.
    author : str
        Who applied it.
    data : bytes
        Canonical form of the declaration.
    document : bytes
        Declaration as the operator sent it, if that was in another form.
    """

    revision: ids.Revision
    digest: str
    author: str
    data: bytes
    document: bytes = b""


EMPTY_DATA = schema.encode(schema.Declaration())
EMPTY = AcceptedDeclaration(
    ids.Revision(0), schema.digest_of(EMPTY_DATA), "", EMPTY_DATA
)


class DeclaredState(machine.StateMachine):
    """State machine that holds the newest accepted declaration.

    Attributes
    ----------
    current : AcceptedDeclaration
        The newest accepted revision.
    declaration : schema.Declaration
        The declaration of that revision, decoded.
    observers : list of callable
        Called with each revision that becomes the newest.
    """

    def __init__(self) -> None:
        self.current = EMPTY
        self.declaration = schema.Declaration()
        self.observers: list[Callable[[AcceptedDeclaration], None]] = []

    def replace(self, accepted: AcceptedDeclaration) -> None:
        """Make a revision the newest and notify the observers."""
        self.current = accepted
        for observer in self.observers:
            observer(accepted)

    def apply(self, index: ids.LogIndex, command: bytes) -> bytes:
        """Apply a committed command and return its encoded outcome."""
        decoded = msgspec.msgpack.decode(command, type=Command)
        if isinstance(decoded, PublishCommand):
            return msgspec.msgpack.encode(self.publish(decoded))
        if isinstance(decoded, BarrierCommand):
            return msgspec.msgpack.encode(self.current.revision)
        return msgspec.msgpack.encode(self.apply_change(decoded))

    def query(self, command: bytes) -> bytes | None:
        """Return the newest revision if the command is a ``BarrierCommand``."""
        if command != BARRIER:
            return None
        return msgspec.msgpack.encode(self.current.revision)

    def apply_change(self, command: ApplyCommand) -> ApplyOutcome:
        """Replace the declaration if its base revision is still the newest."""
        accepted = command.base_revision == self.current.revision
        if accepted:
            data = self.update_declaration(command)
            self.replace(
                AcceptedDeclaration(
                    ids.Revision(self.current.revision + 1),
                    schema.digest_of(data),
                    command.author,
                    data,
                )
            )
        newest = self.current
        return ApplyOutcome(accepted, newest.revision, newest.digest, newest.author)

    def publish(self, command: PublishCommand) -> PublishOutcome:
        """Replace the declaration if the given revision is the highest."""
        newest = self.current
        if command.revision < newest.revision:
            return PublishOutcome(PublishVerdict.OVERTAKEN, newest.revision)
        if command.revision == newest.revision:
            same = (
                command.document == newest.document
                and command.declaration == newest.data
            )
            verdict = PublishVerdict.HELD if same else PublishVerdict.CONFLICT
            return PublishOutcome(verdict, newest.revision)
        self.declaration = schema.decode(command.declaration)
        self.replace(
            AcceptedDeclaration(
                command.revision,
                schema.digest_of(command.declaration),
                command.author,
                command.declaration,
                command.document,
            )
        )
        return PublishOutcome(PublishVerdict.ACCEPTED, command.revision)

    def update_declaration(self, command: ApplyCommand) -> bytes:
        """Replace the decoded declaration and return its canonical form."""
        if not command.delta:
            self.declaration = schema.decode(command.declaration)
            return command.declaration
        self.declaration = delta.apply_delta(
            self.declaration, delta.decode(command.delta)
        )
        return schema.encode(self.declaration)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(self.current)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        restored = msgspec.msgpack.decode(data, type=AcceptedDeclaration)
        self.declaration = schema.decode(restored.data)
        self.replace(restored)
