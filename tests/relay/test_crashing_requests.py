import asyncio
import random

import pytest

from fakes import crashing_servers
from quetzalpass.relay import response_statuses
from relay import gateway_group

pytestmark = pytest.mark.looptime

# Bounds of the platform's rules on a request that crashes the servers that run it.
COUNTED_AFTER_S = 3.0
MAX_LATE_SENDS = 3
COUNTED_CRASHES = 3

RUN_S = 24.0
INNOCENT_INTERVAL_S = 0.2
# Share of the innocent requests, those beside the first crashes included.
MIN_SERVED = 0.8
# Connects of one request while no server can be reached.
MAX_CONNECTS = 25
DATA_CENTRES = ("flx-a", "flx-b", "flx-c")
PATHS = {"model": "/drafts/1", "ledger": "/reads/1"}


def late_sends(fleet):
    """Return how often the crashing request was sent after the rule's time."""
    if len(fleet.crash_times_s) < COUNTED_CRASHES:
        return 0
    from_s = fleet.crash_times_s[COUNTED_CRASHES - 1] + COUNTED_AFTER_S
    return sum(each > from_s for each in fleet.crashing_sends_s)


def build_fleet(seed=1, engines=5, services=3, data_centres=DATA_CENTRES, **faults):
    fleet = crashing_servers.CrashingFleet(random.Random(seed), **faults)
    for service, count in (("model", engines), ("ledger", services)):
        for number in range(count):
            data_centre = data_centres[number % len(data_centres)]
            fleet.add(f"{service}-{number}", service, data_centre)
    return fleet


class Innocent:
    """A request that crashes nothing, and its response; None if the caller left."""

    def __init__(self, arrived_s, response):
        self.arrived_s = arrived_s
        self.response = response

    @property
    def is_served(self):
        response = self.response
        return response is not None and response.status == 200 and response.is_complete


def served_share(innocents):
    return sum(each.is_served for each in innocents) / len(innocents)


