"""Builds the dispatcher and the admission of a gateway from its settings."""

import random

from quetzalpass import ids
from quetzalpass.routing import (
    admission,
    dispatch,
    lengths,
    policies,
    predictive,
    servers,
    settings,
)


def make_policy(
    rules: settings.RoutingSettings, estimator: lengths.LengthEstimator
) -> policies.Policy:
    """Return the policy that the settings name."""
    match rules.policy:
        case settings.PolicyName.ROUND_ROBIN:
            return policies.RoundRobin()
        case settings.PolicyName.LEAST_IN_FLIGHT:
            return policies.LeastInFlight()
        case settings.PolicyName.POWER_OF_TWO:
            return policies.PowerOfTwoChoices()
        case settings.PolicyName.PREFIX_AFFINITY:
            return policies.PrefixAffinity()
        case settings.PolicyName.PREDICTIVE:
            return predictive.Predictive(rules, estimator)


def make_dispatcher(
    rules: settings.RoutingSettings,
    data_centre: ids.DataCentreId,
    rng: random.Random,
) -> dispatch.Dispatcher:
    """Return a dispatcher without servers; add them with ``table.update``."""
    estimator = lengths.LengthEstimator()
    table = servers.ServerTable(data_centre, rng)
    policy = make_policy(rules, estimator)
    return dispatch.Dispatcher(policy, table, rules, estimator)


def update_rules(target: admission.Admission, rules: settings.RoutingSettings) -> None:
    """Replace the weights and the policy of an admission."""
    dispatcher = target.dispatcher
    dispatcher.update_rules(rules, make_policy(rules, dispatcher.estimator))


def make_admission(
    rules: settings.RoutingSettings,
    data_centre: ids.DataCentreId,
    rng: random.Random,
) -> admission.Admission:
    """Return the admission of a gateway in a data centre."""
    return admission.Admission(make_dispatcher(rules, data_centre, rng))
