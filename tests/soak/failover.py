"""Time from the kill of the leading control node to the next acknowledged order.

Run by hand with ``make failover``: real programs on loopback, one kill after the other.
"""

import asyncio
import pathlib
import re
import signal
import statistics
import sys
import tempfile

from soak import soak

LED = re.compile(rb"became leader in term (\d+)")
REPAIR_S = 2.0
RETRY_S = 0.02
MS_PER_S = 1000
P99_INDEX = 98


def leader_of(cluster):
    """Return the control node whose log tells of the highest term that it led."""

    def last_term(node):
        logs = sorted(node.folder.glob("log-*"))
        terms = [int(term) for log in logs for term in LED.findall(log.read_bytes())]
        return max(terms, default=0)

    return max(cluster.controls, key=last_term)


async def lose_leader(running):
    """Kill the leader; return the time until the next order is acked, in ms."""
    loop = asyncio.get_running_loop()
    leader = leader_of(running.cluster)
    await leader.end(signal.SIGKILL)
    begun_s = loop.time()
    while not await running.publish():
        await asyncio.sleep(RETRY_S)
    took_ms = (loop.time() - begun_s) * MS_PER_S
    await leader.start()
    await asyncio.sleep(REPAIR_S)
    return took_ms


async def run(seed, count, folder):
    async with soak.started(seed, folder) as running:
        times = []
        for number in range(1, count + 1):
            times.append(await lose_leader(running))
            print(f"{number}: {times[-1]:.0f} ms", flush=True)
        return times


def main():
    """Print the median, the 99th percentile and the longest of the times."""
    seed, count = (int(each) for each in sys.argv[1:])
    folder = pathlib.Path(tempfile.mkdtemp(prefix="failover-"))
    times = sorted(asyncio.run(run(seed, count, folder)))
    p99 = statistics.quantiles(times, n=100, method="inclusive")[P99_INDEX]
    print(
        f"{count} leaders lost; next order acked after p50 "
        f"{statistics.median(times):.0f} ms, p99 {p99:.0f} ms, most {times[-1]:.0f} ms"
    )


if __name__ == "__main__":
    main()
