import asyncio
import random

import pytest
from returns import result

from quetzalpass.results import codes
from quetzalpass.routing import admission, ejection, policies, servers, work

from .conftest import MODEL, make_item, make_view


class OneRequestPerServer(policies.Policy):
    """Runs at most one request on each server."""

    def choose(self, item, table, now_s):
        pool = table.pool(item.model, item.version)
        for record in pool.usable:
            if not record.in_flight and policies.allows(record, item):
                return work.Choice(record.server_id, "free")
        return None


@pytest.fixture
def limited_admission(build):
    dispatcher = build(names="a")
    dispatcher.policy = OneRequestPerServer()
    return admission.Admission(dispatcher)


class TestAcquire:
    async def test_waits_until_the_server_is_free(self, limited_admission):
        first = (await limited_admission.acquire(make_item("1"))).unwrap()
        second = asyncio.create_task(limited_admission.acquire(make_item("2")))
        await asyncio.sleep(0)
        assert not second.done()
        first.on_tokens(40)
        first.release(work.ReservationOutcome.COMPLETED)
        first.release(work.ReservationOutcome.COMPLETED)
        reservation = (await second).unwrap()
        assert reservation.server_id == "a"
        assert (
            limited_admission.explain(reservation.item.request_id).choice
            == reservation.choice
        )

    async def test_missed_deadline_is_refused_without_dispatch(self, limited_admission):
        await limited_admission.acquire(make_item("1"))
        now_s = asyncio.get_running_loop().time()
        outcome = await limited_admission.acquire(
            make_item("2", deadline_s=now_s + 0.05)
        )
        failure = outcome.failure()
        assert failure.code is codes.Code.DEADLINE_BEFORE_START
        assert failure.retry_after_ms > 0
        assert set(limited_admission.dispatcher.in_flight) == {"1"}

    async def test_cancellation_right_after_a_placement_leaves_no_state(
        self, limited_admission
    ):
        first = (await limited_admission.acquire(make_item("1"))).unwrap()
        second = asyncio.create_task(limited_admission.acquire(make_item("2")))
        await asyncio.sleep(0)
        # The request is placed in the same loop iteration in which it is cancelled.
        first.release(work.ReservationOutcome.COMPLETED)
        second.cancel()
        with pytest.raises(asyncio.CancelledError):
            await second
        assert not limited_admission.dispatcher.in_flight
        assert not limited_admission.dispatcher.queued
        assert not limited_admission.waiters

    async def test_missing_server_is_refused_at_once(self, limited_admission):
        limited_admission.update_servers(())
        outcome = await limited_admission.acquire(make_item("1"))
        assert isinstance(outcome, result.Failure)
        assert outcome.failure().code is codes.Code.NO_SERVER


class TestRefusals:
    def test_full_queue_refuses_the_newest_of_the_largest_organisation(self, build):
        dispatcher = build(names="a", queue_limit=3)
        dispatcher.policy = OneRequestPerServer()
        dispatcher.submit(make_item("run"), 0.0)
        for name in ("f1", "f2", "f3"):
            assert dispatcher.submit(make_item(name, "flood"), 0.0) == []
        (refusal,) = dispatcher.submit(make_item("s1", "small"), 0.0)
        assert refusal.item.request_id == "f3"
        assert refusal.failure.code is codes.Code.QUEUE_FULL
        assert "f3" not in dispatcher.in_flight
        assert "f3" not in dispatcher.queued

    def test_full_queue_does_not_refuse_must_not_drop_requests(self, build):
        dispatcher = build(names="a", queue_limit=2)
        dispatcher.policy = OneRequestPerServer()
        dispatcher.submit(make_item("run"), 0.0)
        refused = []
        for number in range(6):
            item = make_item(f"m{number}", must_not_drop=True)
            refused += dispatcher.submit(item, 0.0)
            refused += dispatcher.submit(make_item(f"d{number}"), 0.0)
        assert all(not refusal.item.must_not_drop for refusal in refused)
        assert len(refused) == 6


class TestQueue:
    def test_cancelled_head_does_not_block_the_next(self, build):
        dispatcher = build(names="a")
        dispatcher.policy = OneRequestPerServer()
        dispatcher.submit(make_item("run"), 0.0)
        waiting = make_item("wait")
        dispatcher.submit(waiting, 0.0)
        assert dispatcher.cancel(waiting.request_id)
        dispatcher.table.update((make_view("a"), make_view("b")), 0.0)
        (placed,) = dispatcher.submit(make_item("next"), 0.0)
        assert placed.choice.server_id == "b"

    def test_more_urgent_request_is_placed_before_waiting_ones(self, build):
        dispatcher = build(names="a")
        dispatcher.policy = OneRequestPerServer()
        (running,) = dispatcher.submit(make_item("run"), 0.0)
        dispatcher.submit(make_item("draft", priority=2), 0.0)
        dispatcher.submit(make_item("check", priority=0), 0.0)
        (placed,) = dispatcher.release(
            running.item.request_id, work.ReservationOutcome.COMPLETED, 1.0
        )
        assert placed.item.request_id == "check"


class TestServers:
    def test_leaving_server_gets_no_requests(self, build):
        dispatcher = build(names="ab")
        leaving = make_view("a", state=servers.ServerState.LEAVING)
        dispatcher.table.update((leaving, make_view("b")), 0.0)
        for number in range(20):
            (placed,) = dispatcher.submit(make_item(str(number)), 0.0)
            assert placed.choice.server_id == "b"

    def test_a_server_runs_one_suspect_at_a_time(self, build):
        dispatcher = build(names="ab")
        chosen = [
            dispatcher.submit(make_item(name, suspect=True), 0.0) for name in "123"
        ]
        assert {chosen[0][0].choice.server_id, chosen[1][0].choice.server_id} == {
            "a",
            "b",
        }
        assert chosen[2] == []

    def test_last_usable_server_is_readmitted_after_the_shortest_ejection(self, build):
        table = build().table
        now_s = 0.0
        for _ in range(6):
            for name in "ab":
                table.eject(name, "test", now_s)
            now_s += ejection.FIRST_EJECTION_S
            table.end_ejections(now_s)
            assert table.pool(MODEL, None).usable

    def test_each_ejection_lasts_longer_and_load_returns_gradually(self, build):
        dispatcher = build(names="ab")
        table = dispatcher.table
        rng = random.Random(3)
        ejections_s = []
        now_s = 0.0
        for _ in range(3):
            table.eject("a", "test", now_s)
            start_s = now_s
            while table.records["a"].health.ejected_until_s is not None:
                now_s += rng.random()
                dispatcher.process_queues(now_s)
            ejections_s.append(now_s - start_s)
        assert ejections_s[0] < ejections_s[1] < ejections_s[2]
        assert table.records["a"].health.capacity_share(now_s) < 0.2
        assert table.records["a"].health.capacity_share(now_s + 60) == 1.0
