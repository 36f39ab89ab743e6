"""Acts of callers, operators and faults on a world, noted in its oracle."""

import asyncio
import random

import looptime
from returns import result

from fakes import disks
from fuzz import oracle, world
from quetzalpass import ids
from quetzalpass.declarations import schema
from quetzalpass.lifecycle import requests

WATCH_INTERVAL_S = 0.25
END_TIMEOUT_S = 150.0
MAJORITY = 2


class Session:
    """A world on a virtual clock of its own, and what was seen of it."""

    def __init__(self, seed):
        self.loop = looptime.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.loop.set_exception_handler(self.note_background_error)
        self.background_errors = []
        self.world = world.World(seed)
        self.oracle = oracle.Oracle(self.world)
        self.count = 0
        self.tasks = []
        self.drains = {}
        self.rng = random.Random(f"{seed}/session")
        self.run(self.begin())

    def run(self, work):
        return self.loop.run_until_complete(work)

    async def begin(self):
        await self.world.start_all()
        self.watch = asyncio.create_task(self.watch_majority())
        await self.apply_once(self.new_apply(0, ()), self.world.gateways()[0])
        await self.wait_in_force(1)

    async def wait_in_force(self, revision):
        daemons = self.world.daemons
        await self.world.until(
            lambda: all(each.holder.revision() >= revision for each in daemons.values())
        )

    async def watch_majority(self):
        while True:
            if len(self.world.healthy_replicas()) < MAJORITY:
                self.oracle.postpone()
            for gateway in self.world.gateways():
                if gateway.vm in self.world.isolated:
                    gateway.fresh_s = self.world.now_s()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def note_background_error(self, loop, context):
        """Note what ended a task that nobody waits for; a crash of a disk may."""
        error = context.get("exception")
        if error is not None and not isinstance(error, disks.CrashError):
            self.background_errors.append(error)

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.tasks.append(task)
        return task

    def next_number(self):
        self.count += 1
        return self.count

    def gateway(self, number):
        running = self.world.gateways()
        return running[number % len(running)] if running else None

    def send_generation(self, number, prompt, delivery):
        gateway = self.gateway(number)
        if gateway is None:
            return None
        request_id = ids.RequestId(f"req-{self.next_number()}")
        sent = oracle.SentGeneration(request_id, gateway, prompt, delivery)
        self.launch(sent, self.generate(sent))
        return sent

    def send_call(self, number, key, body):
        gateway = self.gateway(number)
        if gateway is None:
            return None
        request_id = ids.RequestId(f"req-{self.next_number()}")
        sent = oracle.SentCall(request_id, gateway, key, body)
        self.launch(sent, self.call(sent))
        return sent

    def launch(self, sent, work):
        self.oracle.sent.append(sent)
        sent.task = self.spawn(work)
        sent.gateway.tasks.add(sent.task)
        sent.task.add_done_callback(sent.gateway.tasks.discard)
        # A task that is cancelled before its first step runs no handler.
        sent.task.add_done_callback(lambda task: self.note_cut(sent, task))

    def note_cut(self, sent, task):
        if task.cancelled():
            sent.end = oracle.End.CUT

    async def generate(self, sent):
        failure = await sent.gateway.generate(
            sent.request_id, sent.prompt, sent.delivery, sent.tokens
        )
        if failure is None:
            sent.end = oracle.End.WHOLE
        else:
            sent.fail(failure)

    async def call(self, sent):
        called = await sent.gateway.call(sent.request_id, sent.key, sent.body)
        if isinstance(called, result.Failure):
            sent.fail(called.failure())
        else:
            sent.answer = called.unwrap().response.body
            sent.end = oracle.End.WHOLE

    def cancel(self, sent):
        if sent.end is oracle.End.RUNNING:
            sent.caller_left = True
            sent.task.cancel()

    def apply(self, applied, gateway):
        """Apply in the background; the answer is lost if the gateway is killed."""
        task = self.spawn(self.apply_once(applied, gateway))
        gateway.tasks.add(task)
        task.add_done_callback(gateway.tasks.discard)

    def new_apply(self, base_revision, leaving):
        number = self.next_number()
        declared = self.world.declaration(leaving, "a" * number)
        servers = {ids.ServerId(each.removeprefix("vm-")) for each in leaving}
        operation = ids.OperationId(f"apply-{number}")
        applied = oracle.Applied(
            operation, base_revision, schema.encode(declared), servers
        )
        self.oracle.note_apply(applied)
        return applied

    async def apply_once(self, applied, gateway):
        outcome = await self.world.apply(
            gateway, applied.operation, applied.base_revision, applied.data, "operator"
        )
        if outcome is not None:
            self.oracle.note_outcome(applied, outcome)

    def newest(self):
        """Return the newest revision that is in force at a gateway."""
        revisions = [each.holder.revision() for each in self.world.gateways()]
        return max(revisions, default=0)

    def drain_gateway(self, gateway):
        if gateway.vm in self.drains:
            return
        for sent in self.oracle.sent:
            if sent.gateway is gateway and sent.end is oracle.End.RUNNING:
                sent.in_drain = True
        self.drains[gateway.vm] = self.spawn(self.shut_down(gateway))

    async def shut_down(self, gateway):
        await gateway.gateway.drain()
        self.drains.pop(gateway.vm, None)
        await self.world.crash(gateway.vm)

    async def kill_gateway(self, gateway):
        drain = self.drains.pop(gateway.vm, None)
        if drain is not None:
            drain.cancel()
        for sent in self.oracle.sent:
            if sent.gateway is gateway and sent.end is oracle.End.RUNNING:
                sent.in_drain = False
        await self.world.crash(gateway.vm)

    async def restart_missing(self):
        for vm in (*self.world.replica_vms, *self.world.gateway_vms):
            if vm not in self.world.daemons:
                await self.world.start(vm)
        for server in self.world.servers:
            server.restart()

    async def finish(self):
        """Heal everything; all that was accepted ends and everything converges."""
        self.world.heal()
        self.world.network.jitter_s = 0.0
        for server in self.world.servers:
            server.fault = None
        await self.restart_missing()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=END_TIMEOUT_S)
        await self.restart_missing()
        running = [each for each in self.oracle.sent if each.end is oracle.End.RUNNING]
        assert not running, f"never ended: {[each.request_id for each in running]}"
        for task in self.tasks:
            assert task.done(), f"never ended: {task}"
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()
        await self.wait_in_force(max(self.oracle.accepted(), default=0))
        await self.check_acknowledged()

    async def check_acknowledged(self):
        """What was acknowledged is still there, and all daemons agree."""
        last = self.new_apply(self.newest(), ())
        async with asyncio.timeout(END_TIMEOUT_S):
            while not last.outcomes:
                await self.apply_once(last, self.world.gateways()[0])
        assert last.outcomes[0].accepted, "the newest revision was not in force"
        await self.wait_in_force(last.outcomes[0].revision)
        held = {each.holder.current.data for each in self.world.daemons.values()}
        assert held == {last.data}, "daemons hold different declarations"
        for earlier in self.oracle.calls():
            if earlier.end is oracle.End.WHOLE and earlier.task.done():
                again = self.send_call(0, earlier.key, earlier.body)
                await again.task
                assert again.answer == earlier.body, f"{earlier.key}: {again.failure}"

        await self.check_serving()
        assert not self.background_errors, f"tasks died: {self.background_errors}"

    async def check_serving(self):
        """With all faults gone, every gateway serves both kinds of request."""
        for number in range(len(self.world.gateway_vms)):
            whole = requests.Delivery.WHOLE
            generation = self.send_generation(number, f"last-{number}=3", whole)
            call = self.send_call(number, f"last-{number}", b"last")
            for sent in (generation, call):
                await sent.task
                assert sent.end is oracle.End.WHOLE, f"not served: {sent.failure}"

    async def stop(self):
        self.watch.cancel()
        await self.world.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def close(self):
        try:
            self.run(self.stop())
        finally:
            asyncio.set_event_loop(None)
            self.loop.close()
