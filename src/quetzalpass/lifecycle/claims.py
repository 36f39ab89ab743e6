"""Claims a non-idempotent request before it runs, and handles its resends."""

import asyncio

from returns import result

from quetzalpass.control import ledger_messages as messages
from quetzalpass.declarations import schema
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.lifecycle import ledger_group
from quetzalpass.results import codes, failures

MAX_CLAIM_WAIT_S = 5.0
POLL_INTERVAL_S = 0.25
RETRY_AFTER_MS = 1_000


async def obtain(
    gateway: gateways.Gateway,
    key: messages.ClaimKey,
    fingerprint: str,
    deadline_s: float,
    retention: schema.Retention,
) -> ledger_group.ClaimResult:
    """Claim a request; wait while an earlier send of it is in progress.

    Returns
    -------
    Result
        A claim that is ``GRANTED``, ``RECORDED`` or ``UNKNOWN``; or the failure for
        the caller, which is ``CLAIM_IN_PROGRESS`` if the earlier send has not ended
        within ``MAX_CLAIM_WAIT_S`` or by the deadline.
    """
    loop = asyncio.get_running_loop()
    until_s = min(deadline_s, loop.time() + MAX_CLAIM_WAIT_S)
    while True:
        claimed = await gateway.ledger.claim(key, fingerprint, retention)
        if isinstance(claimed, result.Failure):
            return claimed
        claim = claimed.unwrap()
        failure = claim_refusal(claim)
        if failure is None:
            return claimed
        in_progress = claim.state is messages.ClaimState.IN_PROGRESS
        if not in_progress or loop.time() + POLL_INTERVAL_S > until_s:
            return result.Failure(failure)
        await asyncio.sleep(POLL_INTERVAL_S)


def claim_refusal(claim: messages.ClaimReply) -> failures.Failure | None:
    """Return the failure of a request that got neither a claim nor an outcome."""
    match claim.state:
        case messages.ClaimState.KEY_REUSED:
            return failures.Failure(
                codes.Code.KEY_REUSED,
                "the idempotency key was used for a different request",
            )
        case messages.ClaimState.IN_PROGRESS:
            return failures.Failure(
                codes.Code.CLAIM_IN_PROGRESS,
                f"an earlier send of this request is in progress at {claim.owner}",
                retry_after_ms=RETRY_AFTER_MS,
            )
        case messages.ClaimState.FULL:
            return failures.Failure(
                codes.Code.LEDGER_UNAVAILABLE,
                "the ledger holds the declared maximum number of claims",
                retry_after_ms=RETRY_AFTER_MS,
            )
        case messages.ClaimState.STALE_OWNER | messages.ClaimState.RELEASED:
            return failures.Failure(
                codes.Code.LEDGER_UNAVAILABLE,
                "the ledger did not accept the claim",
                retry_after_ms=RETRY_AFTER_MS,
            )
    return None
