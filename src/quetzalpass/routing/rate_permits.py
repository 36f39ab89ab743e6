"""Shares the rate limits of servers out, without any input or output.

Load patterns that it handles:

- Many gateways have requests for a server that takes two per second. One process
  decides for all of them, so that the sum holds and what one doesn't need goes to
  another.
- All servers of a service are limited, and the requests exceed the sum. Those that
  get no permit are told at once when the next one is due. While more urgent requests
  come, some permits are kept for them.
- The deciding process is replaced or can't be reached. A process begins without saved
  permits, so that those of its predecessor are not given out twice.
"""

import random

import msgspec

from quetzalpass import ids

# Unused permits that are saved for a burst, and by each process that has only a part.
MAX_SAVED = 3.0
MAX_SAVED_OF_PART = 1.0
# More urgent requests are expected again for this time after the last one.
URGENT_MEMORY_S = 2.0
# Permits that must be left for requests while more urgent ones are expected.
KEPT_FOR_URGENT = 2.0


class Bucket(msgspec.Struct):
    """Permits of one server.

    Attributes
    ----------
    saved : float
        Permits that can be given out now.
    updated_s : float
        Loop time to which ``saved`` applies.
    max_saved : float
        Most permits that are saved.
    asked_s : dict of int to float
        Loop time of the last request of each rank; 0 is the most urgent.
    """

    updated_s: float
    saved: float
    max_saved: float
    asked_s: dict[int, float] = msgspec.field(default_factory=dict)

    def refill(self, per_s: float, now_s: float) -> None:
        """Add the permits that have become due since the last call."""
        due = (now_s - self.updated_s) * per_s
        self.saved = min(self.max_saved, self.saved + due)
        self.updated_s = now_s

    def needed(self, rank: int, now_s: float) -> float:
        """Return how many permits must be saved for a request of a rank to get one."""
        is_urgent_expected = any(
            other < rank and now_s - at_s < URGENT_MEMORY_S
            for other, at_s in self.asked_s.items()
        )
        needed = 1.0 + KEPT_FOR_URGENT * is_urgent_expected
        return min(needed, self.max_saved)


class RatePermits:
    """Permits to send one request each, of one process.

    Parameters
    ----------
    part_rng : random.Random or None
        Set in a process that gives out a part of each limit only. It delays the first
        permit of each server by up to one interval, so that such processes don't send
        at the same time.

    Attributes
    ----------
    buckets : dict of ServerId to Bucket
        By server.
    """

    def __init__(self, part_rng: random.Random | None = None) -> None:
        self.part_rng = part_rng
        self.buckets: dict[ids.ServerId, Bucket] = {}

    def make_bucket(self, now_s: float) -> Bucket:
        """Return the bucket of a server without saved permits."""
        if self.part_rng is None:
            return Bucket(now_s, 0.0, MAX_SAVED)
        return Bucket(now_s, -self.part_rng.random(), MAX_SAVED_OF_PART)

    def clear(self) -> None:
        """Forget all saved permits."""
        self.buckets.clear()

    def take(
        self, server: ids.ServerId, per_s: float, rank: int, now_s: float
    ) -> float:
        """Take a permit.

        Parameters
        ----------
        server : ServerId
            Server to which the request would be sent.
        per_s : float
            Permits per second.
        rank : int
            Priority of the request; 0 is the highest.
        now_s : float
            Loop time.

        Returns
        -------
        float
            0 if the request may be sent now; otherwise the time until the next permit
            for a request of this rank, in seconds.
        """
        bucket = self.buckets.get(server)
        if bucket is None:
            bucket = self.buckets[server] = self.make_bucket(now_s)
        bucket.refill(per_s, now_s)
        bucket.asked_s[rank] = now_s
        needed = bucket.needed(rank, now_s)
        if bucket.saved >= needed:
            bucket.saved -= 1.0
            return 0.0
        return (needed - bucket.saved) / per_s

    def keep_only(self, servers: frozenset[ids.ServerId]) -> None:
        """Forget the permits of all other servers."""
        self.buckets = {
            server: bucket
            for server, bucket in self.buckets.items()
            if server in servers
        }
