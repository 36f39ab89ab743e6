"""What gateways report to each other about requests that crash servers."""

import enum

import msgspec

from quetzalpass import event_log, ranges
from quetzalpass.membership import part_reports


class SuspectChange(enum.Enum):
    """Why the crashes that are attributed to a request have changed."""

    ATTRIBUTED = "attributed"
    CLEARED = "cleared"
    MERGED = "merged"
    WITHDRAWN = "withdrawn"


class SuspectEvent(event_log.Event, frozen=True, tag="suspect"):
    """Log event for a change of what is known about a suspect.

    Attributes
    ----------
    fingerprint : str
        The request; all its copies share it.
    change : SuspectChange
        Cause of the change.
    crashes : tuple of str
        Ids of the crashes that are attributed to it now.
    refused : bool
        Whether it is refused now.
    """

    fingerprint: str
    change: SuspectChange
    crashes: tuple[str, ...]
    refused: bool


class ServerCrash(msgspec.Struct, frozen=True):
    """One crash of a server, as it counts against one request.

    Attributes
    ----------
    id : str
        Unique among all gateways.
    weight : float
        One over the number of requests that the crash is attributed to.
    place : int
        Tokens of the request's output that had been received.
    opened : bool
        Whether the server had begun to respond.
    server_start : str
        The crashed server and its start, the same at all gateways; empty if unknown.
    """

    id: str
    weight: ranges.Share
    place: ranges.Integer = 0
    opened: bool = False
    server_start: str = ""

    @property
    def event_key(self) -> str:
        """Return the key that all reports of the same crash share."""
        return self.server_start or self.id


class SuspectReport(msgspec.Struct, frozen=True):
    """What one gateway knows about a suspected request.

    Attributes
    ----------
    fingerprint : str
        Digest of the request's body.
    deaths : tuple of ServerCrash
        Crashes that are attributed to it.
    cleared : tuple of str
        Ids of crashes that it has been cleared of since.
    left_s : float
        How long this remains valid, in seconds.
    """

    fingerprint: str
    deaths: tuple[ServerCrash, ...]
    cleared: tuple[str, ...]
    left_s: ranges.SignedDuration


class SuspectReports(msgspec.Struct, frozen=True):
    """Reports that changed after a sequence number; peers merge them in any order.

    Attributes
    ----------
    sequence : int
        Number to pass to the next query.
    verdicts : tuple of SuspectReport
        The changed reports.
    parts : part_reports.PartReports
        All that is known about parts of prompts that crash servers.
    """

    sequence: ranges.Integer
    verdicts: tuple[SuspectReport, ...]
    parts: part_reports.PartReports = part_reports.PartReports()

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to report."""
        return not self.verdicts and self.parts == part_reports.PartReports()