class Scenario:
    """A crashing request that comes again and again, beside innocent requests.

    Attributes
    ----------
    copies : int
        Copies of the crashing request that arrive at the same moment, once a second.
    has_innocents : bool
        Whether innocent requests are sent.
    """

    def __init__(self, fleet, service, gateways=1, copies=1, seed=1):
        self.fleet = fleet
        self.path = PATHS[service]
        self.copies = copies
        self.has_innocents = True
        self.rng = random.Random(seed)
        source = crashing_servers.LaggingList(fleet)
        self.group = gateway_group.GatewayGroup(fleet, source, gateways, seed)
        self.innocents = []
        self.tasks = set()

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, seconds=RUN_S):
        async with self.group:
            if self.has_innocents:
                self.spawn(self.send_innocents(seconds))
            for _ in range(int(seconds)):
                for _ in range(self.copies):
                    body = crashing_servers.CRASHING_BODY
                    self.spawn(self.group.call(self.path, body))
                await asyncio.sleep(1.0)
            while self.tasks:
                await asyncio.wait(set(self.tasks))

    async def send_innocents(self, seconds):
        for number in range(int(seconds / INNOCENT_INTERVAL_S)):
            self.spawn(self.send_innocent(b"innocent %d" % number))
            await asyncio.sleep(INNOCENT_INTERVAL_S)

    async def send_innocent(self, body):
        arrived_s = asyncio.get_running_loop().time()
        path = self.rng.choice(list(PATHS.values()))
        response = await self.group.call(path, body)
        self.innocents.append(Innocent(arrived_s, response))

    def check(self):
        """Check the rule's bound, and that innocent requests were served."""
        assert late_sends(self.fleet) <= MAX_LATE_SENDS
        limit = crashing_servers.MAX_ATTEMPTS_AT_ONCE
        assert self.fleet.max_attempts_at_once <= limit
        responses = [each.response for each in self.innocents]
        assert not any(gateway_group.is_quarantined(each) for each in responses)
        expected_share = 1.0 - self.fleet.error_share
        assert served_share(self.innocents) >= MIN_SERVED * expected_share
        settled_s = self.settled_s()
        settled = [each for each in self.innocents if each.arrived_s >= settled_s]
        assert settled
        if not self.fleet.error_share:
            assert served_share(settled) == 1.0

    def settled_s(self):
        """Return when the list shows no server any more that has crashed."""
        listed_s = crashing_servers.LISTED_AFTER_CRASH_S
        return self.fleet.crash_times_s[-1] + listed_s + 1.0


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("gateways", [1, 4])
@pytest.mark.parametrize("service", ["model", "ledger"])
class TestRepeatedRequest:
    async def test_one_copy_a_second(self, service, gateways, seed):
        scenario = Scenario(build_fleet(seed), service, gateways, seed=seed)
        await scenario.run()
        scenario.check()

    async def test_several_copies_at_once(self, service, gateways, seed):
        scenario = Scenario(build_fleet(seed), service, gateways, 4, seed)
        await scenario.run()
        scenario.check()

    async def test_several_copies_in_one_data_centre(self, service, gateways, seed):
        fleet = build_fleet(seed, data_centres=DATA_CENTRES[:1])
        scenario = Scenario(fleet, service, gateways, 4, seed)
        await scenario.run()
        scenario.check()

    async def test_silent_servers(self, service, gateways, seed):
        fleet = build_fleet(seed, is_silent=True)
        scenario = Scenario(fleet, service, gateways, seed=seed)
        await scenario.run()
        scenario.check()

    async def test_several_copies_and_silent_servers(self, service, gateways, seed):
        fleet = build_fleet(seed, is_silent=True)
        scenario = Scenario(fleet, service, gateways, 4, seed)
        await scenario.run()
        scenario.check()

    async def test_silent_servers_that_are_soon_back(self, service, gateways, seed):
        fleet = build_fleet(seed, is_silent=True, downtime_s=0.4)
        scenario = Scenario(fleet, service, gateways, seed=seed)
        await scenario.run()
        scenario.check()

    async def test_errors_between_the_crashes(self, service, gateways, seed):
        fleet = build_fleet(seed, error_share=0.4)
        scenario = Scenario(fleet, service, gateways, seed=seed)
        await scenario.run()
        scenario.check()


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("gateways", [1, 4])
@pytest.mark.parametrize("is_silent", [False, True])
class TestCrashInMidStream:
    async def test_generation_that_resumes_from_its_backup(
        self, is_silent, gateways, seed
    ):
        fleet = build_fleet(seed, is_silent=is_silent)
        fleet.crash_event = 10
        scenario = Scenario(fleet, "model", gateways, seed=seed)
        await scenario.run()
        scenario.check()


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("gateways", [1, 4])
class TestCrashAtAnyPlace:
    async def test_generation_that_crashes_after_ever_more_events(self, gateways, seed):
        fleet = build_fleet(seed)
        fleet.crash_share = 0.1
        scenario = Scenario(fleet, "model", gateways, seed=seed)
        await scenario.run()
        scenario.check()


@pytest.mark.parametrize("seed", range(1, 5))
class TestCopiesThatRunForATime:
    """Four copies at once, each of which runs for a time before it crashes."""

    async def test_calls_in_one_data_centre(self, seed):
        fleet = build_fleet(seed, engines=0, data_centres=DATA_CENTRES[:1])
        fleet.crash_delay_s = 0.3
        scenario = Scenario(fleet, "ledger", copies=4, seed=seed)
        await scenario.run()
        assert late_sends(fleet) <= MAX_LATE_SENDS

    async def test_generations_in_three_data_centres(self, seed):
        fleet = build_fleet(seed, engines=3, services=0)
        fleet.crash_delay_s = 0.3
        scenario = Scenario(fleet, "model", copies=4, seed=seed)
        await scenario.run()
        assert late_sends(fleet) <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", range(1, 5))
