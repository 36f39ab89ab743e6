import asyncio
import contextlib
import os
import random
import time

import pytest
from returns import result

from declarations import relay_builders
from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.backends import discovery
from quetzalpass.bench import local_ports
from quetzalpass.control import declared_state
from quetzalpass.daemon import control_role, gateway_role
from quetzalpass.membership import inner_messages
from quetzalpass.relay import relay_requests, shared_budget
from quetzalpass.routing import relay_placement
from quetzalpass.wire import transport

KEY = "cluster"
SLOW_SYNC_S = 0.2
MAX_STOP_S = 2.0
VERDICT = declared_state.PublishVerdict


SERVERS = (
    relay_servers.discovered("e-a", "ledger"),
    relay_servers.discovered("m-a"),
    relay_servers.discovered("m-b"),
)
NEED = relay_placement.GenerationNeed(3_000, 900, objective_s=1.8)


class FixedServerSource(discovery.ServerSource):
    def __init__(self):
        self.servers = SERVERS

    async def list_servers(self, timeout_s):
        return result.Success(self.servers)

    async def close(self): ...


class Cluster:
    """Control nodes and gateways over loopback."""

    def __init__(self, folder, count=3):
        self.folder = folder
        self.fleet = relay_servers.Fleet()
        ports = local_ports.free_ports(count + 2)
        self.vms = [ids.VmId(f"127.0.0.1:{port}") for port in ports]
        self.seeds = tuple(self.vms[:count])
        self.nodes = {}
        self.gateways = []

    async def start(self, vm, may_form=False, folder=None):
        path = self.folder / (folder or vm.replace(":", "-"))
        path.mkdir(exist_ok=True)
        settings = control_role.ControlSettings(vm, self.seeds, str(path), may_form, 3)
        # Another folder is another disk, whose id must differ.
        rng = random.Random(str(path))
        node = control_role.ControlRole(
            settings, FixedServerSource(), self.fleet.connect, KEY, rng
        )
        self.nodes[vm] = node
        await node.start()
        return node

    async def start_all(self):
        await asyncio.gather(*(self.start(vm, may_form=True) for vm in self.seeds))
        await self.until(lambda: self.leader() is not None)

    def leader(self):
        for node in self.nodes.values():
            if node.group.is_leader_with_lease():
                return node
        return None

    def gateway(self):
        settings = gateway_role.GatewaySettings(
            ids.VmId("127.0.0.1:1"),
            ids.DataCentreId("flx-a"),
            self.seeds,
            shared_budget.BudgetRules(),
            2.0,
        )
        gateway = gateway_role.GatewayRole(
            settings, FixedServerSource(), self.fleet.connect, KEY, random.Random(0)
        )
        gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def stop(self, vm):
        await self.nodes.pop(vm).stop()

    async def kill(self, vm):
        """End a node without the steps of a planned stop."""
        node = self.nodes.pop(vm)
        for task in node.tasks:
            task.cancel()
        await node.group.stop()
        await node.listener.close(0.0)
        await node.channel.close()
        node.disk.close()

    async def until(self, condition, timeout_s=20.0):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def close(self):
        for gateway in self.gateways:
            await gateway.stop()
        for vm in list(self.nodes):
            await self.stop(vm)


@pytest.fixture
async def cluster(tmp_path):
    cluster = Cluster(tmp_path)
    yield cluster
    await cluster.close()


def declaration(name="reads"):
    return relay_builders.declaration(relay_builders.route(name=name))


async def publish(node, revision, name="reads"):
    document = f"{revision} {name}".encode()
    outcome = await node.publish(ids.Revision(revision), declaration(name), document)
    return outcome.unwrap().verdict


@pytest.mark.looptime
class TestSlowDisks:
    async def test_a_leader_is_elected_although_each_sync_takes_0_2_s(
        self, cluster, monkeypatch
    ):
        for name in ("fsync", "fdatasync"):
            monkeypatch.setattr(os, name, slow(getattr(os, name)))
        await cluster.start_all()


def slow(sync):
    def sync_slowly(descriptor):
        time.sleep(SLOW_SYNC_S)
        return sync(descriptor)

    return sync_slowly


