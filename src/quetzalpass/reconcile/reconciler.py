"""Sends the engines the orders that bring them to the declared state.

Only the replica that leads and holds the lease sends orders. An engine that checks
fencing numbers refuses the orders of an earlier leader. For an engine that does not, a
new leader first waits until every order of its predecessor has arrived or been lost,
then reads the engine's state, and only then sends orders.
"""

import asyncio
from collections.abc import Callable

import logbook
from returns import result

from quetzalpass import background, ids
from quetzalpass.backends import base
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration
from quetzalpass.reconcile import leadership, planning, weight_budget

LOG = logbook.Logger("reconcile")

RECONCILE_INTERVAL_S = 0.5
STATE_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 2.0
# An order of a predecessor can take effect this long after the predecessor's lease has
# ended: the sender gives up after ORDER_TIMEOUT_S, and the network and the engine may
# add as much.
ORDER_IN_TRANSIT_S = 2 * ORDER_TIMEOUT_S

OpenEngine = Callable[[ids.ServerId, configuration.Configuration], base.Backend]


class Reconciler:
    """Runs on every replica and sends orders on the one that leads.

    Parameters
    ----------
    leader : leadership.Leadership
        Reports whether this replica may send orders.
    holder : configuration.ConfigurationHolder
        The revision in force.
    open_engine : callable
        Returns the adapter of a server.
    reclaimed_vms : callable
        Returns the VMs that the platform lists as leaving or gone.
    lease_s : float
        Length of a leader's lease; a new leader waits until it has expired.

    Attributes
    ----------
    orders_sent : int
        Number of orders sent since the start.
    """

    def __init__(
        self,
        leader: leadership.Leadership,
        holder: configuration.ConfigurationHolder,
        open_engine: OpenEngine,
        reclaimed_vms: Callable[[], frozenset[ids.VmId]],
        lease_s: float,
    ) -> None:
        self.leader = leader
        self.holder = holder
        self.open_engine = open_engine
        self.reclaimed_vms = reclaimed_vms
        self.lease_s = lease_s
        self.budget = weight_budget.WeightBudget()
        self.task: asyncio.Task[None] | None = None
        self.orders_sent = 0

    def start(self) -> None:
        """Start reconciling at a fixed interval."""
        self.task = background.start("reconciling", self.run)

    def stop(self) -> None:
        """Stop reconciling."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Reconcile at a fixed interval; each round plans again what failed before."""
        while True:
            if self.leader.holds_lease() and self.holder.current is not None:
                await self.reconcile(self.holder.current)
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    async def reconcile(self, config: configuration.Configuration) -> None:
        """Fetch the engines' states and send the orders that may be sent now."""
        states = await self.fetch_states(config)
        observed = planning.ObservedEngines(states, self.reclaimed_vms())
        for planned in planning.Planner(config, observed).plan():
            if self.may_send(planned, config):
                await self.send_order(planned, config)

    async def fetch_states(
        self, config: configuration.Configuration
    ) -> dict[ids.ServerId, base.EngineState]:
        """Return the states of the engines that reply in time."""
        engines = [
            server.id
            for server in config.declaration.servers
            if server.kind is schema.ServerKind.ENGINE
            and config.state_of_server(server.id)
            is not schema.ServiceState.OUT_OF_SERVICE
        ]
        replies = await asyncio.gather(
            *(
                self.engine_adapter(each, config).state(STATE_TIMEOUT_S)
                for each in engines
            )
        )
        return {
            server_id: reply.unwrap()
            for server_id, reply in zip(engines, replies, strict=True)
            if isinstance(reply, result.Success)
        }

    def engine_adapter(
        self, server_id: ids.ServerId, config: configuration.Configuration
    ) -> base.ModelEngine:
        """Return the adapter of an engine."""
        backend = self.open_engine(server_id, config)
        assert isinstance(backend, base.ModelEngine)
        return backend

    def may_send(
        self, planned: planning.PlannedOrder, config: configuration.Configuration
    ) -> bool:
        """Return whether an order may be sent now.

        The lease is checked again for each order: the process may have been suspended
        while it fetched the engines' states.
        """
        now_s = asyncio.get_running_loop().time()
        if not self.leader.holds_lease():
            return False
        if not config.servers[planned.server_id].checks_fencing:
            earliest_s = (
                self.leader.leader_since_s() + self.lease_s + ORDER_IN_TRANSIT_S
            )
            if now_s < earliest_s:
                return False
        rate = config.declaration.weight_store.megabytes_per_s
        return self.budget.try_consume(planned.size_mb, rate, now_s)

    async def send_order(
        self, planned: planning.PlannedOrder, config: configuration.Configuration
    ) -> None:
        """Send one order; its effect shows in the states of the next round."""
        order = base.EngineOrder(
            self.leader.next_fencing_number(),
            planned.verb,
            planned.model,
            planned.version,
            planned.adapter,
        )
        self.orders_sent += 1
        LOG.info(
            "reconcile: Order {} {} {} to {}.",
            planned.verb.value,
            planned.model,
            planned.version or planned.adapter or "",
            planned.server_id,
        )
        reply = await self.engine_adapter(planned.server_id, config).order(
            order, ORDER_TIMEOUT_S
        )
        if isinstance(reply, result.Failure):
            LOG.warning(
                "reconcile: Order to {} failed: {}.",
                planned.server_id,
                reply.failure().message,
            )
