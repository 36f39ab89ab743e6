"""Processes of a small deployment and stand-ins of its platform, for the review cases.

Uses the standard library only. All addresses are loopback addresses of a network that
is free when the script starts; all files are in a temporary folder.
"""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
METRICS_PORT = 9109
PORT_COUNT = 21
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
MAX_RUN_S = 116.0


class CannotRunError(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The file ``record.txt`` of a case, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)


def free_ports():
    """Return the first of some consecutive ports on which nothing listens."""
    for _ in range(100):
        first = random.randrange(10_000, 30_000)
        with contextlib.ExitStack() as probes, contextlib.suppress(OSError):
            for port in range(first, first + PORT_COUNT):
                probes.enter_context(socket.socket()).bind(("", port))
            return first
    sys.exit(EXIT_NOT_RUN)


# The same on all machines, as DEPLOY.md says; INNER is the first of sixteen.
FRONT = free_ports()
READY, CONTROL, LIST, REPLICA, INNER = range(FRONT + 1, FRONT + 6)


def free_network():
    """Return the first three octets of a loopback network in which nothing listens."""
    for _ in range(100):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{net}.1", METRICS_PORT))
            except OSError:
                continue
            return net
    raise CannotRunError("no free loopback network")


class Deployment:
    """The processes of one deployment, their settings, and their folder."""

    def __init__(self, record, bounds=None, machines=1, core_size=3):
        self.record = record
        self.net = free_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.list_address = f"{self.net}.250:{LIST}"
        self.machines = machines
        self.bounds = {
            "seed_lag_s": 3,
            "reuse_after_s": 2,
            "contact_ms": 3000,
            "ack_ms": 4000,
            "sync_s": 4,
            "drain_ms": 3000,
            "grace_s": 8,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "rollback_slack_ms": 250,
            "outer_ms": 5000,
            "strict_revoke": False,
            "revoke_ms": 5000,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_extra": 56,
            "recovery_s": 12,
            "pass_ms": 120,
            "reuse_window_s": 4.2,
            **(bounds or {}),
        }
        self.controls = [self.make("control", 10 + i) for i in range(core_size)]
        self.gateways = []

    def make(self, role, host, zone="flx-a"):
        return Process(self, role, f"{self.net}.{host}", zone)

    def add_gateways(self, count, zone="flx-a"):
        self.gateways += [
            self.make("gateway", 100 + len(self.gateways) + i, zone)
            for i in range(count)
        ]

    @property
    def processes(self):
        return [*self.controls, *self.gateways]

    def seeds(self):
        return [f"{each.ip}:{CONTROL}" for each in self.controls[:3]]

    async def start(self):
        """Start all machines within 0.3 s of each other, as at the first start."""
        for each in self.processes:
            await each.start(bootstrap=True)

    async def close(self):
        for each in self.processes:
            await each.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


