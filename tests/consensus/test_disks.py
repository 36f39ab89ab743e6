import asyncio

import pytest
from returns import result

from fakes import clusters, disks
from quetzalpass.results import codes


async def start_filled_cluster(count=40, **options):
    cluster = clusters.Cluster(**options)
    await cluster.start_all()
    for number in range(count):
        await cluster.propose(b"%d" % number)
    return cluster, [b"%d" % number for number in range(count)]


@pytest.mark.looptime
class TestRestart:
    async def test_hundreds_of_entries_are_recovered_within_seconds(self):
        cluster, items = await start_filled_cluster(600, snapshot_every=200)
        for vm in cluster.vms:
            await cluster.crash(vm)
        started = asyncio.get_running_loop().time()
        for vm in cluster.vms:
            (await cluster.start(vm)).unwrap()
        leader = await cluster.leader()
        await cluster.until(lambda: cluster.items(leader) == items)
        assert asyncio.get_running_loop().time() - started < 2.0
        await cluster.stop()

    async def test_a_crash_at_any_disk_operation_loses_no_acknowledged_command(self):
        for crash_at in range(1, 140, 3):
            cluster = clusters.Cluster(3, crash_at, snapshot_every=10)
            victim = cluster.vms[crash_at % 3]
            cluster.disks[victim] = disks.FakeDisk(disks.Faults(crash_at))
            started = await self.start_victim(cluster, victim)
            acknowledged = []
            for number in range(25):
                if started or cluster.disks[victim].faults.is_crashed:
                    started = False
                    await cluster.restart(victim)
                await cluster.propose(b"%d" % number, attempts=50)
                acknowledged.append(b"%d" % number)
            await cluster.until_caught_up(victim, acknowledged)
            await cluster.stop()

    async def start_victim(self, cluster, victim):
        """Start all replicas; return whether the victim crashed in the meantime."""
        for vm in cluster.vms:
            try:
                (await cluster.start(vm)).unwrap()
            except disks.CrashError:
                assert vm == victim
        await asyncio.sleep(0.1)
        return cluster.disks[victim].faults.is_crashed

    async def test_repeated_crashes_of_all_replicas_lose_nothing(self):
        cluster, items = await start_filled_cluster(30, snapshot_every=7)
        for number in range(10):
            for vm in cluster.vms:
                await cluster.crash(vm)
            for vm in cluster.vms:
                (await cluster.start(vm)).unwrap()
            await cluster.propose(b"again %d" % number)
            items.append(b"again %d" % number)
        await cluster.until_all_hold(items)
        await cluster.stop()


