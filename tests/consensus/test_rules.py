import asyncio

import crc32c
import msgspec
import pytest

from fakes import clusters
from quetzalpass.consensus import entries, following, log, messages, timing

AFTER_ELECTION_TIMEOUT_S = timing.ELECTION_TIMEOUT_S + 0.1


def make_entry(index, term):
    return entries.Entry(index, term, entries.EntryKind.COMMAND, "s", f"{index}-{term}")


async def start_one_replica(seed=0):
    """Start one replica of three; the test sends the messages of the others."""
    cluster = clusters.Cluster(3, seed)
    (await cluster.start("vm-1")).unwrap()
    await asyncio.sleep(AFTER_ELECTION_TIMEOUT_S)
    return cluster


async def send_append(
    cluster, term, previous, previous_term, added, commit=0, target=None
):
    group = cluster.groups["vm-1"]
    request = messages.AppendRequest(
        clusters.GROUP,
        term,
        "vm-2",
        "two",
        target or group.replica.replica_id,
        previous,
        previous_term,
        commit,
        added,
    )
    return await group.handle_append(request)


async def request_vote(cluster, candidate, term, last=(0, 0), *, is_pre_vote=False):
    group = cluster.groups["vm-1"]
    request = messages.VoteRequest(
        clusters.GROUP,
        term,
        "vm-2",
        candidate,
        group.replica.replica_id,
        last[1],
        last[0],
        is_pre_vote,
    )
    return (await group.handle_vote(request)).is_granted


@pytest.mark.looptime
class TestVotes:
    async def test_one_vote_per_term_even_after_a_crash(self):
        for seed in range(10):
            cluster = await start_one_replica(seed)
            assert await request_vote(cluster, "two", 5)
            await cluster.restart("vm-1")
            await asyncio.sleep(AFTER_ELECTION_TIMEOUT_S)
            assert not await request_vote(cluster, "three", 5)
            assert await request_vote(cluster, "two", 5)
            assert await request_vote(cluster, "three", 6)
            await cluster.stop()

    async def test_a_pre_vote_promises_nothing(self):
        cluster = await start_one_replica()
        assert await request_vote(cluster, "two", 5, is_pre_vote=True)
        assert cluster.groups["vm-1"].term == 0
        assert await request_vote(cluster, "three", 5)
        await cluster.stop()

    async def test_none_for_a_log_that_is_less_up_to_date(self):
        cluster = await start_one_replica()
        await send_append(cluster, 3, 0, 0, [make_entry(1, 1), make_entry(2, 3)])
        await asyncio.sleep(AFTER_ELECTION_TIMEOUT_S)
        assert not await request_vote(cluster, "three", 9, (3, 1))
        assert not await request_vote(cluster, "three", 9, (2, 7))
        assert await request_vote(cluster, "three", 9, (3, 2))
        await cluster.stop()

    async def test_none_for_a_former_replica_at_this_address(self):
        cluster = await start_one_replica()
        await cluster.wipe("vm-1")
        await asyncio.sleep(AFTER_ELECTION_TIMEOUT_S)
        old = messages.VoteRequest(
            clusters.GROUP, 5, "vm-2", "two", "former disk", 0, 0, False
        )
        assert not (await cluster.groups["vm-1"].handle_vote(old)).is_granted
        await cluster.stop()


@pytest.mark.looptime
class TestLogMatching:
    async def test_entries_need_a_matching_previous_term(self):
        cluster = await start_one_replica()
        reply = await send_append(
            cluster, 3, 0, 0, [make_entry(1, 1), make_entry(2, 2), make_entry(3, 2)]
        )
        assert reply.match_index == 3
        reply = await send_append(cluster, 4, 3, 4, [make_entry(4, 4)], commit=4)
        assert not reply.is_matching
        # All entries of the term that doesn't match are skipped.
        assert reply.next_index == 2
        assert cluster.groups["vm-1"].replica.commit_index == 0
        reply = await send_append(
            cluster, 4, 1, 1, [make_entry(2, 4), make_entry(3, 4)]
        )
        assert reply.match_index == 3
        await cluster.stop()

    async def test_a_gap_is_rejected(self):
        cluster = await start_one_replica()
        reply = await send_append(cluster, 3, 7, 3, [make_entry(8, 3)])
        assert (reply.is_matching, reply.next_index) == (False, 1)
        await cluster.stop()

    async def test_a_delayed_message_truncates_and_acknowledges_nothing_more(self):
        cluster = await start_one_replica()
        added = [make_entry(index, 3) for index in range(1, 6)]
        await send_append(cluster, 3, 0, 0, added)
        reply = await send_append(cluster, 3, 0, 0, added[:2], commit=5)
        assert reply.match_index == 2
        own = cluster.groups["vm-1"].replica
        assert own.log.last_index == 5
        assert own.commit_index == 2
        await cluster.stop()

    async def test_entries_for_a_former_replica_at_this_address_are_rejected(self):
        cluster = await start_one_replica()
        reply = await send_append(
            cluster, 3, 0, 0, [make_entry(1, 3)], target="former disk"
        )
        assert (reply.is_matching, reply.replica) == (False, entries.NO_REPLICA)
        assert cluster.groups["vm-1"].replica.log.is_blank
        await cluster.stop()

    async def test_a_blank_replica_rejects_a_former_replica_whose_disk_was_wiped(self):
        cluster = await start_one_replica()
        group = cluster.groups["vm-1"]
        await group.handle_status(messages.StatusRequest("test", "vm-2", "new"))
        reply = await send_append(cluster, 3, 0, 0, [make_entry(1, 3)])
        assert (reply.is_matching, group.replica.log.is_blank) == (False, True)
        assert not await request_vote(cluster, "two", 5)
        assert await request_vote(cluster, "new", 5)
        await cluster.stop()

    async def test_a_former_leader_is_rejected(self):
        cluster = await start_one_replica()
        await send_append(cluster, 4, 0, 0, [make_entry(1, 4)])
        reply = await send_append(cluster, 3, 0, 0, [make_entry(1, 3)])
        assert (reply.is_matching, reply.term) == (False, 4)
        assert cluster.groups["vm-1"].replica.log.last_term == 4
        await cluster.stop()

    async def test_acknowledged_entries_survive_a_crash(self):
        for seed in range(10):
            cluster = await start_one_replica(seed)
            await send_append(
                cluster, 3, 0, 0, [make_entry(1, 1), make_entry(2, 2), make_entry(3, 2)]
            )
            await send_append(cluster, 4, 1, 1, [make_entry(2, 4)])
            await cluster.restart("vm-1")
            own = cluster.groups["vm-1"].replica
            assert own.term == 4
            assert [item.term for item in own.log.entries] == [1, 4]
            await cluster.stop()


