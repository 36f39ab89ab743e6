"""Messages between daemons about declared state and status."""

import msgspec

from quetzalpass import ids
from quetzalpass.results import failures


class DeclarationMessage(msgspec.Struct, frozen=True):
    """A whole revision; ``data`` is its canonical form."""

    revision: ids.Revision
    digest: str
    data: bytes


class ProposeMessage(msgspec.Struct, frozen=True):
    """A command that is passed on to the leader of a group."""

    group: ids.GroupId
    session: str
    operation: ids.OperationId
    command: bytes


class ProposeAnswer(msgspec.Struct, frozen=True):
    """Answer of the state machine, or why there is none."""

    answer: bytes | None = None
    failure: failures.Failure | None = None
