"""Requests that share a part of their prompt, which crashes the servers that run it."""

import asyncio
import random

import pytest

from fakes import crashing_servers
from quetzalpass import ids
from relay import gateway_group

pytestmark = pytest.mark.looptime

# Bounds of the platform's rules on a part of a prompt that crashes servers.
COUNTED_CRASHES = 5
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
MIN_SOUND_SHARE = 0.5

CALM_S = 5.0
RUN_S = 24.0
CRASHING_INTERVAL_S = 0.5
SOUND_INTERVAL_S = 0.2
DATA_CENTRES = ("flx-a", "flx-b", "flx-c")
PATH = "/drafts/1"
FIRST = ids.PromptPartId("first")
GUILTY = ids.PromptPartId("guilty")
SUBJECTS = tuple(ids.PromptPartId(f"subject-{number}") for number in range(5))


def build_fleet(seed, engines=6, **faults):
    fleet = crashing_servers.CrashingFleet(random.Random(seed), **faults)
    fleet.length = 30
    for number in range(engines):
        fleet.add(f"model-{number}", "model", DATA_CENTRES[number % 3])
    return fleet


def sound_body(number):
    return b"sound %d" % number


def crashing_body(number):
    return crashing_servers.CRASHING_BODY + b" %d" % number


class Outcome:
    """When a request was sent, and its response; None if its caller left."""

    def __init__(self, sent_s, parts, response):
        self.sent_s = sent_s
        self.parts = parts
        self.response = response

    @property
    def is_served(self):
        response = self.response
        return response is not None and response.status == 200 and response.is_complete

    @property
    def is_quarantined(self):
        return gateway_group.is_quarantined(self.response)


class Scenario:
    """Sound requests, and later ones that crash servers, at random gateways.

    Attributes
    ----------
    crashing_prompts : callable
        Returns the shared parts of the next crashing request.
    sound_prompts : callable
        Returns the shared parts of the next sound request.
    crashing_body : callable
        Returns the body of the next crashing request, given its number.
    """

    def __init__(self, fleet, gateways=4, seed=1):
        self.fleet = fleet
        self.rng = random.Random(seed)
        source = crashing_servers.LaggingList(fleet)
        self.group = gateway_group.GatewayGroup(fleet, source, gateways, seed)
        self.crashing_prompts = lambda: (FIRST, GUILTY)
        self.sound_prompts = lambda: (FIRST, self.rng.choice(SUBJECTS))
        self.crashing_body = crashing_body
        self.sound = []
        self.crashing = []
        self.calm_s = CALM_S
        self.calm_until_s = 0.0
        self.count = 0
        self.tasks = set()

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def call(self, parts, body, outcomes):
        sent_s = asyncio.get_running_loop().time()
        response = await self.group.call(PATH, body, shared_parts=parts)
        outcomes.append(Outcome(sent_s, parts, response))

    async def send_repeatedly(self, prompts, body, outcomes, interval_s):
        while True:
            self.count += 1
            self.spawn(self.call(prompts(), body(self.count), outcomes))
            await asyncio.sleep(interval_s)

    async def run(self, seconds=RUN_S):
        loop = asyncio.get_running_loop()
        async with self.group:
            sound = asyncio.create_task(
                self.send_repeatedly(
                    self.sound_prompts, sound_body, self.sound, SOUND_INTERVAL_S
                )
            )
            await asyncio.sleep(self.calm_s)
            self.calm_until_s = loop.time()
            crashing = asyncio.create_task(
                self.send_repeatedly(
                    self.crashing_prompts,
                    self.crashing_body,
                    self.crashing,
                    CRASHING_INTERVAL_S,
                )
            )
            await asyncio.sleep(seconds)
            sound.cancel()
            crashing.cancel()
            while self.tasks:
                await asyncio.wait(set(self.tasks))

    def late_sends(self, counted_crashes=COUNTED_CRASHES):
        crash_times_s = self.fleet.crash_times_s
        if len(crash_times_s) < counted_crashes:
            return 0
        from_s = crash_times_s[counted_crashes - 1] + CONTACT_S
        return sum(each > from_s for each in self.fleet.crashing_sends_s)

    def sound_share(self, from_s, until_s=float("inf")):
        served = [
            each.is_served for each in self.sound if from_s <= each.sent_s < until_s
        ]
        return sum(served) / len(served)

    def sound_after(self):
        counted_s = self.fleet.crash_times_s[:COUNTED_CRASHES][-1]
        return self.sound_share(counted_s + 2 * CONTACT_S)

    def check(self):
        assert self.fleet.crash_times_s
        assert self.late_sends() <= MAX_LATE_SENDS
        self.check_sound()

    def check_sound(self):
        before = self.sound_share(0.0, self.calm_until_s)
        assert self.sound_after() >= MIN_SOUND_SHARE * before
        assert not any(each.is_quarantined for each in self.sound)


