"""Puts accepted declarations in force."""

import asyncio

from quetzalpass import background
from quetzalpass.control import declared_state
from quetzalpass.membership import configuration

RETRY_S = 0.1


class Activation:
    """Puts the newest accepted revision in force soon after it was accepted.

    After a restart hundreds of revisions may be applied in a row. Only the last of them
    is put in force, since decoding each of them would be a waste.

    Parameters
    ----------
    declared : declared_state.DeclaredState
        The replicated state machine, which is observed from now on.
    holder : configuration.ConfigurationHolder
        Holds the revision in force.
    """

    def __init__(
        self,
        declared: declared_state.DeclaredState,
        holder: configuration.ConfigurationHolder,
    ) -> None:
        self.declared = declared
        self.holder = holder
        self.pending: asyncio.Handle | None = None
        self.failure_log = background.FailureLog()
        declared.observers.append(self.on_accepted)

    def on_accepted(self, accepted: declared_state.AcceptedDeclaration) -> None:
        """Schedule the activation, unless one is pending."""
        if self.pending is None:
            loop = asyncio.get_running_loop()
            self.pending = loop.call_soon(self.activate_newest)

    def activate_newest(self) -> None:
        """Put the newest accepted revision in force; try again if that fails."""
        self.pending = None
        newest = self.declared.current
        try:
            self.holder.activate(newest.revision, newest.digest, newest.data)
        except Exception as error:
            message = f"Revision {newest.revision} is not in force yet"
            self.failure_log.record(message, error)
            loop = asyncio.get_running_loop()
            self.pending = loop.call_later(RETRY_S, self.activate_newest)
