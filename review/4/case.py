"""Two of a zone's three gateways are stopped in turn while the zone's consumers go on."""

import asyncio
import collections
import pathlib
import random
import signal
import time

import harness
import replicas as replica_processes
import service
import states

LEAD_S = 12.0
# Two of five gateways are stopped: a share of 0.4, below the 0.45 of the site.
ZONE_GATEWAYS = 3
OTHER_GATEWAYS = 2
# Each gateway of the zone gets so many calls a second; a call takes its replica WORK_S.
RATE_PER_S = 12.0
WORK_S = 0.4
# The consumers' time limit and the route's timeout_ms.
TIME_LIMIT_MS = 1500
TIMEOUT_MS = 800
GRACE_S = 8.0
EARLY_S = 3.0
GAP_S = 1.3
# A process that has ended is restarted after a short delay.
RESTART_S = 0.5
# Generations of some nine seconds run at all gateways, as on any day.
STREAM_EVENTS = 232
STREAM_GAP_S = 0.04
STREAMS_PER_S = 3.0
CHECK_INTERVAL_S = 1.0
MISSES = 2
AFTER_S = 3.0
RUN_UP_S = 6.0


class Balancer:
    """Chooses a gateway for each new channel, as PROTOCOL.md says under Ingress."""

    def __init__(self, gateways, record):
        self.gateways = gateways
        self.record = record
        self.misses = dict.fromkeys(gateways, 0)

    async def run(self):
        while True:
            await asyncio.gather(*(self.check(each) for each in self.gateways))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def check(self, gateway):
        data = b"GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
        reply = await harness.call(gateway.ip, harness.READY, data, 0.8)
        was_in = self.misses[gateway] < MISSES
        self.misses[gateway] = 0 if reply.status == 200 else self.misses[gateway] + 1
        if was_in != (self.misses[gateway] < MISSES):
            self.record.write(f"balancer: {gateway.ip} is "
                              f"{'out of' if was_in else 'in'} rotation")

    def in_use(self):
        rotation = [each for each in self.gateways if self.misses[each] < MISSES]
        if 2 * len(rotation) < len(self.gateways):
            return self.gateways
        return rotation

    def choose(self, consumer):
        nodes = self.in_use()
        return nodes[hash(consumer) % len(nodes)]


class Attempt:
    """One consumer attempt: to which gateway, when it was sent and how it ended."""

    def __init__(self, request_id, gateway):
        self.request_id = request_id
        self.gateway = gateway
        self.sent = time.monotonic()
        self.ended = None
        self.reply = None


async def send(attempt):
    data = states.request("POST", "/once/1", attempt.request_id, TIME_LIMIT_MS, b"x")
    attempt.reply = await harness.call(
        attempt.gateway.ip, harness.FRONT, data, TIME_LIMIT_MS / 1000)
    attempt.ended = time.monotonic()


async def consume(balancer, attempts):
    """Send calls for ever, each on a new channel and by another consumer."""
    tasks = set()
    number = 0
    while True:
        number += 1
        attempt = Attempt(f"call-{number:05d}", balancer.choose(random.random()))
        attempts.append(attempt)
        task = asyncio.create_task(send(attempt))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / (RATE_PER_S * len(balancer.gateways)))


async def stream(balancer, request_id, ends, record):
    data = states.request(
        "POST", "/drafts/1", request_id, 39000, b"prompt",
        ["X-Model: m", "X-Token-Usage: 3000,928", f"X-Prompt-Prefix: {request_id}:3000"],
    )
    gateway = balancer.choose(random.random())
    began = time.monotonic()
    reply = await harness.call(gateway.ip, harness.FRONT, data, 39.0)
    ends[reply.status, reply.is_complete] += 1
    record.write(f"{request_id} to {gateway.ip}: {reply} "
                 f"after {time.monotonic() - began:.2f} s")


async def consume_streams(balancer, ends, record):
    """Begin generations for ever; they only keep the gateways at work."""
    tasks = set()
    number = 0xabc00000
    while True:
        number += 1
        task = asyncio.create_task(stream(balancer, f"{number:x}", ends, record))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / STREAMS_PER_S)


async def stop_and_start(gateway, stopped, record):
    """SIGTERM, SIGKILL after the grace time, and a restart."""
    stopped[gateway] = time.monotonic()
    record.write(f"SIGTERM to {gateway.ip}")
    gateway.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            await gateway.child.wait()
        how = "ended"
    except TimeoutError:
        how = "was killed"
    await gateway.kill()
    record.write(f"{gateway.ip} {how} {time.monotonic() - stopped[gateway]:.2f} s later")
    await asyncio.sleep(RESTART_S)
    await gateway.start()


