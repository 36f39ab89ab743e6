import asyncio

import pytest

from fakes import crashing_servers
from relay import gateway_group, test_crashing_requests

pytestmark = pytest.mark.looptime

PATHS = test_crashing_requests.PATHS


class World:
    """One gateway before the servers of three data centres."""

    def __init__(self, **faults):
        self.fleet = test_crashing_requests.build_fleet(**faults)
        self.source = crashing_servers.LaggingList(self.fleet)
        self.group = gateway_group.GatewayGroup(self.fleet, self.source, 1)
        self.suspects = self.group.gateways[0].gateway.suspects
        self.checks = self.group.gateways[0].gateway.crash_checks

    def addresses(self, service="ledger"):
        return [
            each for each in self.fleet.addresses.values() if each.service == service
        ]

    def busy_address(self):
        """Return the address of the only server that runs a request now."""
        (server_id,) = self.suspects.in_flight
        name, _, _ = server_id.rpartition("-")
        return self.fleet.addresses[name]

    async def start_call(self, body, path=PATHS["model"]):
        task = asyncio.create_task(self.group.call(path, body))
        await asyncio.sleep(0.02)
        return task


class TestCuts:
    @pytest.mark.parametrize("path", PATHS.values())
    async def test_cut_data_centre_makes_no_suspects(self, path):
        world = World()
        async with world.group:
            for number in range(4):
                task = await world.start_call(b"read %d" % (number % 2), path)
                cut = [
                    each
                    for each in world.fleet.addresses.values()
                    if each.data_centre == world.busy_address().data_centre
                ]
                for each in cut:
                    each.is_cut_off = True
                await task
                await asyncio.sleep(2.0)
                for each in cut:
                    each.is_cut_off = False
                await asyncio.sleep(4.0)
        assert world.suspects.records == {}

    async def test_crash_of_a_cut_server_is_withdrawn_when_it_responds_again(self):
        world = World(engines=3)
        async with world.group:
            for _ in range(2):
                task = await world.start_call(b"draft")
                address = world.busy_address()
                address.is_cut_off = True
                await task
                assert world.suspects.is_suspect(
                    next(iter(world.suspects.records), "none")
                )
                address.is_cut_off = False
                for number in range(12):
                    await world.group.call(PATHS["model"], b"other %d" % number)
                await asyncio.sleep(4.0)
                assert not any(each.crashes for each in world.suspects.records.values())


class TestStops:
    async def test_server_that_restarts_under_its_id_has_crashed(self):
        world = World(engines=1, downtime_s=2.0)
        (address,) = world.addresses("model")
        address.reuses_id = True
        async with world.group:
            await world.group.call(PATHS["model"], crashing_servers.CRASHING_BODY)
            for number in range(8):
                await world.group.call(PATHS["model"], b"other %d" % number)
                await asyncio.sleep(1.0)
        (record,) = world.suspects.records.values()
        assert record.crashes

    async def test_silent_end_of_a_leaving_server_makes_no_suspects(self):
        world = World(is_silent=True, downtime_s=60.0)
        async with world.group:
            task = await world.start_call(b"draft")
            address = world.busy_address()
            address.is_leaving = True
            await asyncio.sleep(0.6)
            world.fleet.crash(address)
            await task
            await asyncio.sleep(2.0)
        assert world.suspects.records == {}

    async def test_new_server_at_the_address_of_one_that_left_makes_no_suspects(self):
        world = World(is_silent=True, downtime_s=1.0)
        async with world.group:
            task = await world.start_call(b"draft")
            address = world.busy_address()
            address.is_leaving = True
            await asyncio.sleep(0.6)
            world.fleet.crash(address)
            await asyncio.sleep(1.2)
            address.is_leaving = False
            await task
            await asyncio.sleep(2.0)
        assert world.suspects.records == {}


class TestSilence:
    async def test_caller_that_leaves_a_silent_server_does_not_acquit_it(self):
        world = World(is_silent=True)
        body = crashing_servers.CRASHING_BODY
        async with world.group:
            task = await world.start_call(body)
            await asyncio.sleep(0.4)
            task.cancel()
            for each in world.group.gateways[0].tasks:
                each.cancel()
            await asyncio.sleep(1.5)
        (record,) = world.suspects.records.values()
        assert len(record.crashes) == 1

    async def test_slow_server_makes_no_suspects(self, monkeypatch):
        monkeypatch.setattr(crashing_servers, "PREFILL_S", 3.0)
        world = World()
        async with world.group:
            response = await world.group.call(PATHS["model"], b"draft")
        assert response.is_complete
        assert world.suspects.records == {}


class TestAttribution:
    async def test_request_that_resumes_is_still_counted(self):
        world = World(is_silent=True)
        world.fleet.crash_event = 10
        async with world.group:
            task = await world.start_call(crashing_servers.CRASHING_BODY)
            await task
            await asyncio.sleep(3.0)
        (record,) = world.suspects.records.values()
        crashes = {each.server_start for each in record.crashes.values()}
        assert len(crashes) == len(world.fleet.crash_times_s)
        assert len(crashes) >= 2


class TestNeighbours:
    async def test_servers_that_are_known_to_have_crashed_are_no_sign_of_a_cut(self):
        # The gateway is in another data centre.
        world = World(engines=3, services=0, data_centres=("flx-b",), downtime_s=60.0)
        body = crashing_servers.CRASHING_BODY
        async with world.group:
            for number in range(3):
                await world.group.call(PATHS["model"], body + b" %d" % number)
                await asyncio.sleep(0.5)
        assert len(world.fleet.crash_times_s) == 3
        assert len(world.suspects.suspects_by_crash) == 3

    async def test_server_whose_address_another_one_has_got_has_crashed(
        self, monkeypatch
    ):
        # The list still shows the old server when the new one responds at its address.
        monkeypatch.setattr(crashing_servers, "LIST_LAG_S", 8.0)
        world = World(engines=1, services=1, data_centres=("flx-b",), downtime_s=0.5)
        async with world.group:
            (neighbour,) = world.addresses("ledger")
            neighbour.is_cut_off = True
            await world.group.call(PATHS["model"], crashing_servers.CRASHING_BODY)
            await asyncio.sleep(0.6)
            (request,) = [each.request for each in world.checks.lost.requests]
            assert not world.suspects.is_suspect(request.fingerprint)
            task = await world.start_call(b"other", PATHS["model"])
            await asyncio.sleep(4.0)
            assert world.suspects.is_suspect(request.fingerprint)
            await task
