"""Processes of an installation: real parts, with fakes at their interfaces."""

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


class Channel(transports.FakeTransport):
    """The transport of one process; a dead process sends nothing more."""

    is_open = True

    async def call(self, peer, message, timeout_s=5.0):
        if not self.is_open:
            await asyncio.Event().wait()
        return await super().call(peer, message, timeout_s)


class ReplicaRole(replica_role.ReplicaRole):
    """The real role on a fake disk."""

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
    """One process on an entry VM, as far as the peers' interface needs it.

    Attributes
    ----------
    revisions : list of int
        Revisions that came into force, in order.
    """

    def __init__(self, world, vm):
        self.world = world
        self.vm = vm
        world.starts += 1
        self.rng = random.Random(f"{world.seed}/{vm}/{world.starts}")
        self.table = world.network.add_table(vm)
        self.channel = Channel(world.network, vm)
        self.holder = configuration.ConfigurationHolder()
        self.revisions = []
        self.holder.observers.append(lambda at: self.revisions.append(at.revision))
        self.settings = world.settings_of(vm)
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
        clients = {vm: self.clients[vm] for vm in self.world.replica_vms}
        return groups.GroupProposer(group_id, clients, None)

    def leave_network(self):
        self.channel.is_open = False
        self.propagation.stop()
        self.world.network.tables.pop(self.vm, None)


class Replica(Daemon):
    async def start(self):
        disk = self.world.disks[self.vm]
        self.replica = ReplicaRole(
            self.settings, self.table, self.channel, self.holder, self.rng, disk
        )
        self.open_peers()
        await self.replica.start()

    async def crash(self):
        self.leave_network()
        disk = self.world.disks[self.vm]
        disk.faults.is_crashed = True
        for group in self.replica.registry.groups.values():
            with contextlib.suppress(disks.CrashError):
                await group.stop()
        self.world.disks[self.vm] = disk.after_crash(self.rng)

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
        Requests of callers under way here.
    fresh_s : float
        When it began, or was last cut off or behind for lack of a majority.
    """

    async def start(self):
        self.tasks = set()
        self.fresh_s = asyncio.get_running_loop().time()
        rules = routing_settings.RoutingSettings(policy=POLICY)
        slots = factory.make_admission(rules, DATA_CENTRE, self.rng)
        self.holder.observers.append(
            lambda at: slots.update_servers(server_views.make_views(at))
        )
        self.gateway = gateway.Gateway(
            self.settings, self.holder, slots, self.rng, b"cluster-key"
        )
        links = self.world.links()
        self.gateway.backend_of = lambda server_id, at: links[server_id]
        self.gateway.ledger = ledger_client.ReplicatedLedger(
            self.vm,
            [self.proposer(each) for each in groups.ledger_group_ids()],
            self.gateway.new_operation_id,
            incarnation=self.world.starts,
        )
        self.open_peers()

    async def crash(self):
        self.leave_network()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.gateway.close()
        await asyncio.sleep(0)
        # What was cancelled may have started tasks; the process has none left.
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
        """Run one generation as the callers' interface does; return its failure."""
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
