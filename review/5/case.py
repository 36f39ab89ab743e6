"""Streams are moved off a leaving replica that doesn't drop a request at its close."""

import asyncio
import pathlib
import re

import harness
import replicas
import states

LEAD_S = 12.0
EVENTS = 300
EVENT_GAP_S = 0.05
DEADLINE_MS = 39000
STREAMS = 24
# One of eight leaves: a share of 0.125, below the 0.13 of the site.
REPLICAS = 8
LEAVES_AFTER_S = 2.0
LIST_LAG_S = 0.8
# The rule: the replica before must not work on the request so long after it goes on
# at another; 0.1 s more for the clocks and the pieces of this script.
OVERLAP_S = 0.4
MARGIN_S = 0.1


def pieces(body):
    return [int(each) for each in re.findall(rb"data: piece-(\d+)\n\n", body)]


async def consume(gateway, request_id, record):
    data = states.request(
        "POST", "/drafts/1", request_id, DEADLINE_MS, b"prompt",
        ["X-Model: m", "X-Token-Usage: 100,1200", "X-Prompt-Prefix: 5c1e07a2:100"],
    )
    record.write(f"consumer sends {request_id} to {gateway.ip}")
    reply = await harness.call(gateway.ip, harness.FRONT, data, DEADLINE_MS / 1000)
    got = pieces(reply.body)
    record.say(f"{request_id}: status {reply.status}, {len(got)} of {EVENTS} pieces, "
               f"complete: {reply.is_complete} ({reply.error})")


def ran_at(replica):
    return [n["id"] for n in replica.notes() if n["event"] == "run"]


def moved_to(replica):
    return [n for n in replica.notes() if n["event"] == "run" and n["kv_from"]]


def overlaps(before, after, record):
    """Return the requests on which both replicas worked for too long."""
    start = min(note["at"] for note in before.notes())
    broken = []
    for moved in moved_to(after):
        old = [n for n in before.notes()
               if n["event"] == "piece" and n["id"] == moved["id"]]
        late = [n for n in old if n["at"] > moved["at"] + OVERLAP_S + MARGIN_S]
        record.say(
            f"{moved['id']} goes on at {after.id} at {moved['at'] - start:.2f} s after "
            f"piece {moved['after']}; {before.id} makes {len(late)} pieces later than "
            f"{OVERLAP_S + MARGIN_S:.1f} s after that, the last "
            f"{old[-1]['at'] - moved['at']:.2f} s after it")
        if late:
            broken.append(moved["id"])
    return broken


async def play(deployment, record, engines, platform_list, operator):
    for each in engines:
        await each.start()
    platform_list.show([each.entry("model") for each in engines])
    await platform_list.start()
    await deployment.start()
    await asyncio.sleep(1.0)
    if await operator.put(7, states.desired_state(7, engine={"backups": False})) != 200:
        raise harness.CannotRunError("the desired state was not acknowledged")
    await asyncio.sleep(LEAD_S)
    consumers = [
        asyncio.create_task(consume(
            deployment.gateways[i % len(deployment.gateways)], f"stream-{i}", record))
        for i in range(STREAMS)
    ]
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving = max(engines, key=lambda each: len(ran_at(each)))
    others = [each for each in engines if each is not leaving]
    if harness.trouble():
        platform_list.show([leaving.entry("model", "draining"),
                            *(each.entry("model") for each in others)])
        leaving.leave()
        record.write(f"the list shows {leaving.id} as draining in {LIST_LAG_S} s")
    await asyncio.gather(*consumers)
    for each in engines:
        for note in each.notes():
            if note["event"] != "piece":
                record.write(f"{each.id}: {note}")
    if harness.trouble() and not any(moved_to(each) for each in others):
        raise harness.CannotRunError("no stream was moved")
    return not [found for each in others for found in overlaps(leaving, each, record)]


async def main(record):
    deployment = harness.Deployment(record)
    deployment.add_gateways(2)
    platform_list = harness.InstanceList(deployment, LIST_LAG_S)
    engines = [
        replicas.ReplicaProcess(
            deployment, 201 + i, f"i-{i}", "keeping", EVENTS, EVENT_GAP_S)
        for i in range(REPLICAS)
    ]
    operator = harness.Operator(deployment, record)
    try:
        return await play(deployment, record, engines, platform_list, operator)
    finally:
        platform_list.stop()
        for each in engines:
            await each.stop()
        await deployment.close()


harness.run(main, pathlib.Path(__file__).parent / "record.txt")
