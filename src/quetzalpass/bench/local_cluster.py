"""Gateways and stand-in backend servers in one process, over loopback sockets.

Tests and ``quetzalpass bench outcomes`` share it. Killing a program here closes its
listening socket and resets all its connections, as the end of a process does.
"""

import asyncio
import hashlib
import itertools
import random

import aiohttp
from aiohttp import web

from quetzalpass import ids
from quetzalpass.bench import outcome_records
from quetzalpass.callers import app as callers_app
from quetzalpass.declarations import schema as declared
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.lifecycle import ledger_client
from quetzalpass.membership import configuration, server_views
from quetzalpass.routing import factory
from quetzalpass.routing import settings as routing_settings
from quetzalpass.settings import schema
from quetzalpass.standin import engine_server, faults, service_server
from quetzalpass.standin import settings as standin_settings

HOST = "127.0.0.1"
CLUSTER_KEY = b"cluster-key"
DATA_CENTRE = ids.DataCentreId("flx-a")
MODEL = ids.ModelName("claims-llm")
LEDGER_GROUPS = 2
SERVICE = ids.ServiceName("ledger-app")


class Program:
    """A program of this process that listens on a port of its own.

    Attributes
    ----------
    port : int
        Its port, which stays the same over restarts.
    runner : web.AppRunner or None
        The open listener; ``None`` while the program is dead.
    """

    def __init__(self) -> None:
        self.port = 0
        self.runner: web.AppRunner | None = None
        self.ended: set[asyncio.Task[None]] = set()

    @property
    def url(self) -> str:
        """Base address."""
        return f"http://{HOST}:{self.port}"

    async def listen(self, app: web.Application) -> None:
        """Open the listener."""
        runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=0.0
        )
        await runner.setup()
        site = web.TCPSite(runner, HOST, self.port, reuse_address=True)
        await site.start()
        self.port = runner.addresses[0][1]
        self.runner = runner

    def kill(self) -> None:
        """End the program at once; its connections are reset."""
        runner = self.runner
        if runner is None:
            return
        self.runner = None
        self.reset_links(runner)
        task = asyncio.get_running_loop().create_task(self.clean_up(runner))
        self.ended.add(task)
        task.add_done_callback(self.ended.discard)

    def reset_links(self, runner: web.AppRunner) -> None:
        """Reset every connection of a listener."""
        for connection in runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def clean_up(self, runner: web.AppRunner) -> None:
        """Close the listening socket and what the program held."""
        for site in list(runner.sites):
            await site.stop()
        self.reset_links(runner)
        await runner.cleanup()

    async def wait_ended(self) -> None:
        """Wait until killed instances are gone."""
        if self.ended:
            await asyncio.gather(*self.ended)


class WatchedEngine(engine_server.EngineServer):
    """A stand-in engine that notes each fresh start by its prompt."""

    runs: outcome_records.Runs | None = None

    def matches_output(self, prompt: str, tokens: tuple[str, ...]) -> bool:
        """Note a start without earlier tokens."""
        if self.runs is not None and not tokens:
            self.runs.starts[prompt] += 1
        return super().matches_output(prompt, tokens)


class LocalStandin(Program):
    """A stand-in engine or plain service.

    Attributes
    ----------
    server : engine_server.EngineServer or service_server.ServiceServer
        The running stand-in; a restart makes a new one.
    crashes : int
        How often a request crashed it.
    runs : dict of str to int
        Runs of a plain service by key, over all restarts.
    standing_faults : list of faults.Fault
        Faults that are switched on again after each restart.
    """

    def __init__(self, config: standin_settings.StandinSettings) -> None:
        super().__init__()
        self.config = config
        self.crashes = 0
        self.runs: dict[str, int] = {}
        self.started: list[ids.GenerationId] = []
        self.standing_faults: list[faults.Fault] = []
        self.observer: outcome_records.Runs | None = None

    def observe(self, runs: outcome_records.Runs) -> None:
        """Note what runs here, over all restarts, in a record shared with others."""
        self.observer = runs
        self.runs = runs.calls

    async def start(self) -> None:
        """Start the program, or start it anew."""
        await self.wait_ended()
        if self.config.kind is standin_settings.StandinKind.ENGINE:
            engine = WatchedEngine(self.config, self.crash)
            engine.runs = self.observer
            engine.started = self.started
            self.server = engine
        else:
            service = service_server.ServiceServer(self.config, self.crash)
            service.runs = self.runs
            self.server = service
        for fault in self.standing_faults:
            self.server.plan.add(fault)
        await self.listen(self.server.application())

    def crash(self) -> None:
        """End the program because a request crashed it."""
        self.crashes += 1
        if self.observer is not None:
            self.observer.crashes[self.crashing_marker()] += 1
        self.kill()

    def crashing_marker(self) -> str:
        """Return the marker of the standing fault that has just struck."""
        left = {each.marker: each.times for each in self.server.plan.pending}
        for fault in self.standing_faults:
            if left[fault.marker] < fault.times:
                return fault.marker or ""
        return ""

    def add_fault(self, kind: faults.FaultKind, **rest) -> None:
        """Switch a fault on."""
        self.server.plan.add(faults.Fault(kind, **rest))


