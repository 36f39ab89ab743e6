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


def make_views(
    at: configuration.Configuration,
    reclaimed_vms: frozenset[ids.VmId] = frozenset(),
    loading: frozenset[ids.ServerId] = frozenset(),
) -> tuple[servers.ServerView, ...]:
    """Return the views of all servers that are not out of service.

    Parameters
    ----------
    at : configuration.Configuration
        The revision in force.
    reclaimed_vms : frozenset of VmId
        VMs that the platform says are leaving; this is as good as declared.
    loading : frozenset of ServerId
        Engines that do not have their model ready.
    """
    return tuple(
        make_view(server, at, routing_state(server, at, reclaimed_vms, loading))
        for server in at.declaration.servers
        if at.state_of_server(server.id) in STATES
    )


def routing_state(
    server: schema.BackendServer,
    at: configuration.Configuration,
    reclaimed_vms: frozenset[ids.VmId],
    loading: frozenset[ids.ServerId],
) -> servers.ServerState:
    """Return whether a server may get work."""
    if server.vm in reclaimed_vms:
        return servers.ServerState.LEAVING
    declared = STATES[at.state_of_server(server.id)]
    if declared is servers.ServerState.ACTIVE and server.id in loading:
        return servers.ServerState.LOADING
    return declared


def make_view(
    server: schema.BackendServer,
    at: configuration.Configuration,
    state: servers.ServerState,
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
        state=state,
    )
