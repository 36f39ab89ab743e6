import asyncio

import pytest
from returns import result

from fakes import relay_servers
from quetzalpass.allocation import permits
from quetzalpass.membership import suspect_reports
from quetzalpass.relay import response_statuses
from relay import gateway_harness

pytestmark = pytest.mark.looptime

ENGINES = [relay_servers.discovered(f"e-{name}") for name in "abc"]
SERVICES = [relay_servers.discovered(f"l-{number}", "ledger") for number in (1, 2, 3)]

RELAYED = [("/drafts/1", ENGINES), ("/reads/1", SERVICES)]


def make_harness(servers):
    return gateway_harness.GatewayHarness(servers, length=60)


def fingerprint_of(harness, path):
    routed = harness.gateway.route(harness.request(path)).unwrap()
    return routed.fingerprint


def refuse(harness, path):
    """Apply the report of a peer that servers have crashed under a request."""
    crashes = tuple(suspect_reports.ServerCrash(f"peer/{each}", 1.0) for each in (1, 2))
    report = suspect_reports.SuspectReport(
        fingerprint_of(harness, path), crashes, (), 60.0
    )
    harness.gateway.suspects.merge(suspect_reports.SuspectReports(1, (report,)))


def send_count(harness):
    return sum(harness.send_count(each.id) for each in harness.servers)


async def start_stream(harness, path):
    response, task = harness.start(path)
    while response.data.count(b"id:") < 5:
        await asyncio.sleep(0.01)
    return response, task


class TestSendsOfRefusedRequests:
    """A verdict may arrive between the arrival of a request and any of its sends."""

    async def test_request_that_waits_for_an_engine_is_not_sent(self):
        harness = make_harness(ENGINES)
        reservations = harness.reservations
        for each in ENGINES:
            reservations.add_use(each.id, requests=24, tokens=34_000)
        response, task = harness.start("/drafts/1")
        await asyncio.sleep(0.5)
        refuse(harness, "/drafts/1")
        for each in ENGINES:
            reservations.add_use(each.id, requests=-24, tokens=-34_000)
        reservations.process_queues()
        await task
        assert send_count(harness) == 0
        assert response.status == response_statuses.STATUS_NOT_RUN

    async def test_call_that_waits_before_its_retry_is_not_sent(self):
        harness = make_harness(SERVICES[:1])
        harness.server("l-1").scripted_responses = [relay_servers.REFUSED]
        response, task = harness.start("/reads/1")
        while send_count(harness) == 0:
            await asyncio.sleep(0)
        # The call now sleeps before it is sent to the same server again.
        await asyncio.sleep(0)
        refuse(harness, "/reads/1")
        await task
        assert send_count(harness) == 1
        assert response.status == response_statuses.STATUS_NOT_RUN

    @pytest.mark.parametrize(("path", "servers"), RELAYED)
    async def test_request_that_waits_for_a_permit_is_not_sent(self, path, servers):
        harness = make_harness(servers)
        gate = harness.reservations.gates.rate_gate
        for each in servers:
            gate.limits.observe(each.id, 2.0, asyncio.get_running_loop().time())

        class SlowSource(permits.PermitSource):
            async def request_permit(self, request):
                refuse(harness, path)
                return result.Success(0.0)

        gate.source = SlowSource()
        response = await harness.serve(path)
        assert send_count(harness) == 0
        assert response.status == response_statuses.STATUS_NOT_RUN

    async def test_generation_does_not_resume_from_its_backup(self):
        harness = make_harness(ENGINES)
        response, task = await start_stream(harness, "/drafts/1")
        refuse(harness, "/drafts/1")
        (run,) = harness.fleet.runs.values()
        run.owners[0].is_dead = True
        await task
        assert response.is_aborted
        assert send_count(harness) == 1

    async def test_generation_does_not_move_off_a_leaving_server(self):
        harness = make_harness(ENGINES)
        response, task = await start_stream(harness, "/drafts/1")
        refuse(harness, "/drafts/1")
        (run,) = harness.fleet.runs.values()
        harness.mark_leaving(run.owners[0].name)
        await task
        assert response.is_complete
        assert send_count(harness) == 1

    async def test_call_is_not_retried_and_may_have_run(self):
        harness = make_harness(SERVICES)
        for each in SERVICES:
            harness.server(each.id).scripted_responses = [relay_servers.LOST] * 9
            harness.server(each.id).delay_s = 0.0
        response, task = harness.start("/reads/1")
        refuse_at_first_send(harness, "/reads/1")
        await task
        assert send_count(harness) == 1
        assert response.status == response_statuses.STATUS_BAD_GATEWAY

    async def test_error_response_of_a_server_is_delivered(self):
        harness = make_harness(SERVICES)
        for each in SERVICES:
            harness.server(each.id).scripted_responses = [500] * 9
        response, task = harness.start("/reads/1")
        refuse_at_first_send(harness, "/reads/1")
        await task
        assert send_count(harness) == 1
        assert response.status == 500


def refuse_at_first_send(harness, path):
    for each in harness.servers:
        server = harness.server(each.id)
        server.send = refusing_send(harness, path, server.send)


def refusing_send(harness, path, send):
    async def send_after_verdict(call, options):
        refuse(harness, path)
        return await send(call, options)

    return send_after_verdict


def suspect(harness, path, weight=1.0):
    """Apply the report of a peer that a server has crashed under a request."""
    crash = suspect_reports.ServerCrash(f"peer{path}", weight)
    report = suspect_reports.SuspectReport(
        fingerprint_of(harness, path), (crash,), (), 60.0
    )
    harness.gateway.suspects.merge(suspect_reports.SuspectReports(1, (report,)))


class TestClearing:
    @pytest.mark.parametrize(("path", "servers"), RELAYED)
    @pytest.mark.parametrize("status", [404, 500])
    async def test_error_response_clears_no_suspect(self, path, servers, status):
        harness = make_harness(servers)
        suspect(harness, path)
        for each in servers:
            harness.server(each.id).scripted_responses = [status] * 9
        assert (await harness.serve(path)).status == status
        assert harness.gateway.suspects.is_suspect(fingerprint_of(harness, path))

    @pytest.mark.parametrize(("path", "servers"), RELAYED)
    async def test_success_clears_a_suspect(self, path, servers):
        harness = make_harness(servers)
        suspect(harness, path)
        assert (await harness.serve(path)).status == 200
        assert not harness.gateway.suspects.is_suspect(fingerprint_of(harness, path))


class TestCopiesOfSuspects:
    async def test_second_copy_waits_until_the_first_has_passed_the_crash(self):
        harness = make_harness(ENGINES)
        suspect(harness, "/drafts/1")
        responses = [harness.start("/drafts/1") for _ in range(3)]
        await asyncio.sleep(0)
        await asyncio.sleep(0.001)
        assert send_count(harness) == 1
        for response, task in responses:
            await task
            assert response.is_complete

    async def test_suspects_are_placed_apart(self):
        harness = make_harness(ENGINES)
        paths = ("/drafts/1", "/drafts/2", "/drafts/3")
        for path in paths:
            suspect(harness, path, weight=0.5)
        for path in paths:
            harness.start(path)
        await asyncio.sleep(0.001)
        assert {harness.send_count(each.id) for each in ENGINES} == {1}
