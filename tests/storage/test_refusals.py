"""Disks that refuse or hang for a time: what is acknowledged, and what comes back."""

import asyncio
import copy
import errno
import os
import random

import pytest
from returns import result

from fakes import disks
from quetzalpass.results import codes
from quetzalpass.storage import disk as real_disks
from quetzalpass.storage import (
    frames,
    health,
    recovery,
    reserve,
    segments,
    snapshots,
)

FAULTS = ["fails_sync", "fails_write", "is_full", "is_hanging"]
HEAD = frames.Record(0, b"head")
REFUSED_S = 3.0


def new_log(disk, segment_bytes=150):
    return segments.SegmentLog(disk, lambda: HEAD, segment_bytes)


async def read_keys(disk):
    records = []
    (await new_log(disk).open(records.append)).unwrap()
    return [record.key for record in records if record.key]


async def new_filled_log(count=2):
    disk = disks.FakeDisk()
    log = new_log(disk)
    (await log.open(lambda record: None)).unwrap()
    for key in range(1, count + 1):
        log.append(key, b"content %d" % key)
        (await log.commit()).unwrap()
    return disk, log


@pytest.mark.looptime
class TestRefusedWrites:
    @pytest.mark.parametrize("fault", FAULTS)
    async def test_nothing_is_acknowledged_until_the_disk_has_synced_it(self, fault):
        for seed in range(10):
            disk, log = await new_filled_log()
            setattr(disk.faults, fault, True)
            log.append(3, b"refused at first")
            commit = asyncio.create_task(log.commit())
            await asyncio.sleep(REFUSED_S)
            assert not commit.done()
            lost = disk.after_crash(random.Random(seed))
            assert await read_keys(lost) in ([1, 2], [1, 2, 3])
            setattr(disk.faults, fault, False)
            (await commit).unwrap()
            survivor = disk.after_crash(random.Random(seed))
            assert await read_keys(survivor) == [1, 2, 3]

    @pytest.mark.parametrize("fault", FAULTS)
    async def test_acknowledges_again_soon_after_the_cause_has_passed(self, fault):
        disk, log = await new_filled_log()
        setattr(disk.faults, fault, True)
        log.append(3, b"refused at first")
        commit = asyncio.create_task(log.commit())
        await asyncio.sleep(60.0)
        setattr(disk.faults, fault, False)
        async with asyncio.timeout(2 * segments.MAX_RETRY_DELAY_S):
            (await commit).unwrap()

    async def test_a_failed_sync_is_never_just_repeated(self):
        disk, log = await new_filled_log()
        steps = []
        write, sync = disk.write_part, disk.sync

        def record_write(name, offset, data):
            steps.append(("write", name))
            write(name, offset, data)

        async def record_sync(name):
            steps.append(("sync", name))
            await sync(name)

        disk.write_part, disk.sync = record_write, record_sync
        disk.faults.fails_sync = True
        log.append(3, b"refused at first")
        commit = asyncio.create_task(log.commit())
        await asyncio.sleep(REFUSED_S)
        disk.faults.fails_sync = False
        (await commit).unwrap()
        syncs = [number for number, step in enumerate(steps) if step[0] == "sync"]
        assert len(syncs) > 3
        for number in syncs:
            assert steps[number - 1] == ("write", steps[number][1])

    @pytest.mark.parametrize("first_seed", range(0, 150, 15))
    async def test_power_losses_between_random_refusals_lose_nothing(self, first_seed):
        for seed in range(first_seed, first_seed + 15):
            rng = random.Random(seed)
            disk, log = await new_filled_log(0)
            acknowledged = [0]
            writing = asyncio.create_task(self.write_forever(log, acknowledged))
            for _ in range(rng.randint(1, 12)):
                fault = rng.choice([*FAULTS, None])
                if fault is not None:
                    setattr(disk.faults, fault, True)
                await asyncio.sleep(rng.choice([0.001, 0.003, 0.2, 2.0]))
                for name in FAULTS:
                    if rng.random() < 0.7:
                        setattr(disk.faults, name, False)
                await asyncio.sleep(rng.choice([0.0, 0.002, 0.1]))
            expected = acknowledged[-1]
            survivor = disk.after_crash(rng)
            writing.cancel()
            keys = await read_keys(survivor)
            assert keys == list(range(1, len(keys) + 1)), seed
            assert len(keys) >= expected, seed

    async def write_forever(self, log, acknowledged):
        for key in range(1, 1000):
            log.append(key, b"content %d" % key)
            (await log.commit()).unwrap()
            acknowledged.append(key)

    async def test_a_crash_after_a_refused_segment_start_leaves_a_sound_log(self):
        for seed in range(20):
            disk, log = await new_filled_log()
            log.segments[-1].size = max(log.segments[-1].size, log.segment_bytes)
            disk.faults.fails_sync = True
            log.append(3, b"in a new segment")
            commit = asyncio.create_task(log.commit())
            await asyncio.sleep(REFUSED_S)
            assert not commit.done()
            survivor = disk.after_crash(random.Random(seed))
            assert (await read_keys(survivor))[:2] == [1, 2]
            await log.close()

    async def test_a_closed_log_says_that_it_did_not_commit(self):
        disk, log = await new_filled_log()
        disk.faults.is_full = True
        log.append(3, b"refused")
        commit = asyncio.create_task(log.commit())
        await asyncio.sleep(REFUSED_S)
        await log.close()
        failure = (await commit).failure()
        assert failure.code is codes.Code.STORAGE_FAILED
        assert "no_room" in failure.message

    async def test_a_hanging_disk_does_not_hold_up_the_close(self):
        disk, log = await new_filled_log()
        disk.faults.is_hanging = True
        log.append(3, b"not finished")
        commit = asyncio.create_task(log.commit())
        await asyncio.sleep(0.1)
        async with asyncio.timeout(3 * segments.CLOSE_TIMEOUT_S):
            await log.close()
        commit.cancel()


