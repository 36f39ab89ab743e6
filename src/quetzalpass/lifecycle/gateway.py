"""State that all requests of one gateway share."""

import asyncio
import random
from collections.abc import Coroutine
from typing import TypeVar

import logbook
import msgspec

from quetzalpass import ids
from quetzalpass.backends import base, registry
from quetzalpass.declarations import schema as declared
from quetzalpass.lifecycle import (
    attempts,
    declared_reach,
    drains,
    generation_ids,
    interruptions,
    ledger_client,
    limits,
    reach_checks,
    retry_budget,
)
from quetzalpass.membership import configuration, quarantine
from quetzalpass.metrics import recorder
from quetzalpass.results import codes, failures
from quetzalpass.routing import admission, servers
from quetzalpass.settings import schema

RANDOM_ID_BITS = 96
HEALTH_CHECK_TIMEOUT_S = 1.0
# Other servers that are asked whether a data centre can be reached.
MAX_NEIGHBOURS = 4
DRAIN_POLL_INTERVAL_S = 0.05
# Time for the responses to requests that waited.
REFUSAL_S = 0.05

ResultT = TypeVar("ResultT")

LOG = logbook.Logger("lifecycle")


class BackendKey(msgspec.Struct, frozen=True):
    """Identifies the adapter of a backend server; another address is another key."""

    server_id: ids.ServerId
    kind: declared.ServerKind
    url: str


