"""The policy interface, and simple policies as baselines for the predictive one."""

import abc
import itertools

from quetzalpass.routing import servers, work

# Pools up to this size are searched completely; larger ones are sampled, so that the
# cost of a decision doesn't grow with the number of servers.
SEARCH_LIMIT = 16
AFFINITY_LEAD_LIMIT = 16


class Policy(abc.ABC):
    """Chooses the backend server for a request.

    A policy only reads the table; the dispatcher records the effects of a choice.
    """

    @abc.abstractmethod
    def choose(
        self, item: work.WorkItem, table: servers.ServerTable, now_s: float
    ) -> work.Choice | None:
        """Choose a server, or ``None`` if the request should wait in the gateway.

        Parameters
        ----------
        item : work.WorkItem
            The request.
        table : servers.ServerTable
            Servers and their load.
        now_s : float
            Time on the event loop's clock, in seconds.

        Returns
        -------
        work.Choice or None
            The server and the reason for it.
        """


def allows(record: servers.ServerRecord, item: work.WorkItem) -> bool:
    """Return whether a server may run a request, regardless of its load."""
    if record.server_id in item.excluded:
        return False
    return not (item.suspect and record.suspects)


def sample(
    table: servers.ServerTable, records: list[servers.ServerRecord], limit: int
) -> list[servers.ServerRecord]:
    """Return all servers of a short list, or a random sample of a long one."""
    if len(records) <= limit:
        return records
    size = len(records)
    pick = table.rng.random
    return [records[int(pick() * size)] for _ in range(limit)]


def candidates(
    item: work.WorkItem, table: servers.ServerTable
) -> list[servers.ServerRecord]:
    """Return servers that may run a request, sampled from a large pool."""
    pool = table.pool(item.model, item.version)
    if pool is None:
        return []
    found = sample(table, pool.usable, SEARCH_LIMIT)
    return [record for record in found if allows(record, item)]


def reported_load(record: servers.ServerRecord) -> int:
    """Return the number of running and waiting requests in the last report."""
    if record.report is None:
        return 0
    return record.report.running + record.report.waiting


class RoundRobin(Policy):
    """Chooses the servers of a pool in turn."""

    def __init__(self) -> None:
        self.next_index = itertools.count()

    def choose(
        self, item: work.WorkItem, table: servers.ServerTable, now_s: float
    ) -> work.Choice | None:
        """Choose the next server in turn."""
        pool = table.pool(item.model, item.version)
        if pool is None:
            return None
        for _ in range(min(len(pool.usable), SEARCH_LIMIT)):
            record = pool.usable[next(self.next_index) % len(pool.usable)]
            if allows(record, item):
                return work.Choice(record.server_id, "next in turn")
        return None


class LeastInFlight(Policy):
    """Chooses the server with the fewest requests in flight from this gateway."""

    def choose(
        self, item: work.WorkItem, table: servers.ServerTable, now_s: float
    ) -> work.Choice | None:
        """Choose the server with the fewest own requests; break ties at random."""
        found = candidates(item, table)
        if not found:
            return None
        draw = table.rng.random
        record = min(found, key=lambda record: (len(record.in_flight), draw()))
        reason = f"fewest requests in flight: {len(record.in_flight)}"
        return work.Choice(record.server_id, reason, len(record.in_flight))


class PowerOfTwoChoices(Policy):
    """Draws two servers at random and chooses the one that reported less load."""

    def choose(
        self, item: work.WorkItem, table: servers.ServerTable, now_s: float
    ) -> work.Choice | None:
        """Choose the less loaded of two servers drawn at random."""
        found = candidates(item, table)
        if not found:
            return None
        drawn = table.rng.sample(found, min(2, len(found)))
        record = min(drawn, key=reported_load)
        load = reported_load(record)
        return work.Choice(
            record.server_id,
            f"less load of two: {load}",
            load,
            report_age_s=record.report_age_s(now_s),
        )


class PrefixAffinity(Policy):
    """Chooses the server that caches most of the prompt, then the least loaded.

    Servers with far more requests in flight than the least loaded one are left out;
    without that limit one popular prefix would overload a single server.
    """

    def choose(
        self, item: work.WorkItem, table: servers.ServerTable, now_s: float
    ) -> work.Choice | None:
        """Choose by cached prefix among servers that aren't loaded far more."""
        found = candidates(item, table)
        if not found:
            return None
        least = min(len(record.in_flight) for record in found)
        found = [
            record
            for record in found
            if len(record.in_flight) <= least + AFFINITY_LEAD_LIMIT
        ]
        draw = table.rng.random
        scored = [
            (
                -table.prefixes.matched_blocks(record.server_id, item.prefix_hashes),
                len(record.in_flight),
                draw(),
                record,
            )
            for record in found
        ]
        negative_blocks, _, _, record = min(scored)
        matched_tokens = -negative_blocks * record.view.block_tokens
        return work.Choice(
            record.server_id,
            f"caches {matched_tokens} tokens of the prompt",
            negative_blocks,
            matched_tokens,
        )
