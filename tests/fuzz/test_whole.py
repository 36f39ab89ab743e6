"""The whole under faults, against the seven promises."""

import asyncio
import os
import random

import hypothesis
import pytest
from hypothesis import settings, stateful, strategies

from fuzz import oracle, session
from quetzalpass import ids
from quetzalpass.lifecycle import requests

LONG = os.environ.get("QUETZALPASS_FUZZ_PROFILE") == "long"
NUMBERS = strategies.integers(min_value=0, max_value=5)
SERVER_FAULTS = {
    "engines": ["repeat", "skip", "cross"],
    "services": ["refuse", "lose"],
}


class WholeMachine(stateful.RuleBasedStateMachine):
    """Two gateways, three replicas and five backend servers under faults."""

    def __init__(self):
        super().__init__()
        self.session = None

    @stateful.initialize(seed=strategies.integers(min_value=0, max_value=99))
    def begin(self, seed):
        self.session = session.Session(seed)
        self.world = self.session.world

    def run(self, work):
        self.session.run(work)

    def settle(self):
        self.run(asyncio.sleep(0.003))

    @stateful.rule(
        gateway=NUMBERS,
        sizes=strategies.lists(
            strategies.sampled_from([1, 20, 150]), min_size=1, max_size=5
        ),
        delivery=strategies.sampled_from(requests.Delivery),
    )
    def send_generations(self, gateway, sizes, delivery):
        for position, size in enumerate(sizes):
            prompt = f"draft-{self.session.next_number()}={size}"
            self.session.send_generation(gateway + position, prompt, delivery)
        self.settle()

    @stateful.rule(gateway=NUMBERS)
    def send_crashing(self, gateway):
        prompt = f"crash-{self.session.next_number()}=5"
        self.session.send_generation(gateway, prompt, requests.Delivery.STREAM)
        self.settle()

    @stateful.rule(
        gateway=NUMBERS,
        copies=strategies.lists(NUMBERS, min_size=1, max_size=3),
        gap_ms=strategies.sampled_from([0, 2, 40]),
    )
    def send_call(self, gateway, copies, gap_ms):
        """Send one call, and resend it soon at the same gateway or another."""
        number = self.session.next_number()
        key = ids.IdempotencyKey(f"key-{number}")
        for copy in copies:
            self.session.send_call(gateway + copy, key, b"invoice %d" % number)
            self.run(asyncio.sleep(gap_ms / 1000))
        self.settle()

    @stateful.rule(number=NUMBERS, gateway=NUMBERS)
    def resend(self, number, gateway):
        sent = self.recent(number)
        if isinstance(sent, oracle.SentCall):
            self.session.send_call(gateway, sent.key, sent.body)
        elif sent is not None:
            self.session.send_generation(gateway, sent.prompt, sent.delivery)
        self.settle()

    def recent(self, number):
        sent = self.session.oracle.sent[-6:]
        return sent[number % len(sent)] if sent else None

    @stateful.rule(number=NUMBERS)
    def cancel(self, number):
        if self.session.oracle.sent:
            self.session.cancel(self.recent(number))

    @stateful.rule(
        gateway=NUMBERS,
        leaving=strategies.sets(strategies.integers(0, 4), max_size=2),
        copies=strategies.integers(min_value=1, max_value=2),
        resends=strategies.booleans(),
    )
    def apply(self, gateway, leaving, copies, resends):
        """Change which VMs leave; two copies race with equal bases."""
        vms = [ids.VmId(f"vm-{self.world.servers[each].id}") for each in leaving]
        base_revision = self.session.newest()
        for copy in range(copies):
            applied = self.session.new_apply(base_revision, vms)
            for turn in range(2 if resends else 1):
                chosen = self.session.gateway(gateway + copy + turn)
                if chosen is not None:
                    self.session.apply(applied, chosen)
        self.settle()

    @stateful.rule(number=NUMBERS, gateway=NUMBERS)
    def resend_apply(self, number, gateway):
        chosen = self.session.gateway(gateway)
        applied = self.session.oracle.applied[-6:]
        if chosen is not None:
            again = applied[number % len(applied)]
            self.session.apply(again, chosen)
        self.settle()

    @stateful.rule(number=NUMBERS)
    def shut_gateway_down(self, number):
        gateway = self.session.gateway(number)
        if gateway is not None:
            self.session.drain_gateway(gateway)
        self.settle()

    @stateful.rule(number=NUMBERS)
    def kill_gateway(self, number):
        gateway = self.session.gateway(number)
        if gateway is not None:
            self.run(self.session.kill_gateway(gateway))

    @stateful.rule(number=strategies.integers(0, 2))
    def kill_replica(self, number):
        self.run(self.world.crash(self.world.replica_vms[number]))

    @stateful.rule(number=strategies.integers(0, 4))
    def kill_server(self, number):
        self.world.servers[number].kill()
        self.settle()

    @stateful.rule()
    def restart_missing(self):
        self.run(self.session.restart_missing())

    @stateful.rule(number=strategies.integers(0, 2))
    def wipe(self, number):
        # A second disk may be lost once the first is a voter again, not before.
        if len(self.world.healthy_replicas()) == len(self.world.replica_vms):
            self.run(self.world.wipe(self.world.replica_vms[number]))

    @stateful.rule(
        number=strategies.integers(0, 4),
        ways=strategies.sampled_from([(True, True), (True, False), (False, True)]),
    )
    def isolate(self, number, ways):
        """Cut a replica or a gateway off from all other entry VMs."""
        vm = [*self.world.replica_vms, *self.world.gateway_vms][number]
        if vm in self.world.daemons:
            self.world.isolate(vm, *ways)

    @stateful.rule()
    def heal(self):
        self.world.heal()

    @stateful.rule(jitter_ms=strategies.sampled_from([0, 5, 100]))
    def disturb(self, jitter_ms):
        self.world.network.jitter_s = jitter_ms / 1000
        self.world.network.duplicate_rate = 0.2 if jitter_ms else 0.0

    @stateful.rule(number=strategies.integers(0, 2))
    def stall_links(self, number):
        self.world.engines[number].stall()

    @stateful.rule(
        number=strategies.integers(0, 2),
        fault=strategies.sampled_from(SERVER_FAULTS["engines"]),
    )
    def break_stream(self, number, fault):
        self.world.engines[number].fault = fault

    @stateful.rule(
        number=strategies.integers(0, 1),
        fault=strategies.sampled_from(SERVER_FAULTS["services"]),
    )
    def break_call(self, number, fault):
        self.world.services[number].fault = fault

    @stateful.rule(wait_ms=strategies.sampled_from([3, 50, 700, 3_000, 10_000]))
    def advance(self, wait_ms):
        self.run(asyncio.sleep(wait_ms / 1000))

    @stateful.invariant()
    def promises_hold(self):
        if self.session is not None:
            self.run(self.check())

    async def check(self):
        self.session.oracle.check_all()

    def teardown(self):
        if self.session is None:
            return
        try:
            self.run(self.session.finish())
            self.run(self.check())
        finally:
            self.session.close()


if LONG:
    SEED = int(os.environ.get("QUETZALPASS_FUZZ_SEED") or random.getrandbits(32))
    print(f"QUETZALPASS_FUZZ_SEED={SEED}")
    WholeMachine = hypothesis.seed(SEED)(WholeMachine)

TestWholeMachine = pytest.mark.long(WholeMachine.TestCase)
TestWholeMachine.settings = settings(
    derandomize=not LONG,
    deadline=None,
    max_examples=400 if LONG else 60,
    stateful_step_count=40,
    phases=set(hypothesis.Phase) - {hypothesis.Phase.explain},
    print_blob=LONG,
    suppress_health_check=list(hypothesis.HealthCheck),
)
