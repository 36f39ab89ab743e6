import asyncio

import pytest
from returns import result

import builders
from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.declarations import schema
from quetzalpass.membership import configuration
from quetzalpass.reconcile import leadership, reconciler, weight_budget

LEASE_S = 2.0


class FakeLeadership(leadership.Leadership):
    def __init__(self, term):
        self.term = term
        self.index = 0
        self.since_s = 0.0
        self.holds = True

    def holds_lease(self):
        return self.holds

    def led_since_s(self):
        return self.since_s

    def next_fencing_number(self):
        self.index += 1
        return base.FencingNumber(ids.Term(self.term), ids.LogIndex(self.index))


class FakeEngine(base.ModelEngine):
    """Obeys orders at once, or after a delay; checks fencing or not."""

    def __init__(self, checks, delay_s=0.0):
        self.checks = checks
        self.delay_s = delay_s
        self.newest = base.FencingNumber(ids.Term(0), ids.LogIndex(0))
        self.obeyed = []
        self.models = ()

    async def order(self, order, timeout_s):
        asyncio.get_running_loop().call_later(self.delay_s, self.obey, order)
        return result.Success(None)

    def obey(self, order):
        if self.checks and order.fencing < self.newest:
            return
        self.newest = max(self.newest, order.fencing)
        self.obeyed.append(order)
        self.models = (base.LoadedModel(order.model, order.version, True),)

    async def state(self, timeout_s):
        return result.Success(base.EngineState(self.newest, self.models, "serve"))

    async def start(self, call, timeout_s): ...
    async def resume(self, generation_id, offset, timeout_s): ...
    async def cancel(self, generation_id, only_if_detached=False): ...
    async def load_report(self, timeout_s): ...
    async def check_health(self, timeout_s): ...
    async def close(self): ...


def holder_with(version, checks):
    holder = configuration.ConfigurationHolder()
    engines = [builders.engine("a", checks_fencing=checks)]
    model = schema.Model(builders.MODEL, ids.VersionName(version), minimum_ready=0)
    declared = builders.declaration(engines, models=(model,))
    holder.current = builders.create_configuration(declared)
    return holder


def reconciler_for(leader, holder, engine):
    return reconciler.Reconciler(
        leader, holder, lambda server_id, at: engine, frozenset, LEASE_S
    )


@pytest.mark.looptime
class TestOrders:
    async def test_only_the_holder_of_the_lease_gives_orders(self):
        engine = FakeEngine(checks=True)
        leader = FakeLeadership(1)
        leader.holds = False
        running = reconciler_for(leader, holder_with("1", True), engine)
        running.start()
        await asyncio.sleep(5)
        assert engine.obeyed == []
        leader.holds = True
        await asyncio.sleep(5)
        assert [each.version for each in engine.obeyed] == ["1"]
        running.stop()

    async def test_a_lease_lost_while_states_are_read_stops_the_order(self):
        leader = FakeLeadership(1)

        class LosesLease(FakeEngine):
            async def state(self, timeout_s):
                leader.holds = False
                return await super().state(timeout_s)

        engine = LosesLease(checks=True)
        holder = holder_with("1", True)
        await reconciler_for(leader, holder, engine).reconcile(holder.current)
        await asyncio.sleep(1)
        assert engine.obeyed == []

    async def test_a_late_order_of_an_old_leader_is_refused_where_checked(self):
        engine = FakeEngine(checks=True, delay_s=1.0)
        old = holder_with("old", True)
        await reconciler_for(FakeLeadership(1), old, engine).reconcile(old.current)
        engine.delay_s = 0.0
        new = holder_with("new", True)
        await reconciler_for(FakeLeadership(2), new, engine).reconcile(new.current)
        await asyncio.sleep(5)
        assert engine.models[0].version == "new"

    async def test_a_late_order_is_waited_out_where_fencing_is_not_checked(self):
        engine = FakeEngine(checks=False, delay_s=reconciler.ORDER_UNDER_WAY_S - 0.1)
        old = holder_with("old", False)
        first = FakeLeadership(1)
        first.since_s = -100.0
        await reconciler_for(first, old, engine).reconcile(old.current)
        assert len(engine.obeyed) == 0
        second = FakeLeadership(2)
        second.since_s = asyncio.get_running_loop().time()
        successor = reconciler_for(second, holder_with("new", False), engine)
        engine.delay_s = 0.0
        successor.start()
        await asyncio.sleep(20)
        assert [each.version for each in engine.obeyed] == ["old", "new"]
        successor.stop()


class TestWeightBudget:
    def test_a_load_larger_than_a_second_delays_the_next(self):
        budget = weight_budget.WeightBudget()
        assert budget.try_take(3000, 1000.0, now_s=0.0)
        assert not budget.try_take(1, 1000.0, now_s=2.9)
        assert budget.try_take(1, 1000.0, now_s=3.0)

    def test_unloading_needs_no_budget(self):
        budget = weight_budget.WeightBudget()
        budget.try_take(3000, 1000.0, now_s=0.0)
        assert budget.try_take(0, 1000.0, now_s=0.0)