def lost_calls(attempts, stopped, replicas):
    """Return the calls that were passed on and not answered, without an excuse."""
    lost = []
    for each in attempts:
        term = stopped.get(each.gateway)
        if each.reply is None or each.reply.is_complete or term is None:
            continue
        runs = [r for r in replicas if each.request_id in r.runs]
        is_planned = term <= each.ended <= term + GRACE_S + 1.0 and each.sent >= term
        is_in_time = each.ended - each.sent < TIMEOUT_MS / 1000 - 0.05
        if each.reply.is_sent and runs and is_planned and is_in_time:
            # The excuse for a replica that works into the last sixth of the grace time
            # holds only for what was sent early.
            if each.sent > term + EARLY_S:
                lost.append(each)
    return lost


async def play(deployment, record, platform_list, replicas, engines, operator):
    for each in [*replicas, *engines]:
        await each.start()
    platform_list.show([*(each.entry() for each in replicas),
                        *(each.entry("model") for each in engines)])
    await platform_list.start()
    await deployment.start()
    await asyncio.sleep(1.0)
    state = states.desired_state(7, calls_timeout_ms=TIMEOUT_MS)
    if await operator.put(7, state) != 200:
        raise harness.CannotRunError("the desired state was not acknowledged")
    await asyncio.sleep(LEAD_S)
    balancer = Balancer(deployment.gateways[:ZONE_GATEWAYS], record)
    attempts = []
    stopped = {}
    ends = collections.Counter()
    work = [asyncio.create_task(balancer.run()),
            asyncio.create_task(consume(balancer, attempts)),
            asyncio.create_task(consume_streams(balancer, ends, record))]
    await asyncio.sleep(RUN_UP_S)
    rolls = []
    if harness.trouble():
        for gateway in deployment.gateways[:2]:
            rolls.append(asyncio.create_task(
                stop_and_start(gateway, stopped, record)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*rolls)
    else:
        await asyncio.sleep(GRACE_S + GAP_S)
    await asyncio.sleep(AFTER_S)
    work[1].cancel()
    await asyncio.sleep(TIME_LIMIT_MS / 1000 + 0.2)
    work[0].cancel()
    work[2].cancel()
    record.write(f"streams by status and completeness: {dict(ends)}")
    return report(record, attempts, stopped, replicas)


def report(record, attempts, stopped, replicas):
    for each in attempts:
        term = stopped.get(each.gateway)
        after = "" if term is None else f" {each.sent - term:+.3f} s after its SIGTERM"
        ended = "" if each.ended is None else f" after {each.ended - each.sent:.3f} s"
        record.write(f"{each.request_id} to {each.gateway.ip}{after}: {each.reply}{ended}")
    answered = sum(a.reply is not None and a.reply.is_complete and a.reply.status == 200
                   for a in attempts)
    lost = lost_calls(attempts, stopped, replicas)
    for each in lost:
        term = stopped[each.gateway]
        run = next(r for r in replicas if each.request_id in r.runs)
        record.say(
            f"LOST {each.request_id}: sent {each.sent - term:.2f} s after SIGTERM to "
            f"{each.gateway.ip}, run by {run.id}, channel ended "
            f"{each.ended - term:.2f} s after it ({each.reply}); the replica's run: "
            f"{run.ended.get(each.request_id, (0, 'unknown'))[1]}")
    record.say(f"{len(attempts)} calls, {answered} answered with 200, {len(lost)} lost")
    if answered < len(attempts) / 3:
        raise harness.CannotRunError("too few calls were served")
    return not lost


async def main(record):
    deployment = harness.Deployment(record)
    deployment.add_gateways(ZONE_GATEWAYS)
    deployment.add_gateways(OTHER_GATEWAYS, zone="flx-b")
    platform_list = harness.InstanceList(deployment)
    replicas = [service.ServiceReplica(deployment, 201 + i, f"i-{i}", WORK_S)
                for i in range(3)]
    engines = [
        replica_processes.ReplicaProcess(
            deployment, 221 + i, f"i-engine-{i}", "chunked", STREAM_EVENTS, STREAM_GAP_S)
        for i in range(3)
    ]
    operator = harness.Operator(deployment, record)
    try:
        return await play(
            deployment, record, platform_list, replicas, engines, operator)
    finally:
        platform_list.stop()
        for each in engines:
            await each.stop()
        for each in replicas:
            each.stop()
        await deployment.close()


harness.run(main, pathlib.Path(__file__).parent / "record.txt")
