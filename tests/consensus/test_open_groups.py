import asyncio

import pytest

from fakes import clusters
from quetzalpass import ids

FORMING_S = 3.0


async def formed(seed=0, count=3, voters=3):
    cluster = clusters.Cluster(count, seed, open_voters=voters)
    await cluster.start_all()
    await cluster.leader()
    return cluster


async def add(cluster, name):
    vm = ids.VmId(name)
    cluster.disks[vm] = clusters.disks.FakeDisk()
    (await cluster.start(vm)).unwrap()
    return vm


@pytest.mark.looptime
class TestOpenGroups:
    async def test_a_group_forms_on_the_first_start_only(self):
        cluster = clusters.Cluster(3, open_voters=3)
        for vm in cluster.vms:
            (await cluster.start(vm)).unwrap()
        await asyncio.sleep(FORMING_S)
        assert cluster.leaders() == []
        await cluster.stop()

    async def test_a_blank_newcomer_never_forms_a_group(self):
        cluster = await formed()
        for vm in cluster.vms:
            await cluster.crash(vm)
        newcomer = await add(cluster, "vm-0")
        await asyncio.sleep(FORMING_S)
        assert cluster.groups[newcomer].members().members == []
        await cluster.stop()

    async def test_a_newcomer_learns_but_does_not_vote_while_all_are_there(self):
        cluster = await formed()
        await cluster.propose(b"one")
        newcomer = await add(cluster, "vm-9")
        await cluster.until(lambda: cluster.items(newcomer) == [b"one"])
        await asyncio.sleep(FORMING_S)
        assert newcomer not in cluster.voters(await cluster.leader())
        await cluster.stop()

    @pytest.mark.parametrize("seed", range(10))
    async def test_a_newcomer_takes_the_place_of_a_lost_member(self, seed):
        cluster = await formed(seed)
        await cluster.propose(b"one")
        lost = cluster.vms[seed % 3]
        await cluster.crash(lost)
        newcomer = await add(cluster, "vm-9")
        kept = [vm for vm in cluster.vms if vm != lost]
        expected = sorted([*kept, newcomer])

        def is_replaced():
            leaders = cluster.leaders()
            return bool(leaders) and cluster.voters(leaders[0]) == expected

        await cluster.until(is_replaced, timeout_s=10.0)
        # A second loss right after the repair loses nothing.
        await cluster.crash(kept[0])
        assert await cluster.propose(b"two") == b"2:two"
        await cluster.until(lambda: cluster.items(newcomer) == [b"one", b"two"])
        await cluster.stop()

    async def test_a_member_that_is_gone_keeps_its_place_without_a_newcomer(self):
        cluster = await formed()
        await cluster.crash("vm-2")
        await asyncio.sleep(10.0)
        assert "vm-2" in cluster.voters(await cluster.leader())
        await cluster.stop()

    async def test_an_emptied_disk_becomes_a_voter_again(self):
        cluster = await formed()
        await cluster.propose(b"one")
        await cluster.wipe("vm-2")
        await cluster.until(
            lambda: cluster.has_caught_up("vm-2", [b"one"]), timeout_s=6.0
        )
        await cluster.stop()

    @pytest.mark.parametrize("is_restarted", [False, True])
    async def test_a_member_that_lost_its_place_while_cut_off_joins_again(
        self, is_restarted
    ):
        cluster = await formed(count=4)
        await cluster.propose(b"one")
        leader = await cluster.leader()
        lost = next(vm for vm in cluster.voters(leader) if vm != leader)
        cluster.network.isolate(lost)

        def is_expelled():
            leaders = [vm for vm in cluster.leaders() if vm != lost]
            return bool(leaders) and lost not in cluster.voters(leaders[0])

        await cluster.until(is_expelled, timeout_s=10.0)
        await cluster.propose(b"two", vm=await cluster.leader(excluded=(lost,)))
        if is_restarted:
            await cluster.restart(lost)
        cluster.network.heal()
        await cluster.until(
            lambda: cluster.items(lost) == [b"one", b"two"], timeout_s=8.0
        )
        await cluster.stop()

    async def test_more_machines_than_seeds_fill_up_the_voters(self):
        cluster = clusters.Cluster(6, open_voters=5)
        cluster.seeds = cluster.vms[3:]
        await cluster.start_all()
        await cluster.until(
            lambda: any(len(cluster.voters(vm)) == 5 for vm in cluster.leaders())
        )
        await asyncio.sleep(FORMING_S)
        assert len(cluster.voters(await cluster.leader())) == 5
        await cluster.stop()
