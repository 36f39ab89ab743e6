"""Tests of whole daemons in one process, over loopback and with disks in memory."""

import asyncio
import random

import pytest
from returns import result

from fakes import disks
from quetzalpass import ids
from quetzalpass.bench import control_propagation, fleet_declaration
from quetzalpass.control import ledger_messages
from quetzalpass.daemon import groups, process
from quetzalpass.declarations import schema
from quetzalpass.results import codes
from quetzalpass.storage import disk

pytestmark = pytest.mark.looptime
DECLARED = fleet_declaration.make_declaration(3, 0)
RETENTION = schema.Retention()
WAIT_S = 60.0
MAX_STOP_S = 1.5


@pytest.fixture
async def start_site(tmp_path, monkeypatch):
    # The virtual clock runs only during the test, so the daemons are started there. The
    # disks are fake since a real disk uses threads, which the virtual clock outruns.
    fake_disks = {}

    def open_folder(path):
        return result.Success(fake_disks.setdefault(path, disks.FakeDisk()))

    monkeypatch.setattr(disk, "open_folder", open_folder)
    made = control_propagation.DaemonCluster(tmp_path)

    async def start():
        await made.start()
        return made

    yield start
    await made.stop()


async def until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.05)


def leader_of(site, group=groups.DECLARATION_GROUP):
    for daemon in site.daemons:
        if daemon.replica is None:
            continue
        if daemon.replica.registry.groups[group].is_leader_with_lease():
            return daemon
    return None


async def stop_daemon(site, daemon):
    site.daemons.remove(daemon)
    await daemon.stop()


async def restart(site, vm):
    daemon = process.Daemon(site.settings(vm), random.Random(str(vm)))
    await daemon.start()
    site.daemons.insert(0, daemon)
    return daemon


def claim_key(name):
    return ledger_messages.ClaimKey(
        ids.OrganisationId("carrier-1"), ids.IdempotencyKey(name)
    )


class TestDeclarations:
    async def test_a_revision_is_in_force_everywhere_and_survives_the_leader(
        self, start_site
    ):
        site = await start_site()
        first = await site.apply(ids.Revision(0), DECLARED)
        await site.wait_in_force(first)
        leader = leader_of(site)
        await stop_daemon(site, leader)
        second = await site.apply(
            first, control_propagation.change_organisation(DECLARED, 1)
        )
        await site.wait_in_force(second)
        restarted = await restart(site, leader.settings.id)
        await until(lambda: restarted.holder.revision() == second)
        digests = {each.holder.current.digest for each in site.daemons}
        assert len(digests) == 1

    async def test_a_daemon_without_a_disk_gets_the_revision_from_its_peers(
        self, start_site
    ):
        site = await start_site()
        revision = await site.apply(ids.Revision(0), DECLARED)
        await site.wait_in_force(revision)
        vm = site.names[-1]
        await stop_daemon(site, site.daemons[-1])
        for daemon in [each for each in site.daemons if each.replica is not None]:
            await stop_daemon(site, daemon)
        restarted = await restart(site, vm)
        await until(lambda: restarted.holder.revision() == revision)
        assert restarted.gateway.refusal() is None


class TestLedger:
    async def test_a_recorded_claim_survives_a_restart_of_all_replicas(
        self, start_site
    ):
        site = await start_site()
        first, other = site.daemons[-1].gateway, site.daemons[-2].gateway
        key = claim_key("waiver-1")
        granted = (await first.ledger.claim(key, "print", RETENTION)).unwrap()
        assert granted.state is ledger_messages.ClaimState.GRANTED
        outcome = ledger_messages.Outcome(200, {}, b"filed", "digest", True)
        await first.ledger.record(key, granted.token, outcome)
        for vm in site.names[: control_propagation.REPLICAS]:
            old_daemon = next(each for each in site.daemons if each.settings.id == vm)
            await stop_daemon(site, old_daemon)
            await restart(site, vm)
        second_claim = (await other.ledger.claim(key, "print", RETENTION)).unwrap()
        assert second_claim.state is ledger_messages.ClaimState.RECORDED
        assert second_claim.outcome.body == b"filed"

    async def test_a_claim_without_a_majority_fails_as_not_run(self, start_site):
        site = await start_site()
        revision = await site.apply(ids.Revision(0), DECLARED)
        await site.wait_in_force(revision)
        replicas = [each for each in site.daemons if each.replica is not None]
        for daemon in replicas[:2]:
            await stop_daemon(site, daemon)
        gateway = site.daemons[-1].gateway
        refused = await gateway.ledger.claim(claim_key("waiver-2"), "print", RETENTION)
        failure = refused.failure()
        assert failure.code is codes.Code.LEDGER_UNAVAILABLE
        assert failure.effective_execution() is codes.Execution.NOT_RUN
        assert failure.retry_after_ms
        assert gateway.refusal() is None


class TestShutdown:
    async def test_drain_refuses_new_requests_and_waits_for_running_ones(
        self, start_site
    ):
        site = await start_site()
        daemon = site.daemons[-1]
        revision = await site.apply(ids.Revision(0), DECLARED)
        await site.wait_in_force(revision)
        daemon.gateway.requests += 1
        draining = asyncio.create_task(daemon.drain())
        await asyncio.sleep(1.0)
        assert not draining.done()
        assert daemon.gateway.refusal().code is codes.Code.DRAINING
        daemon.gateway.requests -= 1
        await asyncio.wait_for(draining, 5.0)

    async def test_long_polls_of_peers_do_not_delay_a_stop(self, start_site):
        site = await start_site()
        revision = await site.apply(ids.Revision(0), DECLARED)
        await site.wait_in_force(revision)
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        for daemon in (site.daemons[-1], leader_of(site)):
            begun_s = loop.time()
            await stop_daemon(site, daemon)
            assert loop.time() - begun_s < MAX_STOP_S
