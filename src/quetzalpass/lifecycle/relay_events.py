"""Log events of relayed requests."""

from quetzalpass import event_log, ids


class RelayEvent(event_log.Event, frozen=True, tag="request"):
    """Log event for a decision on one request.

    Attributes
    ----------
    request : RequestId
        Identifier of the request.
    decision : str
        Short name of the decision.
    route, organisation, server : str or None
        Route, organisation and server of the decision, where known.
    revision : int
        Revision of the declaration on which the decision was based.
    list_age_ms : int or None
        Age of the server list on which the decision was based, in milliseconds.
    detail : str
        Further inputs of the decision.
    suspect : str or None
        Fingerprint of the request, if servers have crashed under it.
    crashes : int
        Number of those crashes.
    """

    request: ids.RequestId
    decision: str
    revision: int
    route: str | None = None
    organisation: str | None = None
    server: str | None = None
    list_age_ms: int | None = None
    detail: str = ""
    suspect: str | None = None
    crashes: int = 0


class RateLimitEvent(event_log.Event, frozen=True, tag="rate_limit"):
    """Log event for a server that begins or ceases to name a limit, or changes it.

    Attributes
    ----------
    server : ServerId
        The server.
    before_per_s, per_s : float or None
        Limit before and now, in requests per second.
    """

    server: ids.ServerId
    before_per_s: float | None
    per_s: float | None


class ReachEvent(event_log.Event, frozen=True, tag="reach"):
    """Log event for a gateway that loses or regains the path to a service.

    Attributes
    ----------
    service : ServiceName
        The service.
    is_reached : bool
        Whether one of its servers can be reached now.
    probed : int
        Servers that were probed without an answer.
    list_age_ms : int or None
        Age of the server list, in milliseconds.
    """

    service: ids.ServiceName
    is_reached: bool
    probed: int = 0
    list_age_ms: int | None = None


class BrittleEvent(event_log.Event, frozen=True, tag="brittle"):
    """Log event for a service whose servers become brittle, or cease to be.

    Attributes
    ----------
    service : ServiceName
        The service.
    server : ServerId
        Server whose response says so.
    before, now : float or None
        Refusals a second that a server bears, before and now; ``None`` for any number.
    """

    service: ids.ServiceName
    server: ids.ServerId
    before: float | None
    now: float | None


class RestEvent(event_log.Event, frozen=True, tag="rest"):
    """Log event for a server that wants no requests of this gateway for some time.

    Attributes
    ----------
    server : ServerId
        The server.
    rest_s : float
        The time that it has asked for, in seconds.
    """

    server: ids.ServerId
    rest_s: float
