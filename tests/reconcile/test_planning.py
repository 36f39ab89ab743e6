import builders
from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.declarations import schema
from quetzalpass.reconcile import planning

ZERO = base.FencingNumber(ids.Term(0), ids.LogIndex(0))


def state(version="1", ready=True, adapters=(), model=builders.MODEL):
    loaded = base.LoadedModel(model, ids.VersionName(version), ready, adapters)
    return base.EngineState(ZERO, (loaded,), "serve")


def plan(
    states, minimum_ready=1, version="1", leaving=(), reclaimed_vms=(), adapters=()
):
    names = [builders.engine(name) for name in states]
    model = schema.Model(
        builders.MODEL,
        ids.VersionName(version),
        minimum_ready=minimum_ready,
        adapters=adapters,
    )
    declared = builders.declaration(names, leaving, models=(model,))
    observed = planning.ObservedEngines(states, frozenset(reclaimed_vms))
    return planning.Planner(builders.create_configuration(declared), observed).plan()


class TestRollout:
    def test_a_rollout_keeps_the_minimum_of_ready_engines(self):
        states = {"a": state(), "b": state(), "c": state()}
        orders = plan(states, minimum_ready=2, version="2")
        assert [each.server_id for each in orders] == ["a"]

    def test_a_rollout_waits_while_another_engine_is_loading(self):
        states = {"a": state("2", ready=False), "b": state(), "c": state()}
        assert plan(states, minimum_ready=2, version="2") == []

    def test_an_engine_on_a_leaving_vm_does_not_count_as_ready(self):
        states = {"a": state(), "b": state()}
        assert plan(states, minimum_ready=1, version="2", leaving=("vm-b",)) == []

    def test_an_engine_on_a_reclaimed_vm_does_not_count_as_ready(self):
        states = {"a": state(), "b": state()}
        assert plan(states, minimum_ready=1, version="2", reclaimed_vms=("vm-b",)) == []

    def test_an_engine_that_is_not_ready_loads_whatever_the_minimum(self):
        nothing = base.EngineState(ZERO, (), "serve")
        orders = plan({"a": nothing, "b": state()}, minimum_ready=2)
        assert [each.verb for each in orders] == [base.OrderVerb.LOAD_MODEL]

    def test_an_engine_on_a_leaving_vm_loads_nothing(self):
        nothing = base.EngineState(ZERO, (), "serve")
        assert plan({"a": nothing}, leaving=("vm-a",)) == []


class TestAdaptersAndUndeclaredModels:
    def test_missing_adapters_are_loaded_and_undeclared_ones_unloaded(self):
        declared_adapters = (schema.Adapter(ids.AdapterName("customs")),)
        orders = plan({"a": state(adapters=("old",))}, adapters=declared_adapters)
        assert {(each.verb, each.adapter) for each in orders} == {
            (base.OrderVerb.UNLOAD_ADAPTER, "old"),
            (base.OrderVerb.LOAD_ADAPTER, "customs"),
        }

    def test_a_model_that_is_not_declared_for_the_engine_is_unloaded(self):
        undeclared_model = base.LoadedModel(
            ids.ModelName("old"), ids.VersionName("1"), True
        )
        declared_model = state().models[0]
        engine = base.EngineState(ZERO, (declared_model, undeclared_model), "serve")
        orders = plan({"a": engine})
        assert [(each.verb, each.model) for each in orders] == [
            (base.OrderVerb.UNLOAD_MODEL, "old")
        ]
