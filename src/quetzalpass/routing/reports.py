"""What a model engine tells the gateways about its load and its prefix cache."""

import msgspec

from quetzalpass import ids


class LoadReport(msgspec.Struct, frozen=True):
    """State of one engine at the time when the report was taken.

    Attributes
    ----------
    taken_at_s : float
        Time of the state, in seconds on the clock of whoever reads the report. A
        gateway that gets it from another VM converts the age into its own clock.
    running : int
        Sequences in the batch.
    waiting : int
        Requests in the engine's own queue.
    memory_blocks : int
        Blocks of key-value memory in all.
    held_blocks : int
        Blocks that running sequences hold. Cached blocks that nobody uses don't
        count, as the engine evicts them when it needs room.
    block_tokens : int
        Tokens in one block.
    prefill_tokens : int
        Prompt tokens that are admitted or waiting and not yet computed.
    step_s : float
        Mean duration of the last steps, in seconds.
    preemptions : int
        Preemptions since the engine started.
    adapters : tuple of ids.AdapterName
        Adapters that are loaded.
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
        Number of the event, counted up by one. A jump means that events were lost.
    added : tuple of int
        Hashes of blocks that the cache now holds.
    removed : tuple of int
        Hashes of blocks that it evicted.
    """

    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
