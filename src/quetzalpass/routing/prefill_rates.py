"""Prefill rate of each engine, estimated from the time to its first events.

Engines of one service differ in speed, and prefill is slower while many generations
run on an engine. This module does no input or output.
"""

import msgspec

from quetzalpass import ids

NEW_SAMPLE_WEIGHT = 0.3
# Below this the network, not the engine, determines the time to the first event.
MIN_PREFILL_S = 0.1
MIN_TOKENS_PER_S = 2_000.0
MAX_TOKENS_PER_S = 30_000.0
MAX_SERVERS = 10_000


class PrefillMeasurement(msgspec.Struct, frozen=True):
    """How long an engine took for the prefill up to a request's first event.

    Attributes
    ----------
    server : ServerId
        The engine.
    tokens : int
        Prompt tokens that it had to compute before the first event of a request.
    elapsed_s : float
        Time from sending the request to that event, in seconds.
    declared_tokens_per_s : float
        Prefill rate in the declaration of its service.
    """

    server: ids.ServerId
    tokens: int
    elapsed_s: float
    declared_tokens_per_s: float


class PrefillRates:
    """Estimated prefill rate of each server."""

    def __init__(self) -> None:
        self.rates: dict[ids.ServerId, float] = {}

    def rate(self, server_id: ids.ServerId, default: float) -> float:
        """Return an engine's rate in tokens per second, or ``default`` if unknown."""
        return self.rates.get(server_id, default)

    def observe(self, measurement: PrefillMeasurement) -> None:
        """Update an engine's rate with a measurement."""
        if measurement.elapsed_s < MIN_PREFILL_S or measurement.tokens <= 0:
            return
        sample = measurement.tokens / measurement.elapsed_s
        sample = min(max(sample, MIN_TOKENS_PER_S), MAX_TOKENS_PER_S)
        if len(self.rates) >= MAX_SERVERS:
            self.rates.pop(next(iter(self.rates)))
        old = self.rate(measurement.server, measurement.declared_tokens_per_s)
        self.rates[measurement.server] = (
            1.0 - NEW_SAMPLE_WEIGHT
        ) * old + NEW_SAMPLE_WEIGHT * sample


class PendingPrefill(msgspec.Struct):
    """The prefill of a request whose first event has not arrived.

    Attributes
    ----------
    tokens : int
        Tokens of the prompt.
    tokens_ahead : int
        Tokens of other prompts that the engine computes before it.
    sent_s : float
        Event loop time at which it was sent.
    declared_tokens_per_s : float
        Prefill rate in the declaration of its service.
    """

    tokens: int
    tokens_ahead: int
    sent_s: float
    declared_tokens_per_s: float
