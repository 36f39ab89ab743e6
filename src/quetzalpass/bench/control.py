"""Benchmark of the replicated log: commits, fail-over and restart.

Replicas run in one process on real disks and loopback, so that they share one core;
the rates are those of that process, not of separate VMs.
"""

import asyncio
import pathlib
import tempfile
import time

import msgspec

from quetzalpass import ids
from quetzalpass.bench import control_cluster

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
SEED = 1


class CommitFigures(msgspec.Struct, frozen=True):
    """Rates and times of commits with one number of replicas.

    Attributes
    ----------
    replicas : int
        Number of replicas.
    commits_per_s : float
        Rate with ``CONCURRENT_PROPOSERS`` proposals under way.
    loaded_p50_ms, loaded_p99_ms : float
        Times of a commit under that load.
    commit_p50_ms, commit_p99_ms : float
        Times of a commit with one proposal under way.
    """

    replicas: int
    commits_per_s: float
    loaded_p50_ms: float
    loaded_p99_ms: float
    commit_p50_ms: float
    commit_p99_ms: float


class ControlReport(msgspec.Struct, frozen=True):
    """What was measured of the replicated log.

    Attributes
    ----------
    commits : list of CommitFigures
        One for each number of replicas.
    failover_s : list of float
        Times from the stop of the leader to the next accepted write, sorted.
    restart_after_1000_changes_s : list of float
        Times from the start of three stopped replicas to an accepted write, sorted.
    restart_bytes_read : int
        Bytes that one replica reads at such a start.
    is_met : bool
        Whether the targets of fail-over and restart were met by the worst run.
    """

    commits: list[CommitFigures]
    failover_s: list[float]
    restart_after_1000_changes_s: list[float]
    restart_bytes_read: int
    is_met: bool


async def run(quick: bool) -> ControlReport:
    """Measure the replicated log.

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
        bytes_read = folder_bytes(pathlib.Path(folder) / "vm-1")
    is_met = failover_s[-1] < FAILOVER_TARGET_S and restart_s[-1] < RESTART_TARGET_S
    return ControlReport(commits, failover_s, restart_s, bytes_read, is_met)


async def measure_commits(
    count: int, folder: pathlib.Path, quick: bool
) -> CommitFigures:
    """Measure commits one at a time, then many at once."""
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
    """Propose commands and return how long each took in seconds, sorted."""
    command = bytes(COMMAND_BYTES)
    numbers = iter(range(count))
    times_s: list[float] = []

    async def propose_in_turn() -> None:
        for number in numbers:
            started = time.perf_counter()
            await cluster.propose(ids.OperationId(f"{name}-{number}"), command)
            times_s.append(time.perf_counter() - started)

    await asyncio.gather(*[propose_in_turn() for _ in range(concurrency)])
    return sorted(times_s)


async def measure_failover(folder: pathlib.Path, quick: bool) -> list[float]:
    """Stop the leader again and again; return the gaps in seconds, sorted."""
    cluster = control_cluster.LocalCluster(3, folder, SEED)
    await cluster.start()
    gaps_s = []
    for number in range(FAILOVERS_QUICK if quick else FAILOVERS):
        await cluster.propose(ids.OperationId(f"before-{number}"), b"before")
        leader = await cluster.leader()
        started = time.perf_counter()
        await cluster.stop_replica(leader)
        await cluster.propose(ids.OperationId(f"after-{number}"), b"after")
        gaps_s.append(time.perf_counter() - started)
        await cluster.start()
    await cluster.stop()
    return sorted(gaps_s)


async def measure_restart(folder: pathlib.Path, quick: bool) -> list[float]:
    """Restart all replicas on many changes; return the times in seconds, sorted."""
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


def folder_bytes(path: pathlib.Path) -> int:
    """Return the size of all files under a folder in bytes."""
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
        0 where the targets of fail-over and restart were met, else 1.
    """
    report = asyncio.run(run(quick))
    text = msgspec.json.encode(report)
    print((text if json else msgspec.json.format(text, indent=2)).decode())
    return 0 if report.is_met else 1
