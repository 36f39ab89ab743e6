"""A core machine is replaced as planned; then another one loses its disk."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import lab  # noqa: E402

SYNC_S = 4.0
LOSS_AFTER_END_S = 2.0
DARK_S = 1.0
READ_BACK_S = 30.0


async def play(case, is_trouble):
    """Replace control-2 by control-4, then empty the disk of control-3."""
    record = case.record
    first = case.controls[:3]
    successor = case.controls[3]
    await case.list.start()
    for node in first:
        await node.start(bootstrap=True)
    if not await case.put(lab.desired_state(7), first, label="version 7"):
        raise lab.CouldNotRun("the first desired state was not acknowledged")
    await asyncio.sleep(5.0)
    acknowledged = 7
    nodes = first
    if is_trouble:
        begun_s = time.monotonic()
        await successor.start()
        await asyncio.sleep(SYNC_S)
        record.write("SIGTERM to control-2, which is removed for good")
        await case.controls[1].stop(signal.SIGTERM, 8.0)
        ended_s = time.monotonic()
        record.write("control-2 has ended")
        nodes = [case.controls[0], case.controls[2], successor]
        if await case.put(lab.desired_state(9), nodes, 1.2, "version 9"):
            acknowledged = 9
        await asyncio.sleep(max(0.0, ended_s + LOSS_AFTER_END_S - time.monotonic()))
        since_s = time.monotonic() - begun_s
        record.write(f"kill control-3, {since_s:.2f} s after the start of control-4")
        await case.controls[2].stop(signal.SIGKILL)
        case.controls[2].wipe()
        await asyncio.sleep(DARK_S)
        await case.controls[2].start()
    else:
        await asyncio.sleep(SYNC_S + LOSS_AFTER_END_S + DARK_S)
    return await read_back(case, nodes, acknowledged)


async def read_back(case, nodes, acknowledged):
    """Read the desired state as the operator does at the end of a day."""
    deadline_s = time.monotonic() + READ_BACK_S
    turn = 0
    while time.monotonic() < deadline_s:
        version = await case.get(nodes[turn % len(nodes)])
        turn += 1
        if version is not None:
            is_lost = version < acknowledged
            case.record.write(f"read back {version}, acknowledged {acknowledged}")
            return lab.BROKEN if is_lost else lab.HELD
        await asyncio.sleep(0.5)
    case.record.write(f"version {acknowledged} can't be read back in {READ_BACK_S} s")
    return lab.BROKEN


if __name__ == "__main__":
    lab.run_case(play, pathlib.Path(__file__).with_name("record.txt"), controls=4)
