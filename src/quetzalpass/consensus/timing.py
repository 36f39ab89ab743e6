"""Timeouts and intervals of consensus groups, in seconds of the event loop's clock."""

import msgspec

ELECTION_TIMEOUT_S = 0.7
HEARTBEAT_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 0.8
VOTE_TIMEOUT_S = 0.4
JOIN_INTERVAL_S = 0.2
PROPOSE_TIMEOUT_S = 5.0
CLOCK_DRIFT_RATIO = 0.1
MIN_ELECTION_FACTOR = 1.2
MAX_ELECTION_FACTOR = 2.0


class Timing(msgspec.Struct, frozen=True):
    """Timeouts and intervals of a consensus group, equal on all its members.

    Attributes
    ----------
    election_timeout_s : float
        Time after contact from a leader in which a replica grants no vote.
    heartbeat_interval_s : float
        Longest interval between two messages of a leader to a peer.
    call_timeout_s : float
        Timeout of a replication call.
    vote_timeout_s : float
        Timeout of a request for a vote.
    join_interval_s : float
        Interval between two queries of a replica that is not a member yet.
    propose_timeout_s : float
        After this time the outcome of a proposal is reported as unknown.
    """

    election_timeout_s: float = ELECTION_TIMEOUT_S
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    call_timeout_s: float = CALL_TIMEOUT_S
    vote_timeout_s: float = VOTE_TIMEOUT_S
    join_interval_s: float = JOIN_INTERVAL_S
    propose_timeout_s: float = PROPOSE_TIMEOUT_S

    @property
    def lease_s(self) -> float:
        """Return how long a leader holds its lease after a majority's acknowledgement.

        It is shorter than the time in which these replicas grant no vote, by the drift
        allowed between two clocks.
        """
        return self.election_timeout_s * (1.0 - CLOCK_DRIFT_RATIO)
