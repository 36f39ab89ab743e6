"""A randomized soak: real programs, real signals, and promises checked from outside.

Run by hand with ``make soak SEED=1 COUNT=50 SECONDS=15``. Each process that it ends is
one that it has started. Seeds that ever failed stand in ``test_soak.py``.
"""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
import uuid

from platform_standin import standin
from quetzalpass.bench import local_ports
from soak import backends, processes, proxies

STATUS_OK = 200
NOT_RUN = (408, 421, 429, 503)
START_S = 15.0
HEAL_S = 20.0
ANSWER_S = 8.0
# A node whose disk was lost is whole again by then.
DISK_LOSS_PAUSE_S = 6.0
FIRST_NETWORK = 100
NETWORKS = 100
CLAIM_PORT = 9108


def claim_network(seed):
    """Return the number of a loopback network that no other soak uses, and its claim.

    The programs listen on fixed ports too, so that two soaks can't share addresses; the
    socket that is bound claims the network until it is closed.
    """
    for offset in range(NETWORKS):
        net = FIRST_NETWORK + (seed + offset) % NETWORKS
        claim = local_ports.claim(f"127.{net}.99.1", CLAIM_PORT)
        if claim is not None:
            return net, claim
    raise OSError("all loopback networks are taken by other soaks")


class BrokenPromiseError(AssertionError):
    """A promise was broken; the message says which and for which request."""


class Caller:
    """A consumer with a connection of its own, or one for each request."""

    def __init__(self, soak, is_kept=False):
        self.soak = soak
        self.is_kept = is_kept
        self.reader = None
        self.writer = None

    async def ask(self, data):
        """Return the answer, or None where the connection ended without one."""
        try:
            async with asyncio.timeout(ANSWER_S):
                if self.writer is None:
                    await self.connect()
                self.writer.write(data)
                answer = await standin.read_message(self.reader)
        except (OSError, TimeoutError, EOFError, ValueError):
            self.close()
            return None
        if not self.is_kept or answer.header("Connection") == "close":
            self.close()
        return answer

    async def connect(self):
        node = self.soak.rng.choice(self.soak.cluster.gateways)
        self.reader, self.writer = await asyncio.open_connection(
            node.link.host, self.soak.ports.front
        )

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


