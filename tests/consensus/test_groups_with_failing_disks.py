"""What a group does while the disks of some replicas refuse writes or hang."""

import asyncio

import msgspec
import pytest
from returns import result

from fakes import clusters
from quetzalpass.consensus import entries, log, messages, peers, timing, voter_disks
from quetzalpass.consensus import replica as replicas
from quetzalpass.control import declared_state
from quetzalpass.results import codes

FAULTS = ["is_full", "fails_sync", "is_hanging"]


async def start_cluster(count=3, **options):
    cluster = clusters.Cluster(count, **options)
    await cluster.start_all()
    await cluster.propose(b"before")
    leader = await cluster.leader()
    return cluster, leader, [vm for vm in cluster.vms if vm != leader]


def set_fault(cluster, vms, fault, is_set=True):
    for vm in vms:
        setattr(cluster.disks[vm].faults, fault, is_set)


def propose_later(cluster, vm, command):
    group = cluster.groups[vm]
    return asyncio.create_task(group.propose("client", command.decode(), command))


def now():
    return asyncio.get_running_loop().time()


@pytest.mark.looptime
class TestLeadership:
    @pytest.mark.parametrize("fault", FAULTS)
    async def test_followers_confirm_it_while_their_disks_fail(self, fault):
        cluster, leader, others = await start_cluster()
        group = cluster.groups[leader]
        term = group.term
        set_fault(cluster, others, fault)
        proposal = propose_later(cluster, leader, b"meanwhile")
        for _ in range(60):
            await asyncio.sleep(0.05)
            assert group.is_leader_with_lease()
        (await group.read_barrier()).unwrap()
        assert b"meanwhile" not in cluster.items(leader)
        set_fault(cluster, others, fault, False)
        (await proposal).unwrap()
        assert group.term == term
        await cluster.until_all_hold([b"before", b"meanwhile"])
        await cluster.stop()

    async def test_waiting_followers_cost_few_messages(self):
        cluster, leader, others = await start_cluster()
        set_fault(cluster, others, "is_full")
        propose_later(cluster, leader, b"meanwhile")
        cluster.network.sent_counts.clear()
        await asyncio.sleep(3.0)
        # Each reply waits for the disk for half a heartbeat interval, 0.125 s.
        assert cluster.network.sent_counts["AppendRequest"] <= 2 * 3.0 / 0.125 + 2
        await cluster.stop()

    async def test_a_slow_sync_is_acknowledged_when_it_ends(self):
        cluster, leader, others = await start_cluster()
        for vm in others:
            cluster.disks[vm].faults.sync_s = 0.4
        begun = now()
        (await propose_later(cluster, leader, b"meanwhile")).unwrap()
        assert 0.4 <= now() - begun < 0.42
        await cluster.stop()

    async def test_a_refusal_delays_the_acknowledgement_by_its_length(self):
        cluster, leader, _ = await start_cluster()
        set_fault(cluster, cluster.vms, "is_full")
        proposal = propose_later(cluster, leader, b"meanwhile")
        begun = now()
        await asyncio.sleep(0.3)
        set_fault(cluster, cluster.vms, "is_full", False)
        (await proposal).unwrap()
        # The next attempt to write is made after 0.2 s at most.
        assert now() - begun < 0.6
        await cluster.stop()

    async def test_a_former_leader_never_counts_what_is_not_synced(self):
        for seed in range(8):
            cluster, leader, others = await start_cluster(seed=seed)
            set_fault(cluster, others, FAULTS[seed % 3])
            proposal = propose_later(cluster, leader, b"lost")
            await asyncio.sleep(2.0)
            assert not proposal.done() or isinstance(proposal.result(), result.Failure)
            assert cluster.groups[leader].replica.commit_index < (
                cluster.groups[leader].replica.log.last_index
            )
            proposal.cancel()
            for vm in cluster.vms:
                await cluster.crash(vm)
            for vm in others:
                (await cluster.start(vm)).unwrap()
            await cluster.propose(b"after", attempts=50)
            assert cluster.items(await cluster.leader())[-1] == b"after"
            await cluster.stop()


