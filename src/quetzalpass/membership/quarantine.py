"""Requests that crash backend servers: suspects, and verdicts between gateways.

When a server dies, each request on it is a suspect, with a weight of one over their
number. A suspect runs again only alone among suspects. If a server dies under it a
second time it is refused for a time, whoever sends it. A suspect that completes, or
gets past the place in its output where it was at the death, is cleared. Nobody is
suspected where the platform had announced the end of the server or where the server
still answers.
"""

import asyncio

import logbook
import msgspec

from quetzalpass import ids
from quetzalpass.results import codes, failures

LOG = logbook.Logger("quarantine")

SUSPICION_S = 600.0
QUARANTINE_S = 600.0
REFUSAL_WEIGHT = 1.0
REFUSAL_DEATHS = 2
# Tokens past the place of a death that clear a request of it: a step that crashes the
# engine emits nothing, and the tokens of the step before have arrived.
CLEARING_TOKENS = 1
# Suspects start again at random within this time. Else a request that crashes servers
# would take the next one just when the innocents of the last one start there.
SPREAD_S = 1.0
MAX_RECORDS = 10_000
OTHER_COPY_POLL_S = 0.05
MS_PER_S = 1000


class Death(msgspec.Struct, frozen=True):
    """A server's death as it weighs on one request.

    Attributes
    ----------
    id : str
        Unique among all gateways.
    weight : float
        One over the number of requests that share the blame.
    place : int
        Tokens of the request's output that had been received.
    opened : bool
        Whether the server had begun to answer.
    """

    id: str
    weight: float
    place: int = 0
    opened: bool = False


class Flight(msgspec.Struct):
    """A request on a server; its owner keeps the fields up to date.

    Attributes
    ----------
    tokens : int
        Tokens of its output that have been received.
    opened : bool
        Whether the server has begun to answer.
    """

    fingerprint: str
    tokens: int = 0
    opened: bool = False


class Verdict(msgspec.Struct, frozen=True):
    """What one gateway holds against a request.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's body.
    deaths : tuple of Death
        Deaths that it was in.
    cleared : tuple of str
        Ids of deaths of which it has been cleared since.
    left_s : float
        For how long this still counts, in seconds.
    """

    fingerprint: str
    deaths: tuple[Death, ...]
    cleared: tuple[str, ...]
    left_s: float


class Verdicts(msgspec.Struct, frozen=True):
    """Verdicts that changed after a number; the peers merge them in any order.

    Attributes
    ----------
    sequence : int
        Number to ask with the next time.
    verdicts : tuple of Verdict
        The changed ones.
    """

    sequence: int
    verdicts: tuple[Verdict, ...]


class Record(msgspec.Struct):
    """What is held against one request."""

    deaths: dict[str, Death]
    cleared: set[str]
    expires_s: float
    sequence: int

    def refused(self) -> bool:
        """Return whether servers died under the request at one point repeatedly."""
        for opened in (False, True):
            weights = [
                each.weight for each in self.deaths.values() if each.opened is opened
            ]
            if len(weights) >= REFUSAL_DEATHS and sum(weights) >= REFUSAL_WEIGHT:
                return True
        return False


