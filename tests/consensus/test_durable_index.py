"""The last index up to which a restart would find the same log."""

import asyncio
import random

import pytest

from fakes import disks
from quetzalpass.consensus import entries, log

COMMAND = entries.EntryKind.COMMAND


def make_entry(index, term=1):
    return entries.Entry(index, term, COMMAND, "client", f"{index}-{term}", b"data")


def make_snapshot(index, term=1):
    return log.GroupSnapshot(index, term, entries.Configuration(), [], b"")


async def open_log(count=0, disk=None):
    opened = log.ReplicatedLog(disk or disks.FakeDisk())
    (await opened.open()).unwrap()
    for index in range(1, count + 1):
        opened.append(make_entry(index))
    return opened


async def install(opened, snapshot):
    data = log.encode_snapshot(snapshot)
    (await opened.save_snapshot(snapshot.index, data)).unwrap()
    opened.install(snapshot, data)


@pytest.mark.looptime
class TestDurableIndex:
    async def test_is_the_last_index_once_all_records_are_synced(self):
        opened = await open_log(3)
        assert opened.durable_index == 0
        (await opened.commit()).unwrap()
        assert opened.durable_index == 3
        opened.append(make_entry(4))
        assert opened.durable_index == 3

    async def test_counts_each_frame_of_a_long_queue(self):
        opened = await open_log()
        opened.append(make_entry(1))
        first = asyncio.create_task(opened.commit())
        await asyncio.sleep(0.0005)
        opened.append(make_entry(2))
        await first
        assert opened.durable_index == 1

    async def test_is_before_a_replaced_entry_until_its_successor_is_synced(self):
        opened = await open_log(5)
        (await opened.commit()).unwrap()
        opened.append(make_entry(3, term=2))
        assert opened.durable_index == 2
        opened.append(make_entry(4, term=2))
        assert opened.durable_index == 2
        (await opened.commit()).unwrap()
        assert opened.durable_index == 4

    async def test_a_synced_record_of_a_replaced_entry_does_not_count(self):
        opened = await open_log()
        for index in (1, 2, 3):
            opened.append(make_entry(index))
        commit = asyncio.create_task(opened.commit())
        await asyncio.sleep(0.0005)
        opened.append(make_entry(2, term=2))
        await commit
        assert opened.segments.synced_count == 3
        assert opened.durable_index == 1
        (await opened.commit()).unwrap()
        assert opened.durable_index == 2

    async def test_a_term_is_durable_once_its_record_is_synced(self):
        opened = await open_log()
        assert opened.is_term_durable
        opened.set_hard_state(3)
        assert not opened.is_term_durable
        (await opened.commit()).unwrap()
        assert opened.is_term_durable

    async def test_an_installed_snapshot_counts_in_place_of_what_it_covers(self):
        opened = await open_log(8)
        await install(opened, make_snapshot(5))
        assert opened.durable_index == 5
        assert opened.last_index == 8
        (await opened.commit()).unwrap()
        assert opened.durable_index == 8

    async def test_a_snapshot_that_replaces_the_log_drops_all_beyond_it(self):
        disk = disks.FakeDisk()
        opened = await open_log(8, disk)
        (await opened.commit()).unwrap()
        await install(opened, make_snapshot(5, term=2))
        assert opened.durable_index == opened.last_index == 5
        opened.append(make_entry(6, term=2))
        assert opened.durable_index == 5
        (await opened.commit()).unwrap()
        assert opened.durable_index == 6
        assert (await open_log(0, disk)).durable_index == 6

    async def test_is_the_last_index_after_a_start(self):
        disk = disks.FakeDisk()
        (await (await open_log(4, disk)).commit()).unwrap()
        opened = await open_log(0, disk)
        assert opened.durable_index == opened.last_index == 4

    @pytest.mark.parametrize("seed", range(40))
    async def test_a_restart_at_any_time_keeps_all_up_to_it(self, seed):
        rng = random.Random(seed)
        disk = disks.FakeDisk()
        opened = await open_log(0, disk)
        term = 1
        for _ in range(12):
            term += rng.random() < 0.3
            first = rng.randint(opened.snapshot_index + 1, opened.last_index + 1)
            for index in range(first, first + rng.randint(1, 3)):
                opened.append(make_entry(index, term))
            commit = asyncio.create_task(opened.commit())
            await asyncio.sleep(rng.choice([0, 0.0005, 0.01]))
            if rng.random() < 0.2:
                index = rng.randint(1, opened.last_index)
                if index > opened.snapshot_index:
                    kept_term = opened.term_at(index) if rng.random() < 0.5 else term
                    await install(opened, make_snapshot(index, kept_term))
            durable = opened.durable_index
            first = opened.base_index + 1
            expected = [opened.term_at(index) for index in range(first, durable + 1)]
            recovered = await open_log(0, disk.after_crash(rng))
            assert recovered.last_index >= durable
            start = recovered.base_index + 1
            found = [recovered.term_at(index) for index in range(start, durable + 1)]
            count = min(len(found), len(expected))
            assert found[len(found) - count :] == expected[len(expected) - count :]
            await commit
