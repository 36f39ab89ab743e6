"""Tests the seven guarantees on a simulated cluster under random faults."""

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


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Two gateways, three replicas and five backend servers under faults."""

    def __init__(self):
        super().__init__()
        self.session = None

    @stateful.initialize(seed=strategies.integers(min_value=0, max_value=99))
    def start(self, seed):
        self.session = session.Session(seed)
        self.cluster = self.session.cluster

    def run(self, work):
        self.session.run(work)

    def let_tasks_run(self):
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
        self.let_tasks_run()

    @stateful.rule(gateway=NUMBERS)
    def send_crashing(self, gateway):
        prompt = f"crash-{self.session.next_number()}=5"
        self.session.send_generation(gateway, prompt, requests.Delivery.STREAM)
        self.let_tasks_run()

    @stateful.rule(
        gateway=NUMBERS,
        copies=strategies.lists(NUMBERS, min_size=1, max_size=3),
        gap_ms=strategies.sampled_from([0, 2, 40]),
    )
    def send_call(self, gateway, copies, gap_ms):
        """Send one call and soon resend it to the same or another gateway."""
        number = self.session.next_number()
        key = ids.IdempotencyKey(f"key-{number}")
        for copy in copies:
            self.session.send_call(gateway + copy, key, b"invoice %d" % number)
            self.run(asyncio.sleep(gap_ms / 1000))
        self.let_tasks_run()

    @stateful.rule(number=NUMBERS, gateway=NUMBERS)
    def resend(self, number, gateway):
        sent = self.recent(number)
        if isinstance(sent, oracle.SentCall):
            self.session.send_call(gateway, sent.key, sent.body)
        elif sent is not None:
            self.session.send_generation(gateway, sent.prompt, sent.delivery)
        self.let_tasks_run()

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
        """Change which VMs are leaving; two applies with the same base may race."""
        vms = [ids.VmId(f"vm-{self.cluster.servers[each].id}") for each in leaving]
        base_revision = self.session.newest_revision()
        for copy in range(copies):
            sent_apply = self.session.create_apply(base_revision, vms)
            for turn in range(2 if resends else 1):
                chosen = self.session.gateway(gateway + copy + turn)
                if chosen is not None:
                    self.session.apply(sent_apply, chosen)
        self.let_tasks_run()

    @stateful.rule(number=NUMBERS, gateway=NUMBERS)
    def resend_apply(self, number, gateway):
        chosen = self.session.gateway(gateway)
        recent_applies = self.session.oracle.applies[-6:]
        if chosen is not None:
            again = recent_applies[number % len(recent_applies)]
            self.session.apply(again, chosen)
        self.let_tasks_run()

    @stateful.rule(number=NUMBERS)
    def shut_gateway_down(self, number):
        gateway = self.session.gateway(number)
        if gateway is not None:
            self.session.drain_gateway(gateway)
        self.let_tasks_run()

    @stateful.rule(number=NUMBERS)
    def kill_gateway(self, number):
        gateway = self.session.gateway(number)
        if gateway is not None:
            self.run(self.session.kill_gateway(gateway))

    @stateful.rule(number=strategies.integers(0, 2))
    def kill_replica(self, number):
        self.run(self.cluster.crash(self.cluster.replica_vms[number]))

    @stateful.rule(number=strategies.integers(0, 4))
    def kill_server(self, number):
        self.cluster.servers[number].kill()
        self.let_tasks_run()

    @stateful.rule()
    def restart_missing(self):
        self.run(self.session.restart_missing())

    @stateful.rule(number=strategies.integers(0, 2))
    def wipe(self, number):
        # At most one disk may be lost until its replica is a voter again.
        if len(self.cluster.healthy_replicas()) == len(self.cluster.replica_vms):
            self.run(self.cluster.wipe(self.cluster.replica_vms[number]))

    @stateful.rule(
        number=strategies.integers(0, 4),
        directions=strategies.sampled_from(
            [(True, True), (True, False), (False, True)]
        ),
    )
    def isolate(self, number, directions):
        """Isolate a replica or a gateway from all other entry VMs."""
        vm = [*self.cluster.replica_vms, *self.cluster.gateway_vms][number]
        if vm in self.cluster.daemons:
            self.cluster.isolate(vm, *directions)

    @stateful.rule()
    def heal(self):
        self.cluster.heal()

    @stateful.rule(jitter_ms=strategies.sampled_from([0, 5, 100]))
    def degrade_network(self, jitter_ms):
        self.cluster.network.jitter_s = jitter_ms / 1000
        self.cluster.network.duplicate_rate = 0.2 if jitter_ms else 0.0

    @stateful.rule(number=strategies.integers(0, 2))
    def stall_links(self, number):
        self.cluster.engines[number].stall()

    @stateful.rule(
        number=strategies.integers(0, 2),
        fault=strategies.sampled_from(SERVER_FAULTS["engines"]),
    )
    def break_stream(self, number, fault):
        self.cluster.engines[number].fault = fault

    @stateful.rule(
        number=strategies.integers(0, 1),
        fault=strategies.sampled_from(SERVER_FAULTS["services"]),
    )
    def break_call(self, number, fault):
        self.cluster.services[number].fault = fault

    @stateful.rule(wait_ms=strategies.sampled_from([3, 50, 700, 3_000, 10_000]))
    def advance(self, wait_ms):
        self.run(asyncio.sleep(wait_ms / 1000))

    @stateful.invariant()
    def guarantees_hold(self):
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
    ClusterMachine = hypothesis.seed(SEED)(ClusterMachine)

TestClusterMachine = pytest.mark.long(ClusterMachine.TestCase)
TestClusterMachine.settings = settings(
    derandomize=not LONG,
    deadline=None,
    max_examples=400 if LONG else 60,
    stateful_step_count=40,
    phases=set(hypothesis.Phase) - {hypothesis.Phase.explain},
    print_blob=LONG,
    suppress_health_check=list(hypothesis.HealthCheck),
)
