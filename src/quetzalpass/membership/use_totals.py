"""Running totals of the work that gateways have on each backend server."""

from collections.abc import Iterable

from quetzalpass import ids
from quetzalpass.membership import fleet_messages


class UseTotals:
    """Totals by server, updated with each added or subtracted report.

    Attributes
    ----------
    uses : dict of ServerId to fleet_messages.ServerUse
        Totals that are not zero.
    """

    def __init__(self) -> None:
        self.uses: dict[ids.ServerId, fleet_messages.ServerUse] = {}

    def add(self, uses: Iterable[fleet_messages.ServerUse]) -> None:
        """Add uses to the totals."""
        for use in uses:
            none = fleet_messages.ServerUse(use.server)
            total = self.uses.get(use.server, none).plus(use)
            if total == none:
                self.uses.pop(use.server, None)
            else:
                self.uses[use.server] = total

    def subtract(self, uses: Iterable[fleet_messages.ServerUse]) -> None:
        """Subtract uses that were added before."""
        self.add(use.times(-1) for use in uses)

    def get(self, server_id: ids.ServerId) -> fleet_messages.ServerUse:
        """Return the total for one server."""
        none = fleet_messages.ServerUse(server_id)
        return self.uses.get(server_id, none)

    def without(
        self, uses: Iterable[fleet_messages.ServerUse]
    ) -> tuple[fleet_messages.ServerUse, ...]:
        """Return the totals without the given uses, which they include."""
        rest = UseTotals()
        rest.uses = dict(self.uses)
        rest.subtract(uses)
        return tuple(rest.uses.values())
