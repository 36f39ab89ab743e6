"""Disks of a six-machine core are lost one after the other, each with time to sync.

With ``SEEDS=leader`` the settings file of each machine that comes back names the leader
among its three seeds; this isolates the cause and is not part of the case.
"""

import asyncio
import os
import pathlib

import harness
import states

# Bounds of the site, of which sync_s and contact_ms decide when a machine counts again.
SYNC_S = 6.0
CONTACT_S = 4.0
BOUNDS = {
    "contact_ms": 4000,
    "ack_ms": 5000,
    "sync_s": 6,
    "drain_ms": 4000,
    "config_apply_ms": 2500,
    "outer_ms": 6000,
    "budget_extra": 162,
    "recovery_s": 15,
    "pass_ms": 200,
}
CORE_SIZE = 6
TOLERATED_MACHINES = 2
LEAD_S = 14.0
SETTLE_S = SYNC_S + CONTACT_S + 0.5
# Restarts of the leading process until a machine leads that is not among the seeds.
MAX_MOVES = 6
MOVE_S = 3.0
DOWN_S = 0.5
FINAL_READ_S = 13.0
PATIENT_S = 6.0
GET = b"GET /v1/config HTTP/1.1\r\nHost: control\r\n\r\n"


async def move_leader_off_seeds(deployment, record):
    """Kill and restart the leading process until a machine leads that is no seed."""
    for _ in range(MAX_MOVES):
        leader = await harness.leader_of(deployment)
        if leader is None:
            await asyncio.sleep(0.3)
            continue
        if leader not in deployment.controls[:3]:
            record.say(f"{leader.ip} leads, which is not among the seeds")
            return
        record.write(f"kill -9 and restart of the leading process on {leader.ip}")
        await leader.kill()
        await asyncio.sleep(DOWN_S)
        await leader.start()
        await asyncio.sleep(MOVE_S)
    raise harness.CannotRunError("the leader stayed among the seeds")


async def choose_victim(deployment, number):
    """Return the machine that loses its disk: the seeds in turn, then another one."""
    if number < 3:
        return deployment.controls[number]
    leader = await harness.leader_of(deployment)
    return next(each for each in deployment.controls[3:] if each is not leader)


async def play(deployment, operator, record):
    await deployment.start()
    record.write(f"started {[each.ip for each in deployment.controls]}, "
                 f"seeds of all: {deployment.seeds()}, "
                 f"fault_tolerance machines = {TOLERATED_MACHINES}")
    await asyncio.sleep(LEAD_S)
    version = 7
    if await operator.put(version, states.desired_state(version)) != 200:
        raise harness.CannotRunError("the first desired state was not acknowledged")
    if harness.trouble():
        await move_leader_off_seeds(deployment, record)
    await asyncio.sleep(SETTLE_S)
    for number in range(4):
        victim = await choose_victim(deployment, number)
        version += 3
        status = await operator.put(version, states.desired_state(version), 10.0)
        record.say(f"version {version}: {status}")
        if harness.trouble():
            await victim.kill()
            victim.wipe()
            if os.environ.get("SEEDS") == "leader":
                leader = await harness.leader_of(deployment)
                known = [leader, *(e for e in deployment.controls if e is not leader)]
                victim.seeds = [f"{e.ip}:{harness.CONTROL}" for e in known[:3]]
                record.say(f"its settings file now names the leader {leader.ip}")
            await asyncio.sleep(DOWN_S)
            await victim.start()
            record.say(f"{victim.ip} lost its disk and is back with an empty one")
        await asyncio.sleep(SETTLE_S)
    record.write("no further disruption; the operator reads for "
                 f"{FINAL_READ_S:.0f} s")
    operator.counts.clear()
    read = await operator.get(FINAL_READ_S)
    replies = await asyncio.gather(*(
        harness.call(node.ip, harness.CONTROL, GET, PATIENT_S)
        for node in deployment.controls
    ))
    for node, reply in zip(deployment.controls, replies, strict=True):
        record.write(f"GET at {node.ip} with {PATIENT_S:.0f} s of patience: {reply}")
    running = sum(each.is_running for each in deployment.controls)
    record.say(f"newest acknowledged version {operator.acked}, read back: {read}; "
               f"{running} of {CORE_SIZE} core processes run; responses: "
               f"{dict(operator.counts)}")
    return read is not None and read >= operator.acked


async def main(record):
    deployment = harness.Deployment(
        record, BOUNDS, machines=TOLERATED_MACHINES, core_size=CORE_SIZE)
    operator = harness.Operator(deployment, record)
    platform_list = harness.InstanceList(deployment)
    try:
        await platform_list.start()
        return await play(deployment, operator, record)
    finally:
        for each in deployment.controls:
            text = each.log_text()
            record.write(f"log of {each.ip}: "
                         + "; ".join(line[:160] for line in text.splitlines()
                                     if "consensus" in line)[-900:])
        platform_list.stop()
        await deployment.close()


harness.run(main, pathlib.Path(__file__).parent / "record.txt")
