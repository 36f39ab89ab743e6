import asyncio

import pytest

from quetzalpass.standin import faults

from .callers import ReceivedResponse

pytestmark = pytest.mark.looptime
KIND = faults.FaultKind
PROMPT = "a draft [tokens=40]"
STREAM_FAULTS = [
    KIND.CLOSE_STREAM,
    KIND.SILENCE,
    KIND.REPEAT_OFFSET,
    KIND.SKIP_OFFSET,
    KIND.SWAP_OFFSETS,
    KIND.CROSSED_ID,
    KIND.NO_END_MARK,
]


def held_reservations(cluster):
    return sum(
        len(each.gateway.admission_queue.dispatcher.in_flight)
        + len(each.gateway.admission_queue.waiters)
        for each in cluster.gateways
    )


class TestStreamFaults:
    @pytest.mark.parametrize("stream", [True, False])
    @pytest.mark.parametrize("at_offset", [0, 7, 39])
    @pytest.mark.parametrize("kind", STREAM_FAULTS)
    async def test_response_is_complete(self, open_cluster, kind, at_offset, stream):
        caller = await open_cluster(engines=1)
        engine = caller.cluster.engines[0]
        engine.add_fault(kind, at_offset=at_offset)
        response = await caller.generate(PROMPT, stream=stream)
        assert response.is_complete(PROMPT) and response.done, (
            response.text,
            response.error,
        )
        assert engine.server.plan.trigger_count == 1
        assert len(engine.started) == 1
        assert held_reservations(caller.cluster) == 0

    @pytest.mark.parametrize("kind", [KIND.RESUME_EARLY, KIND.RESUME_LATE])
    async def test_resume_at_a_wrong_offset_is_not_delivered(self, open_cluster, kind):
        caller = await open_cluster(engines=1)
        engine = caller.cluster.engines[0]
        engine.add_fault(KIND.CLOSE_STREAM, at_offset=5)
        engine.add_fault(kind)
        response = await caller.generate(PROMPT)
        assert response.is_complete(PROMPT) and response.done
        assert engine.server.plan.trigger_count == 2

    async def test_servers_are_retried_after_all_their_connections_failed(
        self, open_cluster
    ):
        caller = await open_cluster(engines=3, resumes_across_replicas=True)
        for engine in caller.cluster.engines:
            engine.add_fault(KIND.CLOSE_STREAM, at_offset=3, times=3)
        response = await caller.generate(PROMPT)
        assert response.is_complete(PROMPT) and response.done, response.error


class TestFailedStarts:
    @pytest.mark.parametrize("kind", [KIND.CLOSE_BEFORE_ANSWER, KIND.REFUSE, KIND.HANG])
    async def test_only_server_is_retried(self, open_cluster, kind):
        caller = await open_cluster(engines=1)
        caller.cluster.engines[0].add_fault(kind)
        response = await caller.generate(PROMPT)
        assert response.is_complete(PROMPT) and response.done, response.error
        assert held_reservations(caller.cluster) == 0

    async def test_request_to_a_dead_engine_is_not_run(self, open_cluster):
        caller = await open_cluster(engines=1)
        caller.cluster.engines[0].kill()
        response = await caller.generate(PROMPT, Quetzalpass_Timeout_Ms="500")
        assert response.error_name in ("server_failed", "deadline_before_start")
        assert response.execution == "not_run"

    async def test_deadline_after_a_hanging_start_may_have_run(self, open_cluster):
        caller = await open_cluster(engines=1)
        caller.cluster.engines[0].add_fault(KIND.HANG, times=9)
        response = await caller.generate(PROMPT, Quetzalpass_Timeout_Ms="1000")
        assert response.error_name == "deadline_exceeded"
        assert response.execution == "may_have_run"


