"""Reports of a model engine to the gateways about its load and its prefix cache."""

import msgspec

from quetzalpass import ids


class LoadReport(msgspec.Struct, frozen=True):
    """Load of one engine when the report was taken.

    Attributes
    ----------
    taken_at_s : float
        When the report was taken, in seconds on the clock of the process that uses it.
        A gateway that receives it from another VM converts its age to its own clock.
    running : int
        Sequences in the batch.
    waiting : int
        Requests in the engine's own queue.
    memory_blocks : int
        Total number of blocks of key-value memory.
    held_blocks : int
        Blocks that running sequences hold. Unused cached blocks don't count, as the
        engine evicts them when it needs memory.
    block_tokens : int
        Tokens in one block.
    prefill_tokens : int
        Prompt tokens, admitted or waiting, that are not computed yet.
    step_s : float
        Mean duration of the last steps, in seconds.
    preemptions : int
        Preemptions since the engine started.
    adapters : tuple of ids.AdapterName
        Loaded adapters.
    """

    taken_at_s: float
    running: int
    waiting: int
    memory_blocks: int
    held_blocks: int
    block_tokens: int
    prefill_tokens: int
    step_s: float
    preemptions: int
    adapters: tuple[ids.AdapterName, ...] = ()


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache.

    Attributes
    ----------
    sequence : int
        Number of the event, incremented by one. A gap means that events were lost.
    added : tuple of int
        Hashes of blocks that the cache now holds.
    removed : tuple of int
        Hashes of evicted blocks.
    """

    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
