"""Snapshots that are written over the reserve of a full disk."""

import random

import pytest

from fakes import disks
from quetzalpass.storage import disk as real_disks
from quetzalpass.storage import health, reserve, snapshots

CONTENT = b"content" * 20


async def new_store(fake):
    disk_health = health.DiskHealth("test")
    kept = reserve.Reserve(fake, disk_health)
    await kept.keep(len(CONTENT))
    return snapshots.SnapshotStore(fake, disk_health), kept


@pytest.mark.looptime
class TestFullDisks:
    async def test_it_needs_no_room(self):
        fake = disks.FakeDisk()
        store, kept = await new_store(fake)
        fake.faults.is_full = True
        snapshot = snapshots.Snapshot(1, CONTENT)
        (await store.save(snapshot, kept.take(len(CONTENT)))).unwrap()
        assert kept.size() == 0
        assert (await store.open()).unwrap() == snapshot

    async def test_a_reserve_that_is_too_small_is_given_up(self):
        fake = disks.FakeDisk()
        _, kept = await new_store(fake)
        assert kept.take(reserve.MIN_RESERVE_BYTES) is None
        assert kept.size() == 0

    async def test_a_refused_snapshot_keeps_the_reserve(self):
        fake = disks.FakeDisk()
        store, kept = await new_store(fake)
        fake.faults.fails_sync = True
        saved = await store.save(
            snapshots.Snapshot(1, CONTENT), kept.take(len(CONTENT))
        )
        assert saved.failure().message
        fake.faults.fails_sync = False
        assert kept.size() > 0
        assert (await store.open()).unwrap() is None

    async def test_a_crash_leaves_the_old_or_the_new_snapshot(self):
        crash_count = 0
        for crash_at in range(1, 60):
            for seed in range(6):
                fake = disks.FakeDisk(disks.Faults(crash_at))
                saved = 0
                try:
                    for index in (1, 2):
                        store, kept = await new_store(fake)
                        snapshot = snapshots.Snapshot(index, b"%d" % index * 50)
                        name = kept.take(len(snapshot.data))
                        assert name is not None
                        (await store.save(snapshot, name)).unwrap()
                        saved = index
                except disks.CrashError:
                    crash_count += 1
                survivor = fake.after_crash(random.Random(seed))
                opened, _ = await new_store(survivor)
                found = (await opened.open()).unwrap()
                assert (found.index if found else 0) >= saved, (crash_at, seed)
                assert found is None or found.data == b"%d" % found.index * 50
        assert crash_count > 60
        assert saved == 2


class TestFolders:
    async def test_it_takes_the_place_of_the_reserve(self, tmp_path):
        folder = real_disks.FolderDisk(tmp_path)
        store, kept = await new_store(folder)
        snapshot = snapshots.Snapshot(1, CONTENT)
        (await store.save(snapshot, kept.take(len(CONTENT)))).unwrap()
        assert kept.size() == 0
        assert (await store.open()).unwrap() == snapshot
        folder.close()
