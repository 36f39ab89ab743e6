"""Interface of the state machines that groups replicate."""

import abc

from quetzalpass import ids


class StateMachine(abc.ABC):
    """Deterministic state that is the same on every replica.

    Methods are called in the event loop and must not block. What they return or store
    may depend only on the commands, not on time, randomness or the VM.
    """

    @abc.abstractmethod
    def apply(self, index: ids.LogIndex, command: bytes) -> bytes:
        """Apply a committed command and return its outcome.

        Parameters
        ----------
        index : ids.LogIndex
            Index of the command; it increases, with gaps.
        command : bytes
            The proposed command.
        """

    def query(self, command: bytes) -> bytes | None:
        """Return the outcome of a command that changes nothing, from the present state.

        The leader answers such commands without an entry in the log. None for all
        other commands.
        """
        return None

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Return the encoded state."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state by one that ``snapshot`` returned."""
