"""Times of a consensus group, all in seconds of the event loop's clock."""

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
    """Times of a consensus group; equal on all its members.

    Attributes
    ----------
    election_timeout_s : float
        A replica that heard from a leader within this time grants no vote.
    heartbeat_interval_s : float
        Longest pause between two messages of a leader to a peer.
    call_timeout_s : float
        Bound on a call that replicates.
    vote_timeout_s : float
        Bound on a call for a vote.
    join_interval_s : float
        Pause between two questions of a replica that is no member yet.
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
        """Return how long a majority's acknowledgement lets a leader act alone.

        Shorter than the time in which no replica votes for another, by what two
        clocks may drift apart.
        """
        return self.election_timeout_s * (1.0 - CLOCK_DRIFT_RATIO)
