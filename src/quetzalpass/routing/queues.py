"""Weighted fair queue of the waiting requests of one priority.

It uses start-time fair queueing: each request gets a start tag, the larger of the
queue's virtual time and the organisation's finish tag, and the lowest tag is served
first. An organisation gets no credit for a time without requests. Deficit round robin
doesn't suit: it needs a quantum at least as large as the largest cost, and costs here
span four orders of magnitude, so that short requests would wait for whole rounds.
"""

import collections
import heapq
import itertools

from quetzalpass import ids
from quetzalpass.routing import work


class QueuedWork:
    """A request in a queue."""

    def __init__(self, item: work.WorkItem, cost: float, queued_s: float) -> None:
        self.item = item
        self.cost = cost
        self.queued_s = queued_s
        self.removed = False
        # When a server with capacity was first found; the request may have declined it.
        self.first_offered_s: float | None = None
        # When no server with capacity was found for the first time.
        self.no_capacity_s: float | None = None


class OrganisationQueue:
    """Requests of one organisation at one priority, with its fair queueing tags."""

    def __init__(self) -> None:
        self.items: collections.deque[QueuedWork] = collections.deque()
        self.finish_tag = 0.0
        self.start_tag = 0.0
        # Number of the valid heap entry; entries with other numbers are stale.
        self.entry = -1

    def drop_removed(self) -> None:
        """Drop removed requests from the front."""
        while self.items and self.items[0].removed:
            self.items.popleft()


class FairQueue:
    """Requests of one priority, served fairly between organisations.

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
        """Compute the start tag of the organisation's first request."""
        organisation.start_tag = max(self.virtual_time, organisation.finish_tag)
        organisation.entry = next(self.counter)
        heapq.heappush(self.heap, (organisation.start_tag, organisation.entry, name))

    def heads(self, limit: int) -> list[QueuedWork]:
        """Return the first request of each of the next organisations, in order."""
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
        """Remove a head that is dispatched, and charge its organisation."""
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
        """Remove a request that is refused or cancelled."""
        assert not queued.removed
        queued.removed = True
        self.size -= 1
        organisation = self.organisations[queued.item.organisation]
        organisation.drop_removed()

    def newest_of_longest(self) -> QueuedWork | None:
        """Return the request to refuse first; never one that must not be dropped.

        It is the newest one of the organisation with the most requests per weight, so
        that an organisation which floods the queue loses its own requests first.
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
