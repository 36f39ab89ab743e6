"""Leadership of the replica that the reconciler runs on."""

import abc

from quetzalpass.backends import base


class Leadership(abc.ABC):
    """Reports whether this replica may send orders, and their fencing numbers.

    Leadership may change at any time. A caller must check it again after each await.
    """

    @abc.abstractmethod
    def holds_lease(self) -> bool:
        """Return whether this replica leads and its lease has not expired.

        On the leader the lease ends earlier than on the other replicas, by the maximum
        drift between two clocks.
        """

    @abc.abstractmethod
    def leader_since_s(self) -> float:
        """Return the loop time at which this replica last became the leader."""

    @abc.abstractmethod
    def next_fencing_number(self) -> base.FencingNumber:
        """Return a fencing number that is higher than all earlier ones."""
