"""Stand-in replica of a plain service, in the process of the script."""

import asyncio
import time

import harness

PORT = harness.REPLICA


class ServiceReplica:
    """Runs each request for ``work_s`` and answers it; drops it if its channel closes.

    ``runs`` maps each request id to the times at which its runs began, ``ended`` to the
    time and kind of their ends: ``answered`` or ``dropped``.
    """

    def __init__(self, deployment, host, replica_id, work_s, slots=24):
        self.ip = f"{deployment.net}.{host}"
        self.id = replica_id
        self.work_s = work_s
        self.slots = slots
        self.born_ms = time.time_ns() // 1_000_000
        self.runs = {}
        self.ended = {}
        self.server = None

    def entry(self, service="ledger", state="ready"):
        return {"id": self.id, "service": service, "addr": f"{self.ip}:{PORT}",
                "zone": "flx-a", "version": "v1", "slots": self.slots, "state": state,
                "cold_ms": 0, "born": self.born_ms}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, PORT)

    def stop(self):
        if self.server is not None:
            self.server.close()

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await harness.read_request(reader)
                await self.respond(first, headers, body, reader, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def respond(self, first, headers, body, reader, writer):
        path = first.split()[1]
        request_id = headers.get("x-request-id", "")
        if path == "/health":
            writer.write(harness.http(200, [f"X-Instance-Id: {self.id}"]))
            return
        if path.startswith("/v1/"):
            writer.write(harness.http(404))
            return
        if headers.get("x-target-instance") != self.id:
            writer.write(harness.http(
                421, [f"X-Request-Id: {request_id}", "X-Not-Executed: 1"]))
            return
        self.runs.setdefault(request_id, []).append(time.monotonic())
        # One request at a time on a channel: anything read now is its end.
        closing = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closing}, timeout=self.work_s)
        if done:
            self.ended[request_id] = (time.monotonic(), "dropped")
            raise EOFError
        closing.cancel()
        await asyncio.wait({closing})
        self.ended[request_id] = (time.monotonic(), "answered")
        writer.write(harness.http(
            200, [f"X-Request-Id: {request_id}", "X-Response-Signature: 3e1b.2"],
            b"answer to " + request_id.encode()))
