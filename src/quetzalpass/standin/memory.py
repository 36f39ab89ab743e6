"""Key-value memory of the engine model, with a prefix cache."""

import collections
import random

import msgspec

from quetzalpass.routing import reports
from quetzalpass.standin import parameters


class PendingEvent(msgspec.Struct):
    """A cache event and the time when it is published."""

    due_s: float
    event: reports.CacheEvent


class BlockMemory:
    """Memory blocks of one engine: private ones, and cached ones that are shared.

    A block of a prompt counts as cached as soon as its first sequence is admitted.

    Parameters
    ----------
    settings : parameters.EngineParameters
        Size of the memory, lag and loss of events.
    rng : random.Random
        Random numbers that decide which events are lost.
    """

    def __init__(
        self, settings: parameters.EngineParameters, rng: random.Random
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.private_blocks = 0
        self.reference_counts: dict[int, int] = {}
        # Cached blocks that no sequence uses, the least recently used first.
        self.evictable: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.events: collections.deque[PendingEvent] = collections.deque()
        self.next_sequence = 0

    @property
    def held_blocks(self) -> int:
        """Number of blocks that can't be evicted."""
        return self.private_blocks + len(self.reference_counts)

    @property
    def available_blocks(self) -> int:
        """Number of blocks that are free or evictable."""
        return self.settings.memory_blocks - self.held_blocks

    def count_cached_blocks(self, hashes: tuple[int, ...]) -> int:
        """Return the number of leading blocks of a prompt that are cached."""
        for position, block in enumerate(hashes):
            if block not in self.reference_counts and block not in self.evictable:
                return position
        return len(hashes)

    def allocate(self, blocks: int, now_s: float) -> bool:
        """Allocate private blocks, evicting cached ones if necessary.

        Returns False and changes nothing if memory is short.
        """
        if blocks > self.available_blocks:
            return False
        self.private_blocks += blocks
        self.evict_surplus(now_s)
        return True

    def acquire_prefix(self, hashes: tuple[int, ...], now_s: float) -> None:
        """Add a reference to each block of a prefix; cache the missing blocks."""
        added = []
        for block in hashes:
            if block in self.reference_counts:
                self.reference_counts[block] += 1
                continue
            if block in self.evictable:
                del self.evictable[block]
            else:
                added.append(block)
            self.reference_counts[block] = 1
        self.evict_surplus(now_s)
        if added:
            self.publish(tuple(added), (), now_s)

    def release(self, blocks: int, hashes: tuple[int, ...]) -> None:
        """Free private blocks and drop one reference to each shared block."""
        self.private_blocks -= blocks
        assert self.private_blocks >= 0
        for block in reversed(hashes):
            self.reference_counts[block] -= 1
            if self.reference_counts[block] == 0:
                del self.reference_counts[block]
                self.evictable[block] = None

    def evict_surplus(self, now_s: float) -> None:
        """Evict least recently used blocks until the memory size is not exceeded."""
        surplus = self.held_blocks + len(self.evictable) - self.settings.memory_blocks
        if surplus <= 0:
            return
        removed = [self.evictable.popitem(last=False)[0] for _ in range(surplus)]
        self.publish((), tuple(removed), now_s)

    def publish(
        self, added: tuple[int, ...], removed: tuple[int, ...], now_s: float
    ) -> None:
        """Queue an event; a lost event leaves a gap in the sequence numbers."""
        self.next_sequence += 1
        if self.rng.random() < self.settings.event_loss:
            return
        event = reports.CacheEvent(self.next_sequence, added, removed)
        self.events.append(PendingEvent(now_s + self.settings.event_lag_s, event))

    def due_events(self, now_s: float) -> list[reports.CacheEvent]:
        """Return the newly published events; each is returned once."""
        due = []
        while self.events and self.events[0].due_s <= now_s:
            due.append(self.events.popleft().event)
        return due
