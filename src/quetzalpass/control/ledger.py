"""Replicated state machine that holds the claims of non-idempotent requests."""

import heapq

import msgspec

from quetzalpass import ids
from quetzalpass.consensus import machine
from quetzalpass.control import ledger_messages as messages

# A gateway that holds claims and has committed nothing for this long is considered
# dead. That is safe even if it is alive: the state of its claims becomes unknown, which
# never allows a second run, and an outcome that it records later replaces that state.
OWNER_LEASE_MS = 30_000
RELEASED_RETENTION_MS = 600_000
MAX_RELEASED_TOKENS = 8
MAX_OWNERS = 10_000
MAX_EXPIRED_PER_BATCH = 1_000


class Claim(msgspec.Struct):
    """A claim as the ledger stores it.

    Attributes
    ----------
    expires_ms : int
        Time on the ledger's clock at which the claim expires or is checked again.
    released : tuple of str
        Tokens of earlier claims of the request that were released.
    """

    fingerprint: str
    owner: ids.VmId
    incarnation: int
    token: str
    state: messages.ClaimState
    retention_ms: int
    expires_ms: int
    outcome: messages.Outcome | None = None
    released: tuple[str, ...] = ()


class Owner(msgspec.Struct):
    """A gateway that has committed a batch.

    Attributes
    ----------
    incarnation : int
        Its newest incarnation.
    offset_ms : int
        Difference between the ledger's clock and the gateway's uptime at the first
        batch of this incarnation.
    seen_ms : int
        Time of its last batch on the ledger's clock.
    """

    incarnation: int
    offset_ms: int
    seen_ms: int


class ClaimExpiry(msgspec.Struct, frozen=True, order=True):
    """Time at which a claim expires or is checked again."""

    expires_ms: int
    organisation: ids.OrganisationId
    key: ids.IdempotencyKey


class LedgerSnapshot(msgspec.Struct, frozen=True):
    """Encoded form of the whole ledger."""

    clock_ms: int
    claims: list[tuple[messages.ClaimKey, Claim]]
    owners: dict[ids.VmId, Owner]


