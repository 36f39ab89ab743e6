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
injected_faults = strategies.tuples(
    strategies.integers(0, ENGINES - 1),
    strategies.sampled_from(KINDS),
    strategies.integers(0, 40),
)
kills = strategies.tuples(strategies.integers(0, ENGINES - 1), strategies.floats(0, 2))


async def run_requests(injected_faults, kills, resumes, make_calls):
    """Run requests under faults.

    Returns the responses, the number of starts at engines and the number of
    reservations that are still held.
    """
    cluster = local_cluster.LocalCluster(
        ENGINES, 1, 1, LIMITS, resumes_across_replicas=resumes
    )
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(cluster.stop)
        await cluster.start()
        for number, kind, offset in injected_faults:
            cluster.engines[number].add_fault(kind, at_offset=offset)
        tasks = [asyncio.create_task(each) for each in make_calls(Caller(cluster))]
        for number, after_s in sorted(kills, key=lambda each: each[1]):
            await asyncio.sleep(after_s)
            cluster.engines[number].kill()
            await cluster.engines[number].start()
        responses = await asyncio.gather(*tasks)
        starts = sum(len(each.started) for each in cluster.engines)
        reservations = cluster.gateways[0].gateway.admission_queue.dispatcher.in_flight
        return responses, starts, len(reservations)


def run_in_virtual_time(*args):
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(run_requests(*args))


class TestStreams:
    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(injected_faults, max_size=10),
        strategies.lists(kills, max_size=3),
        strategies.booleans(),
    )
    def test_response_is_complete_or_a_prefix_with_an_error_code(
        self, injected_faults, kills, resumes
    ):
        prompts = [f"draft {number} [tokens=40]" for number in range(4)]

        def make_calls(caller):
            return [
                caller.generate(prompt, stream=bool(number % 2))
                for number, prompt in enumerate(prompts)
            ]

        responses, _, held_reservations = run_in_virtual_time(
            injected_faults, kills, resumes, make_calls
        )
        for prompt, response in zip(prompts, responses, strict=True):
            expected = text.expected_text(prompt, 1000)
            assert expected.startswith(response.text)
            assert response.done == (response.text == expected and not response.error)
            assert response.done or response.error_name
            if response.text:
                assert response.execution != "not_run"
        assert held_reservations == 0

    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(injected_faults, max_size=6),
        strategies.lists(kills, max_size=2),
    )
    def test_non_idempotent_generation_runs_at_most_once(self, injected_faults, kills):
        headers = {"Quetzalpass_Non_Idempotent": "true", "Idempotency_Key": "k"}

        def make_calls(caller):
            return [caller.generate("invoice [tokens=40]", **headers) for _ in range(3)]

        responses, starts, held_reservations = run_in_virtual_time(
            injected_faults, kills, True, make_calls
        )
        assert starts <= 1
        assert held_reservations == 0
        if any(each.done for each in responses):
            assert starts == 1
        if starts:
            assert not all(each.execution == "not_run" for each in responses)