class TestServersThatLeaveTheList:
    async def test_calls_crash_servers_that_are_soon_off_the_list(self, seed):
        fleet = build_fleet(
            seed, engines=0, data_centres=DATA_CENTRES[:1], downtime_s=4.0
        )
        fleet.listed_after_crash_s = 1.0
        scenario = Scenario(fleet, "ledger", copies=4, seed=seed)
        await scenario.run()
        assert late_sends(fleet) <= MAX_LATE_SENDS


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("gateways", [1, 3])
@pytest.mark.parametrize("copies", [1, 4])
class TestResponsesThatEndWithTheirConnection:
    """A crash closes the connection, which ends a body without length or chunks."""

    async def test_calls(self, copies, gateways, seed):
        fleet = build_fleet(seed, services=6)
        fleet.unframed_services = frozenset({"ledger"})
        scenario = Scenario(fleet, "ledger", gateways, copies, seed)
        await scenario.run()
        scenario.check()

    async def test_streams_that_end_between_two_events(self, copies, gateways, seed):
        fleet = build_fleet(seed)
        fleet.unframed_services = frozenset({"model"})
        fleet.crash_event = 3
        scenario = Scenario(fleet, "model", gateways, copies, seed)
        await scenario.run()
        scenario.check()


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("crash_delay_s", [0.0, 0.045, 0.2])
@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("services", [3, 6])
@pytest.mark.parametrize("failing_remainder", [0, 1])
class TestErrorsInsteadOfCrashes:
    """Four copies at once; every second one only fails, and the others crash."""

    async def test_copies_in_three_data_centres(
        self, failing_remainder, services, is_silent, crash_delay_s, seed
    ):
        fleet = build_fleet(seed, engines=0, services=services, is_silent=is_silent)
        fleet.failing_remainder = failing_remainder
        fleet.crash_delay_s = crash_delay_s
        scenario = Scenario(fleet, "ledger", copies=4, seed=seed)
        scenario.has_innocents = False
        await scenario.run()
        assert late_sends(fleet) <= MAX_LATE_SENDS


class TestGatewayRestarts:
    @pytest.mark.parametrize("seed", range(1, 5))
    async def test_crashes_after_a_restart_are_new_ones(self, seed):
        fleet = build_fleet(seed)
        scenario = Scenario(fleet, "model", 2, copies=0, seed=seed)
        group = scenario.group
        async with group:
            for _ in range(10):
                await group.call(scenario.path, crashing_servers.CRASHING_BODY, 0)
                await asyncio.sleep(0.6)
                group.restart_gateway(0)
                await asyncio.sleep(1.0)
        assert len(fleet.crash_times_s) <= COUNTED_CRASHES
        assert late_sends(fleet) <= MAX_LATE_SENDS


class TestUnreachableServers:
    @pytest.mark.parametrize("path", PATHS.values())
    async def test_request_is_not_sent_in_a_loop_without_delay(self, path):
        fleet = build_fleet(engines=1, services=1, downtime_s=60.0)
        group = gateway_group.GatewayGroup(
            fleet, crashing_servers.LaggingList(fleet), 1
        )
        for address in fleet.addresses.values():
            fleet.crash(address)
        loop = asyncio.get_running_loop()
        async with group:
            response = await group.call(path, b"innocent")
        assert response.status == response_statuses.STATUS_NOT_RUN
        assert response.header("Retry-After") is not None
        # 3 objectives of 1.8 s, and the last delay.
        assert loop.time() <= 5.4 + 1.0
        assert fleet.max_attempts_at_once == 1
        assert fleet.connection_attempts <= MAX_CONNECTS

    async def test_generation_is_served_when_the_only_server_is_back(self):
        fleet = build_fleet(engines=1, services=1, downtime_s=2.0)
        fleet.addresses["model-0"].reuses_id = True
        group = gateway_group.GatewayGroup(
            fleet, crashing_servers.LaggingList(fleet), 1
        )
        fleet.crash(fleet.addresses["model-0"])
        async with group:
            response = await group.call(PATHS["model"], b"innocent")
        assert response.is_complete
