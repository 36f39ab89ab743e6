"""Backend servers of a revision, as the routing sees them."""

from quetzalpass import ids
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration
from quetzalpass.routing import servers

BLOCK_TOKENS = 16

STATES = {
    schema.ServiceState.IN_SERVICE: servers.ServerState.ACTIVE,
    schema.ServiceState.LEAVING: servers.ServerState.LEAVING,
}


def views_of(at: configuration.Configuration) -> tuple[servers.ServerView, ...]:
    """Return the views of all servers that are not out of service."""
    return tuple(
        view_of(server, at)
        for server in at.declaration.servers
        if at.state_of_server(server.id) in STATES
    )


def view_of(
    server: schema.BackendServer, at: configuration.Configuration
) -> servers.ServerView:
    """Return the view of one server."""
    is_engine = server.kind is schema.ServerKind.ENGINE
    name = server.models[0] if is_engine else ids.ModelName(server.service or "")
    return servers.ServerView(
        server_id=server.id,
        data_centre=at.vms[server.vm].data_centre,
        vm=server.vm,
        model=name,
        memory_blocks=server.memory_tokens // BLOCK_TOKENS if is_engine else 0,
        block_tokens=BLOCK_TOKENS,
        batch_limit=server.max_batch,
        state=STATES[at.state_of_server(server.id)],
    )
