import asyncio

import pytest

from fakes import clusters
from quetzalpass import ids

SETTLE_S = 3.0
JOIN_S = 8.0


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


async def start_cluster_led_by_no_seed(seed=0, former=()):
    """Start six VMs, five of them voters and the first three seeds."""
    cluster = clusters.Cluster(6, seed, open_voters=5)
    cluster.former_vms = set(former)
    cluster.seeds = cluster.vms[:3]
    await cluster.start_all()
    await cluster.until(
        lambda: any(len(cluster.voters(vm)) == 5 for vm in cluster.leaders())
    )
    await move_leadership(cluster, cluster.vms[3:])
    return cluster


async def move_leadership(cluster, wanted):
    """Transfer leadership to one of the given VMs, which must be a voter."""
    leader = await cluster.leader()
    while leader not in wanted:
        peers = cluster.groups[leader].leadership.peers.values()
        target = next(
            each for each in peers if each.member.is_voter and each.member.vm in wanted
        )
        target.match_index += 1
        await cluster.groups[leader].transfer_leadership()
        leader = await cluster.leader()


def is_member(cluster, vm):
    replica_id = cluster.groups[vm].replica.replica_id
    leaders = cluster.leaders()
    return bool(leaders) and cluster.groups[leaders[0]].members().has_replica(
        replica_id
    )


@pytest.mark.looptime
class TestJoiningWhileNoSeedLeads:
    @pytest.mark.parametrize("seed", range(5))
    async def test_disks_lost_one_after_the_other_are_all_replaced(self, seed):
        cluster = await start_cluster_led_by_no_seed(seed)
        items = []
        leader = await cluster.leader()
        lost = [*cluster.seeds, *(vm for vm in cluster.vms[3:] if vm != leader)]
        for number, vm in enumerate(lost[:4]):
            await cluster.propose(b"%d" % number)
            items.append(b"%d" % number)
            await cluster.wipe(vm)
            await cluster.until(
                lambda vm=vm: is_member(cluster, vm) and cluster.items(vm) == items,
                timeout_s=JOIN_S,
            )
            await asyncio.sleep(SETTLE_S)
        await cluster.propose(b"last")
        await cluster.stop()

    async def test_a_new_vm_joins_although_all_its_seeds_follow(self):
        cluster = await start_cluster_led_by_no_seed()
        await cluster.propose(b"one")
        new_vm = await start_new_vm(cluster, "vm-9")
        await cluster.until(lambda: cluster.items(new_vm) == [b"one"], timeout_s=JOIN_S)
        await cluster.stop()

    async def test_a_new_vm_joins_by_one_follower_when_other_seeds_are_gone(self):
        cluster = await start_cluster_led_by_no_seed()
        await cluster.propose(b"one")
        cluster.seeds = [ids.VmId("gone-1"), ids.VmId("gone-2"), cluster.vms[1]]
        new_vm = await start_new_vm(cluster, "vm-9")
        await cluster.until(lambda: cluster.items(new_vm) == [b"one"], timeout_s=JOIN_S)
        await cluster.stop()

    async def test_two_wiped_seeds_that_reach_no_other_seed_join_again(self):
        cluster = await start_cluster_led_by_no_seed()
        await cluster.propose(b"one")
        cluster.seeds = [*cluster.vms[:2], ids.VmId("gone-1")]
        wiped = cluster.vms[:2]
        for vm in wiped:
            await cluster.crash(vm)
            cluster.disks[vm] = clusters.disks.FakeDisk()
        for vm in wiped:
            (await cluster.start(vm)).unwrap()
        for vm in wiped:
            await cluster.until(
                lambda vm=vm: cluster.items(vm) == [b"one"], timeout_s=JOIN_S
            )
        await cluster.stop()

    @pytest.mark.parametrize("seed", range(6))
    async def test_joins_although_the_leader_changes_meanwhile(self, seed):
        cluster = await start_cluster_led_by_no_seed(seed)
        await cluster.propose(b"one")
        leader = await cluster.leader()
        wiped = cluster.seeds[seed % 3]
        await cluster.wipe(wiped)
        await asyncio.sleep(0.002 * seed)
        await cluster.crash(leader)
        await cluster.until(
            lambda: is_member(cluster, wiped) and cluster.items(wiped) == [b"one"],
            timeout_s=JOIN_S,
        )
        await cluster.stop()

    async def test_joins_by_a_former_member_that_knows_no_leader(self):
        cluster = await start_cluster_led_by_no_seed()
        await cluster.propose(b"one")
        stale = cluster.seeds[0]
        cluster.network.isolate(stale)
        # The followers among the members still name each other to the new VM.
        cluster.seeds = [stale]
        await asyncio.sleep(SETTLE_S)
        assert cluster.groups[stale].leader() is None
        cluster.network.heal()
        leader = await cluster.leader()
        cluster.network.cut_links = {(leader, stale), (stale, leader)}
        new_vm = await start_new_vm(cluster, "vm-9")
        await cluster.until(lambda: cluster.items(new_vm) == [b"one"], timeout_s=JOIN_S)
        await cluster.stop()

    async def test_followers_that_name_each_other_as_leader_cause_no_loop(self):
        cluster = clusters.Cluster(2, open_voters=3)
        for vm, other in (cluster.vms, reversed(cluster.vms)):
            (await cluster.start(vm)).unwrap()
            cluster.groups[vm].replica.leader = other
        new_vm = await start_new_vm(cluster, "vm-9")
        for vm in cluster.vms:
            cluster.groups[vm].joiner.seeds = []
        cluster.network.sent_counts.clear()
        await asyncio.sleep(10.0)
        rounds = 10.0 / cluster.groups[new_vm].replica.settings.timing.join_interval_s
        # Two requests and at most one forwarded for each; the same for the two.
        assert cluster.network.sent_counts["StatusRequest"] <= 12 * (rounds + 1)
        assert cluster.groups[new_vm].members().members == []
        await cluster.stop()

    async def test_a_group_of_which_a_member_is_heard_is_not_formed_again(self):
        cluster = await start_cluster()
        fresh = clusters.Cluster(3, seed=7, open_voters=3)
        fresh.network = cluster.network
        fresh.vms = fresh.seeds = [ids.VmId(f"new-{number}") for number in range(3)]
        fresh.disks = {vm: clusters.disks.FakeDisk() for vm in fresh.vms}
        for vm in fresh.vms[:2]:
            (await fresh.start(vm, is_first_start=True)).unwrap()
        fresh.groups[fresh.vms[0]].joiner.learn_vm(cluster.vms[1])
        (await fresh.start(fresh.vms[2], is_first_start=True)).unwrap()
        await asyncio.sleep(SETTLE_S)
        first = fresh.groups[fresh.vms[0]].members()
        assert {each.vm for each in first.members} >= set(cluster.vms)
        await fresh.stop()
        await cluster.stop()


