import pytest
from returns import result

from quetzalpass import ids
from quetzalpass.daemon import groups
from quetzalpass.membership import inner_messages
from quetzalpass.results import codes, failures


class FakeClient:
    """A control node that leads, or that names another one."""

    def __init__(self, leader=None):
        self.leader = leader
        self.call_count = 0

    async def propose(self, request, timeout_s):
        self.call_count += 1
        if self.leader is None:
            return result.Success(inner_messages.ProposeReply(b"done"))
        failure = failures.Failure(codes.Code.NOT_LEADER, "another one leads")
        reply = inner_messages.ProposeReply(failure=failure, leader=self.leader)
        return result.Success(reply)


@pytest.mark.looptime
class TestLeaders:
    async def test_a_leader_that_only_a_follower_names_is_found(self):
        leader = FakeClient()
        seed = FakeClient(leader=ids.VmId("c-9"))
        proposer = groups.GroupProposer(
            groups.DECLARATION_GROUP, {ids.VmId("c-1"): seed}, None, {"c-9": leader}.get
        )
        outcome = await proposer.propose("session", ids.OperationId("1"), b"command")
        assert outcome.unwrap() == b"done"
        assert (seed.call_count, leader.call_count) == (1, 1)

    async def test_two_nodes_that_name_each_other_are_asked_at_a_bounded_rate(self):
        clients = {"c-1": FakeClient("c-2"), "c-2": FakeClient("c-1")}
        proposer = groups.GroupProposer(
            groups.DECLARATION_GROUP, dict(clients), None, clients.get
        )
        outcome = await proposer.propose("session", ids.OperationId("1"), b"command")
        assert outcome.failure().code is codes.Code.NO_QUORUM
        total = sum(each.call_count for each in clients.values())
        assert total <= groups.PROPOSE_TIMEOUT_S / groups.RETRY_INTERVAL_S + 1

    async def test_an_unknown_leader_is_left_out_where_addresses_are_configured(self):
        seed = FakeClient(leader=ids.VmId("c-9"))
        proposer = groups.GroupProposer(groups.DECLARATION_GROUP, {"c-1": seed}, None)
        outcome = await proposer.propose("session", ids.OperationId("1"), b"command")
        assert outcome.failure().code is codes.Code.NO_QUORUM


class FailingClient:
    """A control node that answers each proposal with the same failure."""

    def __init__(self, failure):
        self.failure = failure
        self.call_count = 0

    async def propose(self, request, timeout_s):
        self.call_count += 1
        return result.Success(inner_messages.ProposeReply(failure=self.failure))


class FailedReplica:
    """The replica on this VM, whose disk fails."""

    async def propose(self, session, operation, command):
        return result.Failure(failures.Failure(codes.Code.STORAGE_FAILED, "no room"))

    def leader(self):
        return None


REJECTION = failures.Failure(
    codes.Code.STORAGE_FAILED, "c-1 (no_room)", retry_after_ms=1_000
)


async def propose(clients, local=None):
    proposer = groups.GroupProposer(groups.DECLARATION_GROUP, clients, local)
    return await proposer.propose("session", ids.OperationId("1"), b"command")


@pytest.mark.looptime
class TestFailingDisks:
    async def test_a_leaders_rejection_is_returned_at_once(self):
        client = FailingClient(REJECTION)
        assert (await propose({"c-1": client})).failure() == REJECTION
        assert client.call_count == 1

    async def test_a_rejection_after_an_unknown_outcome_claims_nothing(self):
        unknown = failures.Failure(codes.Code.NO_QUORUM, "unknown")
        clients = {"c-1": FailingClient(REJECTION), "c-2": FailingClient(unknown)}
        failure = (await propose(clients)).failure()
        assert failure.code is codes.Code.NO_QUORUM
        assert "earlier attempt may still be applied" in failure.message
        assert "c-1 (no_room)" in failure.message
        assert failure.retry_after_ms == 1_000

    async def test_a_failed_replica_here_does_not_stop_a_proposer(self):
        outcome = await propose({"c-1": FakeClient()}, FailedReplica())
        assert outcome.unwrap() == b"done"

    async def test_a_failed_replica_elsewhere_does_not_stop_a_proposer(self):
        failed = failures.Failure(codes.Code.STORAGE_FAILED, "no room")
        for names in (("c-1", "c-2"), ("c-2", "c-1")):
            clients = {names[0]: FailingClient(failed), names[1]: FakeClient()}
            assert (await propose(clients)).unwrap() == b"done"
