"""Limit on the memory of all bodies that a process holds at once.

Each body has a limit of its own, but servers or callers may send bytes without end for
many requests at the same time. While too much is held, something that is still arriving
is given up: the largest of what has not grown for a while, as its sender may never send
the rest, or else the largest, as that is the likeliest to be without end.
"""

import asyncio
import weakref
from collections.abc import Callable, Iterator

# A gateway has some 75 MiB of memory for all of its requests.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_REQUEST_BYTES = 16 * 1024 * 1024
# One of the largest that an operator may send, or many of the usual size.
MAX_DECLARATION_BYTES = 64_000_000
# A body of this size is never given up for the room that it takes.
SMALL_RESPONSE_BYTES = 65_536
SMALL_REQUEST_BYTES = 4_096
SMALL_DECLARATION_BYTES = 65_536
# Written at once; the rest of a body waits until its reader has taken that.
SLICE_BYTES = 65_536


# What has not grown for this time is given up first.
STALLED_S = 1.0


class NoRoomError(ValueError):
    """Raised if a body is given up, as all bodies together are too large."""


class Holding:
    """What one body takes of the limit, until it is released or no longer referenced.

    Parameters
    ----------
    budget : HeldBytes
        The limit.
    close : callable
        Ends the arrival of the body if it is given up.
    small_bytes : int
        Size up to which it is never given up.

    Attributes
    ----------
    size : int
        Bytes that are held.
    parts : list of bytes
        The parts that have arrived.
    is_given_up : bool
        Whether the body made room for others.
    grown_s : float
        Loop time at which it grew last.
    """

    def __init__(
        self, budget: "HeldBytes", close: Callable[[], None], small_bytes: int
    ) -> None:
        self.budget = budget
        self.close = close
        self.small_bytes = small_bytes
        self.size = 0
        self.parts: list[bytes] = []
        self.is_given_up = False
        self.grown_s = loop_time_s()

    def __del__(self) -> None:
        """Release what is held, however the request has ended."""
        self.release()

    def add(self, part: bytes) -> None:
        """Hold another part.

        Raises
        ------
        NoRoomError
            If there is no room for it, or if this body was given up before.
        """
        self.resize(self.size + len(part))
        self.parts.append(part)

    def resize(self, size: int) -> None:
        """Hold a number of bytes instead of those before; see ``add``."""
        if not self.is_given_up:
            if size > self.size:
                self.grown_s = loop_time_s()
            self.budget.total += size - self.size
            self.size = size
            self.budget.make_room()
        if self.is_given_up:
            raise NoRoomError("given up, as all bodies together are too large")

    def split(self, size: int) -> "Holding":
        """Return a part of this as a holding of its own, which is never given up."""
        part = Holding(self.budget, do_nothing, self.small_bytes)
        part.size = size
        self.size -= size
        return part

    def end(self) -> None:
        """Hold nothing any more, and don't refer to the owner any more."""
        self.release()
        self.close = do_nothing

    def complete(self) -> "HeldBody":
        """Return the whole body, which is not given up any more.

        Raises
        ------
        NoRoomError
            If it was given up before.
        """
        if self.is_given_up:
            raise NoRoomError("given up while it arrived")
        body = b"".join(self.parts)
        self.parts.clear()
        self.stop_arriving()
        return HeldBody(body, self)

    def stop_arriving(self) -> None:
        """Never give this body up from now on; without a whole one, hold nothing."""
        self.budget.arriving.discard(self)
        # It may refer back to what refers to this body.
        self.close = do_nothing
        if self.parts:
            self.release()

    def give_up(self) -> None:
        """Free the memory at once, and end the arrival."""
        self.is_given_up = True
        self.release()
        self.close()

    def release(self) -> None:
        """Hold nothing any more."""
        self.budget.arriving.discard(self)
        self.parts.clear()
        self.budget.total -= self.size
        self.size = 0


class HeldBody:
    """A whole body, which counts against the limit while its holding is referenced.

    Parameters
    ----------
    data : bytes
        The body.
    holding : Holding
        What it takes of the limit.
    """

    def __init__(self, data: bytes, holding: Holding) -> None:
        self.data = data
        self.holding = holding


class HeldBytes:
    """The limit, and the bodies that count against it.

    Parameters
    ----------
    limit_bytes : int
        Most bytes of all bodies together.
    small_bytes : int
        Size up to which a body is never given up.

    Attributes
    ----------
    total : int
        Bytes of all bodies.
    arriving : WeakSet of Holding
        Bodies that are still arriving.
    """

    def __init__(self, limit_bytes: int, small_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.small_bytes = small_bytes
        self.total = 0
        self.arriving: weakref.WeakSet[Holding] = weakref.WeakSet()

    def open(
        self, close: Callable[[], None], small_bytes: int | None = None
    ) -> Holding:
        """Start to hold what arrives; see ``Holding``."""
        if small_bytes is None:
            small_bytes = self.small_bytes
        holding = Holding(self, close, small_bytes)
        self.arriving.add(holding)
        return holding

    def reserve(self, size: int) -> Holding:
        """Hold room for something before it arrives; nothing else is given up for it.

        Raises
        ------
        NoRoomError
            If there is no room for it.
        """
        if self.total + size > self.limit_bytes:
            raise NoRoomError(f"no room for {size} bytes beside {self.total}")
        holding = Holding(self, do_nothing, self.small_bytes)
        holding.resize(size)
        return holding

    def make_room(self) -> None:
        """Give up what has stalled, or is the largest, until the rest fits."""
        now_s = loop_time_s()
        while self.total > self.limit_bytes:
            large = [each for each in self.arriving if each.size > each.small_bytes]
            if not large:
                return
            stalled = [each for each in large if now_s - each.grown_s >= STALLED_S]
            max(stalled or large, key=lambda each: each.size).give_up()


def loop_time_s() -> float:
    """Return the time of the running event loop; 0 if none runs."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0.0


def do_nothing() -> None:
    """Do nothing: a whole body does not arrive any more."""


def slices(body: bytes) -> Iterator[bytes]:
    """Yield the parts of a body that are written one after the other."""
    for start in range(0, len(body), SLICE_BYTES):
        yield body[start : start + SLICE_BYTES]


# One limit a process, as it has one memory.
RESPONSES = HeldBytes(MAX_RESPONSE_BYTES, SMALL_RESPONSE_BYTES)
REQUESTS = HeldBytes(MAX_REQUEST_BYTES, SMALL_REQUEST_BYTES)
DECLARATIONS = HeldBytes(MAX_DECLARATION_BYTES, SMALL_DECLARATION_BYTES)
