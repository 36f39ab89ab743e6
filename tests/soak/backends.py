"""Stand-ins for the soak test: the platform list and replicas with failures."""

import asyncio
import collections
import contextlib
import enum
import time

from platform_standin import standin

EVENTS_PER_STREAM = 40
EVENT_INTERVAL_S = 0.02
SERVICE_TIME_S = 0.01
SLOTS = 24
# A brittle replica runs so many requests at once, and lets none wait.
BRITTLE_ROOM = 3
BRITTLE_SERVICE_TIME_S = 0.25
BRITTLE_DOWN_S = 4.0
NS_PER_MS = 1_000_000
CRASHING_BODY = b"crashes replicas"
CRASHING_PART = "bad0bad0"
# Longer than any caller waits: a silent replica sends nothing more.
CRASH_S = 60.0


class BeforeCrash(enum.Enum):
    """What a replica sends of its response before it crashes."""

    NOTHING = "nothing"
    TORN_EVENT = "a torn first event without framing"
    EVENTS = "two events"


class Arrival:
    """A request that reached a replica, at a loop time.

    Attributes
    ----------
    limit_per_s : float or None
        Limit that the replica names in its answer.
    """

    def __init__(self, replica, request_id, at_s):
        self.replica_name = replica.name
        self.limit_per_s = replica.limit_per_s
        self.request_id = request_id
        self.at_s = at_s


class Brittleness:
    """How many requests a brittle replica takes, and when it falls over.

    Attributes
    ----------
    limit_per_s : int
        It falls over once it has refused more than this within a second.
    enforced_from_s : float
        Loop time from which it lets no request wait.
    falls_s : list of float
        Loop times at which a replica has fallen over.
    """

    def __init__(self, limit_per_s, enforced_from_s):
        self.limit_per_s = limit_per_s
        self.enforced_from_s = enforced_from_s
        self.falls_s = []


class RunRecord:
    """Requests that the replicas have run.

    Attributes
    ----------
    runs : Counter
        Number of runs of each request id.
    on_crashing_request : callable or None
        Called with the replica and the id of each request that crashes replicas.
    before_crash : BeforeCrash
        What replicas send before they crash.
    arrivals : list of Arrival
        Each time that a caller's request has reached a replica.
    ended_s : dict of str to float
        Loop time at which a replica last stopped working on each request.
    """

    def __init__(self):
        self.runs = collections.Counter()
        self.on_crashing_request = None
        self.before_crash = BeforeCrash.NOTHING
        self.arrivals = []
        self.ended_s = {}


