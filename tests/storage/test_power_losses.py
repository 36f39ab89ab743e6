"""Power losses at each step of a compaction.

Each file that was created, renamed or removed without a sync of its folder may be kept
or lost independently.
"""

import asyncio
import random

import pytest

from fakes import disks
from quetzalpass.consensus import entries, log
from quetzalpass.storage import frames, segments

SEEDS = range(4)
STEPS = 150
HEAD = frames.Record(0, b"head")


def ignore(record):
    """Visit a record whose content doesn't matter."""


def make_entry(index, term=1):
    return entries.Entry(index, term, entries.EntryKind.COMMAND, data=b"%030d" % index)


def make_snapshot(index, term=1):
    return log.GroupSnapshot(index, term, entries.Configuration(), [], b"%d" % index)


async def write_and_compact(own_log, acknowledged, beside=0):
    """Append entries; at times, store a snapshot that covers several segments.

    ``beside`` entries are appended while the snapshot is being stored.
    """
    (await own_log.open()).unwrap()
    compacting = None
    try:
        for index in range(own_log.last_index + 1, own_log.last_index + 25):
            own_log.append(make_entry(index))
            (await own_log.commit()).unwrap()
            acknowledged.append(index)
            if index % 8 == 0:
                snapshot = make_snapshot(index)
                compacting = asyncio.create_task(own_log.compact(snapshot))
            if index % 8 == beside and compacting is not None:
                (await compacting).unwrap()
    finally:
        if compacting is not None:
            await asyncio.gather(compacting, return_exceptions=True)


@pytest.fixture
def small_segments(monkeypatch):
    monkeypatch.setattr(log, "SEGMENT_BYTES", 200)
    monkeypatch.setattr(log, "TRAILING_ENTRIES", 2)


@pytest.mark.looptime
class TestCompaction:
    @pytest.mark.parametrize("beside", [0, 5])
    async def test_a_power_loss_at_any_step_loses_nothing(self, small_segments, beside):
        for crash_at in range(1, STEPS):
            for seed in SEEDS:
                await self.crash_and_check(crash_at, seed, beside)

    async def crash_and_check(self, crash_at, seed, beside):
        disk = disks.FakeDisk(disks.Faults(crash_at))
        acknowledged = [0]
        try:
            await write_and_compact(log.ReplicatedLog(disk), acknowledged, beside)
        except disks.CrashError:
            pass
        rng = random.Random(seed)
        # A second power loss, right after the start, finds what the first one left.
        for _ in range(2):
            disk = disk.after_crash(rng)
            reopened = log.ReplicatedLog(disk)
            opened = await reopened.open()
            assert opened.value_or("refused") != "refused", (
                crash_at,
                seed,
                opened.failure().message,
            )
            assert reopened.last_index >= acknowledged[-1], (crash_at, seed)
            snapshot = opened.unwrap()
            if snapshot is not None:
                assert snapshot.machine == b"%d" % snapshot.index
            first = snapshot.index if snapshot else 0
            for index in range(first + 1, acknowledged[-1] + 1):
                assert reopened.entry_at(index) == make_entry(index)

    async def test_a_log_goes_on_after_power_losses_at_random_steps(
        self, small_segments
    ):
        for seed in range(60):
            rng = random.Random(seed)
            disk = disks.FakeDisk()
            acknowledged = [0]
            for _ in range(6):
                disk.faults.crash_at = rng.randrange(2, 90)
                try:
                    await write_and_compact(log.ReplicatedLog(disk), acknowledged)
                except disks.CrashError:
                    pass
                disk = disk.after_crash(rng)
            reopened = log.ReplicatedLog(disk)
            (await reopened.open()).unwrap()
            assert reopened.last_index >= acknowledged[-1]


@pytest.mark.looptime
class TestInstalledSnapshot:
    async def test_a_power_loss_at_any_step_keeps_what_was_confirmed(
        self, small_segments
    ):
        for crash_at in range(1, 260):
            for seed in SEEDS:
                disk = disks.FakeDisk(disks.Faults(crash_at))
                confirmed = []
                try:
                    await self.receive(log.ReplicatedLog(disk), confirmed)
                except disks.CrashError:
                    pass
                survivor = disk.after_crash(random.Random(seed))
                reopened = log.ReplicatedLog(survivor)
                snapshot = (await reopened.open()).unwrap()
                if confirmed:
                    assert snapshot.index == 6, (crash_at, seed)
                    assert reopened.last_index >= confirmed[-1]
                    assert {each.term for each in reopened.entries} <= {2}
        assert confirmed[-1] == 19

    async def receive(self, own_log, confirmed):
        """Replace entries that a leader of the next term doesn't have by a snapshot."""
        (await own_log.open()).unwrap()
        for index in range(1, 10):
            own_log.append(make_entry(index))
            (await own_log.commit()).unwrap()
        snapshot = make_snapshot(6, term=2)
        data = log.encode_snapshot(snapshot)
        (await own_log.save_snapshot(6, data)).unwrap()
        own_log.install(snapshot, data)
        (await own_log.commit()).unwrap()
        for index in range(7, 20):
            own_log.append(make_entry(index, term=2))
            (await own_log.commit()).unwrap()
            confirmed.append(index)


@pytest.mark.looptime
class TestDroppedSegments:
    async def test_a_newer_segment_is_removed_for_good_only_after_the_older_ones(self):
        disk = disks.FakeDisk()
        filled = segments.SegmentLog(disk, lambda: HEAD, 150)
        (await filled.open(ignore)).unwrap()
        for key in range(1, 20):
            filled.append(key, b"content %d" % key)
            (await filled.commit()).unwrap()
        await filled.drop_through(15)
        for seed in range(20):
            survivor = disk.after_crash(random.Random(seed))
            reopened = segments.SegmentLog(survivor, lambda: HEAD, 150)
            (await reopened.open(ignore)).unwrap()
