"""Consumers of plain calls, as a process of its own.

Usage: ``load.py PATH CONCURRENT SECONDS ADDRESS...``. Each of ``CONCURRENT`` consumers
sends one call after the other, each with a body of its own.
"""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig3 import http1, lab  # noqa: E402

TIMEOUT_S = 6.0


async def consume(number, path, addresses, ends_s, counts):
    """Send calls until a time."""
    call = 0
    while time.monotonic() < ends_s:
        call += 1
        request_id = f"load-{number}-{call}"
        address = addresses[(number + call) % len(addresses)]
        data = lab.request_bytes(path, request_id, body=request_id.encode())
        answer = await http1.call(address, data, TIMEOUT_S)
        is_answer = isinstance(answer, http1.Message)
        counts[answer.status if is_answer else type(answer).__name__] += 1
        if not is_answer or answer.status != 200:
            await asyncio.sleep(0.2)


async def main():
    """Run all consumers."""
    path, concurrent, seconds, *addresses = sys.argv[1:]
    print("ready", flush=True)
    counts = collections.Counter()
    ends_s = time.monotonic() + float(seconds)
    await asyncio.gather(
        *(
            consume(number, path, addresses, ends_s, counts)
            for number in range(int(concurrent))
        )
    )
    print(dict(counts), flush=True)


asyncio.run(main())