class Quarantine:
    """Suspects as one gateway knows them.

    Parameters
    ----------
    name : str
        Unique among gateways and their restarts; part of the ids of deaths.

    Attributes
    ----------
    records : dict of str to Record
        By fingerprint.
    flights : dict of ServerId to dict of RequestId to Flight
        The requests on each server.
    sequence : int
        Counted up with each change.
    changed : asyncio.Event
        Set with each change. Whoever spreads the verdicts clears it and tells the
        peers at once: a gateway that dies first takes what it saw with it.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.records: dict[str, Record] = {}
        self.flights: dict[ids.ServerId, dict[ids.RequestId, Flight]] = {}
        self.running: dict[str, int] = {}
        self.sequence = 0
        self.changed = asyncio.Event()
        self.deaths = 0

    def enter(
        self, server_id: ids.ServerId, request_id: ids.RequestId, fingerprint: str
    ) -> Flight:
        """Note that a request is on a server."""
        flight = Flight(fingerprint)
        self.flights.setdefault(server_id, {})[request_id] = flight
        self.running[fingerprint] = self.running.get(fingerprint, 0) + 1
        return flight

    def leave(self, server_id: ids.ServerId, request_id: ids.RequestId) -> None:
        """Note that a request has left a server."""
        flights = self.flights.get(server_id, {})
        flight = flights.pop(request_id, None)
        if flight is not None:
            self.end_run(flight.fingerprint)
        if not flights:
            self.flights.pop(server_id, None)

    def end_run(self, fingerprint: str) -> None:
        """Count one running copy of a request less."""
        self.running[fingerprint] -= 1
        if not self.running[fingerprint]:
            del self.running[fingerprint]

    def observe_death(self, server_id: ids.ServerId, request_id: ids.RequestId) -> None:
        """Hold a server's death against the requests on it.

        Parameters
        ----------
        server_id : ServerId
            The dead server.
        request_id : RequestId
            Request that found it dead. A death that was counted already is not
            counted again by the others that were on it.
        """
        if request_id not in self.flights.get(server_id, {}):
            return
        lost: dict[str, Flight] = {}
        for flight in self.flights.pop(server_id).values():
            lost[flight.fingerprint] = flight
            self.end_run(flight.fingerprint)
        known = [each for each in lost.values() if self.repeats(each)]
        blamed = known or list(lost.values())
        self.deaths += 1
        name = f"{self.name}/{self.deaths}"
        for flight in blamed:
            death = Death(name, 1 / len(blamed), flight.tokens, flight.opened)
            self.blame(flight.fingerprint, death)
        LOG.warning(
            "quarantine: Server {} died with {} requests, {} suspected before.",
            server_id,
            len(lost),
            len(known),
        )

    def repeats(self, flight: Flight) -> bool:
        """Return whether a suspect was again where a server died under it before."""
        if not self.is_suspect(flight.fingerprint):
            return False
        deaths = self.records[flight.fingerprint].deaths.values()
        return any(each.opened is flight.opened for each in deaths)

    def blame(self, fingerprint: str, death: Death) -> None:
        """Hold a death against a request."""
        record = self.record(fingerprint)
        if death.id in record.cleared:
            return
        record.deaths[death.id] = death
        time_s = QUARANTINE_S if record.refused() else SUSPICION_S
        self.touch(record, time_s)

    def record(self, fingerprint: str) -> Record:
        """Return the record of a request, made on first use."""
        self.expire()
        found = self.records.get(fingerprint)
        if found is None:
            if len(self.records) >= MAX_RECORDS:
                del self.records[next(iter(self.records))]
            found = self.records[fingerprint] = Record({}, set(), 0.0, 0)
        return found

    def touch(self, record: Record, time_s: float) -> None:
        """Note a change, to be sent to the peers."""
        now_s = asyncio.get_running_loop().time()
        record.expires_s = max(record.expires_s, now_s + time_s)
        self.sequence += 1
        record.sequence = self.sequence
        self.changed.set()

    def expire(self) -> None:
        """Forget what no longer counts."""
        now_s = asyncio.get_running_loop().time()
        expired = [
            fingerprint
            for fingerprint, record in self.records.items()
            if record.expires_s <= now_s
        ]
        for fingerprint in expired:
            del self.records[fingerprint]

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request may run only alone among suspects."""
        record = self.records.get(fingerprint)
        if record is None or not record.deaths:
            return False
        return record.expires_s > asyncio.get_running_loop().time()

    def refusal(self, fingerprint: str) -> failures.Failure | None:
        """Return why a request is refused, or ``None``."""
        if not self.is_suspect(fingerprint):
            return None
        record = self.records[fingerprint]
        if not record.refused():
            return None
        left_s = record.expires_s - asyncio.get_running_loop().time()
        return failures.Failure(
            codes.Code.QUARANTINED,
            f"backend servers died under this request {len(record.deaths)} times",
            retry_after_ms=int(left_s * MS_PER_S) + 1,
        )

    def clear(self, fingerprint: str, tokens: int | None) -> None:
        """Note that a suspect has run without harm; a refused one stays refused.

        Parameters
        ----------
        fingerprint : str
            The request.
        tokens : int or None
            How far it has got; ``None`` where it is complete.
        """
        record = self.records.get(fingerprint)
        if record is None or not record.deaths or record.refused():
            return
        passed = [
            each
            for each, death in record.deaths.items()
            if tokens is None or tokens >= death.place + CLEARING_TOKENS
        ]
        if not passed:
            return
        record.cleared.update(passed)
        for each in passed:
            del record.deaths[each]
        self.touch(record, SUSPICION_S)

    async def wait_for_other_copy(self, fingerprint: str, deadline_s: float) -> None:
        """Wait until no other copy of a suspect runs here."""
        loop = asyncio.get_running_loop()
        while self.is_suspect(fingerprint) and fingerprint in self.running:
            if loop.time() >= deadline_s or self.refusal(fingerprint):
                return
            await asyncio.sleep(OTHER_COPY_POLL_S)

    def verdicts_since(self, sequence: int) -> Verdicts:
        """Return what changed after a number; 0 asks for everything."""
        self.expire()
        now_s = asyncio.get_running_loop().time()
        changed = tuple(
            Verdict(
                fingerprint,
                tuple(record.deaths.values()),
                tuple(record.cleared),
                record.expires_s - now_s,
            )
            for fingerprint, record in self.records.items()
            if record.sequence > sequence
        )
        return Verdicts(self.sequence, changed)

    def merge(self, message: Verdicts) -> None:
        """Take in verdicts of a peer; the order and repeats do not matter."""
        for verdict in message.verdicts:
            record = self.record(verdict.fingerprint)
            deaths = {each.id: each for each in verdict.deaths}
            cleared = record.cleared | set(verdict.cleared)
            merged = {**deaths, **record.deaths}
            merged = {each: merged[each] for each in merged if each not in cleared}
            if merged == record.deaths and cleared == record.cleared:
                continue
            record.deaths = merged
            record.cleared = cleared
            self.touch(record, verdict.left_s)
