import collections
import random

import pytest

from quetzalpass import ids
from quetzalpass.routing import factory, reports, servers, settings, work

from .conftest import DATA_CENTRE, make_item, make_view

PREDICTIVE = settings.PolicyName.PREDICTIVE


def learn(dispatcher, class_name, tokens):
    """Complete requests of a class so that the dispatcher learns their length."""
    for number in range(60):
        item = make_item(f"learn-{class_name}-{number}", class_name=class_name)
        (placed,) = dispatcher.submit(item, 0.0)
        dispatcher.on_tokens(item.request_id, tokens)
        dispatcher.release(item.request_id, work.ReservationOutcome.COMPLETED, 0.0)


def fill(dispatcher, class_name, limit=500, **rest):
    """Submit requests until one has to wait; return the placements."""
    placed = []
    for number in range(limit):
        item = make_item(f"{class_name}-{number}", class_name=class_name, **rest)
        decisions = dispatcher.submit(item, 0.0)
        if not decisions:
            return placed
        placed += decisions
    raise AssertionError("all requests were placed")


class TestAdmissionByMemory:
    @pytest.mark.parametrize("tokens", [900, 2000])
    def test_memory_for_expected_growth_is_reserved(self, build, tokens):
        dispatcher = build(PREDICTIVE, names="a")
        learn(dispatcher, "long", tokens)
        learn(dispatcher, "short", 20)
        long_ones = len(fill(dispatcher, "long", priority=0, prompt_tokens=400))
        other = build(PREDICTIVE, names="a")
        learn(other, "long", tokens)
        learn(other, "short", 20)
        short_ones = len(fill(other, "short", priority=0, prompt_tokens=400))
        assert short_ones > 1.5 * long_ones
        assert long_ones * (400 + tokens) < 1.3 * make_view("a").memory_tokens

    def test_capacity_is_reserved_for_urgent_requests(self, build):
        dispatcher = build(PREDICTIVE, names="ab")
        learn(dispatcher, "draft", 800)
        learn(dispatcher, "check", 20)
        fill(dispatcher, "draft", priority=2, prompt_tokens=600)
        for number in range(4):
            check = make_item(
                f"check-{number}",
                class_name="check",
                priority=0,
                prompt_tokens=200,
                must_not_drop=True,
            )
            (placed,) = dispatcher.submit(check, 1.0)
            assert isinstance(placed.choice, work.Choice)

    def test_end_of_a_request_frees_capacity_for_the_next(self, build):
        dispatcher = build(PREDICTIVE, names="a")
        learn(dispatcher, "draft", 300)
        placed = fill(dispatcher, "draft", prompt_tokens=600)
        first = placed[0].item.request_id
        dispatcher.on_tokens(first, 300)
        decisions = dispatcher.release(first, work.ReservationOutcome.COMPLETED, 5.0)
        assert len(decisions) == 1
        assert not dispatcher.queued


class TestOvertaking:
    def test_large_request_is_not_overtaken_forever(self, build):
        dispatcher = build(PREDICTIVE, names="a")
        learn(dispatcher, "draft", 300)
        running = fill(dispatcher, "draft", prompt_tokens=600)
        large = make_item("large", "small-org", class_name="draft", prompt_tokens=6000)
        dispatcher.submit(large, 0.0)
        now_s = 0.0
        for number in range(300):
            now_s += 0.2
            small = make_item(
                f"small-{number}", "flood", class_name="draft", prompt_tokens=600
            )
            dispatcher.submit(small, now_s)
            finished = running.pop(0).item.request_id
            dispatcher.on_tokens(finished, 300)
            done = work.ReservationOutcome.COMPLETED
            placed = dispatcher.release(finished, done, now_s)
            running += placed
            if any(decision.item is large for decision in placed):
                return
        raise AssertionError("the large request was never placed")


class TestLag:
    def test_outdated_report_does_not_overload_a_server(self, build):
        dispatcher = build(PREDICTIVE, names="abcd")
        for name in "bcd":
            busy = reports.LoadReport(0.0, 20, 4, 750, 600, 32, 0, 0.05, 0)
            dispatcher.table.observe_report(ids.ServerId(name), busy)
        idle = reports.LoadReport(0.0, 0, 0, 750, 0, 32, 0, 0.02, 0)
        dispatcher.table.observe_report(ids.ServerId("a"), idle)
        counts = collections.Counter()
        for number in range(40):
            (placed,) = dispatcher.submit(make_item(str(number)), 0.5)
            counts[placed.choice.server_id] += 1
        assert max(counts.values()) <= 16

    def test_peers_load_counts_until_it_expires(self, build):
        first = build(PREDICTIVE, names="ab")
        second = build(PREDICTIVE, names="ab")
        for number in range(12):
            item = make_item(str(number), prompt_tokens=1500, excluded=frozenset("b"))
            first.submit(item, 0.0)
        vm = ids.VmId("peer")
        loads = first.table.own_loads()
        second.table.observe_peer(servers.PeerDispatches(vm, 2, loads), 0.0)
        late = servers.PeerDispatches(vm, 1, ())
        second.table.observe_peer(late, 0.0)
        assert second.table.records["a"].sequences == 12
        for number in range(6):
            (placed,) = second.submit(make_item(str(number)), 0.0)
            assert placed.choice.server_id == "b"
        second.process_queues(10.0)
        assert second.table.records["a"].sequences == 0


class TestPrefixes:
    def test_cached_prefix_is_preferred_and_missed_events_lower_confidence(self, build):
        dispatcher = build(PREDICTIVE, names="abc")
        hashes = tuple(range(100, 130))
        server = ids.ServerId("c")
        event = reports.CacheEvent(1, added=hashes)
        dispatcher.table.observe_cache_event(server, event)
        item = make_item("1", prompt_tokens=1000, prefix_hashes=hashes)
        (placed,) = dispatcher.submit(item, 0.0)
        assert placed.choice.server_id == "c"
        assert placed.choice.matched_tokens == 960
        before = dispatcher.table.prefixes.confidence(server)
        dispatcher.table.observe_cache_event(server, reports.CacheEvent(9))
        assert dispatcher.table.prefixes.confidence(server) < before / 2


class TestSlowServer:
    def test_slow_server_runs_one_request_at_a_time(self, build):
        dispatcher = build(PREDICTIVE, names="abc")
        for moment in range(60):
            for name, step_s in (("a", 0.2), ("b", 0.04), ("c", 0.04)):
                report = reports.LoadReport(
                    float(moment), 10, 0, 750, 300, 32, 0, step_s, 0
                )
                dispatcher.table.observe_report(ids.ServerId(name), report)
        counts = collections.Counter()
        for number in range(20):
            for placed in dispatcher.submit(make_item(str(number)), 60.0):
                counts[placed.choice.server_id] += 1
        assert counts["a"] <= 1
        assert counts["b"] > 4


class TestFleet:
    def test_decision_evaluates_few_of_many_servers(self):
        rules = settings.RoutingSettings(policy=PREDICTIVE)
        dispatcher = factory.make_dispatcher(rules, DATA_CENTRE, random.Random(1))
        views = tuple(make_view(str(number)) for number in range(2000))
        dispatcher.table.update(views, 0.0)
        evaluated = dispatcher.policy.candidates(make_item("1"), dispatcher.table)
        assert len(evaluated) <= 16
