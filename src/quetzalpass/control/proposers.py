"""Interface to submit commands to a replicated state machine."""

import abc

from returns import result

from quetzalpass import ids
from quetzalpass.consensus import machine
from quetzalpass.results import failures


class Proposer(abc.ABC):
    """Submits commands to the replicated state machine of one group."""

    @abc.abstractmethod
    async def propose(
        self, session: str, operation: ids.OperationId, command: bytes
    ) -> result.Result[bytes, failures.Failure]:
        """Commit a command and return its outcome.

        Parameters
        ----------
        session : str
            Identifies the proposer; operation ids are unique within a session.
        operation : OperationId
            A command that is sent again with the same id gets the first outcome.
        command : bytes
            Encoded command of the state machine.

        Returns
        -------
        Result
            The encoded outcome. After the failure ``NO_QUORUM`` the command may still
            be committed later.
        """


class LocalProposer(Proposer):
    """Applies commands in this process, without replication.

    Used by deployments with a single VM and by tests.

    Parameters
    ----------
    state_machine : machine.StateMachine
        Applies the commands.
    """

    def __init__(self, state_machine: machine.StateMachine) -> None:
        self.state_machine = state_machine
        self.applied = ids.LogIndex(0)
        self.outcomes: dict[tuple[str, ids.OperationId], bytes] = {}

    async def propose(
        self, session: str, operation: ids.OperationId, command: bytes
    ) -> result.Result[bytes, failures.Failure]:
        """Apply a command; see the base class."""
        known = self.outcomes.get((session, operation))
        if known is not None:
            return result.Success(known)
        self.applied = ids.LogIndex(self.applied + 1)
        outcome = self.state_machine.apply(self.applied, command)
        self.outcomes[session, operation] = outcome
        return result.Success(outcome)
