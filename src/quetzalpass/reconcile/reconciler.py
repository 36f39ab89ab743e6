"""Gives the engines the orders that bring them to the declared state.

Only the replica that leads and holds the lease gives orders. Where an engine checks
fencing numbers, an order of an earlier leader is refused there. Where it does not, a
new leader first waits until every order of its predecessor must have arrived or been
lost, then reads the engine's state back, and only then orders.
"""

import asyncio
from collections.abc import Callable

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration
from quetzalpass.reconcile import leadership, planning, weight_budget

LOG = logbook.Logger("reconcile")

INTERVAL_S = 0.5
READ_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 2.0
# An order that was sent by a predecessor can act this long after its lease ended: the
# sender gives up after ORDER_TIMEOUT_S, the network and the engine may add as much.
ORDER_UNDER_WAY_S = 2 * ORDER_TIMEOUT_S

OpenEngine = Callable[[ids.ServerId, configuration.Configuration], base.Backend]


class Reconciler:
    """Runs on every replica and acts on the one that leads.

    Parameters
    ----------
    leader : leadership.Leadership
        Whether this replica may give orders.
    holder : configuration.ConfigurationHolder
        The revision in force.
    open_engine : callable
        Returns the adapter of a server.
    reclaimed_vms : callable
        Returns the VMs that the platform says are leaving.
    lease_s : float
        Length of a leader's lease; a successor waits it out.

    Attributes
    ----------
    orders_given : int
        Orders sent since the start.
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
        self.orders_given = 0

    def start(self) -> None:
        """Start reconciling in a fixed interval."""
        self.task = asyncio.create_task(self.run())

    def stop(self) -> None:
        """Stop reconciling."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Reconcile for ever; a failed round is followed by the next."""
        while True:
            if self.leader.holds_lease() and self.holder.current is not None:
                await self.reconcile(self.holder.current)
            await asyncio.sleep(INTERVAL_S)

    async def reconcile(self, at: configuration.Configuration) -> None:
        """Read the engines' states and give what orders may be given now."""
        states = await self.read_states(at)
        observed = planning.Observed(states, self.reclaimed_vms())
        for wanted in planning.Planner(at, observed).plan():
            if self.may_order(wanted, at):
                await self.give(wanted, at)

    async def read_states(
        self, at: configuration.Configuration
    ) -> dict[ids.ServerId, base.EngineState]:
        """Return the states of the engines that answer."""
        engines = [
            server.id
            for server in at.declaration.servers
            if server.kind is schema.ServerKind.ENGINE
            and at.state_of_server(server.id) is not schema.ServiceState.OUT_OF_SERVICE
        ]
        answers = await asyncio.gather(
            *(self.engine(each, at).state(READ_TIMEOUT_S) for each in engines)
        )
        return {
            server_id: answer.unwrap()
            for server_id, answer in zip(engines, answers, strict=True)
            if isinstance(answer, result.Success)
        }

    def engine(
        self, server_id: ids.ServerId, at: configuration.Configuration
    ) -> base.ModelEngine:
        """Return the adapter of an engine."""
        backend = self.open_engine(server_id, at)
        assert isinstance(backend, base.ModelEngine)
        return backend

    def may_order(
        self, wanted: planning.WantedOrder, at: configuration.Configuration
    ) -> bool:
        """Return whether an order may go out now.

        The lease is looked at again for each order: the process may have been stopped
        while it read the engines' states.
        """
        now_s = asyncio.get_running_loop().time()
        if not self.leader.holds_lease():
            return False
        if not at.servers[wanted.server_id].checks_fencing:
            settled_s = self.leader.led_since_s() + self.lease_s + ORDER_UNDER_WAY_S
            if now_s < settled_s:
                return False
        rate = at.declaration.weight_store.megabytes_per_s
        return self.budget.try_take(wanted.size_mb, rate, now_s)

    async def give(
        self, wanted: planning.WantedOrder, at: configuration.Configuration
    ) -> None:
        """Send one order; what became of it is read back in the next round."""
        order = base.EngineOrder(
            self.leader.next_fencing_number(),
            wanted.verb,
            wanted.model,
            wanted.version,
            wanted.adapter,
        )
        self.orders_given += 1
        LOG.info(
            "reconcile: Order {} {} {} to {}.",
            wanted.verb.value,
            wanted.model,
            wanted.version or wanted.adapter or "",
            wanted.server_id,
        )
        answer = await self.engine(wanted.server_id, at).order(order, ORDER_TIMEOUT_S)
        if isinstance(answer, result.Failure):
            LOG.warning(
                "reconcile: Order to {} failed: {}.",
                wanted.server_id,
                answer.failure().message,
            )
