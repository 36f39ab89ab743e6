"""Gateways, replicas and backend servers of one cluster on one event loop.

The gateways, replicas, proposers and the propagation of revisions are the real ones.
Only the disks, the peer transport and the backend servers are fakes.
"""

import asyncio

import msgspec
from returns import result

import builders
from fakes import backends, disks, transports
from fuzz import processes
from quetzalpass import ids
from quetzalpass.control import declared_state
from quetzalpass.daemon import groups
from quetzalpass.declarations import schema as declared
from quetzalpass.settings import schema

LIMITS = schema.Limits(silent_stream_s=2.0, caller_grace_s=3.0)


class SimulatedCluster:
    def __init__(self, seed):
        self.seed = seed
        self.starts = 0
        self.network = transports.FakeNetwork(seed)
        self.replica_vms = [ids.VmId(f"vm-r{number}") for number in range(3)]
        self.gateway_vms = [ids.VmId(f"vm-g{number}") for number in range(2)]
        self.disks = {vm: disks.FakeDisk() for vm in self.replica_vms}
        self.record = backends.RunRecord()
        names = [ids.ServerId(f"engine-{number}") for number in range(3)]
        self.engines = [backends.FakeEngine(each, self.record) for each in names]
        self.services = [
            backends.FakeService(ids.ServerId(f"service-{number}"), self.record)
            for number in range(2)
        ]
        self.daemons = {}
        self.isolated = set()

    def now_s(self):
        return asyncio.get_running_loop().time()

    @property
    def servers(self):
        return [*self.engines, *self.services]

    def backend_adapters(self):
        adapters = {each.id: backends.FakeEngineAdapter(each) for each in self.engines}
        return adapters | {
            each.id: backends.FakeServiceAdapter(each) for each in self.services
        }

    def create_settings(self, vm):
        listener = schema.Listener("127.0.0.1", 0)
        is_replica = vm in self.replica_vms
        return schema.Settings(
            vm,
            processes.DATA_CENTRE,
            (schema.Role.REPLICA if is_replica else schema.Role.GATEWAY,),
            listener,
            listener,
            listener,
            peer_vms=tuple(
                schema.Peer(each, processes.DATA_CENTRE, "", each in self.replica_vms)
                for each in (*self.replica_vms, *self.gateway_vms)
                if each != vm
            ),
            cluster_key_file="",
            limits=LIMITS,
        )

    async def start(self, vm):
        kind = processes.Replica if vm in self.replica_vms else processes.Gateway
        self.daemons[vm] = kind(self, vm)
        await self.daemons[vm].start()

    async def start_all(self):
        for vm in (*self.replica_vms, *self.gateway_vms):
            await self.start(vm)

    async def crash(self, vm):
        daemon = self.daemons.pop(vm, None)
        if daemon is not None:
            await daemon.crash()

    async def wipe(self, vm):
        await self.crash(vm)
        self.disks[vm] = disks.FakeDisk()
        await self.start(vm)

    def isolate(self, vm, inbound, outbound):
        self.isolated.add(vm)
        self.network.isolate(vm, inbound=inbound, outbound=outbound)

    def heal(self):
        self.isolated.clear()
        self.network.heal()

    async def stop(self):
        for vm in list(self.daemons):
            await self.crash(vm)
        pending_tasks = [*self.network.pending_tasks, *self.record.pending_tasks]
        for task in pending_tasks:
            task.cancel()
        await asyncio.gather(*pending_tasks, return_exceptions=True)

    def gateways(self):
        return [self.daemons[vm] for vm in self.gateway_vms if vm in self.daemons]

    def replicas(self):
        return [self.daemons[vm] for vm in self.replica_vms if vm in self.daemons]

    def healthy_replicas(self):
        return [
            each
            for each in self.replicas()
            if each.vm not in self.isolated and each.is_voter()
        ]

    def declaration(self, leaving=(), author=""):
        """Return a declaration of all servers, unique by the length of the author."""
        service_fields = {
            "kind": declared.ServerKind.SERVICE,
            "models": (),
            "service": processes.SERVICE,
        }
        servers = [
            builders.engine(each.id, resumes_across_replicas=True)
            for each in self.engines
        ]
        servers += [
            builders.engine(each.id, **service_fields) for each in self.services
        ]
        # The limits are never reached, so that a refusal can only come from a fault.
        organisation = declared.Organisation(
            ids.OrganisationId("carrier-1"),
            (),
            requests_per_s=10_000.0,
            burst_requests=10_000,
        )
        route = declared.Route("POST", "/waivers")
        return builders.declaration(
            servers,
            leaving,
            organisations=(organisation,),
            services=(declared.Service(processes.SERVICE, (route,)),),
            retention=declared.Retention(outcome_s=86_400.0 + len(author)),
        )

    async def apply(self, gateway, operation, base_revision, data, author):
        """Apply a declaration as the operator interface does."""
        command = declared_state.ApplyCommand(base_revision, data, author)
        answered = await gateway.proposer(groups.DECLARATION_GROUP).propose(
            declared_state.SESSION, operation, msgspec.msgpack.encode(command)
        )
        if isinstance(answered, result.Failure):
            return None
        return msgspec.msgpack.decode(
            answered.unwrap(), type=declared_state.ApplyOutcome
        )

    async def wait_until(self, condition, timeout_s=60.0):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.1)
