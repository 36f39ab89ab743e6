"""Parameters of the stand-in's engine model, each with the reason for its size."""

import msgspec


class EngineParameters(msgspec.Struct, frozen=True):
    """Size and speed of one engine model.

    The defaults describe a mid-sized model on one accelerator: alone, a sequence gets
    a token in about 21 ms; a well filled batch stays near the users' target of 62 ms;
    a full batch with prefill beside it exceeds the target.

    Attributes
    ----------
    block_tokens : int
        Tokens in one block of key-value memory. Engines page memory in blocks of 16
        to 32 tokens.
    memory_blocks : int
        Blocks of key-value memory. 24,000 tokens hold some forty sequences of middling
        length, so that a few long drafts fill it in the middle of decoding.
    batch_limit : int
        Sequences in one batch. Above what memory usually admits, as operators set it.
    prefill_chunk_tokens : int
        Prompt tokens computed in one step beside the decoding (chunked prefill).
    step_base_s : float
        Duration of a step with one sequence: the read of the weights dominates.
    step_per_sequence_s : float
        Cost of one more sequence in the batch, in seconds.
    step_per_context_token_s : float
        Cost of reading one token of context in attention, in seconds.
    step_per_prefill_token_s : float
        Cost of one prefilled token: compute bound, so far above a read token.
    report_interval_s : float
        Time between two states that the engine records.
    report_lag_s : float
        Age that a state has at least when it is published.
    event_lag_s : float
        Delay of a cache event.
    event_loss : float
        Share of cache events that are lost, from 0 to 1.
    adapter_slots : int
        Adapters that are loaded at the same time; they take memory, so few fit.
    adapter_load_s : float
        Time to load an adapter from the host's disk.
    model_load_s : float
        Time to load a model's weights, which takes far longer than an adapter.
    slowdown : float
        Factor on each step. Above 1 for an engine that is throttled or shared.
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