class Gateway:
    """State that all requests of one gateway share.

    Parameters
    ----------
    settings : schema.Settings
        Settings of this process.
    holder : configuration.ConfigurationHolder
        Holds the configuration in force.
    admission_queue : admission.Admission
        Queues requests and chooses backend servers.
    rng : random.Random
        Random source for ids and jitter.
    cluster_key : bytes
        Key that all daemons share; it signs generation ids.

    Attributes
    ----------
    ledger : ledger_client.Ledger
        Claims non-idempotent requests.
    recorder : recorder.Recorder
        Metrics by organisation and class.
    drains : drains.DrainMover
        Moves generations off servers that are leaving.
    retry_budgets : retry_budget.RetryBudgets
        Retry budgets by organisation and model.
    limiter : limits.Limiter
        Limits of organisations, shared with the data centre's other gateways.
    quarantine : quarantine.Quarantine
        Tracks requests during which backend servers crashed.
    reach_checks : reach_checks.ReachChecks
        The models and services that this gateway reaches.
    backends : dict of BackendKey to base.Backend
        Open adapters.
    requests : int
        Requests in progress.
    draining : bool
        Whether new requests are refused because the process is shutting down.
    interruptions : interruptions.Interruptions
        Ends requests in progress.
    """

    def __init__(
        self,
        settings: schema.Settings,
        holder: configuration.ConfigurationHolder,
        admission_queue: admission.Admission,
        rng: random.Random,
        cluster_key: bytes,
    ) -> None:
        self.settings = settings
        self.limits = settings.limits
        self.holder = holder
        self.admission_queue = admission_queue
        self.ledger: ledger_client.Ledger = ledger_client.NoLedger()
        self.recorder = recorder.Recorder()
        self.drains = drains.DrainMover(self)
        self.retry_budgets = retry_budget.RetryBudgets()
        local_peers = [
            each
            for each in settings.peer_vms
            if each.data_centre == settings.data_centre
        ]
        self.data_centre_gateways = sorted(
            [settings.id, *(each.id for each in local_peers)]
        )
        self.limiter = limits.Limiter(settings.id, len(local_peers) + 1)
        self.quarantine = quarantine.Quarantine(f"{settings.id}/{rng.getrandbits(32)}")
        self.rng = rng
        self.cluster_key = cluster_key
        self.backends: dict[BackendKey, base.Backend] = {}
        # The client is looked up at each probe, as tests replace it.
        self.reach_checks = reach_checks.ReachChecks(
            declared_reach.DeclaredProber(
                holder,
                lambda server_id, config: self.get_backend(server_id, config),
                self.is_leaving,
            ),
            rng,
        )
        self.reach_checks.loss_observers.append(self.on_service_lost)
        self.requests = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.draining = False
        self.interruptions = interruptions.Interruptions()

    def new_id(self) -> str:
        """Return a new random id in hexadecimal."""
        return f"{self.rng.getrandbits(RANDOM_ID_BITS):024x}"

    def new_request_id(self) -> ids.RequestId:
        """Return a new request id."""
        return ids.RequestId(f"req-{self.new_id()}")

    def new_operation_id(self) -> ids.OperationId:
        """Return a new operation id."""
        return ids.OperationId(f"op-{self.new_id()}")

    def new_generation_id(self, organisation: ids.OrganisationId) -> ids.GenerationId:
        """Return a new generation id that is signed for an organisation."""
        return generation_ids.create_generation_id(
            self.new_id(), organisation, self.cluster_key
        )

    def get_backend(
        self, server_id: ids.ServerId, config: configuration.Configuration
    ) -> base.Backend:
        """Return the adapter of a backend server; open it on first use.

        If a new revision declares another address for a server, a second adapter is
        opened. Requests that started under an earlier revision keep the first one.
        """
        server = config.servers[server_id]
        key = BackendKey(server.id, server.kind, server.url)
        backend = self.backends.get(key)
        if backend is None:
            backend = registry.open_backend(server, self.limits)
            self.backends[key] = backend
        return backend

    def on_attempt_failure(
        self, target: ids.ServiceName, failure: base.AttemptFailure
    ) -> None:
        """Check whether a model or service can be reached after a failed attempt.

        A gateway without peers has no use for the answer.
        """
        has_peers = any(each.url for each in self.settings.peer_vms)
        if has_peers and failure.kind in reach_checks.PATH_FAILURES:
            self.reach_checks.suspect(target)

    def on_service_lost(self, target: ids.ServiceName) -> None:
        """Refuse the requests that wait for a server that can't be reached."""
        failure = unreached_failure(target)
        self.admission_queue.refuse_waiting(ids.ModelName(target), failure)

    def find_unreached(self, target: ids.ServiceName) -> failures.Failure | None:
        """Return why nothing can be sent to a model or service now, or ``None``."""
        if not self.reach_checks.is_lost(target):
            return None
        return unreached_failure(target)

    async def on_server_lost(
        self,
        server_id: ids.ServerId,
        request_id: ids.RequestId,
        config: configuration.Configuration,
        restarted: bool,
    ) -> None:
        """Record a crash in the quarantine if a server is down after a lost connection.

        Parameters
        ----------
        server_id : ServerId
            Server to which a connection was lost.
        request_id : RequestId
            Request that ran on it.
        config : configuration.Configuration
            Configuration under which the request runs.
        restarted : bool
            Whether the server responds but no longer knows the generation.
        """
        if self.is_leaving(server_id):
            return
        backend = self.get_backend(server_id, config)
        if restarted:
            self.quarantine.record_crash(server_id, request_id)
            return
        if await backend.check_health(HEALTH_CHECK_TIMEOUT_S):
            return
        if not await self.is_cut_off(server_id, config):
            self.quarantine.record_crash(server_id, request_id)

    async def is_cut_off(
        self, server_id: ids.ServerId, config: configuration.Configuration
    ) -> bool:
        """Return whether no other server in a server's data centre responds either."""
        neighbours = [
            self.get_backend(each, config)
            for each in config.servers_beside(server_id)
            if not self.is_leaving(each)
        ]
        if not neighbours:
            return False
        responses = await asyncio.gather(
            *(
                each.check_health(HEALTH_CHECK_TIMEOUT_S)
                for each in neighbours[:MAX_NEIGHBOURS]
            )
        )
        return not any(responses)

    def servers_for_peer_suspects(
        self, model: ids.ModelName
    ) -> frozenset[ids.ServerId]:
        """Return the servers on which other gateways prefer to place their suspects.

        The servers of a model are divided among the data centre's gateways, so that
        suspects of two gateways don't run on the same server and share a crash.
        """
        config = self.holder.current
        assert config is not None
        serving = sorted(
            each.id for each in config.declaration.servers if model in each.models
        )
        count = len(self.data_centre_gateways)
        own = self.data_centre_gateways.index(self.settings.id)
        if len(serving) < count:
            return frozenset()
        return frozenset(
            each for number, each in enumerate(serving) if number % count != own
        )

    def is_leaving(self, server_id: ids.ServerId) -> bool:
        """Return whether a server is gone, or is announced or declared as leaving."""
        record = self.admission_queue.dispatcher.table.records.get(server_id)
        return record is None or record.view.state is servers.ServerState.LEAVING

    def refusal(self) -> failures.Failure | None:
        """Return why new requests are refused at present, or ``None``."""
        if self.draining:
            return draining_failure()
        if self.holder.current is None:
            return failures.Failure(
                codes.Code.NOT_READY,
                "no declaration has been received yet",
                retry_after_ms=1_000,
            )
        if self.requests >= self.limits.streams:
            return failures.Failure(
                codes.Code.QUEUE_FULL,
                f"this VM has {self.requests} requests in progress",
                retry_after_ms=1_000,
            )
        return None

    def spawn(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a background task that may outlive its request.

        The gateway keeps a reference to it, so that it isn't garbage-collected.
        """
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def spawn_counted(
        self, coroutine: Coroutine[None, None, ResultT]
    ) -> asyncio.Task[ResultT]:
        """Run a task that a graceful shutdown waits for, as it does for requests."""
        self.requests += 1
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_counted_task_done)
        return task

    def on_counted_task_done(self, task: asyncio.Task) -> None:
        """Remove a finished task that a graceful shutdown would wait for."""
        self.requests -= 1
        self.tasks.discard(task)

    async def drain(self) -> None:
        """Refuse new requests; wait until all have ended and are recorded."""
        self.draining = True
        while self.requests:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.ledger.drain()

    async def interrupt(self) -> None:
        """Refuse all requests that wait, and end those that run.

        Claims of non-idempotent requests stay held; the ledger makes their outcomes
        unknown.
        """
        self.draining = True
        running = self.interruptions.running
        if not running:
            return
        LOG.warning("lifecycle: Interrupting {} requests.", len(running))
        if self.holder.current is not None:
            for target in (*self.holder.current.models, *self.holder.current.services):
                self.admission_queue.refuse_waiting(target, draining_failure())
        await asyncio.sleep(REFUSAL_S)
        self.interruptions.interrupt()

    async def close(self) -> None:
        """Cancel all tasks and close the ledger and the backend connections."""
        for task in list(self.tasks):
            task.cancel()
        self.reach_checks.close()
        self.ledger.close()
        for backend in self.backends.values():
            await backend.close()


def draining_failure() -> failures.Failure:
    """Return the failure of a request that this VM doesn't run, as it stops."""
    return failures.Failure(
        codes.Code.DRAINING,
        "this VM is shutting down",
        retry_after_ms=attempts.RETRY_ELSEWHERE_MS,
    )


def unreached_failure(target: ids.ServiceName) -> failures.Failure:
    """Return the failure of a request whose servers can't be reached from here."""
    return failures.Failure(
        codes.Code.NO_SERVER_REACHED,
        f"no server of {target} can be reached from here",
        retry_after_ms=attempts.RETRY_ELSEWHERE_MS,
    )