class TestEngineCrashes:
    @pytest.mark.parametrize("at_tokens", [0, 10, 39])
    @pytest.mark.parametrize("stream", [True, False])
    async def test_continues_on_another_replica(self, open_cluster, at_tokens, stream):
        caller = await open_cluster(engines=2, resumes_across_replicas=True)
        response = await kill_in_stream(caller, at_tokens, stream)
        assert response.is_complete(PROMPT) and response.done, response.error
        assert held_reservations(caller.cluster) == 0

    async def test_stream_ends_with_an_error_code_if_no_replica_can_continue_it(
        self, open_cluster
    ):
        caller = await open_cluster(engines=2)
        response = await kill_in_stream(caller, 10, True)
        assert response.error_name == "server_lost" and not response.done
        assert response.execution == "ran"
        assert held_reservations(caller.cluster) == 0

    async def test_unstreamed_generation_restarts(self, open_cluster):
        caller = await open_cluster(engines=2)
        response = await kill_in_stream(caller, 10, False)
        assert response.is_complete(PROMPT) and response.done, response.error

    async def test_lost_stream_without_another_server_is_reported_as_run(
        self, open_cluster
    ):
        caller = await open_cluster(engines=1, resumes_across_replicas=True)
        response = await kill_in_stream(caller, 10, True)
        assert response.execution == "ran", response.error

    async def test_restarted_engine_does_not_know_the_generation(self, open_cluster):
        caller = await open_cluster(engines=1, resumes_across_replicas=True)
        engine = caller.cluster.engines[0]
        task = asyncio.create_task(caller.generate(PROMPT))
        await asyncio.sleep(0.3)
        engine.kill()
        await engine.start()
        response = await task
        assert response.is_complete(PROMPT) and response.done, response.error


async def kill_in_stream(caller, at_tokens, stream):
    """Kill the engine that runs a generation once it has produced some tokens."""
    task = asyncio.create_task(caller.generate(PROMPT, stream=stream))
    running = None
    while running is None or running[1].produced < at_tokens:
        await asyncio.sleep(0.005)
        for engine in caller.cluster.engines:
            for each in engine.server.running.values():
                running = (engine, each)
    running[0].kill()
    return await task


class TestDisconnectedCallers:
    @pytest.mark.parametrize("after_s", [0.005, 0.3])
    async def test_generation_is_cancelled_after_the_grace_period(
        self, open_cluster, after_s
    ):
        caller = await open_cluster(engines=1)
        prompt = "long [tokens=900]"
        task = asyncio.create_task(caller.generate(prompt))
        await asyncio.sleep(after_s)
        task.cancel()
        await asyncio.sleep(7.0)
        assert held_reservations(caller.cluster) == 0
        assert not caller.cluster.engines[0].server.running

    async def test_disconnecting_during_the_start_releases_the_reservation(
        self, open_cluster
    ):
        caller = await open_cluster(engines=1)
        caller.cluster.engines[0].add_fault(KIND.HANG)
        task = asyncio.create_task(caller.generate(PROMPT))
        await asyncio.sleep(0.2)
        assert held_reservations(caller.cluster) == 1
        task.cancel()
        await asyncio.sleep(0.2)
        assert held_reservations(caller.cluster) == 0

    @pytest.mark.parametrize("gateway_crashes", [True, False])
    async def test_caller_resumes_at_another_gateway(
        self, open_cluster, gateway_crashes
    ):
        caller = await open_cluster(engines=2, gateways_count=2)
        first = ReceivedResponse()
        task = asyncio.create_task(caller.generate(PROMPT, response=first))
        while first.tokens < 8:
            await asyncio.sleep(0.01)
        if gateway_crashes:
            caller.cluster.gateways[0].kill()
        else:
            task.cancel()
        rest = await caller.generate(PROMPT, 1, Last_Event_ID=first.last_event)
        first.text += rest.text
        assert first.is_complete(PROMPT) and rest.done, rest.error
        assert sum(len(each.started) for each in caller.cluster.engines) == 1

    async def test_two_connections_each_get_the_complete_response(self, open_cluster):
        caller = await open_cluster(engines=1, gateways_count=2)
        first = ReceivedResponse()
        task = asyncio.create_task(caller.generate(PROMPT, response=first))
        while first.tokens < 8:
            await asyncio.sleep(0.01)
        second = ReceivedResponse()
        second.text = first.text
        await caller.generate(
            PROMPT, 1, response=second, Last_Event_ID=first.last_event
        )
        await task
        assert second.is_complete(PROMPT) and second.done, second.error
        assert first.is_complete(PROMPT) and first.done, first.error
