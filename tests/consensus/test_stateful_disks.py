"""The stateful test with disks that refuse, fail syncs or hang for a time."""

import asyncio

from hypothesis import stateful, strategies

from consensus import test_stateful

FAULTS = ("is_full", "fails_write", "fails_sync", "is_hanging")
VM_SETS = strategies.sets(test_stateful.VMS, min_size=1)


class FailingDisksMachine(test_stateful.ConsensusMachine):
    """Checks three replicas whose disks fail for a time, beside all other faults."""

    @stateful.rule(vms=VM_SETS, fault=strategies.sampled_from(FAULTS))
    def fail_disks(self, vms, fault):
        for number in vms:
            setattr(self.cluster.disks[self.vms[number]].faults, fault, True)

    @stateful.rule(vms=VM_SETS)
    def mend_disks(self, vms):
        for number in vms:
            self.mend(self.vms[number])

    def mend(self, vm):
        for fault in FAULTS:
            setattr(self.cluster.disks[vm].faults, fault, False)

    @stateful.rule(number=test_stateful.VMS, fault=strategies.sampled_from(FAULTS))
    def fail_disk_before_a_loss(self, number, fault):
        """Let a disk fail while commands arrive, then mend it and crash another VM."""
        vm = self.vms[number]
        other = self.vms[(number + 1) % 3]
        setattr(self.cluster.disks[vm].faults, fault, True)
        self.run(self.send_commands(3, vm))
        self.run(asyncio.sleep(0.7))
        self.mend(vm)
        self.crash((number + 1) % 3)
        assert other not in self.cluster.groups

    @stateful.rule(fault=strategies.sampled_from(FAULTS))
    def lose_what_is_not_synced(self, fault):
        """Crash a follower whose disk fails, then the leader; the third was cut off."""
        leaders = self.cluster.leaders()
        if len(self.cluster.groups) < 3 or not leaders:
            return
        leader = leaders[0]
        failing, cut_off = [vm for vm in self.vms if vm != leader]
        self.cluster.network.isolate(cut_off)
        setattr(self.cluster.disks[failing].faults, fault, True)
        self.run(self.send_commands(3, leader))
        self.run(asyncio.sleep(0.7))
        self.crash(self.vms.index(failing))
        self.run(self.start_missing())
        self.crash(self.vms.index(leader))
        self.cluster.network.heal()

    @stateful.rule(number=test_stateful.VMS)
    def read(self, number):
        """A read that succeeds sees all that was acknowledged before it."""
        running = self.cluster.groups.get(self.vms[number])
        if running is not None and running.leadership is not None:
            self.run(self.read_and_check(running))

    async def read_and_check(self, running):
        expected = max(self.acknowledged.values(), default=0)
        outcome = await running.read_barrier()
        if outcome.value_or(None) is not None:
            assert len(running.replica.machine.items) >= expected

    async def finish(self):
        for vm in self.vms:
            self.mend(vm)
        await super().finish()


TestFailingDisksMachine = FailingDisksMachine.TestCase
TestFailingDisksMachine.settings = test_stateful.TestConsensusMachine.settings