@pytest.mark.looptime
class TestRefusedMark:
    async def test_a_mark_that_is_refused_fails_no_commit(self, monkeypatch):
        disk, log = await new_filled_log()
        write = disk.write_part

        def refuse_the_mark(name, offset, data):
            if name == recovery.SYNCED_NAME:
                raise OSError(errno.ENOSPC, "No space left on device")
            write(name, offset, data)

        with monkeypatch.context() as patch:
            patch.setattr(disk, "write_part", refuse_the_mark)
            log.append(3, b"content")
            (await log.commit()).unwrap()
            assert health.Operation.MARK in log.health.troubles
            assert not log.health.is_failing
            assert await read_keys(copy.deepcopy(disk)) == [1, 2, 3]
        log.append(4, b"content")
        (await log.commit()).unwrap()
        assert log.health.condition is health.Condition.OK


@pytest.mark.looptime
class TestRemoval:
    async def test_a_refused_removal_is_made_up_for_before_the_next(self):
        for seed in range(20):
            disk, log = await new_filled_log(12)
            disk.faults.fails_sync = True
            await log.drop_through(6)
            disk.faults.fails_sync = False
            await log.drop_through(9)
            survivor = disk.after_crash(random.Random(seed))
            keys = await read_keys(survivor)
            assert keys == list(range(keys[0], 13))
            assert keys[0] > 1

    async def test_a_refused_removal_fails_no_commit(self):
        disk, log = await new_filled_log(12)
        disk.faults.fails_sync = True
        await log.drop_through(6)
        disk.faults.fails_sync = False
        log.append(13, b"after")
        (await log.commit()).unwrap()


@pytest.mark.looptime
class TestSnapshots:
    @pytest.mark.parametrize("fault", ["fails_sync", "fails_write", "is_full"])
    async def test_a_refused_snapshot_keeps_the_old_one_and_is_stored_later(
        self, fault
    ):
        for seed in range(10):
            disk = disks.FakeDisk()
            store = snapshots.SnapshotStore(disk, health.DiskHealth("test"))
            (await store.save(snapshots.Snapshot(1, b"old"))).unwrap()
            setattr(disk.faults, fault, True)
            refused = await store.save(snapshots.Snapshot(2, b"new"))
            assert isinstance(refused, result.Failure)
            setattr(disk.faults, fault, False)
            survivor = disk.after_crash(random.Random(seed))
            found = snapshots.SnapshotStore(survivor, health.DiskHealth("test"))
            assert (await found.open()).unwrap().data in (b"old", b"new")
            (await store.save(snapshots.Snapshot(2, b"new"))).unwrap()
            survivor = disk.after_crash(random.Random(seed))
            found = snapshots.SnapshotStore(survivor, health.DiskHealth("test"))
            assert (await found.open()).unwrap().data == b"new"

    async def test_a_refused_snapshot_leaves_no_unfinished_file_behind(self):
        disk = disks.FakeDisk()
        store = snapshots.SnapshotStore(disk, health.DiskHealth("test"))
        disk.faults.capacity_bytes = 50
        await store.save(snapshots.Snapshot(2, b"x" * 100))
        assert disk.names() == []


