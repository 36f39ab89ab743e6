"""Replicated state machine that holds the claims of non-idempotent requests."""

import heapq

import msgspec

from quetzalpass import ids
from quetzalpass.consensus import machine
from quetzalpass.control import ledger_messages as messages

# A gateway that holds claims and has been silent this long is taken for dead. That
# is safe also where it lives: its claims turn unknown, which never allows a second
# run, and its record still replaces that.
OWNER_LEASE_MS = 30_000
RELEASED_RETENTION_MS = 600_000
RELEASED_TOKENS_KEPT = 8
MAX_OWNERS = 10_000
MAX_EXPIRED_PER_BATCH = 1_000


class Claim(msgspec.Struct):
    """A claim as the ledger holds it.

    Attributes
    ----------
    expires_ms : int
        Time on the ledger's clock after which the claim is looked at again.
    released : tuple of str
        Tokens under which the request was claimed and given back.
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
    """A gateway as the ledger knows it.

    Attributes
    ----------
    incarnation : int
        Newest incarnation seen.
    offset_ms : int
        Ledger's clock less uptime, when this incarnation was first seen.
    seen_ms : int
        Ledger's clock at its last batch.
    """

    incarnation: int
    offset_ms: int
    seen_ms: int


class Due(msgspec.Struct, frozen=True, order=True):
    """When a claim is to be looked at."""

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
        The replicated clock. It only moves forward, never faster than the loop's
        clock of a gateway, and it stands still while no gateway commits anything.
    claims : dict of ClaimKey to Claim
        Claims that are held.
    owners : dict of VmId to Owner
        Gateways that have committed something.
    due : list of Due
        Heap of the times at which claims are looked at.
    """

    def __init__(self) -> None:
        self.clock_ms = 0
        self.claims: dict[messages.ClaimKey, Claim] = {}
        self.owners: dict[ids.VmId, Owner] = {}
        self.due: list[Due] = []

    def apply(self, index: ids.LogIndex, command: bytes) -> bytes:
        """Apply one committed batch and return the encoded answers."""
        batch = msgspec.msgpack.decode(command, type=messages.Batch)
        self.observe(batch.stamp)
        self.expire()
        answers = tuple(self.answer(batch.stamp, each) for each in batch.commands)
        incarnation = self.owners[batch.stamp.owner].incarnation
        return msgspec.msgpack.encode(messages.BatchReply(answers, incarnation))

    def observe(self, stamp: messages.Stamp) -> None:
        """Move the clock by the time that passed at a gateway."""
        known = self.owners.get(stamp.owner)
        if known is None or stamp.incarnation > known.incarnation:
            self.owners[stamp.owner] = Owner(
                stamp.incarnation, self.clock_ms - stamp.uptime_ms, self.clock_ms
            )
            self.forget_oldest_owner()
        elif stamp.incarnation == known.incarnation:
            reached_ms = known.offset_ms + stamp.uptime_ms
            self.clock_ms = max(self.clock_ms, reached_ms)
            known.seen_ms = self.clock_ms

    def forget_oldest_owner(self) -> None:
        """Keep the number of known gateways bounded."""
        if len(self.owners) > MAX_OWNERS:
            oldest = min(self.owners, key=lambda each: self.owners[each].seen_ms)
            del self.owners[oldest]

    def expire(self) -> None:
        """Drop claims past their retention; settle those whose gateway is gone."""
        for _ in range(MAX_EXPIRED_PER_BATCH):
            if not self.due or self.due[0].expires_ms > self.clock_ms:
                return
            due = heapq.heappop(self.due)
            key = messages.ClaimKey(due.organisation, due.key)
            held = self.claims.get(key)
            if held is None or held.expires_ms != due.expires_ms:
                continue
            if held.state is not messages.ClaimState.IN_PROGRESS:
                del self.claims[key]
                continue
            self.settle_if_abandoned(key, held)
            if held.state is messages.ClaimState.IN_PROGRESS:
                self.keep_for(key, held, held.retention_ms)

    def keep_for(self, key: messages.ClaimKey, held: Claim, time_ms: int) -> None:
        """Look at a claim again after a time."""
        held.expires_ms = self.clock_ms + max(1, time_ms)
        heapq.heappush(self.due, Due(held.expires_ms, key.organisation, key.key))

    def answer(
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
        """Grant a claim, or answer what is known of the earlier one."""
        if stamp.incarnation < self.owners[stamp.owner].incarnation:
            return messages.ClaimReply(messages.ClaimState.STALE_OWNER)
        held = self.claims.get(command.key)
        if held is None:
            if len(self.claims) >= command.max_claims:
                return messages.ClaimReply(messages.ClaimState.FULL)
            return self.grant(stamp, command, ())
        if held.state is messages.ClaimState.RELEASED:
            if command.token in held.released:
                return messages.ClaimReply(messages.ClaimState.RELEASED)
            return self.grant(stamp, command, held.released)
        if held.fingerprint != command.fingerprint:
            return messages.ClaimReply(messages.ClaimState.KEY_REUSED)
        if held.state is messages.ClaimState.IN_PROGRESS:
            if held.token == command.token:
                return messages.ClaimReply(
                    messages.ClaimState.GRANTED, held.token, held.owner
                )
            self.settle_if_abandoned(command.key, held)
        return answer_of(held)

    def grant(
        self,
        stamp: messages.Stamp,
        command: messages.ClaimCommand,
        released: tuple[str, ...],
    ) -> messages.ClaimReply:
        """Hold a new claim for its gateway."""
        held = Claim(
            command.fingerprint,
            stamp.owner,
            stamp.incarnation,
            command.token,
            messages.ClaimState.IN_PROGRESS,
            command.retention_ms,
            0,
            released=released,
        )
        self.claims[command.key] = held
        self.keep_for(command.key, held, command.retention_ms)
        return messages.ClaimReply(
            messages.ClaimState.GRANTED, command.token, stamp.owner
        )

    def settle_if_abandoned(self, key: messages.ClaimKey, held: Claim) -> None:
        """Note that the outcome is unknown if the gateway of a claim is gone."""
        owner = self.owners.get(held.owner)
        alive = (
            owner is not None
            and owner.incarnation == held.incarnation
            and self.clock_ms - owner.seen_ms <= OWNER_LEASE_MS
        )
        if not alive:
            held.state = messages.ClaimState.UNKNOWN
            self.keep_for(key, held, held.retention_ms)

    def release(self, command: messages.ReleaseCommand) -> messages.ClaimReply:
        """Give a claim back whose attempt provably did not run."""
        held = self.held_under(command.key, command.token)
        if held is None:
            return messages.ClaimReply(messages.ClaimState.RELEASED)
        if held.state is not messages.ClaimState.RECORDED:
            held.state = messages.ClaimState.RELEASED
            held.released = (*held.released, held.token)[-RELEASED_TOKENS_KEPT:]
            self.keep_for(command.key, held, RELEASED_RETENTION_MS)
        return answer_of(held)

    def record(self, command: messages.RecordCommand) -> messages.ClaimReply:
        """Keep the outcome of an attempt, or that it is unknown."""
        held = self.held_under(command.key, command.token)
        if held is None:
            return messages.ClaimReply(messages.ClaimState.UNKNOWN)
        if held.state is not messages.ClaimState.RECORDED:
            self.keep_outcome(command.key, held, command.outcome)
        return answer_of(held)

    def held_under(self, key: messages.ClaimKey, token: str) -> Claim | None:
        """Return the claim that is held under a token and not given back."""
        held = self.claims.get(key)
        if held is None or held.token != token:
            return None
        return None if held.state is messages.ClaimState.RELEASED else held

    def resolve(self, command: messages.ResolveCommand) -> messages.ClaimReply:
        """Keep the outcome of an attempt whose outcome was unknown."""
        held = self.claims.get(command.key)
        if held is None:
            return messages.ClaimReply(messages.ClaimState.UNKNOWN)
        if held.state is messages.ClaimState.UNKNOWN:
            self.keep_outcome(command.key, held, command.outcome)
        return answer_of(held)

    def keep_outcome(
        self, key: messages.ClaimKey, held: Claim, outcome: messages.Outcome | None
    ) -> None:
        """Keep an outcome for the declared time from now on."""
        known = outcome is not None
        states = messages.ClaimState
        held.state = states.RECORDED if known else states.UNKNOWN
        held.outcome = outcome
        self.keep_for(key, held, held.retention_ms)

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
        self.due = [
            Due(held.expires_ms, key.organisation, key.key)
            for key, held in self.claims.items()
        ]
        heapq.heapify(self.due)


def answer_of(held: Claim) -> messages.ClaimReply:
    """Return what is known of a claim."""
    return messages.ClaimReply(held.state, held.token, held.owner, held.outcome)
