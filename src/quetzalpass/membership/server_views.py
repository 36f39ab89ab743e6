"""Converts the backend servers of a revision to the views that the routing uses."""

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
    config: configuration.Configuration,
    reclaimed_vms: frozenset[ids.VmId] = frozenset(),
    loading: frozenset[ids.ServerId] = frozenset(),
) -> tuple[servers.ServerView, ...]:
    """Return the views of all servers that are not out of service.

    Parameters
    ----------
    config : configuration.Configuration
        The revision in force.
    reclaimed_vms : frozenset of VmId
        VMs that the platform lists as leaving; treated like a declared leaving.
    loading : frozenset of ServerId
        Engines that don't have their model ready.
    """
    return tuple(
        make_view(server, config, routing_state(server, config, reclaimed_vms, loading))
        for server in config.declaration.servers
        if config.state_of_server(server.id) in STATES
    )


def routing_state(
    server: schema.BackendServer,
    config: configuration.Configuration,
    reclaimed_vms: frozenset[ids.VmId],
    loading: frozenset[ids.ServerId],
) -> servers.ServerState:
    """Return the state of a server, which decides whether it may receive work."""
    if server.vm in reclaimed_vms:
        return servers.ServerState.LEAVING
    declared = STATES[config.state_of_server(server.id)]
    if declared is servers.ServerState.ACTIVE and server.id in loading:
        return servers.ServerState.LOADING
    return declared


def make_view(
    server: schema.BackendServer,
    config: configuration.Configuration,
    state: servers.ServerState,
) -> servers.ServerView:
    """Return the view of one server."""
    is_engine = server.kind is schema.ServerKind.ENGINE
    name = server.models[0] if is_engine else ids.ModelName(server.service or "")
    return servers.ServerView(
        server_id=server.id,
        data_centre=config.vms[server.vm].data_centre,
        vm=server.vm,
        model=name,
        memory_blocks=server.memory_tokens // BLOCK_TOKENS if is_engine else 0,
        block_tokens=BLOCK_TOKENS,
        batch_limit=server.max_batch,
        state=state,
    )
