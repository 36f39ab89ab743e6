"""Crashes of servers that are attributed to one request."""

import msgspec

from quetzalpass.membership import suspect_reports


class SuspectRecord(msgspec.Struct):
    """Crashes that are attributed to one request here, by id."""

    crashes: dict[str, suspect_reports.ServerCrash]
    cleared: set[str]
    expires_s: float
    sequence: int

    def has_other_crash(self, event_key: str) -> bool:
        """Return whether it has a crash, and another one at the same stage."""
        found = self.find_crash(event_key)
        return found is not None and any(
            each.opened is found.opened and each.event_key != event_key
            for each in self.crashes.values()
        )

    def find_crash(self, event_key: str) -> suspect_reports.ServerCrash | None:
        """Return one report of a crash, or ``None``."""
        return next(
            (each for each in self.crashes.values() if each.event_key == event_key),
            None,
        )
