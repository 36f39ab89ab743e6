"""The gateway's queue: by priority, then fair between organisations by weight.

Start-time fair queueing: each request gets a start tag, the larger of the queue's
virtual time and the organisation's finish tag, and the lowest tag goes first. An
organisation that returns after a pause gets no credit for it. Deficit round robin was
weighed too; it needs a quantum at least as large as the largest cost, and costs here
span four orders of magnitude, so that short requests would wait for whole rounds.
"""

import collections
import heapq
import itertools

from quetzalpass import ids
from quetzalpass.routing import work


class QueuedWork:
    """A request in the queue."""

    def __init__(self, item: work.WorkItem, cost: float, queued_s: float) -> None:
        self.item = item
        self.cost = cost
        self.queued_s = queued_s
        self.removed = False
        # When it was first offered a place, which it may have declined.
        self.first_offered_s: float | None = None
        # When it first found no room.
        self.no_capacity_s: float | None = None


class OrganisationQueue:
    """Requests of one organisation at one priority, and its tags."""

    def __init__(self) -> None:
        self.items: collections.deque[QueuedWork] = collections.deque()
        self.finish_tag = 0.0
        self.start_tag = 0.0
        # Number of the heap entry that counts; older ones are stale.
        self.entry = -1

    def drop_removed(self) -> None:
        """Drop requests from the front that were removed."""
        while self.items and self.items[0].removed:
            self.items.popleft()


class FairQueue:
    """Requests of one priority, fair between organisations.

    Parameters
    ----------
    weights : dict
        Weight of each organisation's share; 1 where none is given.
    """

    def __init__(self, weights: dict[ids.OrganisationId, float]) -> None:
        self.weights = weights
        self.organisations: dict[ids.OrganisationId, OrganisationQueue] = {}
        self.heap: list[tuple[float, int, ids.OrganisationId]] = []
        self.counter = itertools.count()
        self.virtual_time = 0.0
        self.size = 0

    def push(self, queued: QueuedWork) -> None:
        """Append a request to its organisation's queue."""
        name = queued.item.organisation
        organisation = self.organisations.setdefault(name, OrganisationQueue())
        organisation.drop_removed()
        organisation.items.append(queued)
        self.size += 1
        if len(organisation.items) == 1:
            self.schedule(name, organisation)

    def schedule(
        self, name: ids.OrganisationId, organisation: OrganisationQueue
    ) -> None:
        """Give the organisation's first request its start tag."""
        organisation.start_tag = max(self.virtual_time, organisation.finish_tag)
        organisation.entry = next(self.counter)
        heapq.heappush(self.heap, (organisation.start_tag, organisation.entry, name))

    def heads(self, limit: int) -> list[QueuedWork]:
        """Return the first requests of the organisations that are next, in order."""
        found, kept = [], []
        while self.heap and len(found) < limit:
            entry = heapq.heappop(self.heap)
            organisation = self.organisations[entry[2]]
            organisation.drop_removed()
            if not organisation.items or entry[1] != organisation.entry:
                continue
            kept.append(entry)
            found.append(organisation.items[0])
        for entry in kept:
            heapq.heappush(self.heap, entry)
        return found

    def pop_head(self, queued: QueuedWork) -> None:
        """Take out a head that is dispatched, and charge its organisation."""
        name = queued.item.organisation
        organisation = self.organisations[name]
        assert organisation.items[0] is queued
        organisation.items.popleft()
        self.size -= 1
        self.virtual_time = max(self.virtual_time, organisation.start_tag)
        cost = queued.cost / self.weights.get(name, 1.0)
        organisation.finish_tag = organisation.start_tag + cost
        organisation.entry = -1
        organisation.drop_removed()
        if organisation.items:
            self.schedule(name, organisation)

    def remove(self, queued: QueuedWork) -> None:
        """Take out a request that is refused or cancelled."""
        assert not queued.removed
        queued.removed = True
        self.size -= 1
        organisation = self.organisations[queued.item.organisation]
        organisation.drop_removed()

    def charge(self, name: ids.OrganisationId, cost: float) -> None:
        """Correct an organisation's tag once the true cost of a request is known."""
        organisation = self.organisations.get(name)
        if organisation is not None:
            organisation.finish_tag += cost / self.weights.get(name, 1.0)

    def newest_of_longest(self) -> QueuedWork | None:
        """Return the newest request, not of a must-not-drop class, to give up on.

        It is taken from the organisation with the most requests per weight, so that
        a flood gives up its own requests first.
        """
        by_backlog = sorted(
            self.organisations.items(),
            key=lambda entry: -len(entry[1].items) / self.weights.get(entry[0], 1.0),
        )
        for _, organisation in by_backlog:
            for queued in reversed(organisation.items):
                if not queued.removed and not queued.item.must_not_drop:
                    return queued
        return None
