"""Disks that refuse snapshots for a time, while they may take other writes."""

import asyncio

import pytest

from fakes import clusters
from quetzalpass.consensus import messages
from quetzalpass.storage import snapshots

COMMANDS = 40
SNAPSHOT_EVERY = 10


async def start_cluster(**options):
    cluster = clusters.Cluster(snapshot_every=SNAPSHOT_EVERY, **options)
    await cluster.start_all()
    return cluster


async def propose_many(cluster, first, count=COMMANDS):
    items = [b"%d" % number for number in range(first, first + count)]
    for item in items:
        await cluster.propose(item)
    return items


def refuse_snapshots(cluster, vm):
    cluster.disks[vm].faults.refused_prefixes = (snapshots.SNAPSHOT_PREFIX,)


def accept_snapshots(cluster, vm):
    cluster.disks[vm].faults.refused_prefixes = ()


@pytest.mark.looptime
class TestCompaction:
    async def test_replicas_go_on_while_their_disks_refuse_snapshots(self):
        cluster = await start_cluster()
        for vm in cluster.vms:
            refuse_snapshots(cluster, vm)
        items = await propose_many(cluster, 0)
        await cluster.until_all_hold(items)
        await cluster.stop()

    async def test_a_snapshot_that_is_due_is_stored_without_new_entries(self):
        cluster = await start_cluster()
        for vm in cluster.vms:
            refuse_snapshots(cluster, vm)
        await propose_many(cluster, 0)
        for vm in cluster.vms:
            accept_snapshots(cluster, vm)
        for vm in cluster.vms:
            own = cluster.groups[vm].replica
            await cluster.until(lambda own=own: own.log.snapshot_index >= COMMANDS)
        await cluster.stop()

    async def test_a_refused_snapshot_is_tried_again_after_growing_pauses(self):
        cluster = await start_cluster()
        vm = await cluster.leader()
        refuse_snapshots(cluster, vm)
        await propose_many(cluster, 0)
        health = cluster.groups[vm].replica.health
        await asyncio.sleep(100.0)
        # Pauses of 1, 2, 4, 8, 16, 30 and 30 s lie in this time.
        assert 6 <= sum(health.failure_counts.values()) <= 10
        await cluster.stop()


@pytest.mark.looptime
class TestInstallation:
    async def start_with_one_behind(self):
        """Return a cluster, a VM that needs a snapshot it refuses, and the items."""
        cluster = await start_cluster()
        leader = await cluster.leader()
        behind = next(vm for vm in cluster.vms if vm != leader)
        cluster.network.isolate(behind)
        items = await propose_many(cluster, 0, 400)
        refuse_snapshots(cluster, behind)
        cluster.network.heal()
        return cluster, behind, items

    async def test_a_snapshot_is_installed_once_the_disk_takes_it(self):
        cluster, behind, items = await self.start_with_one_behind()
        await asyncio.sleep(3.0)
        assert cluster.items(behind) != items
        accept_snapshots(cluster, behind)
        await cluster.until(lambda: cluster.items(behind) == items)
        await cluster.stop()

    async def test_what_was_received_is_neither_sent_again_nor_asked_for_at_once(
        self, monkeypatch
    ):
        cluster, behind, items = await self.start_with_one_behind()
        chunks = []
        follower = cluster.groups[behind].follower
        handle = follower.handle_snapshot

        async def count_chunk(request: messages.SnapshotRequest):
            chunks.append(len(request.data))
            return await handle(request)

        monkeypatch.setattr(follower, "handle_snapshot", count_chunk)
        await asyncio.sleep(6.0)
        assert 5 <= len(chunks) <= 25
        accept_snapshots(cluster, behind)
        await cluster.until(lambda: cluster.items(behind) == items)
        assert sum(size > 0 for size in chunks) == 1
        await cluster.stop()
