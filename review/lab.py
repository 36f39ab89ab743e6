"""Helpers of the cases 6 to 10: nodes as processes, a platform list, an operator.

Only the standard library is used. Every address is a loopback address, and every
process that is started here is ended by ``Lab.close``.
"""

import asyncio
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

CHECKOUT = pathlib.Path(__file__).resolve().parents[1]
FIRST_NETWORK, LAST_NETWORK = 40, 95
CLAIM_PORT = 9107
METRICS_PORT = 9109
STOP_TIMEOUT_S = 10.0
# Longer than a node takes for its final answer to a read.
READ_TIMEOUT_S = 7.0
# Exit codes of a case; ``verdict.sh`` turns them into those of ``run.sh``, so that an
# error of Python is not taken for a broken rule.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 3

ROUTES = [
    {
        "name": "r-once",
        "host": "desk.example",
        "prefix": "/once/",
        "kind": "non_idempotent",
        "timeout_ms": 1500,
        "goal_ms": 200,
        "priority": 2,
        "service": "ledger",
        "attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    },
    {
        "name": "r-reads",
        "host": "desk.example",
        "prefix": "/reads/",
        "kind": "idempotent",
        "timeout_ms": 1500,
        "goal_ms": 200,
        "priority": 2,
        "service": "ledger",
        "attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    },
    {
        "name": "r-drafts",
        "host": "desk.example",
        "prefix": "/drafts/",
        "kind": "streaming",
        "timeout_ms": 39000,
        "goal_ms": 1800,
        "priority": 0,
        "service": "model",
        "attempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gap_target_ms": 180,
    },
]
SERVICES = [
    {
        "name": "ledger",
        "health_path": "/health",
        "max_conns": 110,
        "protocol": "h1",
        "tls": False,
    },
    {
        "name": "model",
        "health_path": "/health",
        "max_conns": 282,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 24,
            "kv_capacity_tokens": 34304,
            "kv_token_bytes": 35136,
            "link_mbps": 5100.0,
            "migrations": True,
            "backups": True,
            "stride": 4,
            "most": 12,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "handle_s": 5.0,
            "models": [{"name": "m"}],
        },
    },
]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def desired_state(version, **changes):
    """Return the bytes of a desired state like those of the pages."""
    state = {
        "version": version,
        "routes": ROUTES,
        "services": SERVICES,
        "limits": LIMITS,
        "tenants": [{"name": "huka", "keys": ["key-1"], "priority": 1}],
    }
    return json.dumps({**state, **changes}).encode()


class CouldNotRun(Exception):
    """The case could not be played."""


class Message:
    """An HTTP message that was read from a stream."""

    def __init__(self, first_line, headers, body, is_whole):
        self.first_line = first_line
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    @property
    def status(self):
        return int(self.first_line.split()[1])

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader):
    """Read the head of an HTTP message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    pairs = [line.partition(":")[::2] for line in lines[1:] if line]
    headers = [(name.strip(), value.strip()) for name, value in pairs]
    return Message(lines[0], headers, b"", False)


async def read_body(reader, message, on_data=None):
    """Read the body of a message; ``is_whole`` tells whether its framing ended."""

    def add(data):
        message.body += data
        if on_data is not None:
            on_data(data)

    try:
        if (message.header("Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                add(await reader.readexactly(size))
                await reader.readexactly(2)
                if size == 0:
                    break
        elif message.header("Content-Length") is not None:
            add(await reader.readexactly(int(message.header("Content-Length"))))
        elif message.first_line.startswith("HTTP/"):
            while data := await reader.read(65536):
                add(data)
        message.is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        if isinstance(error, asyncio.IncompleteReadError) and error.partial:
            add(error.partial)
    return message


async def call(address, method, path, headers=(), body=b"", timeout_s=1.0, on_data=None):
    """Send one request on a new connection; return the response, or None."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", *headers]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_head(reader)
            return await read_body(reader, message, on_data)
    except (OSError, EOFError, ValueError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = path.open("w")
        self.begun_s = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begun_s:9.3f} s  {text}\n")
        self.file.flush()


