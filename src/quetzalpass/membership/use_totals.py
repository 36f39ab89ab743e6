"""Running sums of what gateways have on each backend server."""

from collections.abc import Iterable

from quetzalpass import ids
from quetzalpass.membership import fleet_messages


class UseTotals:
    """Sums by server, kept as the parts change.

    Attributes
    ----------
    uses : dict of ServerId to fleet_messages.ServerUse
        Sums that are not zero.
    """

    def __init__(self) -> None:
        self.uses: dict[ids.ServerId, fleet_messages.ServerUse] = {}

    def add(self, uses: Iterable[fleet_messages.ServerUse]) -> None:
        """Add some uses."""
        for use in uses:
            none = fleet_messages.ServerUse(use.server)
            total = self.uses.get(use.server, none).plus(use)
            if total == none:
                self.uses.pop(use.server, None)
            else:
                self.uses[use.server] = total

    def subtract(self, uses: Iterable[fleet_messages.ServerUse]) -> None:
        """Take away uses that were added before."""
        self.add(use.times(-1) for use in uses)

    def of(self, server_id: ids.ServerId) -> fleet_messages.ServerUse:
        """Return the sum for one server."""
        none = fleet_messages.ServerUse(server_id)
        return self.uses.get(server_id, none)

    def without(
        self, uses: Iterable[fleet_messages.ServerUse]
    ) -> tuple[fleet_messages.ServerUse, ...]:
        """Return the sums without some uses that are part of them."""
        rest = UseTotals()
        rest.uses = dict(self.uses)
        rest.subtract(uses)
        return tuple(rest.uses.values())
