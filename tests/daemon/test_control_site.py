import asyncio
import contextlib
import random

import pytest
from returns import result

from declarations import relay_builders
from fakes import relay_servers
from quetzalpass import ids
from quetzalpass.bench import local_ports
from quetzalpass.control import declared_state
from quetzalpass.daemon import control_site, gateway_site
from quetzalpass.lifecycle import relay_requests, shared_budget
from quetzalpass.membership import discovery
from quetzalpass.routing import relay_placement

KEY = "cluster"
VERDICT = declared_state.PublishVerdict


SERVERS = (
    relay_servers.discovered("e-a", "ledger"),
    relay_servers.discovered("m-a"),
    relay_servers.discovered("m-b"),
)
NEED = relay_placement.GenerationNeed(3_000, 900, objective_s=1.8)


class FixedList(discovery.ServerSource):
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
        self.sites = {}
        self.gateways = []

    async def start(self, vm, may_form=False, folder=None):
        path = self.folder / (folder or vm.replace(":", "-"))
        path.mkdir(exist_ok=True)
        settings = control_site.ControlSettings(vm, self.seeds, str(path), may_form, 3)
        rng = random.Random(vm)
        site = control_site.ControlSite(
            settings, FixedList(), self.fleet.connect, KEY, rng
        )
        self.sites[vm] = site
        await site.start()
        return site

    async def start_all(self):
        await asyncio.gather(*(self.start(vm, may_form=True) for vm in self.seeds))
        await self.until(lambda: self.leader() is not None)

    def leader(self):
        for site in self.sites.values():
            if site.group.is_leader_with_lease():
                return site
        return None

    def gateway(self):
        settings = gateway_site.GatewaySettings(
            ids.VmId("127.0.0.1:1"),
            ids.DataCentreId("flx-a"),
            self.seeds,
            shared_budget.BudgetRules(),
            2.0,
        )
        site = gateway_site.GatewaySite(
            settings, FixedList(), self.fleet.connect, KEY, random.Random(0)
        )
        site.start()
        self.gateways.append(site)
        return site

    async def stop(self, vm):
        await self.sites.pop(vm).stop()

    async def until(self, condition, timeout_s=20.0):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def close(self):
        for gateway in self.gateways:
            await gateway.stop()
        for vm in list(self.sites):
            await self.stop(vm)


@pytest.fixture
async def cluster(tmp_path):
    made = Cluster(tmp_path)
    yield made
    await made.close()


def declaration(name="reads"):
    return relay_builders.declaration(relay_builders.route(name=name))


async def publish(site, revision, name="reads"):
    document = f"{revision} {name}".encode()
    outcome = await site.publish(ids.Revision(revision), declaration(name), document)
    return outcome.unwrap().verdict


@pytest.mark.looptime
class TestPublishing:
    async def test_the_highest_revision_wins_at_any_node(self, cluster):
        await cluster.start_all()
        one, two, three = cluster.sites.values()
        assert await publish(one, 3) is VERDICT.ACCEPTED
        assert await publish(two, 3) is VERDICT.HELD
        assert await publish(two, 3, "other") is VERDICT.CONFLICT
        assert await publish(three, 2, "old") is VERDICT.OVERTAKEN
        assert await publish(three, 9, "newest") is VERDICT.ACCEPTED
        for site in (one, two, three):
            newest = (await site.read_newest()).unwrap()
            assert newest.document == b"9 newest"

    async def test_it_is_held_after_all_have_stopped_and_started(self, cluster):
        await cluster.start_all()
        await publish(next(iter(cluster.sites.values())), 5)
        for vm in list(cluster.sites):
            await cluster.stop(vm)
        for vm in cluster.seeds:
            await cluster.start(vm)
        await cluster.until(lambda: cluster.leader() is not None)
        site = next(iter(cluster.sites.values()))
        assert (await site.read_newest()).unwrap().document == b"5 reads"
        assert await publish(site, 5) is VERDICT.HELD

    async def test_a_node_that_is_cut_off_does_not_answer_reads(self, cluster):
        await cluster.start_all()
        site = cluster.leader()
        await publish(site, 5)
        with contextlib.suppress(AssertionError):
            for vm in [each for each in cluster.sites if each != site.settings.vm]:
                await cluster.stop(vm)
        assert isinstance(await site.read_newest(), result.Failure)

    async def test_a_replacement_takes_over_for_a_lost_node(self, cluster):
        await cluster.start_all()
        await publish(cluster.leader(), 5)
        lost = next(
            vm for vm, each in cluster.sites.items() if each != cluster.leader()
        )
        await cluster.stop(lost)
        newcomer = await cluster.start(cluster.vms[3])
        await cluster.until(
            lambda: newcomer.group.members().has_voter(
                newcomer.group.replica.replica_id
            )
        )
        assert (await newcomer.read_newest()).unwrap().document == b"5 reads"

    async def test_an_emptied_disk_gets_everything_again(self, cluster):
        await cluster.start_all()
        await publish(cluster.leader(), 5)
        wiped = next(
            vm for vm, each in cluster.sites.items() if each != cluster.leader()
        )
        await cluster.stop(wiped)
        site = await cluster.start(wiped, folder="emptied")
        await cluster.until(lambda: site.declared.current.revision == 5)


