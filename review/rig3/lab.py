"""A small deployment on loopback addresses: control nodes, gateways, the platform."""

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

from rig3 import http1

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-1"
PORTS = {"front": 18740, "ready": 18749, "control": 18748, "inner": 17200}
LIST_PORT = 18742
REPLICA_PORT = 8048
METRICS_PORT = 9109
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = pathlib.Path(path).open("w")
        self.started_s = time.monotonic()

    def write(self, text):
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_s:8.3f} {text}\n")
        self.file.flush()


class Node:
    """One process of the system, run with the command of the deploy file."""

    def __init__(self, lab, role, ip, zone):
        self.lab = lab
        self.role = role
        self.ip = ip
        self.zone = zone
        self.folder = lab.folder / f"{role}-{ip}"
        (self.folder / "data").mkdir(parents=True)
        self.process = None
        self.starts = 0
        self.is_bound = False

    def settings(self, is_first):
        """Return the settings file's content."""
        lab = self.lab
        if self.role == "control":
            listen = {"control": f"{self.ip}:{PORTS['control']}"}
        else:
            listen = {
                "front": f"{self.ip}:{PORTS['front']}",
                "ready": f"{self.ip}:{PORTS['ready']}",
            }
        is_core = self.role == "control"
        return {
            "node": f"{self.role}-{self.ip}",
            "role": self.role,
            "ip": self.ip,
            "zone": self.zone,
            "region": "be-flanders",
            "listen": listen,
            "internal_ports": [PORTS["inner"], PORTS["inner"] + 15],
            "seeds": [f"{each.ip}:{PORTS['control']}" for each in lab.controls],
            "bootstrap": is_first,
            "in_tolerance": is_core,
            "limits": {
                "cores": 2,
                "memory_mb": 296 if is_core else 150,
                "max_fds": 4096,
            },
            "data_dir": str(self.folder / "data") if is_core else None,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": lab.bounds,
            "cloud": {"addr": lab.list_address, "rate_per_s": 44.0, "lag_ms": 800},
        }

    async def start(self, is_first=False):
        """Start the process."""
        path = self.folder / "boot.yaml"
        # JSON is YAML too.
        path.write_text(json.dumps(self.settings(is_first)))
        self.starts += 1
        log = (self.folder / f"log-{self.starts}").open("wb")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["QUETZALPASS_NODE_FILE"] = str(path)
        program = ["platform/run.py", self.role]
        if self.is_bound:
            # Its connections come from its own address, so that a proxy can cut it off.
            program = ["tests/soak/run_bound.py", self.ip, self.role, str(ROOT)]
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            *program,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number):
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def front(self):
        """Return the address for consumers."""
        return f"{self.ip}:{PORTS['front']}"

    @property
    def operator(self):
        """Return the address for the operator."""
        return f"{self.ip}:{PORTS['control']}"