class LocalGateway(Program):
    """A gateway with its callers' listener."""

    def __init__(
        self, vm_id: ids.VmId, cluster: "LocalCluster", limits: schema.Limits
    ) -> None:
        super().__init__()
        self.id = vm_id
        self.cluster = cluster
        self.limits = limits
        self.starts = 0

    async def start(self) -> None:
        """Start the gateway, or start it anew with nothing remembered."""
        await self.wait_ended()
        self.starts += 1
        rng = random.Random(f"{self.cluster.seed}/{self.id}/{self.starts}")
        slots = factory.make_admission(
            routing_settings.RoutingSettings(
                policy=routing_settings.PolicyName.LEAST_IN_FLIGHT
            ),
            DATA_CENTRE,
            rng,
        )
        holder = configuration.ConfigurationHolder()
        holder.observers.append(
            lambda at: slots.update_servers(
                server_views.make_views(at, self.cluster.reclaimed_vms, frozenset())
            )
        )
        self.gateway = gateways.Gateway(
            settings_of(self.id, self.limits, self.peers()),
            holder,
            slots,
            rng,
            CLUSTER_KEY,
        )
        self.gateway.ledger = self.cluster.open_ledger(self.gateway)
        self.activate()
        await self.listen(callers_app.CallersInterface(self.gateway).application())

    def peers(self) -> tuple[schema.Peer, ...]:
        """Return the other gateways."""
        return tuple(
            schema.Peer(each.id, DATA_CENTRE, "")
            for each in self.cluster.gateways
            if each is not self
        )

    def activate(self) -> None:
        """Put the cluster's declaration in force here."""
        data = declared.encode(self.cluster.declaration)
        self.gateway.holder.activate(
            ids.Revision(self.cluster.revision), declared.digest_of(data), data
        )

    async def clean_up(self, runner: web.AppRunner) -> None:
        """Close the listener and the connections to backend servers."""
        gateway = self.gateway
        await super().clean_up(runner)
        await gateway.close()


class LocalCluster:
    """Gateways, engines and services that share a declaration.

    Parameters
    ----------
    engines, services, gateways_count : int
        How many of each.
    limits : schema.Limits
        Caps of the gateways.
    seed : int
        Seed of all randomness.
    engine_fields : dict
        Further fields of the declared engines.

    Attributes
    ----------
    revision : int
        Revision of ``declaration``.
    reclaimed_vms : frozenset of VmId
        VMs that the platform says are leaving.
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
        self.organisations = organisations or (organisation_of("org"),)
        self.revision = 0
        self.reclaimed_vms: frozenset[ids.VmId] = frozenset()
        self.engines = [
            LocalStandin(standin_config(f"engine-{number}", token_s))
            for number in range(engines)
        ]
        self.services = [
            LocalStandin(standin_config(f"service-{number}", token_s))
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
        """Return the ledger as one gateway reaches it."""
        return ledger_client.ReplicatedLedger(
            gateway.settings.id,
            self.ledger_proposers,
            gateway.new_operation_id,
            incarnation=next(self.incarnations),
        )

    async def start(self) -> None:
        """Start everything."""
        for standin in (*self.engines, *self.services):
            await standin.start()
        self.declare()
        for gateway in self.gateways:
            await gateway.start()
        self.session = aiohttp.ClientSession()

    def declare(self, **changes) -> None:
        """Declare the present servers with changed fields, and activate that."""
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
            "servers": tuple(self.server_of(each) for each in standins),
            "services": (
                declared.Service(SERVICE, (declared.Route("POST", "/waivers"),)),
            ),
        }
        self.declaration = declared.Declaration(**{**fields, **changes})
        self.revision += 1
        for gateway in self.gateways:
            if gateway.runner is not None:
                gateway.activate()

    def server_of(self, standin: LocalStandin) -> declared.BackendServer:
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
        """Stop everything."""
        if self.session is not None:
            await self.session.close()
        programs = (*self.gateways, *self.engines, *self.services)
        for program in programs:
            program.kill()
        for program in programs:
            await program.wait_ended()


def organisation_of(name: str, **rest) -> declared.Organisation:
    """Return an organisation whose key is its name."""
    digest = hashlib.sha256(name.encode()).hexdigest()
    return declared.Organisation(ids.OrganisationId(name), (digest,), **rest)


def standin_config(name: str, token_s: float) -> standin_settings.StandinSettings:
    """Return the settings of a stand-in; its name tells the kind."""
    kind = standin_settings.StandinKind(name.partition("-")[0])
    return standin_settings.StandinSettings(
        ids.ServerId(name), kind, 0, HOST, (MODEL,), token_s=token_s
    )


def settings_of(
    vm_id: ids.VmId, limits: schema.Limits, peers: tuple[schema.Peer, ...]
) -> schema.Settings:
    """Return the settings of a gateway whose listeners are opened by others."""
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
