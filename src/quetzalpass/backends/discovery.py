"""Backend servers that are discovered from a list instead of being declared."""

import abc
import enum
import re

import logbook
import msgspec
from returns import result

from quetzalpass import ids, ranges
from quetzalpass.results import failures

LOG = logbook.Logger("membership")


class ServerState(enum.Enum):
    """Whether a discovered server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class ServerPlace(msgspec.Struct, frozen=True):
    """What a client of a server is made for.

    Attributes
    ----------
    id : ServerId
        Identifier of the server.
    address : str
        ``host:port``.
    started_ms : int or None
        Unix time of its start in milliseconds, if known.
    """

    id: ids.ServerId
    address: str
    started_ms: int | None


class DiscoveredServer(msgspec.Struct, frozen=True):
    """One start of a backend server.

    It is identified by its id and the time of its start: an address may be reused by
    another server, and a server may restart with the same id.

    Attributes
    ----------
    id : ServerId
        Identifier.
    service : ServiceName
        Service that it belongs to.
    address : str
        ``host:port``.
    data_centre : DataCentreId
        Where it runs.
    state : ServerState
        Whether it takes new work.
    slots : int
        Number of requests that it processes at once.
    slow_for_ms : int
        How much longer it will be slow after its start.
    started_ms : int or None
        Unix time of its start in milliseconds, if known.
    is_engine : bool
        Whether it is a model engine.
    """

    id: ids.ServerId
    service: ids.ServiceName
    address: str
    data_centre: ids.DataCentreId
    state: ServerState
    slots: int
    slow_for_ms: int = 0
    started_ms: int | None = None
    is_engine: bool = False

    @property
    def place(self) -> ServerPlace:
        """Return what tells this start at this address apart from any other one."""
        return ServerPlace(self.id, self.address, self.started_ms)

    @property
    def start_key(self) -> str:
        """Return a key of this start of the server; empty if its time is unknown."""
        return "" if self.started_ms is None else f"{self.id}@{self.started_ms}"


def find_problem(server: DiscoveredServer) -> str | None:
    """Return why a server can't be used; ``None`` if it can.

    Its entry is not necessarily of this process: a peer of an earlier version passes on
    whatever it has read.
    """
    if not 1 <= server.slots <= ranges.MAX_SLOTS:
        return f"the number of slots is not from 1 to {ranges.MAX_SLOTS}"
    if not 0 <= server.slow_for_ms <= ranges.MAX_DURATION_MS:
        return "the time of slow operation is out of range"
    if not 0 <= (server.started_ms or 0) <= ranges.MAX_INTEGER:
        return "the time of the start is out of range"
    if not re.fullmatch(ranges.NAME_PATTERN, server.id):
        return "the id has other characters than visible ASCII characters"
    return ranges.address_problem(server.address)


class ServerSource(abc.ABC):
    """Source of the list of backend servers."""

    @abc.abstractmethod
    async def list_servers(
        self, timeout_s: float
    ) -> result.Result[tuple[DiscoveredServer, ...], failures.Failure]:
        """Return the whole list without entries that can't be parsed."""

    async def read(self, timeout_s: float) -> tuple[DiscoveredServer, ...] | None:
        """Return the whole list; log a failure and return ``None``."""
        listed = await self.list_servers(timeout_s)
        if isinstance(listed, result.Failure):
            LOG.warning(
                "membership: Can't read the list of servers: {}.",
                listed.failure().message,
            )
            return None
        return listed.unwrap()

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
