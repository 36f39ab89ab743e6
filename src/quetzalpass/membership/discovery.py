"""Backend servers that are found in a list instead of being declared."""

import abc
import enum

import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.results import failures

LOG = logbook.Logger("membership")


class ServerState(enum.Enum):
    """Whether a discovered server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class DiscoveredServer(msgspec.Struct, frozen=True):
    """One start of a backend server.

    Its identity is the id together with the time of its start: an address is given to
    another server later, and a server may start again under its old id.

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
        Requests that it processes at once.
    slow_for_ms : int
        How much longer it is slow after its start.
    started_ms : int or None
        Unix time of its start in milliseconds, where it is known.
    is_engine : bool
        It is a model engine.
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


class ServerSource(abc.ABC):
    """Where the list of backend servers comes from."""

    @abc.abstractmethod
    async def list_servers(
        self, timeout_s: float
    ) -> result.Result[tuple[DiscoveredServer, ...], failures.Failure]:
        """Return the whole list; entries that can't be read are left out."""

    async def read(self, timeout_s: float) -> tuple[DiscoveredServer, ...] | None:
        """Return the whole list, or None where it can't be had, which is logged."""
        listed = await self.list_servers(timeout_s)
        if isinstance(listed, result.Failure):
            LOG.warning("membership: No list of servers: {}.", listed.failure().message)
            return None
        return listed.unwrap()

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
