"""Soak test of odd values in what other processes write (issue 38).

Gateways and three control nodes run as processes. Odd entries join those of the
replicas, replicas answer queries with odd documents, and some callers send odd headers.
While the entries are listed, all replicas are replaced,
and a control node or a gateway may be killed or reloaded. Run manually with
``make soak-odd-values SEED=1 COUNT=50 SECONDS=10``; with ``SOAK_CHECKOUT`` in the
environment, the programs of another checkout are run.
"""

import asyncio
import json
import signal

from platform_standin import standin
from soak import limits, soak

KINDS = ("once", "reads", "drafts")
REQUESTS_PER_S = 30
ODD_REQUESTS_PER_S = 5
CALM_S = 2.0
# A killed node is back, and the list read again, after this time.
SETTLE_S = 3.0
# Replaced replicas serve on for this time after they have left the list.
OVERLAP_S = 1.5
FIRST_NEW_NUMBER = 10
# Goal with sound replicas enough: callers notice nothing.
MIN_SHARE = 0.97
# Log lines of one process that are no decisions on requests.
MAX_LINES_PER_S = 3.0
FAULTS = (None, "kill control", "kill gateway", "reload", "cut off the list")
HUGE = "9" * 400
ENDLESS = "9" * 5_000
DEEP_LIST = "[" * 2_000 + "]" * 2_000
DEEP_OBJECT = '{"a":' * 100_000 + "1" + "}" * 100_000
ODD_FIELDS = (
    ("slots", HUGE),
    ("slots", ENDLESS),
    ("slots", "0"),
    ("slots", DEEP_LIST),
    ("cold_ms", HUGE),
    ("cold_ms", "1e300"),
    ("born", HUGE),
    ("born", "-5"),
    ("addr", '"127.0.0.1:99999"'),
    ("addr", '"127.0.0.1:-1"'),
    ("addr", f'"127.0.0.1:{ENDLESS}"'),
    ("addr", '"..:80"'),
    ("addr", f'"{"a" * 300}:80"'),
    ("addr", '"127.0.0.1"'),
    ("addr", '"127.0.0.1:80\\u0000"'),
    ("id", '"a\\r\\nb: c"'),
    ("id", f'"{"x" * 70_000}"'),
    ("id", '"\\ud800"'),
    ("models", DEEP_OBJECT),
    ("unknown", DEEP_LIST),
    ("zone", "nul"),
)
ODD_HEADERS = (
    "X-Deadline-Ms: " + HUGE,
    "X-Deadline-Ms: " + ENDLESS,
    "X-Token-Usage: " + HUGE + ",5",
    "X-Token-Usage: 999999999999999999,999999999999999999",
    "X-Length-Hint: " + HUGE,
    "X-Prompt-Prefix: " + "ab:5," * 1_500 + "cd:5",
    "Last-Event-Id: " + HUGE,
)
ODD_API_BODIES = (
    b"",
    b"[]",
    b'{"next": %s, "state": 5}' % HUGE.encode(),
    b'{"next": 5, "state": %s}' % DEEP_LIST.encode(),
    DEEP_OBJECT.encode(),
)


class OddPlatform(standin.Platform):
    """A list with odd entries among those of the replicas.

    Attributes
    ----------
    odd_entries : list of str
        JSON texts.
    """

    def __init__(self):
        super().__init__()
        self.odd_entries = []

    async def respond_list(self, request, writer):
        texts = [json.dumps(each) for each in self.entries]
        middle = len(texts) // 2
        texts = [*texts[:middle], *self.odd_entries, *texts[middle:]]
        body = f'{{"instances": [{", ".join(texts)}], "next": null}}'.encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)


