"""Commands and replies of the request ledger."""

import enum

import msgspec

from quetzalpass import ids


class ClaimState(enum.Enum):
    """State of a claimed request, or why a claim was not granted."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    RELEASED = "released"
    KEY_REUSED = "key_reused"
    FULL = "full"
    STALE_OWNER = "stale_owner"


class Outcome(msgspec.Struct, frozen=True):
    """Recorded response to a request that ran.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Response headers.
    body : bytes
        Response body; empty if only its digest is stored.
    body_digest : str
        SHA-256 of the whole body.
    whole : bool
        Whether the whole body is stored.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    body_digest: str
    whole: bool = True


class ClaimKey(msgspec.Struct, frozen=True):
    """Identifies a request by its organisation and its idempotency key."""

    organisation: ids.OrganisationId
    key: ids.IdempotencyKey


class Stamp(msgspec.Struct, frozen=True):
    """Sender of a batch and how long it has been running.

    The ledger's clock advances by the differences between the uptimes of a sender, so
    that retention depends on no wall clock.

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
    """Claims a request for one gateway before its first byte is sent to a server.

    Attributes
    ----------
    key : ClaimKey
        The request.
    fingerprint : str
        Digest of the request; a different digest under the same key is an error.
    token : str
        Identifies this claim. The token of a held claim is granted again, that of a
        released claim never.
    retention_ms : int
        How long the outcome is kept, in milliseconds.
    max_claims : int
        Maximum number of claims that the group may hold.
    """

    key: ClaimKey
    fingerprint: str
    token: str
    retention_ms: int
    max_claims: int


class ReleaseCommand(msgspec.Struct, frozen=True, tag="release"):
    """Releases a claim whose attempt provably did not run."""

    key: ClaimKey
    token: str


class RecordCommand(msgspec.Struct, frozen=True, tag="record"):
    """Records the outcome of an attempt, or that it is unknown."""

    key: ClaimKey
    token: str
    outcome: Outcome | None


class ResolveCommand(msgspec.Struct, frozen=True, tag="resolve"):
    """Records an outcome that was unknown until the service reported it."""

    key: ClaimKey
    outcome: Outcome


class RenewCommand(msgspec.Struct, frozen=True, tag="renew"):
    """Shows that a gateway that holds claims is alive; has no other effect."""


Command = ClaimCommand | ReleaseCommand | RecordCommand | ResolveCommand | RenewCommand


class Batch(msgspec.Struct, frozen=True):
    """Commands that a gateway commits together."""

    stamp: Stamp
    commands: tuple[Command, ...]


class ClaimReply(msgspec.Struct, frozen=True):
    """Reply to a command.

    Attributes
    ----------
    state : ClaimState
        ``GRANTED`` allows exactly one attempt.
    token : str
        Token of the claim that the ledger holds.
    owner : VmId
        Gateway that holds the claim.
    outcome : Outcome or None
        Set if the state is ``RECORDED``.
    """

    state: ClaimState
    token: str = ""
    owner: ids.VmId = ids.VmId("")
    outcome: Outcome | None = None


class BatchReply(msgspec.Struct, frozen=True):
    """Replies to the commands of a batch.

    Attributes
    ----------
    answers : tuple of ClaimReply
        One for each command, in the same order.
    incarnation : int
        Newest incarnation of the sender that the group has seen.
    """

    answers: tuple[ClaimReply, ...]
    incarnation: int
