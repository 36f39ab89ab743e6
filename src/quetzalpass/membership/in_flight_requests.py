"""Requests that run on servers now, as the quarantine tracks them."""

import msgspec

from quetzalpass import ids

# A part of a prompt crashes servers when they begin to respond, so a request with
# output over this time has not caused a crash.
SETTLED_OUTPUT_S = 1.0
# If this process was stopped meanwhile, output of a moment seems to last for longer.
MIN_SETTLED_OUTPUTS = 8


class InFlightRequest(msgspec.Struct):
    """A request that runs on a server; its owner keeps the fields up to date.

    Attributes
    ----------
    tokens : int
        Tokens of its output that have been received.
    opened : bool
        Whether the server has begun to respond.
    sent_s : float
        Event loop time at which it was sent.
    parts : tuple of PromptPartId
        Shared parts of its prompt.
    outputs : int
        Number of times at which output was received.
    first_output_s, last_output_s : float or None
        Event loop times of the server's first and last output for it.
    """

    fingerprint: str
    tokens: int = 0
    opened: bool = False
    sent_s: float = 0.0
    parts: tuple[ids.PromptPartId, ...] = ()
    outputs: int = 0
    first_output_s: float | None = None
    last_output_s: float | None = None

    def record_output(self, tokens: int, now_s: float) -> None:
        """Record output; ``tokens`` is the number received so far."""
        self.tokens = tokens
        self.outputs += 1
        if self.first_output_s is None:
            self.first_output_s = now_s
        self.last_output_s = now_s

    def is_settled(self) -> bool:
        """Return whether it has run for so long that it has not caused a crash."""
        if self.first_output_s is None or self.last_output_s is None:
            return False
        if self.outputs < MIN_SETTLED_OUTPUTS:
            return False
        return self.last_output_s - self.first_output_s >= SETTLED_OUTPUT_S
