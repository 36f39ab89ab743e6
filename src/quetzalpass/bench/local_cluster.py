"""Gateways and stand-in backend servers in one process, over loopback sockets.

Tests and ``quetzalpass bench outcomes`` use this module. Killing a program closes its
listening socket and resets all its connections, as when a process ends.
"""

import asyncio
import hashlib
import itertools
import random

import aiohttp
from aiohttp import web

from quetzalpass import ids
from quetzalpass.bench import local_ports, outcome_records
from quetzalpass.callers import app as callers_app
from quetzalpass.callers import handing_over
from quetzalpass.declarations import schema as declared
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.lifecycle import ledger_client
from quetzalpass.membership import configuration, server_views
from quetzalpass.routing import factory
from quetzalpass.routing import settings as routing_settings
from quetzalpass.settings import schema
from quetzalpass.standin import engine_server, faults, service_server
from quetzalpass.standin import settings as standin_settings
from quetzalpass.wire import server

HOST = "127.0.0.1"
CLUSTER_KEY = b"cluster-key"
DATA_CENTRE = ids.DataCentreId("flx-a")
MODEL = ids.ModelName("claims-llm")
LEDGER_GROUPS = 2
SERVICE = ids.ServiceName("ledger-app")


class Program:
    """An HTTP server in this process that listens on its own port.

    Attributes
    ----------
    port : int
        Listening port; it stays the same after a restart.
    runner : web.AppRunner or None
        The open listener; ``None`` while the program is stopped.
    """

    def __init__(self) -> None:
        self.port = 0
        self.runner: web.AppRunner | None = None
        self.cleanup_tasks: set[asyncio.Task[None]] = set()

    @property
    def url(self) -> str:
        """Base URL of the program."""
        return f"http://{HOST}:{self.port}"

    async def listen(self, app: web.Application) -> None:
        """Start to listen and serve an application."""
        runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=0.0
        )
        await runner.setup()
        site = web.TCPSite(runner, HOST, self.port, reuse_address=True)
        await site.start()
        self.port = runner.addresses[0][1]
        self.runner = runner

    def kill(self) -> None:
        """Stop the program at once and reset its connections."""
        runner = self.runner
        if runner is None:
            return
        self.runner = None
        self.reset_connections(runner)
        task = asyncio.get_running_loop().create_task(self.clean_up(runner))
        self.cleanup_tasks.add(task)
        task.add_done_callback(self.cleanup_tasks.discard)

    def reset_connections(self, runner: web.AppRunner) -> None:
        """Reset every connection of a listener."""
        for connection in runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def clean_up(self, runner: web.AppRunner) -> None:
        """Close the listening socket and release the resources of the program."""
        for site in list(runner.sites):
            await site.stop()
        self.reset_connections(runner)
        await runner.cleanup()

    async def wait_until_closed(self) -> None:
        """Wait until killed instances have been cleaned up."""
        if self.cleanup_tasks:
            await asyncio.gather(*self.cleanup_tasks)


class CountingEngine(engine_server.EngineServer):
    """A stand-in engine that counts the new generations of each prompt."""

    run_counts: outcome_records.RunCounts | None = None

    def matches_output(self, prompt: str, tokens: tuple[str, ...]) -> bool:
        """Count a start without earlier tokens."""
        if self.run_counts is not None and not tokens:
            self.run_counts.starts[prompt] += 1
        return super().matches_output(prompt, tokens)


