from quetzalpass import ids
from quetzalpass.membership import observers
from quetzalpass.membership import opinions as health

SERVER = ids.ServerId("engine-1")


def make_observations(**by_gateway):
    observations = health.HealthObservations()
    for name, observed in by_gateway.items():
        observations.record(SERVER, ids.VmId(name), observed, now_s=100.0)
    return observations


class TestMajorityHealth:
    def test_one_observer_without_a_link_does_not_make_a_server_unreachable(self):
        observations = make_observations(
            a=health.ObservedHealth.UNREACHABLE,
            b=health.ObservedHealth.ALIVE,
            c=health.ObservedHealth.ALIVE,
        )
        assert (
            observations.majority_health(SERVER, 100.0) is health.ObservedHealth.ALIVE
        )

    def test_most_observers_make_a_server_unreachable(self):
        observations = make_observations(
            a=health.ObservedHealth.UNREACHABLE,
            b=health.ObservedHealth.UNREACHABLE,
            c=health.ObservedHealth.ALIVE,
        )
        assert (
            observations.majority_health(SERVER, 100.0)
            is health.ObservedHealth.UNREACHABLE
        )

    def test_expired_observations_do_not_count(self):
        observations = make_observations(a=health.ObservedHealth.UNREACHABLE)
        later_s = 100.0 + health.OBSERVATION_LIFETIME_S + 0.1
        assert (
            observations.majority_health(SERVER, later_s) is health.ObservedHealth.ALIVE
        )

    def test_a_loading_engine_is_not_unreachable(self):
        observations = make_observations(
            a=health.ObservedHealth.LOADING, b=health.ObservedHealth.LOADING
        )
        assert (
            observations.majority_health(SERVER, 100.0) is health.ObservedHealth.LOADING
        )


class TestObservers:
    def test_all_gateways_observe_in_a_small_deployment(self):
        gateways = [ids.VmId(f"g{n}") for n in range(9)]
        assert observers.choose_observers(SERVER, gateways, 11) == gateways

    def test_a_lost_gateway_reassigns_only_its_own_servers(self):
        gateways = [ids.VmId(f"g{n:02}") for n in range(90)]
        reassigned = 0
        for number in range(900):
            server = ids.ServerId(f"s{number}")
            before = observers.choose_observers(server, gateways, 7500)
            after = observers.choose_observers(server, gateways[1:], 7500)
            assert len(before) == observers.OBSERVERS_PER_SERVER
            assert len(set(before) - set(after)) <= 1
            reassigned += before != after
        assert reassigned < 90
