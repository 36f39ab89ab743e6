"""Parameters of the engine model, each with the reason for its value."""

import msgspec


class EngineParameters(msgspec.Struct, frozen=True):
    """Size and speed of one engine model.

    The defaults describe a mid-sized model on one accelerator. A sequence that runs
    alone gets a token in about 21 ms. A well-filled batch stays near the users' target
    of 62 ms; a full batch with concurrent prefill exceeds it.

    Attributes
    ----------
    block_tokens : int
        Tokens in one block of key-value memory. Engines use blocks of 16 to 32
        tokens.
    memory_blocks : int
        Blocks of key-value memory. 24,000 tokens hold about forty sequences of medium
        length, so that a few long ones fill the memory while they decode.
    batch_limit : int
        Maximum number of sequences in one batch. It is higher than what the memory
        usually admits, as operators configure it.
    prefill_chunk_tokens : int
        Tokens that are prefilled in one step alongside decoding (chunked prefill).
    step_base_s : float
        Duration of a step with one sequence, dominated by reading the weights.
    step_per_sequence_s : float
        Time that one more sequence in the batch takes.
    step_per_context_token_s : float
        Time that attention takes to read one token of context.
    step_per_prefill_token_s : float
        Time to prefill one token. Prefill is compute bound, so this is far more than
        the time to read a token.
    report_interval_s : float
        Interval between two recorded load reports.
    report_lag_s : float
        Minimum age of a load report when it is published.
    event_lag_s : float
        Delay until a cache event is published.
    event_loss : float
        Share of cache events that are lost, from 0 to 1.
    adapter_slots : int
        Maximum number of loaded adapters. They take memory, so only a few fit.
    adapter_load_s : float
        Time to load an adapter from the host's disk.
    model_load_s : float
        Time to load a model's weights, far longer than for an adapter.
    slowdown : float
        Factor on the duration of each step. Above 1 for an engine that is throttled or
        shared.
    """

    block_tokens: int = 32
    memory_blocks: int = 750
    batch_limit: int = 64
    prefill_chunk_tokens: int = 512
    step_base_s: float = 0.020
    step_per_sequence_s: float = 0.0004
    step_per_context_token_s: float = 0.0000008
    step_per_prefill_token_s: float = 0.00005
    report_interval_s: float = 0.25
    report_lag_s: float = 0.5
    event_lag_s: float = 0.5
    event_loss: float = 0.02
    adapter_slots: int = 4
    adapter_load_s: float = 1.5
    model_load_s: float = 30.0
    slowdown: float = 1.0

    def step_s(self, sequences: int, context_tokens: int, prefill_tokens: int) -> float:
        """Return the duration of one step in seconds."""
        duration_s = (
            self.step_base_s
            + self.step_per_sequence_s * sequences
            + self.step_per_context_token_s * context_tokens
            + self.step_per_prefill_token_s * prefill_tokens
        )
        return duration_s * self.slowdown
