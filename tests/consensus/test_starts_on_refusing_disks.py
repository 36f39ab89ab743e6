"""Starts on disks that can't be read or written for a time."""

import asyncio

import pytest

from fakes import clusters, disks
from quetzalpass.consensus import identity
from quetzalpass.results import codes

FAULTS = ["is_full", "fails_write", "fails_sync", "fails_read"]


async def start_refusing(vms_refusing, fault, cluster=None):
    cluster = cluster or clusters.Cluster()
    for vm in vms_refusing:
        setattr(cluster.disks[vm].faults, fault, True)
    await cluster.start_all()
    return cluster


def accept_all(cluster, fault):
    for vm in cluster.vms:
        setattr(cluster.disks[vm].faults, fault, False)


@pytest.mark.looptime
class TestFirstStart:
    @pytest.mark.parametrize("fault", ["is_full", "fails_write", "fails_sync"])
    async def test_the_group_forms_once_all_disks_work(self, fault):
        cluster = await start_refusing(clusters.Cluster().vms, fault)
        await asyncio.sleep(3.0)
        assert not cluster.leaders()
        accept_all(cluster, fault)
        await cluster.propose(b"after", attempts=50)
        await cluster.until_all_hold([b"after"])
        await cluster.stop()

    async def test_a_hanging_disk_does_not_hold_up_the_process(self):
        cluster = clusters.Cluster()
        for vm in cluster.vms:
            cluster.disks[vm].faults.is_hanging = True
        async with asyncio.timeout(20.0):
            await cluster.start_all()
        await asyncio.sleep(10.0)
        accept_all(cluster, "is_hanging")
        await cluster.propose(b"after", attempts=50)
        await cluster.until_all_hold([b"after"])
        await cluster.stop()

    async def test_a_replica_stops_while_its_disk_hangs_at_the_start(self):
        cluster = clusters.Cluster()
        vm = cluster.vms[0]
        cluster.disks[vm].faults.is_hanging = True
        async with asyncio.timeout(10.0):
            await cluster.start(vm, is_first_start=True)
            await cluster.stop()

    async def test_a_replica_stops_at_once_while_its_disk_refuses(self):
        cluster = await start_refusing(clusters.Cluster().vms, "is_full")
        before = asyncio.get_running_loop().time()
        await cluster.stop()
        assert asyncio.get_running_loop().time() - before < 0.1


@pytest.mark.looptime
class TestLaterStart:
    async def start_and_crash(self):
        cluster = clusters.Cluster()
        await cluster.start_all()
        items = [b"%d" % number for number in range(10)]
        for item in items:
            await cluster.propose(item)
        await cluster.until_all_hold(items)
        for vm in cluster.vms:
            await cluster.crash(vm)
        return cluster, items

    @pytest.mark.parametrize("fault", FAULTS)
    async def test_the_replicas_are_back_once_the_disks_work(self, fault):
        cluster, items = await self.start_and_crash()
        await start_refusing(cluster.vms, fault, cluster)
        await asyncio.sleep(3.0)
        accept_all(cluster, fault)
        await cluster.propose(b"after", attempts=50)
        await cluster.until_all_hold([*items, b"after"])
        await cluster.stop()

    async def test_a_damaged_log_still_fails_the_start(self):
        cluster, _ = await self.start_and_crash()
        vm = cluster.vms[0]
        folder = cluster.disks[vm].folder(f"group-{clusters.GROUP}")
        name = next(name for name in folder.names() if name.startswith("segment-"))
        folder.flip_bit(name, len(folder.read(name)) // 2)
        failure = (await cluster.start(vm)).failure()
        assert failure.code is codes.Code.STORAGE_DAMAGED
        await cluster.stop()


@pytest.mark.looptime
class TestIdentity:
    async def test_an_id_whose_folder_sync_failed_is_durable_before_it_is_used(self):
        cluster = clusters.Cluster()
        vm = cluster.vms[0]
        folder = cluster.disks[vm].folder(f"group-{clusters.GROUP}")
        sync_folder = folder.sync_folder

        async def fail_sync():
            raise disks.disk.SyncError(5, "Input/output error")

        folder.sync_folder = fail_sync
        await cluster.start(vm, is_first_start=True)
        assert identity.REPLICA_ID_NAME in folder.names()
        assert not cluster.groups[vm].replica.is_running
        synced_contents = []

        async def record_sync():
            await sync_folder()
            synced_contents.append(folder.names())

        folder.sync_folder = record_sync
        await asyncio.sleep(2.0)
        assert cluster.groups[vm].replica.is_running
        assert synced_contents[0] == [identity.REPLICA_ID_NAME]
        await cluster.stop()
