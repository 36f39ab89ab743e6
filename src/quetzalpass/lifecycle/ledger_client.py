"""Claims of non-idempotent requests, as a gateway makes them."""

import abc
import asyncio
import hashlib
import time
from collections.abc import Callable, Sequence

import xxhash
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.control import ledger, proposers
from quetzalpass.control import ledger_messages as messages
from quetzalpass.declarations import schema
from quetzalpass.lifecycle import ledger_group
from quetzalpass.results import codes, failures

MS_PER_S = 1000
DRAIN_POLL_S = 0.05

AnswerResult = ledger_group.AnswerResult


class Ledger(abc.ABC):
    """Grants each non-idempotent request at most one attempt at a time."""

    @abc.abstractmethod
    async def claim(
        self, key: messages.ClaimKey, fingerprint: str, retention: schema.Retention
    ) -> AnswerResult:
        """Claim a request before its first byte goes out.

        Returns
        -------
        Result
            What the ledger knows; ``LEDGER_UNAVAILABLE`` where it did not commit.
        """

    @abc.abstractmethod
    async def release(self, key: messages.ClaimKey, token: str) -> None:
        """Give back a claim whose attempt provably did not run."""

    @abc.abstractmethod
    async def record(
        self, key: messages.ClaimKey, token: str, outcome: messages.Outcome | None
    ) -> None:
        """Record an outcome, or ``None`` where it is not known."""

    @abc.abstractmethod
    async def resolve(self, key: messages.ClaimKey, outcome: messages.Outcome) -> None:
        """Record an outcome that was unknown until the service told it."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Wait until every outcome is committed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stop all tasks."""


class NoLedger(Ledger):
    """Refuses every claim: no group has been opened."""

    async def claim(
        self, key: messages.ClaimKey, fingerprint: str, retention: schema.Retention
    ) -> AnswerResult:
        """Refuse a claim as not run."""
        return result.Failure(
            failures.Failure(codes.Code.LEDGER_UNAVAILABLE, "no ledger is open")
        )

    async def release(self, key: messages.ClaimKey, token: str) -> None:
        """Do nothing: no claim was granted."""

    async def record(
        self, key: messages.ClaimKey, token: str, outcome: messages.Outcome | None
    ) -> None:
        """Do nothing: no claim was granted."""

    async def resolve(self, key: messages.ClaimKey, outcome: messages.Outcome) -> None:
        """Do nothing: no claim was granted."""

    async def drain(self) -> None:
        """Do nothing: no claim was granted."""

    def close(self) -> None:
        """Do nothing: there are no tasks."""


class ReplicatedLedger(Ledger):
    """Claims that are committed by consensus groups.

    A request belongs to the group that the hash of its organisation and key names, so
    the number of groups may not change while claims are held.

    Parameters
    ----------
    owner : VmId
        This gateway.
    groups : sequence of proposers.Proposer
        Reach the groups, in the same order at every gateway.
    new_operation_id : callable
        Returns a fresh operation id.
    incarnation : int or None
        Larger after each restart; the wall clock in milliseconds by default.
    """

    def __init__(
        self,
        owner: ids.VmId,
        groups: Sequence[proposers.Proposer],
        new_operation_id: Callable[[], ids.OperationId],
        incarnation: int | None = None,
    ) -> None:
        if incarnation is None:
            incarnation = int(time.time() * MS_PER_S)
        self.new_operation_id = new_operation_id
        self.groups = [
            ledger_group.LedgerGroup(owner, incarnation, proposer, new_operation_id)
            for proposer in groups
        ]

    def group_of(self, key: messages.ClaimKey) -> ledger_group.LedgerGroup:
        """Return the group that a request belongs to."""
        number = xxhash.xxh64_intdigest(f"{key.organisation}\0{key.key}".encode())
        return self.groups[number % len(self.groups)]

    async def claim(
        self, key: messages.ClaimKey, fingerprint: str, retention: schema.Retention
    ) -> AnswerResult:
        """Claim a request; see the base class."""
        command = messages.ClaimCommand(
            key,
            fingerprint,
            self.new_operation_id(),
            int(retention.outcome_s * MS_PER_S),
            retention.max_claims,
        )
        group = self.group_of(key)
        answered = await group.claim(command)
        stale = answered.map(
            lambda answer: answer.state is messages.ClaimState.STALE_OWNER
        )
        if stale.value_or(False):
            return await group.claim(command)
        return answered

    async def release(self, key: messages.ClaimKey, token: str) -> None:
        """Give a claim back; see the base class."""
        await self.group_of(key).finish(messages.ReleaseCommand(key, token))

    async def record(
        self, key: messages.ClaimKey, token: str, outcome: messages.Outcome | None
    ) -> None:
        """Record an outcome; see the base class."""
        await self.group_of(key).finish(messages.RecordCommand(key, token, outcome))

    async def resolve(self, key: messages.ClaimKey, outcome: messages.Outcome) -> None:
        """Record an outcome that was unknown; see the base class."""
        await self.group_of(key).submit(messages.ResolveCommand(key, outcome))

    async def drain(self) -> None:
        """Wait until every outcome is committed."""
        while any(each.unsettled or each.doubtful for each in self.groups):
            await asyncio.sleep(DRAIN_POLL_S)

    def close(self) -> None:
        """Stop all tasks."""
        for group in self.groups:
            group.close()


def outcome_of(
    answer: base.ServiceResponse, retention: schema.Retention
) -> messages.Outcome:
    """Return the recorded form of an answer; a large body leaves its digest only."""
    whole = len(answer.body) <= retention.body_bytes
    return messages.Outcome(
        answer.status,
        dict(answer.headers),
        answer.body if whole else b"",
        hashlib.sha256(answer.body).hexdigest(),
        whole,
    )


def local_proposers(count: int = 1) -> list[proposers.Proposer]:
    """Return ledger groups that live in this process alone."""
    return [proposers.LocalProposer(ledger.LedgerState()) for _ in range(count)]
