"""Where the tokens of a generation are noted on their way to the caller."""

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


class TokenTap(base.TokenSink):
    """Keeps the tokens of a generation on their way to the caller's sink.

    Attributes
    ----------
    ended_early : bool
        Whether the end mark came before the last token; that batch is dropped.
    """

    def __init__(
        self, generation: "generations.Generation", sink: base.TokenSink
    ) -> None:
        self.generation = generation
        self.take_on = sink.consume
        self.ended_early = False

    def consume(self, batch: base.TokenBatch) -> bool:
        """Keep the tokens, then pass them on."""
        if batch.ended and self.generation.ends_early(batch):
            self.ended_early = True
            return False
        return self.take_on(self.generation.note_batch(batch))

    def check_end(
        self, forwarded: base.ForwardEnd
    ) -> result.Result[base.ForwardEnd, base.AttemptFailure]:
        """Return why the stream stopped, unless it ended early."""
        if self.ended_early:
            self.ended_early = False
            return result.Failure(EARLY_END)
        return result.Success(forwarded)
