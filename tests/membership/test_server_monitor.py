import asyncio
import random

import pytest
from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.membership import opinions, server_monitor

SERVER = ids.ServerId("desk")
LOST = base.AttemptFailure(
    base.AttemptEnd.NOT_SENT, base.FailureKind.UNREACHABLE, "refused"
)


class FakeEngine(base.ModelEngine):
    """Responds on its pooled connection, on a new one, on both or on neither."""

    def __init__(self):
        self.pooled_link = True
        self.new_link = True
        self.models = (
            base.LoadedModel(ids.ModelName("m"), ids.VersionName("1"), True),
        )

    async def load_report(self, timeout_s):
        if not self.pooled_link:
            return result.Failure(LOST)
        return result.Success(base.LoadReport(0, 0, 0, 1000))

    async def check_health(self, timeout_s):
        return self.new_link

    async def state(self, timeout_s):
        zero = base.FencingNumber(ids.Term(0), ids.LogIndex(0))
        return result.Success(base.EngineState(zero, self.models, "serve"))

    async def start(self, call, timeout_s): ...
    async def resume(self, generation_id, offset, timeout_s): ...
    async def cancel(self, generation_id, only_if_detached=False): ...
    async def order(self, order, timeout_s): ...
    async def close(self): ...


@pytest.mark.looptime
class TestProbes:
    async def observe(self, engine, seconds):
        seen = []
        monitor = server_monitor.ServerMonitor(
            random.Random(1), lambda probe: seen.append(probe.health)
        )
        probe = server_monitor.ServerProbe(SERVER, ids.ModelName("m"), engine)
        monitor.replace({SERVER: probe})
        await asyncio.sleep(seconds)
        monitor.stop()
        return seen

    async def test_a_server_with_a_broken_pooled_connection_is_alive(self):
        engine = FakeEngine()
        engine.pooled_link = False
        assert set(await self.observe(engine, 10)) == {opinions.ObservedHealth.ALIVE}

    async def test_a_server_is_unreachable_after_two_refused_connections(self):
        engine = FakeEngine()
        engine.pooled_link = engine.new_link = False
        seen = await self.observe(engine, 10)
        assert seen[0] is opinions.ObservedHealth.ALIVE
        assert set(seen[1:]) == {opinions.ObservedHealth.UNREACHABLE}

    async def test_an_engine_without_its_model_is_loading(self):
        engine = FakeEngine()
        engine.models = ()
        assert set(await self.observe(engine, 10)) == {opinions.ObservedHealth.LOADING}

    @pytest.mark.parametrize("pooled_link", [True, False], ids=["pooled", "new"])
    async def test_a_server_that_accepts_connections_again_is_alive(self, pooled_link):
        engine = FakeEngine()
        engine.pooled_link = engine.new_link = False

        def come_back():
            engine.pooled_link = pooled_link
            engine.new_link = True

        asyncio.get_running_loop().call_later(5, come_back)
        seen = await self.observe(engine, 10)
        assert opinions.ObservedHealth.UNREACHABLE in seen
        assert seen[-1] is opinions.ObservedHealth.ALIVE
