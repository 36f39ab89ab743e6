"""Stand-ins of the platform for the soak: list, replicas that misbehave, counts."""

import asyncio
import collections
import contextlib

from platform_standin import standin

EVENTS = 40
EVENT_S = 0.02
WORK_S = 0.01
SLOTS = 24


class Record:
    """What the replicas saw of all requests.

    Attributes
    ----------
    runs : Counter
        Runs of each request id.
    """

    def __init__(self):
        self.runs = collections.Counter()


class Replica:
    """One replica behind a link.

    Attributes
    ----------
    link : proxies.Link
        The address that the list names, and the way from there to the replica.
    fault : str or None
        ``refuse``, ``mute``, ``cut`` or ``garble`` for all requests that come.
    """

    def __init__(self, record, name, service, link):
        self.record = record
        self.name = name
        self.service = service
        self.link = link
        self.fault = None
        self.state = "ready"
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.link.target_host, self.link.target_port
        )
        await self.link.start()

    def stop(self):
        """Die: refuse connections and reset those that are open."""
        self.server.close()
        self.link.stop()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self):
        entry = {
            "service": self.service,
            "addr": f"{self.link.host}:{self.link.port}",
            "zone": "flx-a",
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "cold_ms": 0,
            "id": self.name,
        }
        if self.service == "model":
            entry["stage"] = "unified"
        return entry

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await standin.read_message(reader)
                await self.answer(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Cancelled at the end of the soak, where nobody waits for this task.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        path = request.first_line.split()[1]
        if path.startswith("/v1/"):
            await self.answer_own_call(path, writer)
            return
        if request.header("X-Target-Instance") != self.name:
            writer.write(standin.response_bytes(request, 421, b""))
            return
        if self.fault == "refuse":
            writer.write(
                standin.response_bytes(request, 503, b"", ["X-Not-Executed: 1"])
            )
            return
        if request.header("Kv-From"):
            writer.write(
                standin.response_bytes(request, 503, b"", ["X-Not-Executed: 1"])
            )
            return
        self.record.runs[request.header("X-Request-Id")] += 1
        if self.fault == "mute":
            await asyncio.sleep(5.0)
        if self.service == "model":
            await self.stream(request, writer)
        else:
            await self.answer_call(request, writer)

    async def answer_own_call(self, path, writer):
        body = b'{"state":"%s","next":1,"epoch":1,"events":[]}' % self.state.encode()
        if "kv-events" in path:
            await asyncio.sleep(0.2)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def answer_call(self, request, writer):
        await asyncio.sleep(WORK_S)
        data = standin.response_bytes(request, body=request.body * 3)
        if self.fault == "cut":
            writer.write(data[:-1])
            await writer.drain()
            raise ConnectionError
        if self.fault == "garble":
            data = data + standin.response_bytes(request, body=b"another")
        writer.write(data)

    async def stream(self, request, writer):
        writer.write(standin.stream_head(request))
        for number in range(1, EVENTS + 1):
            writer.write(standin.chunk(b"id: %d\ndata: x\n\n" % number))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
            if self.fault == "cut" and number > EVENTS // 2:
                raise ConnectionError
        writer.write(standin.chunk(b""))


def whole_stream():
    """Return the bytes of a stream that came whole."""
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, EVENTS + 1))


class Fleet:
    """All replicas, and the list of them."""

    def __init__(self, link):
        self.record = Record()
        self.replicas = {}
        self.platform = standin.Platform()
        self.link = link

    async def start(self):
        self.list_server = await asyncio.start_server(
            self.platform.list.serve, self.link.target_host, self.link.target_port
        )
        await self.link.start()

    async def add(self, name, service, link):
        replica = Replica(self.record, name, service, link)
        with contextlib.suppress(OSError):
            await replica.start()
            self.replicas[name] = replica
        self.relist()

    def remove(self, name):
        self.replicas.pop(name).stop()
        self.relist()

    def relist(self):
        self.platform.entries = [each.entry() for each in self.replicas.values()]

    def links(self):
        return [self.link, *(each.link for each in self.replicas.values())]

    def stop(self):
        self.list_server.close()
        self.link.stop()
        for replica in self.replicas.values():
            replica.stop()
