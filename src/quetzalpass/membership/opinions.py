"""Health of backend servers as several gateways observe it."""

import enum

import msgspec

from quetzalpass import ids

OBSERVATION_LIFETIME_S = 5.0


class ObservedHealth(enum.Enum):
    """Result of one observer's last probes."""

    ALIVE = "alive"
    LOADING = "loading"
    UNREACHABLE = "unreachable"


class ServerHealthReport(msgspec.Struct, frozen=True):
    """One observer's result for one server."""

    server_id: ids.ServerId
    opinion: ObservedHealth


class TimedObservation(msgspec.Struct, frozen=True):
    """An observed health with the loop time at which it arrived."""

    health: ObservedHealth
    at_s: float


class HealthObservations:
    """Newest observations by server and observer.

    A server is considered unreachable only if more observers can't reach it than can,
    so that a single broken link between a gateway and a server doesn't eject it.
    """

    def __init__(self) -> None:
        self.by_server: dict[ids.ServerId, dict[ids.VmId, TimedObservation]] = {}

    def record(
        self,
        server_id: ids.ServerId,
        observer: ids.VmId,
        health: ObservedHealth,
        now_s: float,
    ) -> None:
        """Record an observer's newest observation."""
        by_observer = self.by_server.setdefault(server_id, {})
        by_observer[observer] = TimedObservation(health, now_s)

    def unexpired(self, server_id: ids.ServerId, now_s: float) -> list[ObservedHealth]:
        """Return the observations that have not expired."""
        by_observer = self.by_server.get(server_id, {})
        return [
            each.health
            for each in by_observer.values()
            if now_s - each.at_s <= OBSERVATION_LIFETIME_S
        ]

    def majority_health(self, server_id: ids.ServerId, now_s: float) -> ObservedHealth:
        """Return the health that most observers see; alive without observations."""
        observed = self.unexpired(server_id, now_s)
        unreachable = observed.count(ObservedHealth.UNREACHABLE)
        loading = observed.count(ObservedHealth.LOADING)
        if unreachable * 2 > len(observed):
            return ObservedHealth.UNREACHABLE
        if loading and loading * 2 >= len(observed) - unreachable:
            return ObservedHealth.LOADING
        return ObservedHealth.ALIVE

    def keep_only(self, servers: frozenset[ids.ServerId]) -> None:
        """Remove the observations of all other servers."""
        for server_id in list(self.by_server):
            if server_id not in servers:
                del self.by_server[server_id]
