"""Work on disks that is cut short, repeated, or whose cause has passed."""

import asyncio
import random
import threading

import crc32c
import pytest
from returns import result

from consensus.test_restarts_in_the_process import fail_a_task, start_cluster
from fakes import disks
from quetzalpass.consensus import entries, machine, messages
from quetzalpass.consensus import group as groups
from quetzalpass.consensus import log as logs
from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as real_disks
from quetzalpass.storage import frames, health, reserve, segments, snapshots


@pytest.mark.looptime
class TestHeldHealth:
    @pytest.mark.parametrize("count", [1, 3])
    async def test_a_replica_that_restarts_while_a_write_is_refused_votes_again(
        self, count
    ):
        cluster, items = await start_cluster(count)
        leader = await cluster.leader()
        for vm in cluster.vms:
            cluster.disks[vm].faults.is_full = True
        proposal = asyncio.create_task(
            cluster.groups[leader].propose("client", "x", b"x")
        )
        await asyncio.sleep(0.2)
        for vm in cluster.vms:
            fail_a_task(cluster, vm)
        await asyncio.sleep(0.3)
        for vm in cluster.vms:
            cluster.disks[vm].faults.is_full = False
        await asyncio.sleep(60.0)
        states = {
            vm: (group.replica.role, dict(group.health.troubles))
            for vm, group in cluster.groups.items()
        }
        proposal.cancel()
        assert cluster.leaders(), states
        await cluster.stop()


class FolderSyncFails(disks.FakeDisk):
    folder_fails = False

    async def sync_folder(self):
        if self.folder_fails:
            raise real_disks.SyncError(5, "Input/output error")
        await super().sync_folder()


@pytest.mark.looptime
class TestUnsyncedName:
    async def test_a_snapshot_whose_name_is_not_durable_is_not_used(self):
        lost = []
        for seed in range(20):
            fake = FolderSyncFails()
            own_health = health.DiskHealth("test")
            store = snapshots.SnapshotStore(fake, own_health)
            fake.folder_fails = True
            (await store.save(snapshots.Snapshot(7, b"state"))).failure()
            fake.folder_fails = False
            # The replica starts anew in its process, or its process does.
            again = snapshots.SnapshotStore(fake, own_health)
            found = (await again.open()).unwrap()
            crashed = fake.after_crash(random.Random(seed))
            after = (await snapshots.SnapshotStore(crashed, own_health).open()).unwrap()
            if found != after:
                lost.append(seed)
        assert not lost


class SlowFolderSync(disks.FakeDisk):
    """Notes removals of segments before an earlier removal is durable."""

    def __init__(self):
        super().__init__()
        self.early_removals = []

    async def sync_folder(self):
        files = dict(self.files)
        await asyncio.sleep(self.faults.sync_s)
        self.durable_files = files

    def remove(self, name):
        undone = set(self.durable_files) - set(self.files)
        if any(each.startswith("segment") for each in undone):
            self.early_removals.append(name)
        super().remove(name)


@pytest.mark.looptime
class TestConcurrentDrops:
    @pytest.mark.parametrize("offset", [0.0, 0.0002, 0.0005, 0.0007, 0.001, 0.0015])
    async def test_two_drops_keep_the_order_of_removals(self, offset):
        fake = SlowFolderSync()
        log = segments.SegmentLog(
            fake, lambda: frames.Record(0, b"head"), segment_bytes=10
        )
        (await log.open(lambda record: None)).unwrap()
        for key in range(1, 9):
            log.append(key, b"x" * 20)
            (await log.commit()).unwrap()
        first = asyncio.create_task(log.drop_through(8))
        await asyncio.sleep(offset)
        await asyncio.gather(first, log.drop_through(8))
        assert not fake.early_removals