class Lab:
    """The deployment of one case, and what it records.

    Attributes
    ----------
    entries : list of dict
        The platform's list of replicas.
    """

    def __init__(self, record, gateways=2, controls=3, zones=("flx-a", "flx-b", "flx-c")):
        self.record = Record(record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rig3-"))
        self.net = self.choose_network()
        self.zones = zones
        self.bounds = {
            "contact_ms": 3000,
            "drain_ms": 3000,
            "grace_s": 8,
            "config_apply_ms": 2000,
            "budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_extra": 56,
        }
        self.entries = []
        self.list_address = f"{self.net}.9.1:{LIST_PORT}"
        self.controls = [
            Node(self, "control", f"{self.net}.1.{n + 1}", zones[n % len(zones)])
            for n in range(controls)
        ]
        self.gateways = [
            Node(self, "gateway", f"{self.net}.2.{n + 1}", zones[n % len(zones)])
            for n in range(gateways)
        ]
        self.helpers = []
        self.list_server = None

    def choose_network(self):
        """Return the first two numbers of loopback addresses that are free."""
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}"
            self.claims = []
            try:
                for port in (*PORTS.values(), LIST_PORT, REPLICA_PORT, METRICS_PORT):
                    self.claims.append(socket.socket())
                    self.claims[-1].bind((f"{net}.9.9", port))
                return net
            except OSError:
                self.end_claims()
        raise CannotRunError("no loopback network has all ports free")

    def end_claims(self):
        """Give the network back."""
        for each in self.claims:
            each.close()

    def server_address(self, number):
        """Return an address for a replica."""
        return f"{self.net}.5.{number}:{REPLICA_PORT}"

    # The platform's list.

    async def serve_list(self, reader, writer):
        """Serve the list of replicas."""
        try:
            while True:
                await http1.read_message(reader)
                body = json.dumps({"instances": self.entries, "next": None}).encode()
                headers = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", len(body)),
                ]
                writer.write(http1.encode("HTTP/1.1 200 OK", headers, body))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    def show(self, entries):
        """Let the platform's list show other entries from now on."""
        self.entries = entries
        names = ", ".join(f"{each['id']} {each['state']}" for each in entries)
        self.record.write(f"the list shows {names}")

    def record_runs(self, path):
        """Record what the replicas have run."""
        for line in pathlib.Path(path).read_text().splitlines():
            self.record.write(f"run: {line}")

    async def set_engine(self, address, **values):
        """Set what an engine does from now on."""
        body = json.dumps(values).encode()
        headers = [("Host", address), ("Content-Length", len(body))]
        data = http1.encode("POST /standin/set HTTP/1.1", headers, body)
        if not isinstance(await http1.call(address, data, 2.0), http1.Message):
            raise CannotRunError(f"the engine at {address} does not respond")
        self.record.write(f"engine at {address}: {values}")

    # Start and end.

    async def start(self, state):
        """Start everything, and publish the first desired state."""
        host, _, port = self.list_address.rpartition(":")
        self.list_server = await asyncio.start_server(self.serve_list, host, int(port))
        for node in self.controls:
            await node.start(is_first=True)
        for node in self.gateways:
            await node.start(is_first=True)
        deadline_s = time.monotonic() + 20.0
        while True:
            status, _ = await self.put(self.controls[0], state)
            if status == 200:
                break
            if time.monotonic() > deadline_s:
                raise CannotRunError(f"the first desired state got {status}")
            await asyncio.sleep(0.3)
        for node in self.gateways:
            await self.wait_until_ready(node, deadline_s)

    async def wait_until_ready(self, node, deadline_s):
        """Wait until a gateway says that it is ready."""
        request = http1.encode("GET /v1/ready HTTP/1.1", [("Host", "x")])
        while True:
            answer = await http1.call(f"{node.ip}:{PORTS['ready']}", request, 1.0)
            if isinstance(answer, http1.Message) and answer.status == 200:
                return
            if time.monotonic() > deadline_s:
                raise CannotRunError(f"{node.role} {node.ip} is not ready")
            await asyncio.sleep(0.1)

    async def start_helper(self, name, *arguments):
        """Start a stand-in as a process of its own."""
        path = pathlib.Path(__file__).with_name(name)
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(path), *arguments, stdout=asyncio.subprocess.PIPE
        )
        self.helpers.append(process)
        line = await asyncio.wait_for(process.stdout.readline(), 10.0)
        if not line.startswith(b"ready"):
            raise CannotRunError(f"{name} did not start")
        return process

    async def stop(self):
        """End all processes that were started here."""
        processes = [node.process for node in [*self.controls, *self.gateways]]
        for process in [*processes, *self.helpers]:
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in [*processes, *self.helpers]:
            if process is not None:
                await process.wait()
        if self.list_server is not None:
            self.list_server.close()
        self.end_claims()
        if os.environ.get("RIG_KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    async def put(self, node, state, timeout_s=3.0):
        """Send a desired state to one control node; return the status and the text."""
        body = json.dumps(state).encode()
        headers = [
            ("Host", node.operator),
            ("Content-Type", "application/json"),
            ("Content-Length", len(body)),
            ("Connection", "close"),
        ]
        data = http1.encode("PUT /v1/config HTTP/1.1", headers, body)
        answer = await http1.call(node.operator, data, timeout_s)
        status, text = None, repr(answer)
        if isinstance(answer, http1.Message):
            status, text = answer.status, answer.body.decode(errors="replace").strip()
        self.record.write(
            f"operator PUT version {state['version']} to {node.operator}: {status} {text}"
        )
        return status, text

    async def get(self, node, timeout_s=3.0):
        """Read the desired state back from one control node."""
        data = http1.encode(
            "GET /v1/config HTTP/1.1", [("Host", node.operator), ("Connection", "close")]
        )
        answer = await http1.call(node.operator, data, timeout_s)
        if not isinstance(answer, http1.Message):
            return None, None
        if answer.status != 200:
            return answer.status, None
        return 200, json.loads(answer.body)


def request_bytes(target, request_id, method="POST", body=b"", more=(), deadline_ms=5000):
    """Return the bytes of a consumer's request."""
    headers = [
        ("Host", HOST),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", deadline_ms),
        ("Authorization", f"Bearer {KEY}"),
        *more,
    ]
    if body or method == "POST":
        headers.append(("Content-Length", len(body)))
    return http1.encode(f"{method} {target} HTTP/1.1", headers, body)


def entry(name, service, address, zone="flx-a", slots=6, born=None, **more):
    """Return an entry of the platform's list."""
    return {
        "id": name,
        "service": service,
        "addr": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold_ms": 0,
        "born": born if born is not None else int(time.time() * 1000),
        **more,
    }


def route(name, prefix, service, kind="idempotent", timeout_ms=5000, attempts=1, **more):
    """Return a route of a desired state."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "goal_ms": 500,
        "priority": 2,
        "service": service,
        "attempts": attempts,
        "public": False,
        **more,
    }


def desired_state(version, routes, services, **more):
    """Return a desired state."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "huka", "keys": [KEY, "key-2"], "priority": 1}],
        **more,
    }


def engine_service(name):
    """Return a service of model engines, as on the users' pages."""
    engine = {
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
    }
    return {**plain_service(name), "engine": engine}


def engine_entry(name, service, address, **more):
    """Return an entry of an engine."""
    models = [{"name": "m", "version": 1, "adapters": []}]
    options = {"slots": 24, "stage": "unified", "models": models, **more}
    return entry(name, service, address, **options)


def streaming_route(name, prefix, service):
    """Return the route of long generations."""
    return route(
        name,
        prefix,
        service,
        "streaming",
        timeout_ms=39_000,
        goal_ms=1800,
        priority=0,
        sticky=True,
        resumable=False,
        gap_target_ms=180,
    )


def generation_bytes(target, request_id, prompt_tokens, output_tokens):
    """Return the bytes of a consumer's request for a generation."""
    more = [
        ("X-Model", "m"),
        ("X-Token-Usage", f"{prompt_tokens},{output_tokens}"),
        ("X-Prompt-Prefix", f"5c1e07a2:79,{request_id.encode().hex()}:{prompt_tokens - 79}"),
    ]
    return request_bytes(target, request_id, more=more, deadline_ms=39_000)


def plain_service(name):
    """Return a service without engines."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 110,
        "protocol": "h1",
        "tls": False,
    }


def run(case):
    """Run a case, a coroutine function that returns whether the rule was broken.

    It gets the path of its record, which is the first argument.
    """
    record = pathlib.Path(sys.argv[0]).resolve().parent / sys.argv[1]
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(record), 115.0))
    except (CannotRunError, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
