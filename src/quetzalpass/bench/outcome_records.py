"""What callers and stand-ins saw during ``bench outcomes``, and the verdict on it."""

import collections
import enum
import re

import msgspec

from quetzalpass.results import codes
from quetzalpass.standin import text

TOKEN = re.compile(r"([0-9a-f]{4})\.(\d+) ")
MS_PER_S = 1000


class Kind(enum.Enum):
    """What a request asks for."""

    STREAM = "stream"
    WHOLE = "whole"
    LOOK_UP = "look_up"
    FILING = "filing"
    CLAIMED_STREAM = "claimed_stream"
    CRASHING = "crashing"


REPEATABLE = frozenset({Kind.STREAM, Kind.WHOLE, Kind.LOOK_UP})
GENERATIONS = frozenset({Kind.STREAM, Kind.WHOLE, Kind.CLAIMED_STREAM})


class Send(msgspec.Struct):
    """One time that a caller sent a request, and what came back.

    Attributes
    ----------
    code : int or None
        Numbered result, in the headers or in the stream; ``None`` if none came.
    execution : str or None
        What the answer said about execution.
    runs_before, runs_after : int
        Runs that the stand-ins had counted before the send and at its answer.
    ended : bool
        Whether a whole answer or a numbered failure came.
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
        Text that the caller holds at the end.
    whole : bool
        Whether the last answer was whole.
    """

    kind: Kind
    number: int
    text: str
    sends: list[Send] = []
    received: str = ""
    whole: bool = False
    token_errors: int = 0


class Faults(msgspec.Struct):
    """How many faults of each kind were caused."""

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
        """Return the sum."""
        return sum(msgspec.structs.astuple(self))


class OutcomesReport(msgspec.Struct):
    """Figures of one run, and the targets that were missed."""

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


class Runs:
    """What the stand-ins ran, over all their restarts.

    Attributes
    ----------
    calls : dict of str to int
        Runs of service calls by key.
    starts : Counter of str
        Fresh starts of generations by prompt.
    crashes : Counter of str
        Servers lost by marker of the crashing request.
    """

    def __init__(self) -> None:
        self.calls: dict[str, int] = {}
        self.starts: collections.Counter[str] = collections.Counter()
        self.crashes: collections.Counter[str] = collections.Counter()

    def of(self, request: Request) -> int:
        """Return how often a request has run so far."""
        if request.kind in GENERATIONS:
            return self.starts[request.text]
        return self.calls.get(request.text, 0)


def token_errors_of(prompt: str, received: str, whole: bool, max_tokens: int) -> int:
    """Return how many tokens are wrong, double, crossed or missing.

    Parameters
    ----------
    prompt : str
        Prompt of the generation.
    received : str
        What the caller holds.
    whole : bool
        Whether the answer was said to be whole; else only its start is checked.
    max_tokens : int
        Largest output length.
    """
    tag = text.prompt_tag(prompt)
    tokens = TOKEN.findall(received)
    wrong = sum(found != (tag, str(offset)) for offset, found in enumerate(tokens))
    left_over = len(TOKEN.sub("", received))
    missing = text.output_length(prompt, max_tokens) - len(tokens) if whole else 0
    return wrong + left_over + abs(missing)


def report_of(
    requests: list[Request],
    runs: Runs,
    claim_latencies_ms: list[float],
    faults: Faults,
) -> OutcomesReport:
    """Return the verdict on a run."""
    usual = [each for each in requests if each.kind is not Kind.CRASHING]
    repeatable = [each for each in usual if each.kind in REPEATABLE]
    latencies = sorted(claim_latencies_ms) or [0.0]
    report = OutcomesReport(
        requests=len(requests),
        token_errors=sum(each.token_errors for each in requests),
        double_runs=sum(
            runs.of(each) > 1
            for each in usual
            if each.kind in (Kind.FILING, Kind.CLAIMED_STREAM)
        ),
        false_not_run=sum(said_not_run_falsely(each, runs) for each in usual),
        lost=sum(not any(send.ended for send in each.sends) for each in usual),
        whole_share=sum(each.whole for each in repeatable) / max(1, len(repeatable)),
        claim_p50_ms=latencies[len(latencies) // 2],
        claim_p99_ms=latencies[min(len(latencies) - 1, len(latencies) * 99 // 100)],
        servers_lost_per_crashing_request=max(runs.crashes.values(), default=0),
        innocents_refused=sum(was_quarantined(each) for each in usual),
        faults=faults,
    )
    report.missed = tuple(missed_targets(report))
    return report


def said_not_run_falsely(request: Request, runs: Runs) -> bool:
    """Return whether an answer said "not run" of something that ran."""
    not_run = [each for each in request.sends if each.execution == "not_run"]
    if any(each.runs_after > each.runs_before for each in not_run):
        return True
    all_not_run = request.sends and len(not_run) == len(request.sends)
    return bool(all_not_run and runs.of(request))


def was_quarantined(request: Request) -> bool:
    """Return whether an innocent request was taken for a crashing one."""
    return any(each.code == codes.Code.QUARANTINED for each in request.sends)


def missed_targets(report: OutcomesReport) -> list[str]:
    """Return the targets that a report misses."""
    zeros = {
        "token_errors": report.token_errors,
        "double_runs": report.double_runs,
        "false_not_run": report.false_not_run,
        "lost": report.lost,
        "innocents_refused": report.innocents_refused,
    }
    missed = [f"{name} is {count}, not 0" for name, count in zeros.items() if count]
    if report.whole_share < 0.999:
        missed.append(f"whole_share is {report.whole_share:.4f}, below 0.999")
    if report.servers_lost_per_crashing_request > 2:
        missed.append("a crashing request cost more than 2 servers")
    uncaused = [
        name
        for name, count in msgspec.structs.asdict(report.faults).items()
        if not count
    ]
    if uncaused:
        missed.append(f"no fault was caused of: {', '.join(uncaused)}")
    return missed
