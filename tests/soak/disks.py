"""Soak test of disks that are full, refuse, fail syncs, hang or are slow (issue 41).

Gateways, servers and three or five control nodes run as processes, the control nodes
with disks that fail as the seed chooses: some, in turn or all, one kind beside another,
from the first start on, and beside kills, losses of power, a wiped disk, new leaders
and reloads. Operators send changes and read them back all the time, and callers ask the
gateways. Run manually with ``make soak-disks SEED=1 COUNT=50 SECONDS=20``; with
``SOAK_CHECKOUT`` in the environment, the programs of another checkout are run.
"""

import asyncio
import collections
import enum
import json
import random
import shutil
import signal

from platform_standin import standin
from soak import run_faulty_disk, soak

# The platform's bounds.
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
ACK_S = 4.0
GRACE_S = 8.0
RESTART_S = 0.3
# Goals: after the last fault each node answers reads within this time; callers notice
# nothing of a refusing disk; log lines stay few.
CALM_S = 10.0
SERVED_SHARE = 0.98
SERVED_SHARE_IN_WINDOW = 0.9
WINDOW_S = 3.0
MAX_LINES_PER_S = 5.0
# For processes that share their processors with others.
SLACK_S = 1.0

METRICS_PORT = 9109
POLL_S = 0.25
REQUESTS_PER_S = 15
READ_INTERVAL_S = 0.25
CHANGE_INTERVALS_S = (0.1, 0.2, 0.5)
INVALID_SHARE = 0.05
# Each version has routes for itself and for as many before it.
ROUTES_KEPT = 40
FIRST_VERSION = 10
NOT_ALLOWED = (401, 403, 404)
STARTED_LINE = b"Starting as"
# Lines of these are bounded by the calls and changes that there are.
LINES_OF_CALLS = (b'"event":"declaration"', b" is in force.")
STATE_BYTES = ((0,), (0,), (245_000,), (0, 245_000, 400_000))
MB = 1_000_000
CAPACITIES = (None, None, 24 * MB, 9 * MB)
SMALL_DISK_STATE_BYTES = (245_000,)
DURATIONS_S = (0.3, 1.0, 3.0, 6.0, 9.0)
# A node's condition must be shown if its disk fails calls for longer.
SHOWN_AFTER_S = 1.7
MAX_FINDINGS = 30


class Fault(enum.Enum):
    """Key of ``run_faulty_disk.Disk.faults`` and the condition that it leads to."""

    FULL = ("full", "no_room")
    REFUSES = ("refuses", "failed")
    FAILS_SYNCS = ("fails_syncs", "failed_sync")
    HANGS = ("hangs", "hanging")
    SLOW = ("slow", None)


class Span:
    """Time in which a disk has a fault."""

    def __init__(self, disk, fault, start_s):
        self.disk = disk
        self.fault = fault
        self.start_s = start_s
        self.end_s = float("inf")

    def touches(self, start_s, end_s):
        return self.start_s <= end_s and start_s <= self.end_s