@pytest.mark.looptime
class TestPublishing:
    async def test_the_highest_revision_wins_on_every_node(self, cluster):
        await cluster.start_all()
        one, two, three = cluster.nodes.values()
        assert await publish(one, 3) is VERDICT.ACCEPTED
        assert await publish(two, 3) is VERDICT.HELD
        assert await publish(two, 3, "other") is VERDICT.CONFLICT
        assert await publish(three, 2, "old") is VERDICT.OVERTAKEN
        assert await publish(three, 9, "newest") is VERDICT.ACCEPTED
        for node in (one, two, three):
            newest = (await node.read_newest()).unwrap()
            assert newest.document == b"9 newest"

    async def test_a_revision_is_kept_after_all_nodes_have_restarted(self, cluster):
        await cluster.start_all()
        await publish(next(iter(cluster.nodes.values())), 5)
        for vm in list(cluster.nodes):
            await cluster.stop(vm)
        for vm in cluster.seeds:
            await cluster.start(vm)
        await cluster.until(lambda: cluster.leader() is not None)
        node = next(iter(cluster.nodes.values()))
        assert (await node.read_newest()).unwrap().document == b"5 reads"
        assert await publish(node, 5) is VERDICT.HELD

    async def test_a_node_without_a_majority_fails_to_read_the_newest(self, cluster):
        await cluster.start_all()
        node = cluster.leader()
        await publish(node, 5)
        with contextlib.suppress(AssertionError):
            for vm in [each for each in cluster.nodes if each != node.settings.vm]:
                await cluster.stop(vm)
        assert isinstance(await node.read_newest(), result.Failure)

    async def test_a_new_node_replaces_a_lost_one(self, cluster):
        await cluster.start_all()
        await publish(cluster.leader(), 5)
        lost = next(
            vm for vm, each in cluster.nodes.items() if each != cluster.leader()
        )
        await cluster.stop(lost)
        new_node = await cluster.start(cluster.vms[3])
        await cluster.until(
            lambda: new_node.group.members().has_voter(
                new_node.group.replica.replica_id
            )
        )
        assert (await new_node.read_newest()).unwrap().document == b"5 reads"

    async def test_a_node_with_a_wiped_disk_recovers_the_declaration(self, cluster):
        await cluster.start_all()
        await publish(cluster.leader(), 5)
        wiped = next(
            vm for vm, each in cluster.nodes.items() if each != cluster.leader()
        )
        await cluster.stop(wiped)
        node = await cluster.start(wiped, folder="emptied")
        await cluster.until(lambda: node.declared.current.revision == 5)


def routed_draft(gateway):
    now_s = asyncio.get_running_loop().time()
    request = relay_requests.RelayRequest(
        ids.RequestId("r-1"),
        "POST",
        "/drafts/1",
        "desk.example",
        (),
        b"",
        relay_builders.KEY,
        None,
        now_s,
        relay_requests.GenerationSize(3_000, 900),
    )
    return gateway.gateway.route(request).unwrap()


@pytest.mark.looptime
class TestAllocation:
    async def started_gateway(self, cluster):
        await cluster.start_all()
        gateway = cluster.gateway()
        await cluster.leader().publish(
            ids.Revision(5), relay_builders.declaration(), b"5"
        )
        await cluster.until(gateway.is_ready)
        await cluster.until(lambda: "m-a" in gateway.view.servers)
        return gateway

    async def reserve_engine(self, gateway):
        reservations = gateway.reservations
        waited = await reservations.wait_for_engine(routed_draft(gateway), NEED)
        return waited.unwrap()

    async def test_the_leader_grants_engines_and_counts_their_requests(self, cluster):
        gateway = await self.started_gateway(cluster)
        await asyncio.sleep(1.0)
        reservations = [await self.reserve_engine(gateway) for _ in range(4)]
        assert all(reservation.is_granted for reservation in reservations)
        registry = cluster.leader().server_registry

        def counted_requests():
            return sum(registry.totals.get(name).requests for name in ("m-a", "m-b"))

        await cluster.until(lambda: counted_requests() == 4)
        assert not cluster.leader().allocator.pending
        for reservation in reservations:
            reservation.release()
        await cluster.until(lambda: counted_requests() == 0)

    async def test_the_gateway_chooses_engines_until_there_is_a_new_leader(
        self, cluster
    ):
        gateway = await self.started_gateway(cluster)
        for vm in list(cluster.nodes):
            await cluster.stop(vm)
        first = await self.reserve_engine(gateway)
        assert not first.is_granted
        for vm in cluster.seeds:
            await cluster.start(vm)
        await cluster.until(lambda: cluster.leader() is not None)
        await asyncio.sleep(3.0)
        second = await self.reserve_engine(gateway)
        assert second.is_granted
        assert second.server.id != first.server.id


