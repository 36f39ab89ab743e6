"""Replicated state machine that holds the claims of non-idempotent requests."""

import enum

import msgspec

from quetzalpass import ids


class ClaimState(enum.Enum):
    """What the ledger knows about a claimed request."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"


class Outcome(msgspec.Struct, frozen=True):
    """Recorded answer of a request that ran.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Answer headers.
    body : bytes
        Answer body; empty where only its digest is kept.
    body_digest : str
        SHA-256 of the whole body.
    whole : bool
        Whether the whole body is kept.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    body_digest: str
    whole: bool = True


class ClaimKey(msgspec.Struct, frozen=True):
    """A request is known by its organisation and its idempotency key."""

    organisation: ids.OrganisationId
    key: ids.IdempotencyKey


class ClaimCommand(msgspec.Struct, frozen=True, tag="claim"):
    """Claims a request for one gateway before its first byte goes out."""

    key: ClaimKey
    fingerprint: str
    owner: ids.VmId
    now_ms: int


class ReleaseCommand(msgspec.Struct, frozen=True, tag="release"):
    """Gives a claim back: it is proved that nothing ran."""

    key: ClaimKey
    attempt: int


class RecordCommand(msgspec.Struct, frozen=True, tag="record"):
    """Records the outcome, or that it is not known."""

    key: ClaimKey
    attempt: int
    outcome: Outcome | None
    now_ms: int


Command = ClaimCommand | ReleaseCommand | RecordCommand


class Claim(msgspec.Struct):
    """A claim as the ledger holds it."""

    fingerprint: str
    owner: ids.VmId
    attempt: int
    state: ClaimState
    changed_ms: int
    outcome: Outcome | None = None


class ClaimAnswer(msgspec.Struct, frozen=True):
    """Answer to a command.

    Attributes
    ----------
    state : ClaimState
        ``GRANTED`` allows exactly one attempt.
    attempt : int
        Number of that attempt.
    owner : VmId
        Gateway that holds the claim.
    outcome : Outcome or None
        Set where the state is ``RECORDED``.
    """

    state: ClaimState
    attempt: int
    owner: ids.VmId
    outcome: Outcome | None = None


class LedgerState:
    """Claims by organisation and key.

    Attributes
    ----------
    claims : dict of ClaimKey to Claim
        Claims that are held, in the order in which they were made.
    attempts : dict of ClaimKey to int
        Number of the last released attempt.
    """

    def __init__(self) -> None:
        self.claims: dict[ClaimKey, Claim] = {}
        self.attempts: dict[ClaimKey, int] = {}

    def apply(self, index: ids.LogIndex, command: bytes) -> bytes:
        """Apply one committed command and return the encoded answer."""
        order = msgspec.msgpack.decode(command, type=Command)
        if isinstance(order, ClaimCommand):
            answer = self.claim(order)
        elif isinstance(order, ReleaseCommand):
            answer = self.release(order)
        else:
            answer = self.record(order)
        return msgspec.msgpack.encode(answer)

    def claim(self, order: ClaimCommand) -> ClaimAnswer:
        """Grant a claim, or answer what is known of the earlier one."""
        held = self.claims.get(order.key)
        if held is None:
            return self.grant(order)
        state = held.state
        if held.fingerprint != order.fingerprint:
            state = ClaimState.KEY_REUSED
        return ClaimAnswer(state, held.attempt, held.owner, held.outcome)

    def grant(self, order: ClaimCommand) -> ClaimAnswer:
        """Hold a new claim for its gateway."""
        attempt = self.attempts.pop(order.key, 0) + 1
        self.claims[order.key] = Claim(
            order.fingerprint,
            order.owner,
            attempt,
            ClaimState.IN_PROGRESS,
            order.now_ms,
        )
        return ClaimAnswer(ClaimState.GRANTED, attempt, order.owner)

    def release(self, order: ReleaseCommand) -> ClaimAnswer:
        """Drop a claim whose attempt provably did not run."""
        held = self.claims.get(order.key)
        if held is None or held.attempt != order.attempt:
            return ClaimAnswer(ClaimState.UNKNOWN, order.attempt, ids.VmId(""))
        if held.state is ClaimState.IN_PROGRESS:
            del self.claims[order.key]
            self.attempts[order.key] = order.attempt
        return ClaimAnswer(held.state, held.attempt, held.owner)

    def record(self, order: RecordCommand) -> ClaimAnswer:
        """Keep the outcome of an attempt, or that it is unknown."""
        held = self.claims.get(order.key)
        if held is None or held.attempt != order.attempt:
            return ClaimAnswer(ClaimState.UNKNOWN, order.attempt, ids.VmId(""))
        if held.state is not ClaimState.RECORDED:
            held.outcome = order.outcome
            known = order.outcome is not None
            held.state = ClaimState.RECORDED if known else ClaimState.UNKNOWN
            held.changed_ms = order.now_ms
        return ClaimAnswer(held.state, held.attempt, held.owner, held.outcome)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(
            LedgerSnapshot(list(self.claims.items()), list(self.attempts.items()))
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=LedgerSnapshot)
        self.claims = dict(snapshot.claims)
        self.attempts = dict(snapshot.attempts)


class LedgerSnapshot(msgspec.Struct, frozen=True):
    """Encoded form of the whole ledger."""

    claims: list[tuple[ClaimKey, Claim]]
    attempts: list[tuple[ClaimKey, int]]
