"""Logs are bounded by bytes, however few the commands are."""

import asyncio
import gc
import tracemalloc

import pytest

from fakes import clusters, disks
from quetzalpass import ids
from quetzalpass.consensus import applying, entries, log, machine, peers
from quetzalpass.storage import segments

COMMAND_BYTES = 245_000
MIB = 1024 * 1024
# A control node has 296 MB of memory and 128 MB of disk for all that it does.
MAX_MEMORY_BYTES = 32 * MIB
MAX_DISK_BYTES = 48 * MIB
# What a start may need beside the entries that it keeps.
MAX_READING_BYTES = 24 * MIB


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


def large_command(number, size=COMMAND_BYTES):
    return (b"%06d" % number).ljust(size, b"x")


def make_entry(index, term=1):
    kind = entries.EntryKind.COMMAND
    operation = ids.OperationId(f"{index}")
    data = large_command(index)
    return entries.Entry(index, term, kind, "client", operation, data)


async def start_cluster(**options):
    cluster = clusters.Cluster(machine=NewestMachine, **options)
    await cluster.start_all()
    await cluster.leader()
    return cluster


async def propose_many(cluster, count, size=COMMAND_BYTES, first=0):
    for number in range(first, first + count):
        await cluster.propose(large_command(number, size), operation=f"{number}")


def newest(cluster, vm):
    return cluster.groups[vm].replica.machine.newest[:6]


def memory_bytes(cluster, vm):
    own_log = cluster.groups[vm].replica.log
    return sum(len(each.data) for each in own_log.entries) + len(own_log.snapshot_data)


def disk_bytes(cluster, vm):
    folder = cluster.disks[vm].folder(f"group-{clusters.GROUP}")
    return sum(len(folder.read(name)) for name in folder.names())


@pytest.mark.looptime
class TestBounds:
    async def test_hundreds_of_large_changes_fill_neither_memory_nor_disk(self):
        cluster = await start_cluster()
        for part in range(7):
            await propose_many(cluster, 40, first=40 * part)
            for vm in cluster.vms:
                assert memory_bytes(cluster, vm) <= MAX_MEMORY_BYTES
                assert disk_bytes(cluster, vm) <= MAX_DISK_BYTES
        for vm in cluster.vms:
            await cluster.until(lambda vm=vm: newest(cluster, vm) == b"000279")
        await cluster.stop()

    async def test_small_commands_are_still_bounded_by_their_number(self):
        cluster = await start_cluster(snapshot_every=300)
        await propose_many(cluster, 1200, size=8)
        for vm in cluster.vms:
            own_log = cluster.groups[vm].replica.log
            assert len(own_log.entries) <= 300 + log.TRAILING_ENTRIES
        await cluster.stop()

    async def test_a_state_above_the_bound_is_not_stored_with_each_change(self):
        cluster = await start_cluster()
        leader = cluster.groups[await cluster.leader()].replica
        leader.log.snapshot_data = bytes(3 * applying.SNAPSHOT_EVERY_BYTES)
        saved = leader.log.snapshot_index
        await propose_many(cluster, 60)
        assert leader.log.snapshot_index == saved
        await propose_many(cluster, 60, first=60)
        assert leader.log.snapshot_index > saved
        await cluster.stop()

    async def test_a_batch_of_large_commands_lets_other_tasks_run_in_between(self):
        cluster = await start_cluster()
        applier = cluster.groups[cluster.vms[0]].applier
        own = applier.replica
        for _ in range(8):
            own.log.insert(make_entry(own.log.last_index + 1, term=9))
        before = own.applied_index
        own.commit_index = own.log.last_index
        applier.apply_batch()
        applied_bytes = (own.applied_index - before) * COMMAND_BYTES
        assert applied_bytes < applying.APPLY_BATCH_BYTES + COMMAND_BYTES
        await cluster.stop()

    async def test_frames_of_a_slow_disk_are_bounded(self):
        disk = disks.FakeDisk(disks.Faults(sync_s=2.0))
        own_log = log.ReplicatedLog(disk)
        (await own_log.open()).unwrap()
        for number in range(1, 61):
            own_log.append(make_entry(number))
        (await own_log.commit()).unwrap()
        largest = max(len(disk.read(name)) for name in disk.names())
        allowed = log.SEGMENT_BYTES + segments.MAX_BATCH_BYTES + 2 * COMMAND_BYTES
        assert largest <= allowed
        reopened = log.ReplicatedLog(disk)
        (await reopened.open()).unwrap()
        assert reopened.last_index == 60


