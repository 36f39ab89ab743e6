"""Benchmark of the gateway's cost per token, compared with a bare relay.

Streams of 16 tokens/s from one source go alternately through the gateway and through a
bare relay that checks nothing. Both are measured in one run, so that the ratio doesn't
depend on the speed of the machine.
"""

import pathlib
import statistics
import sys
import tempfile

import defopt
import msgspec

from quetzalpass.bench import relay_processes, relay_source

FULL_SIZES = (100, 400, 930)
QUICK_SIZES = (930,)
TARGET_STREAMS = 930
ROUNDS = 2
FULL_WINDOW_S = 6.0
QUICK_WINDOW_S = 3.0
MAX_CPU_RATIO = 1.0
MAX_ADDED_P99_MS = 10.0
MAX_RSS_MB = 256.0
# Above this the processes that generate the load may be the bottleneck.
MAX_LOAD_CORES = 0.8
US_PER_S = 1e6
EXIT_TARGET_MISSED = 8


class RelayRun(msgspec.Struct, frozen=True):
    """Figures of one number of streams.

    Attributes
    ----------
    streams : int
        Number of concurrent streams.
    tokens_per_s : float
        Token rate that the gateway's callers received.
    cpu_us_per_token, bare_cpu_us_per_token : float
        CPU time per token of the gateway and of the bare relay.
    cpu_ratio : float
        CPU time per token of the gateway divided by that of the bare relay.
    added_gap_p50_ms, added_gap_p99_ms, added_gap_p999_ms : float
        Quantiles of the time that the gateway added to the gaps between tokens.
    rss_mb : float
        Resident memory of the gateway.
    """

    streams: int
    tokens_per_s: float
    cpu_us_per_token: float
    bare_cpu_us_per_token: float
    cpu_ratio: float
    added_gap_p50_ms: float
    added_gap_p99_ms: float
    added_gap_p999_ms: float
    rss_mb: float


class RelayReport(msgspec.Struct, frozen=True):
    """All runs, and the targets that were missed."""

    runs: tuple[RelayRun, ...]
    missed: tuple[str, ...] = ()


class RelayWindows:
    """RelayMeasurement windows of one relay with a given number of streams."""

    def __init__(self) -> None:
        self.windows: list[relay_processes.RelayMeasurement] = []

    def tokens(self) -> int:
        """Return the number of tokens in all windows."""
        return sum(each.reader.tokens for each in self.windows)

    def window_s(self) -> float:
        """Return the total length of all windows."""
        return sum(each.reader.window_s for each in self.windows)

    def cpu_us_per_token(self) -> float:
        """Return the relay's CPU time per token."""
        cpu_s = sum(each.relay_cpu_s for each in self.windows)
        return cpu_s * US_PER_S / max(1, self.tokens())

    def load_cores(self) -> float:
        """Return the cores that the busier load process, source or reader, used."""
        source_s = sum(each.source_cpu_s for each in self.windows)
        reader_s = sum(each.reader.cpu_s for each in self.windows)
        return max(source_s, reader_s) / self.window_s()

    def describe(self, name: str, streams: int) -> str:
        """Return a line with the figures of this relay."""
        cores = sum(each.relay_cpu_s for each in self.windows) / self.window_s()
        p99_ms = statistics.median(each.reader.p99_ms for each in self.windows)
        wrong = sum(each.reader.wrong for each in self.windows)
        return (
            f"{streams:4} streams, {name:7}: {self.cpu_us_per_token():5.1f} us/token, "
            f"{cores:.2f} cores, {self.tokens() / self.window_s():7.0f} tokens/s, "
            f"added p99 {p99_ms:5.1f} ms, {wrong} wrong, "
            f"load at most {self.load_cores():.2f} cores"
        )