@pytest.mark.looptime
class TestJoiningAmongFormerVersions:
    @pytest.mark.parametrize("former", ["leader", "followers", "joiner"])
    @pytest.mark.parametrize("is_new", [False, True])
    async def test_a_lost_disk_or_a_new_vm_joins(self, former, is_new):
        cluster = await start_cluster_led_by_no_seed()
        await cluster.propose(b"one")
        leader = await cluster.leader()
        joiner = ids.VmId("vm-9") if is_new else cluster.seeds[0]
        followers = set(cluster.vms) - {leader, joiner}
        former_vms = {"leader": {leader}, "followers": followers, "joiner": {joiner}}
        cluster.former_vms = former_vms[former]
        for vm in sorted(cluster.former_vms - {joiner}):
            await cluster.restart(vm)
        await move_leadership(cluster, [leader])
        if is_new:
            await start_new_vm(cluster, joiner)
        else:
            await cluster.wipe(joiner)
        await cluster.until(
            lambda: is_member(cluster, joiner) and cluster.items(joiner) == [b"one"],
            timeout_s=JOIN_S,
        )
        await cluster.stop()


async def start_cluster_with_learners(*names, seed=0, data_centres=None):
    """Start three voters, and learners that hold all their entries."""
    cluster = clusters.Cluster(3, seed, open_voters=3)
    cluster.data_centres = data_centres or {}
    await cluster.start_all()
    await cluster.leader()
    await cluster.propose(b"one")
    for name in names:
        new_vm = await start_new_vm(cluster, name)
        await cluster.until(lambda vm=new_vm: cluster.items(vm) == [b"one"])
    await asyncio.sleep(SETTLE_S)
    return cluster


