"""Replicas of a case: their processes, the links to them, and their list entries."""

import asyncio
import contextlib
import json
import time

import lab


class Link:
    """A proxy in front of a replica, which can be cut.

    While it is cut it holds all bytes, and the ends of connections, as a partition
    does. They arrive once it is whole again.
    """

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.whole = asyncio.Event()
        self.whole.set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    async def accept(self, reader, writer):
        """Serve one connection; the end of the case cancels it."""
        with contextlib.suppress(asyncio.CancelledError):
            await self.serve(reader, writer)

    def cut(self):
        self.whole.clear()

    def heal(self):
        self.whole.set()

    async def serve(self, reader, writer):
        """Forward one connection in both directions."""
        host, _, port = self.target.rpartition(":")
        await self.whole.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self.forward(reader, target_writer),
                self.forward(target_reader, writer),
            )
        except OSError:
            await self.whole.wait()
            writer.transport.abort()
        finally:
            target_writer.close()
            writer.close()

    async def forward(self, reader, writer):
        """Forward the bytes of one direction, then the end of the stream."""
        while data := await reader.read(65536):
            await self.whole.wait()
            writer.write(data)
            await writer.drain()
        await self.whole.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()


class Replica(lab.Process):
    """A replica behind a link, and its entry in the platform's list."""

    def __init__(self, case, service, number, **options):
        super().__init__(case, f"{service}-{number}")
        third = 3 if service == "model" else 4
        port = case.ports["replica"]
        self.service = service
        self.zone = ("flx-a", "flx-b", "flx-c")[(number - 1) % 3]
        self.id = f"i-{service}-{number}"
        self.target = f"127.{case.net}.{third}.{number}:{port}"
        self.link = Link(f"127.{case.net}.{third + 10}.{number}:{port}", self.target)
        self.options = options
        self.record_path = case.folder / f"runs-{self.name}.txt"
        self.state = "ready"
        self.born = 0

    async def start(self):
        """Start the process, and wait until it listens."""
        options = {
            "name": self.id,
            "service": self.service,
            "address": self.target,
            "record": str(self.record_path),
            "begun_s": self.lab.record.begun_s,
            **self.options,
        }
        program = str(lab.CHECKOUT / "review" / "engines.py")
        await self.run([self.lab.python, "-B", program, json.dumps(options)], {})
        deadline_s = time.monotonic() + 10.0
        while time.monotonic() < deadline_s:
            response = await lab.call(self.target, "GET", "/v1/report")
            if response is not None:
                self.born = json.loads(response.body)["born"]
                return
            await asyncio.sleep(0.02)
        raise lab.CouldNotRun(f"{self.name} has not started")

    def entry(self):
        """Return its entry in the platform's list."""
        entry = {
            "service": self.service,
            "addr": self.link.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 24 if self.service == "model" else 6,
            "state": self.state,
            "cold_ms": 0,
            "id": self.id,
            "born": self.born,
        }
        if self.service == "model":
            entry["stage"] = "unified"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry


class Fleet:
    """All replicas of a case."""

    def __init__(self, case):
        self.case = case
        self.replicas = []

    async def add(self, service, number, **options):
        """Start a replica and its link."""
        replica = Replica(self.case, service, number, **options)
        self.case.processes.append(replica)
        self.replicas.append(replica)
        await replica.start()
        await replica.link.start()
        return replica

    def publish(self):
        """Let the platform's list show the replicas as they are now."""
        self.case.list.set_entries([each.entry() for each in self.replicas])

    def copy_records(self):
        """Append what the replicas ran to the record."""
        for each in self.replicas:
            if each.record_path.exists():
                self.case.record.file.write(each.record_path.read_text())
        self.case.record.file.flush()
