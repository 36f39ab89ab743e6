"""Soak test of replicas that send bytes without end until a gateway closes.

Two gateways and three control nodes run as processes. Callers send calls and drafts,
and now and then many at once. For some seconds one replica of each service, or all of
them, answer with bytes without end. Run manually with
``make soak-endless SEED=1 COUNT=6 SECONDS=12``.
"""

import asyncio
import pathlib

from platform_standin import standin
from soak import backends, soak

BLOCK = b"x" * 65_536
# A gateway of the platform has 150 MB, of the large installations 128 MB.
MAX_MEMORY_KIB = 128_000_000 // 1024
CALM_S = 3.0
AFTER_S = 10.0
REQUESTS_PER_S = 10
BURST_REQUESTS = 60
BURST_INTERVAL_S = 4.0
KINDS = ("reads", "once", "drafts")
# Goal: what is served again once the replicas are sound and have been tried again.
MIN_SHARE_AFTER = 0.5
FLOODS = ("chunks", "until the end", "events", "one event", "head")


class EndlessReplica:
    """Makes a replica answer with bytes without end.

    Parameters
    ----------
    flood : str
        What it sends.
    interval_s : float
        Pause between two blocks, in seconds.
    """

    def __init__(self, flood, interval_s):
        self.flood = flood
        self.interval_s = interval_s

    async def answer(self, request, writer):
        head = standin.stream_head(request)
        if self.flood == "head":
            head = head.removesuffix(b"\r\n") + b"X-Long: "
        if self.flood == "until the end":
            head = head.replace(b"Transfer-Encoding: chunked\r\n", b"")
        writer.write(head)
        number = 0
        while True:
            number += 1
            writer.write(self.block(number))
            await writer.drain()
            await asyncio.sleep(self.interval_s)

    def block(self, number):
        if self.flood in ("head", "until the end"):
            return BLOCK
        if self.flood == "events":
            return standin.chunk(backends.event(number) + b": " + BLOCK + b"\n\n")
        start = b"id: 1\ndata: " if self.flood == "one event" and number == 1 else b""
        return standin.chunk(start + BLOCK)


class EndlessSoak(soak.Soak):
    """One run; the seed chooses what is sent, how fast and by how many replicas."""

    def __init__(self, seed, folder, gateways=2):
        super().__init__(seed, folder, gateways)
        self.flood = FLOODS[seed % len(FLOODS)]
        self.are_all = self.rng.random() < 0.5
        self.interval_s = self.rng.choice((0.005, 0.02))
        self.late_responses = []
        self.peak_kib = 0

    async def run(self, seconds):
        await self.start()
        self.pids = [each.process.pid for each in self.cluster.gateways]
        stop = asyncio.Event()
        sending = asyncio.create_task(self.send_repeatedly(stop))
        bursts = asyncio.create_task(self.send_bursts(stop))
        await asyncio.sleep(CALM_S)
        flooding = self.choose_replicas()
        endless = EndlessReplica(self.flood, self.interval_s)
        for each in flooding:
            each.endless = endless
        await asyncio.sleep(seconds)
        for each in flooding:
            each.endless = None
        await asyncio.sleep(AFTER_S / 2)
        before = len(self.responses)
        await asyncio.sleep(AFTER_S / 2)
        stop.set()
        await asyncio.gather(sending, bursts)
        await self.finish_tasks()
        self.late_responses = self.responses[before:]
        self.check_memory()
        self.check_served()
        await self.check_invariants()

    def choose_replicas(self):
        replicas = list(self.fleet.replicas.values())
        if self.are_all:
            return replicas
        first = {each.service: each for each in reversed(replicas)}
        return list(first.values())

    async def send_repeatedly(self, stop):
        while not stop.is_set():
            self.spawn(self.send_one())
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def send_bursts(self, stop):
        while not stop.is_set():
            for _ in range(BURST_REQUESTS):
                self.spawn(self.send_one())
            await asyncio.sleep(BURST_INTERVAL_S)

    async def send_one(self):
        caller = soak.Caller(self, gateway=self.rng.choice(self.cluster.gateways))
        await self.send(self.rng.choice(KINDS), caller)
        caller.close()

    def check_response(self, kind, request_id, body, response):
        # A stream of a replica without end is not the one that the base class expects.
        if self.flood == "events" and kind == "drafts":
            return
        super().check_response(kind, request_id, body, response)

    def check_memory(self):
        """Check that no gateway ended, and how much memory each took at most."""
        self.peak_kib = max(peak_memory_kib(pid) for pid in self.pids)
        for node, pid in zip(self.cluster.gateways, self.pids, strict=True):
            if node.process.returncode is not None or node.process.pid != pid:
                raise self.violation(f"{node.ip} has ended", "")
        if self.peak_kib > MAX_MEMORY_KIB:
            raise self.violation(f"too much memory: {self.summary()}", "")

    def check_served(self):
        served = sum(status == soak.STATUS_OK for _, _, status in self.late_responses)
        if served < MIN_SHARE_AFTER * len(self.late_responses):
            raise self.violation(
                f"only {served} of {len(self.late_responses)} are served afterwards", ""
            )

    def summary(self):
        who = "all" if self.are_all else "one of each service"
        return (
            f"{self.flood}, {who}, a block each {self.interval_s} s; "
            f"{self.peak_kib} KiB at most; {super().summary()}"
        )


def peak_memory_kib(pid):
    """Return the most memory that a process has had, or 0 once it has ended."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except FileNotFoundError:
        return 0
    return next((int(e.split()[1]) for e in lines if e.startswith("VmHWM:")), 0)


async def run_seed(seed, seconds, folder, **options):
    """Run one seed, stop its processes and return the finished soak test."""
    return await soak.run_to_end(EndlessSoak(seed, folder, **options), seconds)


if __name__ == "__main__":
    soak.run_seeds("soak-endless", run_seed)