class Soak:
    """One seeded run.

    Attributes
    ----------
    answers : list
        Kind, id and status of each request that was answered; ``None`` for no answer.
    acked : int
        Highest version that the operator has an ack for.
    """

    def __init__(self, seed, folder):
        self.rng = random.Random(seed)
        self.seed = seed
        ports = local_ports.free_ports(6)
        net, self.claim = claim_network(seed)
        self.ports = processes.Ports(*ports[:4])
        outside, inside = f"127.{net}.19.1", f"127.{net}.9.1"
        self.fleet = backends.Fleet(proxies.Link(outside, ports[4], inside, ports[4]))
        self.replica_port = ports[5]
        self.net = net
        address = f"{outside}:{ports[4]}"
        self.cluster = processes.Cluster(folder, net, self.ports, address)
        self.answers = []
        self.acked = 0
        self.faults = []
        self.next_disk_loss_s = 0.0
        self.count = 0

    async def run(self, seconds):
        await self.start()
        stop = asyncio.Event()
        work = [
            asyncio.create_task(self.call(kind, stop, is_kept))
            for kind in ("once", "reads", "drafts")
            for is_kept in (False, True)
        ]
        work.append(asyncio.create_task(self.operate(stop)))
        try:
            loop = asyncio.get_running_loop()
            end_s = loop.time() + seconds
            while loop.time() < end_s:
                await asyncio.sleep(self.rng.uniform(0.2, 0.8))
                await self.cause_fault()
        finally:
            stop.set()
            await asyncio.gather(*work)
        await self.check_at_the_end()

    async def start(self):
        await self.fleet.start()
        for number in (1, 2, 3):
            for service in ("model", "ledger"):
                await self.add_replica(service, number)
        await self.cluster.start()
        await self.until_served(START_S)

    async def add_replica(self, service, number):
        name = f"i-{service}-{number}-{self.rng.getrandbits(24):x}"
        third = 3 if service == "model" else 4
        inside = f"127.{self.net}.{third}.{number}"
        outside = f"127.{self.net}.{third + 10}.{number}"
        port = self.replica_port
        link = proxies.Link(outside, port, inside, port)
        await self.fleet.add(name, service, link)

    async def until_served(self, timeout_s):
        """Wait until the operator gets an ack and a call is answered."""
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
        await node.end(signal.SIGKILL)
        await node.start()

    async def kill_all_controls(self):
        for node in self.cluster.controls:
            await node.end(signal.SIGKILL)
        for node in self.cluster.controls:
            await node.start()

    async def stop_gateway(self):
        node = self.rng.choice(self.cluster.gateways)
        await node.end(signal.SIGTERM)
        await node.start()

    async def pause_node(self):
        node = self.rng.choice(self.cluster.nodes)
        node.pause()
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        node.resume()

    async def signal_reload(self):
        self.rng.choice(self.cluster.nodes).send(signal.SIGHUP)

    async def spoil_replica(self):
        if self.fleet.replicas:
            replica = self.rng.choice(list(self.fleet.replicas.values()))
            faults = (None, None, "refuse", "mute", "cut", "garble")
            replica.fault = self.rng.choice(faults)

    async def replace_replica(self):
        name = self.rng.choice(sorted(self.fleet.replicas))
        replica = self.fleet.replicas[name]
        number = int(replica.link.host.rpartition(".")[2])
        if self.rng.random() < 0.5:
            replica.state = "draining"
            self.fleet.relist()
            await asyncio.sleep(1.0)
        self.fleet.remove(name)
        await self.add_replica(replica.service, number)

    def links(self):
        return [*self.fleet.links(), *(each.link for each in self.cluster.nodes)]

    async def reset_link(self):
        self.rng.choice(self.links()).reset()

    async def harm_link(self):
        """Delay, cut one way or silence a link for a moment, beside other faults."""
        link = self.rng.choice(self.links())
        link.mode = self.rng.choice(list(proxies.Mode))
        link.delay_s = self.rng.uniform(0.02, 0.4)
        heal_s = self.rng.uniform(0.3, 3.0)
        asyncio.get_running_loop().call_later(heal_s, self.heal_link, link)

    def heal_link(self, link):
        link.mode = proxies.Mode.PASS

    async def lose_disk(self):
        """Kill a control node and empty its disk, while the others are whole."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self.next_disk_loss_s:
            return
        node = self.rng.choice(self.cluster.controls)
        for each in self.cluster.controls:
            each.resume()
        await node.end(signal.SIGKILL)
        node.lose_disk()
        await node.start()
        self.next_disk_loss_s = asyncio.get_running_loop().time() + DISK_LOSS_PAUSE_S

    async def call(self, kind, stop, is_kept):
        """Send one request after another and check each answer.

        A caller that keeps its connection uses it until it ends.
        """
        caller = Caller(self, is_kept)
        while not stop.is_set():
            await self.send(kind, caller)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        caller.close()

    async def send(self, kind, caller=None):
        request_id = uuid.UUID(int=self.rng.getrandbits(128)).hex[:16]
        body = request_id.encode()
        headers = ["X-Token-Usage: 100,160"] if kind == "drafts" else []
        data = standin.request_bytes(
            f"/{kind}/x", headers, body, request_id=request_id
        ).replace(b"X-Deadline-Ms: 1500", b"X-Deadline-Ms: 3000")
        answer = await (caller or Caller(self)).ask(data)
        self.answers.append((kind, request_id, answer and answer.status))
        if answer is not None:
            self.check_answer(kind, request_id, body, answer)
        return answer and answer.status

    def check_answer(self, kind, request_id, body, answer):
        """Check a whole answer against what was asked."""
        if answer.status == 200:
            wanted = backends.whole_stream() if kind == "drafts" else body * 3
            if answer.body != wanted:
                raise self.broken("an answer is not the replica's", request_id)
            if answer.header("X-Request-Id") != request_id:
                raise self.broken("an answer belongs to another request", request_id)

    def broken(self, what, request_id):
        return BrokenPromiseError(
            f"{what}: request {request_id}, seed {self.seed}, faults {self.faults}"
        )

    async def operate(self, stop):
        """Publish one version after another."""
        while not stop.is_set():
            await self.publish()
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))

    async def publish(self):
        """Send the next version to some control node; return whether it is acked."""
        self.count += 1
        version = 10 + self.count
        answer = await self.operator_call("PUT", standin.state(version=version))
        if answer is not None and answer.status == 200:
            self.acked = max(self.acked, version)
            return True
        return False

    async def operator_call(self, method, body=b""):
        node = self.rng.choice(self.cluster.controls)
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

    async def check_at_the_end(self):
        """Heal, then check what holds over the whole run."""
        for replica in self.fleet.replicas.values():
            replica.fault = None
        for link in self.links():
            self.heal_link(link)
        for node in self.cluster.nodes:
            node.resume()
        version = await self.read_back()
        if version < self.acked:
            raise self.broken(f"acked {self.acked}, read back {version}", "")
        await self.until_served(HEAL_S)
        runs = self.fleet.record.runs
        for kind, request_id, status in self.answers:
            if kind != "reads" and runs[request_id] > 1:
                raise self.broken("a request ran more than once", request_id)
            if status in NOT_RUN and kind != "reads" and runs[request_id]:
                raise self.broken(f"{status} for a request that ran", request_id)
        if not any(status == 200 for _, _, status in self.answers):
            raise self.broken("nothing was served", "")

    async def read_back(self):
        """Return the newest version, as soon as some node is sure of it."""
        async with asyncio.timeout(HEAL_S):
            while True:
                answer = await self.operator_call("GET")
                if answer is not None and answer.status == 200:
                    return json.loads(answer.body)["version"]
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
    Soak.spoil_replica,
    Soak.spoil_replica,
    Soak.replace_replica,
    Soak.reset_link,
    Soak.harm_link,
    Soak.harm_link,
    Soak.lose_disk,
)


@contextlib.asynccontextmanager
async def started(seed, folder):
    """Give a soak whose programs serve; they have ended afterwards."""
    soak = Soak(seed, folder)
    try:
        await soak.start()
        yield soak
    finally:
        await soak.stop()


async def run_seed(seed, seconds, folder):
    """Run one seed and return the soak; its processes have ended."""
    soak = Soak(seed, folder)
    try:
        await soak.run(seconds)
    finally:
        await soak.stop()
    return soak


def main():
    """Run seeds one after another; keep the folder of one that fails."""
    first, count, *rest = (int(each) for each in sys.argv[1:])
    seconds = rest[0] if rest else 15
    for seed in range(first, first + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            soak = asyncio.run(run_seed(seed, seconds, folder))
        except (BrokenPromiseError, TimeoutError) as error:
            print(f"seed {seed} FAILED: {error!r}; logs in {folder}", flush=True)
            continue
        served = sum(status == 200 for _, _, status in soak.answers)
        print(
            f"seed {seed}: {served} of {len(soak.answers)} served, "
            f"{len(soak.faults)} faults, acked {soak.acked}",
            flush=True,
        )


if __name__ == "__main__":
    main()
