"""The state machine of an open group, whose members are replaced for good."""

import asyncio

import pytest
from hypothesis import settings, stateful, strategies

from consensus import test_stateful
from fakes import clusters, disks
from quetzalpass import ids

VOTERS = 3
# A member that is gone gives way after 3 s, to a learner that holds everything.
REPAIR_S = 6.0


class OpenGroupMachine(test_stateful.ConsensusMachine):
    """Three machines of which one at a time may be replaced by one nobody named."""

    @stateful.initialize(seed=strategies.integers(min_value=0, max_value=9_999))
    def begin(self, seed):
        self.cluster = clusters.Cluster(
            VOTERS, seed, snapshot_every=9, open_voters=VOTERS
        )
        self.vms = self.cluster.vms
        self.run(self.cluster.start_all())
        self.run(self.cluster.leader())

    @stateful.rule(vm=test_stateful.VMS)
    def replace(self, vm):
        # As with disks: the next machine may go once the newcomer is a voter.
        if self.vms[vm] in self.cluster.groups and self.all_are_voters():
            self.run(self.put_in_place_of(vm))

    async def put_in_place_of(self, vm):
        await self.cluster.crash(self.vms[vm])
        newcomer = ids.VmId(f"vm-{self.cluster.start_count + 100}")
        self.cluster.disks[newcomer] = disks.FakeDisk()
        self.vms[vm] = newcomer
        self.name_seeds(self.vms)
        (await self.cluster.start(newcomer)).unwrap()

    @stateful.rule(vm=test_stateful.VMS)
    def replace_and_wait(self, vm):
        """Replace a machine and wait for the repair, so that a second loss follows."""
        self.replace(vm)
        self.heal()
        self.run(self.start_missing())
        self.run(asyncio.sleep(REPAIR_S))

    @stateful.rule()
    def power_off_all(self):
        for vm in list(self.cluster.groups):
            self.run(self.cluster.crash(vm))
        self.run(self.start_missing())

    @stateful.rule(kept=test_stateful.VMS)
    def exchange_seeds(self, kept):
        """Name one machine that is there and two that are gone."""
        self.name_seeds([self.vms[kept], ids.VmId("gone-1"), ids.VmId("gone-2")])

    def name_seeds(self, vms):
        """Change the settings of all machines, of running ones too."""
        self.cluster.seeds = list(vms)
        for running in self.cluster.groups.values():
            running.set_seeds(sorted(vms))

    async def finish(self):
        self.name_seeds(self.vms)
        await super().finish()


TestOpenGroupMachine = OpenGroupMachine.TestCase
if test_stateful.LONG:
    TestOpenGroupMachine = pytest.mark.long(TestOpenGroupMachine)
TestOpenGroupMachine.settings = settings(
    derandomize=not test_stateful.LONG,
    deadline=None,
    max_examples=200 if test_stateful.LONG else 20,
    stateful_step_count=40 if test_stateful.LONG else 25,
)
