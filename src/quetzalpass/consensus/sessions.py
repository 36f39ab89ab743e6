"""Outcomes of applied operations, kept so that a resend gets the first one."""

import msgspec

from quetzalpass import ids

MAX_SESSIONS = 1024
MAX_OUTCOMES_PER_SESSION = 256


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of one operation.

    Attributes
    ----------
    operation : ids.OperationId
        The operation.
    data : bytes
        What the state machine returned.
    """

    operation: ids.OperationId
    data: bytes


class SessionState(msgspec.Struct, frozen=True):
    """The outcomes of one session, oldest first.

    Attributes
    ----------
    session : str
        Name of the session.
    outcomes : list of Outcome
        At most ``MAX_OUTCOMES_PER_SESSION``.
    """

    session: str
    outcomes: list[Outcome]


class Sessions:
    """Outcomes by session and operation, part of the replicated state.

    The bounds drop the oldest operation of a session and the session that has been
    idle longest. An operation that was dropped would be applied again, so that a
    state machine for which this matters checks its own keys or revisions too.
    """

    def __init__(self) -> None:
        self.outcomes: dict[str, dict[ids.OperationId, bytes]] = {}

    def find(self, session: str, operation: ids.OperationId) -> bytes | None:
        """Return the first outcome of an operation, None where none is kept."""
        return self.outcomes.get(session, {}).get(operation)

    def remember(
        self, session: str, operation: ids.OperationId, outcome: bytes
    ) -> None:
        """Keep the outcome of an operation."""
        kept = self.outcomes.pop(session, {})
        self.outcomes[session] = kept
        kept[operation] = outcome
        if len(kept) > MAX_OUTCOMES_PER_SESSION:
            del kept[next(iter(kept))]
        if len(self.outcomes) > MAX_SESSIONS:
            del self.outcomes[next(iter(self.outcomes))]

    def to_states(self) -> list[SessionState]:
        """Return all sessions for a snapshot, in their order of use."""
        return [
            SessionState(session, [Outcome(*item) for item in kept.items()])
            for session, kept in self.outcomes.items()
        ]

    def restore(self, states: list[SessionState]) -> None:
        """Replace all sessions by those of a snapshot."""
        self.outcomes = {
            state.session: {item.operation: item.data for item in state.outcomes}
            for state in states
        }
