"""The stateful test for open groups, whose members can be replaced permanently."""

import asyncio

import pytest
from hypothesis import settings, stateful, strategies

from consensus import test_stateful
from fakes import clusters, disks
from quetzalpass import ids

VOTERS = 3
# A lost member is replaced after 3 s by a learner that has all entries.
REPAIR_S = 6.0


class OpenGroupMachine(test_stateful.ConsensusMachine):
    """Checks three replicas, of which one at a time may be replaced by a new VM."""

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
        # As for disks: another VM may be replaced only once the new one is a voter.
        if self.vms[vm] in self.cluster.groups and self.all_are_voters():
            self.run(self.start_replacement(vm))

    async def start_replacement(self, vm):
        await self.cluster.crash(self.vms[vm])
        new_vm = ids.VmId(f"vm-{self.cluster.start_count + 100}")
        self.cluster.disks[new_vm] = disks.FakeDisk()
        self.vms[vm] = new_vm
        self.set_seeds(self.vms)
        (await self.cluster.start(new_vm)).unwrap()

    @stateful.rule(vm=test_stateful.VMS)
    def replace_and_wait(self, vm):
        """Replace a VM and wait for the repair, so that another loss may follow."""
        self.replace(vm)
        self.heal()
        self.run(self.start_missing())
        self.run(asyncio.sleep(REPAIR_S))

    @stateful.rule()
    def crash_all(self):
        for vm in list(self.cluster.groups):
            self.run(self.cluster.crash(vm))
        self.run(self.start_missing())

    @stateful.rule(kept=test_stateful.VMS)
    def change_seeds(self, kept):
        """Use one running VM and two lost ones as seeds."""
        self.set_seeds([self.vms[kept], ids.VmId("gone-1"), ids.VmId("gone-2")])

    def set_seeds(self, vms):
        """Change the seeds of all VMs, including running ones."""
        self.cluster.seeds = list(vms)
        for running in self.cluster.groups.values():
            running.set_seeds(sorted(vms))

    async def finish(self):
        self.set_seeds(self.vms)
        await super().finish()


TestOpenGroupMachine = OpenGroupMachine.TestCase
if test_stateful.IS_LONG:
    TestOpenGroupMachine = pytest.mark.long(TestOpenGroupMachine)
TestOpenGroupMachine.settings = settings(
    derandomize=not test_stateful.IS_LONG,
    deadline=None,
    max_examples=200 if test_stateful.IS_LONG else 20,
    stateful_step_count=40 if test_stateful.IS_LONG else 25,
)
