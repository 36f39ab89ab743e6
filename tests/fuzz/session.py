"""Actions of callers, operators and faults on a simulated cluster."""

import asyncio
import random

import looptime
from returns import result

from fakes import disks
from fuzz import oracle, simulated_cluster
from quetzalpass import ids
from quetzalpass.declarations import schema
from quetzalpass.lifecycle import requests

MAJORITY_CHECK_INTERVAL_S = 0.25
COMPLETION_TIMEOUT_S = 150.0
MAJORITY = 2


class Session:
    """A simulated cluster on its own virtual clock, with the oracle that checks it."""

    def __init__(self, seed):
        self.loop = looptime.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.loop.set_exception_handler(self.record_background_error)
        self.background_errors = []
        self.cluster = simulated_cluster.SimulatedCluster(seed)
        self.oracle = oracle.Oracle(self.cluster)
        self.count = 0
        self.tasks = []
        self.drains = {}
        self.rng = random.Random(f"{seed}/session")
        self.run(self.start())

    def run(self, work):
        return self.loop.run_until_complete(work)

    async def start(self):
        await self.cluster.start_all()
        self.watch = asyncio.create_task(self.watch_majority())
        await self.apply_once(self.create_apply(0, ()), self.cluster.gateways()[0])
        await self.wait_in_force(1)

    async def wait_in_force(self, revision):
        daemons = self.cluster.daemons
        await self.cluster.wait_until(
            lambda: all(each.holder.revision() >= revision for each in daemons.values())
        )

    async def watch_majority(self):
        while True:
            if len(self.cluster.healthy_replicas()) < MAJORITY:
                self.oracle.postpone_deadlines()
            for gateway in self.cluster.gateways():
                if gateway.vm in self.cluster.isolated:
                    gateway.bounds_start_s = self.cluster.now_s()
            await asyncio.sleep(MAJORITY_CHECK_INTERVAL_S)

    def record_background_error(self, loop, context):
        """Record an error of a task that nobody awaits, other than a disk crash."""
        error = context.get("exception")
        if error is not None and not isinstance(error, disks.CrashError):
            self.background_errors.append(error)

    def start_task(self, work):
        task = self.loop.create_task(work)
        self.tasks.append(task)
        return task

    def next_number(self):
        self.count += 1
        return self.count

    def gateway(self, number):
        running = self.cluster.gateways()
        return running[number % len(running)] if running else None

    def send_generation(self, number, prompt, delivery):
        gateway = self.gateway(number)
        if gateway is None:
            return None
        request_id = ids.RequestId(f"req-{self.next_number()}")
        sent = oracle.SentGeneration(request_id, gateway, prompt, delivery)
        self.start_request(sent, self.generate(sent))
        return sent

    def send_call(self, number, key, body):
        gateway = self.gateway(number)
        if gateway is None:
            return None
        request_id = ids.RequestId(f"req-{self.next_number()}")
        sent = oracle.SentCall(request_id, gateway, key, body)
        self.start_request(sent, self.call(sent))
        return sent

    def start_request(self, sent, work):
        self.oracle.sent.append(sent)
        sent.task = self.start_task(work)
        sent.gateway.tasks.add(sent.task)
        sent.task.add_done_callback(sent.gateway.tasks.discard)
        # A task that is cancelled before it first runs reaches no exception handler.
        sent.task.add_done_callback(lambda task: self.record_interruption(sent, task))

    def record_interruption(self, sent, task):
        if task.cancelled():
            sent.state = oracle.RequestState.INTERRUPTED

    async def generate(self, sent):
        failure = await sent.gateway.generate(
            sent.request_id, sent.prompt, sent.delivery, sent.tokens
        )
        if failure is None:
            sent.state = oracle.RequestState.COMPLETED
        else:
            sent.fail(failure)

    async def call(self, sent):
        called = await sent.gateway.call(sent.request_id, sent.key, sent.body)
        if isinstance(called, result.Failure):
            sent.fail(called.failure())
        else:
            sent.response = called.unwrap().response.body
            sent.state = oracle.RequestState.COMPLETED

    def cancel(self, sent):
        if sent.state is oracle.RequestState.RUNNING:
            sent.caller_disconnected = True
            sent.task.cancel()

    def apply(self, sent_apply, gateway):
        """Apply in the background; the outcome is lost if the gateway is killed."""
        task = self.start_task(self.apply_once(sent_apply, gateway))
        gateway.tasks.add(task)
        task.add_done_callback(gateway.tasks.discard)

    def create_apply(self, base_revision, leaving):
        number = self.next_number()
        declared = self.cluster.declaration(leaving, "a" * number)
        servers = {ids.ServerId(each.removeprefix("vm-")) for each in leaving}
        operation = ids.OperationId(f"apply-{number}")
        sent_apply = oracle.SentApply(
            operation, base_revision, schema.encode(declared), servers
        )
        self.oracle.record_apply(sent_apply)
        return sent_apply

    async def apply_once(self, sent_apply, gateway):
        outcome = await self.cluster.apply(
            gateway,
            sent_apply.operation,
            sent_apply.base_revision,
            sent_apply.data,
            "operator",
        )
        if outcome is not None:
            self.oracle.record_outcome(sent_apply, outcome)

    def newest_revision(self):
        """Return the newest revision that is in force at any gateway."""
        revisions = [each.holder.revision() for each in self.cluster.gateways()]
        return max(revisions, default=0)

    def drain_gateway(self, gateway):
        if gateway.vm in self.drains:
            return
        for sent in self.oracle.sent:
            if sent.gateway is gateway and sent.state is oracle.RequestState.RUNNING:
                sent.during_drain = True
        self.drains[gateway.vm] = self.start_task(self.shut_down(gateway))

    async def shut_down(self, gateway):
        await gateway.gateway.drain()
        self.drains.pop(gateway.vm, None)
        await self.cluster.crash(gateway.vm)

    async def kill_gateway(self, gateway):
        drain = self.drains.pop(gateway.vm, None)
        if drain is not None:
            drain.cancel()
        for sent in self.oracle.sent:
            if sent.gateway is gateway and sent.state is oracle.RequestState.RUNNING:
                sent.during_drain = False
        await self.cluster.crash(gateway.vm)

    async def restart_missing(self):
        for vm in (*self.cluster.replica_vms, *self.cluster.gateway_vms):
            if vm not in self.cluster.daemons:
                await self.cluster.start(vm)
        for server in self.cluster.servers:
            server.restart()

    async def finish(self):
        """Repair all faults; check that all requests end and all processes agree."""
        self.cluster.heal()
        self.cluster.network.jitter_s = 0.0
        for server in self.cluster.servers:
            server.fault = None
        await self.restart_missing()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=COMPLETION_TIMEOUT_S)
        await self.restart_missing()
        running = [
            each
            for each in self.oracle.sent
            if each.state is oracle.RequestState.RUNNING
        ]
        assert not running, (
            f"requests never ended: {[each.request_id for each in running]}"
        )
        for task in self.tasks:
            assert task.done(), f"task never ended: {task}"
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()
        await self.wait_in_force(max(self.oracle.accepted(), default=0))
        await self.check_acknowledged()

    async def check_acknowledged(self):
        """Check that acknowledged results still exist and all daemons agree."""
        last = self.create_apply(self.newest_revision(), ())
        async with asyncio.timeout(COMPLETION_TIMEOUT_S):
            while not last.outcomes:
                await self.apply_once(last, self.cluster.gateways()[0])
        assert last.outcomes[0].accepted, "the newest revision was not in force"
        await self.wait_in_force(last.outcomes[0].revision)
        held = {each.holder.current.data for each in self.cluster.daemons.values()}
        assert held == {last.data}, "daemons hold different declarations"
        for earlier in self.oracle.calls():
            if earlier.state is oracle.RequestState.COMPLETED and earlier.task.done():
                again = self.send_call(0, earlier.key, earlier.body)
                await again.task
                assert again.response == earlier.body, f"{earlier.key}: {again.failure}"

        await self.check_serving()
        assert not self.background_errors, f"tasks failed: {self.background_errors}"

    async def check_serving(self):
        """Check that every gateway serves both kinds of request without faults."""
        for number in range(len(self.cluster.gateway_vms)):
            whole = requests.Delivery.WHOLE
            generation = self.send_generation(number, f"last-{number}=3", whole)
            call = self.send_call(number, f"last-{number}", b"last")
            for sent in (generation, call):
                await sent.task
                assert sent.state is oracle.RequestState.COMPLETED, (
                    f"not served: {sent.failure}"
                )

    async def stop(self):
        self.watch.cancel()
        await self.cluster.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def close(self):
        try:
            self.run(self.stop())
        finally:
            asyncio.set_event_loop(None)
            self.loop.close()
