"""Parts of prompts that are refused, and the requests let through to test them."""

import msgspec

from quetzalpass import ids
from quetzalpass.membership import part_evidence

# Delay of the first trial; each trial that fails multiplies it.
TRIAL_DELAY_S = 120.0
TRIAL_DELAY_FACTOR = 4
MAX_TRIAL_DELAY_S = 3600.0

RecordedCrash = part_evidence.RecordedCrash


class Trial(msgspec.Struct, frozen=True):
    """A request that is let through to test refused parts, until a loop time."""

    request: ids.RequestId
    until_s: float


class RefusedParts(msgspec.Struct):
    """Parts that are refused where a prompt has all of them.

    Attributes
    ----------
    crashed_s : float
        Loop time of the last crash that counts against them.
    trials : int
        Trials that have crashed a server.
    explained : set of str
        Event keys of the known crashes during which a request had all these parts.
    trial : Trial or None
        The present trial.
    outweighs_runs : bool
        Whether runs of the parts before the last crash are disregarded.
    """

    crashed_s: float
    trials: int = 0
    explained: set[str] = msgspec.field(default_factory=set)
    trial: Trial | None = None
    outweighs_runs: bool = False

    def delay_s(self) -> float:
        """Return after which time without a crash the next trial is due."""
        delay_s = TRIAL_DELAY_S * TRIAL_DELAY_FACTOR**self.trials
        return min(delay_s, MAX_TRIAL_DELAY_S)

    def add_crash(self, crash: RecordedCrash) -> None:
        """Record a further crash, which ends a trial."""
        self.explained.add(crash.event_key)
        if crash.at_s > self.crashed_s + self.delay_s():
            self.trials += 1
        self.trial = None
        self.crashed_s = max(self.crashed_s, crash.at_s)
