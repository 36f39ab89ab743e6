"""Which models and services a gateway of the own interface reaches."""

from collections.abc import Callable

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.lifecycle import reach_checks
from quetzalpass.membership import configuration


class DeclaredProber(reach_checks.Prober):
    """Probes the declared servers. Models and services are named alike.

    Parameters
    ----------
    holder : configuration.ConfigurationHolder
        The declaration in force.
    get_backend : callable
        Returns the client of a server.
    is_leaving : callable
        Returns whether a server takes no new work.
    """

    def __init__(
        self,
        holder: configuration.ConfigurationHolder,
        get_backend: Callable[
            [ids.ServerId, configuration.Configuration], base.Backend
        ],
        is_leaving: Callable[[ids.ServerId], bool],
    ) -> None:
        self.holder = holder
        self.get_backend = get_backend
        self.is_leaving = is_leaving

    def services(self) -> set[ids.ServiceName]:
        """Return all models and services; see the base class."""
        config = self.holder.current
        if config is None:
            return set()
        return {*map(ids.ServiceName, config.models), *config.services}

    def servers(self, service: ids.ServiceName) -> list[base.Backend]:
        """Return the clients of the servers of a model or service."""
        config = self.holder.current
        if config is None:
            return []
        return [
            self.get_backend(each.id, config)
            for each in config.declaration.servers
            if service in (*each.models, each.service) and not self.is_leaving(each.id)
        ]

    async def responds(self, server: base.Backend, timeout_s: float) -> bool:
        """Ask a server for its health; see the base class."""
        return await server.check_health(timeout_s)
