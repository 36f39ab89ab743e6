"""Fault injection during a run of ``bench outcomes``."""

import asyncio
import random

from quetzalpass import ids
from quetzalpass.bench import local_cluster, outcome_records
from quetzalpass.control import proposers
from quetzalpass.results import codes, failures
from quetzalpass.standin import faults

INTERVAL_S = 0.25
DOWNTIME_S = 1.0
KILL_INTERVAL_S = 1.5
RECLAIM_NOTICE_S = 2.0
QUORUM_LOST_S = 0.4
COMMIT_DELAY_S = 0.003
MAX_OFFSET = 40
KIND = faults.FaultKind
BROKEN_LINKS = (KIND.CLOSE_STREAM, KIND.NO_END_MARK)
CROSSED_TOKENS = (
    KIND.REPEAT_OFFSET,
    KIND.SKIP_OFFSET,
    KIND.SWAP_OFFSETS,
    KIND.CROSSED_ID,
    KIND.RESUME_EARLY,
    KIND.RESUME_LATE,
)
FAILED_STARTS = (KIND.CLOSE_BEFORE_ANSWER, KIND.REFUSE, KIND.HANG)
FAILED_CALLS = (KIND.CLOSE_BEFORE_ANSWER, KIND.CLOSE_AFTER_RUN, KIND.REFUSE)


class FaultyProposer(proposers.Proposer):
    """A ledger group with a commit delay that can lose its quorum.

    Attributes
    ----------
    no_quorum_until_s : float
        Loop time until which all proposals fail, about half of them after they are
        committed.
    """

    def __init__(self, group: proposers.Proposer, rng: random.Random) -> None:
        self.group = group
        self.rng = rng
        self.no_quorum_until_s = 0.0

    async def propose(self, session, operation, command):
        """Commit after a delay, or fail before or after the commit."""
        await asyncio.sleep(COMMIT_DELAY_S)
        has_no_quorum = asyncio.get_running_loop().time() < self.no_quorum_until_s
        if has_no_quorum and self.rng.random() < 0.5:
            return no_quorum()
        reply = await self.group.propose(session, operation, command)
        return no_quorum() if has_no_quorum else reply


def no_quorum():
    """Return the result of a proposal without a quorum."""
    return proposers.result.Failure(
        failures.Failure(codes.Code.NO_QUORUM, "no majority answered")
    )