async def lose_disk(cluster, vm):
    """Lose a disk; its VM is back at once, and an operator's change succeeds."""
    await cluster.wipe(vm)
    assert await cluster.propose(b"two", attempts=30) == b"2:two"


@pytest.mark.looptime
class TestLossesAfterReplacements:
    """A VM of the group is removed for good, and soon another one loses its disk."""

    @pytest.mark.parametrize("is_leader", [False, True])
    @pytest.mark.parametrize("seed", range(5))
    async def test_a_disk_is_lost_right_after_a_planned_replacement(
        self, seed, is_leader
    ):
        cluster = await start_cluster_with_learners("vm-9", seed=seed)
        leader = await cluster.leader()
        voters = [vm for vm in cluster.vms if (vm == leader) is is_leader]
        removed = voters[seed % len(voters)]
        await cluster.stop_as_planned(removed)
        kept = [vm for vm in cluster.vms if vm != removed]
        await lose_disk(cluster, kept[seed % 2])
        await cluster.stop()

    @pytest.mark.parametrize("is_leader", [False, True])
    @pytest.mark.parametrize("seed", range(5))
    async def test_a_disk_is_lost_two_seconds_after_a_kill(self, seed, is_leader):
        cluster = await start_cluster_with_learners("vm-9", seed=seed)
        leader = await cluster.leader()
        voters = [vm for vm in cluster.vms if (vm == leader) is is_leader]
        removed = voters[seed % len(voters)]
        await cluster.crash(removed)
        # A leader has to be missed first, and then another one elected.
        await asyncio.sleep(2.0 if not is_leader else 3.0)
        kept = [vm for vm in cluster.vms if vm != removed]
        await lose_disk(cluster, kept[seed % 2])
        await cluster.stop()

    @pytest.mark.parametrize("is_leader", [False, True])
    @pytest.mark.parametrize("seed", range(5))
    async def test_a_disk_is_lost_once_a_late_successor_had_four_seconds(
        self, seed, is_leader
    ):
        cluster = await start_cluster(seed)
        await cluster.propose(b"one")
        leader = await cluster.leader()
        voters = [vm for vm in cluster.vms if (vm == leader) is is_leader]
        removed = voters[seed % len(voters)]
        await cluster.crash(removed)
        await start_new_vm(cluster, "vm-9")
        await asyncio.sleep(4.0)
        kept = [vm for vm in cluster.vms if vm != removed]
        await lose_disk(cluster, kept[seed % 2])
        await cluster.stop()

    async def test_all_vms_are_replaced_one_after_the_other(self):
        cluster = await start_cluster_with_learners("vm-7")
        for number, vm in enumerate(list(cluster.vms)):
            await cluster.stop_as_planned(vm)
            cluster.seeds = sorted(cluster.groups)
            new_vm = await start_new_vm(cluster, f"new-{number}")
            await cluster.until(lambda vm=new_vm: cluster.items(vm) == [b"one"])
        assert await cluster.propose(b"two") == b"2:two"
        await cluster.stop()

    async def test_two_replacements_at_once_leave_a_majority(self):
        cluster = await start_cluster_with_learners("vm-8", "vm-9")
        leader = await cluster.leader()
        removed = [vm for vm in cluster.vms if vm != leader]
        await asyncio.gather(*(cluster.stop_as_planned(vm) for vm in removed))
        assert cluster.voters(await cluster.leader()) == [leader, "vm-8", "vm-9"]
        await lose_disk(cluster, "vm-8")
        await cluster.stop()

    async def test_a_successor_that_is_cut_off_gets_no_vote(self):
        cluster = await start_cluster_with_learners("vm-9")
        leader = await cluster.leader()
        stopped = next(vm for vm in cluster.vms if vm != leader)
        cluster.network.isolate("vm-9")
        await asyncio.sleep(1.0)
        await cluster.stop_as_planned(stopped)
        assert cluster.voters(await cluster.leader()) == cluster.vms
        assert await cluster.propose(b"two") == b"2:two"
        await cluster.stop()

    async def test_a_stop_without_a_successor_takes_no_time(self):
        cluster = await start_cluster()
        loop = asyncio.get_running_loop()
        vm = next(vm for vm in cluster.vms if vm not in cluster.leaders())
        started_s = loop.time()
        assert not await cluster.groups[vm].release_vote()
        assert loop.time() == started_s
        await cluster.stop()

    async def test_a_voter_beside_a_leader_of_an_earlier_version_stops_in_time(self):
        cluster = await start_cluster_with_learners("vm-9")
        leader = await cluster.leader()
        del cluster.network.tables[leader].handlers["VoteReleaseRequest"]
        vm = next(vm for vm in cluster.vms if vm != leader)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        assert not await cluster.groups[vm].release_vote()
        assert loop.time() - started_s < 2.0
        await cluster.stop()

    async def test_a_voter_that_stopped_and_is_back_takes_part_again(self):
        cluster = await start_cluster_with_learners("vm-9")
        leader = await cluster.leader()
        vm = next(vm for vm in cluster.vms if vm != leader)
        await cluster.stop_as_planned(vm)
        (await cluster.start(vm)).unwrap()
        await cluster.until(lambda: cluster.items(vm) == [b"one"])
        await cluster.crash("vm-9")
        await cluster.until(
            lambda: vm in cluster.voters(next(iter(cluster.leaders()), vm)),
            timeout_s=3.0,
        )
        await cluster.stop()


