"""Soak test of requests that share a part of their prompt, which crashes replicas.

Several gateways and three control nodes run as processes. No two of the crashing
requests are alike. Sound requests share their caller and all other parts of the prompt;
there are up to a thousand of these, and the part that crashes replicas stands anywhere.
Run manually with ``make soak-crashing-parts SEED=1 COUNT=10 SECONDS=20``.
"""

import asyncio
import random

from soak import backends, crashing, soak

# The platform's rules: late sends are those more than 3 s after the fifth crash; from
# 6 s after it, sound requests begin at least half as often as before.
COUNTED_CRASHES = 5
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
MIN_SOUND_SHARE = 0.5
MIN_SOUND_REQUESTS = 20
ENGINES = 6
CALM_S = 5.0
CRASHING_INTERVAL_S = 0.5
SOUND_INTERVAL_S = 0.2
# Numbers of the parts that all prompts share. A head of 16 KiB holds a thousand.
SHARED_COUNTS = (1, 17, 200, 1_000)
SUBJECTS = ("50b1ec01", "50b1ec02", "50b1ec03", "50b1ec04", "50b1ec05")


class SoundRequest:
    """A sound request: when it was sent, and whether it was served."""

    def __init__(self, sent_s, is_served):
        self.sent_s = sent_s
        self.is_served = is_served


class CrashingPartsSoak(crashing.CrashingSoak):
    """One run; the seed chooses how replicas crash.

    Attributes
    ----------
    sound : list of SoundRequest
        The sound requests.
    """

    counted_crashes = COUNTED_CRASHES

    def __init__(self, seed, folder, gateways=3):
        super().__init__(seed, folder, gateways, has_node_faults=False)
        self.is_silent = self.rng.random() < 0.5
        self.before_crash = self.rng.choice(list(backends.BeforeCrash))
        self.fleet.record.before_crash = self.before_crash
        self.sound = []
        prompt_rng = random.Random(f"{seed} prompt")
        self.shared = tuple(
            f"f125{number:04x}" for number in range(prompt_rng.choice(SHARED_COUNTS))
        )
        self.place = prompt_rng.randint(0, len(self.shared))

    async def start(self):
        await super().start()
        for number in range(4, ENGINES + 1):
            await self.add_replica("model", number)

    def crash(self, replica):
        if self.is_silent:
            replica.fall_silent()
        else:
            replica.close_orderly()

    def prompt(self, parts):
        """Return the header for a prompt; its last part is the request's own."""
        own = f"{self.rng.getrandbits(32):08x}"
        entries = ",".join(f"{each}:3" for each in (*parts, own))
        return f"X-Prompt-Prefix: {entries}"

    def with_shared(self, part):
        """Return a part among the shared ones, at its place."""
        return (*self.shared[: self.place], part, *self.shared[self.place :])

    async def send_prompt(self, parts):
        gateway = self.rng.choice(self.cluster.gateways)
        request_id = self.new_request_id()
        self.gateway_of[request_id] = gateway
        caller = soak.Caller(self, gateway=gateway)
        header = self.prompt(parts)
        status = await self.send("drafts", caller, request_id, headers=[header])
        caller.close()
        return status

    async def send_crashing(self, stop):
        while not stop.is_set():
            self.spawn(self.send_prompt(self.with_shared(backends.CRASHING_PART)))
            await asyncio.sleep(CRASHING_INTERVAL_S)

    async def send_sound(self, stop):
        while not stop.is_set():
            self.spawn(self.send_one_sound())
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def send_one_sound(self):
        sent_s = self.now_s()
        parts = self.with_shared(self.rng.choice(SUBJECTS))
        status = await self.send_prompt(parts)
        self.sound.append(SoundRequest(sent_s, status == soak.STATUS_OK))

    async def run(self, seconds):
        await self.start()
        stop = asyncio.Event()
        sound = asyncio.create_task(self.send_sound(stop))
        await asyncio.sleep(CALM_S)
        self.calm_until_s = self.now_s()
        crashing_task = asyncio.create_task(self.send_crashing(stop))
        await asyncio.sleep(seconds)
        stop.set()
        await asyncio.gather(sound, crashing_task)
        await self.finish_tasks()
        self.check_late_sends()
        self.check_sound()

    def counted_crash_s(self):
        """Return the time of the fifth crash, or of the last if there are fewer."""
        return self.crash_times_s[: self.counted_crashes][-1]

    def sound_share(self, from_s, until_s=float("inf")):
        """Return the share of sound requests sent in a time that were served."""
        outcomes = [e.is_served for e in self.sound if from_s <= e.sent_s < until_s]
        assert len(outcomes) >= MIN_SOUND_REQUESTS, "too few sound requests to judge"
        return sum(outcomes) / len(outcomes)

    def sound_before(self):
        return self.sound_share(0.0, self.calm_until_s)

    def sound_after(self):
        return self.sound_share(self.counted_crash_s() + 2 * CONTACT_S)

    def check_sound(self):
        if self.sound_after() < MIN_SOUND_SHARE * self.sound_before():
            raise self.violation(f"sound requests are not served: {self.summary()}", "")

    def summary(self):
        how = "silent" if self.is_silent else "closing"
        return (
            f"{how}, {self.before_crash.value}, {len(self.shared)} shared parts, the "
            f"other at {self.place}; {len(self.crash_times_s)} crashes, "
            f"{len(self.arrivals)} sends, {self.late_sends()} late; sound served "
            f"{self.sound_before():.2f}, then {self.sound_after():.2f}"
        )


async def run_seed(seed, seconds, folder, **options):
    """Run one seed, stop its processes and return the finished soak test."""
    return await soak.run_to_end(CrashingPartsSoak(seed, folder, **options), seconds)


if __name__ == "__main__":
    soak.run_seeds("soak-parts", run_seed)
