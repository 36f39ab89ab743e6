"""Soak test of planned work: stops, reloads and declarations.

Gateways of one data centre and three control nodes run as processes. At each gateway
some callers keep their connection and others open one for each call, whether it drains
or not; further ones ask a load balancer. The seed chooses the planned work, which comes
in series and overlaps, and how long the servers work. In some runs a gateway is cut off
from the servers while it or another one drains, so that requests are handed over. Run
manually with ``make soak-stops SEED=1 COUNT=50 SECONDS=15``; with ``SOAK_CHECKOUT`` in
the environment, the programs of another checkout are run.
"""

import asyncio
import collections
import enum
import functools
import random
import signal
import types

from platform_standin import standin
from soak import backends, proxies, soak

# The platform's bounds.
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
LOSS_SLACK_S = 0.2
# A stop is planned work until this long after the grace time.
AFTER_GRACE_S = 1.0
# A request that was sent early in the drain may be interrupted in the last part of it.
EARLY_SENT_S = 3.0
LAST_PART_OF_GRACE = 5 / 6
USED_TIME_SHARE = 0.7
# A busy process handles a signal after the requests that came before it.
SIGNAL_SLACK_S = 0.5
CALL_TIMEOUT_S = 0.8

CALLERS_PER_KIND = 3
BALANCED_CALLERS = 4
PAUSE_S = 0.08
LONG_BODY_BYTES = 20_000
LONG_BODY_SHARE = 0.1
PART_INTERVAL_S = 0.2
READY_INTERVAL_S = 1.0
MAX_MISSES = 2
SECOND_STOP_AFTER_S = 1.3
CUT_BEFORE_STOP_S = 0.7
# Faults that are printed of a run.
MAX_LINES = 40
CALL_KINDS = ("once", "reads")
SERVICE_TIMES_S = (0.045, 0.2, 0.4, 0.6)
EVENT_INTERVALS_S = (0.02, 0.1)
GENERATIONS_PER_S = (0, 1, 3)


class CutOff(enum.Enum):
    """Which gateways lose the path to all servers around a stop."""

    NONE = "none"
    STOPPED = "the one that stops"
    PEER = "another one"


class Verdict(enum.Enum):
    """What a request's end means under the platform's rule.

    The rule counts cuts beside a declaration by their rate, and none beside a cut of
    links or outside planned work. Here each of them fails the run.
    """

    ANSWERED = "answered"
    EXCUSED = "excused"
    LOST = "LOST"
    BESIDE_DECLARATION = "without an answer beside a declaration"
    BESIDE_CUT = "without an answer beside a cut"
    OUTSIDE = "without an answer outside planned work"


class Span:
    """Time in which something was done to a node, or to all if it is ``None``."""

    def __init__(self, node, start_s, end_s):
        self.node = node
        self.start_s = start_s
        self.end_s = end_s

    def contains(self, at_s):
        return self.start_s <= at_s <= self.end_s


class Attempt:
    """A request that was sent, as its caller saw it.

    Attributes
    ----------
    checkout : pathlib.Path
        What the gateway ran when its connection was opened.
    """

    def __init__(self, kind, request_id, caller, ended_s):
        self.kind = kind
        self.request_id = request_id
        self.gateway = caller.node
        self.checkout = caller.checkout
        self.is_kept = caller.keep_alive
        self.sent_s = caller.sent_s
        self.ended_s = ended_s
        self.response = caller.response
        self.error = caller.error

    @property
    def age_s(self):
        return self.ended_s - self.sent_s

    @property
    def is_refused(self):
        return self.response is not None and self.response.status in soak.NOT_RUN


class DirectCaller(soak.Caller):
    """A caller whose connection has no proxy, so that it sees how it ends.

    Attributes
    ----------
    node : Node
        Gateway of the last connection.
    checkout : pathlib.Path
        What it ran then.
    """

    async def connect(self):
        self.node = self.gateway or self.soak.balancer.choose(self.soak.rng)
        self.checkout = self.node.checkout
        port = self.soak.ports.front
        self.reader, self.writer = await asyncio.open_connection(self.node.ip, port)

    async def write(self, data):
        """Send a request; every second long one in two parts."""
        if len(data) > LONG_BODY_BYTES and self.soak.rng.random() < 0.5:
            half = len(data) // 2
            self.writer.write(data[:half])
            await asyncio.sleep(PART_INTERVAL_S)
            data = data[half:]
        self.writer.write(data)


