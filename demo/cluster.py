"""Starts and stops the processes of the demonstration.

Only this harness starts processes; the programs of the product start none.
"""

import hashlib
import os
import pathlib
import signal
import subprocess
import sys

import yaml

from quetzalpass.bench import local_ports

OPERATOR_KEY = "demo-operator-key"
CLUSTER_KEY = "demo-cluster-key"
ORGANISATION_KEY = "demo-organisation-key"
HOST = "127.0.0.1"
STOP_TIMEOUT_S = 10.0


class Cluster:
    """Three daemons in two data centres, three engines and one other service.

    Parameters
    ----------
    folder : Path
        Empty folder for settings, data and logs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        ports = iter(local_ports.free_ports(13))
        self.daemons = ("entry-1", "entry-2", "entry-3")
        self.data_centres = dict(
            zip(self.daemons, ("north-a", "north-a", "north-b"), strict=True)
        )
        self.callers = {name: next(ports) for name in self.daemons}
        self.peers = {name: next(ports) for name in self.daemons}
        self.operators = {name: next(ports) for name in self.daemons}
        self.servers = {
            name: next(ports) for name in ("engine-1", "engine-2", "engine-3", "desk")
        }

    def write_files(self) -> None:
        """Write keys, settings and the declaration."""
        self.write("operator.key", OPERATOR_KEY)
        self.write("cluster.key", CLUSTER_KEY)
        for name in self.daemons:
            self.write(f"{name}.yaml", yaml.safe_dump(self.daemon_settings(name)))
        for name, port in self.servers.items():
            kind = "service" if name == "desk" else "engine"
            settings = {"id": name, "kind": kind, "port": port, "models": ["draft-llm"]}
            self.write(f"{name}.yaml", yaml.safe_dump(settings))
        self.write_declaration({})

    def write(self, name: str, text: str) -> None:
        """Write one file in the folder."""
        path = self.folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)

    def daemon_settings(self, name: str) -> dict:
        """Return the settings of one daemon."""
        peers = [
            {
                "id": other,
                "data_centre": self.data_centres[other],
                "url": f"http://{HOST}:{self.peers[other]}",
                "replica": True,
            }
            for other in self.daemons
            if other != name
        ]
        return {
            "id": name,
            "data_centre": self.data_centres[name],
            "roles": ["gateway", "replica"],
            "callers": {"host": HOST, "port": self.callers[name]},
            "peers": {"host": HOST, "port": self.peers[name]},
            "operators": {
                "host": HOST,
                "port": self.operators[name],
                "key_file": str(self.folder / "operator.key"),
            },
            "cluster_key_file": str(self.folder / "cluster.key"),
            "data_folder": str(self.folder / f"data-{name}"),
            "peer_vms": peers,
            "limits": {"silent_stream_s": 3.0},
        }

    def write_declaration(self, vm_changes: dict) -> None:
        """Write the declaration; ``vm_changes`` gives changed fields by VM id."""
        engines = ("engine-1", "engine-2", "engine-3")
        engine_data_centres = dict(
            zip(engines, ("north-a", "north-a", "north-b"), strict=True)
        )
        vms = [
            {"id": f"vm-{name}", "data_centre": engine_data_centres[name]}
            for name in engines
        ]
        vms.append({"id": "vm-desk", "data_centre": "north-a"})
        for vm in vms:
            vm.update(vm_changes.get(vm["id"], {}))
        servers = [
            {
                "id": name,
                "vm": f"vm-{name}",
                "kind": "engine",
                "url": f"http://{HOST}:{self.servers[name]}",
                "models": ["draft-llm"],
                "resumes_across_replicas": True,
            }
            for name in engines
        ]
        servers.append(
            {
                "id": "desk",
                "vm": "vm-desk",
                "kind": "service",
                "url": f"http://{HOST}:{self.servers['desk']}",
                "service": "filing",
            }
        )
        digest = hashlib.sha256(ORGANISATION_KEY.encode()).hexdigest()
        infrastructure = {
            "data_centres": [
                {"id": "north-a", "region": "north"},
                {"id": "north-b", "region": "north"},
            ],
            "vms": vms,
            "servers": servers,
        }
        workloads = {
            "models": [{"name": "draft-llm", "version": "1", "minimum_ready": 1}],
            "classes": [{"name": "draft"}, {"name": "check", "priority": 5}],
            "organisations": [{"id": "carrier-1", "key_sha256": [digest]}],
            "services": [
                {
                    "name": "filing",
                    "non_idempotent_routes": [
                        {"method": "POST", "path_prefix": "/waivers"}
                    ],
                }
            ],
        }
        self.write("declaration/places.yaml", yaml.safe_dump(infrastructure))
        self.write("declaration/work.yaml", yaml.safe_dump(workloads))

    def start(self) -> None:
        """Start all processes and wait until they respond."""
        for name in self.servers:
            self.spawn(
                name,
                "quetzalpass.standin.main",
                ["--settings-file", str(self.folder / f"{name}.yaml")],
            )
        for name in self.daemons:
            self.spawn_daemon(name)
        for port in self.servers.values():
            local_ports.wait_for(f"http://{HOST}:{port}/health")
        for port in self.callers.values():
            local_ports.wait_for(f"http://{HOST}:{port}/healthz")

    def spawn_daemon(self, name: str) -> None:
        """Start the process of one daemon."""
        self.spawn(
            name,
            "quetzalpass.daemon.main",
            ["--settings", str(self.folder / f"{name}.yaml")],
        )

    def start_daemon(self, name: str) -> None:
        """Restart one daemon and wait until it responds."""
        self.spawn_daemon(name)
        local_ports.wait_for(f"http://{HOST}:{self.callers[name]}/healthz")

    def spawn(self, name: str, module: str, arguments: list[str]) -> None:
        """Start one process, with its output appended to a log file."""
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        log.close()

    def run_operator_command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run a command of the operators' tool."""
        urls = ",".join(f"http://{HOST}:{port}" for port in self.operators.values())
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "quetzalpass.cli.main",
                *arguments,
                "--operators",
                urls,
                "--key-file",
                str(self.folder / "operator.key"),
            ],
            capture_output=True,
            text=True,
            timeout=30,
        )

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self) -> None:
        """Stop every process, with SIGKILL after a timeout."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
