"""Claims of a gateway whose proposer fails by an error of its own for a time."""

import asyncio
import itertools

import pytest

from quetzalpass import ids
from quetzalpass.control import ledger, ledger_messages, proposers
from quetzalpass.declarations import schema
from quetzalpass.lifecycle import ledger_client
from quetzalpass.results import codes

pytestmark = pytest.mark.looptime

RETENTION = schema.Retention()
OUTCOME = ledger_messages.Outcome(200, {}, b"filed", "digest", True)
BACK_S = 10.0


class FailingProposer(proposers.LocalProposer):
    """Raises ``error`` while there is one."""

    def __init__(self):
        super().__init__(ledger.LedgerState())
        self.error = None

    async def propose(self, session, operation, command):
        await asyncio.sleep(0.01)
        if self.error is not None:
            raise self.error
        return await super().propose(session, operation, command)


@pytest.fixture
def proposer():
    return FailingProposer()


@pytest.fixture
async def client(proposer):
    numbers = itertools.count()
    made = ledger_client.ReplicatedLedger(
        ids.VmId("entry-1"),
        [proposer],
        lambda: ids.OperationId(f"operation-{next(numbers)}"),
    )
    yield made
    made.close()


def claim_key(name="waiver-1"):
    return ledger_messages.ClaimKey(
        ids.OrganisationId("carrier-1"), ids.IdempotencyKey(name)
    )


@pytest.mark.parametrize(
    "error", [RuntimeError("can't start new thread"), asyncio.CancelledError()]
)
class TestFailedProposals:
    async def test_a_claim_is_refused_at_once_and_the_next_one_is_granted(
        self, client, proposer, error
    ):
        proposer.error = error
        async with asyncio.timeout(BACK_S):
            refused = await client.claim(claim_key(), "print", RETENTION)
        failure = refused.failure()
        assert failure.code is codes.Code.LEDGER_UNAVAILABLE
        assert failure.effective_execution() is codes.Execution.NOT_RUN
        proposer.error = None
        granted = (await client.claim(claim_key(), "print", RETENTION)).unwrap()
        assert granted.state is ledger_messages.ClaimState.GRANTED

    async def test_an_outcome_is_recorded_once_proposals_succeed_again(
        self, client, proposer, error
    ):
        granted = (await client.claim(claim_key(), "print", RETENTION)).unwrap()
        proposer.error = error
        async with asyncio.timeout(BACK_S):
            await client.record(claim_key(), granted.token, OUTCOME)
        await asyncio.sleep(BACK_S)
        proposer.error = None
        await asyncio.sleep(BACK_S)
        assert not client.groups[0].unsettled
        again = (await client.claim(claim_key(), "print", RETENTION)).unwrap()
        assert again.state is ledger_messages.ClaimState.RECORDED
        assert again.outcome.body == b"filed"
