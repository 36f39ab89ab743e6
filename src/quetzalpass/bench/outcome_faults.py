"""Faults that ``bench outcomes`` causes throughout a run."""

import asyncio
import random

from quetzalpass import ids
from quetzalpass.bench import local_cluster, outcome_records
from quetzalpass.control import proposers
from quetzalpass.results import codes, failures
from quetzalpass.standin import faults

INTERVAL_S = 0.25
DOWN_S = 1.0
KILL_INTERVAL_S = 1.5
RECLAIM_NOTICE_S = 2.0
QUORUM_LOST_S = 0.4
COMMIT_S = 0.003
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


class FaultyGroup(proposers.Proposer):
    """A ledger group that takes time to commit and loses its quorum.

    Attributes
    ----------
    lost_until_s : float
        Loop time until which proposals fail; half of them after their commit.
    """

    def __init__(self, group: proposers.Proposer, rng: random.Random) -> None:
        self.group = group
        self.rng = rng
        self.lost_until_s = 0.0

    async def propose(self, session, operation, command):
        """Commit after a delay, or fail before or after the commit."""
        await asyncio.sleep(COMMIT_S)
        lost = asyncio.get_running_loop().time() < self.lost_until_s
        if lost and self.rng.random() < 0.5:
            return no_quorum()
        answer = await self.group.propose(session, operation, command)
        return no_quorum() if lost else answer


def no_quorum():
    """Return the failure of a proposal without a quorum."""
    return proposers.result.Failure(
        failures.Failure(codes.Code.NO_QUORUM, "no majority answered")
    )


class FaultInjector:
    """Causes faults of all kinds in turn until it is cancelled.

    Parameters
    ----------
    cluster : local_cluster.LocalCluster
        What the faults hit.
    rng : random.Random
        Chooses them.

    Attributes
    ----------
    caused : outcome_records.Faults
        How many of each kind.
    """

    def __init__(self, cluster: local_cluster.LocalCluster, rng: random.Random) -> None:
        self.cluster = cluster
        self.rng = rng
        self.caused = outcome_records.Faults()

    async def run(self) -> None:
        """Cause small faults often and kill something now and then."""
        await asyncio.gather(
            self.break_links(), self.kill_programs(), self.restart_crashed()
        )

    async def restart_crashed(self) -> None:
        """Start engines and services anew that a request has crashed."""
        standins = (*self.cluster.engines, *self.cluster.services)
        while True:
            dead = [each for each in standins if each.runner is None]
            await asyncio.sleep(2 * DOWN_S)
            for standin in dead:
                if standin.runner is None:
                    await standin.start()

    async def break_links(self) -> None:
        """Cause faults of links, tokens, starts, calls and quorums in turn."""
        while True:
            for strike in (
                self.silence_link,
                self.break_link,
                self.cross_tokens,
                self.fail_start,
                self.fail_call,
                self.lose_quorum,
            ):
                await asyncio.sleep(INTERVAL_S)
                strike()

    def engine(self) -> local_cluster.LocalStandin | None:
        """Return a random engine that runs."""
        return self.alive(self.cluster.engines)

    def alive(
        self, standins: list[local_cluster.LocalStandin]
    ) -> local_cluster.LocalStandin | None:
        """Return a random one of the stand-ins that run."""
        found = [each for each in standins if each.runner is not None]
        return self.rng.choice(found) if found else None

    def strike_engine(self, kind: faults.FaultKind) -> bool:
        """Switch a fault on at an engine; return whether one runs."""
        engine = self.engine()
        if engine is None:
            return False
        engine.add_fault(kind, at_offset=self.rng.randrange(MAX_OFFSET))
        return True

    def silence_link(self) -> None:
        """Let a stream go silent for good."""
        self.caused.links_silenced += self.strike_engine(KIND.SILENCE)

    def break_link(self) -> None:
        """Close a stream early."""
        kind = self.rng.choice(BROKEN_LINKS)
        self.caused.links_broken += self.strike_engine(kind)

    def cross_tokens(self) -> None:
        """Send wrong offsets or the id of another generation."""
        kind = self.rng.choice(CROSSED_TOKENS)
        self.caused.tokens_crossed += self.strike_engine(kind)

    def fail_start(self) -> None:
        """Let a generation fail before its first token."""
        kind = self.rng.choice(FAILED_STARTS)
        self.caused.starts_failed += self.strike_engine(kind)

    def fail_call(self) -> None:
        """Let a call of the plain service fail before or after it ran."""
        service = self.alive(self.cluster.services)
        if service is not None:
            service.add_fault(self.rng.choice(FAILED_CALLS))
            self.caused.calls_failed += 1

    def lose_quorum(self) -> None:
        """Take the quorum of one ledger group away for a while."""
        now_s = asyncio.get_running_loop().time()
        group = self.rng.choice(self.cluster.ledger_proposers)
        group.lost_until_s = now_s + QUORUM_LOST_S
        self.caused.quorums_lost += 1

    async def kill_programs(self) -> None:
        """Kill, reclaim and drain programs in turn."""
        while True:
            for strike in (
                self.kill_engine,
                self.kill_gateway,
                self.drain_gateway,
                self.kill_service,
                self.reclaim_engine,
            ):
                await asyncio.sleep(KILL_INTERVAL_S)
                await strike()

    async def kill_engine(self) -> None:
        """Kill an engine without notice."""
        engine = self.engine()
        if engine is not None and self.spare(self.cluster.engines):
            self.caused.engines_killed += 1
            await self.restart(engine)

    async def reclaim_engine(self) -> None:
        """Kill an engine whose VM the platform takes away at short notice."""
        engine = self.engine()
        if engine is None or not self.spare(self.cluster.engines):
            return
        self.caused.engines_reclaimed += 1
        self.cluster.reclaimed_vms = frozenset((ids.VmId(f"vm-{engine.config.id}"),))
        self.cluster.declare()
        await asyncio.sleep(RECLAIM_NOTICE_S)
        await self.restart(engine)
        self.cluster.reclaimed_vms = frozenset()
        self.cluster.declare()

    async def kill_service(self) -> None:
        """Kill a plain service."""
        service = self.alive(self.cluster.services)
        if service is not None and self.spare(self.cluster.services):
            self.caused.services_killed += 1
            await self.restart(service)

    def spare(self, standins: list[local_cluster.LocalStandin]) -> bool:
        """Return whether more than one stand-in of a kind runs."""
        return sum(each.runner is not None for each in standins) > 1

    async def kill_gateway(self) -> None:
        """Kill a gateway with all that it remembers."""
        self.caused.gateways_killed += 1
        await self.restart(self.rng.choice(self.cluster.gateways))

    async def drain_gateway(self) -> None:
        """Shut a gateway down gracefully and start it anew."""
        gateway = self.rng.choice(self.cluster.gateways)
        self.caused.gateways_drained += 1
        await gateway.gateway.drain()
        await self.restart(gateway)

    async def restart(self, program: local_cluster.Program) -> None:
        """Kill a program and start it anew after a while."""
        program.kill()
        await asyncio.sleep(DOWN_S)
        if program.runner is None:
            await program.start()
