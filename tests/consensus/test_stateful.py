import asyncio
import os

import looptime
import pytest
from hypothesis import settings, stateful, strategies
from returns import result

from fakes import clusters
from quetzalpass import ids

IS_LONG = os.environ.get("QUETZALPASS_FUZZ_PROFILE") == "long"
VMS = strategies.integers(min_value=0, max_value=2)


class ConsensusMachine(stateful.RuleBasedStateMachine):
    """Checks three replicas against the positions of all acknowledged commands."""

    snapshot_every = 9

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.acknowledged = {}
        self.sent = 0
        self.may_wipe = True
        self.pending = []

    def run(self, work):
        return self.loop.run_until_complete(work)

    @stateful.initialize(seed=strategies.integers(min_value=0, max_value=99))
    def begin(self, seed):
        self.cluster = clusters.Cluster(3, seed, snapshot_every=self.snapshot_every)
        self.vms = self.cluster.vms
        self.run(self.cluster.start_all())
        self.run(self.cluster.leader())

    @stateful.rule(count=strategies.integers(min_value=1, max_value=12), vm=VMS)
    def propose(self, count, vm):
        self.run(self.send_commands(count, self.vms[vm]))

    async def send_commands(self, count, preferred):
        leaders = self.cluster.leaders()
        target = preferred if preferred in leaders else next(iter(leaders), None)
        for _ in range(count if target else 0):
            self.sent += 1
            command = ids.OperationId(f"{self.sent}")
            task = asyncio.create_task(self.propose_once(target, command))
            self.pending.append(task)
        await asyncio.sleep(0.004)

    async def propose_once(self, target, operation):
        command = operation.encode()
        outcome = await self.cluster.groups[target].propose("c", operation, command)
        if isinstance(outcome, result.Success):
            self.record_outcome(outcome.unwrap())

    def record_outcome(self, outcome):
        position, _, command = outcome.partition(b":")
        assert self.acknowledged.setdefault(command, int(position)) == int(position)

    @stateful.rule(operation=strategies.integers(min_value=1, max_value=40))
    def resend(self, operation):
        leaders = self.cluster.leaders()
        if operation <= self.sent and leaders:
            self.run(self.propose_once(leaders[0], ids.OperationId(f"{operation}")))

    @stateful.rule(vm=VMS)
    def crash(self, vm):
        if self.vms[vm] in self.cluster.groups:
            self.run(self.cluster.crash(self.vms[vm]))

    @stateful.rule()
    def restart(self):
        self.run(self.start_missing())

    async def start_missing(self):
        for vm in self.vms:
            if vm not in self.cluster.groups:
                (await self.cluster.start(vm)).unwrap()

    @stateful.rule(vm=VMS, inbound=strategies.booleans())
    def isolate(self, vm, inbound):
        if self.vms[vm] in self.cluster.groups:
            self.cluster.network.isolate(self.vms[vm], inbound=inbound)

    @stateful.rule()
    def heal(self):
        self.cluster.network.heal()

    @stateful.rule(jitter_ms=strategies.sampled_from([0, 5, 400]))
    def set_network_jitter(self, jitter_ms):
        self.cluster.network.jitter_s = jitter_ms / 1000
        self.cluster.network.duplicate_rate = 0.2 if jitter_ms else 0.0

    @stateful.rule()
    def transfer_leadership(self):
        for vm in self.cluster.leaders():
            self.run(self.cluster.groups[vm].transfer_leadership())

    @stateful.rule(vm=VMS)
    def wipe(self, vm):
        # Another disk may be wiped only once all replicas are voters again.
        if self.vms[vm] in self.cluster.groups and self.all_are_voters():
            self.run(self.cluster.wipe(self.vms[vm]))

    def all_are_voters(self):
        for vm in self.vms:
            running = self.cluster.groups.get(vm)
            if running is None:
                return False
            own_log = running.replica.log
            is_committed = own_log.configuration_index <= running.replica.commit_index
            if not (running.replica.is_voter and is_committed):
                return False
        return True

    @stateful.rule(wait_ms=strategies.sampled_from([3, 50, 700, 3000]))
    def advance_time(self, wait_ms):
        self.run(asyncio.sleep(wait_ms / 1000))

    @stateful.invariant()
    def logs_agree(self):
        if not hasattr(self, "cluster"):
            return
        lists = [self.cluster.items(vm) for vm in self.cluster.groups]
        longest = max(lists, key=len, default=[])
        assert all(items == longest[: len(items)] for items in lists)
        for running in self.cluster.groups.values():
            assert running.replica.failure is None
        assert self.run(self.count_leases()) <= 1

    async def count_leases(self):
        groups = self.cluster.groups.values()
        return sum(running.is_leader_with_lease() for running in groups)

    def teardown(self):
        try:
            if hasattr(self, "cluster"):
                self.run(self.finish())
        finally:
            asyncio.set_event_loop(None)
            self.loop.close()

    def all_take_part(self):
        """Return whether a leader knows that all hold its log on disks that work."""
        for vm in self.cluster.leaders():
            current = self.cluster.groups[vm].leadership
            last_index = current.replica.log.last_index
            matches = [peer.match_index for peer in current.peers.values()]
            is_held = [*matches, current.synced_index] == [last_index] * 3
            groups = self.cluster.groups.values()
            if is_held and not any(each.health.is_failing for each in groups):
                return True
        return False

    async def finish(self):
        self.cluster.network.heal()
        self.cluster.network.jitter_s = 0.0
        await self.start_missing()
        await self.cluster.propose(b"end", attempts=50)
        items = self.cluster.items(await self.cluster.leader())
        await self.cluster.until_all_hold(items)
        await self.cluster.until(self.all_take_part)
        for task in self.pending:
            task.cancel()
        outcomes = await asyncio.gather(*self.pending, return_exceptions=True)
        await self.cluster.stop()
        assert not [outcome for outcome in outcomes if isinstance(outcome, Exception)]
        assert len(items) == len(set(items))
        for command, position in self.acknowledged.items():
            assert items[position - 1] == command


TestConsensusMachine = ConsensusMachine.TestCase
if IS_LONG:
    TestConsensusMachine = pytest.mark.long(TestConsensusMachine)
TestConsensusMachine.settings = settings(
    derandomize=not IS_LONG,
    deadline=None,
    max_examples=400 if IS_LONG else 25,
    stateful_step_count=40 if IS_LONG else 25,
)