@pytest.mark.looptime
class TestSnapshots:
    async def send_snapshot(self, cluster, term, index, chunk_bytes=16):
        group = cluster.groups["vm-1"]
        snapshot = log.GroupSnapshot(index, term, entries.Configuration(), [], b"a\nb")
        data = log.encode_snapshot(snapshot)
        for start in range(0, len(data), chunk_bytes):
            request = messages.SnapshotRequest(
                clusters.GROUP,
                term,
                "vm-2",
                "two",
                group.replica.replica_id,
                index,
                start,
                len(data),
                crc32c.crc32c(data),
                data[start : start + chunk_bytes],
            )
            # A repeated chunk changes nothing.
            await group.handle_snapshot(request)
            reply = await group.handle_snapshot(request)
        return reply

    async def test_replaces_conflicting_entries_even_after_a_crash(self):
        for seed in range(10):
            cluster = await start_one_replica(seed)
            await send_append(
                cluster, 2, 0, 0, [make_entry(index, 2) for index in range(1, 6)]
            )
            assert (await self.send_snapshot(cluster, 4, 3)).is_installed
            own_log = cluster.groups["vm-1"].replica.log
            assert (own_log.last_index, own_log.last_term) == (3, 4)
            reply = await send_append(cluster, 4, 3, 4, [make_entry(4, 4)])
            assert reply.match_index == 4
            for _ in range(2):
                await cluster.restart("vm-1")
                own_log = cluster.groups["vm-1"].replica.log
                assert [item.term for item in own_log.entries] == [4]
                assert cluster.items("vm-1") == [b"a", b"b"]
            await cluster.stop()

    async def test_keeps_later_entries_that_match(self):
        cluster = await start_one_replica()
        await send_append(
            cluster, 4, 0, 0, [make_entry(index, 4) for index in range(1, 6)]
        )
        assert (await self.send_snapshot(cluster, 4, 3)).is_installed
        await cluster.restart("vm-1")
        assert cluster.groups["vm-1"].replica.log.last_index == 5
        await cluster.stop()

    async def test_entries_that_wait_to_be_applied_while_it_is_installed(
        self, monkeypatch
    ):
        cluster = clusters.Cluster()
        await cluster.start_all()
        leader = await cluster.leader()
        follower = next(vm for vm in cluster.vms if vm != leader)
        behind = cluster.groups[follower]
        for item in (b"a", b"b", b"c"):
            await cluster.propose(item)
        await cluster.until(lambda: cluster.items(follower) == [b"a", b"b", b"c"])
        snapshot = cluster.groups[leader].applier.take_snapshot()
        ahead = msgspec.structs.replace(snapshot, index=snapshot.index + 50)
        encoded = log.encode_snapshot(ahead)
        save = behind.replica.log.snapshots.save

        async def save_and_commit(stored):
            saved = await save(stored)
            behind.replica.applied_index -= 2
            behind.replica.commit_changed.notify()
            return saved

        monkeypatch.setattr(behind.replica.log.snapshots, "save", save_and_commit)
        incoming = following.IncomingSnapshot(
            behind.replica.replica_id,
            ahead.index,
            crc32c.crc32c(encoded),
            bytearray(encoded),
        )
        assert await behind.follower.install(incoming)
        assert behind.replica.failure is None
        assert behind.replica.applied_index == ahead.index
        await cluster.stop()


@pytest.mark.looptime
class TestCommit:
    async def test_entries_of_older_terms_are_committed_only_with_one_of_this_term(
        self,
    ):
        cluster = clusters.Cluster()
        await cluster.start_all()
        current = cluster.groups[await cluster.leader()].leadership
        current.replica.commit_index = 1
        current.first_index = current.replica.log.last_index + 1
        current.update_commit_index()
        assert current.replica.commit_index == 1
        current.first_index = current.replica.log.last_index
        current.update_commit_index()
        assert current.replica.commit_index == current.first_index
        await cluster.stop()