def use_former_leaders(monkeypatch):
    """Let leaders send again what a reply doesn't confirm, as the version before."""
    call = peers.Peer.call

    async def call_as_before(self, request):
        reply = await call(self, request)
        if not isinstance(reply, messages.AppendReply) or not reply.is_matching:
            return reply
        next_index = max(self.match_index, reply.match_index) + 1
        return msgspec.structs.replace(reply, next_index=next_index)

    monkeypatch.setattr(peers.Peer, "call", call_as_before)
    monkeypatch.setattr(peers.Peer, "has_unsynced_entries", lambda self: False)


def use_former_follower(monkeypatch, cluster, vm):
    """Let a replica reply only once all is synced, as the version before."""
    replica = cluster.groups[vm].replica
    follower = cluster.groups[vm].follower

    async def wait_as_before(match):
        return await replica.persist()

    monkeypatch.setattr(follower, "wait_until_synced", wait_as_before)


@pytest.mark.looptime
class TestVersionBefore:
    async def test_its_leader_keeps_its_lease_with_new_followers(self, monkeypatch):
        use_former_leaders(monkeypatch)
        cluster, leader, others = await start_cluster()
        set_fault(cluster, others, "is_full")
        proposal = propose_later(cluster, leader, b"meanwhile")
        cluster.network.sent_counts.clear()
        for _ in range(60):
            await asyncio.sleep(0.05)
            assert cluster.groups[leader].is_leader_with_lease()
        assert cluster.network.sent_counts["AppendRequest"] <= 2 * 3.0 / 0.125 + 2
        set_fault(cluster, others, "is_full", False)
        (await proposal).unwrap()
        await cluster.until_all_hold([b"before", b"meanwhile"])
        await cluster.stop()

    async def test_its_follower_serves_a_new_leader(self, monkeypatch):
        cluster, leader, others = await start_cluster()
        use_former_follower(monkeypatch, cluster, others[0])
        set_fault(cluster, others, "is_full")
        proposal = propose_later(cluster, leader, b"meanwhile")
        await asyncio.sleep(0.5)
        assert cluster.groups[leader].is_leader_with_lease()
        set_fault(cluster, others, "is_full", False)
        (await proposal).unwrap()
        await cluster.until_all_hold([b"before", b"meanwhile"])
        await cluster.stop()


def make_entry(index, term):
    return entries.Entry(index, term, entries.EntryKind.COMMAND, "s", f"{index}-{term}")


@pytest.mark.looptime
class TestFollower:
    """One replica of three, to which the test sends a leader's messages."""

    async def start(self):
        cluster = clusters.Cluster(3)
        (await cluster.start("vm-1")).unwrap()
        return cluster

    async def send(self, cluster, term, previous, previous_term, added, commit=0):
        group = cluster.groups["vm-1"]
        request = messages.AppendRequest(
            clusters.GROUP,
            term,
            "vm-2",
            "two",
            group.replica.replica_id,
            previous,
            previous_term,
            commit,
            added,
        )
        return await group.handle_append(request)

    @pytest.mark.parametrize("fault", FAULTS)
    async def test_confirms_only_what_is_synced(self, fault):
        cluster = await self.start()
        reply = await self.send(cluster, 3, 0, 0, [make_entry(1, 3)])
        assert reply.match_index == 1
        set_fault(cluster, ["vm-1"], fault)
        begun = now()
        reply = await self.send(cluster, 3, 1, 3, [make_entry(2, 3), make_entry(3, 3)])
        assert now() - begun == pytest.approx(0.125, abs=0.001)
        assert (reply.is_matching, reply.match_index, reply.next_index) == (True, 1, 4)
        # Entries that replace others count only with their own sync.
        reply = await self.send(cluster, 4, 0, 0, [make_entry(1, 4)])
        assert (reply.is_matching, reply.match_index, reply.next_index) == (True, 0, 2)
        set_fault(cluster, ["vm-1"], fault, False)
        await asyncio.sleep(1.0)
        reply = await self.send(cluster, 4, 1, 4, [])
        assert reply.match_index == 1
        await cluster.stop()

    async def test_confirms_only_committed_entries_while_its_term_is_not_synced(self):
        cluster = await self.start()
        await self.send(cluster, 3, 0, 0, [make_entry(1, 3), make_entry(2, 3)], 1)
        set_fault(cluster, ["vm-1"], "is_full")
        reply = await self.send(cluster, 4, 2, 3, [])
        assert (reply.is_matching, reply.match_index) == (True, 1)
        # After a crash the replica knows nothing of the later term.
        await cluster.restart("vm-1")
        assert cluster.groups["vm-1"].term == 3
        await cluster.stop()


