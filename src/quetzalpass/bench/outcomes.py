"""``bench outcomes``: results that callers get while components fail.

Mixed requests go through three gateways to stand-in engines and services, over
loopback sockets in one process. During the whole run engines, services and gateways
are killed, streams stall and ledger groups lose their quorum. The evaluation uses what
the callers and the stand-ins observed, never the counters of the gateways.
"""

import asyncio
import logging
import random
import sys

import logbook
import msgspec

from quetzalpass.bench import (
    local_cluster,
    outcome_callers,
    outcome_faults,
    outcome_records,
)
from quetzalpass.settings import schema
from quetzalpass.standin import faults

QUICK_REQUESTS = 900
FULL_REQUESTS = 10_000
CONCURRENCY = 60
SEED = 7
ENGINES = 6
SERVICES = 3
GATEWAYS = 3
TOKEN_S = 0.02
CRASHING_REQUESTS = 3
CRASHING_SENDS = 5
CRASH_TIMES = 1_000_000
EXCHANGE_INTERVAL_S = 0.05
CRASHING_PAUSE_S = 0.4
CLAIM_PAIRS = 100
EXIT_TARGET_MISSED = 8
LIMITS = schema.Limits(
    silent_stream_s=1.5, connect_timeout_s=1.0, caller_grace_s=5.0, body_timeout_s=10.0
)
KIND = outcome_records.Kind
WEIGHTS = {
    KIND.STREAM: 45,
    KIND.WHOLE: 15,
    KIND.LOOK_UP: 20,
    KIND.FILING: 15,
    KIND.CLAIMED_STREAM: 5,
}


class Run:
    """One run of the benchmark.

    Parameters
    ----------
    count : int
        Number of requests besides the crashing ones.
    seed : int
        Seed of requests, faults and gateways.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.count = count
        self.rng = random.Random(seed)
        self.run_counts = outcome_records.RunCounts()
        self.requests: list[outcome_records.Request] = []
        self.claim_latencies_ms: list[float] = []
        self.cluster = local_cluster.LocalCluster(
            ENGINES,
            SERVICES,
            GATEWAYS,
            LIMITS,
            seed,
            TOKEN_S,
            organisations=(
                local_cluster.make_organisation(
                    "org", requests_per_s=1e6, burst_requests=100_000
                ),
            ),
            resumes_across_replicas=True,
        )
        self.cluster.ledger_proposers = [
            outcome_faults.FaultyProposer(each, self.rng)
            for each in self.cluster.ledger_proposers
        ]
        self.injector = outcome_faults.FaultInjector(self.cluster, self.rng)

    async def run(self) -> outcome_records.OutcomesReport:
        """Run the benchmark and return its report."""
        for standin in (*self.cluster.engines, *self.cluster.services):
            standin.use_run_counts(self.run_counts)
        await self.cluster.start()
        await self.measure_claims()
        background = [
            asyncio.create_task(self.injector.run()),
            asyncio.create_task(self.exchange_suspect_reports()),
        ]
        await asyncio.gather(self.send_crashing(), *self.make_callers())
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        await self.cluster.stop()
        return outcome_records.make_report(
            self.requests,
            self.run_counts,
            self.claim_latencies_ms,
            self.injector.injected,
        )

    async def measure_claims(self) -> None:
        """Measure the latency that a claim adds, in pairs of calls, without faults."""
        loop = asyncio.get_running_loop()
        for number in range(CLAIM_PAIRS):
            times_s = []
            for kind in (KIND.LOOK_UP, KIND.FILING):
                request = self.new_request(kind, f"{kind.value}-pair-{number}")
                before_s = loop.time()
                await self.make_caller(request).run()
                times_s.append(loop.time() - before_s)
            added_s = times_s[1] - times_s[0]
            self.claim_latencies_ms.append(added_s * outcome_records.MS_PER_S)

    def new_request(self, kind, text: str) -> outcome_records.Request:
        """Create a request that is included in the evaluation."""
        request = outcome_records.Request(kind, len(self.requests), text, [])
        self.requests.append(request)
        return request

    def make_caller(self, request: outcome_records.Request) -> outcome_callers.Caller:
        """Return a caller for a request."""
        return outcome_callers.Caller(self.cluster, request, self.run_counts, self.rng)

    def make_callers(self) -> list:
        """Return coroutines of all callers; ``CONCURRENCY`` of them run at a time."""
        kinds = self.rng.choices(list(WEIGHTS), list(WEIGHTS.values()), k=self.count)
        semaphore = asyncio.Semaphore(CONCURRENCY)
        return [self.run_when_admitted(semaphore, kind) for kind in kinds]

    async def run_when_admitted(self, semaphore: asyncio.Semaphore, kind) -> None:
        """Run one caller once the semaphore admits it."""
        async with semaphore:
            number = len(self.requests)
            text = f"{kind.value}-{number}"
            if kind in outcome_records.GENERATIONS:
                text = f"{text} [tokens={self.rng.randint(10, 100)}]"
            await self.make_caller(self.new_request(kind, text)).run()

    async def send_crashing(self) -> None:
        """Send each crashing request several times, through any gateway."""
        for number in range(CRASHING_REQUESTS):
            marker = f"crashing-{number}"
            for engine in self.cluster.engines:
                engine.persistent_faults.append(
                    faults.Fault(
                        faults.FaultKind.CRASH, times=CRASH_TIMES, marker=marker
                    )
                )
                if engine.runner is not None:
                    engine.server.plan.add(engine.persistent_faults[-1])
            self.injector.injected.crashing_requests += 1
            for _ in range(CRASHING_SENDS):
                request = self.new_request(KIND.CRASHING, f"{marker} [tokens=20]")
                await self.make_caller(request).run()
                await asyncio.sleep(CRASHING_PAUSE_S)

    async def exchange_suspect_reports(self) -> None:
        """Exchange suspect reports between the gateways, as the daemons do."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            running = [
                each.gateway
                for each in self.cluster.gateways
                if each.runner is not None
            ]
            for sender in running:
                suspect_reports = sender.quarantine.suspect_reports_since(0)
                for receiver in running:
                    if receiver is not sender:
                        receiver.quarantine.merge(suspect_reports)


def run(quick: bool, seed: int = SEED) -> outcome_records.OutcomesReport:
    """Run the benchmark.

    Parameters
    ----------
    quick : bool
        Send fewer requests, with the same faults and checks.
    seed : int
        Seed of requests, faults and gateways.

    Returns
    -------
    OutcomesReport
        Figures, and the targets that were missed.
    """
    # aiohttp logs each connection that a killed program leaves open.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    with logbook.NullHandler().applicationbound():
        count = QUICK_REQUESTS if quick else FULL_REQUESTS
        return asyncio.run(Run(count, seed).run())


def outcomes(quick: bool = False, json: bool = False) -> int:
    """Run the benchmark, print the report and return the exit code."""
    report = run(quick)
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        for name, value in msgspec.structs.asdict(report).items():
            print(f"{name}: {value}")
    for missed in report.missed:
        print(f"missed: {missed}", file=sys.stderr)
    return EXIT_TARGET_MISSED if report.missed else 0
