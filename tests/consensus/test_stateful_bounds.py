"""The stateful tests with logs so small that peers often need snapshots."""

import pytest

from consensus import test_stateful, test_stateful_open
from quetzalpass.consensus import applying, log


@pytest.fixture(autouse=True)
def small_logs(monkeypatch):
    monkeypatch.setattr(log, "SEGMENT_BYTES", 300)
    monkeypatch.setattr(log, "TRAILING_ENTRIES", 4)
    monkeypatch.setattr(log, "TRAILING_BYTES", 40)
    monkeypatch.setattr(applying, "SNAPSHOT_EVERY_BYTES", 60)
    monkeypatch.setattr(applying, "APPLY_BATCH_BYTES", 20)


class SmallLogMachine(test_stateful.ConsensusMachine):
    """Checks replicas whose logs are compacted every few commands."""


class SmallLogOpenGroupMachine(test_stateful_open.OpenGroupMachine):
    """Checks the same in a group whose members are replaced."""


TestSmallLogMachine = SmallLogMachine.TestCase
TestSmallLogMachine.settings = test_stateful.TestConsensusMachine.settings
TestSmallLogOpenGroupMachine = SmallLogOpenGroupMachine.TestCase
TestSmallLogOpenGroupMachine.settings = test_stateful_open.TestOpenGroupMachine.settings