class Disk:
    """The disk of a control node.

    Attributes
    ----------
    spans : list of Span
        Its faults.
    conditions : list of tuple
        Start and end, in loop time, of each reading of the node's metrics, and the
        conditions that it showed; none if it didn't answer.
    process_events_s : list of float
        Loop times at which the node's process was ended or started.
    """

    def __init__(self, node, capacity_bytes):
        self.node = node
        self.capacity_bytes = capacity_bytes
        self.spans = []
        self.conditions = []
        self.process_events_s = []
        self.is_leader = False
        self.lock = asyncio.Lock()
        self.write_faults()

    def write_faults(self):
        faults = {each.fault.value[0]: True for each in self.spans if each.end_s > 1e9}
        faults["capacity_bytes"] = self.capacity_bytes
        path = self.node.folder / run_faulty_disk.CONTROL_NAME
        unfinished = path.with_suffix(".new")
        unfinished.write_text(json.dumps(faults))
        unfinished.replace(path)

    def begin(self, fault):
        span = Span(self, fault, asyncio.get_running_loop().time())
        self.spans.append(span)
        self.write_faults()
        return span

    def end(self, span):
        span.end_s = asyncio.get_running_loop().time()
        self.write_faults()

    def wipe(self):
        self.node.wipe_disk()
        shutil.rmtree(self.node.folder / run_faulty_disk.DURABLE_NAME)

    def lose_power(self):
        """Leave of the data folder what was synced; the process must have ended."""
        self.node.wipe_disk()
        data = self.node.folder / "data"
        durable = self.node.folder / run_faulty_disk.DURABLE_NAME
        data.mkdir()
        names = durable / run_faulty_disk.NAMES_NAME
        if not names.exists():
            return
        for name, content in json.loads(names.read_bytes())[0].items():
            (data / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(durable / content, data / name)

    def readings(self, start_s, end_s):
        """Return the conditions of each reading of the metrics between two times."""
        return [
            c
            for begun, ended, c in self.conditions
            if start_s <= begun and ended <= end_s
        ]

    def injections(self):
        """Return loop time and fault of each call that failed."""
        path = self.node.folder / run_faulty_disk.INJECTED_NAME
        lines = path.read_text().splitlines() if path.exists() else ()
        return [(float(each.split()[0]), each.split()[1]) for each in lines]


class OperatorCaller(soak.Caller):
    """An operator's connection to a control node, kept open."""

    timeout_s = ACK_S

    def __init__(self, soak_run, node):
        super().__init__(soak_run, True)
        self.node = node

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.node.link.host, self.soak.ports.control
        )

    async def call(self, method, body=b""):
        """Send a call; a connection that the node has closed is opened anew once."""
        is_kept = self.writer is not None
        head = f"{method} /v1/config HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
        data = head.encode() + b"\r\n\r\n" + body
        response = await self.exchange(data)
        if response is None and is_kept and isinstance(self.error, EOFError | OSError):
            response = await self.exchange(data)
        return response


class Outcome:
    """What a caller of a gateway saw."""

    def __init__(self, sent_s, status):
        self.sent_s = sent_s
        self.status = status
        self.is_served = status == soak.STATUS_OK


