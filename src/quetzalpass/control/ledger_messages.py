"""Commands and answers of the request ledger."""

import enum

import msgspec

from quetzalpass import ids


class ClaimState(enum.Enum):
    """What the ledger knows about a claimed request, or why it grants nothing."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    RELEASED = "released"
    KEY_REUSED = "key_reused"
    FULL = "full"
    STALE_OWNER = "stale_owner"


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


class Stamp(msgspec.Struct, frozen=True):
    """Who sends a batch, and how long it has been running.

    The ledger's clock moves by the differences between the uptimes of one sender, so
    that no wall clock decides about retention.

    Attributes
    ----------
    owner : VmId
        The gateway.
    incarnation : int
        Larger after each restart of the gateway.
    uptime_ms : int
        Time since the start of this incarnation, in milliseconds.
    """

    owner: ids.VmId
    incarnation: int
    uptime_ms: int


class ClaimCommand(msgspec.Struct, frozen=True, tag="claim"):
    """Claims a request for one gateway before its first byte goes out.

    Attributes
    ----------
    key : ClaimKey
        The request.
    fingerprint : str
        Digest of what is sent; another one under the same key is an error.
    token : str
        Names this claim; the same token is granted again, a released one never.
    retention_ms : int
        How long the outcome will be kept, in milliseconds.
    max_claims : int
        Claims that the group may hold.
    """

    key: ClaimKey
    fingerprint: str
    token: str
    retention_ms: int
    max_claims: int


class ReleaseCommand(msgspec.Struct, frozen=True, tag="release"):
    """Gives a claim back: it is proved that nothing ran."""

    key: ClaimKey
    token: str


class RecordCommand(msgspec.Struct, frozen=True, tag="record"):
    """Records the outcome, or that it is not known."""

    key: ClaimKey
    token: str
    outcome: Outcome | None


class ResolveCommand(msgspec.Struct, frozen=True, tag="resolve"):
    """Records an outcome that was unknown and that the service has told since."""

    key: ClaimKey
    outcome: Outcome


class RenewCommand(msgspec.Struct, frozen=True, tag="renew"):
    """Says only that the gateway, which holds claims, is alive."""


Command = ClaimCommand | ReleaseCommand | RecordCommand | ResolveCommand | RenewCommand


class Batch(msgspec.Struct, frozen=True):
    """Commands that one gateway commits together."""

    stamp: Stamp
    commands: tuple[Command, ...]


class ClaimReply(msgspec.Struct, frozen=True):
    """Answer to a command.

    Attributes
    ----------
    state : ClaimState
        ``GRANTED`` allows exactly one attempt.
    token : str
        Token of the claim that is held.
    owner : VmId
        Gateway that holds the claim.
    outcome : Outcome or None
        Set where the state is ``RECORDED``.
    """

    state: ClaimState
    token: str = ""
    owner: ids.VmId = ids.VmId("")
    outcome: Outcome | None = None


class BatchReply(msgspec.Struct, frozen=True):
    """Answers in the order of the commands.

    Attributes
    ----------
    answers : tuple of ClaimReply
        One for each command.
    incarnation : int
        Newest incarnation of the sender that the group knows.
    """

    answers: tuple[ClaimReply, ...]
    incarnation: int
