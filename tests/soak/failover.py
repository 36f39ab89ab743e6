"""Time from killing the leader of the control nodes to the next acknowledged request.

Run manually with ``make failover``: real processes on loopback, one kill at a time.
"""

import asyncio
import pathlib
import re
import signal
import statistics
import sys
import tempfile

from soak import soak

LEADER_PATTERN = re.compile(rb"Became leader in term (\d+)")
RECOVERY_S = 2.0
RETRY_S = 0.02
MS_PER_S = 1000
P99_INDEX = 98


def find_leader(cluster):
    """Return the control node that has logged the highest term as leader."""

    def last_term(node):
        logs = sorted(node.folder.glob("log-*"))
        terms = [
            int(term)
            for log in logs
            for term in LEADER_PATTERN.findall(log.read_bytes())
        ]
        return max(terms, default=0)

    return max(cluster.controls, key=last_term)


async def kill_leader(running):
    """Kill the leader; return the time to the next acknowledged request in ms."""
    loop = asyncio.get_running_loop()
    leader = find_leader(running.cluster)
    await leader.stop(signal.SIGKILL)
    started_s = loop.time()
    while not await running.publish():
        await asyncio.sleep(RETRY_S)
    elapsed_ms = (loop.time() - started_s) * MS_PER_S
    await leader.start()
    await asyncio.sleep(RECOVERY_S)
    return elapsed_ms


async def run(seed, count, folder):
    async with soak.running_soak(seed, folder) as running:
        times = []
        for number in range(1, count + 1):
            times.append(await kill_leader(running))
            print(f"{number}: {times[-1]:.0f} ms", flush=True)
        return times


def main():
    """Print the median, 99th percentile and maximum of the failover times."""
    seed, count = (int(each) for each in sys.argv[1:])
    folder = pathlib.Path(tempfile.mkdtemp(prefix="failover-"))
    times = sorted(asyncio.run(run(seed, count, folder)))
    p99 = statistics.quantiles(times, n=100, method="inclusive")[P99_INDEX]
    print(
        f"{count} leaders killed; next request acknowledged after p50 "
        f"{statistics.median(times):.0f} ms, p99 {p99:.0f} ms, max {times[-1]:.0f} ms"
    )


if __name__ == "__main__":
    main()
