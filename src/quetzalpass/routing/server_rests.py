"""Servers that want no requests of this gateway for some time, without input or output.

Load pattern that it handles: a server refuses a request and names the time for which
it wants nothing from the sender. It has the fewest requests in flight from then on, so
that it would be chosen first, refuse again, and cost each request a send.
"""

import msgspec

from quetzalpass import ids
from quetzalpass.backends import discovery

# A longer time is taken for an error of the server, which then gets a request again.
MAX_REST_S = 600.0


class Rest(msgspec.Struct, frozen=True):
    """Time for which one start of a server wants no requests.

    Attributes
    ----------
    start_key : str
        The start; another one at the same address has not asked.
    until_s : float
        Loop time of its end.
    """

    start_key: str
    until_s: float


class ServerRests:
    """Servers that rest from one gateway.

    The time is asked of the gateway that gets the answer. Others may still send.

    Attributes
    ----------
    rests : dict of ServerId to Rest
        By server, also those that have ended.
    """

    def __init__(self) -> None:
        self.rests: dict[ids.ServerId, Rest] = {}

    def record(
        self, server: discovery.DiscoveredServer, rest_s: float, now_s: float
    ) -> None:
        """Record that a server has asked for rest; an earlier, longer one holds on."""
        until_s = now_s + min(rest_s, MAX_REST_S)
        if self.left_s(server, now_s) < until_s - now_s:
            self.rests[server.id] = Rest(server.start_key, until_s)

    def left_s(self, server: discovery.DiscoveredServer, now_s: float) -> float:
        """Return for how long a server wants no requests, in seconds."""
        rest = self.rests.get(server.id)
        if rest is None or rest.start_key != server.start_key:
            return 0.0
        return max(0.0, rest.until_s - now_s)

    def expire(self, now_s: float) -> None:
        """Forget the rests that have ended."""
        self.rests = {
            server_id: rest
            for server_id, rest in self.rests.items()
            if rest.until_s > now_s
        }