@pytest.mark.looptime
class TestGateways:
    async def test_a_gateway_is_ready_once_it_has_the_newest_revision(self, cluster):
        gateway = cluster.gateway()
        assert not gateway.is_ready()
        await cluster.start_all()
        await publish(cluster.leader(), 5)
        await cluster.until(gateway.is_ready)
        assert gateway.holder.revision() == 5
        await cluster.until(lambda: "e-a" in gateway.view.servers)

    async def test_a_revision_is_in_force_within_half_a_second(self, cluster):
        await cluster.start_all()
        gateway = cluster.gateway()
        await publish(cluster.leader(), 5)
        await cluster.until(gateway.is_ready)
        for revision in range(6, 12):
            await publish(cluster.leader(), revision)
            await cluster.until(
                lambda wanted=revision: gateway.holder.revision() == wanted,
                timeout_s=0.5,
            )

    async def test_a_gateway_stays_ready_without_control_nodes(self, cluster):
        await cluster.start_all()
        gateway = cluster.gateway()
        await publish(cluster.leader(), 5)
        await cluster.until(gateway.is_ready)
        for vm in list(cluster.nodes):
            await cluster.stop(vm)
        await asyncio.sleep(5.0)
        assert gateway.is_ready()
        age_s = asyncio.get_running_loop().time() - gateway.view.read_at_s
        assert age_s < 3.0

    async def test_a_gateway_learns_control_nodes_beyond_the_seeds(self, cluster):
        await cluster.start_all()
        gateway = cluster.gateway()
        new_node = await cluster.start(cluster.vms[3])
        await cluster.until(lambda: new_node.settings.vm in gateway.links.controls)


@pytest.mark.looptime
class TestStop:
    async def test_requests_of_gateways_that_wait_get_a_reply(self, cluster):
        await cluster.start_all()
        leader = cluster.leader()
        vm = leader.settings.vm
        await publish(leader, 1)
        await cluster.until(lambda: leader.holder.revision() == 1)
        channel = transport.HttpTransport(transport.DirectAddresses(), KEY)
        waiting = inner_messages.DeclarationRequest(ids.Revision(1), 30.0)
        reply = asyncio.create_task(channel.call(vm, waiting, 60.0))
        await asyncio.sleep(0.5)
        started_s = asyncio.get_running_loop().time()
        await cluster.stop(vm)
        assert (await reply).unwrap().revision == 0
        assert asyncio.get_running_loop().time() - started_s < MAX_STOP_S
        assert cluster.leader() is not None
        await channel.close()


class TestReplacement:
    """On the real clock, as what is due a second later counts here."""

    @pytest.mark.parametrize("is_leader", [False, True])
    async def test_a_disk_is_lost_after_a_node_was_replaced_as_planned(
        self, cluster, is_leader
    ):
        # A node that ended with its vote left one of three votes for the state.
        await cluster.start_all()
        await publish(cluster.leader(), 5)
        successor = await cluster.start(cluster.vms[3])
        await cluster.until(lambda: successor.declared.current.revision == 5)
        leader = cluster.leader()
        replaced = next(
            each for each in cluster.seeds if (each == leader.settings.vm) is is_leader
        )
        await cluster.stop(replaced)
        emptied = next(each for each in cluster.seeds if each in cluster.nodes)
        await cluster.kill(emptied)
        await cluster.start(emptied, folder="emptied")
        await cluster.until(lambda: cluster.leader() is not None)
        assert (await successor.read_newest()).unwrap().document == b"5 reads"
