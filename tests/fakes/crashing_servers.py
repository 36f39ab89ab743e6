"""Fake backend servers that a marked request crashes, on a virtual clock."""

import asyncio

import msgspec
from returns import result

from fakes import relay_servers
from quetzalpass.backends import base, discovery, relays

CRASHING_BODY = b"crashes servers"
CONNECT_TIMEOUT_S = 0.25
CALL_S = 0.045
PREFILL_S = 0.3
# The list shows a change after this time, and a crashed server for some time.
LIST_LAG_S = 0.8
LISTED_AFTER_CRASH_S = 9.0
# More connection attempts at one instant than this mean a loop without a delay.
MAX_ATTEMPTS_AT_ONCE = 200
SPIN_PAUSE_S = 0.1

UNREACHABLE = relay_servers.NOT_SENT
MISDIRECTED = relay_servers.failure(
    base.AttemptEnd.REFUSED, base.FailureKind.REPLACED, "another server"
)


def crashes_servers(call):
    """Return whether a call crashes its server; what follows the mark may differ."""
    return call.body.startswith(CRASHING_BODY)


class Incarnation:
    """One start of the server at an address."""

    def __init__(self, server, started_s):
        self.server = server
        self.started_s = started_s
        self.crashed_s = None
        self.crashed = asyncio.Event()


class Address:
    """An address, and the servers that ran there one after the other."""

    def __init__(self, fleet, name, service, data_centre):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.incarnations = []
        self.is_cut_off = False
        self.is_leaving = False
        self.reuses_id = False
        self.start()

    @property
    def current(self):
        return self.incarnations[-1]

    @property
    def is_up(self):
        return self.current.crashed_s is None

    async def accepts_connection(self, timeout_s):
        """Return whether a connection opens; one that is dropped takes the timeout."""
        if self.is_up and not self.is_cut_off:
            return True
        if self.is_cut_off or self.fleet.is_silent:
            await asyncio.sleep(timeout_s)
        return False

    def start(self):
        now_s = asyncio.get_running_loop().time()
        number = 1 if self.reuses_id else len(self.incarnations) + 1
        server = relay_servers.discovered(
            f"{self.name}-{number}",
            self.service,
            self.data_centre,
            started_ms=1_000_000 + int(now_s * 1000),
        )
        server = msgspec.structs.replace(server, address=f"{self.name}:80")
        self.incarnations.append(Incarnation(server, now_s))

    def crash(self, downtime_s):
        loop = asyncio.get_running_loop()
        self.current.crashed_s = loop.time()
        self.current.crashed.set()
        loop.call_later(downtime_s, self.start)

    def listed(self, now_s):
        """Return the servers that the lagging list shows at this address."""
        shown = []
        for each in self.incarnations:
            is_early = each.started_s and now_s < each.started_s + LIST_LAG_S
            crashed_s = each.crashed_s
            is_removed = (
                crashed_s is not None
                and now_s > crashed_s + self.fleet.listed_after_crash_s
            )
            if not is_early and not is_removed:
                shown.append(each.server)
        if self.reuses_id:
            shown = shown[-1:]
        if self.is_leaving:
            state = discovery.ServerState.LEAVING
            return [msgspec.structs.replace(each, state=state) for each in shown]
        return shown


