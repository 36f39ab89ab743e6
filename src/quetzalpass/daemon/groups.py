"""Access of a daemon to the replicated groups, here or on other VMs."""

import asyncio
from collections.abc import Callable

from returns import result

from quetzalpass import ids
from quetzalpass.consensus import group as consensus_group
from quetzalpass.control import proposers
from quetzalpass.membership import inner_messages, peer_client
from quetzalpass.results import codes, failures

PROPOSE_TIMEOUT_S = 5.0
ATTEMPT_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.1
LEDGER_GROUPS = 2

DECLARATION_GROUP = ids.GroupId("declaration")
RETRYABLE_CODES = frozenset(
    {codes.Code.NOT_LEADER, codes.Code.UNREACHABLE, codes.Code.NO_QUORUM}
)
# After these an earlier attempt may still be applied.
UNKNOWN_CODES = frozenset({codes.Code.UNREACHABLE, codes.Code.NO_QUORUM})


def ledger_group_ids() -> list[ids.GroupId]:
    """Return the ids of the ledger's groups, in a fixed order."""
    return [ids.GroupId(f"ledger-{number}") for number in range(LEDGER_GROUPS)]


class GroupProposer(proposers.Proposer):
    """Sends commands to the leader of a group, on this VM or another.

    A command is sent again with the same operation id until it has an outcome, the
    leader rejects it, or ``PROPOSE_TIMEOUT_S`` has passed; the group applies it once.

    Parameters
    ----------
    group : GroupId
        The group.
    clients : dict of VmId to peer_client.PeerClient
        Clients of the replicas on other VMs.
    local : consensus_group.Group or None
        The replica on this VM.
    connect : callable or None
        Returns the client of a leader that only a reply names; None where the addresses
        of all replicas are configured.

    Attributes
    ----------
    leader : VmId or None
        The leader as the last reply named it.
    last_index : int
        Index of the replica that was last tried in turn, modulo their number.
    """

    def __init__(
        self,
        group: ids.GroupId,
        clients: dict[ids.VmId, peer_client.PeerClient],
        local: consensus_group.Group | None,
        connect: Callable[[ids.VmId], peer_client.PeerClient] | None = None,
    ) -> None:
        self.group = group
        self.clients = clients
        self.local = local
        self.connect = connect
        self.leader: ids.VmId | None = None
        self.last_index = 0

    async def propose(
        self, session: str, operation: ids.OperationId, command: bytes
    ) -> result.Result[bytes, failures.Failure]:
        """Commit a command; see the base class."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + PROPOSE_TIMEOUT_S
        request = inner_messages.ProposeRequest(self.group, session, operation, command)
        is_unknown = False
        while True:
            reply = await self.propose_once(request)
            if reply.failure is None:
                return result.Success(reply.answer)
            if is_rejection(reply.failure) and is_unknown:
                return result.Failure(unknown_outcome_failure(reply.failure))
            if not may_try_again(reply.failure):
                return result.Failure(reply.failure)
            is_unknown = is_unknown or reply.failure.code in UNKNOWN_CODES
            if loop.time() + RETRY_INTERVAL_S >= deadline_s:
                return result.Failure(no_quorum_failure(reply.failure))
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def propose_once(
        self, request: inner_messages.ProposeRequest
    ) -> inner_messages.ProposeReply:
        """Try one replica: the leader if it is known, else the next one in turn."""
        if self.local is not None:
            reply = await propose_locally(self.local, request)
            if reply.failure is None or not concerns_one_replica(reply.failure):
                return reply
            if reply.failure.code is codes.Code.NOT_LEADER:
                self.leader = reply.leader
        target = self.leader if self.is_leader_reachable() else self.next_replica()
        if target is None:
            failure = failures.Failure(codes.Code.NO_QUORUM, "no replica is known")
            return inner_messages.ProposeReply(failure=failure)
        client = self.clients.get(target) or self.connect(target)
        reply_result = await client.propose(request, ATTEMPT_TIMEOUT_S)
        if isinstance(reply_result, result.Failure):
            self.leader = None
            return inner_messages.ProposeReply(failure=reply_result.failure())
        reply = reply_result.unwrap()
        self.leader = target if reply.failure is None else reply.leader
        return reply

    def is_leader_reachable(self) -> bool:
        """Return whether a leader is known to which a client exists or can be made."""
        if self.leader is None:
            return False
        return self.leader in self.clients or self.connect is not None

    def next_replica(self) -> ids.VmId | None:
        """Return the next replica in turn."""
        if not self.clients:
            return None
        self.last_index += 1
        names = sorted(self.clients)
        return names[self.last_index % len(names)]


def is_rejection(failure: failures.Failure) -> bool:
    """Return whether a leader rejected a command as too few disks accept writes.

    Without a retry time, ``STORAGE_FAILED`` concerns the disk of one replica.
    """
    is_storage = failure.code is codes.Code.STORAGE_FAILED
    return is_storage and failure.retry_after_ms is not None


def concerns_one_replica(failure: failures.Failure) -> bool:
    """Return whether another replica may accept what this one did not."""
    if failure.code is codes.Code.STORAGE_FAILED:
        return not is_rejection(failure)
    return failure.code is codes.Code.NOT_LEADER


def may_try_again(failure: failures.Failure) -> bool:
    """Return whether another attempt is made before the caller gets the failure."""
    return failure.code in RETRYABLE_CODES or concerns_one_replica(failure)


def unknown_outcome_failure(last: failures.Failure) -> failures.Failure:
    """Return the failure of a command of which an earlier attempt may be applied."""
    return failures.Failure(
        codes.Code.NO_QUORUM,
        f"an earlier attempt may still be applied; the last one: {last.message}",
        retry_after_ms=last.retry_after_ms,
    )


def no_quorum_failure(last: failures.Failure) -> failures.Failure:
    """Return the failure of a command whose outcome is unknown."""
    return failures.Failure(
        codes.Code.NO_QUORUM,
        f"no majority replied within {PROPOSE_TIMEOUT_S:.0f} s: {last.message}",
        retry_after_ms=1_000,
    )


async def propose_locally(
    group: consensus_group.Group, request: inner_messages.ProposeRequest
) -> inner_messages.ProposeReply:
    """Propose a command to the replica on this VM."""
    outcome = await group.propose(request.session, request.operation, request.command)
    if isinstance(outcome, result.Failure):
        return inner_messages.ProposeReply(
            failure=outcome.failure(), leader=group.leader()
        )
    return inner_messages.ProposeReply(outcome.unwrap())