class DisksSoak(soak.Soak):
    """One run; the seed chooses the disks, the states and the faults.

    Attributes
    ----------
    bodies : dict of int to bytes
        Valid desired state that was sent under each version.
    acks : list of tuple
        Loop time and version of each acknowledgement.
    findings : list of str
        Broken rules.
    """

    def __init__(self, seed, folder):
        rng = random.Random(f"disks-{seed}")
        self.control_count = rng.choice((3, 3, 3, 5))
        super().__init__(seed, folder, rng.randint(2, 3))
        # The faults' choices depend on the seed alone, not on how calls go.
        self.plan = rng
        self.cluster.grace_s = GRACE_S
        capacity_bytes = rng.choice(CAPACITIES)
        self.state_bytes = rng.choice(STATE_BYTES)
        if capacity_bytes is not None:
            self.state_bytes = SMALL_DISK_STATE_BYTES
        self.change_interval_s = rng.choice(CHANGE_INTERVALS_S)
        self.overlaps = rng.random() < 0.5
        self.first_fault = rng.choice((None, None, *Fault))
        self.was_wiped = False
        for node in self.cluster.controls:
            node.runner = "run_faulty_disk.py"
        self.disks = [Disk(e, capacity_bytes) for e in self.cluster.controls]
        self.capacity_bytes = capacity_bytes
        self.plays = (
            self.fail_disks,
            self.fail_disks,
            self.fail_in_turn,
            self.kill_beside,
            self.lose_power_beside,
            self.stop_leader_beside,
            self.reload_beside,
            self.start_late,
            self.wipe_beside,
        )
        self.bodies = {}
        self.acks = []
        self.outcomes = []
        self.findings = []
        self.slowest_ack_s = 0.0
        self.calm_s = 0.0
        self.has_metric = False

    # What is done to the disks and processes.

    async def start(self):
        if self.first_fault is not None:
            duration_s = self.plan.choice(DURATIONS_S)
            disks = self.choose_disks()
            self.note(f"first start {self.first_fault.name} {self.names(disks)}")
            spans = [each.begin(self.first_fault) for each in disks]
            self.spawn(self.end_later(spans, duration_s))
        self.spawn(self.watch_processes())
        for disk in self.disks:
            self.spawn(self.watch_metrics(disk, self.stopping))
        await super().start()

    async def wait_until_serving(self, timeout_s):
        try:
            await super().wait_until_serving(timeout_s + max(DURATIONS_S))
        except TimeoutError:
            self.find(f"nothing served {timeout_s} s after the last fault")
            raise self.violation(self.lines(), "") from None

    def note(self, what):
        self.faults.append(f"{self.now_s() - self.from_s:.1f} s {what}")

    def names(self, disks):
        return ",".join(each.node.ip.rpartition(".")[2] for each in disks)

    def choose_disks(self):
        count = len(self.disks)
        chosen = self.plan.choice((1, 1, count // 2 + 1, count))
        disks = self.plan.sample(self.disks, chosen)
        prefers_leader = self.plan.random() < 0.5
        leaders = [each for each in self.disks if each.is_leader]
        return leaders if chosen == 1 and prefers_leader and leaders else disks

    def begin_faults(self, play, disks=None):
        """Start one fault on some disks; return what to end, and after how long."""
        disks = disks or self.choose_disks()
        fault = self.plan.choice(list(Fault))
        duration_s = self.plan.choice(DURATIONS_S)
        self.note(f"{play} {fault.name} {self.names(disks)} {duration_s}")
        return [each.begin(fault) for each in disks], duration_s

    async def end_later(self, spans, duration_s):
        await asyncio.sleep(duration_s)
        for each in spans:
            each.disk.end(each)

    async def fail_disks(self):
        await self.end_later(*self.begin_faults("fail"))

    async def fail_in_turn(self):
        for disk in self.plan.sample(self.disks, len(self.disks)):
            await self.end_later(*self.begin_faults("turn", [disk]))
            await asyncio.sleep(self.plan.uniform(0.0, 2.0))

    async def kill_beside(self):
        spans, duration_s = self.begin_faults("kill")
        await asyncio.sleep(self.plan.uniform(0.0, duration_s))
        await self.restart_all(self.choose_disks(), signal.SIGKILL)
        await self.end_later(spans, duration_s / 2)

    async def lose_power_beside(self):
        spans, duration_s = self.begin_faults("power")
        await asyncio.sleep(self.plan.uniform(0.0, duration_s))
        await self.restart_all(self.choose_disks(), signal.SIGKILL, Disk.lose_power)
        await self.end_later(spans, duration_s / 2)

    async def stop_leader_beside(self):
        spans, duration_s = self.begin_faults("leader")
        await asyncio.sleep(self.plan.uniform(0.0, duration_s))
        leaders = [each for each in self.disks if each.is_leader]
        how = self.plan.choice((signal.SIGTERM, signal.SIGKILL))
        await self.restart_all(leaders, how)
        await self.end_later(spans, duration_s / 2)

    async def reload_beside(self):
        spans, duration_s = self.begin_faults("reload")
        for node in self.cluster.nodes:
            if self.has_started(node):
                node.send_signal(signal.SIGHUP)
        await self.end_later(spans, duration_s)

    def has_started(self, node):
        """Return whether a process handles signals; before, SIGHUP ends it."""
        log = node.folder / f"log-{node.starts}"
        return log.exists() and STARTED_LINE in log.read_bytes()

    async def start_late(self):
        """Start a node that has missed changes while its or another disk fails."""
        disk = self.plan.choice(self.disks)
        async with disk.lock:
            await self.end_process(disk, signal.SIGKILL)
            await asyncio.sleep(self.plan.uniform(1.0, 5.0))
            spans, duration_s = self.begin_faults(
                "late", [self.plan.choice(self.disks)]
            )
            await self.start_process(disk)
        await self.end_later(spans, duration_s)

    async def wipe_beside(self):
        """Wipe one disk, once in a run, as the loss of two may lose what was acked."""
        if self.was_wiped:
            return
        self.was_wiped = True
        disk = self.plan.choice(self.disks)
        spans, duration_s = self.begin_faults("wipe", [self.plan.choice(self.disks)])
        await self.restart_all([disk], signal.SIGKILL, Disk.wipe)
        await self.end_later(spans, duration_s)

    async def restart_all(self, disks, signal_number, change_disk=None):
        """End the processes of some nodes, change their disks, and start them again."""
        what = getattr(change_disk, "__name__", signal_number.name)
        self.note(f"{what} {self.names(disks)}")
        disks = sorted(disks, key=self.disks.index)
        for each in disks:
            await each.lock.acquire()
        try:
            for each in disks:
                await self.end_process(each, signal_number)
            for each in disks:
                if change_disk is not None:
                    change_disk(each)
                await self.start_process(each)
        finally:
            for each in disks:
                each.lock.release()

    async def end_process(self, disk, signal_number):
        started_s = self.now_s()
        disk.process_events_s.append(started_s)
        await disk.node.stop(signal_number, GRACE_S)
        was_killed = disk.node.process.returncode == -signal.SIGKILL
        hung = any(
            each.fault is Fault.HANGS and each.touches(started_s, self.now_s())
            for each in disk.spans
        )
        if signal_number is signal.SIGTERM and was_killed and not hung:
            self.find(f"{disk.node.ip} still ran {GRACE_S} s after SIGTERM")

    async def start_process(self, disk):
        """Start a node; it is the first start until something was acknowledged."""
        await disk.node.start(bootstrap=not self.acked)
        disk.process_events_s.append(self.now_s())

    async def watch_processes(self):
        """Start each control process again that has ended by itself."""
        while not self.is_over:
            await asyncio.sleep(POLL_S)
            for each in self.disks:
                process = each.node.process
                if process is None or each.lock.locked():
                    continue
                if process.returncode is not None:
                    await self.start_again(each)

    async def start_again(self, disk):
        async with disk.lock:
            log = disk.node.folder / f"log-{disk.node.starts}"
            last = log.read_text(errors="replace").splitlines()[-1:]
            status = disk.node.process.returncode
            self.find(f"{disk.node.ip} ended by itself with {status}: {last}")
            disk.process_events_s.append(self.now_s())
            await asyncio.sleep(RESTART_S)
            await self.start_process(disk)

    # What operators and callers do, and what they see.

    @property
    def is_over(self):
        return self.stopping.is_set()

    def find(self, what):
        self.findings.append(f"{self.now_s() - self.from_s:.2f} s: {what}")

    def desired_state(self, version):
        """Return a desired state with routes for this version and some before it."""
        routes = list(standin.STATE["routes"])
        for number in range(max(1, version - ROUTES_KEPT), version + 1):
            path = f"/new-{number}/"
            routes.append({**routes[1], "name": f"r-new-{number}", "prefix": path})
        ballast = self.rng.randbytes(self.rng.choice(self.state_bytes) // 2).hex()
        return standin.state(version=version, routes=routes, ballast=ballast)

    async def publish(self):
        """Send the next version to some node until it is acknowledged."""
        node = self.rng.choice(self.cluster.controls)
        caller = OperatorCaller(self, node)
        try:
            return await self.send_change(caller)
        finally:
            caller.close()

    def next_version(self):
        self.published_count += 1
        return FIRST_VERSION + self.published_count

    async def send_change(self, caller):
        version = self.next_version()
        self.bodies[version] = self.desired_state(version)
        started_s = self.now_s()
        response = await caller.call("PUT", self.bodies[version])
        if response is None or response.status >= 500:
            return False
        if response.status != soak.STATUS_OK:
            self.find(f"valid version {version} got {response.status}")
            return False
        self.slowest_ack_s = max(self.slowest_ack_s, self.now_s() - started_s)
        self.acked = max(self.acked, version)
        self.acks.append((self.now_s(), self.acked))
        return True

    async def send_invalid(self, caller):
        version = self.next_version()
        state = json.loads(standin.state(version=version))
        state["routes"][0]["kind"] = "no such kind"
        response = await caller.call("PUT", json.dumps(state).encode())
        if response is not None and response.status == soak.STATUS_OK:
            self.find(f"invalid version {version} was acknowledged")

    async def change_repeatedly(self, stop):
        callers = [OperatorCaller(self, each) for each in self.cluster.controls]
        while not stop.is_set():
            caller = self.rng.choice(callers)
            if self.rng.random() < INVALID_SHARE:
                await self.send_invalid(caller)
            else:
                await self.send_change(caller)
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * self.change_interval_s)
        for caller in callers:
            caller.close()

    async def read_repeatedly(self, node, stop):
        caller = OperatorCaller(self, node)
        while not stop.is_set():
            await self.read(caller)
            await asyncio.sleep(READ_INTERVAL_S)
        caller.close()

    def acked_before(self, at_s):
        return max((each for acked_s, each in self.acks if acked_s <= at_s), default=0)

    async def read(self, caller):
        """Read the desired state; return its version, or ``None``."""
        response = await caller.call("GET")
        if response is None or response.status != soak.STATUS_OK:
            return None
        version = json.loads(response.body)["version"]
        if response.body != self.bodies.get(version):
            self.find(f"{caller.node.ip} reads {version}, not as it was sent")
        least = self.acked_before(caller.sent_s - CONFIG_APPLY_S)
        if version < least:
            self.find(f"{caller.node.ip} reads {version} after the ack of {least}")
        return version

    async def call_repeatedly(self, kind, gateway, stop):
        caller = soak.Caller(self, True, gateway)
        while not stop.is_set():
            await self.call_once(kind, caller)
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) / REQUESTS_PER_S)
        caller.close()

    async def call_once(self, kind, caller):
        sent_s = self.now_s()
        status = await self.send(kind, caller)
        self.outcomes.append(Outcome(sent_s, status))
        return status

    async def ask_new_routes(self, gateway, stop):
        """Ask for the route of the newest version that must be in force."""
        caller = soak.Caller(self, True, gateway)
        while not stop.is_set():
            await asyncio.sleep(POLL_S)
            now_s = self.now_s()
            due_s = now_s - CONFIG_APPLY_S - SLACK_S
            version = self.acked_before(due_s)
            if version == 0 or not self.is_steady(due_s - CONTACT_S):
                continue
            status = await self.send(f"new-{version}", caller)
            is_kept = FIRST_VERSION + self.published_count <= version + ROUTES_KEPT
            if status in NOT_ALLOWED and is_kept:
                self.find(f"{gateway.ip} answers {status} for the route of {version}")
        caller.close()

    def is_steady(self, since_s):
        """Return whether all control processes ran since a time."""
        return all(
            at_s < since_s for each in self.disks for at_s in each.process_events_s
        )

    async def watch_metrics(self, disk, stop):
        while not stop.is_set():
            await self.read_metrics(disk)
            await asyncio.sleep(POLL_S)

    async def read_metrics(self, disk):
        """Read and record the conditions that a node shows; return them."""
        started_s = self.now_s()
        try:
            async with asyncio.timeout(ACK_S):
                lines = await fetch_lines(disk.node.ip, METRICS_PORT, "/metrics")
        except (OSError, TimeoutError, EOFError):
            disk.conditions.append((started_s, self.now_s(), set()))
            return None
        shown = [each for each in lines if each.endswith(" 1.0")]
        disk.is_leader = "quetzalpass_is_leader 1.0" in shown
        conditions = {
            each.partition('condition="')[2].partition('"')[0]
            for each in shown
            if each.startswith("quetzalpass_disk_condition{")
        }
        self.has_metric = self.has_metric or bool(conditions)
        disk.conditions.append((started_s, self.now_s(), conditions))
        return conditions

    # The run and its checks.

    async def run(self, seconds):
        self.stopping = asyncio.Event()
        self.from_s = self.now_s()
        await self.start()
        self.from_s = self.now_s()
        self.start_clients(self.stopping)
        await asyncio.sleep(SLACK_S)
        await self.play(seconds)
        self.calm_s = self.now_s()
        await self.check_recovery()
        self.stopping.set()
        await self.finish_tasks()
        self.check()
        await self.check_invariants()

    def start_clients(self, stop):
        for node in self.cluster.controls:
            self.spawn(self.read_repeatedly(node, stop))
        for gateway in self.cluster.gateways:
            self.spawn(self.ask_new_routes(gateway, stop))
            for kind in ("once", "reads"):
                self.spawn(self.call_repeatedly(kind, gateway, stop))
        self.changing = asyncio.Event()
        for _ in range(2):
            self.spawn(self.change_repeatedly(self.changing))

    async def play(self, seconds):
        """Cause faults, one after another or overlapping, until all have passed."""
        end_s = self.now_s() + seconds
        playing = []
        while self.now_s() < end_s:
            task = asyncio.create_task(self.plan.choice(self.plays)())
            playing.append(task)
            if not self.overlaps:
                await task
            await asyncio.sleep(self.plan.uniform(0.2, 2.5))
        await asyncio.gather(*playing)

    async def check_recovery(self):
        """Check that all nodes answer soon after the last fault, and take changes."""
        late = await self.wait_for_reads(CALM_S)
        if late:
            self.find(
                f"no read of an acked version {CALM_S} s after the faults: {late}"
            )
        self.changing.set()
        if not await self.change_within_bound():
            self.find(f"no change was acknowledged within {ACK_S} s after the faults")
        await asyncio.sleep(CONFIG_APPLY_S)
        late = await self.wait_for_reads(ACK_S)
        if late:
            self.find(f"the last change is not read at {late}")
        await self.check_resent()
        for each in self.disks:
            await self.check_shown_as_sound(each)

    async def check_shown_as_sound(self, disk):
        """Check that a node shows no trouble but moments in which it makes room."""
        end_s = self.now_s() + CONTACT_S
        while (conditions := await self.read_metrics(disk)) != {"ok"}:
            if self.now_s() > end_s:
                self.find(f"{disk.node.ip} shows {conditions} at the end")
                return
            await asyncio.sleep(POLL_S)

    async def wait_for_reads(self, timeout_s):
        """Wait until each node has answered a read; return the statuses of others."""
        least = self.acked
        callers = late = [OperatorCaller(self, each) for each in self.cluster.controls]
        end_s = self.now_s() + timeout_s
        while late and self.now_s() < end_s:
            versions = [await self.read(each) for each in late]
            late = [
                caller
                for caller, version in zip(late, versions, strict=True)
                if version is None or version < least
            ]
            await asyncio.sleep(POLL_S)
        for each in callers:
            each.close()
        return [describe(each) for each in late]

    async def change_within_bound(self):
        """Send changes to nodes in turn until one is acknowledged."""
        end_s = self.now_s() + ACK_S
        while self.now_s() < end_s:
            if await self.publish():
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def check_resent(self):
        """Send the last acknowledged change to all nodes again."""
        for node in self.cluster.controls:
            caller = OperatorCaller(self, node)
            response = await caller.call("PUT", self.bodies[self.acked])
            if response is None or response.status != soak.STATUS_OK:
                self.find(f"a change sent again is refused: {describe(caller)}")
            caller.close()

    def check(self):
        self.check_served()
        self.check_shown()
        for node in self.cluster.controls:
            lines_per_s = self.count_lines(node) / (self.now_s() - self.from_s)
            if lines_per_s > MAX_LINES_PER_S:
                self.find(f"{node.ip} logs {lines_per_s:.1f} lines a second")
        for gateway in self.cluster.gateways:
            if gateway.process.returncode is not None:
                self.find(f"{gateway.ip} ended by itself")
        if self.findings:
            raise self.violation(self.lines(), "")

    def lines(self):
        return "\n  ".join([self.summary(), *self.findings[:MAX_FINDINGS]])

    def served_share(self):
        served = sum(each.is_served for each in self.outcomes)
        return served / max(1, len(self.outcomes))

    def check_served(self):
        windows = collections.defaultdict(list)
        for each in self.outcomes:
            windows[int((each.sent_s - self.from_s) / WINDOW_S)].append(each.is_served)
        if self.served_share() < SERVED_SHARE:
            statuses = collections.Counter(each.status for each in self.outcomes)
            self.find(f"callers served: {self.served_share():.3f}, {dict(statuses)}")
        for number, served in sorted(windows.items()):
            if sum(served) < SERVED_SHARE_IN_WINDOW * len(served):
                at_s = number * WINDOW_S
                self.find(f"served from {at_s} s on: {sum(served)} of {len(served)}")

    def check_shown(self):
        """Check that nodes have shown the faults that their disks had for long."""
        if not self.has_metric:
            self.find("no node shows the condition of its disk")
            return
        for disk in self.disks:
            injections = disk.injections()
            for span in disk.spans:
                self.check_span_shown(disk, span, injections)

    def check_span_shown(self, disk, span, injections):
        key, condition = span.fault.value
        others = [e for e in disk.spans if e is not span]
        if condition is None or any(
            each.touches(span.start_s - CONTACT_S, span.end_s) for each in others
        ):
            return
        start_s, end_s = span.start_s - CONTACT_S, span.end_s
        if any(start_s <= at_s <= end_s for at_s in disk.process_events_s):
            return
        failed_s = [a for a, k in injections if k == key and start_s <= a <= end_s]
        if not failed_s or failed_s[0] > end_s - SHOWN_AFTER_S:
            return
        is_over = span.fault is not Fault.HANGS and failed_s[-1] < end_s - SHOWN_AFTER_S
        readings = disk.readings(failed_s[0] + SHOWN_AFTER_S, end_s)
        if is_over or not readings:
            return
        shown = set().union(*disk.readings(start_s, end_s))
        if condition not in shown:
            times = f"{span.start_s - self.from_s:.2f} to {end_s - self.from_s:.2f} s"
            self.find(f"{disk.node.ip} {key} from {times} showed {sorted(shown)}")

    def count_lines(self, node):
        """Return how many lines a process has logged that are of no call or change."""
        return sum(
            not any(each in line for each in LINES_OF_CALLS)
            for log in node.folder.glob("log-*")
            for line in log.read_bytes().splitlines()
        )

    def summary(self):
        acks_in_calm = sum(at_s >= self.calm_s for at_s, _ in self.acks)
        return (
            f"{len(self.disks)} control nodes, {self.capacity_bytes} bytes of disk, "
            f"states {self.state_bytes}, changes each {self.change_interval_s} s; "
            f"served {self.served_share():.4f} of {len(self.outcomes)}; "
            f"acked {self.acked} of {FIRST_VERSION + self.published_count}, "
            f"slowest {self.slowest_ack_s:.2f} s, "
            f"{acks_in_calm} acks after the faults; {self.faults}"
        )


async def fetch_lines(ip, port, path):
    """Return the lines of a page."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        return (await standin.read_message(reader)).body.decode().splitlines()
    finally:
        writer.close()


def describe(caller):
    """Return a node's last answer to an operator."""
    if caller.response is None:
        return f"{caller.node.ip} {caller.error!r}"
    return f"{caller.node.ip} {caller.response.status} {caller.response.body[:160]!r}"


async def run_seed(seed, seconds, folder):
    """Run one seed, stop its processes and return the finished soak test."""
    return await soak.run_to_end(DisksSoak(seed, folder), seconds)


if __name__ == "__main__":
    soak.run_seeds("soak-disks", run_seed)