class CrashingFleet:
    """Servers that run requests, and crash when they begin to run the marked one.

    Attributes
    ----------
    is_silent : bool
        Whether crashed servers drop all packets instead of refusing connections.
    error_share : float
        Share of the requests that servers answer with an error without running them.
    crash_event : int or None
        Event of a stream after which the marked request crashes its server; ``None``
        for a crash before the response begins.
    crash_share : float
        If above 0, each event crashes its server with this probability instead.
    crash_delay_s : float
        Time for which the marked request runs before it crashes its server.
    listed_after_crash_s : float
        Time for which the list shows a server that has crashed.
    failing_remainder : int or None
        If set, every second marked request gets an error response and crashes nothing:
        those whose number has this remainder.
    unframed_services : frozenset of str
        Services whose responses have neither a length nor chunks: an orderly close at
        a crash looks like the end of the response.
    crash_times_s : list of float
        Loop times of the crashes.
    crashing_sends_s : list of float
        Loop times at which the marked request reached a server.
    max_attempts_at_once : int
        Most connection attempts at one instant.
    """

    def __init__(self, rng, downtime_s=3.0, is_silent=False, error_share=0.0):
        self.rng = rng
        self.downtime_s = downtime_s
        self.is_silent = is_silent
        self.error_share = error_share
        self.crash_event = None
        self.crash_share = 0.0
        self.crash_delay_s = 0.0
        self.failing_remainder = None
        self.unframed_services = frozenset()
        self.listed_after_crash_s = LISTED_AFTER_CRASH_S
        self.length = 60
        self.addresses = {}
        self.copies = set()
        self.crash_times_s = []
        self.crashing_sends_s = []
        self.connection_attempts = 0
        self.attempts_now = 0
        self.last_attempt_s = 0.0
        self.max_attempts_at_once = 0

    async def count_attempt(self):
        """Count a connection attempt; let the clock advance if there are too many."""
        now_s = asyncio.get_running_loop().time()
        self.connection_attempts += 1
        if now_s != self.last_attempt_s:
            self.last_attempt_s = now_s
            self.attempts_now = 0
        self.attempts_now += 1
        self.max_attempts_at_once = max(self.max_attempts_at_once, self.attempts_now)
        if self.attempts_now > MAX_ATTEMPTS_AT_ONCE:
            await asyncio.sleep(SPIN_PAUSE_S)

    def add(self, name, service, data_centre="flx-a"):
        address = Address(self, name, service, data_centre)
        self.addresses[name] = address

    def connect(self, server):
        name, _, _ = server.id.rpartition("-")
        return CrashingServer(self, self.addresses[name], server.id)

    def listed(self):
        now_s = asyncio.get_running_loop().time()
        return tuple(
            server
            for address in self.addresses.values()
            for server in address.listed(now_s)
        )

    @property
    def crashes_later(self):
        return bool(self.crash_event or self.crash_share)

    def crashes_at(self, event):
        """Return whether a server crashes before an event of the marked request."""
        if self.crash_share:
            return self.rng.random() < self.crash_share
        return event == self.crash_event

    def fails_this_time(self):
        """Return whether the marked request that has just arrived only fails."""
        return len(self.crashing_sends_s) % 2 == self.failing_remainder

    def crash(self, address):
        self.crash_times_s.append(asyncio.get_running_loop().time())
        address.crash(self.downtime_s)


