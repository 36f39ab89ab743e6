"""The replicated groups as every daemon reaches them."""

import asyncio

from returns import result

from quetzalpass import ids
from quetzalpass.control import proposers
from quetzalpass.membership import inner_messages, peer_client
from quetzalpass.results import codes, failures

PROPOSE_TIMEOUT_S = 5.0

DECLARATION_GROUP = ids.GroupId("declaration")
LEDGER_GROUP = ids.GroupId("ledger")


class ForwardingProposer(proposers.Proposer):
    """Passes commands on to the daemon that leads a group.

    Parameters
    ----------
    group : GroupId
        The group.
    client : peer_client.PeerClient
        Client of the leader.
    """

    def __init__(self, group: ids.GroupId, client: peer_client.PeerClient) -> None:
        self.group = group
        self.client = client

    async def propose(
        self, session: str, operation: ids.OperationId, command: bytes
    ) -> result.Result[bytes, failures.Failure]:
        """Pass a command on; see the base class."""
        message = inner_messages.ProposeMessage(self.group, session, operation, command)
        answered = await self.client.propose(message, PROPOSE_TIMEOUT_S)
        if isinstance(answered, result.Failure):
            return result.Failure(
                failures.Failure(
                    codes.Code.NO_QUORUM, answered.failure().message, None, 1_000
                )
            )
        answer = answered.unwrap()
        if answer.failure is not None:
            return result.Failure(answer.failure)
        return result.Success(answer.answer or b"")


async def answer_proposal(
    groups: dict[ids.GroupId, proposers.Proposer],
    message: inner_messages.ProposeMessage,
) -> inner_messages.ProposeAnswer:
    """Propose a command that a peer passed on."""
    proposer = groups.get(message.group)
    if proposer is None:
        failure = failures.Failure(codes.Code.NOT_LEADER, "not a replica")
        return inner_messages.ProposeAnswer(failure=failure)
    try:
        async with asyncio.timeout(PROPOSE_TIMEOUT_S):
            answer = await proposer.propose(
                message.session, message.operation, message.command
            )
    except TimeoutError:
        failure = failures.Failure(codes.Code.NO_QUORUM, "no majority answered")
        return inner_messages.ProposeAnswer(failure=failure)
    if isinstance(answer, result.Failure):
        return inner_messages.ProposeAnswer(failure=answer.failure())
    return inner_messages.ProposeAnswer(answer=answer.unwrap())
