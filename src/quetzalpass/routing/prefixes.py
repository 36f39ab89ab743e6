"""Index of the prompt prefixes in the servers' caches, kept by their cache events."""

import collections
import itertools

from quetzalpass import ids
from quetzalpass.routing import reports

HASHES_PER_SERVER_LIMIT = 8192
HOLDERS_PER_HASH_LIMIT = 32
HOLDERS_RETURNED_LIMIT = 4
MISSED_EVENT_FACTOR = 0.9
RECOVERY_PER_EVENT = 0.02


class ServerPrefixes:
    """Hashes that one server probably caches, and the confidence in them."""

    def __init__(self) -> None:
        self.hashes: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.last_sequence: int | None = None
        self.confidence = 1.0


class PrefixIndex:
    """Prefix hashes by server and servers by prefix hash."""

    def __init__(self) -> None:
        self.servers: dict[ids.ServerId, ServerPrefixes] = {}
        self.holders: dict[int, dict[ids.ServerId, None]] = {}

    def observe(self, server_id: ids.ServerId, event: reports.CacheEvent) -> None:
        """Apply a cache event; each missed event lowers the confidence."""
        known = self.servers.setdefault(server_id, ServerPrefixes())
        if known.last_sequence is not None:
            missed = max(0, event.sequence - known.last_sequence - 1)
            known.confidence *= MISSED_EVENT_FACTOR**missed
        known.last_sequence = event.sequence
        known.confidence += RECOVERY_PER_EVENT * (1.0 - known.confidence)
        self.add(server_id, event.added)
        for block in event.removed:
            self.remove_hash(server_id, known, block)

    def add(self, server_id: ids.ServerId, hashes: tuple[int, ...]) -> None:
        """Add hashes that a server caches, or will cache after a dispatch."""
        known = self.servers.setdefault(server_id, ServerPrefixes())
        for block in hashes:
            if block in known.hashes:
                known.hashes.move_to_end(block)
                continue
            known.hashes[block] = None
            self.add_holder(block, server_id)
        while len(known.hashes) > HASHES_PER_SERVER_LIMIT:
            self.remove_hash(server_id, known, next(iter(known.hashes)))

    def add_holder(self, block: int, server_id: ids.ServerId) -> None:
        """Record that a server holds a hash, up to the limit of holders per hash."""
        holders = self.holders.get(block)
        if holders is None:
            self.holders[block] = {server_id: None}
        elif len(holders) < HOLDERS_PER_HASH_LIMIT:
            holders[server_id] = None

    def remove_hash(
        self, server_id: ids.ServerId, known: ServerPrefixes, block: int
    ) -> None:
        """Remove a hash from those that a server holds."""
        known.hashes.pop(block, None)
        holders = self.holders.get(block)
        if holders is None:
            return
        holders.pop(server_id, None)
        if not holders:
            del self.holders[block]

    def forget(self, server_id: ids.ServerId) -> None:
        """Remove everything known about a server, such as after its restart."""
        known = self.servers.pop(server_id, None)
        if known is None:
            return
        for block in list(known.hashes):
            self.remove_hash(server_id, known, block)

    def matched_blocks(self, server_id: ids.ServerId, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks a server probably caches.

        Engines evict the last blocks of a prefix first, so all predecessors of a cached
        block are cached too and a binary search suffices.
        """
        known = self.servers.get(server_id)
        if known is None:
            return 0
        low, high = 0, len(hashes)
        while low < high:
            middle = (low + high) // 2
            if hashes[middle] in known.hashes:
                low = middle + 1
            else:
                high = middle
        return low

    def confidence(self, server_id: ids.ServerId) -> float:
        """Return the confidence in the index for a server, from 0 to 1."""
        known = self.servers.get(server_id)
        return known.confidence if known else 0.0

    def deepest_holders(self, hashes: tuple[int, ...]) -> tuple[ids.ServerId, ...]:
        """Return a few servers that probably cache the longest known prefix."""
        low, high = 0, len(hashes)
        while low < high:
            middle = (low + high) // 2
            if hashes[middle] in self.holders:
                low = middle + 1
            else:
                high = middle
        if low == 0:
            return ()
        holders = self.holders[hashes[low - 1]]
        return tuple(itertools.islice(holders, HOLDERS_RETURNED_LIMIT))
