"""Adapter classes by kind of backend server."""

from quetzalpass.backends import base, engine_http, service_http
from quetzalpass.declarations import schema as declared
from quetzalpass.settings import schema as settings

ADAPTERS = {
    declared.ServerKind.ENGINE: engine_http.HttpEngine,
    declared.ServerKind.SERVICE: service_http.HttpService,
}


def open_backend(
    server: declared.BackendServer, limits: settings.Limits
) -> base.Backend:
    """Open the adapter for a declared backend server."""
    return ADAPTERS[server.kind](server.url, limits)