class FaultInjector:
    """Injects faults of all kinds in turn until it is cancelled.

    Parameters
    ----------
    cluster : local_cluster.LocalCluster
        Cluster in which faults are injected.
    rng : random.Random
        Chooses the faults and their targets.

    Attributes
    ----------
    injected : outcome_records.Faults
        Number of injected faults of each kind.
    """

    def __init__(self, cluster: local_cluster.LocalCluster, rng: random.Random) -> None:
        self.cluster = cluster
        self.rng = rng
        self.injected = outcome_records.Faults()

    async def run(self) -> None:
        """Inject link and quorum faults often, and kill programs less often."""
        await asyncio.gather(
            self.inject_faults(), self.kill_programs(), self.restart_crashed()
        )

    async def restart_crashed(self) -> None:
        """Restart engines and services that a request has crashed."""
        standins = (*self.cluster.engines, *self.cluster.services)
        while True:
            stopped = [each for each in standins if each.runner is None]
            await asyncio.sleep(2 * DOWNTIME_S)
            for standin in stopped:
                if standin.runner is None:
                    await standin.start()

    async def inject_faults(self) -> None:
        """Inject faults of links, tokens, starts, calls and quorums in turn."""
        while True:
            for inject in (
                self.silence_link,
                self.break_link,
                self.cross_tokens,
                self.fail_start,
                self.fail_call,
                self.lose_quorum,
            ):
                await asyncio.sleep(INTERVAL_S)
                inject()

    def choose_engine(self) -> local_cluster.LocalStandin | None:
        """Return a random running engine."""
        return self.choose_running(self.cluster.engines)

    def choose_running(
        self, standins: list[local_cluster.LocalStandin]
    ) -> local_cluster.LocalStandin | None:
        """Return a random running stand-in of a list."""
        running = [each for each in standins if each.runner is not None]
        return self.rng.choice(running) if running else None

    def inject_engine_fault(self, kind: faults.FaultKind) -> bool:
        """Inject a fault at a random engine; return whether one is running."""
        engine = self.choose_engine()
        if engine is None:
            return False
        engine.add_fault(kind, at_offset=self.rng.randrange(MAX_OFFSET))
        return True

    def silence_link(self) -> None:
        """Make a stream send nothing more without closing it."""
        self.injected.links_silenced += self.inject_engine_fault(KIND.SILENCE)

    def break_link(self) -> None:
        """End a stream early or without its end marker."""
        kind = self.rng.choice(BROKEN_LINKS)
        self.injected.links_broken += self.inject_engine_fault(kind)

    def cross_tokens(self) -> None:
        """Make an engine send wrong offsets or the id of another generation."""
        kind = self.rng.choice(CROSSED_TOKENS)
        self.injected.tokens_crossed += self.inject_engine_fault(kind)

    def fail_start(self) -> None:
        """Make a generation fail before its first token."""
        kind = self.rng.choice(FAILED_STARTS)
        self.injected.starts_failed += self.inject_engine_fault(kind)

    def fail_call(self) -> None:
        """Make a call of a plain service fail before or after it ran."""
        service = self.choose_running(self.cluster.services)
        if service is not None:
            service.add_fault(self.rng.choice(FAILED_CALLS))
            self.injected.calls_failed += 1

    def lose_quorum(self) -> None:
        """Make one ledger group lose its quorum for ``QUORUM_LOST_S``."""
        now_s = asyncio.get_running_loop().time()
        group = self.rng.choice(self.cluster.ledger_proposers)
        group.no_quorum_until_s = now_s + QUORUM_LOST_S
        self.injected.quorums_lost += 1

    async def kill_programs(self) -> None:
        """Kill, reclaim and drain programs in turn."""
        while True:
            for inject in (
                self.kill_engine,
                self.kill_gateway,
                self.drain_gateway,
                self.kill_service,
                self.reclaim_engine,
            ):
                await asyncio.sleep(KILL_INTERVAL_S)
                await inject()

    async def kill_engine(self) -> None:
        """Kill an engine without notice."""
        engine = self.choose_engine()
        if engine is not None and self.has_spare(self.cluster.engines):
            self.injected.engines_killed += 1
            await self.restart(engine)

    async def reclaim_engine(self) -> None:
        """Kill an engine whose VM the platform reclaims at short notice."""
        engine = self.choose_engine()
        if engine is None or not self.has_spare(self.cluster.engines):
            return
        self.injected.engines_reclaimed += 1
        self.cluster.reclaimed_vms = frozenset((ids.VmId(f"vm-{engine.config.id}"),))
        self.cluster.declare()
        await asyncio.sleep(RECLAIM_NOTICE_S)
        await self.restart(engine)
        self.cluster.reclaimed_vms = frozenset()
        self.cluster.declare()

    async def kill_service(self) -> None:
        """Kill a plain service."""
        service = self.choose_running(self.cluster.services)
        if service is not None and self.has_spare(self.cluster.services):
            self.injected.services_killed += 1
            await self.restart(service)

    def has_spare(self, standins: list[local_cluster.LocalStandin]) -> bool:
        """Return whether more than one of the stand-ins is running."""
        return sum(each.runner is not None for each in standins) > 1

    async def kill_gateway(self) -> None:
        """Kill a gateway, which loses its state in memory."""
        self.injected.gateways_killed += 1
        await self.restart(self.rng.choice(self.cluster.gateways))

    async def drain_gateway(self) -> None:
        """Drain a gateway and restart it."""
        gateway = self.rng.choice(self.cluster.gateways)
        self.injected.gateways_drained += 1
        await gateway.gateway.drain()
        await self.restart(gateway)

    async def restart(self, program: local_cluster.Program) -> None:
        """Kill a program and restart it after ``DOWNTIME_S``."""
        program.kill()
        await asyncio.sleep(DOWNTIME_S)
        if program.runner is None:
            await program.start()