class CrashingServer(relays.RelayServer):
    """Connection settings of one incarnation at an address."""

    def __init__(self, fleet, address, server_id):
        self.fleet = fleet
        self.address = address
        self.server_id = server_id

    async def connect(self):
        """Return whether a connection opens."""
        await self.fleet.count_attempt()
        return await self.address.accepts_connection(CONNECT_TIMEOUT_S)

    async def send(self, call, options):
        if not await self.connect():
            return result.Failure(UNREACHABLE)
        incarnation = self.address.current
        is_crashing = crashes_servers(call)
        if is_crashing:
            now_s = asyncio.get_running_loop().time()
            self.fleet.crashing_sends_s.append(now_s)
        if incarnation.server.id != self.server_id:
            return result.Failure(MISDIRECTED)
        if is_crashing and self.fleet.fails_this_time():
            return result.Success(FakeResponse(self, incarnation, call, status=500))
        if self.fleet.rng.random() < self.fleet.error_share:
            return result.Success(FakeResponse(self, incarnation, call, status=500))
        copy_key = (self.address.name, call.request_id)
        if options.continuation is not None and copy_key not in self.fleet.copies:
            return result.Failure(relay_servers.REFUSED)
        if options.backup_address is not None:
            holder, _, _ = options.backup_address.partition(":")
            self.fleet.copies.add((holder, call.request_id))
        response = FakeResponse(self, incarnation, call)
        if options.continuation is not None:
            response.next_event = int(options.continuation.last_event_id or 0) + 1
        if is_crashing and (options.urgency is None or not self.fleet.crashes_later):
            if self.fleet.crash_delay_s:
                failure = await response.wait(self.fleet.crash_delay_s)
                if failure is not None:
                    return failure
            if incarnation.crashed_s is None:
                self.fleet.crash(self.address)
            if self.address.service in self.fleet.unframed_services:
                return result.Success(response)
        is_stream = options.urgency is not None
        failure = await response.wait(PREFILL_S if is_stream else CALL_S)
        return result.Success(response) if failure is None else failure

    async def copy_memory(self, request_id, destination, timeout_s):
        return result.Failure(relay_servers.REFUSED)

    async def stop_run(self, request_id, destination, timeout_s):
        return result.Failure(relay_servers.REFUSED)

    async def drop_copy(self, copy_id, timeout_s): ...

    async def wait_for_leaving_hint(self, wait_s):
        await asyncio.sleep(wait_s)
        return result.Success(False)

    async def is_leaving(self):
        return False

    async def check_health(self, timeout_s):
        return await self.address.accepts_connection(timeout_s)

    async def responds(self, timeout_s):
        return await self.address.accepts_connection(timeout_s)

    async def close(self): ...


class FakeResponse(relays.RelayResponse):
    """A response that breaks off or falls silent when its server crashes."""

    def __init__(self, server, incarnation, call, status=200):
        self.server = server
        self.fleet = server.fleet
        self.incarnation = incarnation
        self.call = call
        self.next_event = 1
        self.closed = asyncio.Event()
        body_end = relays.BodyEnd.LENGTH
        if server.address.service in server.fleet.unframed_services:
            body_end = relays.BodyEnd.CLOSE
        self.head = relays.ResponseHead(
            status, relay_servers.HEADERS, body_end=body_end
        )

    async def wait(self, seconds):
        """Wait while the server works; return the failure if it crashes meanwhile."""
        try:
            async with asyncio.timeout(seconds):
                await self.incarnation.crashed.wait()
        except TimeoutError:
            if self.server.address.is_cut_off:
                await self.closed.wait()
            return result.Failure(relay_servers.LOST) if self.closed.is_set() else None
        if self.fleet.is_silent:
            await self.closed.wait()
        return result.Failure(relay_servers.LOST)

    def end_after_crash(self):
        """Return what a gateway reads after its server has crashed inside the body."""
        if self.head.body_end is relays.BodyEnd.CLOSE:
            return result.Success(b"")
        return result.Failure(relay_servers.LOST)

    async def read_body(self):
        if self.incarnation.crashed.is_set() and not self.fleet.is_silent:
            return self.end_after_crash()
        return result.Success(b"whole")

    async def next_chunk(self):
        failure = await self.wait(relay_servers.STEP_S)
        if failure is not None:
            return failure
        if self.next_event > self.fleet.length:
            return result.Success(b"")
        number = self.next_event
        self.next_event += 1
        is_crashing = crashes_servers(self.call)
        if is_crashing and self.fleet.crashes_at(number):
            self.fleet.crash(self.server.address)
            if self.fleet.is_silent:
                return await self.wait(relay_servers.STEP_S)
            return self.end_after_crash()
        return result.Success(relay_servers.event(number))

    def close(self):
        self.closed.set()


class LaggingList(discovery.ServerSource):
    """The list of a fleet's servers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.is_down = False

    async def list_servers(self, timeout_s):
        return result.Success(self.fleet.listed())

    async def read(self, timeout_s):
        return None if self.is_down else self.fleet.listed()

    async def close(self): ...
