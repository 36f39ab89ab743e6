import asyncio

import pytest

from fakes import clusters
from quetzalpass import ids

SETTLE_S = 3.0


async def start_cluster(seed=0, count=3, voters=3):
    cluster = clusters.Cluster(count, seed, open_voters=voters)
    await cluster.start_all()
    await cluster.leader()
    return cluster


async def start_new_vm(cluster, name):
    vm = ids.VmId(name)
    cluster.disks[vm] = clusters.disks.FakeDisk()
    (await cluster.start(vm)).unwrap()
    return vm


@pytest.mark.looptime
class TestOpenGroups:
    async def test_a_group_forms_only_on_the_first_start(self):
        cluster = clusters.Cluster(3, open_voters=3)
        for vm in cluster.vms:
            (await cluster.start(vm)).unwrap()
        await asyncio.sleep(SETTLE_S)
        assert cluster.leaders() == []
        await cluster.stop()

    async def test_a_blank_new_vm_never_forms_a_group(self):
        cluster = await start_cluster()
        for vm in cluster.vms:
            await cluster.crash(vm)
        new_vm = await start_new_vm(cluster, "vm-0")
        await asyncio.sleep(SETTLE_S)
        assert cluster.groups[new_vm].members().members == []
        await cluster.stop()

    async def test_a_new_vm_stays_a_learner_while_all_voters_run(self):
        cluster = await start_cluster()
        await cluster.propose(b"one")
        new_vm = await start_new_vm(cluster, "vm-9")
        await cluster.until(lambda: cluster.items(new_vm) == [b"one"])
        await asyncio.sleep(SETTLE_S)
        assert new_vm not in cluster.voters(await cluster.leader())
        await cluster.stop()

    @pytest.mark.parametrize("seed", range(10))
    async def test_a_new_vm_replaces_a_lost_voter(self, seed):
        cluster = await start_cluster(seed)
        await cluster.propose(b"one")
        lost = cluster.vms[seed % 3]
        await cluster.crash(lost)
        new_vm = await start_new_vm(cluster, "vm-9")
        kept = [vm for vm in cluster.vms if vm != lost]
        expected = sorted([*kept, new_vm])

        def is_replaced():
            leaders = cluster.leaders()
            return bool(leaders) and cluster.voters(leaders[0]) == expected

        await cluster.until(is_replaced, timeout_s=10.0)
        # Another crash right after the repair loses nothing.
        await cluster.crash(kept[0])
        assert await cluster.propose(b"two") == b"2:two"
        await cluster.until(lambda: cluster.items(new_vm) == [b"one", b"two"])
        await cluster.stop()

    async def test_a_lost_member_is_kept_without_a_replacement(self):
        cluster = await start_cluster()
        await cluster.crash("vm-2")
        await asyncio.sleep(10.0)
        assert "vm-2" in cluster.voters(await cluster.leader())
        await cluster.stop()

    async def test_a_wiped_replica_becomes_a_voter_again(self):
        cluster = await start_cluster()
        await cluster.propose(b"one")
        await cluster.wipe("vm-2")
        await cluster.until(
            lambda: cluster.has_caught_up("vm-2", [b"one"]), timeout_s=6.0
        )
        await cluster.stop()

    @pytest.mark.parametrize("is_restarted", [False, True])
    async def test_a_member_that_was_replaced_while_isolated_joins_again(
        self, is_restarted
    ):
        cluster = await start_cluster(count=4)
        await cluster.propose(b"one")
        leader = await cluster.leader()
        lost = next(vm for vm in cluster.voters(leader) if vm != leader)
        cluster.network.isolate(lost)

        def is_removed():
            leaders = [vm for vm in cluster.leaders() if vm != lost]
            return bool(leaders) and lost not in cluster.voters(leaders[0])

        await cluster.until(is_removed, timeout_s=10.0)
        await cluster.propose(b"two", vm=await cluster.leader(excluded=(lost,)))
        if is_restarted:
            await cluster.restart(lost)
        cluster.network.heal()
        await cluster.until(
            lambda: cluster.items(lost) == [b"one", b"two"], timeout_s=8.0
        )
        await cluster.stop()

    async def test_vms_that_are_not_seeds_become_voters(self):
        cluster = clusters.Cluster(6, open_voters=5)
        cluster.seeds = cluster.vms[3:]
        await cluster.start_all()
        await cluster.until(
            lambda: any(len(cluster.voters(vm)) == 5 for vm in cluster.leaders())
        )
        await asyncio.sleep(SETTLE_S)
        assert len(cluster.voters(await cluster.leader())) == 5
        await cluster.stop()
