"""Stand-in of one model replica, as a process of its own.

Usage: ``engine.py ADDRESS ID WORK_FILE``. It generates the events of a stream at a fixed
pace, keeps copies of the memory of others' runs, moves runs, and says in a file when it
begins and ends to work on a request. It begins at the event after ``Last-Event-Id`` if
it holds the copy that ``Kv-From`` names. It works on for a time after the channel of a
run has closed, unless it is ordered to stop. ``POST /standin/...`` sets what it does;
these calls are the lab's, not the platform's.
"""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig3 import http1  # noqa: E402

EVENT_INTERVAL_S = 0.04
BACKUP_INTERVAL_S = 0.2
MAX_WAIT_MS = 1000
# A run whose channel has closed is dropped after this time, as in the site file.
LINGER_S = 1.5


def event(number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: event {number}\n\n".encode()


def chunk(data):
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Run:
    """A request that the replica works on."""

    def __init__(self, request_id, made, total):
        self.request_id = request_id
        self.made = made
        self.total = total
        self.is_stopped = False
        self.is_lost = False


class Engine:
    """The replica.

    Attributes
    ----------
    copies : dict of str to int
        Events made, by the holder's address and the handle.
    runs : dict of str to Run
        By request id.
    losing : int
        Resumed requests of which the answer is lost, with a reset.
    """

    def __init__(self, address, name, work_file):
        self.address = address
        self.name = name
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.copies = {}
        self.runs = {}
        self.handles = 0
        self.losing = 0
        self.work = open(work_file, "a")
        self.tasks = set()

    def note(self, what, request_id, detail=""):
        """Write what happens to a request, with the time."""
        self.work.write(f"{time.time():.3f} {self.name} {what} {request_id} {detail}\n")
        self.work.flush()

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                request = await http1.read_message(reader)
                await self.respond(request, reader, writer)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    async def respond(self, request, reader, writer):
        """Respond to one request."""
        path = request.target.partition("?")[0]
        if path == "/standin/set":
            for name, value in json.loads(request.body).items():
                setattr(self, name, value)
            self.send_json(writer, {})
        elif path == "/standin/copy":
            copy = json.loads(request.body)
            self.copies[copy["key"]] = copy["made"]
            self.send_json(writer, {})
        elif path == "/v1/report":
            self.send_json(writer, self.report())
        elif path == "/v1/kv-events":
            wait_ms = min(MAX_WAIT_MS, int(request.header("wait-ms", "0")))
            await asyncio.sleep(wait_ms / 1000)
            events = {"epoch": self.born, "next": 1, "lost": False, "events": []}
            self.send_json(writer, {**events, "born": self.born})
        elif path == "/v1/kv-move":
            await self.move(json.loads(request.body), writer)
        elif path.startswith("/v1/kv-handle/"):
            handle = path.rpartition("/")[2]
            self.copies.pop(f"{self.address}/{handle}", None)
            self.send_json(writer, {})
        elif path == "/health":
            self.send_json(writer, {}, [("X-Instance-Id", self.name)])
        else:
            await self.generate(request, reader, writer)

    def report(self):
        """Return the report."""
        return {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "queued": 0,
            "running": len(self.runs),
            "kv_used": 3000 * len(self.runs),
            "kv_total": 34304,
            "handles": len(self.copies),
            "state": self.state,
            "born": self.born,
            "runs": [],
        }

    def send_json(self, writer, content, more=(), status="200 OK"):
        """Send a JSON response."""
        body = json.dumps(content).encode()
        headers = [("Content-Type", "application/json"), *more]
        headers.append(("Content-Length", len(body)))
        if self.state != "ready":
            headers.append(("Connection", "close"))
        writer.write(http1.encode(f"HTTP/1.1 {status}", headers, body))

    async def tell(self, address, key, made):
        """Store a copy at another replica."""
        body = json.dumps({"key": key, "made": made}).encode()
        headers = [("Host", address), ("Content-Length", len(body))]
        data = http1.encode("POST /standin/copy HTTP/1.1", headers, body)
        return isinstance(await http1.call(address, data, 1.0), http1.Message)

    async def move(self, order, writer):
        """Copy a run's memory to another replica, and stop the run with ``last``."""
        run = self.runs.get(order["id"])
        if run is None or run.is_stopped:
            self.note("move: no such run", order["id"])
            self.send_json(writer, {}, status="404 Not Found")
            return
        if order.get("last"):
            run.is_stopped = True
        self.handles += 1
        handle = f"{self.name}-{self.handles}"
        made = run.made
        self.note("move", order["id"], f"to {order['to']} last {order.get('last')}")
        is_told = await self.tell(order["to"], f"{self.address}/{handle}", made)
        reply = {"handle": handle, "made": made}
        if not is_told:
            self.copies[f"{self.address}/{handle}"] = made
        self.send_json(
            writer, reply, status="200 OK" if is_told else "503 Service Unavailable"
        )

    async def generate(self, request, reader, writer):
        """Run a request."""
        request_id = request.header("x-request-id")
        echo = [("X-Request-Id", request_id)]
        refusal = None
        if not request_id:
            refusal, echo = "400 Bad Request", []
        elif request.header("x-target-instance", self.name) != self.name:
            refusal = "421 Misdirected Request"
        source = request.header("kv-from")
        if refusal is None and source and source not in self.copies:
            refusal = "503 Service Unavailable"
        if refusal is not None:
            headers = [*echo, ("X-Not-Executed", "1"), ("Content-Length", 0)]
            writer.write(http1.encode(f"HTTP/1.1 {refusal}", headers))
            return
        total = int(request.header("x-token-usage").partition(",")[2]) // 4
        made = int(request.header("last-event-id", "0")) if source else 0
        self.copies.pop(source, None)
        run = self.runs[request_id] = Run(request_id, made, total)
        is_losing = bool(source) and self.losing > 0
        self.losing -= is_losing
        backup = request.header("x-kv-backup", "none")
        detail = f"after event {made}, copy {source or 'none'}, backup {backup}"
        self.note("begins", request_id, detail)
        work = asyncio.create_task(
            self.produce(run, request, None if is_losing else writer)
        )
        self.tasks.add(work)
        work.add_done_callback(self.tasks.discard)
        if is_losing:
            self.note("answer is lost, with a reset", request_id)
            writer.transport.abort()
            await self.drop_later(run)
            raise EOFError
        closing = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, closing}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                await self.drop_later(run)
                await work
        finally:
            closing.cancel()
        raise EOFError

    async def drop_later(self, run):
        """Drop a run whose channel has closed, after some time."""
        self.note("channel closed", run.request_id)
        await asyncio.sleep(LINGER_S)
        run.is_stopped = True

    async def produce(self, run, request, writer):
        """Generate the events of a run, until its end or its stop."""
        head = [
            ("X-Request-Id", run.request_id),
            ("X-Response-Signature", f"{self.name}.{run.request_id}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            ("Connection", "close"),
        ]
        backup = request.header("x-kv-backup")
        told_s = time.monotonic()
        if writer is not None:
            writer.write(http1.encode("HTTP/1.1 200 OK", head))
        try:
            while run.made < run.total and not run.is_stopped:
                await asyncio.sleep(EVENT_INTERVAL_S)
                if run.is_stopped:
                    break
                run.made += 1
                if writer is not None:
                    writer.write(chunk(event(run.made)))
                if backup and time.monotonic() - told_s > BACKUP_INTERVAL_S:
                    told_s = time.monotonic()
                    key = f"{backup}/{run.request_id}"
                    task = asyncio.create_task(self.tell(backup, key, run.made))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
            if not run.is_stopped and writer is not None:
                writer.write(chunk(b""))
        finally:
            how = "stopped" if run.is_stopped else "complete"
            self.note("ends", run.request_id, f"{how} after event {run.made}")
            if self.runs.get(run.request_id) is run:
                del self.runs[run.request_id]


async def main():
    """Serve until the process is ended."""
    address, name, work_file = sys.argv[1:4]
    host, _, port = address.rpartition(":")
    engine = Engine(address, name, work_file)
    listening = await asyncio.start_server(engine.serve, host, int(port))
    print(f"ready {engine.born}", flush=True)
    async with listening:
        await listening.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
