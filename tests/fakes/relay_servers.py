"""Fake backend servers whose responses are relayed, on a virtual clock."""

import asyncio

from returns import result

from quetzalpass import ids
from quetzalpass.backends import base, discovery, relays

STEP_S = 0.03
HEADERS = (relays.Header("Signature", "s"),)


def failure(end, kind=base.FailureKind.CLOSED, message="broken"):
    return base.AttemptFailure(end, kind, message)


REFUSED = failure(base.AttemptEnd.REFUSED, base.FailureKind.OVERLOADED, "full")
LOST = failure(base.AttemptEnd.MAY_HAVE_RUN)
NO_SUCH_RUN = failure(
    base.AttemptEnd.REFUSED, base.FailureKind.UNKNOWN_GENERATION, "no such run"
)
BUSY = failure(base.AttemptEnd.REFUSED, base.FailureKind.REJECTED, "busy")
SILENT = failure(base.AttemptEnd.MAY_HAVE_RUN, base.FailureKind.SILENT, "silent")
NOT_SENT = failure(
    base.AttemptEnd.NOT_SENT, base.FailureKind.UNREACHABLE, "unreachable"
)


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def discovered(name, service="model", data_centre="flx-a", **rest):
    rest.setdefault("state", discovery.ServerState.READY)
    rest.setdefault("slots", 24)
    return discovery.DiscoveredServer(
        ids.ServerId(name),
        ids.ServiceName(service),
        f"{name}:80",
        ids.DataCentreId(data_centre),
        is_engine=service == "model",
        **rest,
    )


class Run:
    """One generation: its number of events so far, and the servers that run it."""

    def __init__(self, length):
        self.length = length
        self.event_count = 0
        self.owners = []
        self.shared_since_s = None
        self.longest_overlap_s = 0.0

    def add_owner(self, server):
        self.owners.append(server)
        if len(self.owners) == 2:
            self.shared_since_s = asyncio.get_running_loop().time()

    def remove_owner(self, server):
        if server not in self.owners:
            return
        self.longest_overlap_s = self.overlap_s()
        self.owners.remove(server)
        if len(self.owners) < 2:
            self.shared_since_s = None

    def overlap_s(self):
        """Return the longest time for which two servers have run it."""
        if self.shared_since_s is None:
            return self.longest_overlap_s
        shared_s = asyncio.get_running_loop().time() - self.shared_since_s
        return max(self.longest_overlap_s, shared_s)


class Fleet:
    """Servers by name, and the runs and copies on them."""

    def __init__(self, length=20):
        self.length = length
        self.servers = {}
        self.runs = {}
        self.copies = set()

    def server(self, name):
        if name not in self.servers:
            self.servers[name] = FakeServer(self, name)
        return self.servers[name]

    def connect(self, server):
        return self.server(server.id)


class FakeResponse(relays.RelayResponse):
    def __init__(self, server, run, start, status=200, body=b""):
        self.server = server
        self.run = run
        self.next_event = start
        self.body = body
        self.is_closed = False
        self.is_ended = False
        self.is_stopped = False
        self.closed = asyncio.Event()
        self.head = relays.ResponseHead(
            status,
            HEADERS,
            body_end=server.body_end,
            rate_notice=server.rate_notice,
            notice=server.notice,
        )

    async def read_body(self):
        if self.server.body_failure is not None:
            return result.Failure(self.server.body_failure)
        self.server.on_body_end()
        return result.Success(self.body)

    async def next_chunk(self):
        if self.server.is_silent:
            await self.closed.wait()
        if self.is_stopped:
            return self.end_without_its_end()
        if self.is_closed or self.server.is_dead:
            return result.Failure(LOST)
        if self.next_event > self.run.length or self.is_ended:
            self.server.on_body_end()
            return result.Success(b"")
        try:
            async with asyncio.timeout(STEP_S):
                await self.closed.wait()
        except TimeoutError:
            pass
        if self.is_stopped:
            return self.end_without_its_end()
        if self.is_closed or self.server.is_dead:
            return result.Failure(LOST)
        number = self.next_event
        if number == self.server.ends_at:
            self.is_ended = True
            if not self.server.torn_bytes:
                self.server.on_body_end()
            return result.Success(event(number)[: self.server.torn_bytes])
        self.next_event += 1
        self.run.event_count = max(self.run.event_count, number)
        return result.Success(event(number))

    def end_without_its_end(self):
        """Return what a gateway reads after a move has stopped the run."""
        if self.head.body_end is relays.BodyEnd.CLOSE:
            return result.Success(b"")
        return result.Failure(LOST)

    def stop(self):
        self.is_stopped = True
        self.closed.set()
        self.run.remove_owner(self.server)

    def close(self):
        self.is_closed = True
        self.closed.set()
        if self.run is not None and not self.server.keeps_runs:
            self.run.remove_owner(self.server)


