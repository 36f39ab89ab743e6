"""The state machine that a group replicates."""

import abc

from quetzalpass import ids


class StateMachine(abc.ABC):
    """Deterministic state that is the same on every replica.

    Methods are called in the event loop and must not wait. What they return or store
    may depend on the commands alone: not on time, randomness or the VM.
    """

    @abc.abstractmethod
    def apply(self, index: ids.LogIndex, command: bytes) -> bytes:
        """Apply a committed command and return its outcome.

        Parameters
        ----------
        index : ids.LogIndex
            Position of the command; it rises, with gaps.
        command : bytes
            What was proposed.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that ``snapshot`` returned."""
