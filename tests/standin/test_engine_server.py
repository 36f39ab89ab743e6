import asyncio

import pytest

from quetzalpass import ids
from quetzalpass.standin import batch, generations, settings

pytestmark = pytest.mark.looptime
NAME = "a draft that is the same for everybody and longer than one block [tokens=%d]"


def config_of(**rest):
    rest = {"event_loss": 0.0, **rest}
    return settings.StandinSettings(
        ids.ServerId("engine-1"), settings.StandinKind.ENGINE, 0, **rest
    )


@pytest.fixture
async def start():
    tasks = []

    def begin(**rest):
        made = batch.Batch(config_of(**rest))
        tasks.append(asyncio.create_task(made.run()))
        return made

    yield begin
    for task in tasks:
        task.cancel()


def submit(made, name, tokens, done=0, priority=0):
    generation = generations.RunningGeneration(
        ids.GenerationId(name), NAME % tokens, 10_000, done
    )
    return generation, made.submit(generation, priority, None)


class TestBatch:
    async def test_lone_sequence_gets_a_token_each_step(self, start):
        made = start(token_s=0.1)
        generation, _ = submit(made, "a", 20)
        await asyncio.sleep(1.55)
        assert 13 <= generation.produced <= 15
        await asyncio.sleep(1.0)
        assert generation.finished() and not made.members and made.model.idle

    async def test_continuation_goes_on_at_its_offset(self, start):
        made = start()
        generation, _ = submit(made, "a", 20, done=15)
        await asyncio.sleep(0.05)
        assert 15 < generation.produced < 20
        await asyncio.sleep(1.0)
        assert generation.finished()

    async def test_full_memory_preempts_and_all_end_whole(self, start):
        made = start(memory_tokens=640)
        running = [submit(made, f"g{number}", 300)[0] for number in range(3)]
        await asyncio.sleep(60.0)
        assert all(each.finished() for each in running)
        assert made.load_report(asyncio.get_running_loop().time()).preemptions > 0

    async def test_higher_priority_goes_first(self, start):
        made = start(max_batch=1)
        first, _ = submit(made, "a", 100)
        low, _ = submit(made, "b", 10, priority=1)
        high, _ = submit(made, "c", 10, priority=5)
        while high.produced < 5:
            await asyncio.sleep(0.01)
        assert low.produced == 0

    async def test_cancel_during_a_step_and_a_new_start(self, start):
        made = start(token_s=0.1)
        old, _ = submit(made, "a", 50)
        await asyncio.sleep(0.55)
        new, _ = submit(made, "a", 50)
        produced = old.produced
        await asyncio.sleep(0.45)
        assert old.produced == produced and 0 < new.produced < 6

    async def test_larger_than_the_memory_is_refused(self, start):
        made = start(memory_tokens=160)
        _, accepted = submit(made, "a", 300)
        assert not accepted and made.model.idle

    async def test_reports_and_events_lag(self, start):
        made = start(report_lag_s=1.0, event_lag_s=2.0)
        loop = asyncio.get_running_loop()
        submit(made, "a", 1000)
        await asyncio.sleep(0.5)
        assert made.load_report(loop.time()) is None
        assert made.cache_events(loop.time(), 0) == ()
        await asyncio.sleep(2.0)
        report = made.load_report(loop.time())
        assert report.running == 1 and loop.time() - report.taken_at_s >= 1.0
        events = made.cache_events(loop.time(), 0)
        assert events and made.cache_events(loop.time(), 0) == events
        assert made.cache_events(loop.time(), events[-1].sequence) == ()
