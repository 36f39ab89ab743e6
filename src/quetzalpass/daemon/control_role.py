"""The role of a control node, which replicates the declaration and lists the fleet.

Control nodes find each other by seeds.
"""

import asyncio
import pathlib
import random
import time

import logbook
import msgspec
from returns import result

from quetzalpass import background, ids
from quetzalpass.allocation import allocator, permits, rooms
from quetzalpass.allocation import messages as allocation_messages
from quetzalpass.backends import discovery
from quetzalpass.consensus import group as consensus_group
from quetzalpass.consensus import registry, timing
from quetzalpass.consensus import replica as replicas
from quetzalpass.control import declared_state
from quetzalpass.daemon import activation, groups, listeners, peers, replica_role
from quetzalpass.declarations import schema
from quetzalpass.inbound import capacity, connections, rules
from quetzalpass.membership import (
    configuration,
    fleet_messages,
    fleet_registry,
    inner_messages,
    leaving_server_monitor,
    peer_client,
)
from quetzalpass.metrics import exposition
from quetzalpass.results import codes, failures
from quetzalpass.storage import disk
from quetzalpass.wire import handlers, server, transport

LOG = logbook.Logger("daemon")

APPLY_TIMEOUT_S = 1.0
APPLY_POLL_S = 0.005
OPERATION_BITS = 96
VERSION_BITS = 40
# Time for responses to other daemons at a stop, and for handlers that still run then.
PEER_RESPONSE_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 0.1
# Shares of the listeners in the connections that the machine can hold.
PEER_CONNECTIONS_SHARE = 0.6
OPERATOR_CONNECTIONS_SHARE = 0.3
# Requests wait for the next leader, also after all control nodes were killed at once.
# Control nodes are few and close to each other, so that short timeouts suffice to
# detect the loss of a leader. A vote needs several syncs, and disks may be slow.
TIMING = timing.Timing(
    election_timeout_s=0.45,
    heartbeat_interval_s=0.15,
    call_timeout_s=0.6,
    vote_timeout_s=0.6,
    join_interval_s=0.15,
)


class ControlSettings(msgspec.Struct, frozen=True):
    """Settings of a control node.

    Attributes
    ----------
    vm : VmId
        Address at which other daemons reach it, ``host:port``.
    seeds : tuple of VmId
        Some control nodes, possibly including this one.
    data_folder : str
        Folder of the durable state.
    may_form : bool
        Whether the system starts for the first time, so that the seeds may form a new
        group.
    wanted_voters : int
        Number of voters that the leader maintains.
    data_centre : DataCentreId
        Data centre of this node; empty if unknown.
    machine : capacity.MachineCapacity
        What its machine has.
    """

    vm: ids.VmId
    seeds: tuple[ids.VmId, ...]
    data_folder: str
    may_form: bool
    wanted_voters: int
    data_centre: ids.DataCentreId = ids.UNKNOWN_DATA_CENTRE
    machine: capacity.MachineCapacity = capacity.MachineCapacity()

    def operator_connections(self) -> int:
        """Return how many connections of operators may be open."""
        return self.machine.max_connections(OPERATOR_CONNECTIONS_SHARE)


