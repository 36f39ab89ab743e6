"""Which orders would bring the engines closer to the declared state.

Planning is a plain function of the declaration and of what the engines said, so that
every rule can be tested without an engine.
"""

import msgspec

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration


class WantedOrder(msgspec.Struct, frozen=True):
    """An order without its fencing number.

    Attributes
    ----------
    server_id : ServerId
        Engine that gets it.
    verb : base.OrderVerb
        What to do.
    model, version, adapter
        Subject of the verb.
    size_mb : int
        Megabytes that it takes from the weight store.
    """

    server_id: ids.ServerId
    verb: base.OrderVerb
    model: ids.ModelName
    version: ids.VersionName | None = None
    adapter: ids.AdapterName | None = None
    size_mb: int = 0


class Observed(msgspec.Struct, frozen=True):
    """What is known of all engines.

    Attributes
    ----------
    states : dict of ServerId to base.EngineState
        Answers of the engines that could be asked.
    reclaimed_vms : frozenset of VmId
        VMs that the platform says are leaving.
    """

    states: dict[ids.ServerId, base.EngineState]
    reclaimed_vms: frozenset[ids.VmId] = frozenset()


class Planner:
    """Plans orders for one revision.

    Parameters
    ----------
    at : configuration.Configuration
        The revision in force.
    observed : Observed
        What the engines said.

    Attributes
    ----------
    ready : dict of ModelName to set of ServerId
        Staying engines that have a model ready, less those that the plan takes down.
    """

    def __init__(self, at: configuration.Configuration, observed: Observed) -> None:
        self.at = at
        self.observed = observed
        self.ready = {
            model.name: self.staying_engines_with(model.name)
            for model in at.declaration.models
        }
        self.orders: list[WantedOrder] = []

    def staying_engines_with(self, name: ids.ModelName) -> set[ids.ServerId]:
        """Return the staying engines that have a model ready, in any version."""
        return {
            server_id
            for server_id, state in self.observed.states.items()
            if self.stays(server_id)
            and any(each.name == name and each.ready for each in state.models)
        }

    def stays(self, server_id: ids.ServerId) -> bool:
        """Return whether an engine is declared and its VM is not leaving."""
        server = self.at.servers.get(server_id)
        if server is None or server.vm in self.observed.reclaimed_vms:
            return False
        return self.at.state_of_server(server_id) is schema.ServiceState.IN_SERVICE

    def plan(self) -> list[WantedOrder]:
        """Return the orders that may be given now, in the order of their weight."""
        for server_id in sorted(self.observed.states):
            if self.stays(server_id):
                self.plan_engine(server_id)
        return self.orders

    def plan_engine(self, server_id: ids.ServerId) -> None:
        """Plan the orders of one engine, at most one load at a time."""
        state = self.observed.states[server_id]
        loaded = {each.name: each for each in state.models}
        busy = any(not each.ready for each in state.models)
        declared = self.at.servers[server_id].models
        for name in declared:
            model = self.at.models.get(name)
            if model is None or busy:
                continue
            busy = self.plan_model(server_id, model, loaded.get(name))
        for name in loaded:
            if name not in declared and self.may_take_down(server_id, name):
                self.unload(server_id, name)

    def plan_model(
        self,
        server_id: ids.ServerId,
        model: schema.Model,
        loaded: base.LoadedModel | None,
    ) -> bool:
        """Plan one declared model of one engine; return whether it will load."""
        if loaded is None:
            self.load(server_id, model)
            return True
        if loaded.version != model.version:
            if not self.may_take_down(server_id, model.name):
                return False
            self.ready[model.name].discard(server_id)
            self.load(server_id, model)
            return True
        return self.plan_adapters(server_id, model, loaded)

    def plan_adapters(
        self,
        server_id: ids.ServerId,
        model: schema.Model,
        loaded: base.LoadedModel,
    ) -> bool:
        """Plan the adapters of one loaded model; return whether one will load."""
        wanted = {each.name: each for each in model.adapters}
        for name in loaded.adapters:
            if name not in wanted:
                self.orders.append(
                    WantedOrder(
                        server_id,
                        base.OrderVerb.UNLOAD_ADAPTER,
                        model.name,
                        adapter=name,
                    )
                )
        missing = [each for name, each in wanted.items() if name not in loaded.adapters]
        for adapter in missing:
            self.orders.append(
                WantedOrder(
                    server_id,
                    base.OrderVerb.LOAD_ADAPTER,
                    model.name,
                    adapter=adapter.name,
                    size_mb=adapter.size_mb,
                )
            )
        return bool(missing)

    def may_take_down(self, server_id: ids.ServerId, name: ids.ModelName) -> bool:
        """Return whether a model keeps its minimum without this engine.

        An engine that is not ready itself takes nothing away. A model that is no
        longer declared has no minimum.
        """
        model = self.at.models.get(name)
        if model is None or server_id not in self.ready[name]:
            return True
        return len(self.ready[name]) - 1 >= model.minimum_ready

    def load(self, server_id: ids.ServerId, model: schema.Model) -> None:
        """Plan to load the declared version of a model."""
        self.orders.append(
            WantedOrder(
                server_id,
                base.OrderVerb.LOAD_MODEL,
                model.name,
                version=model.version,
                size_mb=model.size_mb,
            )
        )

    def unload(self, server_id: ids.ServerId, name: ids.ModelName) -> None:
        """Plan to unload a model."""
        if name in self.ready:
            self.ready[name].discard(server_id)
        self.orders.append(WantedOrder(server_id, base.OrderVerb.UNLOAD_MODEL, name))