def routed_draft(gateway):
    loop_s = asyncio.get_running_loop().time()
    request = relay_requests.RelayRequest(
        ids.RequestId("r-1"),
        "POST",
        "/drafts/1",
        "desk.example",
        (),
        b"",
        relay_builders.KEY,
        None,
        loop_s,
        relay_requests.GenerationSize(3_000, 900),
    )
    return gateway.gateway.route(request).unwrap()


@pytest.mark.looptime
class TestAllocation:
    async def started(self, cluster):
        await cluster.start_all()
        gateway = cluster.gateway()
        await cluster.leader().publish(
            ids.Revision(5), relay_builders.declaration(), b"5"
        )
        await cluster.until(gateway.is_ready)
        await cluster.until(lambda: "m-a" in gateway.view.servers)
        return gateway

    async def granted(self, gateway):
        reservations = gateway.reservations
        waited = await reservations.wait_for_engine(routed_draft(gateway), NEED)
        return waited.unwrap()

    async def test_the_leader_grants_engines_and_learns_of_their_use(self, cluster):
        gateway = await self.started(cluster)
        await asyncio.sleep(1.0)
        reservations = [await self.granted(gateway) for _ in range(4)]
        assert all(reservation.is_granted for reservation in reservations)
        registry = cluster.leader().server_registry

        def counted():
            return sum(registry.totals.of(name).requests for name in ("m-a", "m-b"))

        await cluster.until(lambda: counted() == 4)
        assert not cluster.leader().allocator.pending
        for reservation in reservations:
            reservation.release()
        await cluster.until(lambda: counted() == 0)

    async def test_without_a_leader_the_gateway_chooses_and_the_next_takes_over(
        self, cluster
    ):
        gateway = await self.started(cluster)
        for vm in list(cluster.sites):
            await cluster.stop(vm)
        first = await self.granted(gateway)
        assert not first.is_granted
        for vm in cluster.seeds:
            await cluster.start(vm)
        await cluster.until(lambda: cluster.leader() is not None)
        await asyncio.sleep(3.0)
        second = await self.granted(gateway)
        assert second.is_granted
        assert second.server.id != first.server.id


@pytest.mark.looptime
class TestGatewaysFollow:
    async def test_a_gateway_is_ready_once_it_has_the_newest(self, cluster):
        gateway = cluster.gateway()
        assert not gateway.is_ready()
        await cluster.start_all()
        await publish(cluster.leader(), 5)
        await cluster.until(gateway.is_ready)
        assert gateway.holder.revision() == 5
        await cluster.until(lambda: "e-a" in gateway.view.servers)

    async def test_a_change_is_in_force_within_half_a_second(self, cluster):
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

    async def test_it_serves_on_without_control_nodes(self, cluster):
        await cluster.start_all()
        gateway = cluster.gateway()
        await publish(cluster.leader(), 5)
        await cluster.until(gateway.is_ready)
        for vm in list(cluster.sites):
            await cluster.stop(vm)
        await asyncio.sleep(5.0)
        assert gateway.is_ready()
        age_s = asyncio.get_running_loop().time() - gateway.view.read_at_s
        assert age_s < 3.0

    async def test_it_learns_control_nodes_that_the_seeds_do_not_name(self, cluster):
        await cluster.start_all()
        gateway = cluster.gateway()
        newcomer = await cluster.start(cluster.vms[3])
        await cluster.until(lambda: newcomer.settings.vm in gateway.links.controls)
