"""A network in memory that drops, delays, duplicates and reorders."""

import asyncio
import random

from returns import result

from fakes import disks
from quetzalpass.wire import handlers, messages, transport


class FakeNetwork:
    def __init__(self, seed=0, delay_s=0.001):
        self.rng = random.Random(seed)
        self.delay_s = delay_s
        self.jitter_s = 0.0
        self.duplicate_rate = 0.0
        self.drop_rate = 0.0
        self.cut = set()
        self.tables = {}
        self.strays = set()

    def table(self, vm):
        self.tables[vm] = handlers.HandlerTable()
        return self.tables[vm]

    def isolate(self, vm, *, inbound=True, outbound=True):
        for other in self.tables:
            if other != vm and outbound:
                self.cut.add((vm, other))
            if other != vm and inbound:
                self.cut.add((other, vm))

    def heal(self):
        self.cut.clear()

    async def travel(self, source, target):
        await asyncio.sleep(self.delay_s + self.rng.random() * self.jitter_s)
        is_lost = self.rng.random() < self.drop_rate
        if is_lost or (source, target) in self.cut:
            await asyncio.Event().wait()

    async def deliver(self, source, target, message):
        await self.travel(source, target)
        if target not in self.tables:
            return transport.unreachable(target, "it is down")
        name = type(message).__name__
        try:
            outcome = await self.tables[target].answer(name, messages.encode(message))
        except disks.CrashError:
            return transport.unreachable(target, "it crashed")
        await self.travel(target, source)
        if isinstance(outcome, result.Failure):
            return outcome
        return messages.decode(messages.encode(outcome.unwrap()), message.reply_type)

    def deliver_stray(self, source, target, message):
        task = asyncio.create_task(self.deliver(source, target, message))
        self.strays.add(task)
        task.add_done_callback(self.strays.discard)


class FakeTransport(transport.PeerTransport):
    def __init__(self, network, vm):
        self.network = network
        self.vm = vm

    async def call(self, peer, message, timeout_s=transport.CALL_TIMEOUT_S):
        if self.network.rng.random() < self.network.duplicate_rate:
            self.network.deliver_stray(self.vm, peer, message)
        delivery = asyncio.create_task(self.network.deliver(self.vm, peer, message))
        # A timeout doesn't take back what is under way: it may still arrive.
        self.network.strays.add(delivery)
        delivery.add_done_callback(self.network.strays.discard)
        done, _ = await asyncio.wait([delivery], timeout=timeout_s)
        if not done:
            return transport.unreachable(peer, "timeout")
        return delivery.result()

    async def close(self):
        pass
