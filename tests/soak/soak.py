"""Randomized soak test: real processes and signals, with invariants checked by clients.

Run manually with ``make soak SEED=1 COUNT=50 SECONDS=15``. It sends signals only to
processes that it has started. Seeds that have failed are listed in ``test_soak.py``.
"""

import asyncio
import contextlib
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import types
import uuid

from platform_standin import standin
from quetzalpass.bench import local_ports
from soak import backends, processes, proxies

STATUS_OK = 200
NOT_RUN = (408, 421, 429, 503)
IDEMPOTENT_KINDS = ("reads", "new-")
START_TIMEOUT_S = 15.0
DEFAULT_SECONDS = 15
RECOVERY_TIMEOUT_S = 20.0
RESPONSE_TIMEOUT_S = 8.0
# Within this time, a node whose disk was wiped has recovered its data.
MIN_WIPE_INTERVAL_S = 6.0
FIRST_NETWORK = 100
NETWORKS = 100
CLAIM_PORT = 9108


def claim_network(seed):
    """Return the number of an unused loopback network, and the socket that claims it.

    Some ports of the processes are fixed, so two runs can't share addresses. The bound
    socket claims the network until it is closed.
    """
    for offset in range(NETWORKS):
        net = FIRST_NETWORK + (seed + offset) % NETWORKS
        claim = local_ports.claim(f"127.{net}.99.1", CLAIM_PORT)
        if claim is not None:
            return net, claim
    raise OSError("all loopback networks are in use by other runs")


class InvariantViolationError(AssertionError):
    """An invariant was violated; the message has the invariant and the request."""


class Caller:
    """A client that keeps its connection or opens one for each request.

    Attributes
    ----------
    timeout_s : float
        How long it waits for each response.
    sent_s : float or None
        Loop time at which the last request was sent, ``None`` if it wasn't.
    error : Exception or None
        What kept the last response from arriving.
    response : Message or None
        The last response.
    """

    timeout_s = RESPONSE_TIMEOUT_S

    def __init__(self, soak, keep_alive=False, gateway=None):
        self.soak = soak
        self.gateway = gateway
        self.keep_alive = keep_alive
        self.reader = None
        self.writer = None
        self.sent_s = None
        self.error = None
        self.response = None

    async def exchange(self, data):
        """Send a request; return its response, or None if no whole one arrived."""
        self.sent_s = self.error = self.response = None
        try:
            async with asyncio.timeout(self.timeout_s):
                if self.writer is None:
                    await self.connect()
                await self.write(data)
                self.sent_s = asyncio.get_running_loop().time()
                response = await standin.read_message(self.reader)
        except (OSError, TimeoutError, EOFError, ValueError) as error:
            self.error = error
            self.close()
            return None
        self.response = response
        if not self.keep_alive or response.header("Connection") == "close":
            self.close()
        return response

    async def connect(self):
        node = self.gateway or self.soak.rng.choice(self.soak.cluster.gateways)
        self.reader, self.writer = await asyncio.open_connection(
            node.link.host, self.soak.ports.front
        )

    async def write(self, data):
        self.writer.write(data)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


