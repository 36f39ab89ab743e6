"""Where the tokens of a generation are noted on their way to the caller."""

from typing import TYPE_CHECKING

from returns import result

from quetzalpass.backends import base

if TYPE_CHECKING:
    from quetzalpass.lifecycle import generations


class TokenTap(base.TokenSink):
    """Keeps the tokens of a generation on their way to the caller's sink.

    Attributes
    ----------
    failure : base.AttemptFailure or None
        Set when the stream ended although the generation had not.
    """

    def __init__(
        self, generation: "generations.Generation", sink: base.TokenSink
    ) -> None:
        self.generation = generation
        self.take_on = sink.take
        self.failure: base.AttemptFailure | None = None

    def take(self, batch: base.TokenBatch) -> bool:
        """Keep the tokens, then pass them on."""
        if batch.ended:
            checked = self.generation.check_end(batch)
            if isinstance(checked, result.Failure):
                self.failure = checked.failure()
                return False
        return self.take_on(self.generation.note_batch(batch))