class TestOtherPrompts:
    @pytest.mark.parametrize("seed", [1, 2])
    async def test_first_part_that_crashes_servers(self, seed):
        scenario = Scenario(build_fleet(seed), seed=seed)
        scenario.crashing_prompts = lambda: (GUILTY, scenario.rng.choice(SUBJECTS))
        await scenario.run()
        scenario.check()

    @pytest.mark.parametrize("seed", [1, 2])
    async def test_changing_parts_before_the_crashing_one(self, seed):
        scenario = Scenario(build_fleet(seed), seed=seed)
        scenario.crashing_prompts = lambda: (scenario.rng.choice(SUBJECTS), GUILTY)
        scenario.sound_prompts = lambda: (scenario.rng.choice(SUBJECTS),)
        await scenario.run()
        scenario.check()

    @pytest.mark.parametrize("seed", [1, 2])
    async def test_two_crashing_parts(self, seed):
        scenario = Scenario(build_fleet(seed, engines=9), seed=seed)
        parts = (GUILTY, ids.PromptPartId("guilty too"))
        scenario.crashing_prompts = lambda: (FIRST, scenario.rng.choice(parts))
        await scenario.run()
        scenario.check_sound()
        late = scenario.late_sends(COUNTED_CRASHES * len(parts))
        assert late <= MAX_LATE_SENDS * len(parts)

    @pytest.mark.parametrize("seed", [1, 2])
    async def test_sound_requests_without_a_run_before(self, seed):
        scenario = Scenario(build_fleet(seed), seed=seed)
        scenario.calm_s = 0.0
        await scenario.run()
        assert scenario.late_sends() <= MAX_LATE_SENDS
        assert scenario.sound_after() >= MIN_SOUND_SHARE
        assert not any(each.is_quarantined for each in scenario.sound)


class TestOtherCrashes:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_request_that_crashes_servers_does_not_convict_its_parts(self, seed):
        scenario = Scenario(build_fleet(seed), seed=seed)
        scenario.crashing_prompts = lambda: (FIRST, SUBJECTS[0])
        scenario.crashing_body = lambda number: crashing_servers.CRASHING_BODY
        await scenario.run()
        assert len(scenario.fleet.crash_times_s) <= COUNTED_CRASHES
        scenario.check_sound()

    @pytest.mark.parametrize("seed", [1, 2, 3])
    async def test_servers_that_crash_by_themselves_convict_nothing(self, seed):
        fleet = build_fleet(seed)
        scenario = Scenario(fleet, seed=seed)
        scenario.crashing_prompts = lambda: (FIRST, scenario.rng.choice(SUBJECTS))
        scenario.crashing_body = lambda number: b"sound too %d" % number
        crashing = asyncio.create_task(crash_repeatedly(fleet, random.Random(seed)))
        await scenario.run()
        crashing.cancel()
        assert len(fleet.crash_times_s) > COUNTED_CRASHES
        assert not any(each.is_quarantined for each in scenario.sound)


class TestGatewayRestarts:
    @pytest.mark.parametrize("seed", [1, 2])
    async def test_restarted_gateways_keep_to_the_verdict(self, seed):
        scenario = Scenario(build_fleet(seed), seed=seed)
        restarts = asyncio.create_task(restart_repeatedly(scenario.group))
        await scenario.run()
        restarts.cancel()
        scenario.check()


async def crash_repeatedly(fleet, rng):
    """Crash a random server again and again, whatever it runs."""
    while True:
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        address = rng.choice(list(fleet.addresses.values()))
        if address.is_up:
            fleet.crash(address)


async def restart_repeatedly(group):
    """Restart one gateway after the other."""
    while True:
        for number in range(len(group.gateways)):
            await asyncio.sleep(2.0)
            group.restart_gateway(number)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("gateways", [1, 4])
class TestOneCrashingPart:
    async def test_closing_servers(self, gateways, seed):
        scenario = Scenario(build_fleet(seed), gateways, seed)
        await scenario.run()
        scenario.check()

    async def test_silent_servers(self, gateways, seed):
        scenario = Scenario(build_fleet(seed, is_silent=True), gateways, seed)
        await scenario.run()
        scenario.check()

    async def test_crash_after_the_first_events(self, gateways, seed):
        fleet = build_fleet(seed)
        fleet.crash_event = 3
        scenario = Scenario(fleet, gateways, seed)
        await scenario.run()
        scenario.check()
