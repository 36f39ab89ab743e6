"""Claims of non-idempotent requests, as a gateway makes them."""

import abc
import hashlib
import time

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.control import ledger, proposers
from quetzalpass.declarations import schema
from quetzalpass.results import codes, failures

MS_PER_S = 1000


class Ledger(abc.ABC):
    """Grants each non-idempotent request at most one attempt at a time."""

    @abc.abstractmethod
    async def claim(
        self, key: ledger.ClaimKey, fingerprint: str
    ) -> result.Result[ledger.ClaimAnswer, failures.Failure]:
        """Claim a request before its first byte goes out."""

    @abc.abstractmethod
    async def release(self, key: ledger.ClaimKey, attempt: int) -> None:
        """Give back a claim whose attempt provably did not run."""

    @abc.abstractmethod
    async def record(
        self, key: ledger.ClaimKey, attempt: int, outcome: ledger.Outcome | None
    ) -> None:
        """Record an outcome, or ``None`` where it is not known."""


class NoLedger(Ledger):
    """Refuses every claim: no group has been opened."""

    async def claim(
        self, key: ledger.ClaimKey, fingerprint: str
    ) -> result.Result[ledger.ClaimAnswer, failures.Failure]:
        """Refuse a claim as not run."""
        return result.Failure(
            failures.Failure(codes.Code.LEDGER_UNAVAILABLE, "no ledger is open")
        )

    async def release(self, key: ledger.ClaimKey, attempt: int) -> None:
        """Do nothing: no claim was granted."""

    async def record(
        self, key: ledger.ClaimKey, attempt: int, outcome: ledger.Outcome | None
    ) -> None:
        """Do nothing: no claim was granted."""


class ReplicatedLedger(Ledger):
    """Claims that are committed by a consensus group.

    Parameters
    ----------
    owner : VmId
        This gateway.
    proposer : proposers.Proposer
        Reaches the ledger's group.
    new_operation_id : callable
        Returns a fresh operation id.
    """

    def __init__(self, owner: ids.VmId, proposer: proposers.Proposer, new_operation_id):
        self.owner = owner
        self.proposer = proposer
        self.new_operation_id = new_operation_id

    async def claim(
        self, key: ledger.ClaimKey, fingerprint: str
    ) -> result.Result[ledger.ClaimAnswer, failures.Failure]:
        """Claim a request; see the base class."""
        command = ledger.ClaimCommand(key, fingerprint, self.owner, wall_clock_ms())
        answer = await self.send(command)
        return answer.alt(
            lambda failure: failures.Failure(
                codes.Code.LEDGER_UNAVAILABLE,
                f"the ledger did not commit the claim: {failure.message}",
                retry_after_ms=MS_PER_S,
            )
        )

    async def release(self, key: ledger.ClaimKey, attempt: int) -> None:
        """Give a claim back; see the base class."""
        await self.send(ledger.ReleaseCommand(key, attempt))

    async def record(
        self, key: ledger.ClaimKey, attempt: int, outcome: ledger.Outcome | None
    ) -> None:
        """Record an outcome; see the base class."""
        await self.send(ledger.RecordCommand(key, attempt, outcome, wall_clock_ms()))

    async def send(
        self, command: ledger.Command
    ) -> result.Result[ledger.ClaimAnswer, failures.Failure]:
        """Commit one command and decode its answer."""
        answer = await self.proposer.propose(
            self.owner, self.new_operation_id(), msgspec.msgpack.encode(command)
        )
        return answer.map(
            lambda data: msgspec.msgpack.decode(data, type=ledger.ClaimAnswer)
        )


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds; only retention uses it."""
    return int(time.time() * MS_PER_S)


def outcome_of(
    answer: base.ServiceAnswer, retention: schema.Retention
) -> ledger.Outcome:
    """Return the recorded form of an answer; a large body leaves its digest only."""
    whole = len(answer.body) <= retention.body_bytes
    return ledger.Outcome(
        answer.status,
        dict(answer.headers),
        answer.body if whole else b"",
        hashlib.sha256(answer.body).hexdigest(),
        whole,
    )


def local_proposers() -> list[proposers.Proposer]:
    """Return a ledger group that lives in this process alone."""
    return [proposers.LocalProposer(ledger.LedgerState())]


def open_ledger(
    owner: ids.VmId, groups: list[proposers.Proposer], new_operation_id
) -> Ledger:
    """Return the ledger over its groups."""
    return ReplicatedLedger(owner, groups[0], new_operation_id)
