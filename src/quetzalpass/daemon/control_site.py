"""A control node that finds the others by seeds: declaration and fleet."""

import asyncio
import pathlib
import random
import time

import logbook
import msgspec
from aiohttp import web
from returns import result

from quetzalpass import background, ids
from quetzalpass.allocation import allocator
from quetzalpass.allocation import messages as allocation_messages
from quetzalpass.consensus import group as consensus_group
from quetzalpass.consensus import registry, timing
from quetzalpass.consensus import replica as replicas
from quetzalpass.control import declared_state
from quetzalpass.daemon import activation, groups, peers, replica_role
from quetzalpass.declarations import schema
from quetzalpass.membership import (
    configuration,
    discovery,
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
STOP_TIMEOUT_S = 1.0
# All control nodes may be killed at once, and requests wait for the next leader.
# Control nodes are few and near each other, so that a leader's silence shows soon.
TIMING = timing.Timing(
    election_timeout_s=0.45,
    heartbeat_interval_s=0.15,
    call_timeout_s=0.6,
    vote_timeout_s=0.3,
    join_interval_s=0.15,
)


class ControlSettings(msgspec.Struct, frozen=True):
    """Settings of a control node.

    Attributes
    ----------
    vm : VmId
        Its own address for other daemons, ``host:port``.
    seeds : tuple of VmId
        Some control nodes, possibly itself.
    data_folder : str
        Folder of durable state.
    may_form : bool
        Whether the whole system starts for the first time.
    wanted_voters : int
        Number of voters that the group keeps.
    """

    vm: ids.VmId
    seeds: tuple[ids.VmId, ...]
    data_folder: str
    may_form: bool
    wanted_voters: int


class ControlSite:
    """One control node.

    Parameters
    ----------
    settings : ControlSettings
        Its settings.
    source : discovery.ServerSource
        The list of backend servers.
    connect : leaving_server_monitor.Connect
        Makes the adapter of a backend server.
    cluster_key : str
        Key that daemons send to each other.
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
        # A random number alone comes again if a restart finds the same randomness, and
        # would then get the outcome of an earlier operation.
        self.started_ns = time.time_ns()
        self.seeds = settings.seeds
        self.cluster_key = cluster_key
        self.holder = configuration.ConfigurationHolder()
        self.table = handlers.HandlerTable()
        self.channel = transport.HttpTransport(transport.DirectAddresses(), cluster_key)
        self.declared = declared_state.DeclaredState()
        self.activation = activation.Activation(self.declared, self.holder)
        self.server_registry = fleet_registry.FleetRegistry(
            source, self.is_watcher, rng.getrandbits(VERSION_BITS)
        )
        self.allocator = allocator.Allocator(self.server_registry, self.holder, rng)
        self.metrics = exposition.ProcessMetrics()
        self.metrics.revision.set_function(self.holder.revision)
        self.metrics.is_leader.set_function(self.is_watcher)
        self.leaving_monitor = leaving_server_monitor.LeavingServerMonitor(
            self.server_registry, connect
        )
        self.tasks: list[asyncio.Task] = []
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Read the disk, listen, and take part in the group.

        Raises
        ------
        failures.FailureError
            If the data folder can't be used.
        """
        folder = pathlib.Path(self.settings.data_folder)
        self.disk = replica_role.unwrap(disk.open_folder(folder))
        self.group = self.build_group()
        registry.GroupRegistry(self.table).add(self.group)
        self.proposer = groups.GroupProposer(groups.DECLARATION_GROUP, {}, self.group)
        self.table.add(inner_messages.ProposeRequest, self.answer_proposal)
        self.table.add(inner_messages.DeclarationRequest, self.answer_declaration)
        self.table.add(fleet_messages.FleetRequest, self.answer_fleet)
        self.table.add(allocation_messages.AllocationRequest, self.answer_allocation)
        await self.listen()
        replica_role.unwrap(await self.group.start())
        for name, work in (
            ("board", self.server_registry.run),
            ("watch", self.leaving_monitor.run),
        ):
            running = background.keep_running(name, work)
            self.tasks.append(asyncio.create_task(running))

    def build_group(self) -> consensus_group.Group:
        """Return the replica of the declaration's group."""
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
        )

    async def listen(self) -> None:
        """Open the listener for other daemons."""
        app = server.new_application()
        server.PeerServer(self.table, self.cluster_key).add_routes(app)
        self.runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        await server.listen(self.runner, self.settings.vm)

    async def stop(self) -> None:
        """Hand leadership over and stop taking part."""
        for task in self.tasks:
            task.cancel()
        self.leaving_monitor.stop()
        await self.group.transfer_leadership()
        await self.group.stop()
        if self.runner is not None:
            await self.runner.cleanup()
        await self.source.close()
        await self.channel.close()
        self.disk.close()

    def is_watcher(self) -> bool:
        """Return whether this node reads the list of servers for all."""
        return self.group.is_leader_with_lease()

    def adopt_seeds(self, seeds: tuple[ids.VmId, ...]) -> None:
        """Take other seeds from the settings."""
        if seeds != self.seeds:
            LOG.info("daemon: The seeds are {} now.", ", ".join(seeds))
            self.seeds = seeds
            self.group.set_seeds(sorted(seeds))

    def controls(self) -> tuple[ids.VmId, ...]:
        """Return all control nodes that are known here."""
        members = [each.vm for each in self.group.members().members]
        return tuple(sorted({*members, self.settings.vm}))

    async def answer_proposal(
        self, request: inner_messages.ProposeRequest
    ) -> handlers.Outcome:
        """Propose a command that another control node passed on."""
        return result.Success(await groups.propose_here(self.group, request))

    async def answer_declaration(
        self, request: inner_messages.DeclarationRequest
    ) -> handlers.Outcome:
        """Answer the next revision as soon as there is one."""
        wait_s = min(peers.MAX_WAIT_S, request.wait_s)
        if self.holder.revision() <= request.newer_than and wait_s > 0:
            await self.holder.wait_newer(request.newer_than, wait_s)
        return result.Success(peers.declaration_reply(self.holder, request))

    async def answer_fleet(
        self, request: fleet_messages.FleetRequest
    ) -> handlers.Outcome:
        """Answer a gateway with the fleet."""
        reply = await self.server_registry.handle(
            request, self.group.leader(), self.controls()
        )
        return result.Success(reply)

    async def answer_allocation(
        self, request: allocation_messages.AllocationRequest
    ) -> handlers.Outcome:
        """Answer a gateway with an engine for a generation."""
        return result.Success(await self.allocator.handle(request))

    async def propose(
        self, command: declared_state.Command
    ) -> result.Result[bytes, failures.Failure]:
        """Have a command committed, wherever the leader is."""
        others = (set(self.controls()) | set(self.seeds)) - {self.settings.vm}
        self.proposer.clients = {
            vm: peer_client.PeerClient(vm, self.channel) for vm in others
        }
        number = self.rng.getrandbits(OPERATION_BITS)
        operation = ids.OperationId(f"{self.started_ns:x}-{number:x}")
        data = msgspec.msgpack.encode(command)
        return await self.proposer.propose(declared_state.SESSION, operation, data)

    async def publish(
        self, revision: ids.Revision, declaration: schema.Declaration, document: bytes
    ) -> result.Result[declared_state.PublishOutcome, failures.Failure]:
        """Publish a checked declaration under a revision that its operator chose."""
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
            The revision, or ``NO_QUORUM`` where this node can't be sure of it.
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
            message = f"revision {revision} has not arrived here yet"
            return result.Failure(failures.Failure(codes.Code.NO_QUORUM, message))
        return result.Success(self.declared.current)


def decode_publish_outcome(data: bytes) -> declared_state.PublishOutcome:
    """Return the state machine's answer to a publish command."""
    return msgspec.msgpack.decode(data, type=declared_state.PublishOutcome)
