"""The stateful tests with replicas that start anew within their process."""

import pytest
from hypothesis import settings, stateful, strategies

from consensus import test_stateful
from quetzalpass.consensus import applying, lifecycle, log
from quetzalpass.storage import snapshots


@pytest.fixture(autouse=True)
def small_logs_and_short_pauses(monkeypatch):
    monkeypatch.setattr(log, "SEGMENT_BYTES", 300)
    monkeypatch.setattr(log, "TRAILING_ENTRIES", 4)
    monkeypatch.setattr(applying, "SNAPSHOT_EVERY_BYTES", 60)
    monkeypatch.setattr(lifecycle, "MAX_RESTART_DELAY_S", 2.0)


async def raise_error():
    raise ValueError("a fault of the replica's own")


class RestartingMachine(test_stateful.ConsensusMachine):
    """Checks replicas whose tasks fail and whose disks refuse for a time."""

    def faults(self, vm):
        return self.cluster.disks[self.vms[vm]].faults

    @stateful.rule(vm=test_stateful.VMS)
    def fail_a_task(self, vm):
        running = self.cluster.groups.get(self.vms[vm])
        if running is not None and running.replica.is_running:
            self.run(self.spawn_failing(running))

    async def spawn_failing(self, running):
        running.replica.spawn(raise_error())

    @stateful.rule(vm=test_stateful.VMS, is_full=strategies.booleans())
    def fill_disk(self, vm, is_full):
        self.faults(vm).is_full = is_full

    @stateful.rule(vm=test_stateful.VMS, refuses=strategies.booleans())
    def refuse_snapshots(self, vm, refuses):
        prefixes = (snapshots.SNAPSHOT_PREFIX,) if refuses else ()
        self.faults(vm).refused_prefixes = prefixes

    @stateful.rule(vm=test_stateful.VMS, fails_sync=strategies.booleans())
    def refuse_syncs(self, vm, fails_sync):
        self.faults(vm).fails_sync = fails_sync

    async def finish(self):
        for vm in range(len(self.vms)):
            self.faults(vm).is_full = False
            self.faults(vm).fails_sync = False
            self.faults(vm).refused_prefixes = ()
        await super().finish()


TestRestartingMachine = RestartingMachine.TestCase
if test_stateful.IS_LONG:
    TestRestartingMachine = pytest.mark.long(TestRestartingMachine)
TestRestartingMachine.settings = settings(
    derandomize=not test_stateful.IS_LONG,
    deadline=None,
    max_examples=200 if test_stateful.IS_LONG else 20,
    stateful_step_count=40 if test_stateful.IS_LONG else 25,
)
