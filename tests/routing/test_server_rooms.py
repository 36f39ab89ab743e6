"""Room on brittle servers under the load patterns that fell them."""

import random

import pytest

from quetzalpass import ids
from quetzalpass.routing import brittle_services, server_rooms

SERVICE = ids.ServiceName("ledger")
RUN_S = 0.25
STEP_S = 0.005


class BrittleServer:
    """Runs some requests at once, lets none wait, and records its refusals."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.ends_s = []
        self.refused_s = []

    def send(self, now_s):
        self.ends_s = [each for each in self.ends_s if each > now_s]
        if len(self.ends_s) >= self.capacity:
            self.refused_s.append(now_s)
            return None
        self.ends_s.append(now_s + RUN_S)
        return now_s + RUN_S

    def most_refused_in_a_second(self):
        return max(
            (sum(s <= e < s + 1.0 for e in self.refused_s) for s in self.refused_s),
            default=0,
        )


def replay(room, server, seconds, per_s, seed=0, borne=5.0, rank=lambda rng: 0):
    """Offer requests at random times; return served and denied ones by rank."""
    rng = random.Random(seed)
    served, denied, ends = [], [], {}
    now_s, count = 0.0, 0
    while now_s < seconds:
        now_s += STEP_S
        for name in [name for name, end_s in ends.items() if end_s <= now_s]:
            del ends[name]
            room.release(name, 0, borne, now_s)
        if rng.random() > per_s * STEP_S:
            continue
        count += 1
        name, its_rank = f"r-{count}", rank(rng)
        admission = server_rooms.Admission(ids.VmId("gw"), now_s + 5.0)
        if not room.admit(name, admission, its_rank, 0, now_s):
            denied.append(its_rank)
            continue
        end_s = server.send(now_s)
        if end_s is None:
            room.release(name, 1, borne, now_s)
        else:
            ends[name] = end_s
            served.append(its_rank)
    return served, denied


@pytest.mark.parametrize("seed", range(5))
class TestFindingTheRoom:
    @pytest.mark.parametrize("capacity", [1, 3, 6, 12])
    @pytest.mark.parametrize("per_s", [40, 150])
    def test_server_refuses_few_and_its_room_is_used(self, capacity, per_s, seed):
        room = server_rooms.ServerRoom(0, 0.0)
        server = BrittleServer(capacity)
        served, _ = replay(room, server, 20.0, per_s, seed)
        assert server.most_refused_in_a_second() <= 3
        could_run = min(per_s, capacity / RUN_S) * 20.0
        assert len(served) >= 0.7 * could_run

    def test_smaller_room_than_before_is_found_after_few_refusals(self, seed):
        room = server_rooms.ServerRoom(12, 0.0)
        for number in range(12):
            admission = server_rooms.Admission(ids.VmId("gw"), 0.1)
            assert room.admit(f"before-{number}", admission, 0, 0, 0.0)
        room.settle(server_rooms.SETTLE_S, 0, 0.0)
        server = BrittleServer(3)
        replay(room, server, 10.0, 150, seed)
        assert server.most_refused_in_a_second() <= 4

    def test_server_that_falls_after_one_refusal_is_tried_rarely(self, seed):
        room = server_rooms.ServerRoom(0, 0.0)
        server = BrittleServer(3)
        replay(room, server, 20.0, 150, seed, borne=1.0)
        assert server.most_refused_in_a_second() <= 1

    def test_urgent_requests_are_denied_less_often(self, seed):
        room = server_rooms.ServerRoom(0, 0.0)
        served, denied = replay(
            room, BrittleServer(3), 20.0, 40, seed, rank=lambda rng: rng.choice((0, 5))
        )
        urgent = served.count(0) / (served.count(0) + denied.count(0))
        other = served.count(5) / (served.count(5) + denied.count(5))
        assert urgent > other + 0.1


class TestServerRoom:
    def test_requests_of_a_gateway_that_is_gone_expire(self):
        room = server_rooms.ServerRoom(0, 0.0)
        for number in range(2):
            admission = server_rooms.Admission(ids.VmId("gone"), 0.2)
            assert room.admit(f"a-{number}", admission, 0, 0, 0.0)
        other = server_rooms.Admission(ids.VmId("gw"), 9.0)
        assert not room.admit("b", other, 0, 0, 0.1)
        assert room.admit("b", other, 0, 0, 0.21)

    def test_repeated_message_is_counted_once(self):
        room = server_rooms.ServerRoom(0, 0.0)
        admission = server_rooms.Admission(ids.VmId("gw"), 9.0)
        assert all(room.admit("a", admission, 0, 0, 0.0) for _ in range(3))
        assert len(room.admitted) == 1

    def test_generations_that_began_before_take_room(self):
        room = server_rooms.ServerRoom(8, 0.0)
        admission = server_rooms.Admission(ids.VmId("gw"), 9.0)
        assert not room.admit("a", admission, 0, 8, 0.0)
        assert room.admit("a", admission, 0, 7, 0.0)


class TestBrittleServices:
    def test_word_holds_for_all_servers_until_it_is_no_longer_said(self):
        services = brittle_services.BrittleServices()
        services.observe(SERVICE, 5.0, 10.0)
        services.observe(SERVICE, None, 10.1)
        assert services.find(SERVICE, 10.5) == 5.0
        assert services.find(SERVICE, 11.2) is None

    def test_silence_does_not_end_it(self):
        services = brittle_services.BrittleServices()
        services.observe(SERVICE, 5.0, 10.0)
        assert services.find(SERVICE, 25.0) == 5.0

    def test_other_gateways_learn_it_with_its_age_and_beginning(self):
        first, second = (brittle_services.BrittleServices() for _ in range(2))
        first.observe(SERVICE, 5.0, 10.0)
        first.observe(SERVICE, 4.0, 12.0)
        second.merge(first.reports(12.5), 100.0)
        assert second.find(SERVICE, 100.0) == 4.0
        assert second.said_for_s(SERVICE, 100.0) == pytest.approx(2.5)

    def test_next_time_begins_anew(self):
        services = brittle_services.BrittleServices()
        services.observe(SERVICE, 5.0, 10.0)
        services.observe(SERVICE, None, 11.0)
        services.observe(SERVICE, 5.0, 20.0)
        assert services.said_for_s(SERVICE, 20.0) == 0.0
