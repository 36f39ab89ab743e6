"""A token sink that records the tokens of a generation before it forwards them."""

from typing import TYPE_CHECKING

from returns import result

from quetzalpass.backends import base

if TYPE_CHECKING:
    from quetzalpass.lifecycle import generations


EARLY_END = base.AttemptFailure(
    base.AttemptEnd.RAN,
    base.FailureKind.MALFORMED,
    "the end mark came before the last token",
)


class RecordingTokenSink(base.TokenSink):
    """Records the tokens of a generation and forwards them to the caller's sink.

    Attributes
    ----------
    ended_early : bool
        Whether the end mark came before the last token; that batch is not forwarded.
    """

    def __init__(
        self, generation: "generations.Generation", sink: base.TokenSink
    ) -> None:
        self.generation = generation
        self.forward_batch = sink.consume
        self.ended_early = False

    def consume(self, batch: base.TokenBatch) -> bool:
        """Record the tokens of a batch, then forward them."""
        if batch.ended and self.generation.ends_early(batch):
            self.ended_early = True
            return False
        return self.forward_batch(self.generation.record_batch(batch))

    def check_end(
        self, forwarded: base.ForwardEnd
    ) -> result.Result[base.ForwardEnd, base.AttemptFailure]:
        """Return why the stream stopped, or a failure if it ended early."""
        if self.ended_early:
            self.ended_early = False
            return result.Failure(EARLY_END)
        return result.Success(forwarded)