class Process:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, deployment, role, ip, zone):
        self.deployment = deployment
        self.role = role
        self.ip = ip
        self.zone = zone
        self.folder = deployment.folder / f"{role}-{ip}"
        self.data = self.folder / "data"
        self.child = None
        self.starts = 0
        self.seeds = None

    def settings(self, bootstrap):
        is_core = self.role == "control"
        listen = {"control": f"{self.ip}:{CONTROL}"}
        if not is_core:
            listen = {"front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}"}
        return {
            "node": f"{self.role}-{self.ip}",
            "role": self.role,
            "machine_class": "core" if is_core else "edge",
            "serves": ["control" if is_core else "edge"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "be-flanders",
            "zones": {"flx-a": "be-flanders"},
            "listen": listen,
            "internal_ports": [INNER, INNER + 15],
            "seeds": self.seeds or self.deployment.seeds(),
            "bootstrap": bootstrap,
            "in_tolerance": is_core,
            "limits": {
                "cpu_share": 0.645 if is_core else 0.537,
                "cores": 2,
                "memory_mb": 296 if is_core else 150,
                "max_fds": 4096,
                "link_mbps": 1000.0,
                "disk_mb": 128 if is_core else 0,
            },
            "data_dir": str(self.data) if is_core else None,
            "discovery": "cloud",
            "entry": "vip",
            "contracts": ["base", "drain", "config", "retry", "recover", "engine",
                          "stream", "tenants"],
            "fault_tolerance": {
                "machines": self.deployment.machines, "zones": 1, "regions": 0,
            },
            "bounds": self.deployment.bounds,
            "config_mode": "highest",
            "cloud": {
                "addr": self.deployment.list_address,
                "rate_per_s": 44.0,
                "duties": [],
                "lag_ms": 800,
            },
        }

    async def start(self, bootstrap=False):
        if self.role == "control":
            self.data.mkdir(parents=True, exist_ok=True)
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "boot.yaml"
        # JSON is a subset of YAML.
        path.write_text(json.dumps(self.settings(bootstrap)))
        self.starts += 1
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
               if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["QUETZALPASS_NODE_FILE"] = str(path)
        with open(self.folder / f"log-{self.starts}", "wb") as log:
            self.child = await asyncio.create_subprocess_exec(
                "python3", "platform/run.py", self.role,
                cwd=ROOT, env=env, stdout=log, stderr=log,
            )

    @property
    def is_running(self):
        return self.child is not None and self.child.returncode is None

    def signal(self, number):
        if self.is_running:
            self.child.send_signal(number)

    async def kill(self):
        if self.child is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.signal(signal.SIGKILL)
        await self.child.wait()

    def wipe(self):
        """Delete the data folder of a process that has ended, as a lost disk."""
        assert not self.is_running
        shutil.rmtree(self.data, ignore_errors=True)

    def rss_mb(self):
        """Return the resident memory of the process, in MB of 2**20 bytes."""
        with contextlib.suppress(OSError):
            for line in open(f"/proc/{self.child.pid}/status", encoding="ascii"):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def disk_mb(self):
        """Return the size of the data folder, in MB of 2**20 bytes."""
        files = [f for f in self.data.rglob("*") if f.is_file()]
        return sum(f.stat().st_size for f in files) / 2**20

    def log_text(self):
        parts = sorted(self.folder.glob("log-*"), key=lambda p: int(p.name[4:]))
        return "".join(p.read_text(errors="replace") for p in parts)


class Reply:
    """What a caller has received: ``end`` says how the channel or response ended."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_sent = False
        self.is_complete = False
        self.error = None

    def __repr__(self):
        return (f"status={self.status} complete={self.is_complete} "
                f"bytes={len(self.body)} error={self.error}")


async def call(ip, port, data, timeout_s, connect_s=1.0, on_body=None):
    """Send one request on a new channel and read its response."""
    reply = Reply()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(connect_s):
                reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            await writer.drain()
            reply.is_sent = True
            await read_reply(reader, reply, on_body)
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        reply.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return reply


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_reply(reader, reply, on_body=None):
    first, reply.headers = await read_head(reader)
    reply.status = int(first.split()[1])

    def take(part):
        reply.body += part
        if on_body is not None:
            on_body(part)

    if "chunked" in reply.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                reply.is_complete = True
                return
            take(part[:-2])
    elif "content-length" in reply.headers:
        take(await reader.readexactly(int(reply.headers["content-length"])))
        reply.is_complete = True
    else:
        while part := await reader.read(65536):
            take(part)
        reply.is_complete = True


async def read_request(reader):
    """Return first line, headers and body of a request; bodies have a length."""
    first, headers = await read_head(reader)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def http(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class InstanceList:
    """The platform's list of replicas; what it shows lags by ``lag_s``."""

    def __init__(self, deployment, lag_s=0.8):
        self.address = deployment.list_address
        self.lag_s = lag_s
        self.history = [(0.0, [])]
        self.server = None

    def show(self, entries):
        """Change the list; callers see it after the lag."""
        self.history.append((time.monotonic() + self.lag_s, list(entries)))

    def current(self):
        now = time.monotonic()
        return [entries for since, entries in self.history if since <= now][-1]

    def body(self):
        return json.dumps({"instances": self.current(), "next": None}).encode()

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                await read_request(reader)
                writer.write(http(200, ["Content-Type: application/json"], self.body()))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    def stop(self):
        if self.server is not None:
            self.server.close()


class Operator:
    """Sends desired states and reads them back, as PROTOCOL.md says."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.acked = 0
        self.counts = collections.Counter()

    def nodes(self):
        return [each for each in self.deployment.controls]

    async def put(self, version, body, timeout_s=20.0, quiet=False, patience_s=1.0):
        """Send an order until it gets a clear response; return its status or None."""
        data = (f"PUT /v1/config HTTP/1.1\r\nHost: control\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}"
                f"\r\n\r\n").encode() + body
        reply = await self.repeat(data, timeout_s, patience_s)
        status = reply.status if reply else None
        if not quiet:
            self.record.write(f"operator PUT version {version}: {status}")
        if status == 200:
            self.acked = max(self.acked, version)
        return status

    async def get(self, timeout_s=20.0, quiet=False):
        """Read the desired state; return its version, or None if there is none."""
        data = b"GET /v1/config HTTP/1.1\r\nHost: control\r\n\r\n"
        reply = await self.repeat(data, timeout_s, 1.0)
        version = json.loads(reply.body)["version"] if reply else None
        if not quiet:
            self.record.write(f"operator GET: version {version}")
        return version

    async def repeat(self, data, timeout_s, patience_s):
        """Send to one node after the other, with increasing backoff."""
        end = time.monotonic() + timeout_s
        pause = 0.1
        while time.monotonic() < end:
            node = random.choice(self.nodes())
            reply = await call(node.ip, CONTROL, data, patience_s)
            self.counts[reply.status or reply.error] += 1
            if reply.is_complete and reply.status in (200, 400, 409, 412, 413, 422):
                return reply
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return None


async def leader_of(deployment):
    """Return the control process that says it leads, or None.

    Only chooses which machine a disruption hits; no verdict rests on it.
    """
    for each in deployment.controls:
        if not each.is_running:
            continue
        data = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n"
        reply = await call(each.ip, METRICS_PORT, data, 1.0)
        for line in reply.body.decode(errors="replace").splitlines():
            is_gauge = "leader" in line and not line.startswith("#")
            if is_gauge and float(line.split()[-1]) == 1.0:
                return each
    return None


def trouble():
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(main, record_path):
    """Run a case; ``main`` gets the record and returns whether the rule held."""
    record = Record(record_path)
    if not (ROOT / "target" / "deps").is_dir():
        record.say("could not run: target/deps is missing, run the deploy file's build")
        sys.exit(EXIT_NOT_RUN)

    async def bounded():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.add_signal_handler(signal.SIGINT, task.cancel)
        async with asyncio.timeout(MAX_RUN_S):
            return await main(record)

    try:
        held = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        # Whatever stops the script itself says nothing about the rule.
        record.say(f"could not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    record.say("the rule held" if held else "the rule was BROKEN")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
