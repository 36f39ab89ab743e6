"""The gateway's client of the ledger, which claims non-idempotent requests."""

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
DRAIN_POLL_INTERVAL_S = 0.05

ClaimResult = ledger_group.ClaimResult


class Ledger(abc.ABC):
    """Grants each non-idempotent request at most one attempt at a time."""

    @abc.abstractmethod
    async def claim(
        self, key: messages.ClaimKey, fingerprint: str, retention: schema.Retention
    ) -> ClaimResult:
        """Claim a request before its first byte is sent to a server.

        Returns
        -------
        Result
            State of the claim; ``LEDGER_UNAVAILABLE`` if it was not committed.
        """

    @abc.abstractmethod
    async def release(self, key: messages.ClaimKey, token: str) -> None:
        """Release a claim whose attempt is known not to have run."""

    @abc.abstractmethod
    async def record(
        self, key: messages.ClaimKey, token: str, outcome: messages.Outcome | None
    ) -> None:
        """Record the outcome of a claim, or ``None`` if it is unknown."""

    @abc.abstractmethod
    async def resolve(self, key: messages.ClaimKey, outcome: messages.Outcome) -> None:
        """Record an outcome that was unknown until the service reported it."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Wait until every outcome is committed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stop all tasks."""


class NoLedger(Ledger):
    """Refuses all claims, as no ledger group is open."""

    async def claim(
        self, key: messages.ClaimKey, fingerprint: str, retention: schema.Retention
    ) -> ClaimResult:
        """Refuse a claim; the request has not run."""
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
    """Commits claims through consensus groups.

    A hash of organisation and key selects the group of a request, so the number of
    groups must not change while claims are held.

    Parameters
    ----------
    owner : VmId
        This gateway.
    groups : sequence of proposers.Proposer
        Proposers of the groups, in the same order at every gateway.
    new_operation_id : callable
        Returns a new operation id.
    incarnation : int or None
        Number that grows with each restart; the wall clock in milliseconds by default.
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

    def find_group(self, key: messages.ClaimKey) -> ledger_group.LedgerGroup:
        """Return the group that holds the claims of a key."""
        number = xxhash.xxh64_intdigest(f"{key.organisation}\0{key.key}".encode())
        return self.groups[number % len(self.groups)]

    async def claim(
        self, key: messages.ClaimKey, fingerprint: str, retention: schema.Retention
    ) -> ClaimResult:
        """Claim a request; see the base class."""
        command = messages.ClaimCommand(
            key,
            fingerprint,
            self.new_operation_id(),
            int(retention.outcome_s * MS_PER_S),
            retention.max_claims,
        )
        group = self.find_group(key)
        claimed = await group.claim(command)
        stale = claimed.map(
            lambda reply: reply.state is messages.ClaimState.STALE_OWNER
        )
        if stale.value_or(False):
            return await group.claim(command)
        return claimed

    async def release(self, key: messages.ClaimKey, token: str) -> None:
        """Release a claim; see the base class."""
        await self.find_group(key).finish(messages.ReleaseCommand(key, token))

    async def record(
        self, key: messages.ClaimKey, token: str, outcome: messages.Outcome | None
    ) -> None:
        """Record an outcome; see the base class."""
        await self.find_group(key).finish(messages.RecordCommand(key, token, outcome))

    async def resolve(self, key: messages.ClaimKey, outcome: messages.Outcome) -> None:
        """Record an outcome that was unknown; see the base class."""
        await self.find_group(key).submit(messages.ResolveCommand(key, outcome))

    async def drain(self) -> None:
        """Wait until every outcome is committed."""
        while any(each.unsettled or each.unconfirmed for each in self.groups):
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def close(self) -> None:
        """Stop all tasks."""
        for group in self.groups:
            group.close()


def recorded_outcome(
    response: base.ServiceResponse, retention: schema.Retention
) -> messages.Outcome:
    """Return a response in its recorded form; of a large body only the digest."""
    whole = len(response.body) <= retention.body_bytes
    return messages.Outcome(
        response.status,
        dict(response.headers),
        response.body if whole else b"",
        hashlib.sha256(response.body).hexdigest(),
        whole,
    )


def local_proposers(count: int = 1) -> list[proposers.Proposer]:
    """Return ledger groups that are not replicated and live in this process."""
    return [proposers.LocalProposer(ledger.LedgerState()) for _ in range(count)]