class PlatformList:
    """The platform's list of replicas; it shows each change after a lag."""

    def __init__(self, address, lag_s=0.8):
        self.address = address
        self.lag_s = lag_s
        self.history = [(0.0, [])]
        self.server = None

    def set_entries(self, entries):
        self.history.append((time.monotonic(), [dict(each) for each in entries]))

    def shown(self):
        at_s = time.monotonic() - self.lag_s
        return [entries for since_s, entries in self.history if since_s <= at_s][-1]

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                await read_head(reader)
                body = json.dumps({"instances": self.shown(), "next": None}).encode()
                head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()


class Process:
    """A process that the case has started, with its output in a file."""

    def __init__(self, lab, name):
        self.lab = lab
        self.name = name
        self.process = None
        self.starts = 0

    async def run(self, command, environment):
        self.starts += 1
        log = (self.lab.folder / f"{self.name}-{self.starts}.log").open("wb")
        base = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=CHECKOUT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**base, **environment},
        )
        log.close()

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def stop(self, number=signal.SIGKILL, timeout_s=STOP_TIMEOUT_S):
        if not self.is_running:
            return
        self.send(number)
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()


class Node(Process):
    """A gateway or control node, started with the command of the deploy file."""

    def __init__(self, lab, role, number, zone):
        super().__init__(lab, f"{role}-{number}")
        self.role = role
        self.zone = zone
        self.ip = f"127.{lab.net}.{1 if role == 'control' else 2}.{number}"
        self.data = lab.folder / f"data-{self.name}"
        self.control_address = f"{self.ip}:{lab.ports['control']}"
        self.front_address = f"{self.ip}:{lab.ports['front']}"
        self.ready_address = f"{self.ip}:{lab.ports['ready']}"

    def settings(self, bootstrap):
        lab = self.lab
        is_control = self.role == "control"
        listen = {"front": self.front_address, "ready": self.ready_address}
        if is_control:
            listen = {"control": self.control_address}
        return {
            "node": self.name,
            "role": self.role,
            "machine_class": "core" if is_control else "edge",
            "serves": ["control" if is_control else "edge"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "be-flanders",
            "zones": dict.fromkeys(("flx-a", "flx-b", "flx-c"), "be-flanders"),
            "listen": listen,
            "internal_ports": [lab.ports["inner"], lab.ports["inner"] + 1],
            "seeds": list(lab.seeds),
            "bootstrap": bootstrap,
            "in_tolerance": is_control,
            "limits": {
                "cpu_share": 0.645 if is_control else 0.537,
                "cores": 2,
                "memory_mb": 296 if is_control else 150,
                "max_fds": 4096,
                "link_mbps": 1000.0,
                "disk_mb": 128 if is_control else 0,
            },
            "data_dir": str(self.data) if is_control else None,
            "discovery": "cloud",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"]
            + ["engine", "stream", "tenants"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
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
            },
            "config_mode": "highest",
            "cloud": {
                "addr": lab.list.address,
                "rate_per_s": 44.0,
                "duties": [],
                "lag_ms": 800,
            },
        }

    async def start(self, bootstrap=False):
        if self.role == "control":
            self.data.mkdir(exist_ok=True)
        path = self.lab.folder / f"{self.name}.yaml"
        # JSON is YAML.
        path.write_text(json.dumps(self.settings(bootstrap)))
        environment = {
            "QUETZALPASS_NODE_FILE": str(path),
            "PYTHONPATH": str(CHECKOUT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = [self.lab.python, "platform/run.py", self.role]
        await self.run(command, environment)
        self.lab.record.write(f"started {self.name} at {self.ip}")

    def wipe(self):
        """Empty the data folder; the process must have ended."""
        assert not self.is_running
        shutil.rmtree(self.data)
        self.data.mkdir()
        self.lab.record.write(f"{self.name} has lost its disk")


class Lab:
    """Addresses, ports, a temporary folder and all processes of one case."""

    def __init__(self, record_path, controls=3, gateways=0, list_lag_s=0.8):
        if not (CHECKOUT / "target" / "deps" / "aiohttp").is_dir():
            raise CouldNotRun("the build line of deploy/system.toml has not been run")
        self.python = shutil.which("python3") or sys.executable
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="quetzalpass-review-"))
        self.net, self.claim = claim_network()
        names = ("front", "ready", "control", "inner", "list", "replica")
        base = free_ports(2 * len(names), f"127.{self.net}.98.1")
        self.ports = {name: base + 2 * index for index, name in enumerate(names)}
        self.list = PlatformList(f"127.{self.net}.9.1:{self.ports['list']}", list_lag_s)
        zones = ("flx-a", "flx-b", "flx-c")
        self.controls = [
            Node(self, "control", number, zones[(number - 1) % 3])
            for number in range(1, controls + 1)
        ]
        self.seeds = tuple(each.control_address for each in self.controls[:3])
        self.gateways = [
            Node(self, "gateway", number, zones[(number - 1) % 3])
            for number in range(1, gateways + 1)
        ]
        self.processes = [*self.controls, *self.gateways]
        self.server_tasks = []

    async def start(self):
        """Start the first machines of the system, all at about the same time."""
        await self.list.start()
        for node in [*self.controls, *self.gateways]:
            await node.start(bootstrap=True)

    async def put(self, body, nodes=None, within_s=20.0, label=""):
        """Send a desired state as the operator does, until it is acknowledged.

        Returns
        -------
        bool
            Whether it was acknowledged within the time.
        """
        nodes = list(nodes or self.controls)
        deadline_s = time.monotonic() + within_s
        attempt = 0
        while time.monotonic() < deadline_s:
            node = nodes[attempt % len(nodes)]
            attempt += 1
            response = await call(
                node.control_address,
                "PUT",
                "/v1/config",
                ["Content-Type: application/json"],
                body,
            )
            status = None if response is None else response.status
            self.record.write(f"PUT {label} at {node.name}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(min(0.1 * attempt, 1.0))
        return False

    async def get(self, node):
        """Read the desired state at a node; return its version, or None."""
        response = await call(
            node.control_address, "GET", "/v1/config", timeout_s=READ_TIMEOUT_S
        )
        status = None if response is None else response.status
        version = None
        if status == 200 and response.is_whole:
            version = json.loads(response.body)["version"]
        self.record.write(f"GET at {node.name}: {status}, version {version}")
        return version

    async def close(self):
        """End all processes that were started here."""
        for each in self.processes:
            each.send(signal.SIGCONT)
            await each.stop(signal.SIGKILL)
        if self.list.server is not None:
            self.list.server.close()
        self.claim.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def claim_network():
    """Return the number of an unused loopback network, and what claims it."""
    numbers = list(range(FIRST_NETWORK, LAST_NETWORK))
    random.shuffle(numbers)
    for number in numbers:
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.99.1", CLAIM_PORT))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        return number, claim
    raise CouldNotRun("all loopback networks are in use")


def free_ports(count, host):
    """Return the first of some consecutive ports that nobody listens on."""
    for base in random.sample(range(12_000, 30_000, 20), 100):
        try:
            # The nodes' metrics have a port of their own, which the deploy file names.
            for port in (METRICS_PORT, *range(base, base + count)):
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return base
    raise CouldNotRun("no free ports")


def run_case(play, record_path, **options):
    """Play a case, write its record, and exit with its result."""
    is_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play_to_end():
        lab = Lab(record_path, **options)
        try:
            async with asyncio.timeout(115):
                return await play(lab, is_trouble)
        except (CouldNotRun, TimeoutError, OSError) as error:
            lab.record.write(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await lab.close()

    try:
        code = asyncio.run(play_to_end())
    except Exception as error:
        print(f"could not run: {error}", file=sys.stderr)
        code = COULD_NOT_RUN
    text = {HELD: "the rule held", BROKEN: "the rule was broken"}
    print(text.get(code, "the case could not run"))
    sys.exit(code)
