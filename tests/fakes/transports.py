"""An in-memory network that drops, delays, duplicates and reorders messages."""

import asyncio
import collections
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
        self.cut_links = set()
        self.tables = {}
        self.sent_counts = collections.Counter()
        self.pending_tasks = set()

    def add_table(self, vm):
        self.tables[vm] = handlers.HandlerTable()
        return self.tables[vm]

    def isolate(self, vm, *, inbound=True, outbound=True):
        for other in self.tables:
            if other != vm and outbound:
                self.cut_links.add((vm, other))
            if other != vm and inbound:
                self.cut_links.add((other, vm))

    def heal(self):
        self.cut_links.clear()

    async def transmit(self, source, target):
        await asyncio.sleep(self.delay_s + self.rng.random() * self.jitter_s)
        is_lost = self.rng.random() < self.drop_rate
        if is_lost or (source, target) in self.cut_links:
            await asyncio.Event().wait()

    async def deliver(self, source, target, message):
        self.sent_counts[type(message).__name__] += 1
        await self.transmit(source, target)
        if target not in self.tables:
            return transport.unreachable(target, "it is down")
        name = type(message).__name__
        try:
            outcome = await self.tables[target].handle(name, messages.encode(message))
        except disks.CrashError:
            return transport.unreachable(target, "it crashed")
        await self.transmit(target, source)
        if isinstance(outcome, result.Failure):
            return outcome
        return messages.decode(messages.encode(outcome.unwrap()), message.reply_type)

    def deliver_duplicate(self, source, target, message):
        task = asyncio.create_task(self.deliver(source, target, message))
        self.pending_tasks.add(task)
        task.add_done_callback(self.pending_tasks.discard)


class FakeTransport(transport.PeerTransport):
    def __init__(self, network, vm):
        self.network = network
        self.vm = vm

    async def call(self, peer, message, timeout_s=transport.CALL_TIMEOUT_S):
        if self.network.rng.random() < self.network.duplicate_rate:
            self.network.deliver_duplicate(self.vm, peer, message)
        delivery = asyncio.create_task(self.network.deliver(self.vm, peer, message))
        # A timeout doesn't cancel the delivery: the message may still arrive.
        self.network.pending_tasks.add(delivery)
        delivery.add_done_callback(self.network.pending_tasks.discard)
        done, _ = await asyncio.wait([delivery], timeout=timeout_s)
        if not done:
            return transport.unreachable(peer, "timeout")
        return delivery.result()

    async def close(self):
        pass
