"""What the reconciler needs to know of the replica that it runs on."""

import abc

from quetzalpass.backends import base


class Leadership(abc.ABC):
    """Whether this replica may give orders, and with which fencing number.

    The answers change at any time. Whoever awaits something must ask again before
    acting.
    """

    @abc.abstractmethod
    def holds_lease(self) -> bool:
        """Return whether this replica leads and its lease has not expired.

        The lease ends earlier here than at the other replicas, by the largest drift
        between two clocks.
        """

    @abc.abstractmethod
    def led_since_s(self) -> float:
        """Return the loop time at which this replica last became the leader."""

    @abc.abstractmethod
    def next_fencing_number(self) -> base.FencingNumber:
        """Return a fencing number that is higher than all earlier ones."""
