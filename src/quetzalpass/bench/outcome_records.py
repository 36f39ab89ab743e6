"""Observations of callers and stand-ins in ``bench outcomes``, and their evaluation."""

import collections
import enum
import re

import msgspec

from quetzalpass.results import codes
from quetzalpass.standin import text

TOKEN = re.compile(r"([0-9a-f]{4})\.(\d+) ")
MS_PER_S = 1000


class Kind(enum.Enum):
    """Type of a request."""

    STREAM = "stream"
    WHOLE = "whole"
    LOOK_UP = "look_up"
    FILING = "filing"
    CLAIMED_STREAM = "claimed_stream"
    CRASHING = "crashing"


REPEATABLE = frozenset({Kind.STREAM, Kind.WHOLE, Kind.LOOK_UP})
GENERATIONS = frozenset({Kind.STREAM, Kind.WHOLE, Kind.CLAIMED_STREAM})


class Send(msgspec.Struct):
    """One attempt of a caller to send a request, and its result.

    Attributes
    ----------
    code : int or None
        Result code from the headers or the stream; ``None`` if none was received.
    execution : str or None
        Execution state that the response reported.
    runs_before, runs_after : int
        Runs of the request that the stand-ins had counted before and after the send.
    ended : bool
        Whether a complete response or an error with a code was received.
    """

    code: int | None = None
    execution: str | None = None
    runs_before: int = 0
    runs_after: int = 0
    ended: bool = False


class Request(msgspec.Struct):
    """One request with all its sends.

    Attributes
    ----------
    number : int
        Unique number.
    text : str
        Prompt of a generation; key of a call.
    received : str
        Text that the caller has received so far.
    whole : bool
        Whether the last response was complete.
    """

    kind: Kind
    number: int
    text: str
    sends: list[Send] = []
    received: str = ""
    whole: bool = False
    token_errors: int = 0


class Faults(msgspec.Struct):
    """Number of injected faults of each kind."""

    engines_killed: int = 0
    engines_reclaimed: int = 0
    services_killed: int = 0
    gateways_killed: int = 0
    gateways_drained: int = 0
    links_silenced: int = 0
    links_broken: int = 0
    tokens_crossed: int = 0
    starts_failed: int = 0
    calls_failed: int = 0
    quorums_lost: int = 0
    crashing_requests: int = 0

    def total(self) -> int:
        """Return the number of all injected faults."""
        return sum(msgspec.structs.astuple(self))


class OutcomesReport(msgspec.Struct):
    """Figures of a run, and the targets that it missed."""

    requests: int
    token_errors: int
    double_runs: int
    false_not_run: int
    lost: int
    whole_share: float
    claim_p50_ms: float
    claim_p99_ms: float
    servers_lost_per_crashing_request: int
    innocents_refused: int
    faults: Faults
    missed: tuple[str, ...] = ()


class RunCounts:
    """Counts of what the stand-ins ran, over all restarts.

    Attributes
    ----------
    calls : dict of str to int
        Number of runs of each service call, by key.
    starts : Counter of str
        Number of new generations (not resumed ones) by prompt.
    crashes : Counter of str
        Number of crashed servers by the marker of the crashing request.
    """

    def __init__(self) -> None:
        self.calls: dict[str, int] = {}
        self.starts: collections.Counter[str] = collections.Counter()
        self.crashes: collections.Counter[str] = collections.Counter()

    def run_count(self, request: Request) -> int:
        """Return how many times a request has run so far."""
        if request.kind in GENERATIONS:
            return self.starts[request.text]
        return self.calls.get(request.text, 0)


def count_token_errors(prompt: str, received: str, whole: bool, max_tokens: int) -> int:
    """Count missing, duplicate and wrong tokens, also those of other generations.

    Parameters
    ----------
    prompt : str
        Prompt of the generation.
    received : str
        Text that the caller has received.
    whole : bool
        Whether the response was marked as complete; otherwise missing tokens aren't
        counted.
    max_tokens : int
        Maximum output length.
    """
    tag = text.prompt_tag(prompt)
    tokens = TOKEN.findall(received)
    wrong = sum(token != (tag, str(offset)) for offset, token in enumerate(tokens))
    unparsed_characters = len(TOKEN.sub("", received))
    missing = text.output_length(prompt, max_tokens) - len(tokens) if whole else 0
    return wrong + unparsed_characters + abs(missing)


def make_report(
    requests: list[Request],
    run_counts: RunCounts,
    claim_latencies_ms: list[float],
    faults: Faults,
) -> OutcomesReport:
    """Evaluate a run against its targets."""
    ordinary = [each for each in requests if each.kind is not Kind.CRASHING]
    repeatable = [each for each in ordinary if each.kind in REPEATABLE]
    latencies = sorted(claim_latencies_ms) or [0.0]
    report = OutcomesReport(
        requests=len(requests),
        token_errors=sum(each.token_errors for each in requests),
        double_runs=sum(
            run_counts.run_count(each) > 1
            for each in ordinary
            if each.kind in (Kind.FILING, Kind.CLAIMED_STREAM)
        ),
        false_not_run=sum(has_false_not_run(each, run_counts) for each in ordinary),
        lost=sum(not any(send.ended for send in each.sends) for each in ordinary),
        whole_share=sum(each.whole for each in repeatable) / max(1, len(repeatable)),
        claim_p50_ms=latencies[len(latencies) // 2],
        claim_p99_ms=latencies[min(len(latencies) - 1, len(latencies) * 99 // 100)],
        servers_lost_per_crashing_request=max(run_counts.crashes.values(), default=0),
        innocents_refused=sum(was_quarantined(each) for each in ordinary),
        faults=faults,
    )
    report.missed = tuple(find_missed_targets(report))
    return report


def has_false_not_run(request: Request, run_counts: RunCounts) -> bool:
    """Return whether a response reported "not run" for a request that ran."""
    not_run = [each for each in request.sends if each.execution == "not_run"]
    if any(each.runs_after > each.runs_before for each in not_run):
        return True
    all_not_run = request.sends and len(not_run) == len(request.sends)
    return bool(all_not_run and run_counts.run_count(request))


def was_quarantined(request: Request) -> bool:
    """Return whether a request was refused as if it crashed servers."""
    return any(each.code == codes.Code.QUARANTINED for each in request.sends)


def find_missed_targets(report: OutcomesReport) -> list[str]:
    """Return a message for each target that a report misses."""
    must_be_zero = {
        "token_errors": report.token_errors,
        "double_runs": report.double_runs,
        "false_not_run": report.false_not_run,
        "lost": report.lost,
        "innocents_refused": report.innocents_refused,
    }
    missed = [
        f"{name} is {count}, not 0" for name, count in must_be_zero.items() if count
    ]
    if report.whole_share < 0.999:
        missed.append(f"whole_share is {report.whole_share:.4f}, below 0.999")
    if report.servers_lost_per_crashing_request > 2:
        missed.append("a crashing request cost more than 2 servers")
    missing_kinds = [
        name
        for name, count in msgspec.structs.asdict(report.faults).items()
        if not count
    ]
    if missing_kinds:
        missed.append(f"no fault was injected of kind: {', '.join(missing_kinds)}")
    return missed
