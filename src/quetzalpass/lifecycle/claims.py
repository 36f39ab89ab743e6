"""Claims of non-idempotent requests: who may run, and what a resend is told."""

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
    """Claim a request, waiting for a first call that is under way.

    Returns
    -------
    Result
        A claim that is ``GRANTED``, ``RECORDED`` or ``UNKNOWN``; or the numbered
        failure that the caller gets at once, ``CLAIM_IN_PROGRESS`` after a bounded
        wait.
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
        is_waiting = claim.state is messages.ClaimState.IN_PROGRESS
        if not is_waiting or loop.time() + POLL_INTERVAL_S > until_s:
            return result.Failure(failure)
        await asyncio.sleep(POLL_INTERVAL_S)


def claim_refusal(claim: messages.ClaimAnswer) -> failures.Failure | None:
    """Return what a request without a claim and without an outcome is told."""
    match claim.state:
        case messages.ClaimState.KEY_REUSED:
            return failures.Failure(
                codes.Code.KEY_REUSED, "the key was used with a different request"
            )
        case messages.ClaimState.IN_PROGRESS:
            return failures.Failure(
                codes.Code.CLAIM_IN_PROGRESS,
                f"the first call is under way at {claim.owner}",
                retry_after_ms=RETRY_AFTER_MS,
            )
        case messages.ClaimState.FULL:
            return failures.Failure(
                codes.Code.LEDGER_UNAVAILABLE,
                "the ledger holds as many claims as are declared",
                retry_after_ms=RETRY_AFTER_MS,
            )
        case messages.ClaimState.STALE_OWNER | messages.ClaimState.RELEASED:
            return failures.Failure(
                codes.Code.LEDGER_UNAVAILABLE,
                "the claim was not accepted",
                retry_after_ms=RETRY_AFTER_MS,
            )
    return None
