"""Gateways and control nodes as real processes on loopback addresses."""

import asyncio
import os
import pathlib
import shutil
import signal
import sys

import yaml

from soak import proxies

# The third octet of a proxy's address is that of its node plus this offset.
PROXY_OFFSET = 10
# Control nodes that each process is told.
SEEDS = 3
CHECKOUT = pathlib.Path(__file__).resolve().parents[2]


class Node:
    """One process and its settings file.

    Attributes
    ----------
    checkout : pathlib.Path
        Checkout whose programs are run at the next start. The variable
        ``SOAK_CHECKOUT`` names another one than that of the tests.
    runner : str
        Script beside this file that runs the program.
    """

    runner = "run_bound.py"

    def __init__(self, cluster, role, ip):
        self.cluster = cluster
        self.role = role
        self.ip = ip
        self.checkout = pathlib.Path(os.environ.get("SOAK_CHECKOUT", CHECKOUT))
        self.folder = cluster.folder / f"{role}-{ip}"
        self.folder.mkdir()
        self.starts = 0
        self.process = None
        self.is_paused = False
        self.zone = "flx-a"
        self.link = self.create_link()

    def create_link(self):
        """Return the proxy through which callers or the operator reach this node."""
        ports = self.cluster.ports
        port = ports.control if self.role == "control" else ports.front
        first, net, role, number = self.ip.split(".")
        proxy_ip = f"{first}.{net}.{int(role) + PROXY_OFFSET}.{number}"
        return proxies.Link(proxy_ip, port, self.ip, port)

    def wipe_disk(self):
        """Delete the data folder; the process must have ended."""
        assert self.process.returncode is not None
        shutil.rmtree(self.folder / "data")

    def settings(self, bootstrap):
        ports = self.cluster.ports
        listen = {"control": f"{self.ip}:{ports.control}"}
        if self.role == "gateway":
            listen = {
                "front": f"{self.ip}:{ports.front}",
                "ready": f"{self.ip}:{ports.ready}",
            }
        return {
            "node": f"{self.role}-{self.ip}",
            "ip": self.ip,
            "zone": self.zone,
            "listen": listen,
            "internal_ports": [ports.inner, ports.inner],
            "seeds": [f"{ip}:{ports.control}" for ip in self.cluster.seed_ips],
            "bootstrap": bootstrap,
            "fault_tolerance": {"machines": len(self.cluster.control_ips) // 2},
            "bounds": {"grace_s": self.cluster.grace_s},
            "limits": self.cluster.machine_limits,
            "cloud": {"addr": self.cluster.list_address},
            "data_dir": str(self.folder / "data"),
        }

    async def start(self, bootstrap=False):
        (self.folder / "data").mkdir(exist_ok=True)
        path = self.folder / "boot.yaml"
        path.write_text(yaml.safe_dump(self.settings(bootstrap)))
        self.starts += 1
        log = (self.folder / f"log-{self.starts}").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(pathlib.Path(__file__).with_name(self.runner)),
            self.ip,
            self.role,
            str(self.checkout),
            stdout=log,
            stderr=log,
            env={**os.environ, "QUETZALPASS_NODE_FILE": str(path)},
        )
        log.close()

    def send_signal(self, signal_number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    def pause(self):
        self.is_paused = True
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.is_paused = False
        self.send_signal(signal.SIGCONT)

    async def stop(self, signal_number, timeout_s=6.0):
        """Send a signal and wait for the process to end; kill it after a timeout."""
        if self.process is None:
            return
        self.resume()
        self.send_signal(signal_number)
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


class Ports:
    """Port numbers, the same on all nodes."""

    def __init__(self, front, ready, control, inner):
        self.front = front
        self.ready = ready
        self.control = control
        self.inner = inner


class Cluster:
    """Control nodes, three if not said otherwise, and several gateways.

    Attributes
    ----------
    grace_s : float
        Time between SIGTERM and SIGKILL, as the nodes' settings have it.
    machine_limits : dict of str to int
        Memory and descriptors of each machine, as the nodes' settings have them.
    """

    def __init__(self, folder, net, ports, list_address, gateways=2, controls=3):
        self.folder = folder
        self.grace_s = 4.0
        self.machine_limits = {"memory_mb": 150, "max_fds": 4100}
        self.ports = ports
        self.list_address = list_address
        self.control_ips = [
            f"127.{net}.1.{number}" for number in range(1, controls + 1)
        ]
        self.seed_ips = self.control_ips[:SEEDS]
        self.controls = [Node(self, "control", ip) for ip in self.control_ips]
        self.gateways = [
            Node(self, "gateway", f"127.{net}.2.{number}")
            for number in range(1, gateways + 1)
        ]

    @property
    def nodes(self):
        return [*self.controls, *self.gateways]

    async def start(self):
        for node in self.controls:
            await node.start(bootstrap=True)
        for node in self.gateways:
            await node.start()
        for node in self.nodes:
            await node.link.start()

    async def stop(self):
        for node in self.nodes:
            node.link.stop()
            node.resume()
            node.send_signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()