DATA_CENTRES = {
    ids.VmId(vm): ids.DataCentreId(data_centre)
    for vm, data_centre in {
        "vm-1": "flx-a",
        "vm-2": "flx-b",
        "vm-3": "flx-c",
        "vm-8": "flx-a",
        "vm-9": "flx-c",
    }.items()
}


def voting_data_centres(cluster):
    leaders = cluster.leaders()
    voters = cluster.voters(leaders[0]) if leaders else []
    return sorted(DATA_CENTRES[vm] for vm in voters)


@pytest.mark.looptime
class TestVotesInDataCentres:
    """No data centre keeps a majority of the votes while VMs run in all three."""

    @pytest.mark.parametrize("frozen", ["vm-1", "vm-2", "vm-3"])
    async def test_a_vm_that_was_frozen_gets_back_its_vote(self, frozen):
        cluster = await start_cluster_with_learners("vm-8", data_centres=DATA_CENTRES)
        cluster.network.isolate(frozen)
        await asyncio.sleep(4.0)
        cluster.network.heal()
        await cluster.until(
            lambda: voting_data_centres(cluster) == ["flx-a", "flx-b", "flx-c"],
            timeout_s=4.0,
        )
        await cluster.stop()

    async def test_a_data_centre_is_lost_after_a_freeze_in_another(self):
        cluster = await start_cluster_with_learners("vm-8", data_centres=DATA_CENTRES)
        cluster.network.isolate("vm-3")
        await asyncio.sleep(4.0)
        cluster.network.heal()
        await start_new_vm(cluster, "vm-9")
        await asyncio.sleep(4.0)
        for vm in ("vm-1", "vm-8"):
            cluster.network.isolate(vm)
        cluster.network.cut_links -= {("vm-1", "vm-8"), ("vm-8", "vm-1")}
        await asyncio.sleep(3.0)
        leader = await cluster.leader(excluded=("vm-1", "vm-8"))
        assert await cluster.propose(b"two", vm=leader) == b"2:two"
        await cluster.stop()

    @pytest.mark.parametrize("paused", ["vm-2", "vm-3"])
    async def test_a_data_centre_is_lost_while_a_vm_of_another_pauses(self, paused):
        """A machine without processor time for 1.6 s lost its vote (review/8)."""
        cluster = await start_cluster_with_learners(
            "vm-8", "vm-9", data_centres=DATA_CENTRES
        )
        cluster.network.isolate(paused)
        await asyncio.sleep(1.6)
        cluster.network.heal()
        for vm in ("vm-1", "vm-8"):
            cluster.network.isolate(vm)
        cluster.network.cut_links -= {("vm-1", "vm-8"), ("vm-8", "vm-1")}
        leader = await cluster.leader(excluded=("vm-1", "vm-8"))
        assert await cluster.propose(b"two", vm=leader) == b"2:two"
        await cluster.stop()

    async def test_the_vote_goes_to_a_learner_of_the_same_data_centre(self):
        cluster = await start_cluster_with_learners(
            "vm-8", "vm-9", data_centres=DATA_CENTRES
        )
        await cluster.crash("vm-3")
        await asyncio.sleep(3.0)
        assert cluster.voters(await cluster.leader()) == ["vm-1", "vm-2", "vm-9"]
        await cluster.stop()
