"""Processes of a simulated cluster: real components with fakes around them."""

import asyncio
import contextlib
import random

from returns import result

import builders
from fakes import disks, transports
from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.consensus import registry
from quetzalpass.control import declared_state, ledger
from quetzalpass.daemon import activation, groups, peers, replica_role
from quetzalpass.declarations import schema as declared
from quetzalpass.lifecycle import (
    gateway,
    generations,
    ledger_client,
    requests,
    service_calls,
)
from quetzalpass.membership import configuration, peer_client, propagation, server_views
from quetzalpass.routing import factory
from quetzalpass.routing import settings as routing_settings

DATA_CENTRE = ids.DataCentreId("north-a")
SERVICE = ids.ServiceName("ledger-app")
POLICY = routing_settings.PolicyName.LEAST_IN_FLIGHT
DEADLINE_S = 60.0


class ProcessTransport(transports.FakeTransport):
    """Transport of one process, which sends nothing after the process has died."""

    is_open = True

    async def call(self, peer, message, timeout_s=5.0):
        if not self.is_open:
            await asyncio.Event().wait()
        return await super().call(peer, message, timeout_s)


class ReplicaRole(replica_role.ReplicaRole):
    """The real replica role on a fake disk."""

    def __init__(self, settings, table, channel, holder, rng, disk):
        self.settings = settings
        self.holder = holder
        self.disk = disk
        self.channel = channel
        self.rng = rng
        self.registry = registry.GroupRegistry(table)
        self.declared = declared_state.DeclaredState()
        self.activation = activation.Activation(self.declared, holder)
        self.add(groups.DECLARATION_GROUP, self.declared)
        for group_id in groups.ledger_group_ids():
            self.add(group_id, ledger.LedgerState())


class Daemon:
    """A process on an entry VM, with what the peer interface needs.

    Attributes
    ----------
    revisions : list of int
        Revisions in the order in which they came into force.
    """

    def __init__(self, cluster, vm):
        self.cluster = cluster
        self.vm = vm
        cluster.starts += 1
        self.rng = random.Random(f"{cluster.seed}/{vm}/{cluster.starts}")
        self.table = cluster.network.add_table(vm)
        self.channel = ProcessTransport(cluster.network, vm)
        self.holder = configuration.ConfigurationHolder()
        self.revisions = []
        self.holder.observers.append(lambda at: self.revisions.append(at.revision))
        self.settings = cluster.create_settings(vm)
        self.clients = {
            each.id: peer_client.PeerClient(each.id, self.channel)
            for each in self.settings.peer_vms
        }
        self.propagation = propagation.Propagation(
            self.settings, self.holder, self.clients, self.rng
        )
        self.replica = None

    def open_peers(self):
        peers.PeersInterface(self)
        self.propagation.start()

    def proposer(self, group_id):
        clients = {vm: self.clients[vm] for vm in self.cluster.replica_vms}
        return groups.GroupProposer(group_id, clients, None)

    def disconnect(self):
        self.channel.is_open = False
        self.propagation.stop()
        self.cluster.network.tables.pop(self.vm, None)


class Replica(Daemon):
    async def start(self):
        disk = self.cluster.disks[self.vm]
        self.replica = ReplicaRole(
            self.settings, self.table, self.channel, self.holder, self.rng, disk
        )
        self.open_peers()
        await self.replica.start()

    async def crash(self):
        self.disconnect()
        disk = self.cluster.disks[self.vm]
        disk.faults.is_crashed = True
        for group in self.replica.registry.groups.values():
            with contextlib.suppress(disks.CrashError):
                await group.stop()
        self.cluster.disks[self.vm] = disk.after_crash(self.rng)

    def is_voter(self):
        return all(
            group.replica.is_voter
            and group.replica.log.configuration_index <= group.replica.commit_index
            for group in self.replica.registry.groups.values()
        )


class Gateway(Daemon):
    """A gateway process.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Requests of callers in progress on this gateway.
    bounds_start_s : float
        Time from which the oracle counts its limits: the start, or the last time that
        the gateway was isolated, or outdated while no majority was available.
    """

    async def start(self):
        self.tasks = set()
        self.bounds_start_s = asyncio.get_running_loop().time()
        rules = routing_settings.RoutingSettings(policy=POLICY)
        slots = factory.make_admission(rules, DATA_CENTRE, self.rng)
        self.holder.observers.append(
            lambda at: slots.update_servers(server_views.make_views(at))
        )
        self.gateway = gateway.Gateway(
            self.settings, self.holder, slots, self.rng, b"cluster-key"
        )
        backend_adapters = self.cluster.backend_adapters()
        self.gateway.get_backend = lambda server_id, at: backend_adapters[server_id]
        self.gateway.ledger = ledger_client.ReplicatedLedger(
            self.vm,
            [self.proposer(each) for each in groups.ledger_group_ids()],
            self.gateway.new_operation_id,
            incarnation=self.cluster.starts,
        )
        self.open_peers()

    async def crash(self):
        self.disconnect()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.gateway.close()
        await asyncio.sleep(0)
        # Cancelled requests may have started new tasks, which a crashed process
        # would not have.
        await self.gateway.close()

    def request_fields(self, request_id):
        at = self.holder.current
        now_s = asyncio.get_running_loop().time()
        return {
            "request_id": request_id,
            "organisation": at.declaration.organisations[0],
            "priority_class": declared.PriorityClass(ids.ClassName("default")),
            "deadline_s": now_s + DEADLINE_S,
            "configuration": at,
        }

    async def generate(self, request_id, prompt, delivery, tokens):
        """Run one generation as the caller interface does; return its failure."""
        refusal = self.gateway.refusal()
        if refusal is not None:
            return refusal
        request = requests.GenerationRequest(
            model=self.holder.current.models[builders.MODEL],
            adapter=None,
            prompt=prompt,
            messages=(),
            max_tokens=1_000,
            delivery=delivery,
            parameters={},
            idempotency_key=None,
            **self.request_fields(request_id),
        )
        generation = generations.Generation(self.gateway, request)
        self.gateway.requests += 1
        try:
            opened = await generation.open()
            if isinstance(opened, result.Failure):
                return opened.failure()
            return await self.receive(generation, delivery, tokens)
        except asyncio.CancelledError:
            generation.detach()
            raise
        finally:
            self.gateway.requests -= 1

    async def receive(self, generation, delivery, tokens):
        while True:
            received = await generation.next_batch()
            if isinstance(received, result.Failure):
                return received.failure()
            batch = received.unwrap()
            if delivery is requests.Delivery.STREAM:
                tokens.extend(batch.texts)
            if batch.ended:
                if delivery is requests.Delivery.WHOLE:
                    tokens.extend(generation.tokens)
                return None

    async def call(self, request_id, key, body):
        """Make one non-idempotent call; return its result."""
        refusal = self.gateway.refusal()
        if refusal is not None:
            return result.Failure(refusal)
        call = base.ServiceCall("POST", "/waivers", "", {}, body, request_id, key)
        request = requests.ServiceRequest(
            service=self.holder.current.services[SERVICE],
            call=call,
            non_idempotent=True,
            **self.request_fields(request_id),
        )
        self.gateway.requests += 1
        try:
            return await service_calls.run_call(self.gateway, request)
        finally:
            self.gateway.requests -= 1
