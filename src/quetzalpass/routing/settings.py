"""Settings of the routing package, as declared by an operator."""

import enum

import msgspec

from quetzalpass import ids


class PolicyName(enum.Enum):
    """Available routing policies."""

    ROUND_ROBIN = "round_robin"
    LEAST_IN_FLIGHT = "least_in_flight"
    POWER_OF_TWO = "power_of_two"
    PREFIX_AFFINITY = "prefix_affinity"
    PREDICTIVE = "predictive"


class Objective(msgspec.Struct, frozen=True):
    """What routing optimises for; the weights add up to 1.

    Attributes
    ----------
    stall : float
        Weight of stall time.
    gap_tail : float
        Weight of the tail of the time between tokens.
    gap_target_s : float
        Time between tokens that callers are promised, in seconds.
    """

    stall: float = 0.5
    gap_tail: float = 0.5
    gap_target_s: float = 0.062


class RoutingSettings(msgspec.Struct, frozen=True):
    """How requests are queued and placed.

    Attributes
    ----------
    policy : PolicyName
        Policy that chooses servers.
    objective : Objective
        What the predictive policy optimises for.
    organisation_weights : dict
        Weight of each organisation's share; 1 if none is given.
    queue_limit : int
        Maximum number of requests that wait for one model.
    longest_wait_s : float
        Longest wait of a request without a deadline, in seconds.
    """

    policy: PolicyName = PolicyName.PREDICTIVE
    objective: Objective = Objective()
    organisation_weights: dict[ids.OrganisationId, float] = {}
    queue_limit: int = 2000
    longest_wait_s: float = 60.0
