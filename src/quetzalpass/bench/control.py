"""Benchmark of the control plane: commits, fail-over, restart and propagation.

The replicas run in one process on real disks and loopback, so they share one core. The
rates hold for that process, not for replicas on separate VMs.
"""

import asyncio
import pathlib
import tempfile
import time

import msgspec

from quetzalpass import ids
from quetzalpass.bench import control_cluster, control_propagation

REPLICA_COUNTS = (3, 5)
COMMAND_BYTES = 256
CONCURRENT_PROPOSERS = 64
COMMITS, COMMITS_QUICK = 10_000, 2_000
SINGLE_COMMITS, SINGLE_COMMITS_QUICK = 1_000, 200
FAILOVERS, FAILOVERS_QUICK = 10, 3
RESTARTS, RESTARTS_QUICK = 5, 1
RESTART_CHANGES = 1_000
FAILOVER_TARGET_S = 2.0
RESTART_TARGET_S = 2.0
IN_FORCE_TARGET_S = 1.0
SIZES = ((30, 30), (3_000, 7_500))
SEED = 1


class CommitFigures(msgspec.Struct, frozen=True):
    """Commit rate and latencies for a number of replicas.

    Attributes
    ----------
    replicas : int
        Number of replicas.
    commits_per_s : float
        Rate with ``CONCURRENT_PROPOSERS`` proposals in flight.
    loaded_p50_ms, loaded_p99_ms : float
        Commit latencies under that load.
    commit_p50_ms, commit_p99_ms : float
        Commit latencies with one proposal in flight.
    """

    replicas: int
    commits_per_s: float
    loaded_p50_ms: float
    loaded_p99_ms: float
    commit_p50_ms: float
    commit_p99_ms: float


class ControlReport(msgspec.Struct, frozen=True):
    """Figures of the control plane.

    Attributes
    ----------
    commits_per_s, commit_p99_ms : float
        Commit rate under load, and latency of a single commit, with three replicas.
    in_force_p99_s, in_force_p99_s_at_100x : float
        Time from an apply until the revision is in force on nine daemons, with the
        users' current size of declaration.
    failover_s, restart_after_1000_changes_s : float
        Maximum of ``failovers_s`` and ``restarts_s``.
    gateway_control_cpu_share, gateway_control_bytes_per_s, gateway_rss_mb : float
        Cost of the control plane for each daemon, at the users' current size and
        rate of changes.
    restart_bytes_read : int
        Bytes that one replica reads when it starts after 1,000 changes.
    commits : list of CommitFigures
        Figures for each number of replicas.
    failovers_s : list of float
        Times from stopping the leader to the next accepted write, sorted.
    restarts_s : list of float
        Times from starting three stopped replicas to an accepted write, sorted.
    slopes : list of control_propagation.PropagationFigures
        Figures of nine daemons for each size of the declaration.
    is_met : bool
        Whether the targets for fail-over, restart and propagation were met.
    """

    commits_per_s: float
    commit_p99_ms: float
    in_force_p99_s: float
    in_force_p99_s_at_100x: float
    failover_s: float
    restart_after_1000_changes_s: float
    gateway_control_cpu_share: float
    gateway_control_bytes_per_s: float
    gateway_rss_mb: float
    restart_bytes_read: int
    commits: list[CommitFigures]
    failovers_s: list[float]
    restarts_s: list[float]
    slopes: list[control_propagation.PropagationFigures]
    is_met: bool


async def run(quick: bool) -> ControlReport:
    """Measure the control plane.

    Parameters
    ----------
    quick : bool
        Take fewer commits and runs.
    """
    commits = []
    for count in REPLICA_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            commits.append(await measure_commits(count, pathlib.Path(folder), quick))
    with tempfile.TemporaryDirectory() as folder:
        failover_s = await measure_failover(pathlib.Path(folder), quick)
    with tempfile.TemporaryDirectory() as folder:
        restart_s = await measure_restart(pathlib.Path(folder), quick)
        bytes_read = folder_size_bytes(pathlib.Path(folder) / "vm-1")
    slopes = [
        await control_propagation.measure(organisations, servers, quick)
        for organisations, servers in SIZES
    ]
    return make_report(commits, failover_s, restart_s, bytes_read, slopes)


