"""Brings accepted declarations into force, the newest of several at once."""

import asyncio

from quetzalpass.control import declared_state
from quetzalpass.membership import configuration


class Activation:
    """Puts the newest accepted revision in force soon after it was accepted.

    After a restart hundreds of revisions are applied in a row; only the last of them is
    worth decoding.

    Parameters
    ----------
    declared : declared_state.DeclaredState
        The replicated state machine; observed from now on.
    holder : configuration.ConfigurationHolder
        Where revisions come into force.
    """

    def __init__(
        self,
        declared: declared_state.DeclaredState,
        holder: configuration.ConfigurationHolder,
    ) -> None:
        self.declared = declared
        self.holder = holder
        self.pending: asyncio.Handle | None = None
        declared.observers.append(self.note_accepted)

    def note_accepted(self, accepted: declared_state.AcceptedDeclaration) -> None:
        """Activate soon, unless that is about to happen."""
        if self.pending is None:
            loop = asyncio.get_running_loop()
            self.pending = loop.call_soon(self.activate_newest)

    def activate_newest(self) -> None:
        """Put the newest accepted revision in force."""
        self.pending = None
        newest = self.declared.current
        self.holder.activate(newest.revision, newest.digest, newest.data)
