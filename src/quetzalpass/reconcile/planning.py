"""Plans the orders that bring the engines closer to the declared state.

The plan depends only on the declaration and the reported states of the engines, so that
every rule can be tested without an engine.
"""

import msgspec

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration


class PlannedOrder(msgspec.Struct, frozen=True):
    """An order that has no fencing number yet.

    Attributes
    ----------
    server_id : ServerId
        Engine that receives it.
    verb : base.OrderVerb
        What to do.
    model, version, adapter
        Model, version and adapter that the order is about.
    size_mb : int
        Megabytes that the engine reads from the weight store for it.
    """

    server_id: ids.ServerId
    verb: base.OrderVerb
    model: ids.ModelName
    version: ids.VersionName | None = None
    adapter: ids.AdapterName | None = None
    size_mb: int = 0


class ObservedEngines(msgspec.Struct, frozen=True):
    """State of the engines as a plan assumes it.

    Attributes
    ----------
    states : dict of ServerId to base.EngineState
        States of the engines that replied.
    reclaimed_vms : frozenset of VmId
        VMs that the platform lists as leaving or gone.
    """

    states: dict[ids.ServerId, base.EngineState]
    reclaimed_vms: frozenset[ids.VmId] = frozenset()


class Planner:
    """Plans orders for one revision.

    Parameters
    ----------
    config : configuration.Configuration
        The revision in force.
    observed : ObservedEngines
        State of the engines.

    Attributes
    ----------
    ready : dict of ModelName to set of ServerId
        Usable engines that have a model ready, without those on which the plan unloads
        or replaces it.
    """

    def __init__(
        self, config: configuration.Configuration, observed: ObservedEngines
    ) -> None:
        self.config = config
        self.observed = observed
        self.ready = {
            model.name: self.usable_engines_with(model.name)
            for model in config.declaration.models
        }
        self.orders: list[PlannedOrder] = []

    def usable_engines_with(self, name: ids.ModelName) -> set[ids.ServerId]:
        """Return the usable engines that have a model ready, in any version."""
        return {
            server_id
            for server_id, state in self.observed.states.items()
            if self.is_usable(server_id)
            and any(each.name == name and each.ready for each in state.models)
        }

    def is_usable(self, server_id: ids.ServerId) -> bool:
        """Return whether an engine is in service and its VM is not reclaimed."""
        server = self.config.servers.get(server_id)
        if server is None or server.vm in self.observed.reclaimed_vms:
            return False
        return self.config.state_of_server(server_id) is schema.ServiceState.IN_SERVICE

    def plan(self) -> list[PlannedOrder]:
        """Return the orders that may be sent now, sorted by engine."""
        for server_id in sorted(self.observed.states):
            if self.is_usable(server_id):
                self.plan_engine(server_id)
        return self.orders

    def plan_engine(self, server_id: ids.ServerId) -> None:
        """Plan the orders of one engine; it loads at most one model at a time."""
        state = self.observed.states[server_id]
        loaded = {each.name: each for each in state.models}
        busy = any(not each.ready for each in state.models)
        declared = self.config.servers[server_id].models
        for name in declared:
            model = self.config.models.get(name)
            if model is None or busy:
                continue
            busy = self.plan_model(server_id, model, loaded.get(name))
        for name in loaded:
            if name not in declared and self.may_unload(server_id, name):
                self.plan_unload(server_id, name)

    def plan_model(
        self,
        server_id: ids.ServerId,
        model: schema.Model,
        loaded: base.LoadedModel | None,
    ) -> bool:
        """Plan the orders for a declared model; return whether one loads weights."""
        if loaded is None:
            self.plan_load(server_id, model)
            return True
        if loaded.version != model.version:
            if not self.may_unload(server_id, model.name):
                return False
            self.ready[model.name].discard(server_id)
            self.plan_load(server_id, model)
            return True
        return self.plan_adapters(server_id, model, loaded)

    def plan_adapters(
        self,
        server_id: ids.ServerId,
        model: schema.Model,
        loaded: base.LoadedModel,
    ) -> bool:
        """Plan the adapters of a loaded model; return whether one will be loaded."""
        declared = {each.name: each for each in model.adapters}
        for name in loaded.adapters:
            if name not in declared:
                self.orders.append(
                    PlannedOrder(
                        server_id,
                        base.OrderVerb.UNLOAD_ADAPTER,
                        model.name,
                        adapter=name,
                    )
                )
        missing = [
            each for name, each in declared.items() if name not in loaded.adapters
        ]
        for adapter in missing:
            self.orders.append(
                PlannedOrder(
                    server_id,
                    base.OrderVerb.LOAD_ADAPTER,
                    model.name,
                    adapter=adapter.name,
                    size_mb=adapter.size_mb,
                )
            )
        return bool(missing)

    def may_unload(self, server_id: ids.ServerId, name: ids.ModelName) -> bool:
        """Return whether a model has enough ready engines without this one.

        An engine on which the model is not ready may always unload it. A model that is
        no longer declared has no minimum number of engines.
        """
        model = self.config.models.get(name)
        if model is None or server_id not in self.ready[name]:
            return True
        return len(self.ready[name]) - 1 >= model.minimum_ready

    def plan_load(self, server_id: ids.ServerId, model: schema.Model) -> None:
        """Plan an order to load the declared version of a model."""
        self.orders.append(
            PlannedOrder(
                server_id,
                base.OrderVerb.LOAD_MODEL,
                model.name,
                version=model.version,
                size_mb=model.size_mb,
            )
        )

    def plan_unload(self, server_id: ids.ServerId, name: ids.ModelName) -> None:
        """Plan an order to unload a model."""
        if name in self.ready:
            self.ready[name].discard(server_id)
        self.orders.append(PlannedOrder(server_id, base.OrderVerb.UNLOAD_MODEL, name))
