import asyncio
import contextlib

import pytest

from fakes import clusters
from quetzalpass.results import codes


@contextlib.asynccontextmanager
async def running_cluster(count=3, seed=0, **options):
    cluster = clusters.Cluster(count, seed, **options)
    await cluster.start_all()
    yield cluster
    await cluster.stop()


@pytest.mark.looptime
class TestReplication:
    async def test_a_single_replica_commits(self):
        async with running_cluster(1) as cluster:
            assert await cluster.propose(b"a") == b"1:a"

    async def test_all_replicas_apply_in_the_same_order(self):
        async with running_cluster() as cluster:
            commands = [b"%d" % number for number in range(50)]
            await asyncio.gather(*[cluster.propose(item) for item in commands])
            items = cluster.items(await cluster.leader())
            assert sorted(items) == sorted(commands)
            await cluster.until_all_hold(items)

    async def test_a_follower_names_the_leader(self):
        async with running_cluster() as cluster:
            leader = await cluster.leader()
            other = next(vm for vm in cluster.vms if vm != leader)
            await cluster.until(lambda: cluster.groups[other].leader() == leader)
            outcome = await cluster.groups[other].propose("client", "1", b"a")
            assert outcome.failure().code is codes.Code.NOT_LEADER
            assert leader in outcome.failure().message

    async def test_a_group_forms_only_when_all_initial_members_run(self):
        cluster = clusters.Cluster()
        for vm in cluster.vms[:2]:
            (await cluster.start(vm)).unwrap()
        await asyncio.sleep(30)
        assert not cluster.leaders()
        (await cluster.start(cluster.vms[2])).unwrap()
        await cluster.propose(b"a")
        await cluster.stop()