@pytest.mark.looptime
class TestSlowFollowers:
    @pytest.mark.parametrize("size", [COMMAND_BYTES, 4_000_000])
    async def test_a_follower_behind_the_compaction_gets_a_snapshot(self, size):
        cluster = await start_cluster()
        leader = await cluster.leader()
        slow = next(vm for vm in cluster.vms if vm != leader)
        cluster.network.isolate(slow)
        count = 24 * MIB // size + 2
        await propose_many(cluster, count, size)
        current = cluster.groups[await cluster.leader()].replica
        lagging = cluster.groups[slow].replica
        assert lagging.log.last_index < current.log.base_index
        cluster.network.heal()
        expected = b"%06d" % (count - 1)
        await cluster.until(lambda: newest(cluster, slow) == expected)
        assert memory_bytes(cluster, slow) <= MAX_MEMORY_BYTES
        await cluster.restart(slow)
        await cluster.until(lambda: newest(cluster, slow) == expected)
        await cluster.stop()

    @pytest.mark.parametrize("seed", range(3))
    async def test_a_snapshot_is_sent_whole_while_newer_ones_are_stored(self, seed):
        cluster = await start_cluster(seed=seed)
        leader = await cluster.leader()
        slow = next(vm for vm in cluster.vms if vm != leader)
        await cluster.crash(slow)
        size = 3_000_000
        await propose_many(cluster, 12, size)
        cluster.network.delay_s = 0.02
        cluster.disks[slow] = disks.FakeDisk()
        (await cluster.start(slow)).unwrap()
        sent = len(large_command(0, size)) // peers.SNAPSHOT_CHUNK_BYTES
        assert sent > 8
        await propose_many(cluster, 12, size, first=12)
        await cluster.until(lambda: newest(cluster, slow) == b"000023")
        configuration = cluster.groups[await cluster.leader()].members()
        own_id = cluster.groups[slow].replica.replica_id
        await cluster.until(
            lambda: (
                configuration.has_voter(own_id)
                or cluster.groups[slow].members().has_voter(own_id)
            )
        )
        await cluster.stop()

    async def test_a_peer_that_never_replies_holds_no_old_snapshot(self):
        cluster = await start_cluster()
        leader = await cluster.leader()
        slow = next(vm for vm in cluster.vms if vm != leader)
        replica_id = cluster.groups[slow].replica.replica_id
        await cluster.crash(slow)
        await propose_many(cluster, 80)
        await asyncio.sleep(2.0)
        await propose_many(cluster, 80, first=80)
        await asyncio.sleep(2.0)
        leading = cluster.groups[await cluster.leader()]
        peer = leading.leadership.peers[replica_id]
        held = peer.snapshot_data
        assert held in (b"", leading.replica.log.snapshot_data)
        await cluster.stop()

    async def test_a_snapshot_of_entries_that_a_follower_has_drops_most_of_them(self):
        own_log = log.ReplicatedLog(disks.FakeDisk())
        (await own_log.open()).unwrap()
        for index in range(1, 101):
            own_log.append(make_entry(index))
        (await own_log.commit()).unwrap()
        snapshot = log.GroupSnapshot(98, 1, entries.Configuration(), [], b"state")
        own_log.install(snapshot, log.encode_snapshot(snapshot))
        assert own_log.last_index == 100
        kept_bytes = sum(len(each.data) for each in own_log.entries)
        assert kept_bytes <= log.TRAILING_BYTES + 2 * COMMAND_BYTES


@pytest.mark.looptime
class TestRestarts:
    async def test_a_log_of_the_version_before_is_read_with_little_more_memory(self):
        disk = disks.FakeDisk()
        former = log.ReplicatedLog(disk)
        (await former.open()).unwrap()
        count = 200
        for number in range(1, count + 1):
            former.append(make_entry(number))
            (await former.commit()).unwrap()
        del former
        gc.collect()
        tracemalloc.start()
        own_log = log.ReplicatedLog(disk)
        (await own_log.open()).unwrap()
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert own_log.last_index == count
        assert peak_bytes <= count * COMMAND_BYTES + MAX_READING_BYTES

    async def test_all_replicas_restart_within_the_bounds(self):
        cluster = await start_cluster()
        await propose_many(cluster, 150)
        for vm in cluster.vms:
            await cluster.crash(vm)
        for vm in cluster.vms:
            (await cluster.start(vm)).unwrap()
            assert memory_bytes(cluster, vm) <= MAX_MEMORY_BYTES
        await cluster.leader()
        for vm in cluster.vms:
            await cluster.until(lambda vm=vm: newest(cluster, vm) == b"000149")
        await cluster.stop()
