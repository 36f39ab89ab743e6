"""Settings of the routing that a revision declares."""

from quetzalpass.declarations import schema
from quetzalpass.routing import settings


def rules_of(declaration: schema.Declaration) -> settings.RoutingSettings:
    """Return the weights of the objective and of the organisations.

    The declared weights of the objective may be any positive numbers; the routing
    expects fractions that add up to 1.
    """
    declared = declaration.objective
    total = declared.stall_weight + declared.gap_weight
    stall = declared.stall_weight / total if total > 0 else 0.5
    return settings.RoutingSettings(
        objective=settings.Objective(stall=stall, gap_tail=1.0 - stall),
        organisation_weights={
            each.id: each.weight for each in declaration.organisations
        },
    )
