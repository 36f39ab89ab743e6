import asyncio
import datetime

import pytest

from quetzalpass import ids
from quetzalpass.bench import local_cluster
from quetzalpass.declarations import schema as declared
from quetzalpass.lifecycle import drains

pytestmark = pytest.mark.looptime


def declared_vms(cluster, leaving, left_s):
    """Return the declared VMs with one that leaves in a time."""
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
    """Long drafts on three engines, one of which is to leave."""

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
        assert self.on_leaving()

    def on_leaving(self):
        watched = self.cluster.gateways[0].gateway.drains.watched
        return len(watched.get(self.leaving.config.id, ()))

    def drain(self, left_s):
        self.cluster.declare(vms=declared_vms(self.cluster, self.leaving, left_s))

    async def check_whole(self):
        responses = await asyncio.gather(*self.tasks)
        for prompt, response in zip(self.prompts, responses, strict=True):
            assert response.is_whole(prompt) and response.done, response.error

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
    async def test_late_work_is_moved_in_time_and_spread_out(self, start_generations):
        generations = await start_generations()
        before = generations.on_leaving()
        generations.drain(10.0)
        await asyncio.sleep(1.0)
        assert 0 < generations.moves < before
        await asyncio.sleep(6.5)
        assert generations.on_leaving() == 0
        generations.leaving.kill()
        await generations.check_whole()
        gateway = generations.cluster.gateways[0].gateway
        assert not gateway.quarantine.records
        assert generations.moves == before

    async def test_work_that_ends_in_time_is_left_there(self, start_generations):
        generations = await start_generations(tokens=100)
        generations.drain(60.0)
        await generations.check_whole()
        assert generations.moves == 0

    async def test_withdrawn_drain_moves_nothing_more(self, start_generations):
        generations = await start_generations()
        generations.drain(10.0)
        await asyncio.sleep(1.0)
        generations.cluster.declare()
        moved = generations.moves
        await generations.check_whole()
        assert 0 < moved == generations.moves

    async def test_whole_answers_start_anew_where_no_replica_continues(
        self, start_generations
    ):
        generations = await start_generations(stream=False, resumes=False, tokens=600)
        generations.drain(10.0)
        await asyncio.sleep(8.0)
        generations.leaving.kill()
        await generations.check_whole()

    async def test_streams_that_cannot_move_are_left_to_run(self, start_generations):
        generations = await start_generations(resumes=False, tokens=600)
        generations.drain(5.0)
        await generations.check_whole()
        assert generations.moves == 0

    async def test_short_notice_by_the_platform_moves_everything(
        self, start_generations
    ):
        generations = await start_generations()
        vm = ids.VmId(f"vm-{generations.leaving.config.id}")
        generations.cluster.taken_away = frozenset((vm,))
        generations.cluster.declare()
        await asyncio.sleep(drains.DEFAULT_NOTICE_S)
        assert generations.on_leaving() == 0
        generations.leaving.kill()
        await generations.check_whole()
        assert not generations.cluster.gateways[0].gateway.quarantine.records

    async def test_move_without_another_place_goes_on_where_it_is(
        self, start_generations
    ):
        generations = await start_generations(tokens=300)
        for engine in generations.cluster.engines[1:]:
            engine.kill()
        generations.drain(4.0)
        await generations.tasks[0]
        responses = await asyncio.gather(*generations.tasks)
        is_whole = [
            response.is_whole(prompt) and response.done
            for prompt, response in zip(generations.prompts, responses, strict=True)
        ]
        assert sum(is_whole) >= 1


class TestGateways:
    async def test_drain_refuses_new_work_and_cuts_nothing(self, open_cluster):
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
        assert (await task).is_whole(prompt) and (await call_task).code == "0"
        await drain
        assert gateway.requests == 0