class ControlRole:
    """One control node.

    Parameters
    ----------
    settings : ControlSettings
        Its settings.
    source : discovery.ServerSource
        List of the backend servers.
    connect : leaving_server_monitor.Connect
        Returns the adapter of a backend server.
    cluster_key : str
        Key with which daemons authenticate to each other.
    rng : random.Random
        Source of all randomness.
    """

    def __init__(
        self,
        settings: ControlSettings,
        source: discovery.ServerSource,
        connect: leaving_server_monitor.Connect,
        cluster_key: str,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.source = source
        self.rng = rng
        # Part of each operation id. A random number alone repeats if a restart gets the
        # same random state, and would then get the outcome of an earlier operation.
        self.started_ns = time.time_ns()
        self.seeds = settings.seeds
        self.cluster_key = cluster_key
        self.holder = configuration.ConfigurationHolder()
        self.table = handlers.HandlerTable()
        self.channel = transport.HttpTransport(transport.DirectAddresses(), cluster_key)
        self.declared = declared_state.DeclaredState()
        self.activation = activation.Activation(self.declared, self.holder)
        self.server_registry = fleet_registry.FleetRegistry(
            source, self.is_active, rng.getrandbits(VERSION_BITS)
        )
        self.permit_desk = permits.PermitDesk(self.server_registry)
        self.room_desk = rooms.RoomDesk(self.server_registry)
        self.allocator = allocator.Allocator(self.server_registry, self.holder, rng)
        self.metrics = exposition.ProcessMetrics()
        self.metrics.revision.set_function(self.holder.revision)
        self.metrics.is_leader.set_function(self.is_active)
        self.leaving_monitor = leaving_server_monitor.LeavingServerMonitor(
            self.server_registry, connect
        )
        self.tasks: list[asyncio.Task] = []
        self.listener: listeners.HttpListener | None = None

    async def start(self) -> None:
        """Open the data folder and the listener, and start the group's replica.

        Raises
        ------
        failures.FailureError
            If the data folder can't be used.
        """
        folder = pathlib.Path(self.settings.data_folder)
        self.disk = replica_role.value_or_raise(disk.open_folder(folder))
        self.group = self.build_group()
        registry.GroupRegistry(self.table).add(self.group)
        self.metrics.watch_disk(self.group.health)
        self.proposer = groups.GroupProposer(
            groups.DECLARATION_GROUP, {}, self.group, self.client_of
        )
        self.table.add(inner_messages.ProposeRequest, self.handle_proposal)
        self.table.add(inner_messages.DeclarationRequest, self.handle_declaration)
        self.table.add(fleet_messages.FleetRequest, self.handle_fleet)
        self.table.add(allocation_messages.AllocationRequest, self.handle_allocation)
        self.table.add(permits.PermitRequest, self.handle_permit)
        self.table.add(rooms.RoomRequest, self.handle_room)
        self.table.add(rooms.RoomRelease, self.handle_room_release)
        await self.listen()
        replica_role.value_or_raise(await self.group.start())
        for name, work in (
            ("board", self.server_registry.run),
            ("watch", self.leaving_monitor.run),
        ):
            self.tasks.append(background.start(name, work))

    def build_group(self) -> consensus_group.Group:
        """Return the replica of the group that holds the declaration."""
        settings = self.settings
        rules = replicas.MembershipRules(
            is_open=True,
            may_form=settings.may_form and settings.vm in settings.seeds,
            wanted_voters=settings.wanted_voters,
        )
        return consensus_group.Group(
            groups.DECLARATION_GROUP,
            settings.vm,
            sorted(settings.seeds),
            self.disk,
            self.channel,
            self.declared,
            self.rng,
            TIMING,
            rules=rules,
            data_centre=settings.data_centre,
        )

    async def listen(self) -> None:
        """Open the listener for other daemons."""
        app = server.new_application()
        server.PeerServer(self.table, self.cluster_key).add_routes(app)
        runner = connections.GuardedRunner(
            app,
            rules.FixedRules(
                self.settings.machine.max_connections(PEER_CONNECTIONS_SHARE)
            ),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self.listener = listeners.HttpListener(
            runner, listeners.parse_address(self.settings.vm)
        )
        await self.listener.start()

    async def stop(self) -> None:
        """Hand on leadership and vote, answer what was read, and close everything.

        The operator's listener must be closed already.
        """
        for task in self.tasks:
            task.cancel()
        self.leaving_monitor.stop()
        await self.group.transfer_leadership()
        LOG.info("daemon: The leader is {}.", self.group.leader())
        await self.group.release_vote()
        if self.listener is not None:
            await self.listener.stop_accepting()
            self.holder.end_waits()
            await self.listener.close(PEER_RESPONSE_TIMEOUT_S)
            LOG.info("daemon: Closed the listener for other daemons.")
        await self.group.stop()
        await self.source.close()
        await self.channel.close()
        self.disk.close()
        LOG.info("daemon: {} has stopped.", self.settings.vm)

    def is_active(self) -> bool:
        """Return whether this node is the one that reads the list of servers."""
        return self.group.is_leader_with_lease()

    def adopt_seeds(self, seeds: tuple[ids.VmId, ...]) -> None:
        """Use the given seeds from now on."""
        if seeds != self.seeds:
            LOG.info("daemon: The seeds have changed to {}.", ", ".join(seeds))
            self.seeds = seeds
            self.group.set_seeds(sorted(seeds))

    def control_nodes(self) -> tuple[ids.VmId, ...]:
        """Return all known control nodes, including this one."""
        members = [each.vm for each in self.group.members().members]
        return tuple(sorted({*members, self.settings.vm}))

    async def handle_proposal(
        self, request: inner_messages.ProposeRequest
    ) -> handlers.Outcome:
        """Propose a command that another control node has forwarded."""
        return result.Success(await groups.propose_locally(self.group, request))

    async def handle_declaration(
        self, request: inner_messages.DeclarationRequest
    ) -> handlers.Outcome:
        """Return a newer revision as soon as there is one."""
        wait_s = min(peers.MAX_WAIT_S, request.wait_s)
        if self.holder.revision() <= request.newer_than and wait_s > 0:
            await self.holder.wait_newer(request.newer_than, wait_s)
        return result.Success(peers.declaration_reply(self.holder, request))

    async def handle_fleet(
        self, request: fleet_messages.FleetRequest
    ) -> handlers.Outcome:
        """Return the fleet to a gateway."""
        reply = await self.server_registry.handle(
            request, self.group.leader(), self.control_nodes()
        )
        return result.Success(reply)

    async def handle_allocation(
        self, request: allocation_messages.AllocationRequest
    ) -> handlers.Outcome:
        """Allocate an engine for a generation of a gateway."""
        return result.Success(await self.allocator.handle(request))

    async def handle_permit(self, request: permits.PermitRequest) -> handlers.Outcome:
        """Give out a permit for a server that names a limit."""
        return result.Success(self.permit_desk.handle(request))

    async def handle_room(self, request: rooms.RoomRequest) -> handlers.Outcome:
        """Admit a request to a brittle server."""
        return result.Success(self.room_desk.handle(request))

    async def handle_room_release(self, release: rooms.RoomRelease) -> handlers.Outcome:
        """Record that a request to a brittle server has ended."""
        return result.Success(self.room_desk.handle_release(release))

    def client_of(self, vm: ids.VmId) -> peer_client.PeerClient:
        """Return a client of another control node."""
        return peer_client.PeerClient(vm, self.channel)

    async def propose(
        self, command: declared_state.Command
    ) -> result.Result[bytes, failures.Failure]:
        """Commit a command, on this node or any other that leads."""
        others = (set(self.control_nodes()) | set(self.seeds)) - {self.settings.vm}
        self.proposer.clients = {vm: self.client_of(vm) for vm in others}
        number = self.rng.getrandbits(OPERATION_BITS)
        operation = ids.OperationId(f"{self.started_ns:x}-{number:x}")
        data = msgspec.msgpack.encode(command)
        return await self.proposer.propose(declared_state.SESSION, operation, data)

    async def publish(
        self, revision: ids.Revision, declaration: schema.Declaration, document: bytes
    ) -> result.Result[declared_state.PublishOutcome, failures.Failure]:
        """Publish a valid declaration as a revision that the operator numbered."""
        command = declared_state.PublishCommand(
            revision, schema.encode(declaration), document, ""
        )
        outcome = await self.propose(command)
        return outcome.map(decode_publish_outcome)

    async def read_newest(
        self,
    ) -> result.Result[declared_state.AcceptedDeclaration, failures.Failure]:
        """Return the newest accepted revision, confirmed by a majority.

        Returns
        -------
        Result
            The revision, or ``NO_QUORUM`` if it can't be confirmed or has not arrived
            here in time.
        """
        confirmed = await self.propose(declared_state.BarrierCommand())
        if isinstance(confirmed, result.Failure):
            return result.Failure(confirmed.failure())
        revision = msgspec.msgpack.decode(confirmed.unwrap(), type=int)
        try:
            async with asyncio.timeout(APPLY_TIMEOUT_S):
                while self.declared.current.revision < revision:
                    await asyncio.sleep(APPLY_POLL_S)
        except TimeoutError:
            message = f"revision {revision} has not been applied on this node yet"
            return result.Failure(failures.Failure(codes.Code.NO_QUORUM, message))
        return result.Success(self.declared.current)


def decode_publish_outcome(data: bytes) -> declared_state.PublishOutcome:
    """Decode the outcome of a publish command."""
    return msgspec.msgpack.decode(data, type=declared_state.PublishOutcome)
