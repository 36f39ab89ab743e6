"""Disks that are filled by the log itself, or by something else."""

import asyncio

import pytest

from fakes import clusters
from quetzalpass.consensus import machine
from quetzalpass.storage import reserve

CAPACITY_BYTES = 9_000_000
COMMAND_BYTES = 245_000
COMMANDS = 303


class NewestMachine(machine.StateMachine):
    """Holds the newest command, as a declaration replaces the one before."""

    def __init__(self):
        self.newest = b""

    def apply(self, index, command):
        self.newest = command
        return b"%d" % index

    def snapshot(self):
        return self.newest

    def restore(self, data):
        self.newest = data


def large_command(number):
    return (b"%06d" % number).ljust(COMMAND_BYTES, b"x")


def folder_of(cluster, vm):
    return cluster.disks[vm].folder(f"group-{clusters.GROUP}")


def used_bytes(cluster, vm):
    folder = folder_of(cluster, vm)
    return sum(folder.size(name) for name in folder.names())


async def start_cluster(capacity_bytes=CAPACITY_BYTES):
    cluster = clusters.Cluster(machine=NewestMachine)
    for vm in cluster.vms:
        cluster.disks[vm].faults.capacity_bytes = capacity_bytes
    await cluster.start_all()
    await cluster.leader()
    return cluster


async def propose_many(cluster, first, count):
    for number in range(first, first + count):
        await cluster.propose(large_command(number), f"{number}", attempts=50)


async def until_all_hold(cluster, number):
    newest = large_command(number)
    for vm in cluster.vms:
        own = cluster.groups[vm].replica
        await cluster.until(lambda own=own: own.machine.newest == newest)


@pytest.mark.looptime
class TestSmallDisks:
    async def test_hundreds_of_large_changes_fit_on_small_disks(self):
        cluster = await start_cluster()
        await propose_many(cluster, 0, COMMANDS)
        await until_all_hold(cluster, COMMANDS - 1)
        await cluster.stop()

    async def test_large_changes_fit_while_the_leader_changes(self):
        cluster = await start_cluster()
        for first in range(0, COMMANDS, 20):
            await propose_many(cluster, first, min(20, COMMANDS - first))
            leader = await cluster.leader()
            await cluster.groups[leader].transfer_leadership()
        await until_all_hold(cluster, COMMANDS - 1)
        await cluster.stop()

    async def test_a_follower_installs_a_snapshot_on_a_disk_that_its_log_fills(self):
        cluster = await start_cluster()
        await propose_many(cluster, 0, 20)
        leader = await cluster.leader()
        behind = next(vm for vm in cluster.vms if vm != leader)
        await until_all_hold(cluster, 19)
        cluster.network.isolate(behind)
        cluster.disks[behind].faults.capacity_bytes = used_bytes(cluster, behind)
        await propose_many(cluster, 20, 80)
        cluster.network.heal()
        await until_all_hold(cluster, 99)
        await cluster.stop()


@pytest.mark.looptime
class TestDisksFilledByOthers:
    async def test_changes_go_on_once_there_is_room(self):
        cluster = await start_cluster()
        await propose_many(cluster, 0, 10)
        for vm in cluster.vms:
            cluster.disks[vm].faults.is_full = True
        proposal = asyncio.create_task(propose_many(cluster, 10, 1))
        await asyncio.sleep(3.0)
        for vm in cluster.vms:
            cluster.disks[vm].faults.is_full = False
        await proposal
        await propose_many(cluster, 11, 60)
        await until_all_hold(cluster, 70)
        await cluster.stop()


@pytest.mark.looptime
class TestReserve:
    async def test_it_is_kept_from_the_start_and_again_after_it_was_used(self):
        cluster = await start_cluster()
        await cluster.until(
            lambda: all(
                reserve.RESERVE_NAME in folder_of(cluster, vm).names()
                for vm in cluster.vms
            )
        )
        await propose_many(cluster, 0, 100)
        await asyncio.sleep(2.0)
        for vm in cluster.vms:
            folder = folder_of(cluster, vm)
            assert folder.size(reserve.RESERVE_NAME) >= reserve.MIN_RESERVE_BYTES
        await cluster.stop()

    async def test_it_stays_where_no_segment_could_be_dropped(self):
        cluster = await start_cluster()
        await propose_many(cluster, 0, 2)
        for vm in cluster.vms:
            cluster.disks[vm].faults.is_full = True
        proposal = asyncio.create_task(propose_many(cluster, 2, 1))
        await asyncio.sleep(3.0)
        for vm in cluster.vms:
            assert reserve.RESERVE_NAME in folder_of(cluster, vm).names()
            cluster.disks[vm].faults.is_full = False
        await proposal
        await cluster.stop()


@pytest.mark.looptime
class TestStartsOnFullDisks:
    async def test_segments_that_the_snapshot_covers_are_dropped(self):
        cluster = await start_cluster(capacity_bytes=None)
        await propose_many(cluster, 0, 20)
        group = cluster.groups[cluster.vms[0]]
        await cluster.until(lambda: group.replica.applied_index >= 21)
        segments = group.replica.log.segments
        assert len(segments.segments) > 2
        # The snapshot is stored, but the segments that it covers can't be removed.
        drop_through = segments.drop_through
        segments.drop_through = self.drop_nothing
        assert await group.applier.store_snapshot()
        segments.drop_through = drop_through
        group.applier.may_make_room_at = 0.0
        await group.applier.make_room()
        assert len(segments.segments) == 1
        await cluster.stop()

    async def drop_nothing(self, index):
        return
