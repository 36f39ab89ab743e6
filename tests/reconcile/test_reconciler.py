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
        self.leading_since_s = 0.0
        self.has_lease = True

    def holds_lease(self):
        return self.has_lease

    def leader_since_s(self):
        return self.leading_since_s

    def next_fencing_number(self):
        self.index += 1
        return base.FencingNumber(ids.Term(self.term), ids.LogIndex(self.index))


class FakeEngine(base.ModelEngine):
    """Executes orders at once or after a delay, with or without fencing."""

    def __init__(self, checks_fencing, delay_s=0.0):
        self.checks_fencing = checks_fencing
        self.delay_s = delay_s
        self.newest_fencing = base.FencingNumber(ids.Term(0), ids.LogIndex(0))
        self.executed = []
        self.models = ()

    async def order(self, order, timeout_s):
        asyncio.get_running_loop().call_later(self.delay_s, self.execute, order)
        return result.Success(None)

    def execute(self, order):
        if self.checks_fencing and order.fencing < self.newest_fencing:
            return
        self.newest_fencing = max(self.newest_fencing, order.fencing)
        self.executed.append(order)
        self.models = (base.LoadedModel(order.model, order.version, True),)

    async def state(self, timeout_s):
        return result.Success(
            base.EngineState(self.newest_fencing, self.models, "serve")
        )

    async def start(self, call, timeout_s): ...
    async def resume(self, generation_id, offset, timeout_s): ...
    async def cancel(self, generation_id, only_if_detached=False): ...
    async def load_report(self, timeout_s): ...
    async def check_health(self, timeout_s): ...
    async def close(self): ...


def make_holder(version, with_fencing):
    holder = configuration.ConfigurationHolder()
    engines = [builders.engine("a", checks_fencing=with_fencing)]
    model = schema.Model(builders.MODEL, ids.VersionName(version), minimum_ready=0)
    declared = builders.declaration(engines, models=(model,))
    holder.current = builders.create_configuration(declared)
    return holder


def make_reconciler(leader, holder, engine):
    return reconciler.Reconciler(
        leader, holder, lambda server_id, at: engine, frozenset, LEASE_S
    )


@pytest.mark.looptime
class TestOrders:
    async def test_only_the_holder_of_the_lease_sends_orders(self):
        engine = FakeEngine(checks_fencing=True)
        leader = FakeLeadership(1)
        leader.has_lease = False
        running = make_reconciler(leader, make_holder("1", True), engine)
        running.start()
        await asyncio.sleep(5)
        assert engine.executed == []
        leader.has_lease = True
        await asyncio.sleep(5)
        assert [each.version for each in engine.executed] == ["1"]
        running.stop()

    async def test_no_order_is_sent_if_the_lease_is_lost_while_states_are_fetched(self):
        leader = FakeLeadership(1)

        class LosesLease(FakeEngine):
            async def state(self, timeout_s):
                leader.has_lease = False
                return await super().state(timeout_s)

        engine = LosesLease(checks_fencing=True)
        holder = make_holder("1", True)
        await make_reconciler(leader, holder, engine).reconcile(holder.current)
        await asyncio.sleep(1)
        assert engine.executed == []

    async def test_an_engine_that_checks_fencing_refuses_a_late_order(self):
        engine = FakeEngine(checks_fencing=True, delay_s=1.0)
        old = make_holder("old", True)
        await make_reconciler(FakeLeadership(1), old, engine).reconcile(old.current)
        engine.delay_s = 0.0
        new = make_holder("new", True)
        await make_reconciler(FakeLeadership(2), new, engine).reconcile(new.current)
        await asyncio.sleep(5)
        assert engine.models[0].version == "new"

    async def test_a_new_leader_waits_for_late_orders_if_fencing_is_not_checked(self):
        engine = FakeEngine(
            checks_fencing=False, delay_s=reconciler.ORDER_IN_TRANSIT_S - 0.1
        )
        old = make_holder("old", False)
        first = FakeLeadership(1)
        first.leading_since_s = -100.0
        await make_reconciler(first, old, engine).reconcile(old.current)
        assert len(engine.executed) == 0
        second = FakeLeadership(2)
        second.leading_since_s = asyncio.get_running_loop().time()
        successor = make_reconciler(second, make_holder("new", False), engine)
        engine.delay_s = 0.0
        successor.start()
        await asyncio.sleep(20)
        assert [each.version for each in engine.executed] == ["old", "new"]
        successor.stop()


class TestWeightBudget:
    def test_a_load_larger_than_the_rate_delays_the_next(self):
        budget = weight_budget.WeightBudget()
        assert budget.try_consume(3000, 1000.0, now_s=0.0)
        assert not budget.try_consume(1, 1000.0, now_s=2.9)
        assert budget.try_consume(1, 1000.0, now_s=3.0)

    def test_orders_without_a_load_need_no_budget(self):
        budget = weight_budget.WeightBudget()
        budget.try_consume(3000, 1000.0, now_s=0.0)
        assert budget.try_consume(0, 1000.0, now_s=0.0)
