"""Latency that a gateway adds to service calls, with real processes on loopback.

Run manually with ``make latency``. Calls go to a replica alternately directly and
through a gateway, at a constant rate, so that both are measured under the same load.
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
    """Send one request on a new connection; return its latency in ms."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(data)
        response = await standin.read_message(reader)
    finally:
        writer.close()
    assert response.status == soak.STATUS_OK, response.first_line
    return (loop.time() - started_s) * MS_PER_S


def call_bytes(name):
    request_id = uuid.uuid4().hex[:16]
    return standin.request_bytes(
        "/once/x", [f"X-Target-Instance: {name}"], b"body", request_id=request_id
    )


async def measure(running, seconds):
    """Return the latencies of direct calls and of calls through a gateway in ms."""
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
    async with soak.running_soak(seed, folder) as running:
        return await measure(running, seconds)


def main():
    """Print the median and 99th percentile of both kinds of calls."""
    seed, seconds = (int(each) for each in sys.argv[1:])
    folder = pathlib.Path(tempfile.mkdtemp(prefix="latency-"))
    direct, relayed = asyncio.run(run(seed, seconds, folder))
    for name, times in (("direct", direct), ("through a gateway", relayed)):
        p99 = statistics.quantiles(times, n=100)[P99_INDEX]
        print(f"{name}: p50 {statistics.median(times):.2f} ms, p99 {p99:.2f} ms")
    p50 = statistics.median(relayed) - statistics.median(direct)
    print(f"difference of the medians: {p50:.2f} ms, {len(relayed)} calls each")


if __name__ == "__main__":
    main()
