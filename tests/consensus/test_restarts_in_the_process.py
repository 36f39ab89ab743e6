"""Replicas whose own code fails, and that start anew within their process."""

import asyncio

import pytest

from declarations import relay_builders
from fakes import clusters
from quetzalpass import background
from quetzalpass.control import declared_state
from quetzalpass.daemon import activation
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration
from quetzalpass.results import codes
from quetzalpass.storage import health


async def start_cluster(count=3, commands=10, **options):
    cluster = clusters.Cluster(count, **options)
    await cluster.start_all()
    items = [b"%d" % number for number in range(commands)]
    for item in items:
        await cluster.propose(item)
    await cluster.until_all_hold(items)
    return cluster, items


async def raise_error():
    raise ValueError("a fault of the replica's own")


def fail_a_task(cluster, vm):
    cluster.groups[vm].replica.spawn(raise_error())


def folder_of(cluster, vm):
    return cluster.disks[vm].folder(f"group-{clusters.GROUP}")


def empty_folder(cluster, vm):
    folder_of(cluster, vm).files.clear()
    folder_of(cluster, vm).durable_files.clear()


@pytest.mark.looptime
class TestFailedTasks:
    @pytest.mark.parametrize("snapshot_every", [4, 4096])
    async def test_all_replicas_are_back_after_their_tasks_failed(self, snapshot_every):
        cluster, items = await start_cluster(snapshot_every=snapshot_every)
        for vm in cluster.vms:
            fail_a_task(cluster, vm)
        await asyncio.sleep(0.1)
        assert not any(each.replica.is_running for each in cluster.groups.values())
        await cluster.propose(b"after", attempts=50)
        await cluster.until_all_hold([*items, b"after"])
        await cluster.stop()

    async def test_a_failed_leader_gives_up_its_lease_at_once(self):
        cluster, items = await start_cluster()
        leader = await cluster.leader()
        fail_a_task(cluster, leader)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not cluster.groups[leader].is_leader_with_lease()
        await cluster.propose(b"after", attempts=50)
        await cluster.until_all_hold([*items, b"after"])
        await cluster.stop()

    async def test_the_outcome_of_a_waiting_proposal_is_unknown(self):
        cluster, _ = await start_cluster()
        leader = await cluster.leader()
        cluster.network.isolate(leader)
        proposal = asyncio.create_task(
            cluster.groups[leader].propose("client", "x", b"x")
        )
        await asyncio.sleep(0.01)
        fail_a_task(cluster, leader)
        await asyncio.sleep(0.5)
        assert proposal.result().failure().code is codes.Code.NO_QUORUM
        await cluster.stop()

    async def test_the_pauses_grow_while_it_fails_again(self, monkeypatch):
        cluster, _ = await start_cluster(commands=1)
        victim = cluster.vms[0]
        group = cluster.groups[victim]
        before = background.failure_count()
        monkeypatch.setattr(group.elections, "run", raise_error)
        fail_a_task(cluster, victim)
        await asyncio.sleep(90.0)
        # Pauses of 1, 2, 4, 8, 16, 30 and 30 s lie in this time.
        assert 6 <= background.failure_count() - before <= 9
        monkeypatch.undo()
        await cluster.until(lambda: group.replica.is_running, timeout_s=40.0)
        await cluster.stop()

    async def test_a_command_that_the_state_machine_failed_on_is_applied_later(self):
        cluster, items = await start_cluster()
        for vm in cluster.vms:
            self.fail_once(cluster.groups[vm].replica.machine)
        await cluster.propose(b"after", attempts=50)
        await cluster.until_all_hold([*items, b"after"])
        await cluster.stop()

    def fail_once(self, machine):
        apply = machine.apply

        def fail(index, command):
            machine.apply = apply
            raise ValueError("a fault of the state machine")

        machine.apply = fail

    async def test_a_replica_stops_while_it_waits_to_start_anew(self):
        cluster, _ = await start_cluster()
        for vm in cluster.vms:
            fail_a_task(cluster, vm)
        await asyncio.sleep(0.1)
        before = asyncio.get_running_loop().time()
        await cluster.stop()
        assert asyncio.get_running_loop().time() - before < 0.1


@pytest.mark.looptime
class TestReplacedDisks:
    async def test_it_never_forms_a_group_again(self):
        cluster, _ = await start_cluster(count=1)
        vm = cluster.vms[0]
        fail_a_task(cluster, vm)
        await asyncio.sleep(0.1)
        empty_folder(cluster, vm)
        await asyncio.sleep(20.0)
        assert cluster.groups[vm].replica.is_running
        assert not cluster.leaders()
        await cluster.stop()

    async def test_it_joins_as_a_new_replica(self):
        cluster, items = await start_cluster()
        vm = cluster.vms[0]
        former = cluster.groups[vm].replica.replica_id
        fail_a_task(cluster, vm)
        await asyncio.sleep(0.1)
        empty_folder(cluster, vm)
        await cluster.until_caught_up(vm, items)
        assert cluster.groups[vm].replica.replica_id != former
        await cluster.stop()


@pytest.mark.looptime
class TestDamagedLogs:
    async def test_it_stays_out_until_its_folder_was_emptied(self):
        cluster, items = await start_cluster()
        vm = cluster.vms[0]
        group = cluster.groups[vm]
        fail_a_task(cluster, vm)
        await asyncio.sleep(0.1)
        folder = folder_of(cluster, vm)
        name = next(name for name in folder.names() if name.startswith("segment-"))
        folder.flip_bit(name, len(folder.read(name)) // 2)
        await asyncio.sleep(70.0)
        assert not group.replica.is_running
        assert group.health.condition is health.Condition.DAMAGED
        assert group.health.failure_counts[health.Condition.DAMAGED] == 3
        empty_folder(cluster, vm)
        await asyncio.sleep(31.0)
        await cluster.until_caught_up(vm, items)
        assert group.health.condition is health.Condition.OK
        await cluster.stop()


@pytest.mark.looptime
class TestRevisionInForce:
    async def test_it_never_goes_back(self):
        cluster = clusters.Cluster(1, machine=declared_state.DeclaredState)
        await cluster.start_all()
        vm = cluster.vms[0]
        holder = configuration.ConfigurationHolder()
        declared = cluster.groups[vm].replica.machine
        activation.Activation(declared, holder)
        for revision in range(1, 4):
            await self.publish(cluster, revision)
        await cluster.until(lambda: holder.revision() == 3)
        in_force = []
        holder.observers.append(lambda config: in_force.append(config.revision))
        fail_a_task(cluster, vm)
        for _ in range(40):
            await asyncio.sleep(0.1)
            assert holder.revision() == 3
        await self.publish(cluster, 4)
        await cluster.until(lambda: holder.revision() == 4)
        assert in_force == [4]
        await cluster.stop()

    async def publish(self, cluster, revision):
        data = schema.encode(relay_builders.declaration())
        command = declared_state.PublishCommand(revision, data, b"%d" % revision, "")
        encoded = declared_state.msgspec.msgpack.encode(command)
        await cluster.propose(encoded, f"{revision}", attempts=50)
