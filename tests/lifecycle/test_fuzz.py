import asyncio
import contextlib

import hypothesis
import looptime
from hypothesis import strategies

from quetzalpass.bench import local_cluster
from quetzalpass.standin import faults, text

from .callers import Caller
from .conftest import LIMITS

ENGINES = 3
KINDS = sorted(
    set(faults.FaultKind) - {faults.FaultKind.CRASH, faults.FaultKind.CLOSE_AFTER_RUN},
    key=lambda kind: kind.value,
)
strikes = strategies.tuples(
    strategies.integers(0, ENGINES - 1),
    strategies.sampled_from(KINDS),
    strategies.integers(0, 40),
)
kills = strategies.tuples(strategies.integers(0, ENGINES - 1), strategies.floats(0, 2))


async def drive(strikes, kills, resumes, ask):
    """Run requests under faults and return what the callers and engines saw."""
    cluster = local_cluster.LocalCluster(
        ENGINES, 1, 1, LIMITS, resumes_across_replicas=resumes
    )
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(cluster.stop)
        await cluster.start()
        for number, kind, offset in strikes:
            cluster.engines[number].add_fault(kind, at_offset=offset)
        tasks = [asyncio.create_task(each) for each in ask(Caller(cluster))]
        for number, after_s in sorted(kills, key=lambda each: each[1]):
            await asyncio.sleep(after_s)
            cluster.engines[number].kill()
            await cluster.engines[number].start()
        replies = await asyncio.gather(*tasks)
        starts = sum(len(each.started) for each in cluster.engines)
        slots = cluster.gateways[0].gateway.slots.dispatcher.in_flight
        return replies, starts, len(slots)


def run(*args):
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(drive(*args))


class TestStreams:
    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(strikes, max_size=10),
        strategies.lists(kills, max_size=3),
        strategies.booleans(),
    )
    def test_answer_is_whole_or_a_start_with_a_code(self, strikes, kills, resumes):
        prompts = [f"draft {number} [tokens=40]" for number in range(4)]

        def ask(caller):
            return [
                caller.generate(prompt, stream=bool(number % 2))
                for number, prompt in enumerate(prompts)
            ]

        replies, _, held = run(strikes, kills, resumes, ask)
        for prompt, reply in zip(prompts, replies, strict=True):
            expected = text.expected_text(prompt, 1000)
            assert expected.startswith(reply.text)
            assert reply.done == (reply.text == expected and not reply.error)
            assert reply.done or reply.error_name
            if reply.text:
                assert reply.execution != "not_run"
        assert held == 0

    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(strikes, max_size=6), strategies.lists(kills, max_size=2)
    )
    def test_non_idempotent_generation_runs_at_most_once(self, strikes, kills):
        headers = {"Quetzalpass_Non_Idempotent": "true", "Idempotency_Key": "k"}

        def ask(caller):
            return [caller.generate("invoice [tokens=40]", **headers) for _ in range(3)]

        replies, starts, held = run(strikes, kills, True, ask)
        assert starts <= 1
        assert held == 0
        if any(each.done for each in replies):
            assert starts == 1
        if starts:
            assert not all(each.execution == "not_run" for each in replies)
