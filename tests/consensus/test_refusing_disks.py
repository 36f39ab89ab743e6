"""Disks that refuse writes for a time, and the replicas afterwards."""

import asyncio

import pytest

from fakes import clusters

FULL_S = 0.3


async def start_cluster(**options):
    cluster = clusters.Cluster(**options)
    await cluster.start_all()
    await cluster.propose(b"before")
    return cluster


async def refuse_writes(cluster, vms, duration_s=FULL_S):
    """Let the disks of some VMs be full while commands arrive."""
    for vm in vms:
        cluster.disks[vm].faults.is_full = True
    proposal = asyncio.create_task(cluster.propose(b"meanwhile", attempts=100))
    await asyncio.sleep(duration_s)
    for vm in vms:
        cluster.disks[vm].faults.is_full = False
    await proposal


@pytest.mark.looptime
class TestFullDisks:
    async def test_all_replicas_take_part_again_once_their_disks_have_room(self):
        cluster = await start_cluster()
        await refuse_writes(cluster, cluster.vms)
        await cluster.propose(b"after", attempts=50)
        await cluster.until_all_hold([b"before", b"meanwhile", b"after"])
        await cluster.stop()

    async def test_one_full_disk_after_the_other_costs_no_replica(self):
        cluster = await start_cluster()
        items = [b"before"]
        for number, vm in enumerate(cluster.vms):
            cluster.disks[vm].faults.is_full = True
            await cluster.propose(b"full %d" % number, attempts=50)
            await asyncio.sleep(FULL_S)
            cluster.disks[vm].faults.is_full = False
            await asyncio.sleep(1.0)
            items.append(b"full %d" % number)
        await cluster.until_all_hold(items)
        await cluster.stop()

    async def test_a_loss_after_another_disk_was_full_leaves_a_majority(self):
        cluster = await start_cluster()
        leader = await cluster.leader()
        await refuse_writes(cluster, [leader])
        await asyncio.sleep(1.0)
        others = [vm for vm in cluster.vms if vm != leader]
        await cluster.crash(others[0])
        await cluster.propose(b"after", attempts=50)
        await cluster.stop()