class TestAbandonedWrite:
    async def test_a_cancelled_save_does_not_write_into_a_later_snapshot(
        self, tmp_path, monkeypatch
    ):
        folder = real_disks.FolderDisk(tmp_path / "group")
        await folder.make()
        own_health = health.DiskHealth("test")
        kept = reserve.Reserve(folder, own_health)
        await kept.keep(1000)
        store = snapshots.SnapshotStore(folder, own_health)
        hang = threading.Event()
        original = real_disks.write_all

        def write_all(descriptor, offset, data):
            if b"leader" in data:
                hang.wait(5.0)
            original(descriptor, offset, data)

        monkeypatch.setattr(real_disks, "write_all", write_all)
        # handle_snapshot, whose handler is cancelled as the leader's call timed out.
        first = asyncio.create_task(
            store.save(snapshots.Snapshot(5, b"leader" * 100), kept.take(600))
        )
        await asyncio.sleep(0.1)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        # The lock is free, so that the replica makes room by its own snapshot.
        saved = await store.save(
            snapshots.Snapshot(6, b"own state" * 100), kept.take(900)
        )
        saved.unwrap()
        # Another file gets the number of the closed descriptor.
        segment = folder.get_descriptor("segment-000000000009")
        real_disks.os.write(segment, b"s" * 2000)
        hang.set()
        await asyncio.sleep(0.2)
        assert b"leader" not in folder.read("segment-000000000009")
        assert (await store.open()).unwrap().index == 6


@pytest.mark.looptime
class TestHeldConditions:
    async def test_a_condition_ends_once_its_cause_has_passed(self):
        cluster, _ = await start_cluster(1)
        group = cluster.groups[cluster.vms[0]]
        faults = cluster.disks[cluster.vms[0]].faults
        faults.refused_prefixes = ("snapshot-", "reserve")
        # As ``make_room`` does on a full disk.
        assert not await group.applier.store_snapshot(in_reserve=True)
        faults.refused_prefixes = ()
        await cluster.propose(b"after")
        await asyncio.sleep(600.0)
        assert group.health.condition is health.Condition.OK
        await cluster.stop()


class TestCancelledInstall:
    async def test_the_lock_is_held_until_the_disk_has_finished(
        self, tmp_path, monkeypatch
    ):
        folder = real_disks.FolderDisk(tmp_path / "group")
        group = single_group(folder)
        (await group.start()).unwrap()
        await asyncio.sleep(0.5)
        data = logs.encode_snapshot(
            logs.GroupSnapshot(
                9, 1, entries.Configuration(), [], group.replica.machine.snapshot()
            )
        )
        hang = threading.Event()
        running = []
        original = real_disks.write_and_sync

        def write_and_sync(path, content):
            running.append(path)
            hang.wait(5.0)
            original(path, content)
            running.remove(path)

        monkeypatch.setattr(real_disks, "write_and_sync", write_and_sync)
        request = messages.SnapshotRequest(
            group="g",
            term=1,
            vm="vm-2",
            replica="other",
            target=group.replica.replica_id,
            index=9,
            offset=0,
            total_bytes=len(data),
            checksum=crc32c.crc32c(data),
            data=data,
        )
        handler = asyncio.create_task(group.handle_snapshot(request))
        await asyncio.sleep(0.2)
        # The leader gives up after 0.4 s and closes its connection: aiohttp cancels.
        handler.cancel()
        await asyncio.gather(handler, return_exceptions=True)
        try:
            assert running
            assert group.applier.lock.locked()
        finally:
            hang.set()
            await asyncio.sleep(0.1)
            await group.stop()


def single_group(folder):
    parent = type("Parent", (), {"folder": lambda self, name: folder})()
    return groups.Group(
        "g", "vm-1", ["vm-1", "vm-2"], parent, Silent(), Machine(), random.Random(1)
    )


class Silent:
    async def call(self, vm, request, timeout_s):
        return result.Failure(failures.Failure(codes.Code.UNREACHABLE, "silent"))


class Machine(machine.StateMachine):
    def apply(self, index, command):
        return b""

    def snapshot(self):
        return b"state"

    def restore(self, data):
        pass