class LedgerState(machine.StateMachine):
    """Claims by organisation and key.

    Attributes
    ----------
    clock_ms : int
        The replicated clock. It only moves forward, never faster than the event loop's
        clock of a gateway, and it stops while no gateway commits a batch.
    claims : dict of ClaimKey to Claim
        All stored claims.
    owners : dict of VmId to Owner
        Gateways that have committed a batch.
    expiries : list of ClaimExpiry
        Heap of the claims' expiry times.
    """

    def __init__(self) -> None:
        self.clock_ms = 0
        self.claims: dict[messages.ClaimKey, Claim] = {}
        self.owners: dict[ids.VmId, Owner] = {}
        self.expiries: list[ClaimExpiry] = []

    def apply(self, index: ids.LogIndex, command: bytes) -> bytes:
        """Apply a committed batch and return its encoded replies."""
        batch = msgspec.msgpack.decode(command, type=messages.Batch)
        self.advance_clock(batch.stamp)
        self.expire_claims()
        replies = tuple(
            self.apply_command(batch.stamp, each) for each in batch.commands
        )
        incarnation = self.owners[batch.stamp.owner].incarnation
        return msgspec.msgpack.encode(messages.BatchReply(replies, incarnation))

    def advance_clock(self, stamp: messages.Stamp) -> None:
        """Advance the clock by the time that has passed at a gateway."""
        known = self.owners.get(stamp.owner)
        if known is None or stamp.incarnation > known.incarnation:
            self.owners[stamp.owner] = Owner(
                stamp.incarnation, self.clock_ms - stamp.uptime_ms, self.clock_ms
            )
            self.evict_oldest_owner()
        elif stamp.incarnation == known.incarnation:
            reached_ms = known.offset_ms + stamp.uptime_ms
            self.clock_ms = max(self.clock_ms, reached_ms)
            known.seen_ms = self.clock_ms

    def evict_oldest_owner(self) -> None:
        """Remove the gateway that was silent longest if there are too many."""
        if len(self.owners) > MAX_OWNERS:
            oldest = min(self.owners, key=lambda each: self.owners[each].seen_ms)
            del self.owners[oldest]

    def expire_claims(self) -> None:
        """Process the claims whose expiry time has passed.

        Claims in progress are kept: their state becomes unknown if their gateway is
        gone, otherwise they are checked again later. All other claims are deleted.
        """
        for _ in range(MAX_EXPIRED_PER_BATCH):
            if not self.expiries or self.expiries[0].expires_ms > self.clock_ms:
                return
            expiry = heapq.heappop(self.expiries)
            key = messages.ClaimKey(expiry.organisation, expiry.key)
            claim = self.claims.get(key)
            if claim is None or claim.expires_ms != expiry.expires_ms:
                continue
            if claim.state is not messages.ClaimState.IN_PROGRESS:
                del self.claims[key]
                continue
            self.mark_unknown_if_abandoned(key, claim)
            if claim.state is messages.ClaimState.IN_PROGRESS:
                self.schedule_expiry(key, claim, claim.retention_ms)

    def schedule_expiry(
        self, key: messages.ClaimKey, claim: Claim, time_ms: int
    ) -> None:
        """Let a claim expire, or be checked again, after a time."""
        claim.expires_ms = self.clock_ms + max(1, time_ms)
        heapq.heappush(
            self.expiries, ClaimExpiry(claim.expires_ms, key.organisation, key.key)
        )

    def apply_command(
        self, stamp: messages.Stamp, command: messages.Command
    ) -> messages.ClaimReply:
        """Apply one command."""
        match command:
            case messages.ClaimCommand():
                return self.claim(stamp, command)
            case messages.ReleaseCommand():
                return self.release(command)
            case messages.RecordCommand():
                return self.record(command)
            case messages.ResolveCommand():
                return self.resolve(command)
            case _:
                return messages.ClaimReply(messages.ClaimState.RECORDED)

    def claim(
        self, stamp: messages.Stamp, command: messages.ClaimCommand
    ) -> messages.ClaimReply:
        """Grant a claim, or return the state of the earlier claim of the request."""
        if stamp.incarnation < self.owners[stamp.owner].incarnation:
            return messages.ClaimReply(messages.ClaimState.STALE_OWNER)
        claim = self.claims.get(command.key)
        if claim is None:
            if len(self.claims) >= command.max_claims:
                return messages.ClaimReply(messages.ClaimState.FULL)
            return self.grant(stamp, command, ())
        if claim.state is messages.ClaimState.RELEASED:
            if command.token in claim.released:
                return messages.ClaimReply(messages.ClaimState.RELEASED)
            return self.grant(stamp, command, claim.released)
        if claim.fingerprint != command.fingerprint:
            return messages.ClaimReply(messages.ClaimState.KEY_REUSED)
        if claim.state is messages.ClaimState.IN_PROGRESS:
            if claim.token == command.token:
                return messages.ClaimReply(
                    messages.ClaimState.GRANTED, claim.token, claim.owner
                )
            self.mark_unknown_if_abandoned(command.key, claim)
        return claim_reply(claim)

    def grant(
        self,
        stamp: messages.Stamp,
        command: messages.ClaimCommand,
        released: tuple[str, ...],
    ) -> messages.ClaimReply:
        """Store a new claim of a gateway."""
        claim = Claim(
            command.fingerprint,
            stamp.owner,
            stamp.incarnation,
            command.token,
            messages.ClaimState.IN_PROGRESS,
            command.retention_ms,
            0,
            released=released,
        )
        self.claims[command.key] = claim
        self.schedule_expiry(command.key, claim, command.retention_ms)
        return messages.ClaimReply(
            messages.ClaimState.GRANTED, command.token, stamp.owner
        )

    def mark_unknown_if_abandoned(self, key: messages.ClaimKey, claim: Claim) -> None:
        """Set a claim's state to unknown if its gateway has restarted or is silent."""
        owner = self.owners.get(claim.owner)
        alive = (
            owner is not None
            and owner.incarnation == claim.incarnation
            and self.clock_ms - owner.seen_ms <= OWNER_LEASE_MS
        )
        if not alive:
            claim.state = messages.ClaimState.UNKNOWN
            self.schedule_expiry(key, claim, claim.retention_ms)

    def release(self, command: messages.ReleaseCommand) -> messages.ClaimReply:
        """Release a claim whose attempt provably did not run."""
        claim = self.find_active_claim(command.key, command.token)
        if claim is None:
            return messages.ClaimReply(messages.ClaimState.RELEASED)
        if claim.state is not messages.ClaimState.RECORDED:
            claim.state = messages.ClaimState.RELEASED
            claim.released = (*claim.released, claim.token)[-MAX_RELEASED_TOKENS:]
            self.schedule_expiry(command.key, claim, RELEASED_RETENTION_MS)
        return claim_reply(claim)

    def record(self, command: messages.RecordCommand) -> messages.ClaimReply:
        """Record the outcome of an attempt, or that it is unknown."""
        claim = self.find_active_claim(command.key, command.token)
        if claim is None:
            return messages.ClaimReply(messages.ClaimState.UNKNOWN)
        if claim.state is not messages.ClaimState.RECORDED:
            self.store_outcome(command.key, claim, command.outcome)
        return claim_reply(claim)

    def find_active_claim(self, key: messages.ClaimKey, token: str) -> Claim | None:
        """Return the claim with a token, unless it was released."""
        claim = self.claims.get(key)
        if claim is None or claim.token != token:
            return None
        return None if claim.state is messages.ClaimState.RELEASED else claim

    def resolve(self, command: messages.ResolveCommand) -> messages.ClaimReply:
        """Record an outcome that was unknown before."""
        claim = self.claims.get(command.key)
        if claim is None:
            return messages.ClaimReply(messages.ClaimState.UNKNOWN)
        if claim.state is messages.ClaimState.UNKNOWN:
            self.store_outcome(command.key, claim, command.outcome)
        return claim_reply(claim)

    def store_outcome(
        self, key: messages.ClaimKey, claim: Claim, outcome: messages.Outcome | None
    ) -> None:
        """Store an outcome and restart the claim's retention time."""
        known = outcome is not None
        states = messages.ClaimState
        claim.state = states.RECORDED if known else states.UNKNOWN
        claim.outcome = outcome
        self.schedule_expiry(key, claim, claim.retention_ms)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(
            LedgerSnapshot(self.clock_ms, list(self.claims.items()), self.owners)
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=LedgerSnapshot)
        self.clock_ms = snapshot.clock_ms
        self.claims = dict(snapshot.claims)
        self.owners = snapshot.owners
        self.expiries = [
            ClaimExpiry(claim.expires_ms, key.organisation, key.key)
            for key, claim in self.claims.items()
        ]
        heapq.heapify(self.expiries)


def claim_reply(claim: Claim) -> messages.ClaimReply:
    """Return the reply that describes a claim."""
    return messages.ClaimReply(claim.state, claim.token, claim.owner, claim.outcome)
