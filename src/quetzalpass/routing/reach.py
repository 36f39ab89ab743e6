"""Which services a gateway reaches, without any input or output.

Load pattern that it handles: a gateway loses the path to all servers of a service,
while its callers and the other gateways still reach it. It must not send callers'
requests into the lost path, neither to find out that it is lost nor to find out that it
is back.
"""

from quetzalpass import ids

# A service that has answered this recently needs no check after a failure.
RECENT_ANSWER_S = 0.25


class Reach:
    """Services by what this gateway's own new connections have shown.

    Open connections prove nothing, as they may live on while new ones are refused.

    Attributes
    ----------
    answered_s : dict of ServiceName to float
        Loop time of the last answer of one of its servers on a new connection.
    lost_since_s : dict of ServiceName to float
        Services none of whose servers answers, with the loop time of that finding.
    """

    def __init__(self) -> None:
        self.answered_s: dict[ids.ServiceName, float] = {}
        self.lost_since_s: dict[ids.ServiceName, float] = {}

    def is_lost(self, service: ids.ServiceName) -> bool:
        """Return whether no server of a service can be reached."""
        return service in self.lost_since_s

    def lost_services(self) -> tuple[ids.ServiceName, ...]:
        """Return the services none of whose servers can be reached."""
        return tuple(sorted(self.lost_since_s))

    def has_answered_since(self, service: ids.ServiceName, since_s: float) -> bool:
        """Return whether a server of a service has answered since a loop time."""
        return self.answered_s.get(service, float("-inf")) >= since_s

    def needs_check(self, service: ids.ServiceName, now_s: float) -> bool:
        """Return whether a failure leaves open if the service can be reached."""
        if self.is_lost(service):
            return False
        return not self.has_answered_since(service, now_s - RECENT_ANSWER_S)

    def record_response(self, service: ids.ServiceName, now_s: float) -> None:
        """Record a response to a request.

        It does not end a loss: while a service is lost no request is sent to it, so the
        request was sent before.
        """
        self.answered_s[service] = now_s

    def record_answer(self, service: ids.ServiceName, now_s: float) -> bool:
        """Record an answer to a probe; return whether it ends a loss."""
        self.answered_s[service] = now_s
        return self.lost_since_s.pop(service, None) is not None

    def record_no_answer(
        self, service: ids.ServiceName, checked_since_s: float, now_s: float
    ) -> bool:
        """Record that a check got no answer; return whether the service is lost now.

        Parameters
        ----------
        service : ServiceName
            The service.
        checked_since_s : float
            Loop time at which the check began. An answer to a request since then
            outweighs it.
        now_s : float
            Loop time.
        """
        if self.is_lost(service) or self.has_answered_since(service, checked_since_s):
            return False
        self.lost_since_s[service] = now_s
        return True
