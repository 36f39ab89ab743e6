import os

import pytest

from quetzalpass.bench import local_ports

# Outgoing connections get their ports from here on.
FIRST_EPHEMERAL_PORT = 32_768


@pytest.fixture
def own_network(monkeypatch):
    """Use addresses of this process alone, and the blocks that the test names."""
    pid = os.getpid()
    network = f"127.{200 + pid % 50}.{pid // 50 % 250}"
    monkeypatch.setattr(local_ports, "HOST", f"{network}.1")
    monkeypatch.setattr(local_ports, "CLAIM_HOST", f"{network}.2")
    monkeypatch.setattr(local_ports, "claims", [])

    def use(*starts):
        monkeypatch.setattr(local_ports, "block_starts", lambda: iter(starts))

    yield use
    for each in local_ports.claims:
        each.close()


class TestFreePorts:
    def test_none_is_given_twice(self):
        ports = [port for _ in range(30) for port in local_ports.free_ports(7)]
        assert len(set(ports)) == len(ports) == 210

    def test_no_outgoing_connection_can_take_one(self):
        ports = local_ports.free_ports(60)
        assert max(ports) < FIRST_EPHEMERAL_PORT

    def test_what_another_process_has_claimed_is_passed_over(self, own_network):
        own_network(20_000, 20_100)
        theirs = local_ports.claim(local_ports.CLAIM_HOST, 20_000)
        found = local_ports.claim_block()
        theirs.close()
        assert found == list(range(20_100, 20_100 + local_ports.BLOCK_PORTS))

    def test_a_port_that_is_in_use_is_left_out(self, own_network):
        own_network(20_200)
        used = local_ports.claim(local_ports.HOST, 20_203)
        found = local_ports.claim_block()
        used.close()
        assert 20_203 not in found
        assert 20_204 in found

    def test_a_claim_is_exclusive_until_it_is_closed(self, own_network):
        own_network(20_300)
        first = local_ports.claim(local_ports.HOST, 20_300)
        assert local_ports.claim(local_ports.HOST, 20_300) is None
        first.close()
        again = local_ports.claim(local_ports.HOST, 20_300)
        assert again is not None
        again.close()
