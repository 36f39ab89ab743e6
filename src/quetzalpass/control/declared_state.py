"""Replicated state machine that holds the accepted declaration."""

from collections.abc import Callable

import msgspec

from quetzalpass import ids
from quetzalpass.consensus import machine
from quetzalpass.declarations import schema

SESSION = "declaration"


class ApplyCommand(msgspec.Struct, frozen=True):
    """Replaces the declaration if the base revision is still the newest.

    Attributes
    ----------
    base_revision : Revision
        Revision that the change was made from.
    declaration : bytes
        Canonical form of the new declaration.
    author : str
        Who applies it.
    """

    base_revision: ids.Revision
    declaration: bytes
    author: str


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


class AcceptedDeclaration(msgspec.Struct, frozen=True):
    """A revision with its canonical form."""

    revision: ids.Revision
    digest: str
    author: str
    data: bytes


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
    observers : list of callable
        Called with each revision that becomes the newest.
    """

    def __init__(self) -> None:
        self.current = EMPTY
        self.observers: list[Callable[[AcceptedDeclaration], None]] = []

    def replace(self, accepted: AcceptedDeclaration) -> None:
        """Make a revision the newest and tell the observers."""
        self.current = accepted
        for observer in self.observers:
            observer(accepted)

    def apply(self, index: ids.LogIndex, command: bytes) -> bytes:
        """Apply one committed command and return the encoded outcome."""
        order = msgspec.msgpack.decode(command, type=ApplyCommand)
        accepted = order.base_revision == self.current.revision
        if accepted:
            self.replace(
                AcceptedDeclaration(
                    ids.Revision(self.current.revision + 1),
                    schema.digest_of(order.declaration),
                    order.author,
                    order.declaration,
                )
            )
        now = self.current
        return msgspec.msgpack.encode(
            ApplyOutcome(accepted, now.revision, now.digest, now.author)
        )

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(self.current)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        self.replace(msgspec.msgpack.decode(data, type=AcceptedDeclaration))
