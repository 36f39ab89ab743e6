import asyncio
import copy
import random

import pytest
from returns import result

from fakes import disks
from quetzalpass.results import codes
from quetzalpass.storage import frames, recovery, segments

HEAD = frames.Record(0, b"head")


def new_log(disk, segment_bytes=150):
    return segments.SegmentLog(disk, lambda: HEAD, segment_bytes)


def ignore(record):
    """Visit a record whose content doesn't matter."""


async def read_keys(disk):
    records = []
    (await new_log(disk).open(records.append)).unwrap()
    return [record.key for record in records if record.key]


async def new_filled_log(count=6):
    disk = disks.FakeDisk()
    log = new_log(disk)
    await log.open(ignore)
    for key in range(1, count + 1):
        log.append(key, b"content %d" % key)
        (await log.commit()).unwrap()
    return disk, log


async def write_until_crash(disk, count):
    acknowledged = 0
    log = new_log(disk)
    try:
        await log.open(ignore)
        for key in range(1, count + 1):
            log.append(key, b"content %d" % key)
            await log.commit()
            acknowledged = key
    except disks.CrashError:
        pass
    return acknowledged


@pytest.mark.looptime
class TestSegmentLog:
    async def test_returns_all_records_after_a_restart(self):
        disk, _ = await new_filled_log(9)
        assert await read_keys(disk) == list(range(1, 10))
        assert len(disk.names()) > 3

    async def test_concurrent_commits_share_a_sync(self):
        disk, log = await new_filled_log(0)
        before = disk.faults.operation_count
        for key in range(100):
            log.append(key, b"x")
        (await log.commit()).unwrap()
        assert disk.faults.operation_count - before < 10

    async def test_a_crash_at_any_disk_operation_keeps_acknowledged_records(self):
        for crash_at in range(1, 90):
            for seed in range(6):
                disk = disks.FakeDisk(disks.Faults(crash_at))
                acknowledged = await write_until_crash(disk, 8)
                survivor = disk.after_crash(random.Random(seed))
                keys = await read_keys(survivor)
                assert keys == list(range(1, len(keys) + 1)), (crash_at, seed)
                assert len(keys) >= acknowledged, (crash_at, seed)
        assert acknowledged == 8

    async def test_appends_after_a_torn_end(self):
        disk, log = await new_filled_log(3)
        disk.append(log.segments[-1].name, b"QZPF torn")
        reopened = new_log(disk)
        await reopened.open(ignore)
        reopened.append(4, b"next")
        (await reopened.commit()).unwrap()
        assert await read_keys(disk) == [1, 2, 3, 4]

    async def test_a_flipped_bit_anywhere_is_reported_with_file_and_offset(self):
        disk, log = await new_filled_log(6)
        for segment in log.segments:
            for offset in range(segment.size):
                damaged = copy.deepcopy(disk)
                damaged.flip_bit(segment.name, offset)
                failure = (await new_log(damaged).open(ignore)).failure()
                assert failure.code is codes.Code.STORAGE_DAMAGED
                assert segment.name in failure.message
                assert "offset" in failure.message

    async def test_a_missing_segment_is_reported(self):
        for position in (1, -1):
            disk, log = await new_filled_log(6)
            disk.remove(log.segments[position].name)
            failure = (await new_log(disk).open(ignore)).failure()
            assert failure.code is codes.Code.STORAGE_DAMAGED

    async def test_rewrites_at_a_start_what_a_failed_sync_left_in_memory(self):
        for seed in range(10):
            disk, log = await new_filled_log(2)
            disk.faults.fails_sync = True
            log.append(3, b"in memory alone")
            commit = asyncio.create_task(log.commit())
            await asyncio.sleep(1.0)
            await log.close()
            assert isinstance(await commit, result.Failure)
            disk.faults.fails_sync = False
            restarted = new_log(disk)
            (await restarted.open(ignore)).unwrap()
            restarted.append(4, b"acknowledged")
            (await restarted.commit()).unwrap()
            survivor = disk.after_crash(random.Random(seed))
            assert await read_keys(survivor) == [1, 2, 3, 4]

    async def test_drops_only_segments_up_to_the_key(self):
        disk, log = await new_filled_log(9)
        await log.drop_through(5)
        keys = await read_keys(disk)
        assert keys[0] > 1
        assert set(range(6, 10)) <= set(keys)


class TestUnknownFiles:
    def test_a_file_with_an_invalid_segment_name_is_reported(self):
        folder = disks.FakeDisk()
        folder.files["segment-zzz.log"] = disks.FakeFile(b"")
        failure = recovery.read_segments(folder, ignore).failure()
        assert failure.code is codes.Code.STORAGE_DAMAGED
        assert "segment-zzz.log" in failure.message
