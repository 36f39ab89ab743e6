"""Finds requests that crash backend servers, and shares suspects between gateways.

When a server crashes, each request that was running on it becomes a suspect with a
weight of one over their number. A suspect runs again only where no other suspect runs.
If a server crashes under it a second time, it is refused for a time, whoever sends it.
A suspect is cleared when it completes or when its output passes the offset that it had
reached at the crash. No request is suspected if the platform had announced the end of
the server or if the server still responds.
"""

import asyncio
import enum

import logbook
import msgspec

from quetzalpass import event_log, ids
from quetzalpass.results import codes, failures

LOG = logbook.Logger("quarantine")

SUSPECT_LIFETIME_S = 600.0
QUARANTINE_S = 600.0
REFUSAL_WEIGHT = 1.0
REFUSAL_CRASHES = 2
# Tokens beyond the output offset at the crash that clear a request: a step that crashes
# the engine emits nothing, and the tokens of the step before it have arrived.
CLEARING_TOKENS = 1
# Suspects restart after a random delay of up to this time. Otherwise a request that
# crashes servers would crash the next one just as the unrelated requests from the last
# one restart there.
RESTART_JITTER_S = 1.0
MAX_RECORDS = 10_000
OTHER_COPY_POLL_S = 0.05
MS_PER_S = 1000


class SuspectChange(enum.Enum):
    """Why the crashes that are attributed to a request have changed."""

    ATTRIBUTED = "attributed"
    CLEARED = "cleared"
    MERGED = "merged"


class SuspectEvent(event_log.Event, frozen=True, tag="suspect"):
    """Log event for a change of what is known about a suspect.

    Attributes
    ----------
    fingerprint : str
        The request; all its copies share it.
    change : SuspectChange
        Cause of the change.
    crashes : tuple of str
        Ids of the crashes that are attributed to it now.
    refused : bool
        Whether it is refused now.
    """

    fingerprint: str
    change: SuspectChange
    crashes: tuple[str, ...]
    refused: bool


class ServerCrash(msgspec.Struct, frozen=True):
    """One crash of a server, as it counts against one request.

    Attributes
    ----------
    id : str
        Unique among all gateways.
    weight : float
        One over the number of requests that the crash is attributed to.
    place : int
        Tokens of the request's output that had been received.
    opened : bool
        Whether the server had begun to respond.
    """

    id: str
    weight: float
    place: int = 0
    opened: bool = False


class InFlightRequest(msgspec.Struct):
    """A request that runs on a server; its owner keeps the fields up to date.

    Attributes
    ----------
    tokens : int
        Tokens of its output that have been received.
    opened : bool
        Whether the server has begun to respond.
    """

    fingerprint: str
    tokens: int = 0
    opened: bool = False


class SuspectReport(msgspec.Struct, frozen=True):
    """What one gateway knows about a suspected request.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's body.
    deaths : tuple of ServerCrash
        Crashes that are attributed to it.
    cleared : tuple of str
        Ids of crashes that it has been cleared of since.
    left_s : float
        How long this remains valid, in seconds.
    """

    fingerprint: str
    deaths: tuple[ServerCrash, ...]
    cleared: tuple[str, ...]
    left_s: float


class SuspectReports(msgspec.Struct, frozen=True):
    """Reports that changed after a sequence number; peers merge them in any order.

    Attributes
    ----------
    sequence : int
        Number to pass to the next query.
    verdicts : tuple of SuspectReport
        The changed reports.
    """

    sequence: int
    verdicts: tuple[SuspectReport, ...]


class SuspectRecord(msgspec.Struct):
    """Crashes that are attributed to one request here, by id."""

    crashes: dict[str, ServerCrash]
    cleared: set[str]
    expires_s: float
    sequence: int

    def is_refused(self) -> bool:
        """Return whether servers crashed repeatedly at one stage of the request.

        The stages are before and after the server begins to respond.
        """
        for opened in (False, True):
            weights = [
                each.weight for each in self.crashes.values() if each.opened is opened
            ]
            if len(weights) >= REFUSAL_CRASHES and sum(weights) >= REFUSAL_WEIGHT:
                return True
        return False


