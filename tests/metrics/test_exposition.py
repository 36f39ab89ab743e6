import pytest
from prometheus_client import exposition as texts

from quetzalpass.metrics import exposition
from quetzalpass.storage import health


@pytest.mark.looptime
class TestDiskMetrics:
    async def test_a_group_shows_what_is_wrong_and_that_it_is_back(self):
        metrics = exposition.ProcessMetrics()
        disk_health = health.DiskHealth("declaration")
        metrics.watch_disk(disk_health)
        disk_health.record_failure(
            health.Operation.WRITE, health.Condition.NO_ROOM, "no space left"
        )
        label = '{condition="no_room",group="declaration"}'
        shown = texts.generate_latest(metrics.registry).decode()
        assert f"quetzalpass_disk_condition{label} 1.0" in shown
        assert f"quetzalpass_disk_failures{label} 1.0" in shown
        disk_health.record_success(health.Operation.WRITE)
        shown = texts.generate_latest(metrics.registry).decode()
        assert f"quetzalpass_disk_condition{label} 0.0" in shown
        assert 'quetzalpass_disk_trouble_seconds{group="declaration"} 0.0' in shown
        assert 'quetzalpass_disk_recoveries{group="declaration"} 1.0' in shown
