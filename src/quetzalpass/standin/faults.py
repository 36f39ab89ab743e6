"""Faults that a stand-in backend server can be told to show."""

import enum

import msgspec


class FaultKind(enum.Enum):
    """What goes wrong."""

    CLOSE_BEFORE_ANSWER = "close_before_answer"
    CLOSE_AFTER_RUN = "close_after_run"
    REFUSE = "refuse"
    HANG = "hang"
    CLOSE_STREAM = "close_stream"
    SILENCE = "silence"
    REPEAT_OFFSET = "repeat_offset"
    SKIP_OFFSET = "skip_offset"
    SWAP_OFFSETS = "swap_offsets"
    CROSSED_ID = "crossed_id"
    NO_END_MARK = "no_end_mark"
    CRASH = "crash"
    RESUME_EARLY = "resume_early"
    RESUME_LATE = "resume_late"


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault and when it strikes.

    Attributes
    ----------
    kind : FaultKind
        What goes wrong.
    at_offset : int
        Token offset at which a stream fault strikes.
    times : int
        How many requests it strikes; then it is gone.
    marker : str or None
        Strikes only requests whose prompt or body contains this text.
    """

    kind: FaultKind
    at_offset: int = 0
    times: int = 1
    marker: str | None = None


class FaultPlan:
    """The faults that still wait to strike.

    Attributes
    ----------
    pending : list of Fault
        Faults in the order in which they were switched on.
    trigger_count : int
        How many times any fault trigger_count.
    """

    def __init__(self) -> None:
        self.pending: list[Fault] = []
        self.trigger_count = 0

    def add(self, fault: Fault) -> None:
        """Switch a fault on."""
        self.pending.append(fault)

    def consume(self, kinds: frozenset[FaultKind], text: str) -> Fault | None:
        """Return the first pending fault of some kinds and use it once.

        Parameters
        ----------
        kinds : frozenset of FaultKind
            Kinds that can strike here.
        text : str
            Prompt or body of the request.
        """
        for position, fault in enumerate(self.pending):
            if fault.kind not in kinds:
                continue
            if fault.marker is not None and fault.marker not in text:
                continue
            self.record_trigger(position, fault)
            return fault
        return None

    def record_trigger(self, position: int, fault: Fault) -> None:
        """Count one strike of the fault at a position."""
        self.trigger_count += 1
        if fault.times == 1:
            del self.pending[position]
            return
        fewer = msgspec.structs.replace(fault, times=fault.times - 1)
        self.pending[position] = fewer