class Replica:
    """A replica that is reached through a proxy.

    Attributes
    ----------
    link : proxies.Link
        Proxy in front of the replica; the platform list has its address.
    fault : str or None
        Failure of all further requests: ``refuse``, ``hang``, ``cut`` or
        ``extra_response``.
    limit_per_s : float or None
        Limit on the rate of requests that it names in each answer.
    brittleness : Brittleness or None
        Set while it is brittle and says so in each answer.
    running : int
        Requests that it runs now.
    rest_s : float or None
        Time that it asks for in each refusal; it then refuses all requests.
    says_leaving : bool
        Whether it says in each answer that it leaves.
    api_body : bytes or None
        Body of all answers to queries in place of a sound one.
    endless : endless.EndlessReplica or None
        What it sends without end in place of each answer.
    service_time_s, event_interval_s : float
        Duration of a call, and of each event of a stream.
    """

    def __init__(self, record, name, service, link):
        self.record = record
        self.name = name
        self.service = service
        self.link = link
        self.fault = None
        self.limit_per_s = None
        self.brittleness = None
        self.running = 0
        self.refused_s = []
        self.rest_s = None
        self.says_leaving = False
        self.api_body = None
        self.endless = None
        self.service_time_s = SERVICE_TIME_S
        self.event_interval_s = EVENT_INTERVAL_S
        self.state = "ready"
        self.started_ms = time.time_ns() // NS_PER_MS
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.link.target_host, self.link.target_port
        )
        await self.link.start()

    def stop(self):
        """Simulate a crash: refuse new connections and reset the open ones."""
        self.server.close()
        self.link.stop()
        for writer in list(self.writers):
            writer.transport.abort()

    def close_orderly(self):
        """Simulate a crash of the process alone: its connections are closed."""
        self.server.close()
        self.link.server.close()
        for writer in list(self.writers):
            writer.close()

    def fall_silent(self):
        """Simulate a crash of the whole machine: drop packets of all connections."""
        self.server.close()
        self.link.fall_silent()

    def list_entry(self):
        entry = {
            "service": self.service,
            "addr": f"{self.link.host}:{self.link.port}",
            "zone": "flx-a",
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "cold_ms": 0,
            "id": self.name,
            "born": self.started_ms,
        }
        if self.service == "model":
            entry["stage"] = "unified"
        return entry

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await standin.read_message(reader)
                await self.respond(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # Cancellation at the end of the run is ignored: nothing awaits this task.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, request, writer):
        path = request.first_line.split()[1]
        if path.startswith("/v1/"):
            await self.respond_to_api_call(path, writer)
            return
        now_s = asyncio.get_running_loop().time()
        request_id = request.header("X-Request-Id")
        self.record.arrivals.append(Arrival(self, request_id, now_s))
        if request.header("X-Target-Instance") != self.name:
            writer.write(standin.response_bytes(request, 421, b""))
            return
        if self.fault == "refuse" or self.rest_s is not None:
            self.refuse(request, writer)
            return
        if request.header("Kv-From"):
            self.refuse(request, writer)
            return
        if self.brittleness is not None and not self.has_room(now_s):
            self.refuse(request, writer)
            return
        self.record.runs[request.header("X-Request-Id")] += 1
        if self.endless is not None:
            await self.endless.answer(request, writer)
        if crashes_replicas(request):
            await self.send_before_crash(request, writer)
            self.record.on_crashing_request(self, request.header("X-Request-Id"))
            await asyncio.sleep(CRASH_S)
            raise ConnectionError
        if self.fault == "hang":
            await asyncio.sleep(5.0)
        self.running += 1
        try:
            if self.service == "model":
                await self.send_stream(request, writer)
            else:
                await self.respond_to_service_call(request, writer)
        finally:
            self.running -= 1
            self.record.ended_s[request_id] = asyncio.get_running_loop().time()

    def has_room(self, now_s):
        """Return whether a brittle replica runs one more; it may fall over if not."""
        brittleness = self.brittleness
        if now_s < brittleness.enforced_from_s or self.running < BRITTLE_ROOM:
            return True
        self.refused_s = [each for each in self.refused_s if each > now_s - 1.0]
        self.refused_s.append(now_s)
        if len(self.refused_s) > brittleness.limit_per_s:
            self.refused_s = []
            brittleness.falls_s.append(now_s)
            self.stop()
            asyncio.get_running_loop().create_task(self.start_again())
            raise ConnectionError
        return False

    async def start_again(self):
        """Come back after a fall, at the same address under the same name."""
        await asyncio.sleep(BRITTLE_DOWN_S)
        self.started_ms = time.time_ns() // NS_PER_MS
        self.running = 0
        await self.start()

    def limit_headers(self):
        """Return the header lines that name a limit or say that it is brittle."""
        lines = []
        if self.limit_per_s is not None:
            lines.append(f"Server-Limit: {self.limit_per_s}")
        if self.says_leaving:
            lines.append("Server-Leaving: 1")
        if self.brittleness is not None:
            lines.append(f"Server-Brittle: {self.brittleness.limit_per_s}")
        return lines

    def refuse(self, request, writer):
        lines = ["X-Not-Executed: 1", *self.limit_headers()]
        if self.rest_s is not None:
            lines.append(f"Retry-After: {self.rest_s}")
        writer.write(standin.response_bytes(request, 503, b"", lines))

    async def send_before_crash(self, request, writer):
        if self.record.before_crash is BeforeCrash.TORN_EVENT:
            head = standin.stream_head(request)
            writer.write(head.replace(b"Transfer-Encoding: chunked\r\n", b""))
            writer.write(event(1)[:-3])
        if self.record.before_crash is BeforeCrash.EVENTS:
            writer.write(standin.stream_head(request))
            for number in (1, 2):
                writer.write(standin.chunk(event(number)))
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
        await writer.drain()

    async def respond_to_api_call(self, path, writer):
        body = self.api_body
        if body is None:
            state = self.state.encode()
            body = b'{"state":"%s","next":1,"epoch":1,"events":[]}' % state
        if "kv-events" in path:
            await asyncio.sleep(0.2)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def respond_to_service_call(self, request, writer):
        is_brittle = self.brittleness is not None
        await asyncio.sleep(
            BRITTLE_SERVICE_TIME_S if is_brittle else self.service_time_s
        )
        data = standin.response_bytes(
            request, body=request.body * 3, extra=self.limit_headers()
        )
        if self.fault == "cut":
            writer.write(data[:-1])
            await writer.drain()
            raise ConnectionError
        if self.fault == "extra_response":
            data = data + standin.response_bytes(request, body=b"another")
        writer.write(data)

    async def send_stream(self, request, writer):
        writer.write(standin.stream_head(request, self.limit_headers()))
        for number in range(1, EVENTS_PER_STREAM + 1):
            writer.write(standin.chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(self.event_interval_s)
            if self.fault == "cut" and number > EVENTS_PER_STREAM // 2:
                raise ConnectionError
        writer.write(standin.chunk(b""))


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def crashes_replicas(request):
    """Return whether a request crashes each replica that runs it."""
    prompt = request.header("X-Prompt-Prefix") or ""
    return request.body == CRASHING_BODY or CRASHING_PART in prompt


def complete_stream():
    """Return the body of a complete stream."""
    return b"".join(event(n) for n in range(1, EVENTS_PER_STREAM + 1))


class Fleet:
    """All replicas and the platform list."""

    def __init__(self, link):
        self.record = RunRecord()
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
        self.update_list()

    def remove(self, name):
        self.replicas.pop(name).stop()
        self.update_list()

    def update_list(self):
        self.platform.entries = [each.list_entry() for each in self.replicas.values()]

    def links(self):
        return [self.link, *(each.link for each in self.replicas.values())]

    def stop(self):
        self.list_server.close()
        self.link.stop()
        for replica in self.replicas.values():
            replica.stop()
