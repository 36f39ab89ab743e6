import asyncio

import pytest

from quetzalpass import ids
from quetzalpass.standin import batch, generations, settings

pytestmark = pytest.mark.looptime
PROMPT = "a draft that is the same for everybody and longer than one block [tokens=%d]"


def create_settings(**rest):
    rest = {"event_loss": 0.0, **rest}
    return settings.StandinSettings(
        ids.ServerId("engine-1"), settings.StandinKind.ENGINE, 0, **rest
    )


@pytest.fixture
async def start():
    tasks = []

    def start_runner(**rest):
        runner = batch.BatchRunner(create_settings(**rest))
        tasks.append(asyncio.create_task(runner.run()))
        return runner

    yield start_runner
    for task in tasks:
        task.cancel()


def submit(runner, name, tokens, start_offset=0, priority=0):
    generation = generations.RunningGeneration(
        ids.GenerationId(name), PROMPT % tokens, 10_000, start_offset
    )
    return generation, runner.submit(generation, priority, None)


class TestBatch:
    async def test_single_sequence_gets_a_token_each_step(self, start):
        runner = start(token_s=0.1)
        generation, _ = submit(runner, "a", 20)
        await asyncio.sleep(1.55)
        assert 13 <= generation.produced <= 15
        await asyncio.sleep(1.0)
        assert (
            generation.finished()
            and not runner.active_generations
            and runner.model.idle
        )

    async def test_continuation_starts_at_its_offset(self, start):
        runner = start()
        generation, _ = submit(runner, "a", 20, start_offset=15)
        await asyncio.sleep(0.05)
        assert 15 < generation.produced < 20
        await asyncio.sleep(1.0)
        assert generation.finished()

    async def test_full_memory_preempts_and_all_generations_complete(self, start):
        runner = start(memory_tokens=640)
        running = [submit(runner, f"g{number}", 300)[0] for number in range(3)]
        await asyncio.sleep(60.0)
        assert all(each.finished() for each in running)
        assert runner.load_report(asyncio.get_running_loop().time()).preemptions > 0

    async def test_higher_priority_runs_first(self, start):
        runner = start(max_batch=1)
        first, _ = submit(runner, "a", 100)
        low, _ = submit(runner, "b", 10, priority=1)
        high, _ = submit(runner, "c", 10, priority=5)
        while high.produced < 5:
            await asyncio.sleep(0.01)
        assert low.produced == 0

    async def test_tokens_of_a_step_skip_a_generation_replaced_meanwhile(self, start):
        runner = start(token_s=0.1)
        old, _ = submit(runner, "a", 50)
        await asyncio.sleep(0.55)
        new, _ = submit(runner, "a", 50)
        produced = old.produced
        await asyncio.sleep(0.45)
        assert old.produced == produced and 0 < new.produced < 6

    async def test_request_larger_than_the_memory_is_rejected(self, start):
        runner = start(memory_tokens=160)
        _, accepted = submit(runner, "a", 300)
        assert not accepted and runner.model.idle

    async def test_reports_and_events_are_delayed(self, start):
        runner = start(report_lag_s=1.0, event_lag_s=2.0)
        loop = asyncio.get_running_loop()
        submit(runner, "a", 1000)
        await asyncio.sleep(0.5)
        assert runner.load_report(loop.time()) is None
        assert runner.cache_events(loop.time(), 0) == ()
        await asyncio.sleep(2.0)
        report = runner.load_report(loop.time())
        assert report.running == 1 and loop.time() - report.taken_at_s >= 1.0
        events = runner.cache_events(loop.time(), 0)
        assert events and runner.cache_events(loop.time(), 0) == events
        assert runner.cache_events(loop.time(), events[-1].sequence) == ()
