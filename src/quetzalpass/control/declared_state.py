"""Replicated state machine that holds the accepted declaration."""

import enum
from collections.abc import Callable

import msgspec

from quetzalpass import ids
from quetzalpass.consensus import machine
from quetzalpass.declarations import delta, schema

SESSION = "declaration"


class ApplyCommand(msgspec.Struct, frozen=True, tag="apply"):
    """Replaces the declaration if the base revision is still the newest.

    Attributes
    ----------
    base_revision : Revision
        Revision that the change was made from.
    declaration : bytes
        Canonical form of the new declaration; empty where a difference is given.
    author : str
        Who applies it.
    delta : bytes
        Difference from the base revision. A whole declaration has megabytes, which
        would go to each replica's disk for each change.
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
        Revision that the change was made from.
    base : schema.Declaration or None
        That revision, if it is known here; the command is small then.
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
    """What became of an apply.

    Attributes
    ----------
    accepted : bool
        Whether the declaration was replaced.
    revision : Revision
        The newest revision after the command.
    digest : str
        Digest of that revision.
    author : str
        Who made that revision.
    """

    accepted: bool
    revision: ids.Revision
    digest: str
    author: str


class PublishCommand(msgspec.Struct, frozen=True, tag="publish"):
    """Replaces the declaration if its revision is the highest.

    Operators who number the revisions themselves use it instead of ``ApplyCommand``.

    Attributes
    ----------
    revision : Revision
        Number that the operator chose.
    declaration : bytes
        Canonical form of the declaration.
    document : bytes
        What the operator sent; it is returned as it is when the operator reads it.
    author : str
        Who publishes it.
    """

    revision: ids.Revision
    declaration: bytes
    document: bytes
    author: str


class BarrierCommand(msgspec.Struct, frozen=True, tag="barrier"):
    """Changes nothing; its outcome names the newest revision at its place."""


class PublishVerdict(enum.Enum):
    """What became of a published revision.

    ``ACCEPTED``: it is the newest now. ``HELD``: it was the newest already.
    ``OVERTAKEN``: a higher one is. ``CONFLICT``: another content has its number.
    """

    ACCEPTED = "accepted"
    HELD = "held"
    OVERTAKEN = "overtaken"
    CONFLICT = "conflict"


class PublishOutcome(msgspec.Struct, frozen=True):
    """Answer to a ``PublishCommand``.

    Attributes
    ----------
    verdict : PublishVerdict
        What became of it.
    revision : Revision
        The newest revision after the command.
    """

    verdict: PublishVerdict
    revision: ids.Revision


Command = ApplyCommand | PublishCommand | BarrierCommand


class AcceptedDeclaration(msgspec.Struct, frozen=True):
    """A revision with its canonical form.

    Attributes
    ----------
    revision : Revision
        Its number.
    digest : str
        Digest of ``data``.
    author : str
        Who made it.
    data : bytes
        Canonical form.
    document : bytes
        What the operator sent, where that had another form.
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
    """The accepted declaration.

    Attributes
    ----------
    current : AcceptedDeclaration
        The newest accepted revision.
    declaration : schema.Declaration
        The same, decoded.
    observers : list of callable
        Called with each revision that becomes the newest.
    """

    def __init__(self) -> None:
        self.current = EMPTY
        self.declaration = schema.Declaration()
        self.observers: list[Callable[[AcceptedDeclaration], None]] = []

    def replace(self, accepted: AcceptedDeclaration) -> None:
        """Make a revision the newest and tell the observers."""
        self.current = accepted
        for observer in self.observers:
            observer(accepted)

    def apply(self, index: ids.LogIndex, command: bytes) -> bytes:
        """Apply one committed command and return the encoded outcome."""
        order = msgspec.msgpack.decode(command, type=Command)
        if isinstance(order, PublishCommand):
            return msgspec.msgpack.encode(self.publish(order))
        if isinstance(order, BarrierCommand):
            return msgspec.msgpack.encode(self.current.revision)
        return msgspec.msgpack.encode(self.apply_change(order))

    def apply_change(self, order: ApplyCommand) -> ApplyOutcome:
        """Replace the declaration if the base revision is still the newest."""
        accepted = order.base_revision == self.current.revision
        if accepted:
            data = self.declared_by(order)
            self.replace(
                AcceptedDeclaration(
                    ids.Revision(self.current.revision + 1),
                    schema.digest_of(data),
                    order.author,
                    data,
                )
            )
        now = self.current
        return ApplyOutcome(accepted, now.revision, now.digest, now.author)

    def publish(self, order: PublishCommand) -> PublishOutcome:
        """Replace the declaration if the given revision is the highest."""
        now = self.current
        if order.revision < now.revision:
            return PublishOutcome(PublishVerdict.OVERTAKEN, now.revision)
        if order.revision == now.revision:
            same = order.document == now.document and order.declaration == now.data
            verdict = PublishVerdict.HELD if same else PublishVerdict.CONFLICT
            return PublishOutcome(verdict, now.revision)
        self.declaration = schema.decode(order.declaration)
        self.replace(
            AcceptedDeclaration(
                order.revision,
                schema.digest_of(order.declaration),
                order.author,
                order.declaration,
                order.document,
            )
        )
        return PublishOutcome(PublishVerdict.ACCEPTED, order.revision)

    def declared_by(self, order: ApplyCommand) -> bytes:
        """Return the canonical form of the declaration that a command makes."""
        if not order.delta:
            self.declaration = schema.decode(order.declaration)
            return order.declaration
        self.declaration = delta.apply_delta(
            self.declaration, delta.decode(order.delta)
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