def make_report(
    commits: list[CommitFigures],
    failover_s: list[float],
    restart_s: list[float],
    bytes_read: int,
    slopes: list[control_propagation.PropagationFigures],
) -> ControlReport:
    """Build the report; gateway figures are those at the current size."""
    current_size = slopes[0]
    changes_per_s = control_propagation.CHANGES_PER_DAY / control_propagation.DAY_S
    is_met = (
        failover_s[-1] < FAILOVER_TARGET_S
        and restart_s[-1] < RESTART_TARGET_S
        and current_size.in_force_p99_s < IN_FORCE_TARGET_S
        and current_size.in_force_p99_s_at_100x < IN_FORCE_TARGET_S
    )
    return ControlReport(
        commits_per_s=commits[0].commits_per_s,
        commit_p99_ms=commits[0].commit_p99_ms,
        in_force_p99_s=current_size.in_force_p99_s,
        in_force_p99_s_at_100x=current_size.in_force_p99_s_at_100x,
        failover_s=failover_s[-1],
        restart_after_1000_changes_s=restart_s[-1],
        gateway_control_cpu_share=current_size.idle_cpu_share
        + current_size.change_cpu_ms / 1e3 * changes_per_s,
        gateway_control_bytes_per_s=current_size.idle_bytes_per_s
        + current_size.change_bytes * changes_per_s,
        gateway_rss_mb=current_size.rss_mb,
        restart_bytes_read=bytes_read,
        commits=commits,
        failovers_s=failover_s,
        restarts_s=restart_s,
        slopes=slopes,
        is_met=is_met,
    )


async def measure_commits(
    count: int, folder: pathlib.Path, quick: bool
) -> CommitFigures:
    """Measure commits one at a time, then with many proposals in flight."""
    cluster = control_cluster.LocalCluster(count, folder, SEED)
    await cluster.start()
    await cluster.propose(ids.OperationId("warm"), b"warm")
    single_count = SINGLE_COMMITS_QUICK if quick else SINGLE_COMMITS
    single = await propose_many(cluster, "single", single_count, 1)
    loaded_count = COMMITS_QUICK if quick else COMMITS
    started = time.perf_counter()
    loaded = await propose_many(cluster, "loaded", loaded_count, CONCURRENT_PROPOSERS)
    elapsed_s = time.perf_counter() - started
    await cluster.stop()
    return CommitFigures(
        count,
        loaded_count / elapsed_s,
        percentile_ms(loaded, 0.5),
        percentile_ms(loaded, 0.99),
        percentile_ms(single, 0.5),
        percentile_ms(single, 0.99),
    )


async def propose_many(
    cluster: control_cluster.LocalCluster, name: str, count: int, concurrency: int
) -> list[float]:
    """Propose commands and return their sorted latencies in seconds."""
    command = bytes(COMMAND_BYTES)
    numbers = iter(range(count))
    times_s: list[float] = []

    async def propose_next_commands() -> None:
        for number in numbers:
            started = time.perf_counter()
            await cluster.propose(ids.OperationId(f"{name}-{number}"), command)
            times_s.append(time.perf_counter() - started)

    await asyncio.gather(*[propose_next_commands() for _ in range(concurrency)])
    return sorted(times_s)


async def measure_failover(folder: pathlib.Path, quick: bool) -> list[float]:
    """Stop the leader repeatedly; return the sorted fail-over times in seconds."""
    cluster = control_cluster.LocalCluster(3, folder, SEED)
    await cluster.start()
    failover_times_s = []
    for number in range(FAILOVERS_QUICK if quick else FAILOVERS):
        await cluster.propose(ids.OperationId(f"before-{number}"), b"before")
        leader = await cluster.wait_for_leader()
        started = time.perf_counter()
        await cluster.stop_replica(leader)
        await cluster.propose(ids.OperationId(f"after-{number}"), b"after")
        failover_times_s.append(time.perf_counter() - started)
        await cluster.start()
    await cluster.stop()
    return sorted(failover_times_s)


async def measure_restart(folder: pathlib.Path, quick: bool) -> list[float]:
    """Restart all replicas on a long log; return the sorted times in seconds."""
    cluster = control_cluster.LocalCluster(3, folder, SEED)
    await cluster.start()
    await propose_many(cluster, "change", RESTART_CHANGES, CONCURRENT_PROPOSERS)
    times_s = []
    for number in range(RESTARTS_QUICK if quick else RESTARTS):
        await cluster.stop()
        started = time.perf_counter()
        await cluster.start()
        await cluster.propose(ids.OperationId(f"restart-{number}"), b"restart")
        times_s.append(time.perf_counter() - started)
    await cluster.stop()
    return sorted(times_s)


def percentile_ms(sorted_s: list[float], share: float) -> float:
    """Return a percentile of sorted times, in milliseconds."""
    position = min(len(sorted_s) - 1, int(share * len(sorted_s)))
    return sorted_s[position] * 1000


def folder_size_bytes(path: pathlib.Path) -> int:
    """Return the total size of all files under a folder, in bytes."""
    return sum(item.stat().st_size for item in path.rglob("*") if item.is_file())


def control(*, quick: bool = False, json: bool = False) -> int:
    """Measure the replicated log and print the report.

    Parameters
    ----------
    quick : bool
        Take fewer commits and runs.
    json : bool
        Print one JSON object.

    Returns
    -------
    int
        0 where all targets were met, else 1.
    """
    report = asyncio.run(run(quick))
    text = msgspec.json.encode(report)
    print((text if json else msgspec.json.format(text, indent=2)).decode())
    return 0 if report.is_met else 1
