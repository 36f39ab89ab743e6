import os

import pytest

from quetzalpass.bench import local_ports

# Start of the range that the system uses for outgoing connections.
FIRST_EPHEMERAL_PORT = 32_768


@pytest.fixture
def private_network(monkeypatch):
    """Use loopback addresses of this process only, and blocks chosen by the test."""
    pid = os.getpid()
    network = f"127.{200 + pid % 50}.{pid // 50 % 250}"
    monkeypatch.setattr(local_ports, "HOST", f"{network}.1")
    monkeypatch.setattr(local_ports, "CLAIM_HOST", f"{network}.2")
    monkeypatch.setattr(local_ports, "claims", [])

    def use_blocks(*starts):
        monkeypatch.setattr(local_ports, "block_starts", lambda: iter(starts))

    yield use_blocks
    for each in local_ports.claims:
        each.close()


class TestFreePorts:
    def test_no_port_is_returned_twice(self):
        ports = [port for _ in range(30) for port in local_ports.free_ports(7)]
        assert len(set(ports)) == len(ports) == 210

    def test_ports_are_below_the_ephemeral_range(self):
        ports = local_ports.free_ports(60)
        assert max(ports) < FIRST_EPHEMERAL_PORT

    def test_block_claimed_by_another_process_is_skipped(self, private_network):
        private_network(20_000, 20_100)
        other_claim = local_ports.claim(local_ports.CLAIM_HOST, 20_000)
        ports = local_ports.claim_block()
        other_claim.close()
        assert ports == list(range(20_100, 20_100 + local_ports.BLOCK_PORTS))

    def test_port_in_use_is_excluded(self, private_network):
        private_network(20_200)
        bound = local_ports.claim(local_ports.HOST, 20_203)
        ports = local_ports.claim_block()
        bound.close()
        assert 20_203 not in ports
        assert 20_204 in ports

    def test_claim_is_exclusive_until_closed(self, private_network):
        private_network(20_300)
        first = local_ports.claim(local_ports.HOST, 20_300)
        assert local_ports.claim(local_ports.HOST, 20_300) is None
        first.close()
        second = local_ports.claim(local_ports.HOST, 20_300)
        assert second is not None
        second.close()
