"""Limits on the parts of prompts that are remembered and reported after crashes.

Callers choose how many parts a prompt has and where a part stands, so the limits depend
on neither the place of a part nor the order of the requests. A head of 16 KiB holds
4,096 parts at most.
"""

from collections.abc import Callable, Iterable, Sequence

import xxhash

from quetzalpass import ids

# Of one report of a crash, each part counted once for each request that has it.
MAX_PARTS_PER_CRASH = 4_096
# Of all crashes together.
MAX_REMEMBERED_PARTS = 32_768
# Of all crashes in one message, and of all refusals in one message.
MAX_REPORTED_PARTS = 4_096
# A log line names some parts and the number of all.
MAX_LOGGED_PARTS = 32

Parts = frozenset[ids.PromptPartId]


class MessageBudget:
    """Parts that may still be named in a message."""

    def __init__(self) -> None:
        self.left = MAX_REPORTED_PARTS

    def take(self, count: int) -> bool:
        """Return whether a number of parts still fits, and count them if so."""
        if count > self.left:
            return False
        self.left -= count
        return True


def choose_parts(
    prompts: Sequence[Sequence[ids.PromptPartId]],
    salt: str,
    rank: Callable[[ids.PromptPartId], tuple[bool, ...]],
) -> Parts:
    """Return the parts of some prompts that are remembered.

    Parameters
    ----------
    prompts : sequence of sequences of PromptPartId
        Parts of each prompt.
    salt : str
        Text that differs between crashes and is the same for all reports of one. Among
        parts of equal rank each crash keeps another sample, so that no part is left out
        of all of them.
    rank : callable
        Returns what decides between parts; the lowest are remembered first.
    """
    counts: dict[ids.PromptPartId, int] = {}
    for prompt in prompts:
        for part in set(prompt):
            counts[part] = counts.get(part, 0) + 1
    if sum(counts.values()) <= MAX_PARTS_PER_CRASH:
        return frozenset(counts)
    ordered = sorted(counts, key=lambda part: (*rank(part), digest(salt, part)))
    return frozenset(take_within_limit(ordered, counts))


def take_within_limit(
    ordered: Iterable[ids.PromptPartId], counts: dict[ids.PromptPartId, int]
) -> Iterable[ids.PromptPartId]:
    """Yield parts in their order while all of their mentions fit."""
    left = MAX_PARTS_PER_CRASH
    for part in ordered:
        left -= counts[part]
        if left < 0:
            return
        yield part


def digest(salt: str, part: ids.PromptPartId) -> int:
    """Return a number by which parts are sampled."""
    return xxhash.xxh64_intdigest(f"{salt}:{part}".encode())
