"""Ports of the platform's machines that another process holds."""

import socket

from fleet_adapter import main, node_settings
from quetzalpass.bench import local_ports
from quetzalpass.metrics import exposition


def node_file():
    return node_settings.NodeFile(
        "wien-a",
        "127.0.0.1",
        "wien",
        node_settings.Listen(),
        (7_000, 7_010),
        (),
        node_settings.Cloud("127.0.0.1:9"),
    )


class TestMetricsPort:
    async def test_a_taken_port_ends_no_process(self, monkeypatch):
        (port,) = local_ports.free_ports(1)
        monkeypatch.setattr(main, "METRICS_PORT", port)
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", port))
            taken.listen()
            opened = main.start_metrics(node_file(), exposition.ProcessMetrics())
            await opened.close()