class Quarantine:
    """Tracks in-flight requests and suspects of one gateway or control node.

    Parameters
    ----------
    name : str
        Unique among gateways and their restarts; part of the ids of crashes.

    Attributes
    ----------
    records : dict of str to SuspectRecord
        By fingerprint.
    in_flight : dict of ServerId to dict of RequestId to InFlightRequest
        The requests on each server.
    running_copies : dict of str to int
        Number of copies of a request that run now, by fingerprint.
    sequence : int
        Incremented at each change.
    changed : asyncio.Event
        Set at each change. Whoever sends the reports clears it and sends them to the
        peers at once: if this gateway crashes first, what it observed is lost.
    crash_count : int
        Crashes recorded by this gateway.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.records: dict[str, SuspectRecord] = {}
        self.in_flight: dict[ids.ServerId, dict[ids.RequestId, InFlightRequest]] = {}
        self.running_copies: dict[str, int] = {}
        self.sequence = 0
        self.changed = asyncio.Event()
        self.crash_count = 0

    def add_request(
        self, server_id: ids.ServerId, request_id: ids.RequestId, fingerprint: str
    ) -> InFlightRequest:
        """Record that a request starts to run on a server."""
        request = InFlightRequest(fingerprint)
        self.in_flight.setdefault(server_id, {})[request_id] = request
        self.running_copies[fingerprint] = self.running_copies.get(fingerprint, 0) + 1
        return request

    def remove_request(
        self, server_id: ids.ServerId, request_id: ids.RequestId
    ) -> None:
        """Record that a request no longer runs on a server."""
        in_flight = self.in_flight.get(server_id, {})
        request = in_flight.pop(request_id, None)
        if request is not None:
            self.remove_running_copy(request.fingerprint)
        if not in_flight:
            self.in_flight.pop(server_id, None)

    def remove_running_copy(self, fingerprint: str) -> None:
        """Decrement the number of running copies of a request."""
        self.running_copies[fingerprint] -= 1
        if not self.running_copies[fingerprint]:
            del self.running_copies[fingerprint]

    def record_crash(self, server_id: ids.ServerId, request_id: ids.RequestId) -> None:
        """Attribute a server's crash to the requests on it.

        If some of them were suspects already and the server crashed at the same stage
        as before, the crash is attributed to these alone.

        Parameters
        ----------
        server_id : ServerId
            The crashed server.
        request_id : RequestId
            Request that detected the crash. The other requests on the server may report
            it too, but it is counted only once.
        """
        if request_id not in self.in_flight.get(server_id, {}):
            return
        lost: dict[str, InFlightRequest] = {}
        for request in self.in_flight.pop(server_id).values():
            lost[request.fingerprint] = request
            self.remove_running_copy(request.fingerprint)
        known = [each for each in lost.values() if self.is_repeated_crash(each)]
        attributed = known or list(lost.values())
        self.crash_count += 1
        crash_id = f"{self.name}/{self.crash_count}"
        for request in attributed:
            crash = ServerCrash(
                crash_id, 1 / len(attributed), request.tokens, request.opened
            )
            self.attribute_crash(request.fingerprint, crash)
        LOG.warning(
            "quarantine: Server {} crashed with {} requests, {} already suspects.",
            server_id,
            len(lost),
            len(known),
        )

    def is_repeated_crash(self, request: InFlightRequest) -> bool:
        """Return whether a request already has a crash at its present stage."""
        if not self.is_suspect(request.fingerprint):
            return False
        crashes = self.records[request.fingerprint].crashes.values()
        return any(each.opened is request.opened for each in crashes)

    def attribute_crash(self, fingerprint: str, crash: ServerCrash) -> None:
        """Attribute a crash to a request."""
        record = self.get_or_create_record(fingerprint)
        if crash.id in record.cleared:
            return
        record.crashes[crash.id] = crash
        lifetime_s = QUARANTINE_S if record.is_refused() else SUSPECT_LIFETIME_S
        self.mark_changed(record, lifetime_s)
        log_change(fingerprint, SuspectChange.ATTRIBUTED, record)

    def get_or_create_record(self, fingerprint: str) -> SuspectRecord:
        """Return the record of a request, which is created if there is none."""
        self.expire()
        found = self.records.get(fingerprint)
        if found is None:
            if len(self.records) >= MAX_RECORDS:
                del self.records[next(iter(self.records))]
            found = self.records[fingerprint] = SuspectRecord({}, set(), 0.0, 0)
        return found

    def mark_changed(self, record: SuspectRecord, lifetime_s: float) -> None:
        """Mark a record as changed, so that it is sent to the peers."""
        now_s = asyncio.get_running_loop().time()
        record.expires_s = max(record.expires_s, now_s + lifetime_s)
        self.sequence += 1
        record.sequence = self.sequence
        self.changed.set()

    def expire(self) -> None:
        """Remove expired records."""
        now_s = asyncio.get_running_loop().time()
        expired = [
            fingerprint
            for fingerprint, record in self.records.items()
            if record.expires_s <= now_s
        ]
        for fingerprint in expired:
            del self.records[fingerprint]

    def crash_count_of(self, fingerprint: str) -> int:
        """Return the number of crashes that are attributed to a request."""
        record = self.records.get(fingerprint)
        return len(record.crashes) if record is not None else 0

    def refused_count(self) -> int:
        """Return the number of requests that are refused."""
        return sum(self.refusal(each) is not None for each in self.records)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request is a suspect, which may not run beside another."""
        record = self.records.get(fingerprint)
        if record is None or not record.crashes:
            return False
        return record.expires_s > asyncio.get_running_loop().time()

    def refusal(self, fingerprint: str) -> failures.Failure | None:
        """Return why a request is refused, or ``None``."""
        if not self.is_suspect(fingerprint):
            return None
        record = self.records[fingerprint]
        if not record.is_refused():
            return None
        left_s = record.expires_s - asyncio.get_running_loop().time()
        return failures.Failure(
            codes.Code.QUARANTINED,
            f"backend servers crashed {len(record.crashes)} times under this request",
            retry_after_ms=int(left_s * MS_PER_S) + 1,
        )

    def clear(self, fingerprint: str, tokens: int | None) -> None:
        """Clear a suspect that has run without a crash; a refused one stays refused.

        Parameters
        ----------
        fingerprint : str
            The request.
        tokens : int or None
            Output tokens so far; ``None`` if it is complete.
        """
        record = self.records.get(fingerprint)
        if record is None or not record.crashes or record.is_refused():
            return
        passed = [
            each
            for each, crash in record.crashes.items()
            if tokens is None or tokens >= crash.place + CLEARING_TOKENS
        ]
        if not passed:
            return
        record.cleared.update(passed)
        for each in passed:
            del record.crashes[each]
        self.mark_changed(record, SUSPECT_LIFETIME_S)
        log_change(fingerprint, SuspectChange.CLEARED, record)

    async def wait_for_other_copy(self, fingerprint: str, deadline_s: float) -> None:
        """Wait until no other copy of a suspect runs here, or until it is refused."""
        loop = asyncio.get_running_loop()
        while self.is_suspect(fingerprint) and fingerprint in self.running_copies:
            if loop.time() >= deadline_s or self.refusal(fingerprint):
                return
            await asyncio.sleep(OTHER_COPY_POLL_S)

    def suspect_reports_since(self, sequence: int) -> SuspectReports:
        """Return the reports that changed after a sequence number; 0 for all."""
        self.expire()
        now_s = asyncio.get_running_loop().time()
        changed = tuple(
            SuspectReport(
                fingerprint,
                tuple(record.crashes.values()),
                tuple(record.cleared),
                record.expires_s - now_s,
            )
            for fingerprint, record in self.records.items()
            if record.sequence > sequence
        )
        return SuspectReports(self.sequence, changed)

    def merge(self, message: SuspectReports) -> None:
        """Merge reports of a peer; their order and duplicates don't matter."""
        for report in message.verdicts:
            record = self.get_or_create_record(report.fingerprint)
            crashes = {each.id: each for each in report.deaths}
            cleared = record.cleared | set(report.cleared)
            merged = {**crashes, **record.crashes}
            merged = {each: merged[each] for each in merged if each not in cleared}
            if merged == record.crashes and cleared == record.cleared:
                continue
            record.crashes = merged
            record.cleared = cleared
            self.mark_changed(record, report.left_s)
            log_change(report.fingerprint, SuspectChange.MERGED, record)


def log_change(fingerprint: str, change: SuspectChange, record: SuspectRecord) -> None:
    """Log what is known about a suspect after a change."""
    event = SuspectEvent(
        fingerprint, change, tuple(record.crashes), record.is_refused()
    )
    event_log.record(event, event_log.Level.NOTICE)
