"""Reports of thousands of suspects, as after many crashes of busy servers (review/11).

Each record of a report led to a pass over all records, at each gateway and control
node, four times a second. Control nodes with some thousand records lost their
leadership and answered neither reads nor changes.
"""

import asyncio

import pytest

from quetzalpass import ids
from quetzalpass.membership import quarantine

pytestmark = pytest.mark.looptime

SUSPECTS = 2_000


class CountingQuarantine(quarantine.Quarantine):
    """Counts the passes over all records."""

    passes = 0

    def expire(self):
        self.passes += 1
        super().expire()


def crash_under(suspects, count=SUSPECTS):
    """Let a server crash under many requests."""
    for number in range(count):
        suspects.add_request(
            ids.ServerId("s"), ids.RequestId(f"r-{number}"), f"f-{number}"
        )
    suspects.record_crash(ids.ServerId("s"), ids.RequestId("r-0"), "s@1")


class TestManySuspects:
    async def test_merge_goes_over_all_records_once(self):
        gateway, control = quarantine.Quarantine("g"), CountingQuarantine("c")
        crash_under(gateway)
        reports = gateway.suspect_reports_since(0)
        assert len(reports.verdicts) == SUSPECTS
        for _ in range(3):
            control.merge(reports)
        assert control.passes <= 3
        assert len(control.records) == SUSPECTS

    async def test_crash_goes_over_all_records_a_few_times(self):
        gateway = CountingQuarantine("g")
        crash_under(gateway)
        assert gateway.passes <= 3

    async def test_expired_record_is_not_revived(self):
        first, second = quarantine.Quarantine("a"), quarantine.Quarantine("b")
        crash_under(first, 1)
        second.merge(first.suspect_reports_since(0))
        await asyncio.sleep(quarantine.SUSPECT_LIFETIME_S + 1.0)
        assert second.get_or_create_record("f-0").crashes == {}
        assert second.suspects_by_crash == {}
