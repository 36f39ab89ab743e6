"""Combines list entry, load and declaration of a server into its capacity."""

import msgspec

from quetzalpass.backends import discovery
from quetzalpass.declarations import schema
from quetzalpass.membership import fleet_messages
from quetzalpass.routing import prefill_rates, relay_placement


class ServerCondition(msgspec.Struct, frozen=True):
    """State of a server other than its load.

    Attributes
    ----------
    is_cold : bool
        Whether it has just started and is slow.
    is_cut_off : bool
        Whether its data centre was recently unreachable.
    """

    is_cold: bool = False
    is_cut_off: bool = False


def server_capacity(
    server: discovery.DiscoveredServer,
    use: fleet_messages.ServerUse,
    service: schema.Service,
    rates: prefill_rates.PrefillRates,
    condition: ServerCondition,
) -> relay_placement.ServerCapacity:
    """Return the size and the current load of one server."""
    engine = service.engine
    return relay_placement.ServerCapacity(
        server.id,
        server.data_centre,
        use.requests,
        use.tokens,
        use.copy_tokens,
        max(1, engine.max_batch if engine else server.slots),
        use.prefill_tokens,
        engine.memory_tokens if engine else 0,
        rates.rate(server.id, engine.prefill_tokens_per_s) if engine else 1.0,
        condition.is_cold,
        condition.is_cut_off,
    )
