"""Faults that can be injected into a stand-in backend server."""

import enum

import msgspec


class FaultKind(enum.Enum):
    """Kind of fault."""

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
    ERROR = "error"
    RESUME_EARLY = "resume_early"
    RESUME_LATE = "resume_late"


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault and the condition that triggers it.

    Attributes
    ----------
    kind : FaultKind
        Kind of fault.
    at_offset : int
        Token offset at which a stream fault is triggered.
    times : int
        Number of requests that it affects before it is removed.
    marker : str or None
        Affects only requests whose prompt or body contains this text.
    """

    kind: FaultKind
    at_offset: int = 0
    times: int = 1
    marker: str | None = None


class FaultPlan:
    """Faults that have yet to be triggered.

    Attributes
    ----------
    pending : list of Fault
        Faults in the order in which they were enabled.
    trigger_count : int
        Total number of times that faults were triggered.
    """

    def __init__(self) -> None:
        self.pending: list[Fault] = []
        self.trigger_count = 0

    def add(self, fault: Fault) -> None:
        """Enable a fault."""
        self.pending.append(fault)

    def consume(self, kinds: frozenset[FaultKind], text: str) -> Fault | None:
        """Trigger the first pending fault that matches a request, and return it.

        Parameters
        ----------
        kinds : frozenset of FaultKind
            Kinds that can be triggered at this point.
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
        """Count a use of the fault at a position; remove it after its last use."""
        self.trigger_count += 1
        if fault.times == 1:
            del self.pending[position]
            return
        remaining = msgspec.structs.replace(fault, times=fault.times - 1)
        self.pending[position] = remaining
