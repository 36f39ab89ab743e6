import random

import pytest

from fakes import disks
from quetzalpass.results import codes
from quetzalpass.storage import disk, frames, health, segments, snapshots, verify


def new_store(fake):
    return snapshots.SnapshotStore(fake, health.DiskHealth("test"))


class TestFolderDisk:
    def test_refuses_a_second_process(self, tmp_path):
        first = disk.open_folder(tmp_path).unwrap()
        failure = disk.open_folder(tmp_path).failure()
        assert failure.code is codes.Code.STORAGE_FAILED
        first.close()
        disk.open_folder(tmp_path).unwrap().close()

    async def test_a_folder_that_cannot_be_created_is_opened_and_locked_later(
        self, tmp_path
    ):
        obstacle = tmp_path / "obstacle"
        obstacle.write_bytes(b"")
        folder = disk.open_folder(obstacle / "data").unwrap()
        group = folder.folder("group")
        with pytest.raises(OSError, match="Not a directory"):
            await group.make()
        obstacle.unlink()
        await group.make()
        assert group.names() == []
        failure = disk.open_folder(obstacle / "data").failure()
        assert failure.code is codes.Code.STORAGE_FAILED
        folder.close()

    async def test_a_subfolder_that_was_removed_is_made_again(self, tmp_path):
        folder = disk.open_folder(tmp_path).unwrap()
        group = folder.folder("group")
        await group.make()
        (tmp_path / "group").rmdir()
        await group.make()
        assert group.names() == []
        folder.close()


@pytest.mark.looptime
class TestSnapshotStore:
    async def test_a_crash_leaves_the_old_or_the_new_snapshot(self):
        for crash_at in range(1, 30):
            for seed in range(6):
                fake = disks.FakeDisk(disks.Faults(crash_at))
                store = new_store(fake)
                saved = 0
                try:
                    for index in (1, 2):
                        await store.save(snapshots.Snapshot(index, b"%d" % index * 50))
                        saved = index
                except disks.CrashError:
                    pass
                survivor = fake.after_crash(random.Random(seed))
                found = (await new_store(survivor).open()).unwrap()
                assert (found.index if found else 0) >= saved, (crash_at, seed)
                assert found is None or found.data == b"%d" % found.index * 50
        assert saved == 2

    async def test_a_flipped_bit_is_detected(self):
        fake = disks.FakeDisk()
        store = new_store(fake)
        await store.save(snapshots.Snapshot(7, b"content"))
        fake.flip_bit(fake.names()[0], 20)
        failure = (await store.open()).failure()
        assert failure.code is codes.Code.STORAGE_DAMAGED


class TestVerifyFolder:
    async def fill_folder(self, path):
        folder = disk.open_folder(path).unwrap()
        head = frames.Record(0, b"head")
        await folder.folder("group").make()
        log = segments.SegmentLog(folder.folder("group"), lambda: head)
        await log.open(lambda record: None)
        log.append(1, b"content")
        (await log.commit()).unwrap()
        store = new_store(folder.folder("group"))
        await store.save(snapshots.Snapshot(1, b"state"))
        folder.close()

    async def test_reports_an_undamaged_folder(self, tmp_path):
        await self.fill_folder(tmp_path)
        report = verify.verify_folder(tmp_path).unwrap()
        assert report.is_sound
        assert [log.snapshot_index for log in report.logs] == [1]
        assert report.logs[0].record_count == 2

    async def test_names_the_damaged_file(self, tmp_path):
        await self.fill_folder(tmp_path)
        path = next((tmp_path / "group").glob("segment-*"))
        path.write_bytes(path.read_bytes()[:-3] + b"???")
        report = verify.verify_folder(tmp_path).unwrap()
        assert not report.is_sound
        assert path.name in report.logs[0].failure.message
