"""Processes of the relay benchmark: source, gateway, bare relay and reader.

This is a test harness; the product itself never starts processes.
"""

import hashlib
import os
import pathlib
import re
import subprocess
import sys

import msgspec
import yaml

from quetzalpass.bench import local_ports, relay_reader

HOST = "127.0.0.1"
CALLER_KEY = "bench-caller-key"
CLUSTER_KEY = "bench-cluster-key"
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 5.0
READER_TIMEOUT_S = 90.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KILOBYTES_PER_MB = 1000
MAX_LOG_CHARACTERS = 3_000


class RelayMeasurement(msgspec.Struct, frozen=True):
    """Figures of one measured window of one relay.

    Attributes
    ----------
    relay_cpu_s, source_cpu_s : float
        CPU time within the window.
    rss_mb : float
        Resident memory of the relay at the end of the window.
    reader : relay_reader.ReaderReport
        What the relay's callers measured.
    """

    relay_cpu_s: float
    source_cpu_s: float
    rss_mb: float
    reader: relay_reader.ReaderReport


class RelayProcesses:
    """Starts and stops the processes on loopback.

    Parameters
    ----------
    folder : Path
        Empty folder for settings, keys and logs.
    engines : int
        Number of engines that the source simulates.
    batch : int
        Number of streams that one engine runs concurrently.
    """

    def __init__(self, folder: pathlib.Path, engines: int, batch: int) -> None:
        self.folder = folder
        self.batch = batch
        self.processes: dict[str, subprocess.Popen] = {}
        ports = local_ports.free_ports(engines + 4)
        self.gateway_port, self.bare_port, self.peers_port, self.operators_port = ports[
            :4
        ]
        self.engine_ports = ports[4:]

    def start(self) -> None:
        """Start source, gateway and bare relay, and apply the declaration."""
        ports = [str(port) for port in self.engine_ports]
        urls = [f"http://{HOST}:{port}" for port in ports]
        self.write_files()
        self.spawn("source", "quetzalpass.bench.relay_source", [HOST, *ports])
        self.spawn(
            "bare", "quetzalpass.bench.relay_bare", [HOST, str(self.bare_port), *urls]
        )
        settings = str(self.folder / "gateway.yaml")
        self.spawn("gateway", "quetzalpass.daemon.main", ["--settings", settings])
        local_ports.wait_for(f"{urls[-1]}/health")
        local_ports.wait_for(f"http://{HOST}:{self.bare_port}/healthz")
        local_ports.wait_for(f"http://{HOST}:{self.gateway_port}/healthz")
        self.apply()
        local_ports.wait_for(f"http://{HOST}:{self.gateway_port}/readyz")

    def write_files(self) -> None:
        """Write the key, the settings and the declaration."""
        (self.folder / "cluster.key").write_text(CLUSTER_KEY)
        settings = {
            "id": "entry-1",
            "data_centre": "bench-a",
            "roles": ["gateway", "replica"],
            "callers": {"host": HOST, "port": self.gateway_port},
            "peers": {"host": HOST, "port": self.peers_port},
            "operators": {
                "host": HOST,
                "port": self.operators_port,
                "key_file": str(self.folder / "cluster.key"),
            },
            "cluster_key_file": str(self.folder / "cluster.key"),
            "data_folder": str(self.folder / "data"),
        }
        (self.folder / "gateway.yaml").write_text(yaml.safe_dump(settings))
        folder = self.folder / "declaration"
        folder.mkdir()
        (folder / "all.yaml").write_text(yaml.safe_dump(self.declaration()))

    def declaration(self) -> dict:
        """Return a declaration with one model on all engines of the source."""
        digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        servers = [
            {
                "id": f"engine-{number}",
                "vm": f"vm-{number}",
                "kind": "engine",
                "url": f"http://{HOST}:{port}",
                "models": ["bench-llm"],
                "memory_tokens": 100_000_000,
                "max_batch": self.batch,
            }
            for number, port in enumerate(self.engine_ports)
        ]
        return {
            "data_centres": [{"id": "bench-a", "region": "bench"}],
            "vms": [{"id": each["vm"], "data_centre": "bench-a"} for each in servers],
            "servers": servers,
            "models": [
                {"name": "bench-llm", "version": "1", "context_tokens": 200_000}
            ],
            "organisations": [
                {
                    "id": "caller",
                    "key_sha256": [digest],
                    "requests_per_s": 10_000.0,
                    "burst_requests": 10_000,
                    "max_streams": 10_000,
                    "tokens_per_s": 1e9,
                }
            ],
        }

    def apply(self) -> None:
        """Apply the declaration with the command line tool.

        Raises
        ------
        RuntimeError
            If the declaration is refused.
        """
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "quetzalpass.cli.main",
                "apply",
                str(self.folder / "declaration"),
                "--wait",
                "--operators",
                f"http://{HOST}:{self.operators_port}",
                "--key-file",
                str(self.folder / "cluster.key"),
            ],
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
        )
        if completed.returncode:
            raise RuntimeError(f"apply failed: {completed.stdout}{completed.stderr}")

    def spawn(self, name: str, module: str, arguments: list[str]) -> None:
        """Start a process whose output goes to a log file."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
            )

    def measure(self, relay: str, streams: int, window_s: float) -> RelayMeasurement:
        """Measure one relay with a number of streams.

        Parameters
        ----------
        relay : str
            ``gateway`` or ``bare``.
        streams : int
            Number of streams to open.
        window_s : float
            Length of the window, in seconds.

        Raises
        ------
        RuntimeError
            If some streams deliver no tokens.
        """
        port = self.gateway_port if relay == "gateway" else self.bare_port
        arguments = [HOST, str(port), CALLER_KEY, str(streams), str(window_s)]
        reader = subprocess.Popen(
            [sys.executable, "-m", "quetzalpass.bench.relay_reader", *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes["reader"] = reader
        assert reader.stdout is not None
        line = reader.stdout.readline()
        if line != "begin\n":
            raise RuntimeError(
                f"some streams through {relay} deliver no tokens: {line}"
            )
        relay_pid = self.processes[relay].pid
        source_pid = self.processes["source"].pid
        relay_cpu_s, source_cpu_s = read_cpu_s(relay_pid), read_cpu_s(source_pid)
        reader.stdout.readline()
        relay_cpu_s = read_cpu_s(relay_pid) - relay_cpu_s
        source_cpu_s = read_cpu_s(source_pid) - source_cpu_s
        rss_mb = read_rss_mb(relay_pid)
        report = msgspec.json.decode(
            reader.stdout.readline(), type=relay_reader.ReaderReport
        )
        reader.wait(READER_TIMEOUT_S)
        return RelayMeasurement(relay_cpu_s, source_cpu_s, rss_mb, report)

    def show_logs(self) -> None:
        """Print the end of each process's log to standard error."""
        for path in sorted(self.folder.glob("*.log")):
            print(f"--- {path.name}", file=sys.stderr)
            print(path.read_text()[-MAX_LOG_CHARACTERS:], file=sys.stderr)

    def stop(self) -> None:
        """End every process."""
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def read_cpu_s(pid: int) -> float:
    """Read the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_rss_mb(pid: int) -> float:
    """Read the resident memory of a process, in megabytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmRSS:\s+(\d+) kB", status)
    assert match is not None
    return int(match.group(1)) / KILOBYTES_PER_MB
