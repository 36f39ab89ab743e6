import asyncio
import datetime

import pytest

from quetzalpass import ids
from quetzalpass.bench import local_cluster
from quetzalpass.declarations import schema as declared
from quetzalpass.lifecycle import drains

pytestmark = pytest.mark.looptime


def declared_vms(cluster, leaving, left_s):
    """Return declared VMs, of which one leaves after a given time."""
    now = datetime.datetime.now(datetime.UTC)
    deadline = (now + datetime.timedelta(seconds=left_s)).isoformat()
    return tuple(
        declared.Vm(
            ids.VmId(f"vm-{each.config.id}"),
            local_cluster.DATA_CENTRE,
            declared.ServiceState.LEAVING
            if each is leaving
            else declared.ServiceState.IN_SERVICE,
            deadline if each is leaving else None,
        )
        for each in (*cluster.engines, *cluster.services)
    )


class LongGenerations:
    """Long generations on three engines, the first of which is going to leave."""

    def __init__(self, caller, count=12, tokens=900):
        self.caller = caller
        self.cluster = caller.cluster
        self.leaving = caller.cluster.engines[0]
        self.prompts = [f"draft {number} [tokens={tokens}]" for number in range(count)]

    async def start(self, **rest):
        self.tasks = [
            asyncio.create_task(self.caller.generate(each, **rest))
            for each in self.prompts
        ]
        await asyncio.sleep(0.5)
        assert self.count_on_leaving()

    def count_on_leaving(self):
        watched = self.cluster.gateways[0].gateway.drains.watched
        return len(watched.get(self.leaving.config.id, ()))

    def drain(self, left_s):
        self.cluster.declare(vms=declared_vms(self.cluster, self.leaving, left_s))

    async def check_complete(self):
        responses = await asyncio.gather(*self.tasks)
        for prompt, response in zip(self.prompts, responses, strict=True):
            assert response.is_complete(prompt) and response.done, response.error

    @property
    def moves(self):
        return self.cluster.gateways[0].gateway.drains.moves


@pytest.fixture
def start_generations(open_cluster):
    async def start(stream=True, resumes=True, **rest):
        caller = await open_cluster(engines=3, resumes_across_replicas=resumes)
        generations = LongGenerations(caller, **rest)
        await generations.start(stream=stream, Quetzalpass_Timeout_Ms="60000")
        return generations

    return start


class TestServers:
    async def test_generations_that_would_end_too_late_are_moved_gradually(
        self, start_generations
    ):
        generations = await start_generations()
        before = generations.count_on_leaving()
        generations.drain(10.0)
        await asyncio.sleep(1.0)
        assert 0 < generations.moves < before
        await asyncio.sleep(6.5)
        assert generations.count_on_leaving() == 0
        generations.leaving.kill()
        await generations.check_complete()
        gateway = generations.cluster.gateways[0].gateway
        assert not gateway.quarantine.records
        assert generations.moves == before

    async def test_generations_that_end_in_time_are_not_moved(self, start_generations):
        generations = await start_generations(tokens=100)
        generations.drain(60.0)
        await generations.check_complete()
        assert generations.moves == 0

    async def test_withdrawn_drain_stops_the_moves(self, start_generations):
        generations = await start_generations()
        generations.drain(10.0)
        await asyncio.sleep(1.0)
        generations.cluster.declare()
        moved = generations.moves
        await generations.check_complete()
        assert 0 < moved == generations.moves

    async def test_unstreamed_generations_restart_if_no_replica_can_continue_them(
        self, start_generations
    ):
        generations = await start_generations(stream=False, resumes=False, tokens=600)
        generations.drain(10.0)
        await asyncio.sleep(8.0)
        generations.leaving.kill()
        await generations.check_complete()

    async def test_streams_that_no_replica_can_continue_are_not_moved(
        self, start_generations
    ):
        generations = await start_generations(resumes=False, tokens=600)
        generations.drain(5.0)
        await generations.check_complete()
        assert generations.moves == 0

    async def test_reclaimed_server_without_a_deadline_is_emptied_in_time(
        self, start_generations
    ):
        generations = await start_generations()
        vm = ids.VmId(f"vm-{generations.leaving.config.id}")
        generations.cluster.reclaimed_vms = frozenset((vm,))
        generations.cluster.declare()
        await asyncio.sleep(drains.DEFAULT_NOTICE_S)
        assert generations.count_on_leaving() == 0
        generations.leaving.kill()
        await generations.check_complete()
        assert not generations.cluster.gateways[0].gateway.quarantine.records

    async def test_generation_stays_if_no_other_server_is_available(
        self, start_generations
    ):
        generations = await start_generations(tokens=300)
        for engine in generations.cluster.engines[1:]:
            engine.kill()
        generations.drain(4.0)
        await generations.tasks[0]
        responses = await asyncio.gather(*generations.tasks)
        is_complete = [
            response.is_complete(prompt) and response.done
            for prompt, response in zip(generations.prompts, responses, strict=True)
        ]
        assert sum(is_complete) >= 1


class TestGateways:
    async def test_drain_refuses_new_requests_and_lets_running_ones_end(
        self, open_cluster
    ):
        caller = await open_cluster(engines=1)
        prompt = "draft [tokens=200]"
        task = asyncio.create_task(caller.generate(prompt))
        call_task = asyncio.create_task(caller.call(Idempotency_Key="k"))
        await asyncio.sleep(0.3)
        gateway = caller.cluster.gateways[0].gateway
        drain = asyncio.create_task(gateway.drain())
        await asyncio.sleep(0.1)
        refused = await caller.generate("new")
        assert (refused.error_name, refused.execution) == ("draining", "not_run")
        assert not drain.done()
        assert (await task).is_complete(prompt) and (await call_task).code == "0"
        await drain
        assert gateway.requests == 0


class FailingGateway:
    """Raises ``error`` while there is one; else notes which servers are looked at."""

    def __init__(self):
        self.error = RuntimeError("can't start new thread")
        self.checked = []

    def is_leaving(self, server_id):
        if self.error is not None:
            raise self.error
        self.checked.append(server_id)
        return False


class TestFailedChecks:
    async def test_servers_are_checked_again_after_a_check_has_failed(self):
        gateway = FailingGateway()
        scheduler = drains.DrainMover(gateway)
        scheduler.watch(ids.ServerId("e-1"), object())
        await asyncio.sleep(3)
        gateway.error = None
        await asyncio.sleep(3)
        scheduler.task.cancel()
        assert "e-1" in gateway.checked
