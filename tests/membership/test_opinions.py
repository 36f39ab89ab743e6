from quetzalpass import ids
from quetzalpass.membership import observers, opinions

SERVER = ids.ServerId("engine-1")


def table(**held):
    made = opinions.OpinionTable()
    for name, opinion in held.items():
        made.note(SERVER, ids.VmId(name), opinion, now_s=100.0)
    return made


class TestVerdict:
    def test_one_observer_without_a_link_does_not_make_a_server_dead(self):
        made = table(
            a=opinions.Opinion.UNREACHABLE,
            b=opinions.Opinion.ALIVE,
            c=opinions.Opinion.ALIVE,
        )
        assert made.verdict(SERVER, 100.0) is opinions.Opinion.ALIVE

    def test_most_observers_make_it_dead(self):
        made = table(
            a=opinions.Opinion.UNREACHABLE,
            b=opinions.Opinion.UNREACHABLE,
            c=opinions.Opinion.ALIVE,
        )
        assert made.verdict(SERVER, 100.0) is opinions.Opinion.UNREACHABLE

    def test_expired_opinions_do_not_count(self):
        made = table(a=opinions.Opinion.UNREACHABLE)
        later_s = 100.0 + opinions.OPINION_EXPIRY_S + 0.1
        assert made.verdict(SERVER, later_s) is opinions.Opinion.ALIVE

    def test_a_loading_engine_is_not_dead(self):
        made = table(a=opinions.Opinion.LOADING, b=opinions.Opinion.LOADING)
        assert made.verdict(SERVER, 100.0) is opinions.Opinion.LOADING


class TestObservers:
    def test_all_observe_in_a_small_deployment(self):
        gateways = [ids.VmId(f"g{n}") for n in range(9)]
        assert observers.observers_of(SERVER, gateways, 11) == gateways

    def test_a_lost_gateway_moves_only_its_own_share(self):
        gateways = [ids.VmId(f"g{n:02}") for n in range(90)]
        moved = 0
        for number in range(900):
            server = ids.ServerId(f"s{number}")
            before = observers.observers_of(server, gateways, 7500)
            after = observers.observers_of(server, gateways[1:], 7500)
            assert len(before) == observers.OBSERVERS_PER_SERVER
            assert len(set(before) - set(after)) <= 1
            moved += before != after
        assert moved < 90
