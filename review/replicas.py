"""Replica processes of a case, and their entries in the platform's list."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

import harness

PORT = harness.REPLICA


class ReplicaProcess:
    """One stand-in replica in a process of its own."""

    def __init__(self, deployment, host, replica_id, kind, events, gap_s):
        self.address = f"{deployment.net}.{host}:{PORT}"
        self.id = replica_id
        self.log = deployment.folder / f"replica-{replica_id}.log"
        self.arguments = [self.address, replica_id, kind, str(events), str(gap_s),
                          str(self.log)]
        self.child = None
        self.born_ms = None

    async def start(self):
        here = pathlib.Path(__file__).parent
        self.child = await asyncio.create_subprocess_exec(
            sys.executable, "-B", str(here / "replica.py"), *self.arguments,
            env={**os.environ, "PYTHONPATH": str(here)},
        )
        self.born_ms = time.time_ns() // 1_000_000

    def entry(self, service, state="ready", is_engine=True):
        entry = {"id": self.id, "service": service, "addr": self.address,
                 "zone": "flx-a", "version": "v1", "slots": 24, "state": state,
                 "cold_ms": 0, "born": self.born_ms}
        if is_engine:
            entry["stage"] = "unified"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    def leave(self):
        self.child.send_signal(signal.SIGUSR1)

    async def stop(self):
        if self.child is not None and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()

    def notes(self):
        if not self.log.exists():
            return []
        return [json.loads(line) for line in self.log.read_text().splitlines()]
