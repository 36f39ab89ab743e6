"""Fake backend servers whose answers are relayed, on the virtual clock."""

import asyncio

from returns import result

from quetzalpass import ids
from quetzalpass.backends import base, relays
from quetzalpass.membership import discovery

STEP_S = 0.03
HEADERS = (relays.Header("Signature", "s"),)


def failure(end, kind=base.FailureKind.CLOSED, message="broken"):
    return base.AttemptFailure(end, kind, message)


REFUSED = failure(base.AttemptEnd.REFUSED, base.FailureKind.OVERLOADED, "full")
LOST = failure(base.AttemptEnd.MAY_HAVE_RUN)
NOT_SENT = failure(base.AttemptEnd.NOT_SENT, base.FailureKind.UNREACHABLE, "no way")


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
    """One generation: its events so far, and where it runs."""

    def __init__(self, length):
        self.length = length
        self.made = 0
        self.owners = []


class Fleet:
    """Servers by name, with the runs and copies that they share."""

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


class FakeAnswer(relays.RelayAnswer):
    def __init__(self, server, run, start, status=200, body=b""):
        self.server = server
        self.run = run
        self.next = start
        self.body = body
        self.is_closed = False
        self.closed = asyncio.Event()
        self.head = relays.AnswerHead(status, HEADERS)

    async def read_body(self):
        if self.server.body_failure is not None:
            return result.Failure(self.server.body_failure)
        return result.Success(self.body)

    async def next_chunk(self):
        if self.server.is_mute:
            await self.closed.wait()
        if self.is_closed or self.server.is_dead:
            return result.Failure(LOST)
        if self.next > self.run.length:
            return result.Success(b"")
        try:
            async with asyncio.timeout(STEP_S):
                await self.closed.wait()
        except TimeoutError:
            pass
        if self.is_closed or self.server.is_dead:
            return result.Failure(LOST)
        number = self.next
        self.next += 1
        self.run.made = max(self.run.made, number)
        return result.Success(event(number))

    def close(self):
        self.is_closed = True
        self.closed.set()
        if self.run is not None and self.server in self.run.owners:
            self.run.owners.remove(self.server)


class FakeServer(relays.RelayServer):
    """Answers with a stream, or with a status."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.answers = []
        self.sent = []
        self.is_dead = False
        self.is_mute = False
        self.status = 200
        self.body = b"whole"
        self.body_failure = None
        self.delay_s = 0.0
        self.move_s = 0.2
        self.refuses_moves = False

    async def send(self, call, options):
        self.sent.append((call, options))
        if self.is_dead:
            return result.Failure(NOT_SENT)
        if self.answers:
            scripted = self.answers.pop(0)
            if isinstance(scripted, base.AttemptFailure):
                return result.Failure(scripted)
            self.status = scripted
        await asyncio.sleep(self.delay_s)
        if self.status != 200 or options.urgency is None:
            return result.Success(FakeAnswer(self, None, 0, self.status, self.body))
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
        run.owners.append(self)
        return result.Success(FakeAnswer(self, run, start))

    async def copy_memory(self, request_id, destination, timeout_s):
        if self.refuses_moves or self.is_dead:
            return result.Failure(REFUSED)
        await asyncio.sleep(self.move_s)
        if self.is_dead:
            return result.Failure(LOST)
        copy_id = f"copy-{request_id}"
        self.fleet.copies.add((f"{self.name}:80", copy_id))
        return result.Success(
            relays.MovedCopy(copy_id, self.fleet.runs[request_id].made)
        )

    async def drop_copy(self, copy_id, timeout_s):
        self.fleet.copies.discard((f"{self.name}:80", copy_id))

    async def hints_leaving(self, wait_s):
        await asyncio.sleep(wait_s)
        return result.Success(False)

    async def is_leaving(self):
        return False

    async def check_health(self, timeout_s):
        return not self.is_dead

    async def close(self): ...