@pytest.mark.looptime
class TestElections:
    async def start_with_failing_follower(self, fault="is_full", count=3):
        """Start a group in which one follower has met the failure of its disk."""
        cluster, leader, others = await start_cluster(count)
        set_fault(cluster, others[:1], fault)
        await cluster.propose(b"meanwhile")
        await asyncio.sleep(1.5)
        assert cluster.groups[others[0]].health.is_failing
        return cluster, leader, others

    @pytest.mark.parametrize("fault", FAULTS)
    async def test_a_failing_replica_refuses_votes_at_once(self, fault):
        cluster, leader, others = await self.start_with_failing_follower(fault)
        failing, sound = others
        await cluster.crash(leader)
        await asyncio.sleep(2.0)
        replica = cluster.groups[failing].replica
        state = replica.log.hard_state
        for is_pre_vote in (True, False):
            begun = now()
            request = messages.VoteRequest(
                clusters.GROUP,
                replica.term + 1,
                sound,
                cluster.groups[sound].replica.replica_id,
                replica.replica_id,
                replica.log.last_index + 1,
                replica.log.last_term,
                is_pre_vote,
            )
            assert not (await cluster.groups[failing].handle_vote(request)).is_granted
            assert now() == begun
        assert replica.log.hard_state == state
        await cluster.stop()

    @pytest.mark.parametrize("fault", FAULTS)
    async def test_a_failing_replica_does_not_stand(self, fault):
        cluster, leader, others = await self.start_with_failing_follower(fault)
        failing = cluster.groups[others[0]]
        term = failing.term
        await cluster.crash(leader)
        cluster.network.isolate(others[1])
        cluster.network.sent_counts.clear()
        await asyncio.sleep(5.0)
        assert failing.term == term
        assert failing.replica.role is replicas.Role.FOLLOWER
        request = messages.HandOverRequest(
            clusters.GROUP, term, failing.replica.replica_id
        )
        await failing.handle_leadership_transfer(request)
        await asyncio.sleep(0.1)
        assert failing.term == term
        cluster.network.heal()
        set_fault(cluster, others[:1], fault, False)
        await cluster.propose(b"after", attempts=50)
        await cluster.stop()

    async def test_the_sound_replicas_elect_a_leader(self):
        cluster, leader, others = await self.start_with_failing_follower(count=5)
        await cluster.crash(leader)
        await cluster.propose(b"after", attempts=50)
        assert await cluster.leader() != others[0]
        await cluster.stop()


