"""One part of long prompts crashes each replica that begins to answer them."""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import lab  # noqa: E402
import replicas2  # noqa: E402

MODEL_REPLICAS = 5
BACK_AFTER_S = 5.0
CALM_S = 8.0
TROUBLE_S = 30.0
SOUND_INTERVAL_S = 0.2
CRASHING_INTERVAL_S = 0.5
EVENTS = 5
CRASHING_PART = "bad0bad0"
# Shared parts before the one that crashes; PARTS=5 shows that few are no trouble.
SHARED = tuple(f"5a{number:06x}" for number in range(int(os.environ.get("PARTS", 17))))
SUBJECTS = tuple(f"50b1ec{number:02x}" for number in range(5))
CONTACT_S = 3.0
COUNTED_CRASHES = 5
MAX_LATE = 3
MIN_REQUESTS = 20
MIN_SHARE = 0.5


class Sound:
    """A sound request: when it was sent, and whether it began."""

    def __init__(self, sent_s, has_begun):
        self.sent_s = sent_s
        self.has_begun = has_begun


class Consumers:
    """The consumers, and what they saw."""

    def __init__(self, case):
        self.case = case
        self.number = 0
        self.sound = []
        self.crashing = {}
        self.rng = random.Random(1)

    async def send(self, last_shared, label):
        """Send a prompt of shared parts and one of its own; note whether it began."""
        self.number += 1
        request_id = f"{self.number:016x}"
        sent_s = time.monotonic() - self.case.record.begun_s
        if label == "crashing":
            self.crashing[request_id] = sent_s
        gateway = self.rng.choice(self.case.gateways)
        parts = [*SHARED, last_shared, request_id[-8:]]
        prefix = ",".join(f"{each}:20" for each in parts)
        headers = [
            f"X-Request-Id: {request_id}",
            "X-Deadline-Ms: 6000",
            "Authorization: Bearer key-1",
            "X-Model: m",
            f"X-Token-Usage: {20 * len(parts)},{4 * EVENTS}",
            f"X-Prompt-Prefix: {prefix}",
        ]
        body = f"prompt {request_id}".encode()
        response = await lab.call(
            gateway.front_address, "POST", "/drafts/x", headers, body, 6.0
        )
        status = response and response.status
        has_begun = status == 200 and response.body.startswith(b"id: 1\n")
        self.case.record.write(f"{label} {request_id} at {gateway.name}: {status}")
        if label == "sound":
            self.sound.append(Sound(sent_s, has_begun))

    async def repeat(self, interval_s, seconds, choose, label):
        """Send requests at an interval."""
        sent = []
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            sent.append(asyncio.create_task(self.send(choose(), label)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*sent)


async def keep_running(replica, fleet, crashes):
    """Start a replica again some seconds after each crash, under the same id."""
    while True:
        await replica.process.wait()
        crashes.append(time.monotonic() - replica.lab.record.begun_s)
        replica.lab.record.write(f"{replica.id} has crashed")
        await asyncio.sleep(BACK_AFTER_S)
        await replica.start()
        fleet.publish()


async def play(case, is_trouble):
    """Send sound requests, then also ones with a part that crashes replicas."""
    fleet = replicas2.Fleet(case)
    for number in range(1, MODEL_REPLICAS + 1):
        await fleet.add("model", number, crashing_part=CRASHING_PART)
    fleet.publish()
    await case.start()
    if not await case.put(lab.desired_state(7), label="version 7"):
        raise lab.CouldNotRun("the first desired state was not acknowledged")
    await asyncio.sleep(3.0)
    crashes = []
    watchers = [
        asyncio.create_task(keep_running(each, fleet, crashes))
        for each in fleet.replicas
    ]
    consumers = Consumers(case)
    sound = asyncio.create_task(
        consumers.repeat(
            SOUND_INTERVAL_S,
            CALM_S + TROUBLE_S,
            lambda: consumers.rng.choice(SUBJECTS),
            "sound",
        )
    )
    await asyncio.sleep(CALM_S)
    trouble_s = time.monotonic() - case.record.begun_s
    last_shared = CRASHING_PART if is_trouble else SUBJECTS[0]
    label = "crashing" if is_trouble else "harmless"
    await consumers.repeat(
        CRASHING_INTERVAL_S, TROUBLE_S, lambda: last_shared, label
    )
    await sound
    for each in watchers:
        each.cancel()
    await asyncio.gather(*watchers, return_exceptions=True)
    fleet.copy_records()
    return judge(case, fleet, consumers, crashes, trouble_s)


def judge(case, fleet, consumers, crashes, trouble_s):
    """Apply the two rules on parts of prompts that crash replicas."""
    before = [each for each in consumers.sound if each.sent_s < trouble_s]
    fifth_s = crashes[:COUNTED_CRASHES][-1] if crashes else trouble_s
    after = [
        each for each in consumers.sound if each.sent_s > fifth_s + 2 * CONTACT_S
    ]
    if min(len(before), len(after)) < MIN_REQUESTS:
        raise lab.CouldNotRun("too few sound requests to judge")
    share_before = sum(each.has_begun for each in before) / len(before)
    share_after = sum(each.has_begun for each in after) / len(after)
    late = count_late(fleet, fifth_s) if len(crashes) >= COUNTED_CRASHES else 0
    case.record.write(
        f"{len(crashes)} crashes, the fifth or last at {fifth_s:.1f} s; sound requests "
        f"that began: {share_before:.2f} of {len(before)} before, {share_after:.2f} of "
        f"{len(after)} from {2 * CONTACT_S:.0f} s after it; crashing requests that "
        f"reached replicas later than {CONTACT_S:.0f} s after it: {late}"
    )
    if share_after < MIN_SHARE * share_before:
        case.record.write("LOST is broken")
        return lab.BROKEN
    if late > MAX_LATE:
        case.record.write("BUDGET is broken")
        return lab.BROKEN
    return lab.HELD


def count_late(fleet, fifth_s):
    """Return how many crashing requests reached replicas after the time allowed."""
    late = 0
    for replica in fleet.replicas:
        for line in replica.record_path.read_text().splitlines():
            if "crashes as it begins" in line:
                late += float(line.split()[0]) > fifth_s + CONTACT_S
    return late


if __name__ == "__main__":
    lab.run_case(play, pathlib.Path(__file__).with_name("record.txt"), gateways=3)