def run(quick: bool) -> RelayReport:
    """Run the benchmark.

    Parameters
    ----------
    quick : bool
        Measure fewer sizes in shorter windows, with the same checks.

    Returns
    -------
    RelayReport
        Figures for each number of streams, and the targets that were missed.
    """
    sizes = QUICK_SIZES if quick else FULL_SIZES
    window_s = QUICK_WINDOW_S if quick else FULL_WINDOW_S
    engines = -(-max(sizes) // relay_source.ENGINE_BATCH)
    runs = []
    missed: list[str] = []
    with tempfile.TemporaryDirectory(prefix="quetzalpass-bench-") as folder:
        processes = relay_processes.RelayProcesses(
            pathlib.Path(folder), engines, relay_source.ENGINE_BATCH
        )
        try:
            processes.start()
            for streams in sizes:
                runs.append(measure_size(processes, streams, window_s, missed))
        except (OSError, RuntimeError):
            processes.show_logs()
            raise
        finally:
            processes.stop()
    return RelayReport(tuple(runs), tuple(missed))


def measure_size(
    processes: relay_processes.RelayProcesses,
    streams: int,
    window_s: float,
    missed: list[str],
) -> RelayRun:
    """Measure both relays alternately with one number of streams."""
    gateway, bare = RelayWindows(), RelayWindows()
    for _ in range(ROUNDS):
        gateway.windows.append(processes.measure("gateway", streams, window_s))
        bare.windows.append(processes.measure("bare", streams, window_s))
    print(gateway.describe("gateway", streams), file=sys.stderr, flush=True)
    print(bare.describe("bare", streams), file=sys.stderr, flush=True)
    readers = [each.reader for each in gateway.windows]
    bare_us = bare.cpu_us_per_token()
    measured = RelayRun(
        streams=streams,
        tokens_per_s=round(gateway.tokens() / gateway.window_s(), 1),
        cpu_us_per_token=round(gateway.cpu_us_per_token(), 2),
        bare_cpu_us_per_token=round(bare_us, 2),
        cpu_ratio=round(gateway.cpu_us_per_token() / bare_us, 3),
        added_gap_p50_ms=round(statistics.mean(each.p50_ms for each in readers), 3),
        added_gap_p99_ms=round(max(each.p99_ms for each in readers), 3),
        added_gap_p999_ms=round(max(each.p999_ms for each in readers), 3),
        rss_mb=round(max(each.rss_mb for each in gateway.windows), 1),
    )
    missed.extend(find_missed_targets(measured, gateway, bare))
    return measured


def find_missed_targets(
    measured: RelayRun, gateway: RelayWindows, bare: RelayWindows
) -> list[str]:
    """Return a sentence for each target that a run missed."""
    size = f"at {measured.streams} streams"
    missed = []
    if any(each.reader.wrong for each in gateway.windows):
        missed.append(f"{size}: tokens were wrong or streams ended")
    if gateway.load_cores() > MAX_LOAD_CORES or bare.load_cores() > MAX_LOAD_CORES:
        missed.append(
            f"{size}: the load processes are the bottleneck; the run is invalid"
        )
    if measured.streams != TARGET_STREAMS:
        return missed
    if measured.cpu_ratio > MAX_CPU_RATIO:
        missed.append(f"{size}: CPU ratio {measured.cpu_ratio} > {MAX_CPU_RATIO}")
    if measured.added_gap_p99_ms > MAX_ADDED_P99_MS:
        missed.append(
            f"{size}: added p99 {measured.added_gap_p99_ms} ms > {MAX_ADDED_P99_MS} ms"
        )
    if measured.rss_mb >= MAX_RSS_MB:
        missed.append(f"{size}: {measured.rss_mb} MB >= {MAX_RSS_MB} MB")
    return missed


def print_report(report: RelayReport, as_json: bool) -> int:
    """Print a report and return the exit code."""
    if as_json:
        print(msgspec.json.encode({"runs": report.runs}).decode())
    else:
        for each in report.runs:
            print(
                f"{each.streams:4} streams: {each.tokens_per_s:.0f} tokens/s, "
                f"{each.cpu_us_per_token} us/token, bare "
                f"{each.bare_cpu_us_per_token}, ratio {each.cpu_ratio}, added gap "
                f"p50 {each.added_gap_p50_ms} p99 {each.added_gap_p99_ms} "
                f"p99.9 {each.added_gap_p999_ms} ms, {each.rss_mb} MB"
            )
    for sentence in report.missed:
        print(f"missed {sentence}", file=sys.stderr)
    return EXIT_TARGET_MISSED if report.missed else 0


def relay(*, quick: bool = False, json: bool = False) -> int:
    """Measure the relay of tokens beside a bare relay.

    Parameters
    ----------
    quick
        Only the largest size, in under 40 s.
    json
        Print one JSON object.
    """
    return print_report(run(quick), json)


if __name__ == "__main__":
    sys.exit(defopt.run(relay, no_negated_flags=True, short={}))
