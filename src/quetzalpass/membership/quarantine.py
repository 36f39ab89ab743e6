"""Finds requests that crash backend servers, and shares suspects between gateways.

When a server crashes, each request that was running on it becomes a suspect. The crash
counts against those that other servers crashed under too, or else against all of them,
by a weight of one over their number. A suspect runs again only where no other suspect
runs. If servers crash under it repeatedly, it is refused for a time, whoever sends it.
A suspect is cleared when it completes or when its output passes the offset that it had
reached at the crash. No request is suspected if the platform had announced the end of
the server or if the server still responds.

Several gateways may have requests on a server that crashes. Their reports name the same
start of the server, so that together they count as one crash.
"""

import asyncio

import logbook

from quetzalpass import event_log, ids
from quetzalpass.membership import (
    crash_weights,
    in_flight_requests,
    part_reports,
    part_suspects,
    suspect_records,
    suspect_reports,
    unexplained_losses,
)
from quetzalpass.results import codes, failures

LOG = logbook.Logger("quarantine")

SUSPECT_LIFETIME_S = 600.0
QUARANTINE_S = 600.0
# Tokens beyond the output offset at the crash that clear a request: a step that crashes
# the engine emits nothing, and the tokens of the step before it have arrived.
CLEARING_TOKENS = 1
# Suspects restart after a random delay of up to this time. Otherwise a request that
# crashes servers would crash the next one just as the unrelated requests from the last
# one restart there.
RESTART_JITTER_S = 1.0
MAX_RECORDS = 10_000
# Enough to tell apart the requests of a few crashes, in every report to the peers.
CAUSE_FINGERPRINT_LENGTH = 16
OTHER_COPY_POLL_S = 0.05
MS_PER_S = 1000


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
    suspects_by_crash : dict of str to set of str
        Fingerprints to which each crash is attributed, by the crash's event key.
    weights : crash_weights.CrashWeights
        How much the crashes count against each request.
    parts : part_suspects.PartSuspects
        Parts of prompts that crash servers in different requests.
    losses : unexplained_losses.UnexplainedLosses
        Requests that were lost on servers that may have crashed.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.records: dict[str, suspect_records.SuspectRecord] = {}
        self.in_flight: dict[
            ids.ServerId, dict[ids.RequestId, in_flight_requests.InFlightRequest]
        ] = {}
        self.running_copies: dict[str, int] = {}
        self.sequence = 0
        self.changed = asyncio.Event()
        self.crash_count = 0
        self.suspects_by_crash: dict[str, set[str]] = {}
        self.weights = crash_weights.CrashWeights(self.records, self.suspects_by_crash)
        self.parts = part_suspects.PartSuspects(name)
        self.losses = unexplained_losses.UnexplainedLosses()

    def add_request(
        self,
        server_id: ids.ServerId,
        request_id: ids.RequestId,
        fingerprint: str,
        parts: tuple[ids.PromptPartId, ...] = (),
    ) -> in_flight_requests.InFlightRequest:
        """Record that a request starts to run on a server."""
        now_s = asyncio.get_running_loop().time()
        request = in_flight_requests.InFlightRequest(
            fingerprint, sent_s=now_s, parts=parts
        )
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

    def record_crash(
        self,
        server_id: ids.ServerId,
        request_id: ids.RequestId,
        server_start: str = "",
    ) -> None:
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
        server_start : str
            The start of the server that has ended; empty if unknown.
        """
        if request_id not in self.in_flight.get(server_id, {}):
            return
        requests = self.in_flight.pop(server_id).values()
        for request in requests:
            self.remove_running_copy(request.fingerprint)
        self.attribute_to_requests(server_id, list(requests), server_start)

    def attribute_to_requests(
        self,
        server_id: ids.ServerId,
        requests: list[in_flight_requests.InFlightRequest],
        server_start: str,
    ) -> None:
        """Attribute a server's crash to given requests, which ran on it."""
        self.losses.explain(server_start)
        lost = {each.fingerprint: each for each in requests}
        known = [each for each in lost.values() if self.is_repeated_crash(each)]
        attributed = known or list(lost.values())
        self.crash_count += 1
        crash_id = f"{self.name}/{self.crash_count}"
        for request in attributed:
            crash = suspect_reports.ServerCrash(
                crash_id,
                1 / len(attributed),
                request.tokens,
                request.opened,
                server_start,
            )
            self.attribute_crash(request.fingerprint, crash)
        self.attribute_to_parts(crash_id, server_id, server_start, requests)
        LOG.warning(
            "quarantine: Server {} crashed with {} requests, {} already suspects.",
            server_id,
            len(lost),
            len(known),
        )

    def attribute_to_parts(
        self,
        crash_id: str,
        server_id: ids.ServerId,
        server_start: str,
        requests: list[in_flight_requests.InFlightRequest],
    ) -> None:
        """Attribute a crash to the prompts of the requests that may have caused it."""
        causes = [
            part_reports.PossibleCause(
                each.fingerprint[:CAUSE_FINGERPRINT_LENGTH], each.parts
            )
            for each in requests
            if not each.is_settled()
        ]
        self.parts.record_crash(crash_id, server_id, server_start, causes)
        self.changed.set()

    def is_repeated_crash(self, request: in_flight_requests.InFlightRequest) -> bool:
        """Return whether a request already has a crash at its present stage."""
        if not self.is_suspect(request.fingerprint):
            return False
        crashes = self.records[request.fingerprint].crashes.values()
        return any(each.opened is request.opened for each in crashes)

    def attribute_crash(
        self, fingerprint: str, crash: suspect_reports.ServerCrash
    ) -> None:
        """Attribute a crash to a request."""
        record = self.get_or_create_record(fingerprint)
        if crash.id in record.cleared:
            return
        self.set_crashes(fingerprint, record, {**record.crashes, crash.id: crash})
        is_refused = self.weights.is_refused(fingerprint)
        self.mark_changed(record, QUARANTINE_S if is_refused else SUSPECT_LIFETIME_S)
        self.log_change(fingerprint, suspect_reports.SuspectChange.ATTRIBUTED)

    def set_crashes(
        self,
        fingerprint: str,
        record: suspect_records.SuspectRecord,
        crashes: dict[str, suspect_reports.ServerCrash],
    ) -> None:
        """Replace the crashes of a record, and update the index by crash."""
        for crash in record.crashes.values():
            fingerprints = self.suspects_by_crash.get(crash.event_key, set())
            fingerprints.discard(fingerprint)
            if not fingerprints:
                self.suspects_by_crash.pop(crash.event_key, None)
        record.crashes = crashes
        for crash in crashes.values():
            self.suspects_by_crash.setdefault(crash.event_key, set()).add(fingerprint)

    def remove_record(self, fingerprint: str) -> None:
        """Remove what is known about a request."""
        self.set_crashes(fingerprint, self.records[fingerprint], {})
        del self.records[fingerprint]

    def get_or_create_record(self, fingerprint: str) -> suspect_records.SuspectRecord:
        """Return the record of a request, which is created if there is none.

        Reports have thousands of records, so this doesn't go over all of them.
        """
        found = self.records.get(fingerprint)
        if found is not None and self.is_expired(found):
            self.remove_record(fingerprint)
            found = None
        if found is None:
            if len(self.records) >= MAX_RECORDS:
                self.remove_record(next(iter(self.records)))
            found = self.records[fingerprint] = suspect_records.SuspectRecord(
                {}, set(), 0.0, 0
            )
        return found

    def mark_changed(
        self, record: suspect_records.SuspectRecord, lifetime_s: float
    ) -> None:
        """Mark a record as changed, so that it is sent to the peers."""
        now_s = asyncio.get_running_loop().time()
        record.expires_s = max(record.expires_s, now_s + lifetime_s)
        self.sequence += 1
        record.sequence = self.sequence
        self.changed.set()

    def expire(self) -> None:
        """Remove expired records."""
        expired = [
            fingerprint
            for fingerprint, record in self.records.items()
            if self.is_expired(record)
        ]
        for fingerprint in expired:
            self.remove_record(fingerprint)

    def is_expired(self, record: suspect_records.SuspectRecord) -> bool:
        """Return whether what is known about a request is too old."""
        return record.expires_s <= asyncio.get_running_loop().time()

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

    def refusal_of_request(
        self,
        fingerprint: str,
        parts: tuple[ids.PromptPartId, ...],
        request_id: ids.RequestId,
    ) -> failures.Failure | None:
        """Return why a request is refused, for itself or its prompt, or ``None``."""
        refusal = self.refusal(fingerprint)
        return refusal or self.parts.refusal(parts, request_id)

    def refusal(self, fingerprint: str) -> failures.Failure | None:
        """Return why a request is refused for its own crashes, or ``None``."""
        is_suspect = self.is_suspect(fingerprint)
        if not is_suspect or not self.weights.is_refused(fingerprint):
            return self.refusal_for_losses(fingerprint, is_suspect)
        record = self.records[fingerprint]
        left_s = record.expires_s - asyncio.get_running_loop().time()
        return failures.Failure(
            codes.Code.QUARANTINED,
            f"backend servers crashed {len(record.crashes)} times under this request",
            retry_after_ms=int(left_s * MS_PER_S) + 1,
        )

    def refusal_for_losses(
        self, fingerprint: str, is_suspect: bool
    ) -> failures.Failure | None:
        """Return why a request is refused for losses without an explanation."""
        held_back_s = self.losses.held_back_s(fingerprint, is_suspect)
        if held_back_s <= 0.0:
            return None
        return failures.Failure(
            codes.Code.QUARANTINED,
            "this request was lost in several data centres; its servers are checked",
            retry_after_ms=int(held_back_s * MS_PER_S) + 1,
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
        if tokens is None:
            self.losses.remove(fingerprint)
        record = self.records.get(fingerprint)
        if record is None or not record.crashes or self.weights.is_refused(fingerprint):
            return
        passed = {
            each
            for each, crash in record.crashes.items()
            if tokens is None or self.has_passed(crash, tokens)
        }
        if not passed:
            return
        self.remove_crashes(fingerprint, record, passed)
        self.log_change(fingerprint, suspect_reports.SuspectChange.CLEARED)

    def has_passed(self, crash: suspect_reports.ServerCrash, tokens: int) -> bool:
        """Return whether output beyond the place of a crash clears a request of it.

        A request that was alone on the server may crash the next one at another place,
        so only a complete run clears it.
        """
        is_shared = crash.weight < 1.0
        return is_shared and tokens >= crash.place + CLEARING_TOKENS

    def withdraw(self, server_start: str) -> None:
        """Withdraw the crash of a server that has proved to run still."""
        self.parts.withdraw(server_start)
        for fingerprint in list(self.suspects_by_crash.get(server_start, ())):
            record = self.records[fingerprint]
            withdrawn = {
                each.id
                for each in record.crashes.values()
                if each.server_start == server_start
            }
            self.remove_crashes(fingerprint, record, withdrawn)
            self.log_change(fingerprint, suspect_reports.SuspectChange.WITHDRAWN)

    def remove_crashes(
        self,
        fingerprint: str,
        record: suspect_records.SuspectRecord,
        crash_ids: set[str],
    ) -> None:
        """Remove crashes from a record, for the peers too."""
        left = {
            each: crash
            for each, crash in record.crashes.items()
            if each not in crash_ids
        }
        self.set_crashes(fingerprint, record, left)
        record.cleared.update(crash_ids)
        self.mark_changed(record, SUSPECT_LIFETIME_S)

    def has_other_copy(self, fingerprint: str) -> bool:
        """Return whether a copy of a suspect runs here that may crash its server.

        A copy whose output has passed the places of all crashes is not waited for.
        """
        if fingerprint not in self.running_copies:
            return False
        if not self.is_suspect(fingerprint) and fingerprint not in self.losses:
            return False
        last_place = self.last_crash_place(fingerprint)
        return any(
            each.fingerprint == fingerprint and each.tokens <= last_place
            for requests in self.in_flight.values()
            for each in requests.values()
        )

    def last_crash_place(self, fingerprint: str) -> int:
        """Return the furthest output at which a server crashed under a request."""
        if not self.is_suspect(fingerprint):
            return 0
        crashes = self.records[fingerprint].crashes.values()
        return max(each.place for each in crashes)

    def servers_to_avoid(self, fingerprint: str) -> frozenset[ids.ServerId]:
        """Return the servers on which a suspect would run beside another suspect."""
        if not self.is_suspect(fingerprint):
            return frozenset()
        return frozenset(
            server_id
            for server_id, requests in self.in_flight.items()
            if any(
                each.fingerprint != fingerprint and self.is_suspect(each.fingerprint)
                for each in requests.values()
            )
        )

    async def wait_for_other_copy(self, fingerprint: str, deadline_s: float) -> None:
        """Wait until no other copy of a suspect runs here, or until it is refused."""
        loop = asyncio.get_running_loop()
        while self.has_other_copy(fingerprint):
            if loop.time() >= deadline_s or self.refusal(fingerprint):
                return
            await asyncio.sleep(OTHER_COPY_POLL_S)

    def suspect_reports_since(self, sequence: int) -> suspect_reports.SuspectReports:
        """Return the reports that changed after a sequence number; 0 for all."""
        self.expire()
        now_s = asyncio.get_running_loop().time()
        changed = tuple(
            suspect_reports.SuspectReport(
                fingerprint,
                tuple(record.crashes.values()),
                tuple(record.cleared),
                record.expires_s - now_s,
            )
            for fingerprint, record in self.records.items()
            if record.sequence > sequence
        )
        return suspect_reports.SuspectReports(
            self.sequence, changed, self.parts.reports()
        )

    def merge(self, message: suspect_reports.SuspectReports) -> None:
        """Merge reports of a peer; their order and duplicates don't matter."""
        if self.parts.merge(message.parts):
            self.changed.set()
        self.expire()
        for report in message.verdicts:
            record = self.get_or_create_record(report.fingerprint)
            crashes = {each.id: each for each in report.deaths}
            cleared = record.cleared | set(report.cleared)
            merged = {**crashes, **record.crashes}
            merged = {each: merged[each] for each in merged if each not in cleared}
            if merged == record.crashes and cleared == record.cleared:
                continue
            self.set_crashes(report.fingerprint, record, merged)
            record.cleared = cleared
            self.mark_changed(record, report.left_s)
            self.log_change(report.fingerprint, suspect_reports.SuspectChange.MERGED)

    def log_change(
        self, fingerprint: str, change: suspect_reports.SuspectChange
    ) -> None:
        """Log what is known about a suspect after a change."""
        crashes = tuple(self.records[fingerprint].crashes)
        event = suspect_reports.SuspectEvent(
            fingerprint, change, crashes, self.weights.is_refused(fingerprint)
        )
        event_log.record(event, event_log.Level.NOTICE)
