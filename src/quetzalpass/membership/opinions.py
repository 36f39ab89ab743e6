"""What several gateways think of a backend server, and the verdict from it."""

import enum

import msgspec

from quetzalpass import ids

OPINION_EXPIRY_S = 5.0


class Opinion(enum.Enum):
    """What one observer's last probes say."""

    ALIVE = "alive"
    LOADING = "loading"
    UNREACHABLE = "unreachable"


class ServerOpinion(msgspec.Struct, frozen=True):
    """One observer's opinion of one server."""

    server_id: ids.ServerId
    opinion: Opinion


class HeldOpinion(msgspec.Struct, frozen=True):
    """An opinion with the loop time at which it arrived."""

    opinion: Opinion
    at_s: float


class OpinionTable:
    """Opinions by server and observer.

    A server is taken for dead only if more observers can't reach it than can: a single
    broken link between one gateway and a server says nothing about the server.
    """

    def __init__(self) -> None:
        self.held: dict[ids.ServerId, dict[ids.VmId, HeldOpinion]] = {}

    def note(
        self,
        server_id: ids.ServerId,
        observer: ids.VmId,
        opinion: Opinion,
        now_s: float,
    ) -> None:
        """Keep an observer's newest opinion."""
        by_observer = self.held.setdefault(server_id, {})
        by_observer[observer] = HeldOpinion(opinion, now_s)

    def fresh(self, server_id: ids.ServerId, now_s: float) -> list[Opinion]:
        """Return the opinions that have not expired."""
        by_observer = self.held.get(server_id, {})
        return [
            each.opinion
            for each in by_observer.values()
            if now_s - each.at_s <= OPINION_EXPIRY_S
        ]

    def verdict(self, server_id: ids.ServerId, now_s: float) -> Opinion:
        """Return what most observers think; alive while nobody has an opinion."""
        opinions = self.fresh(server_id, now_s)
        unreachable = opinions.count(Opinion.UNREACHABLE)
        loading = opinions.count(Opinion.LOADING)
        if unreachable * 2 > len(opinions):
            return Opinion.UNREACHABLE
        if loading and loading * 2 >= len(opinions) - unreachable:
            return Opinion.LOADING
        return Opinion.ALIVE

    def keep_only(self, servers: frozenset[ids.ServerId]) -> None:
        """Forget servers that are no longer declared."""
        for server_id in list(self.held):
            if server_id not in servers:
                del self.held[server_id]