@pytest.mark.looptime
class TestFailingLeaders:
    @pytest.mark.parametrize("fault", FAULTS)
    async def test_leadership_is_transferred_to_a_voter_that_holds_more(self, fault):
        cluster, leader, others = await start_cluster()
        set_fault(cluster, [leader], fault)
        await cluster.propose(b"meanwhile")
        # A disk that hangs is known to do so after a second.
        await asyncio.sleep(2.5)
        assert await cluster.leader() in others
        assert cluster.groups[leader].leadership is None
        await cluster.propose(b"after")
        set_fault(cluster, [leader], fault, False)
        await cluster.until_all_hold([b"before", b"meanwhile", b"after"])
        await cluster.stop()

    async def test_a_short_refusal_costs_no_leadership(self):
        cluster, leader, _ = await start_cluster()
        term = cluster.groups[leader].term
        set_fault(cluster, [leader], "is_full")
        await cluster.propose(b"meanwhile")
        await asyncio.sleep(0.3)
        set_fault(cluster, [leader], "is_full", False)
        await asyncio.sleep(3.0)
        assert cluster.groups[leader].term == term
        assert cluster.groups[leader].is_leader_with_lease()
        await cluster.stop()

    @pytest.mark.parametrize("sound_count", [0, 1])
    async def test_leads_on_where_no_majority_could_elect_another(self, sound_count):
        cluster, leader, others = await start_cluster()
        group = cluster.groups[leader]
        term = group.term
        set_fault(cluster, [leader, *others[sound_count:]], "is_full")
        proposal = propose_later(cluster, leader, b"meanwhile")
        for _ in range(80):
            await asyncio.sleep(0.05)
            assert group.is_leader_with_lease()
        (await group.read_barrier()).unwrap()
        set_fault(cluster, cluster.vms, "is_full", False)
        (await proposal).unwrap()
        assert group.term == term
        await cluster.stop()

    async def test_a_transfer_that_fails_costs_the_group_no_lease_for_long(self):
        cluster, leader, others = await start_cluster()
        set_fault(cluster, [leader], "is_full")
        await cluster.propose(b"meanwhile")
        for vm in others:
            elections = cluster.groups[vm].elections
            elections.handle_leadership_transfer = self.ignore_transfer
        await asyncio.sleep(5.0)
        set_fault(cluster, [leader], "is_full", False)
        await asyncio.sleep(3.0)
        newest = await cluster.leader()
        assert cluster.groups[newest].is_leader_with_lease()
        await cluster.stop()

    async def ignore_transfer(self, request):
        return messages.HandOverReply()

    @pytest.mark.parametrize("failing", ["leader", "follower"])
    async def test_what_waits_for_a_disk_is_bounded(self, failing, monkeypatch):
        monkeypatch.setattr(log, "MAX_UNSYNCED_BYTES", 4_000)
        monkeypatch.setattr(voter_disks, "TRANSFER_AFTER_S", 1_000.0)
        cluster, leader, others = await start_cluster()
        vm = leader if failing == "leader" else others[0]
        set_fault(cluster, [vm], "is_full")
        items = [b"before"]
        for number in range(100):
            command = b"%d " % number + b"x" * 200
            outcome = await propose_later(cluster, leader, command)
            if isinstance(outcome, result.Success):
                items.append(command)
        assert cluster.groups[vm].replica.log.segments.pending_bytes < 5_000
        assert (len(items) == 101) == (failing == "follower")
        set_fault(cluster, [vm], "is_full", False)
        await cluster.until_all_hold(items)
        await cluster.stop()


@pytest.mark.looptime
class TestProposals:
    @pytest.mark.parametrize("sound_count", [0, 1])
    @pytest.mark.parametrize("leader_fails", [False, True])
    async def test_are_rejected_while_no_majority_has_a_working_disk(
        self, sound_count, leader_fails
    ):
        count = 3 if sound_count == 0 or leader_fails else 5
        cluster, leader, others = await start_cluster(count)
        failing = others[sound_count:]
        if leader_fails or sound_count == 0:
            failing = [leader, *failing]
        set_fault(cluster, failing, "is_full")
        waiting = propose_later(cluster, leader, b"meanwhile")
        await asyncio.sleep(2.0)
        begun = now()
        failure = (await propose_later(cluster, leader, b"rejected")).failure()
        assert now() == begun
        assert failure.code is codes.Code.STORAGE_FAILED
        assert failure.retry_after_ms == 1_000
        named = {vm for vm in cluster.vms if f"{vm} (no_room)" in failure.message}
        assert named == set(failing)
        set_fault(cluster, failing, "is_full", False)
        (await waiting).unwrap()
        await cluster.until(
            lambda: cluster.groups[leader].leadership.voter_disks.rejection() is None,
            timeout_s=1.0,
        )
        await cluster.propose(b"after")
        await cluster.until_all_hold([b"before", b"meanwhile", b"after"])
        await cluster.stop()

    async def test_are_accepted_while_a_majority_has_working_disks(self):
        cluster, leader, others = await start_cluster()
        set_fault(cluster, others[:1], "is_full")
        for number in range(30):
            (await propose_later(cluster, leader, b"%d" % number)).unwrap()
            await asyncio.sleep(0.1)
        await cluster.stop()

    async def test_a_lost_voter_is_not_taken_for_a_failing_disk(self):
        cluster, leader, others = await start_cluster()
        set_fault(cluster, others, "is_full")
        propose_later(cluster, leader, b"meanwhile")
        await asyncio.sleep(0.9)
        await cluster.crash(others[0])
        await asyncio.sleep(timing.ELECTION_TIMEOUT_S)
        current = cluster.groups[leader].leadership
        assert current is None or current.voter_disks.rejection() is None
        await cluster.stop()