class OddValuesSoak(soak.Soak):
    """One run; the seed chooses the odd values and the fault.

    Attributes
    ----------
    odd_fields : list of tuple of str
        Field and JSON text of its value of each odd entry.
    outcomes : list of limits.Outcome
        What callers of sound requests saw.
    odd_statuses : list of int or None
        Statuses of odd requests.
    lines_per_s : dict of Node to float
        Log lines of each process that are no decisions on requests.
    """

    def __init__(self, seed, folder, gateways=3):
        super().__init__(seed, folder, gateways)
        self.fleet.platform = OddPlatform()
        count = self.rng.randint(1, 4)
        self.odd_fields = [self.rng.choice(ODD_FIELDS) for _ in range(count)]
        self.api_body = self.rng.choice((None, *ODD_API_BODIES))
        self.fault = self.rng.choice(FAULTS)
        self.outcomes = []
        self.odd_statuses = []
        self.killed = set()
        self.lines_per_s = {}

    def odd_entry(self, number, field, value):
        replica = self.rng.choice(list(self.fleet.replicas.values()))
        entry = {**replica.list_entry(), "id": f"i-odd-{number}", field: "ODD"}
        return json.dumps(entry).replace('"ODD"', value)

    async def send_repeatedly(self, stop):
        while not stop.is_set():
            self.spawn(self.send_one())
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def send_one(self):
        gateway = self.rng.choice(self.cluster.gateways)
        sent_s = self.now_s()
        caller = soak.Caller(self, gateway=gateway)
        status = await self.send(self.rng.choice(KINDS), caller)
        caller.close()
        if gateway not in self.killed:
            outcome = limits.Outcome(sent_s, self.now_s() - sent_s, status)
            self.outcomes.append(outcome)

    async def send_odd_repeatedly(self, stop):
        while not stop.is_set():
            request_id = self.new_request_id()
            header = self.rng.choice(ODD_HEADERS)
            kind = self.rng.choice(("reads", "drafts"))
            data = standin.request_bytes(
                f"/{kind}/x", [header], b"odd", request_id=request_id
            )
            if header.startswith("X-Deadline-Ms"):
                data = data.replace(b"X-Deadline-Ms: 1500\r\n", b"", 1)
            caller = soak.Caller(self)
            response = await caller.exchange(data)
            caller.close()
            self.odd_statuses.append(response and response.status)
            await asyncio.sleep(1.0 / ODD_REQUESTS_PER_S)

    async def run(self, seconds):
        await self.start()
        stop = asyncio.Event()
        self.started_s = self.now_s()
        self.spawn(self.send_repeatedly(stop))
        self.spawn(self.send_odd_repeatedly(stop))
        await asyncio.sleep(CALM_S)
        await self.list_odd_entries()
        for each in self.fleet.replicas.values():
            each.api_body = self.api_body
        await asyncio.sleep(seconds / 2)
        await self.cause_node_fault()
        await asyncio.sleep(SETTLE_S)
        await self.replace_all_replicas()
        self.from_s = self.now_s()
        await asyncio.sleep(seconds / 2)
        self.until_s = self.now_s()
        stop.set()
        await self.finish_tasks()
        self.check()
        await self.check_invariants()

    async def list_odd_entries(self):
        for number, (field, value) in enumerate(self.odd_fields):
            text = self.odd_entry(number, field, value)
            self.fleet.platform.odd_entries.append(text)
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))

    async def cause_node_fault(self):
        self.faults.append(self.fault)
        if self.fault == "reload":
            for node in self.cluster.nodes:
                node.send_signal(signal.SIGHUP)
        elif self.fault == "cut off the list":
            self.fleet.link.reset()
        elif self.fault is not None:
            is_control = self.fault == "kill control"
            nodes = self.cluster.controls if is_control else self.cluster.gateways
            node = self.rng.choice(nodes)
            self.killed.add(node)
            await node.stop(signal.SIGKILL)
            await node.start()

    async def replace_all_replicas(self):
        """List new replicas in place of the old ones, which end a little later."""
        old = dict(self.fleet.replicas)
        self.fleet.replicas.clear()
        for number in range(1, 4):
            for service in self.server_counts:
                await self.add_replica(service, FIRST_NEW_NUMBER + number)
        for each in self.fleet.replicas.values():
            each.api_body = self.api_body
        await asyncio.sleep(OVERLAP_S)
        for each in old.values():
            each.stop()
        await asyncio.sleep(SETTLE_S)

    def served_share(self):
        sent = [e for e in self.outcomes if self.from_s <= e.sent_s < self.until_s]
        served = sum(each.status == soak.STATUS_OK for each in sent)
        return served / max(1, len(sent))

    def ended_by_themselves(self):
        return [e for e in self.cluster.nodes if e.process.returncode is not None]

    def count_lines(self, node):
        """Return how many lines a process has logged that are no decisions."""
        return sum(
            b'"event":"request"' not in line
            for log in node.folder.glob("log-*")
            for line in log.read_bytes().splitlines()
        )

    def check(self):
        played_s = self.until_s - self.started_s
        self.lines_per_s = {
            each: self.count_lines(each) / played_s for each in self.cluster.nodes
        }
        if self.ended_by_themselves():
            raise self.violation(f"processes ended: {self.summary()}", "")
        if self.served_share() < MIN_SHARE:
            raise self.violation(f"callers served worse: {self.summary()}", "")
        if 500 in self.odd_statuses:
            raise self.violation(f"500 for odd headers: {self.summary()}", "")
        if max(self.lines_per_s.values()) > MAX_LINES_PER_S:
            raise self.violation(f"too many log lines: {self.summary()}", "")

    def summary(self):
        fields = ", ".join(f"{name} {value[:12]}" for name, value in self.odd_fields)
        return (
            f"{fields}; queries {(self.api_body or b'sound')[:12]!r}, {self.fault}; "
            f"served {self.served_share():.3f}, odd requests "
            f"{sorted(set(map(str, self.odd_statuses)))}, "
            f"{max(self.lines_per_s.values()):.1f} lines a second"
        )


async def run_seed(seed, seconds, folder, **options):
    """Run one seed, stop its processes and return the finished soak test."""
    return await soak.run_to_end(OddValuesSoak(seed, folder, **options), seconds)


if __name__ == "__main__":
    soak.run_seeds("soak-odd-values", run_seed)