class Soak:
    """One run with a seed.

    Attributes
    ----------
    responses : list
        Kind, id and status of each request; the status is ``None`` if there was no
        response.
    acked : int
        Highest version that was acknowledged to the operator.
    server_counts : dict of str to int
        Replicas of each service.
    time_limit_ms : int
        Time limit that callers name.
    control_count : int
        Control nodes.
    """

    server_counts = types.MappingProxyType({"model": 3, "ledger": 3})
    time_limit_ms = 3000
    control_count = 3

    def __init__(self, seed, folder, gateways=2):
        self.rng = random.Random(seed)
        self.seed = seed
        ports = local_ports.free_ports(6)
        net, self.claim = claim_network(seed)
        self.ports = processes.Ports(*ports[:4])
        proxy_ip, ip = f"127.{net}.19.1", f"127.{net}.9.1"
        self.fleet = backends.Fleet(proxies.Link(proxy_ip, ports[4], ip, ports[4]))
        self.replica_port = ports[5]
        self.net = net
        address = f"{proxy_ip}:{ports[4]}"
        self.cluster = processes.Cluster(
            folder, net, self.ports, address, gateways, self.control_count
        )
        self.responses = []
        self.acked = 0
        self.faults = []
        self.next_wipe_s = 0.0
        self.published_count = 0
        self.tasks = set()
        self.task_errors = []

    def now_s(self):
        return asyncio.get_running_loop().time()

    def spawn(self, work):
        """Run a coroutine beside the others; ``finish_tasks`` raises its error."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.forget_task)

    def forget_task(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.task_errors.append(task.exception())

    async def finish_tasks(self):
        """Wait until all spawned tasks have ended."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))
        for error in self.task_errors:
            raise error

    async def run(self, seconds):
        await self.start()
        stop = asyncio.Event()
        work = [
            asyncio.create_task(self.call(kind, stop, keep_alive))
            for kind in ("once", "reads", "drafts")
            for keep_alive in (False, True)
        ]
        work.append(asyncio.create_task(self.publish_repeatedly(stop)))
        try:
            loop = asyncio.get_running_loop()
            end_s = loop.time() + seconds
            while loop.time() < end_s:
                await asyncio.sleep(self.rng.uniform(0.2, 0.8))
                await self.cause_fault()
        finally:
            stop.set()
            await asyncio.gather(*work)
        await self.check_invariants()

    async def start(self):
        await self.fleet.start()
        for number in range(1, max(self.server_counts.values()) + 1):
            for service, count in self.server_counts.items():
                if number <= count:
                    await self.add_replica(service, number)
        await self.cluster.start()
        await self.wait_until_serving(START_TIMEOUT_S)

    async def add_replica(self, service, number):
        name = f"i-{service}-{number}-{self.rng.getrandbits(24):x}"
        third = 3 if service == "model" else 4
        ip = f"127.{self.net}.{third}.{number}"
        proxy_ip = f"127.{self.net}.{third + 10}.{number}"
        port = self.replica_port
        link = proxies.Link(proxy_ip, port, ip, port)
        await self.fleet.add(name, service, link)

    async def wait_until_serving(self, timeout_s):
        """Wait until a new version is acknowledged and a call succeeds."""
        async with asyncio.timeout(timeout_s):
            while not await self.publish():
                await asyncio.sleep(0.2)
            while await self.send("reads") != 200:
                await asyncio.sleep(0.2)

    async def cause_fault(self):
        fault = self.rng.choice(FAULTS)
        self.faults.append(fault.__name__)
        await fault(self)

    async def kill_node(self):
        node = self.rng.choice(self.cluster.nodes)
        await node.stop(signal.SIGKILL)
        await node.start()

    async def kill_all_controls(self):
        for node in self.cluster.controls:
            await node.stop(signal.SIGKILL)
        for node in self.cluster.controls:
            await node.start()

    async def stop_gateway(self):
        node = self.rng.choice(self.cluster.gateways)
        await node.stop(signal.SIGTERM)
        await node.start()

    async def pause_node(self):
        node = self.rng.choice(self.cluster.nodes)
        node.pause()
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        node.resume()

    async def signal_reload(self):
        self.rng.choice(self.cluster.nodes).send_signal(signal.SIGHUP)

    async def break_replica(self):
        if self.fleet.replicas:
            replica = self.rng.choice(list(self.fleet.replicas.values()))
            faults = (None, None, "refuse", "hang", "cut", "extra_response")
            replica.fault = self.rng.choice(faults)

    async def replace_replica(self):
        name = self.rng.choice(sorted(self.fleet.replicas))
        replica = self.fleet.replicas[name]
        number = int(replica.link.host.rpartition(".")[2])
        if self.rng.random() < 0.5:
            replica.state = "draining"
            self.fleet.update_list()
            await asyncio.sleep(1.0)
        self.fleet.remove(name)
        await self.add_replica(replica.service, number)

    def links(self):
        return [*self.fleet.links(), *(each.link for each in self.cluster.nodes)]

    async def reset_link(self):
        self.rng.choice(self.links()).reset()

    async def impair_link(self):
        """Delay or block a link for a short time, in which other faults may follow."""
        link = self.rng.choice(self.links())
        link.mode = self.rng.choice(list(proxies.Mode))
        link.delay_s = self.rng.uniform(0.02, 0.4)
        restore_after_s = self.rng.uniform(0.3, 3.0)
        asyncio.get_running_loop().call_later(restore_after_s, self.restore_link, link)

    def restore_link(self, link):
        link.mode = proxies.Mode.PASS

    async def wipe_disk(self):
        """Kill a control node and wipe its disk, unless another may be recovering."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self.next_wipe_s:
            return
        node = self.rng.choice(self.cluster.controls)
        for each in self.cluster.controls:
            each.resume()
        await node.stop(signal.SIGKILL)
        node.wipe_disk()
        await node.start()
        self.next_wipe_s = asyncio.get_running_loop().time() + MIN_WIPE_INTERVAL_S

    async def call(self, kind, stop, keep_alive):
        """Send one request after another and check each response.

        With ``keep_alive``, a connection is reused until it ends.
        """
        caller = Caller(self, keep_alive)
        while not stop.is_set():
            await self.send(kind, caller)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        caller.close()

    def new_request_id(self):
        return uuid.UUID(int=self.rng.getrandbits(128)).hex[:16]

    async def send(self, kind, caller=None, request_id=None, body=None, headers=()):
        request_id = request_id or self.new_request_id()
        body = body or request_id.encode()
        headers = list(headers)
        if kind == "drafts":
            headers.append("X-Token-Usage: 100,160")
        data = standin.request_bytes(
            f"/{kind}/x", headers, body, request_id=request_id
        ).replace(b"X-Deadline-Ms: 1500", b"X-Deadline-Ms: %d" % self.time_limit_ms)
        response = await (caller or Caller(self)).exchange(data)
        self.responses.append((kind, request_id, response and response.status))
        if response is not None:
            self.check_response(kind, request_id, body, response)
        return response and response.status

    def check_response(self, kind, request_id, body, response):
        """Check that a successful response belongs to the request and is complete."""
        if response.status == 200:
            expected = backends.complete_stream() if kind == "drafts" else body * 3
            if response.body != expected:
                raise self.violation(
                    "a response differs from the replica's", request_id
                )
            if response.header("X-Request-Id") != request_id:
                raise self.violation(
                    "a response belongs to another request", request_id
                )

    def served_count(self):
        return sum(status == STATUS_OK for _, _, status in self.responses)

    def summary(self):
        return (
            f"{self.served_count()} of {len(self.responses)} served, "
            f"{len(self.faults)} faults, acked {self.acked}"
        )

    def violation(self, what, request_id):
        return InvariantViolationError(
            f"{what}: request {request_id}, seed {self.seed}, faults {self.faults}"
        )

    async def publish_repeatedly(self, stop):
        """Publish new versions until the run ends."""
        while not stop.is_set():
            await self.publish()
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))

    async def publish(self):
        """Send the next version to a control node; return whether it was accepted."""
        self.published_count += 1
        version = 10 + self.published_count
        response = await self.operator_call("PUT", self.desired_state(version))
        if response is not None and response.status == 200:
            self.acked = max(self.acked, version)
            return True
        return False

    def desired_state(self, version):
        return standin.state(version=version)

    async def operator_call(self, method, body=b"", node=None):
        node = node or self.rng.choice(self.cluster.controls)
        head = f"{method} /v1/config HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(
                    node.link.host, self.ports.control
                )
                try:
                    writer.write(head.encode() + b"\r\n\r\n" + body)
                    return await standin.read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, EOFError, ValueError):
            return None

    async def check_invariants(self):
        """Remove all faults, then check the invariants over the whole run."""
        for replica in self.fleet.replicas.values():
            replica.fault = None
        for link in self.links():
            self.restore_link(link)
        for node in self.cluster.nodes:
            node.resume()
        version = await self.read_back()
        if version < self.acked:
            raise self.violation(f"acked {self.acked}, read back {version}", "")
        await self.wait_until_serving(RECOVERY_TIMEOUT_S)
        runs = self.fleet.record.runs
        for kind, request_id, status in self.responses:
            is_once = not kind.startswith(IDEMPOTENT_KINDS)
            if is_once and runs[request_id] > 1:
                raise self.violation("a request ran more than once", request_id)
            if status in NOT_RUN and is_once and runs[request_id]:
                raise self.violation(f"{status} for a request that ran", request_id)
        if not any(status == 200 for _, _, status in self.responses):
            raise self.violation("nothing was served", "")

    async def read_back(self):
        """Return the newest version as soon as a control node can confirm it."""
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while True:
                response = await self.operator_call("GET")
                if response is not None and response.status == 200:
                    return json.loads(response.body)["version"]
                await asyncio.sleep(0.2)

    async def stop(self):
        await self.cluster.stop()
        self.fleet.stop()
        self.claim.close()


FAULTS = (
    Soak.kill_node,
    Soak.kill_all_controls,
    Soak.stop_gateway,
    Soak.pause_node,
    Soak.signal_reload,
    Soak.break_replica,
    Soak.break_replica,
    Soak.replace_replica,
    Soak.reset_link,
    Soak.impair_link,
    Soak.impair_link,
    Soak.wipe_disk,
)


@contextlib.asynccontextmanager
async def running_soak(seed, folder):
    """Start a soak test that is ready to serve; stop its processes on exit."""
    soak = Soak(seed, folder)
    try:
        await soak.start()
        yield soak
    finally:
        await soak.stop()


async def run_to_end(soak, seconds):
    """Run a soak test, stop its processes and return it."""
    try:
        await soak.run(seconds)
    finally:
        await soak.stop()
    return soak


async def run_seed(seed, seconds, folder):
    """Run one seed, stop its processes and return the finished soak test."""
    return await run_to_end(Soak(seed, folder), seconds)


def run_seeds(name, run):
    """Run the seeds that the command line names, and print their summaries.

    The folder with the logs of a failed seed is kept, and printed.

    Parameters
    ----------
    name : str
        Part of the folder's name.
    run : callable
        Runs a seed for some seconds with its files in a folder.
    """
    first, count, *rest = (int(each) for each in sys.argv[1:])
    seconds = rest[0] if rest else DEFAULT_SECONDS
    for seed in range(first, first + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"{name}-{seed}-"))
        try:
            done = asyncio.run(run(seed, seconds, folder))
        except (InvariantViolationError, TimeoutError) as error:
            what = f"{type(error).__name__}: {error}"
            print(f"seed {seed} FAILED: {what}; logs in {folder}", flush=True)
            continue
        shutil.rmtree(folder)
        print(f"seed {seed}: {done.summary()}", flush=True)


if __name__ == "__main__":
    run_seeds("soak", run_seed)
