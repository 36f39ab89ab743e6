"""Outcomes of checks whether a backend server has crashed, as they are logged."""

import enum

from quetzalpass import event_log, ids


class CrashCheckOutcome(enum.Enum):
    """Why a request that broke off counts as a crash of its server, or does not.

    ``UNPROVEN`` means that this process stood still while the response arrived, so that
    a server that accepts connections may have been started anew meanwhile.
    """

    CRASHED = "crashed"
    UNLISTED = "unlisted"
    LEAVING = "leaving"
    NOT_STARTED = "not_started"
    NO_SYMPTOM = "no_symptom"
    RESPONDS = "responds"
    CUT_OFF = "cut_off"
    RESTARTED = "restarted"
    REPLACED = "replaced"
    UNPROVEN = "unproven"


class CrashCheckEvent(event_log.Event, frozen=True, tag="crash_check"):
    """Log event for the outcome of a check whether a server has crashed.

    Attributes
    ----------
    server : ServerId
        The server.
    outcome : CrashCheckOutcome
        The outcome.
    cause : str
        What led to the check.
    requests : int
        Requests of this gateway on the server.
    list_age_ms : int or None
        Age of the server list, in milliseconds.
    request : RequestId or None
        Request that broke off; ``None`` for a silent server.
    fingerprint : str or None
        The request's fingerprint, which all its copies share.
    shared_parts : tuple of PromptPartId
        Parts of the request's prompt that other requests may have too.
    """

    server: ids.ServerId
    outcome: CrashCheckOutcome
    cause: str
    requests: int
    list_age_ms: int | None
    request: ids.RequestId | None = None
    fingerprint: str | None = None
    shared_parts: tuple[ids.PromptPartId, ...] = ()
