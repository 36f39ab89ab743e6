"""Outcomes of applied operations, kept so that a resend returns the first one."""

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
        Outcome that the state machine returned.
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

    Above the limits, the oldest operation of a session or the session that has been
    idle longest is dropped. A resend of a dropped operation is applied again, so a
    state machine for which this matters must also check keys or revisions of its own.
    """

    def __init__(self) -> None:
        self.outcomes: dict[str, dict[ids.OperationId, bytes]] = {}

    def find(self, session: str, operation: ids.OperationId) -> bytes | None:
        """Return the first outcome of an operation, or None if none is kept."""
        return self.outcomes.get(session, {}).get(operation)

    def record(self, session: str, operation: ids.OperationId, outcome: bytes) -> None:
        """Record the outcome of an operation."""
        kept = self.outcomes.pop(session, {})
        self.outcomes[session] = kept
        kept[operation] = outcome
        if len(kept) > MAX_OUTCOMES_PER_SESSION:
            del kept[next(iter(kept))]
        if len(self.outcomes) > MAX_SESSIONS:
            del self.outcomes[next(iter(self.outcomes))]

    def to_states(self) -> list[SessionState]:
        """Return all sessions for a snapshot, least recently used first."""
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