class LocalStandin(Program):
    """A stand-in engine or plain service.

    Attributes
    ----------
    server : engine_server.EngineServer or service_server.ServiceServer
        The running stand-in; a restart creates a new one.
    crashes : int
        Number of times that a request crashed it.
    runs : dict of str to int
        Number of runs of a plain service for each key, over all restarts.
    persistent_faults : list of faults.Fault
        Faults that are injected again after each restart.
    """

    def __init__(self, config: standin_settings.StandinSettings) -> None:
        super().__init__()
        self.config = config
        self.crashes = 0
        self.runs: dict[str, int] = {}
        self.started: list[ids.GenerationId] = []
        self.persistent_faults: list[faults.Fault] = []
        self.shared_counts: outcome_records.RunCounts | None = None

    def use_run_counts(self, run_counts: outcome_records.RunCounts) -> None:
        """Count runs, over all restarts, in an object that stand-ins share."""
        self.shared_counts = run_counts
        self.runs = run_counts.calls

    async def start(self) -> None:
        """Start or restart the program."""
        await self.wait_until_closed()
        if self.config.kind is standin_settings.StandinKind.ENGINE:
            engine = CountingEngine(self.config, self.crash)
            engine.run_counts = self.shared_counts
            engine.started = self.started
            self.server = engine
        else:
            service = service_server.ServiceServer(self.config, self.crash)
            service.runs = self.runs
            self.server = service
        for fault in self.persistent_faults:
            self.server.plan.add(fault)
        await self.listen(self.server.application())

    def crash(self) -> None:
        """Count a crash that a request caused, and stop the program."""
        self.crashes += 1
        if self.shared_counts is not None:
            self.shared_counts.crashes[self.triggered_marker()] += 1
        self.kill()

    def triggered_marker(self) -> str:
        """Return the marker of the persistent fault that has just been triggered."""
        remaining = {each.marker: each.times for each in self.server.plan.pending}
        for fault in self.persistent_faults:
            if remaining[fault.marker] < fault.times:
                return fault.marker or ""
        return ""

    def add_fault(self, kind: faults.FaultKind, **rest) -> None:
        """Inject a fault."""
        self.server.plan.add(faults.Fault(kind, **rest))


class LocalGateway(Program):
    """A gateway and its listeners for callers and for other gateways.

    Attributes
    ----------
    peers : Program
        The listener for other gateways.
    """

    def __init__(
        self, vm_id: ids.VmId, cluster: "LocalCluster", limits: schema.Limits
    ) -> None:
        super().__init__()
        self.id = vm_id
        self.cluster = cluster
        self.limits = limits
        self.starts = 0
        self.peers = Program()
        (self.peers.port,) = local_ports.free_ports(1)

    async def start(self) -> None:
        """Start the gateway, or restart it without its earlier state."""
        await self.wait_until_closed()
        self.starts += 1
        rng = random.Random(f"{self.cluster.seed}/{self.id}/{self.starts}")
        admission_queue = factory.make_admission(
            routing_settings.RoutingSettings(
                policy=routing_settings.PolicyName.LEAST_IN_FLIGHT
            ),
            DATA_CENTRE,
            rng,
        )
        holder = configuration.ConfigurationHolder()
        holder.observers.append(
            lambda at: admission_queue.update_servers(
                server_views.make_views(at, self.cluster.reclaimed_vms, frozenset())
            )
        )
        self.gateway = gateways.Gateway(
            make_gateway_settings(self.id, self.limits, self.peer_settings()),
            holder,
            admission_queue,
            rng,
            CLUSTER_KEY,
        )
        self.gateway.ledger = self.cluster.open_ledger(self.gateway)
        self.activate()
        self.handover = handing_over.CallerHandover(
            self.gateway, CLUSTER_KEY.decode(), rng
        )
        interface = callers_app.CallersInterface(self.gateway, self.handover)
        await self.listen(interface.application())
        peers_app = server.new_application()
        interface.add_peer_routes(peers_app)
        await self.peers.wait_until_closed()
        await self.peers.listen(peers_app)

    def kill(self) -> None:
        """Stop both listeners at once."""
        self.peers.kill()
        super().kill()

    def peer_settings(self) -> tuple[schema.Peer, ...]:
        """Return the peer settings of the other gateways."""
        return tuple(
            schema.Peer(each.id, DATA_CENTRE, each.peers.url)
            for each in self.cluster.gateways
            if each is not self
        )

    def activate(self) -> None:
        """Activate the declaration of the cluster on this gateway."""
        data = declared.encode(self.cluster.declaration)
        self.gateway.holder.activate(
            ids.Revision(self.cluster.revision), declared.digest_of(data), data
        )

    async def clean_up(self, runner: web.AppRunner) -> None:
        """Close the listener and connections to backend servers."""
        gateway, handover = self.gateway, self.handover
        await super().clean_up(runner)
        await handover.close()
        await gateway.close()