class FakeServer(relays.RelayServer):
    """Responds with a stream or with a status.

    Attributes
    ----------
    ends_at : int or None
        Event at which the body of a stream ends early, though in an orderly way.
    torn_bytes : int
        Bytes of that event that are sent.
    stops_at_end : bool
        Whether it is down once it has ended a body in an orderly way.
    keeps_runs : bool
        Whether it goes on with a run whose connection is closed.
    stop_failure : base.AttemptFailure or None
        Response to a stop, which it then does not obey.
    loses_stop_response : bool
        Whether it obeys a stop without a response.
    has_no_room : bool
        Whether a stop copies nothing; the memory then stays here.
    rate_notice : base.RateNotice or None
        Limit that it names in each response.
    notice : base.ServerNotice
        What each response says about it.
    """

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.scripted_responses = []
        self.sent = []
        self.is_dead = False
        self.is_silent = False
        self.status = 200
        self.body = b"whole"
        self.body_failure = None
        self.delay_s = 0.0
        self.copy_delay_s = 0.2
        self.refuses_copies = False
        self.body_end = relays.BodyEnd.CHUNKS
        self.rate_notice = base.RateNotice()
        self.notice = base.ServerNotice()
        self.ends_at = None
        self.torn_bytes = 0
        self.stops_at_end = False
        self.keeps_runs = False
        self.responses = []
        self.stops = []
        self.stop_failure = None
        self.loses_stop_response = False
        self.has_no_room = False
        self.stop_delay_s = 0.01

    def on_body_end(self):
        if self.stops_at_end:
            self.is_dead = True

    async def send(self, call, options):
        self.sent.append((call, options))
        if self.is_dead:
            return result.Failure(NOT_SENT)
        if self.scripted_responses:
            scripted = self.scripted_responses.pop(0)
            if isinstance(scripted, base.AttemptFailure):
                return result.Failure(scripted)
            self.status = scripted
        await asyncio.sleep(self.delay_s)
        if self.status != 200 or options.urgency is None:
            return result.Success(FakeResponse(self, None, 0, self.status, self.body))
        return self.start(call, options)

    def start(self, call, options):
        run = self.fleet.runs.setdefault(call.request_id, Run(self.fleet.length))
        start = 1
        source = options.continuation
        if source is not None:
            key = (source.holder, source.copy_id)
            if key not in self.fleet.copies:
                return result.Failure(REFUSED)
            self.fleet.copies.discard(key)
            start = int(source.last_event_id or 0) + 1
        if options.backup_address is not None:
            self.fleet.copies.add((options.backup_address, call.request_id))
        run.add_owner(self)
        self.responses.append(FakeResponse(self, run, start))
        return result.Success(self.responses[-1])

    async def copy_memory(self, request_id, destination, timeout_s):
        if self.refuses_copies or self.is_dead:
            return result.Failure(REFUSED)
        await asyncio.sleep(self.copy_delay_s)
        if self.is_dead:
            return result.Failure(LOST)
        copy_id = f"copy-{request_id}"
        self.fleet.copies.add((f"{self.name}:80", copy_id))
        return result.Success(
            relays.MovedCopy(copy_id, self.fleet.runs[request_id].event_count)
        )

    async def stop_run(self, request_id, destination, timeout_s):
        self.stops.append(destination)
        if self.is_dead:
            return result.Failure(NOT_SENT)
        if self.stop_failure is not None:
            if self.stop_failure.kind is base.FailureKind.SILENT:
                await asyncio.sleep(timeout_s)
            return result.Failure(self.stop_failure)
        run = self.fleet.runs.get(request_id)
        if run is None or self not in run.owners or run.event_count == run.length:
            return result.Failure(NO_SUCH_RUN)
        for each in self.responses:
            if each.run is run:
                each.stop()
        await asyncio.sleep(self.stop_delay_s)
        if self.is_dead or self.loses_stop_response:
            return result.Failure(LOST)
        copy_id = f"copy-{request_id}"
        self.fleet.copies.add((f"{self.name}:80", copy_id))
        return result.Success(
            relays.MovedCopy(copy_id, run.event_count, not self.has_no_room)
        )

    async def drop_copy(self, copy_id, timeout_s):
        self.fleet.copies.discard((f"{self.name}:80", copy_id))

    async def wait_for_leaving_hint(self, wait_s):
        await asyncio.sleep(wait_s)
        return result.Success(False)

    async def is_leaving(self):
        return False

    async def check_health(self, timeout_s):
        return not self.is_dead

    async def responds(self, timeout_s):
        if self.is_silent:
            await asyncio.sleep(timeout_s)
        return not self.is_dead and not self.is_silent

    async def close(self): ...
