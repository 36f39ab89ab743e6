"""``bench outcomes``: what callers get while everything fails.

Mixed requests go through three gateways to stand-in engines and services, over
loopback sockets in one process. Engines, services and gateways are killed, links
silenced and quorums lost throughout. The verdict comes from what the callers and the
stand-ins saw, never from the gateways' own counters.
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
        Requests besides the crashing ones.
    seed : int
        Seed of requests, faults and gateways.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.count = count
        self.rng = random.Random(seed)
        self.runs = outcome_records.Runs()
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
                local_cluster.organisation_of(
                    "org", requests_per_s=1e6, burst_requests=100_000
                ),
            ),
            resumes_across_replicas=True,
        )
        self.cluster.ledger_proposers = [
            outcome_faults.FaultyGroup(each, self.rng)
            for each in self.cluster.ledger_proposers
        ]
        self.injector = outcome_faults.FaultInjector(self.cluster, self.rng)

    async def run(self) -> outcome_records.OutcomesReport:
        """Run the benchmark and return its report."""
        for standin in (*self.cluster.engines, *self.cluster.services):
            standin.observe(self.runs)
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
        return outcome_records.report_of(
            self.requests, self.runs, self.claim_latencies_ms, self.injector.caused
        )

    async def measure_claims(self) -> None:
        """Compare claimed calls with plain ones, in pairs, before the faults begin."""
        loop = asyncio.get_running_loop()
        for number in range(CLAIM_PAIRS):
            times_s = []
            for kind in (KIND.LOOK_UP, KIND.FILING):
                request = self.new_request(kind, f"{kind.value}-pair-{number}")
                before_s = loop.time()
                await self.caller(request).run()
                times_s.append(loop.time() - before_s)
            added_s = times_s[1] - times_s[0]
            self.claim_latencies_ms.append(added_s * outcome_records.MS_PER_S)

    def new_request(self, kind, text: str) -> outcome_records.Request:
        """Return a request that is part of the verdict."""
        request = outcome_records.Request(kind, len(self.requests), text, [])
        self.requests.append(request)
        return request

    def caller(self, request: outcome_records.Request) -> outcome_callers.Caller:
        """Return the caller of a request."""
        return outcome_callers.Caller(self.cluster, request, self.runs, self.rng)

    def make_callers(self) -> list:
        """Return the work of all callers, of which some run at a time."""
        kinds = self.rng.choices(list(WEIGHTS), list(WEIGHTS.values()), k=self.count)
        turns = asyncio.Semaphore(CONCURRENCY)
        return [self.run_in_turn(turns, kind) for kind in kinds]

    async def run_in_turn(self, turns: asyncio.Semaphore, kind) -> None:
        """Run one caller when its turn comes."""
        async with turns:
            number = len(self.requests)
            text = f"{kind.value}-{number}"
            if kind in outcome_records.GENERATIONS:
                text = f"{text} [tokens={self.rng.randint(10, 100)}]"
            await self.caller(self.new_request(kind, text)).run()

    async def send_crashing(self) -> None:
        """Send each crashing request several times, through any gateway."""
        for number in range(CRASHING_REQUESTS):
            marker = f"crashing-{number}"
            for engine in self.cluster.engines:
                engine.standing_faults.append(
                    faults.Fault(
                        faults.FaultKind.CRASH, times=CRASH_TIMES, marker=marker
                    )
                )
                if engine.runner is not None:
                    engine.server.plan.add(engine.standing_faults[-1])
            self.injector.caused.crashing_requests += 1
            for _ in range(CRASHING_SENDS):
                request = self.new_request(KIND.CRASHING, f"{marker} [tokens=20]")
                await self.caller(request).run()
                await asyncio.sleep(CRASHING_PAUSE_S)

    async def exchange_suspect_reports(self) -> None:
        """Spread suspect reports and usage between the gateways, as the daemons do."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            alive = [
                each.gateway
                for each in self.cluster.gateways
                if each.runner is not None
            ]
            for sender in alive:
                suspect_reports = sender.quarantine.suspect_reports_since(0)
                for receiver in alive:
                    if receiver is not sender:
                        receiver.quarantine.merge(suspect_reports)


def run(quick: bool, seed: int = SEED) -> outcome_records.OutcomesReport:
    """Run the benchmark.

    Parameters
    ----------
    quick : bool
        Fewer requests, the same faults and checks.
    seed : int
        Seed of requests, faults and gateways.

    Returns
    -------
    OutcomesReport
        Figures and the targets that were missed.
    """
    # aiohttp logs each connection that a killed program leaves behind.
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
