"""How fast each engine reads prompts, learned from its first events.

Engines of one service differ in speed, and each reads more slowly while many
generations run on it. No input or output.
"""

import msgspec

from quetzalpass import ids

NEW_SAMPLE_WEIGHT = 0.3
# A first event that comes sooner says more of the way there than of the engine.
MIN_PREFILL_S = 0.1
MIN_TOKENS_PER_S = 2_000.0
MAX_TOKENS_PER_S = 30_000.0
MAX_SERVERS = 10_000


class PrefillMeasurement(msgspec.Struct, frozen=True):
    """How long an engine took to read prompts.

    Attributes
    ----------
    server : ServerId
        The engine.
    tokens : int
        Tokens that it had to read up to the first event of a request.
    elapsed_s : float
        Time from the send to that event, in seconds.
    declared_tokens_per_s : float
        Rate that its service is declared with.
    """

    server: ids.ServerId
    tokens: int
    elapsed_s: float
    declared_tokens_per_s: float


class PrefillRates:
    """Learned rates by server."""

    def __init__(self) -> None:
        self.rates: dict[ids.ServerId, float] = {}

    def rate(self, server_id: ids.ServerId, default: float) -> float:
        """Return an engine's rate in tokens a second, or the declared one."""
        return self.rates.get(server_id, default)

    def observe(self, measurement: PrefillMeasurement) -> None:
        """Take in one first event."""
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
    """A prompt that an engine has still to measurement.

    Attributes
    ----------
    tokens : int
        Tokens of the prompt.
    tokens_ahead : int
        Tokens of other prompts before it.
    sent_s : float
        Loop time at which it was sent.
    declared_tokens_per_s : float
        Rate that its service is declared with.
    """

    tokens: int
    tokens_ahead: int
    sent_s: float
    declared_tokens_per_s: float