BARRIER = msgspec.msgpack.encode(declared_state.BarrierCommand())


async def publish(cluster, revision):
    command = declared_state.PublishCommand(
        revision, declared_state.EMPTY_DATA, b"document", ""
    )
    data = msgspec.msgpack.encode(command)
    await cluster.propose(data, operation=f"publish {revision}")


async def read(cluster, vm, operation="read"):
    outcome = await cluster.groups[vm].propose("client", operation, BARRIER)
    return outcome.map(lambda data: msgspec.msgpack.decode(data, type=int))


@pytest.mark.looptime
class TestReads:
    async def start(self):
        cluster = clusters.Cluster(machine=declared_state.DeclaredState)
        await cluster.start_all()
        await publish(cluster, 3)
        return cluster, await cluster.leader()

    @pytest.mark.parametrize("fault", FAULTS)
    async def test_need_no_disk(self, fault):
        cluster, leader = await self.start()
        last_index = cluster.groups[leader].replica.log.last_index
        set_fault(cluster, cluster.vms, fault)
        for number in range(20):
            begun = now()
            assert (await read(cluster, leader, f"{number}")).unwrap() == 3
            assert now() - begun < 0.3
            await asyncio.sleep(0.2)
        assert cluster.groups[leader].replica.log.last_index == last_index
        await cluster.stop()

    async def test_a_former_leader_answers_none(self):
        for seed in range(4):
            cluster, leader = await self.start()
            cluster.network.isolate(leader, inbound=seed % 2 == 0)
            early = asyncio.create_task(read(cluster, leader))
            await cluster.leader(excluded=[leader])
            late = asyncio.create_task(read(cluster, leader, "late"))
            await publish(cluster, 4)
            await asyncio.sleep(6.0)
            assert isinstance(late.result(), result.Failure)
            assert isinstance(early.result(), result.Failure)
            cluster.network.heal()
            assert (await read(cluster, await cluster.leader(), "new")).unwrap() == 4
            await cluster.stop()

    async def test_see_all_that_was_acknowledged_before(self):
        for seed in range(6):
            cluster = clusters.Cluster(seed=seed, machine=declared_state.DeclaredState)
            await cluster.start_all()
            for revision in range(1, 12):
                await publish(cluster, revision)
                if revision % 4 == 0:
                    await cluster.groups[await cluster.leader()].transfer_leadership()
                for number, vm in enumerate(cluster.vms):
                    found = await read(cluster, vm, f"{revision}-{number}")
                    if isinstance(found, result.Success):
                        assert found.unwrap() == revision
            await cluster.stop()

    async def test_a_leader_of_the_version_before_still_appends_them(self):
        machine = declared_state.DeclaredState()
        publish_command = declared_state.PublishCommand(
            7, declared_state.EMPTY_DATA, b"document", ""
        )
        machine.apply(1, msgspec.msgpack.encode(publish_command))
        # That leader replicates the command, and each replica here applies it.
        assert machine.apply(2, BARRIER) == machine.query(BARRIER)
        assert msgspec.msgpack.decode(machine.query(BARRIER), type=int) == 7
        assert machine.query(msgspec.msgpack.encode(publish_command)) is None
