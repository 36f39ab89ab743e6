"""Key-value memory of the engine model: blocks, shared prefixes, cache events."""

import collections
import random

import msgspec

from quetzalpass.routing import reports
from quetzalpass.standin import parameters


class PendingEvent(msgspec.Struct):
    """A cache event that is not yet published."""

    due_s: float
    event: reports.CacheEvent


class BlockMemory:
    """Blocks of one engine: private ones, and cached ones that sequences share.

    A block of a prompt counts as cached from the admission of its first user.

    Parameters
    ----------
    settings : parameters.EngineParameters
        Size of the memory, lag and loss of events.
    generator : random.Random
        Decides which events are lost.
    """

    def __init__(
        self, settings: parameters.EngineParameters, generator: random.Random
    ) -> None:
        self.settings = settings
        self.generator = generator
        self.private_blocks = 0
        self.users: dict[int, int] = {}
        # Cached blocks without a user, oldest first.
        self.evictable: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.events: collections.deque[PendingEvent] = collections.deque()
        self.next_sequence = 0

    @property
    def held_blocks(self) -> int:
        """Blocks that can't be evicted."""
        return self.private_blocks + len(self.users)

    @property
    def available_blocks(self) -> int:
        """Blocks that are free or evictable."""
        return self.settings.memory_blocks - self.held_blocks

    def count_cached_blocks(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks of a prompt are cached."""
        for position, block in enumerate(hashes):
            if block not in self.users and block not in self.evictable:
                return position
        return len(hashes)

    def allocate(self, blocks: int, now_s: float) -> bool:
        """Take private blocks, evicting cached ones; return False if there's no room.

        Nothing changes when there is no room.
        """
        if blocks > self.available_blocks:
            return False
        self.private_blocks += blocks
        self.evict_surplus(now_s)
        return True

    def share(self, hashes: tuple[int, ...], now_s: float) -> None:
        """Add a user to each block of a prefix; blocks not yet cached are added."""
        added = []
        for block in hashes:
            if block in self.users:
                self.users[block] += 1
                continue
            if block in self.evictable:
                del self.evictable[block]
            else:
                added.append(block)
            self.users[block] = 1
        self.evict_surplus(now_s)
        if added:
            self.publish(tuple(added), (), now_s)

    def release(self, blocks: int, hashes: tuple[int, ...]) -> None:
        """Give back private blocks and one use of each shared block."""
        self.private_blocks -= blocks
        assert self.private_blocks >= 0
        for block in reversed(hashes):
            self.users[block] -= 1
            if self.users[block] == 0:
                del self.users[block]
                self.evictable[block] = None

    def evict_surplus(self, now_s: float) -> None:
        """Evict the least recently used blocks beyond the size of the memory."""
        surplus = self.held_blocks + len(self.evictable) - self.settings.memory_blocks
        if surplus <= 0:
            return
        removed = [self.evictable.popitem(last=False)[0] for _ in range(surplus)]
        self.publish((), tuple(removed), now_s)

    def publish(
        self, added: tuple[int, ...], removed: tuple[int, ...], now_s: float
    ) -> None:
        """Queue an event; a lost one leaves a gap in the numbers."""
        self.next_sequence += 1
        if self.generator.random() < self.settings.event_loss:
            return
        event = reports.CacheEvent(self.next_sequence, added, removed)
        self.events.append(PendingEvent(now_s + self.settings.event_lag_s, event))

    def due_events(self, now_s: float) -> list[reports.CacheEvent]:
        """Return the events that are published by now, each once."""
        due = []
        while self.events and self.events[0].due_s <= now_s:
            due.append(self.events.popleft().event)
        return due
