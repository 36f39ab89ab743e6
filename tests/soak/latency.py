"""Time that a gateway adds to service calls: real programs, a steady load, loopback.

Run by hand with ``make latency``; each pair of calls goes to a replica directly and
through a gateway, in turns, so that both meet the same machine.
"""

import asyncio
import pathlib
import statistics
import sys
import tempfile
import uuid

from platform_standin import standin
from soak import soak

CALLS_PER_S = 50.0
P99_INDEX = 98
MS_PER_S = 1000


async def timed_call(host, port, data):
    """Send one request on a connection of its own; return its time in ms."""
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(data)
        answer = await standin.read_message(reader)
    finally:
        writer.close()
    assert answer.status == soak.STATUS_OK, answer.first_line
    return (loop.time() - begun_s) * MS_PER_S


def call_bytes(name):
    request_id = uuid.uuid4().hex[:16]
    return standin.request_bytes(
        "/once/x", [f"X-Target-Instance: {name}"], b"body", request_id=request_id
    )


async def measure(running, seconds):
    """Return the times of direct calls and of calls through a gateway, in ms."""
    direct, relayed = [], []
    replica = next(
        each for each in running.fleet.replicas.values() if each.service == "ledger"
    )
    gateway = running.cluster.gateways[0]
    for _ in range(int(seconds * CALLS_PER_S)):
        link = replica.link
        data = call_bytes(replica.name)
        direct.append(await timed_call(link.target_host, link.target_port, data))
        port = running.ports.front
        relayed.append(await timed_call(gateway.ip, port, call_bytes(replica.name)))
        await asyncio.sleep(1.0 / CALLS_PER_S)
    return direct, relayed


async def run(seed, seconds, folder):
    async with soak.started(seed, folder) as running:
        return await measure(running, seconds)


def main():
    """Print the medians and the 99th percentiles."""
    seed, seconds = (int(each) for each in sys.argv[1:])
    folder = pathlib.Path(tempfile.mkdtemp(prefix="latency-"))
    direct, relayed = asyncio.run(run(seed, seconds, folder))
    for name, times in (("direct", direct), ("through a gateway", relayed)):
        p99 = statistics.quantiles(times, n=100)[P99_INDEX]
        print(f"{name}: p50 {statistics.median(times):.2f} ms, p99 {p99:.2f} ms")
    p50 = statistics.median(relayed) - statistics.median(direct)
    print(f"added at the median: {p50:.2f} ms, of {len(relayed)} calls")


if __name__ == "__main__":
    main()