@pytest.mark.looptime
class TestFailedDisk:
    @pytest.mark.parametrize("fault", ["fails_sync", "fails_write", "is_full"])
    async def test_a_refusing_disk_never_counts_for_a_majority(self, fault):
        for seed in range(6):
            cluster, items = await start_filled_cluster(3, seed=seed)
            leader = await cluster.leader()
            isolated, sound = [vm for vm in cluster.vms if vm != leader]
            cluster.network.isolate(isolated)
            refusing = leader if seed % 2 else sound
            setattr(cluster.disks[refusing].faults, fault, True)
            proposal = asyncio.create_task(
                cluster.groups[leader].propose("client", "x", b"x")
            )
            await asyncio.sleep(3.0)
            assert b"x" not in cluster.items(sound)
            assert not proposal.done() or isinstance(proposal.result(), result.Failure)
            # What the refusing disk holds is not enough to acknowledge the command.
            await cluster.crash(refusing)
            (await cluster.start(refusing)).unwrap()
            cluster.network.heal()
            proposal.cancel()
            await cluster.propose(b"x")
            await cluster.until_all_hold([*items, b"x"])
            await cluster.stop()

    async def test_refuses_to_start_with_a_damaged_log(self):
        cluster, _ = await start_filled_cluster(3)
        vm = cluster.vms[0]
        disk = cluster.disks[vm]
        await cluster.groups.pop(vm).stop()
        folder = disk.folder(f"group-{clusters.GROUP}")
        name = next(name for name in folder.names() if name.startswith("segment-"))
        folder.flip_bit(name, len(folder.read(name)) // 2)
        failure = (await cluster.start(vm)).failure()
        assert failure.code is codes.Code.STORAGE_DAMAGED
        assert name in failure.message
        await cluster.stop()


@pytest.mark.looptime
class TestWipedDisk:
    @pytest.mark.parametrize("snapshot_every", [10, 4096])
    async def test_rejoins_as_learner_and_becomes_voter(self, snapshot_every):
        cluster, items = await start_filled_cluster(snapshot_every=snapshot_every)
        for vm in cluster.vms:
            await cluster.wipe(vm)
            await cluster.until_caught_up(vm, items)
        assert cluster.voters(await cluster.leader()) == cluster.vms
        await cluster.stop()

    async def test_becomes_a_voter_only_with_all_committed_entries(self):
        cluster, items = await start_filled_cluster(600)
        leader = cluster.groups[await cluster.leader()]
        wiped = next(vm for vm in cluster.vms if cluster.groups[vm] is not leader)
        await cluster.wipe(wiped)
        learner = cluster.groups[wiped].replica
        await cluster.until(
            lambda: leader.members().has_voter(learner.replica_id), step_s=0.001
        )
        assert learner.log.last_index >= len(items)
        await cluster.stop()

    async def test_does_not_vote_before_it_has_all_entries(self):
        cluster, _ = await start_filled_cluster()
        leader = await cluster.leader()
        wiped, kept = [vm for vm in cluster.vms if vm != leader]
        cluster.network.isolate(kept)
        await cluster.propose(b"on two disks")
        await cluster.crash(leader)
        cluster.network.heal()
        # The wiped replica and the one that was isolated don't have the last command.
        # By address they are a majority, but they must not elect a leader.
        await cluster.wipe(wiped)
        await asyncio.sleep(60)
        assert not cluster.leaders()
        (await cluster.start(leader)).unwrap()
        assert await cluster.leader() == leader
        await cluster.until(lambda: cluster.items(wiped)[-1:] == [b"on two disks"])
        await cluster.stop()

    async def test_a_second_wipe_right_after_a_repair_loses_nothing(self):
        for seed in range(5):
            cluster, items = await start_filled_cluster(20, seed=seed, snapshot_every=8)
            leader = await cluster.leader()
            repaired, lost = [vm for vm in cluster.vms if vm != leader]
            await cluster.wipe(repaired)
            await cluster.until_caught_up(repaired, items)
            await cluster.wipe(lost if seed % 2 else leader)
            await cluster.propose(b"after")
            for vm in cluster.vms:
                await cluster.until_caught_up(vm, [*items, b"after"])
            await cluster.stop()

    async def test_a_second_wipe_during_a_repair_loses_nothing(self):
        cluster, items = await start_filled_cluster(20)
        leader = await cluster.leader()
        first, second = [vm for vm in cluster.vms if vm != leader]
        await cluster.wipe(first)
        await cluster.wipe(second)
        await asyncio.sleep(30)
        assert cluster.items(leader) == items
        for vm in (first, second):
            assert cluster.items(vm) in ([], items)
            assert set(cluster.groups[vm].members().members) == set() or (
                cluster.items(vm) == items
            )
        await cluster.stop()


@pytest.mark.looptime
class TestMembers:
    async def test_a_vm_is_added_and_the_leader_removed(self):
        cluster, items = await start_filled_cluster(snapshot_every=10)
        leader = cluster.groups[await cluster.leader()]
        assert (await leader.add_member("vm-9")).unwrap() is None
        cluster.disks["vm-9"] = disks.FakeDisk()
        (await cluster.start("vm-9")).unwrap()
        await cluster.until_caught_up("vm-9", items)
        assert (await leader.remove_member(leader.replica.settings.vm)).unwrap() is None
        await cluster.propose(b"after")
        assert cluster.voters("vm-9") == sorted(
            {*cluster.vms, "vm-9"} - {leader.replica.settings.vm}
        )
        await cluster.stop()