@pytest.mark.looptime
class TestFullDisk:
    async def test_drops_what_it_can_and_goes_on(self):
        disk, log = await new_filled_log(12)
        used = sum(disk.size(name) for name in disk.names())
        disk.faults.capacity_bytes = used
        rounds = []

        async def make_room():
            rounds.append(len(log.segments))
            await log.drop_through(9)

        log.make_room = make_room
        log.append(13, b"after")
        (await log.commit()).unwrap()
        assert len(rounds) == 1
        assert (await read_keys(disk))[-1] == 13

    async def test_a_partly_written_frame_leaves_room_for_a_snapshot(self):
        disk, log = await new_filled_log(12)
        used = sum(disk.size(name) for name in disk.names())
        disk.faults.capacity_bytes = used + 300

        async def make_room():
            await disk.write("snapshot", b"x" * 100)
            await log.drop_through(9)

        log.make_room = make_room
        log.append(13, b"y" * 400)
        async with asyncio.timeout(REFUSED_S):
            (await log.commit()).unwrap()
        assert (await read_keys(disk))[-1] == 13

    async def test_the_reserve_makes_room_and_comes_back(self):
        disk = disks.FakeDisk()
        kept = reserve.Reserve(disk, health.DiskHealth("test"))
        disk.faults.capacity_bytes = reserve.MIN_RESERVE_BYTES
        await kept.keep(10)
        assert kept.size() == reserve.MIN_RESERVE_BYTES
        kept.release()
        await disk.write("snapshot", b"x" * 1000)
        await kept.keep(10)
        assert kept.size() == 0
        disk.remove("snapshot")
        await kept.keep(10)
        assert kept.size() == reserve.MIN_RESERVE_BYTES


@pytest.mark.looptime
class TestHealth:
    @pytest.mark.parametrize(
        ("fault", "condition"),
        [
            ("is_full", health.Condition.NO_ROOM),
            ("fails_write", health.Condition.FAILED),
            ("fails_sync", health.Condition.FAILED_SYNC),
            ("is_hanging", health.Condition.HANGING),
        ],
    )
    async def test_tells_conditions_apart_and_since_when(self, fault, condition):
        disk, log = await new_filled_log()
        assert log.health.condition is health.Condition.OK
        setattr(disk.faults, fault, True)
        log.append(3, b"refused at first")
        commit = asyncio.create_task(log.commit())
        await asyncio.sleep(REFUSED_S)
        assert log.health.condition is condition
        assert log.health.is_failing
        assert 0.5 * REFUSED_S < log.health.log_failing_for_s() <= REFUSED_S
        setattr(disk.faults, fault, False)
        (await commit).unwrap()
        assert log.health.condition is health.Condition.OK
        assert log.health.log_failing_for_s() == 0.0
        assert log.health.recovery_count >= 1

    async def test_an_operation_that_was_given_up_hangs_no_more(self):
        disk_health = health.DiskHealth("test")

        async def hang():
            with disk_health.watch(health.Operation.RESERVE):
                await asyncio.sleep(60.0)

        hanging = asyncio.create_task(hang())
        await asyncio.sleep(REFUSED_S)
        assert disk_health.condition is health.Condition.HANGING
        hanging.cancel()
        await asyncio.gather(hanging, return_exceptions=True)
        assert disk_health.condition is health.Condition.OK

    async def test_lines_about_a_disk_that_fails_again_and_again_are_bounded(self):
        disk, log = await new_filled_log()
        for key in range(3, 60):
            disk.faults.is_full = True
            log.append(key, b"x")
            commit = asyncio.create_task(log.commit())
            await asyncio.sleep(1.0)
            disk.faults.is_full = False
            (await commit).unwrap()
        assert log.health.limiter.suppressed > 50


class TestRealFolder:
    async def test_a_repeated_sync_of_a_folder_changes_it_first(
        self, tmp_path, monkeypatch
    ):
        folder = real_disks.FolderDisk(tmp_path)
        changed = []
        change_folder = real_disks.change_folder

        def record_change(path):
            changed.append(path)
            change_folder(path)

        def fail_sync(descriptor):
            raise OSError(errno.EIO, "Input/output error")

        monkeypatch.setattr(real_disks, "change_folder", record_change)
        # What an earlier process failed to sync isn't known.
        await folder.sync_folder()
        await folder.sync_folder()
        assert len(changed) == 1
        with monkeypatch.context() as patch:
            patch.setattr(os, "fsync", fail_sync)
            with pytest.raises(real_disks.SyncError):
                await folder.sync_folder()
        assert len(changed) == 1
        await folder.sync_folder()
        assert len(changed) == 2
        await folder.sync_folder()
        assert len(changed) == 2
        assert folder.names() == []

    async def test_a_write_that_is_refused_midway_is_completed_later(
        self, tmp_path, monkeypatch
    ):
        folder = real_disks.FolderDisk(tmp_path)
        log = new_log(folder)
        (await log.open(lambda record: None)).unwrap()
        write = os.write

        def write_a_part(descriptor, data):
            if write_a_part.is_full:
                raise OSError(errno.ENOSPC, "No space left on device")
            write_a_part.is_full = True
            return write(descriptor, bytes(data[:5]))

        write_a_part.is_full = False
        with monkeypatch.context() as patch:
            patch.setattr(os, "write", write_a_part)
            log.append(1, b"content")
            commit = asyncio.create_task(log.commit())
            await asyncio.sleep(0.2)
            assert not commit.done()
        (await commit).unwrap()
        await log.close()
        folder.close()
        assert await read_keys(real_disks.FolderDisk(tmp_path)) == [1]
