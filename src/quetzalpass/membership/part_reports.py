"""What gateways report to each other about parts of prompts that crash servers.

Times are sent as ages, as the clocks of two processes have nothing in common.
"""

import enum

import msgspec

from quetzalpass import event_log, ids, ranges


class PartChange(enum.Enum):
    """Why what is known about parts of prompts has changed."""

    CRASHED = "crashed"
    REFUSED = "refused"
    CLEARED = "cleared"
    TRIED = "tried"


class PartEvent(event_log.Event, frozen=True, tag="prompt_parts"):
    """Log event for a change of what is known about parts of prompts.

    Attributes
    ----------
    change : PartChange
        What has changed.
    parts : tuple of PromptPartId
        The parts, or some of them; a request is concerned if its prompt has all.
    crashes : tuple of str
        Crashes that count against them.
    request : RequestId or None
        Request that led to the change.
    part_count : int
        Number of all parts.
    """

    change: PartChange
    parts: tuple[ids.PromptPartId, ...]
    crashes: tuple[str, ...] = ()
    request: ids.RequestId | None = None
    part_count: int = 0


class PossibleCause(msgspec.Struct, frozen=True):
    """A request that may have crashed its server.

    Attributes
    ----------
    fingerprint : str
        Digest that copies of the request share.
    parts : tuple of PromptPartId
        Shared parts of its prompt, except those that are cleared.
    """

    fingerprint: str
    parts: tuple[ids.PromptPartId, ...]


class CrashReport(msgspec.Struct, frozen=True):
    """A crash of a server, as one gateway saw it.

    Attributes
    ----------
    id : str
        Unique among all gateways.
    server : ServerId
        The server.
    server_start : str
        The crashed server and its start, the same at all gateways; empty if unknown.
    age_s : float
        Time since the crash, in seconds.
    causes : tuple of PossibleCause
        Requests of that gateway that may have caused it.
    """

    id: str
    server: ids.ServerId
    server_start: str
    age_s: ranges.SignedDuration
    causes: tuple[PossibleCause, ...]


class ClearedPart(msgspec.Struct, frozen=True):
    """A part of a prompt that a server has run without a crash.

    Attributes
    ----------
    part : PromptPartId
        The part.
    age_s : float
        Time since then, in seconds.
    """

    part: ids.PromptPartId
    age_s: ranges.SignedDuration


class PartRefusal(msgspec.Struct, frozen=True):
    """Parts of prompts that crash servers where a prompt has all of them.

    Attributes
    ----------
    parts : tuple of PromptPartId
        The parts, sorted. There are several if no request has told them apart.
    crash_age_s : float
        Time since the last crash that counts against them, in seconds.
    trials : int
        Requests that were let through later and crashed their servers.
    outweighs_runs : bool
        Whether runs of the parts before the crash are disregarded.
    """

    parts: tuple[ids.PromptPartId, ...]
    crash_age_s: ranges.SignedDuration
    trials: ranges.Integer
    outweighs_runs: bool = False


class PartReports(msgspec.Struct, frozen=True):
    """All that one process knows about parts of prompts that crash servers.

    Attributes
    ----------
    crashes : tuple of CrashReport
        Crashes whose cause is not known to be something else.
    cleared : tuple of ClearedPart
        Parts that these crashes or refusals name and that have run without a crash.
    refusals : tuple of PartRefusal
        Parts that are refused.
    withdrawn : tuple of str
        Starts of servers that have proved not to have crashed.
    """

    crashes: tuple[CrashReport, ...] = ()
    cleared: tuple[ClearedPart, ...] = ()
    refusals: tuple[PartRefusal, ...] = ()
    withdrawn: tuple[str, ...] = ()