class LocalCluster:
    """Gateways, engines and services with one declaration.

    Parameters
    ----------
    engines, services, gateways_count : int
        Number of each.
    limits : schema.Limits
        Limits of the gateways.
    seed : int
        Seed of all random number generators.
    engine_fields : dict
        Additional fields of the declared engines.

    Attributes
    ----------
    revision : int
        Revision of ``declaration``.
    reclaimed_vms : frozenset of VmId
        VMs that the platform is about to reclaim.
    """

    def __init__(
        self,
        engines: int = 2,
        services: int = 1,
        gateways_count: int = 1,
        limits: schema.Limits | None = None,
        seed: int = 1,
        token_s: float = 0.02,
        classes: tuple[declared.PriorityClass, ...] = (),
        organisations: tuple[declared.Organisation, ...] | None = None,
        **engine_fields,
    ) -> None:
        self.seed = seed
        self.classes = classes
        self.engine_fields = engine_fields
        self.organisations = organisations or (make_organisation("org"),)
        self.revision = 0
        self.reclaimed_vms: frozenset[ids.VmId] = frozenset()
        self.engines = [
            LocalStandin(make_standin_settings(f"engine-{number}", token_s))
            for number in range(engines)
        ]
        self.services = [
            LocalStandin(make_standin_settings(f"service-{number}", token_s))
            for number in range(services)
        ]
        limits = limits or schema.Limits()
        self.gateways = [
            LocalGateway(ids.VmId(f"entry-{number}"), self, limits)
            for number in range(gateways_count)
        ]
        self.ledger_proposers = ledger_client.local_proposers(LEDGER_GROUPS)
        self.incarnations = itertools.count(1)
        self.session: aiohttp.ClientSession | None = None

    def open_ledger(self, gateway: gateways.Gateway) -> ledger_client.Ledger:
        """Return a ledger client for a gateway."""
        return ledger_client.ReplicatedLedger(
            gateway.settings.id,
            self.ledger_proposers,
            gateway.new_operation_id,
            incarnation=next(self.incarnations),
        )

    async def start(self) -> None:
        """Start all stand-ins and gateways."""
        for standin in (*self.engines, *self.services):
            await standin.start()
        self.declare()
        for gateway in self.gateways:
            await gateway.start()
        self.session = aiohttp.ClientSession()

    def declare(self, **changes) -> None:
        """Build a declaration of all servers with changed fields, and activate it."""
        standins = (*self.engines, *self.services)
        fields = {
            "models": (declared.Model(MODEL, ids.VersionName("1")),),
            "classes": self.classes,
            "organisations": self.organisations,
            "data_centres": (declared.DataCentre(DATA_CENTRE, ids.RegionId("be")),),
            "vms": tuple(
                declared.Vm(ids.VmId(f"vm-{each.config.id}"), DATA_CENTRE)
                for each in standins
            ),
            "servers": tuple(self.make_server_declaration(each) for each in standins),
            "services": (
                declared.Service(SERVICE, (declared.Route("POST", "/waivers"),)),
            ),
        }
        self.declaration = declared.Declaration(**{**fields, **changes})
        self.revision += 1
        for gateway in self.gateways:
            if gateway.runner is not None:
                gateway.activate()

    def make_server_declaration(self, standin: LocalStandin) -> declared.BackendServer:
        """Return the declaration of a stand-in."""
        is_engine = standin in self.engines
        rest = {"models": (MODEL,), **self.engine_fields}
        return declared.BackendServer(
            standin.config.id,
            ids.VmId(f"vm-{standin.config.id}"),
            declared.ServerKind.ENGINE if is_engine else declared.ServerKind.SERVICE,
            standin.url,
            **(rest if is_engine else {"service": SERVICE}),
        )

    async def stop(self) -> None:
        """Stop all stand-ins and gateways."""
        if self.session is not None:
            await self.session.close()
        programs = (*self.gateways, *self.engines, *self.services)
        for program in programs:
            program.kill()
        for program in programs:
            await program.wait_until_closed()


def make_organisation(name: str, **rest) -> declared.Organisation:
    """Return an organisation whose API key is its name."""
    digest = hashlib.sha256(name.encode()).hexdigest()
    return declared.Organisation(ids.OrganisationId(name), (digest,), **rest)


def make_standin_settings(
    name: str, token_s: float
) -> standin_settings.StandinSettings:
    """Return the settings of a stand-in, whose kind is the prefix of its name."""
    kind = standin_settings.StandinKind(name.partition("-")[0])
    return standin_settings.StandinSettings(
        ids.ServerId(name), kind, 0, HOST, (MODEL,), token_s=token_s
    )


def make_gateway_settings(
    vm_id: ids.VmId, limits: schema.Limits, peers: tuple[schema.Peer, ...]
) -> schema.Settings:
    """Return gateway settings; the test cluster opens the listeners itself."""
    listener = schema.Listener(HOST, 0)
    return schema.Settings(
        vm_id,
        DATA_CENTRE,
        (schema.Role.GATEWAY,),
        listener,
        listener,
        listener,
        cluster_key_file="",
        peer_vms=peers,
        limits=limits,
    )
