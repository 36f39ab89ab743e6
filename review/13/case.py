"""A generation moves on while the replica before still works on it."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig3 import http1, lab  # noqa: E402

# One of eight leaves: no more than the site's share of 0.13.
ENGINES = 8
# So that the lost answer is at most one of twenty that the engine runs.
SHORT_REQUESTS = 240
AT_ONCE = 16
MIN_RUNS = 20
LONG_TOKENS = 600
PROMPT_TOKENS = 3000
ALLOWED_OVERLAP_S = 0.4
LIST_LAG_S = 0.8


class Work:
    """What the engines did for one request, from their notes."""

    def __init__(self, path, request_id):
        self.spans = []
        open_spans = {}
        for line in pathlib.Path(path).read_text().splitlines():
            at_s, engine, what, *rest = line.split(" ")
            if what == "begins" and rest[0] == request_id:
                open_spans[engine] = float(at_s)
            if what == "ends" and rest[0] == request_id:
                self.spans.append((open_spans.pop(engine), float(at_s), engine))
        self.spans += [(at_s, float("inf"), each) for each, at_s in open_spans.items()]
        self.spans.sort()

    def overlaps(self):
        """Return for how long an engine worked on after a later one had begun."""
        return [
            (end_s - later_s, engine, later)
            for begin_s, end_s, engine in self.spans
            for later_s, _, later in self.spans
            if later != engine and begin_s < later_s < end_s
        ]


def backup_address(path, request_id):
    """Return the address to which the first run of a request is backed up."""
    for line in pathlib.Path(path).read_text().splitlines():
        if f" begins {request_id} " in line:
            return line.split(" ")[1], line.rpartition(" ")[2]
    raise lab.CannotRunError("no engine has begun the request")


def runs_of(path, address):
    """Return how many requests the engine at an address has begun."""
    number = address.partition(":")[0].rpartition(".")[2]
    lines = pathlib.Path(path).read_text().splitlines()
    return sum(f" i-{number} begins " in line for line in lines)


async def ask(rig, gateway, request_id, tokens):
    """Send a generation; record its answer."""
    data = lab.generation_bytes("/drafts/x", request_id, PROMPT_TOKENS, tokens)
    answer = await http1.call(gateway.front, data, 39.0)
    text = repr(answer)
    if isinstance(answer, http1.Message):
        state = "complete" if answer.is_whole else "cut"
        text = f"{answer.status}, {answer.body.count(b'data: ')} events, {state}"
    if request_id == "q-1" or "complete" not in text:
        rig.record.write(f"consumer gets for {request_id}: {text}")


async def leave(rig, name, address):
    """Let an engine leave: it says so, and the list shows it after its lag."""
    await rig.set_engine(address, state="draining")
    await asyncio.sleep(LIST_LAG_S)
    rig.show(
        [
            {**each, "state": "draining"} if each["id"] == name else each
            for each in rig.entries
        ]
    )


async def case(record):
    """Return whether two engines worked on one request for too long."""
    rig = lab.Lab(record, gateways=1)
    gateway = rig.gateways[0]
    work = str(rig.folder / "work")
    addresses = {f"i-{n}": rig.server_address(n) for n in range(1, ENGINES + 1)}
    try:
        for name, address in addresses.items():
            await rig.start_helper("engine.py", address, name, work)
        rig.show(
            [lab.engine_entry(name, "llm", each) for name, each in addresses.items()]
        )
        routes = [lab.streaming_route("r-drafts", "/drafts/", "llm")]
        await rig.start(lab.desired_state(7, routes, [lab.engine_service("llm")]))
        await asyncio.sleep(1.5)
        for number in range(0, SHORT_REQUESTS, AT_ONCE):
            await asyncio.gather(
                *(ask(rig, gateway, f"s-{number + n}", 8) for n in range(AT_ONCE))
            )
        await asyncio.sleep(1.5)
        long_one = asyncio.create_task(ask(rig, gateway, "q-1", LONG_TOKENS))
        await asyncio.sleep(2.0)
        source, backup = backup_address(work, "q-1")
        rig.record.write(f"q-1 runs on {source}, backup at {backup}")
        if backup == "none":
            raise lab.CannotRunError("the generation has no backup")
        runs = runs_of(work, backup)
        rig.record.write(f"the replica at {backup} has run {runs} requests")
        if runs < MIN_RUNS:
            raise lab.CannotRunError("the backup's replica has run too few requests")
        if lab.IS_TROUBLED:
            await rig.set_engine(backup, losing=1)
        await leave(rig, source, addresses[source])
        await long_one
        await asyncio.sleep(2.0)
        for line in pathlib.Path(work).read_text().splitlines():
            if " q-1 " in f"{line} ":
                rig.record.write(f"engine: {line}")
        overlaps = Work(work, "q-1").overlaps()
        for duration_s, engine, later in overlaps:
            rig.record.write(
                f"{engine} worked on for {duration_s:.3f} s after {later} had begun"
            )
        return any(each[0] > ALLOWED_OVERLAP_S for each in overlaps)
    finally:
        await rig.stop()


lab.run(case)