class Balancer:
    """Chooses a gateway for each connection by health checks.

    Attributes
    ----------
    misses : Counter
        Failed health checks in a row of each gateway.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.misses = collections.Counter()

    async def check_repeatedly(self, stop):
        while not stop.is_set():
            await asyncio.gather(*(self.check(e) for e in self.cluster.gateways))
            await asyncio.sleep(READY_INTERVAL_S)

    async def check(self, node):
        is_ready = await self.is_ready(node)
        self.misses[node] = 0 if is_ready else self.misses[node] + 1

    async def is_ready(self, node):
        try:
            async with asyncio.timeout(READY_INTERVAL_S):
                reader, writer = await asyncio.open_connection(
                    node.ip, self.cluster.ports.ready
                )
                try:
                    writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    return (await standin.read_message(reader)).status == 200
                finally:
                    writer.close()
        except (OSError, TimeoutError, EOFError):
            return False

    def choose(self, rng):
        nodes = self.cluster.gateways
        ready = [each for each in nodes if self.misses[each] < MAX_MISSES]
        return rng.choice(nodes if 2 * len(ready) < len(nodes) else ready)


class StopsSoak(soak.Soak):
    """One run.

    Attributes
    ----------
    attempts : list of Attempt
        All requests that were sent.
    stops, reloads, declarations, cuts_off : list of Span
        What was done, and when.
    killed : list of Node
        Nodes that had to be killed at the end of the grace time.
    grace_s, calm_s, after_s : float
        Time from SIGTERM to SIGKILL, and without planned work before and after it.
    """

    grace_s = 8.0
    calm_s = 3.0
    after_s = 3.0
    server_counts = types.MappingProxyType({"model": 2, "ledger": 4})
    time_limit_ms = 6000

    def __init__(self, seed, folder):
        rng = random.Random(f"stops-{seed}")
        super().__init__(seed, folder, rng.randint(2, 4))
        self.rng = rng
        self.cluster.grace_s = self.grace_s
        self.service_time_s = rng.choice(SERVICE_TIMES_S)
        self.event_interval_s = rng.choice(EVENT_INTERVALS_S)
        self.generations_per_s = rng.choice(GENERATIONS_PER_S)
        self.declares = rng.random() < 0.5
        self.cut_off = rng.choice((CutOff.NONE, CutOff.NONE, *CutOff))
        self.how = rng.choice(list(proxies.Cut))
        self.overlaps = rng.random() < 0.5
        self.works = (
            self.stop_one,
            self.stop_two,
            self.stop_all_in_turn,
            self.stop_control,
            self.reload,
            self.declare,
        )
        self.cuts = proxies.Cuts()
        self.balancer = Balancer(self.cluster)
        self.locks = collections.defaultdict(asyncio.Lock)
        self.attempts = []
        self.stops = []
        self.reloads = []
        self.declarations = []
        self.cuts_off = []
        self.killed = []

    async def add_replica(self, service, number):
        await super().add_replica(service, number)
        for each in self.fleet.replicas.values():
            each.link.cuts = self.cuts

    async def run(self, seconds):
        await self.start()
        for each in self.fleet.replicas.values():
            each.service_time_s = self.service_time_s
            each.event_interval_s = self.event_interval_s
        self.from_s = self.now_s()
        stop = asyncio.Event()
        self.start_callers(stop)
        await asyncio.sleep(self.calm_s)
        await self.work(seconds)
        await asyncio.sleep(self.after_s)
        stop.set()
        await self.finish_tasks()
        self.check()
        for each in self.fleet.replicas.values():
            each.service_time_s = backends.SERVICE_TIME_S
        await self.check_invariants()

    def start_callers(self, stop):
        self.spawn(self.balancer.check_repeatedly(stop))
        if self.declares:
            self.spawn(self.publish_repeatedly(stop))
        gateways = [None] * BALANCED_CALLERS
        for node in self.cluster.gateways:
            gateways += [node] * CALLERS_PER_KIND
        for kind in CALL_KINDS:
            for node in gateways:
                self.spawn(self.call_repeatedly(kind, stop, False, node))
                if node is not None:
                    self.spawn(self.call_repeatedly(kind, stop, True, node))
        if self.generations_per_s:
            self.spawn(self.generate_repeatedly(stop))
            for node in self.cluster.gateways:
                self.spawn(self.call_repeatedly("drafts", stop, True, node))

    async def call_repeatedly(self, kind, stop, keep_alive, gateway):
        caller = DirectCaller(self, keep_alive, gateway)
        while not stop.is_set():
            await self.attempt(kind, caller)
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * PAUSE_S)
        caller.close()

    async def generate_repeatedly(self, stop):
        while not stop.is_set():
            gateway = self.rng.choice((None, *self.cluster.gateways))
            self.spawn(self.attempt("drafts", DirectCaller(self, False, gateway)))
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) / self.generations_per_s)

    async def attempt(self, kind, caller):
        request_id = self.new_request_id()
        body = request_id.encode()
        if self.rng.random() < LONG_BODY_SHARE:
            body *= LONG_BODY_BYTES // len(body)
        await self.send(kind, caller, request_id, body)
        if caller.sent_s is not None:
            ended = Attempt(kind, request_id, caller, self.now_s())
            self.attempts.append(ended)

    async def work(self, seconds):
        """Do planned work, one kind after another or overlapping."""
        end_s = self.now_s() + seconds
        work = self.works[self.seed % len(self.works)]
        while self.now_s() < end_s:
            self.faults.append(work.__name__)
            task = asyncio.create_task(work())
            if self.overlaps:
                self.spawn(self.wait_for(task))
                await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            else:
                await task
            work = self.rng.choice(self.works)
        while any(lock.locked() for lock in self.locks.values()):
            await asyncio.sleep(READY_INTERVAL_S)

    async def wait_for(self, task):
        await task

    async def stop_one(self):
        await self.stop_gateway(self.rng.choice(self.cluster.gateways))

    async def stop_two(self):
        first, second = self.rng.sample(self.cluster.gateways, 2)
        stopping = asyncio.create_task(self.stop_gateway(first))
        await asyncio.sleep(SECOND_STOP_AFTER_S)
        await self.stop_gateway(second)
        await stopping

    async def stop_all_in_turn(self):
        for node in self.cluster.gateways:
            await self.stop_gateway(node)

    async def stop_control(self):
        async with self.locks["control"]:
            await self.stop_and_start(self.rng.choice(self.cluster.controls))

    async def reload(self):
        node = self.rng.choice(self.cluster.nodes)
        now_s = self.now_s()
        node.send_signal(signal.SIGHUP)
        self.reloads.append(Span(node, now_s, now_s + CONFIG_APPLY_S))
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))

    async def declare(self):
        for _ in range(5):
            await self.publish()
            await asyncio.sleep(1.0)

    async def publish(self):
        sent_s = self.now_s()
        accepted = await super().publish()
        end_s = self.now_s() + CONFIG_APPLY_S + 1.0
        self.declarations.append(Span(None, sent_s, end_s))
        return accepted

    async def stop_gateway(self, node):
        async with self.locks[node]:
            cut = await self.cut_before_stop(node)
            await self.stop_and_start(node)
            if cut is not None:
                cut.end_s = self.now_s()
                self.cuts.nodes.pop(cut.node.ip, None)
            while not await self.balancer.is_ready(node):
                await asyncio.sleep(0.1)

    async def cut_before_stop(self, stopped):
        """Cut a gateway off from the servers, if the seed has chosen so."""
        if self.cut_off is CutOff.NONE:
            return None
        others = [each for each in self.cluster.gateways if each is not stopped]
        node = stopped if self.cut_off is CutOff.STOPPED else self.rng.choice(others)
        if node.ip in self.cuts.nodes:
            return None
        cut = Span(node, self.now_s(), float("inf"))
        self.cuts_off.append(cut)
        self.cuts.cut(node.ip, self.how)
        await asyncio.sleep(CUT_BEFORE_STOP_S)
        return cut

    async def stop_and_start(self, node):
        await self.stop_process(node)
        await node.start()

    async def stop_process(self, node):
        """Stop a process as the platform does."""
        stopped = Span(node, self.now_s(), float("inf"))
        self.stops.append(stopped)
        await node.stop(signal.SIGTERM, self.grace_s)
        stopped.end_s = self.now_s()
        if node.process.returncode == -signal.SIGKILL:
            self.killed.append(node)

    def check(self):
        found = [f"{e.folder.name} still ran at SIGKILL" for e in self.killed]
        for each in self.attempts:
            found += [f"{what}: {self.line(each)}" for what in self.faults_of(each)]
        if found:
            lines = [self.summary(), f"{len(found)} faults", *found[:MAX_LINES]]
            raise self.violation("\n  ".join(lines), "")

    def faults_of(self, attempt):
        """Return what is wrong with how a request ended."""
        verdict = self.verdict(attempt)
        if verdict not in (Verdict.ANSWERED, Verdict.EXCUSED):
            return [verdict.value]
        if not attempt.is_refused:
            return []
        faults = []
        if attempt.response.header("Retry-After") is None:
            faults.append(f"{attempt.response.status} without Retry-After")
        stop = self.stop_around(attempt)
        since_s = attempt.sent_s - SIGNAL_SLACK_S
        is_draining = stop is not None and stop.contains(since_s)
        if is_draining and attempt.response.header("Connection") != "close":
            faults.append(f"{attempt.response.status} on an open connection in a drain")
        return faults

    def stop_around(self, attempt):
        """Return the stop of the gateway in whose time a request ended, if any."""
        for each in self.stops:
            after_s = attempt.ended_s - each.start_s
            is_around = 0.0 <= after_s <= self.grace_s + AFTER_GRACE_S
            if each.node is attempt.gateway and is_around:
                return each
        return None

    @functools.cached_property
    def passed_on(self):
        return {each.request_id for each in self.fleet.record.arrivals}

    def was_read(self, attempt):
        """Return whether a gateway has read a request, as the rule counts it.

        A connection that is closed with unread bytes is reset.
        """
        if attempt.request_id in self.passed_on:
            return True
        is_reset = isinstance(attempt.error, ConnectionError)
        return not is_reset and attempt.age_s > LOSS_SLACK_S

    def time_limit_s(self, attempt):
        return (
            CALL_TIMEOUT_S if attempt.kind in CALL_KINDS else self.time_limit_ms / 1e3
        )

    def was_at_work_late(self, attempt, stop):
        """Return whether a server worked into the last part of a drain on it."""
        ended_s = self.fleet.record.ended_s.get(attempt.request_id, 0.0)
        return (
            attempt.sent_s <= stop.start_s + EARLY_SENT_S
            and ended_s >= stop.start_s + self.grace_s * LAST_PART_OF_GRACE
        )

    def verdict(self, attempt):
        if attempt.response is not None:
            return Verdict.ANSWERED
        limit_s = self.time_limit_s(attempt)
        if not self.was_read(attempt) or attempt.age_s >= limit_s:
            return Verdict.EXCUSED
        stop = self.stop_around(attempt)
        if stop is not None and self.was_at_work_late(attempt, stop):
            return Verdict.EXCUSED
        if any(
            each.start_s <= attempt.ended_s and each.end_s + CONTACT_S >= attempt.sent_s
            for each in self.cuts_off
        ):
            # The cut breaks streams off.
            is_call = attempt.kind in CALL_KINDS
            return Verdict.BESIDE_CUT if is_call else Verdict.EXCUSED
        is_reloaded = any(
            each.node is attempt.gateway
            and each.start_s <= attempt.ended_s
            and attempt.sent_s <= each.end_s
            for each in self.reloads
        )
        if stop is not None or is_reloaded:
            return Verdict.LOST
        if any(each.contains(attempt.ended_s) for each in self.declarations):
            is_late = attempt.age_s >= USED_TIME_SHARE * limit_s
            return Verdict.EXCUSED if is_late else Verdict.BESIDE_DECLARATION
        return Verdict.OUTSIDE

    def line(self, attempt):
        """Return when a request was sent and ended, after a SIGTERM if there was one.

        Otherwise the times are those since the start of the run.
        """
        stop = self.stop_around(attempt)
        since_s = self.from_s if stop is None else stop.start_s
        passed = "passed on" if attempt.request_id in self.passed_on else "not passed"
        kept = "kept" if attempt.is_kept else "new"
        return (
            f"{attempt.request_id} {attempt.kind} at {attempt.gateway.ip}, {kept} "
            f"connection, {passed}, sent {attempt.sent_s - since_s:.2f} s, ended "
            f"{attempt.ended_s - since_s:.2f} s"
        )

    def summary(self):
        statuses = collections.Counter(
            f"{each.kind} {each.response.status}"
            for each in self.attempts
            if each.response is not None
        )
        counts = collections.Counter(self.verdict(e).value for e in self.attempts)
        took_s = [f"{each.end_s - each.start_s:.2f}" for each in self.stops]
        return (
            f"{len(self.cluster.gateways)} gateways, work {self.service_time_s} s, "
            f"{self.generations_per_s} generations/s of {self.event_interval_s} s, "
            f"declares {self.declares}, cut {self.cut_off.value} {self.how.value}, "
            f"overlaps {self.overlaps}; {self.faults}; stops took {took_s} s; "
            f"statuses {dict(sorted(statuses.items()))}; {dict(counts)}"
        )


async def run_seed(seed, seconds, folder):
    """Run one seed, stop its processes and return the finished soak test."""
    return await soak.run_to_end(StopsSoak(seed, folder), seconds)


if __name__ == "__main__":
    soak.run_seeds("soak-stops", run_seed)
