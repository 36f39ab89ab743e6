"""Propagation time of a revision to nine daemons, and their control-plane cost.

The daemons run in one process over loopback, three of them as replicas on real disks.
CPU figures are those of the process divided by the number of daemons, so they include a
share of the replicas' work.
"""

import asyncio
import pathlib
import random
import resource
import tempfile
import time

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.bench import fleet_declaration, local_ports
from quetzalpass.control import declared_state
from quetzalpass.daemon import groups, process
from quetzalpass.declarations import schema as declared
from quetzalpass.settings import schema

GATEWAYS = 9
REPLICAS = 3
HOST = "127.0.0.1"
CHANGES, CHANGES_QUICK = 40, 10
CHANGES_PER_DAY = 8_500
DAY_S = 86_400.0
FAST_FACTOR = 100
CHANGE_PAUSE_S = 0.5
# The first revision is sent as a whole, and daemons get it from more than one peer.
SETTLE_S = 4.0
SEED = 1
POLL_S = 0.002
START_TIMEOUT_S = 30.0


class PropagationFigures(msgspec.Struct, frozen=True):
    """Figures for one size of the declaration.

    Attributes
    ----------
    organisations, servers : int
        Size of the declaration.
    in_force_p99_s : float
        Time from an apply until the revision is in force on all nine daemons, with one
        change at a time.
    in_force_p99_s_at_100x : float
        The same with a hundred times ``CHANGES_PER_DAY``.
    idle_cpu_share : float
        Share of a core that each daemon uses without changes.
    change_cpu_ms : float
        CPU time of each daemon for one change, in milliseconds.
    idle_bytes_per_s, change_bytes : float
        Bytes of message bodies for each daemon: without changes, and for one change.
    rss_mb : float
        Peak memory of the process divided by the number of daemons, in megabytes.
    """

    organisations: int
    servers: int
    in_force_p99_s: float
    in_force_p99_s_at_100x: float
    idle_cpu_share: float
    change_cpu_ms: float
    idle_bytes_per_s: float
    change_bytes: float
    rss_mb: float


class DaemonCluster:
    """Nine daemons in three data centres.

    Parameters
    ----------
    folder : Path
        Folder for the key file and the data folders.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.names = [ids.VmId(f"entry-{n}") for n in range(GATEWAYS)]
        self.ports = dict(
            zip(self.names, local_ports.free_ports(GATEWAYS), strict=True)
        )
        (folder / "key").write_text("bench-cluster-key")
        self.daemons: list[process.Daemon] = []
        self.operations = 0

    def settings(self, vm: ids.VmId) -> schema.Settings:
        """Return the settings of one daemon."""
        number = self.names.index(vm)
        peers = tuple(
            schema.Peer(
                each,
                self.data_centre_of(each),
                f"http://{HOST}:{self.ports[each]}",
                self.names.index(each) < REPLICAS,
            )
            for each in self.names
            if each != vm
        )
        role = schema.Role.REPLICA if number < REPLICAS else schema.Role.GATEWAY
        any_port = schema.Listener(HOST, 0)
        key_file = str(self.folder / "key")
        return schema.Settings(
            id=vm,
            data_centre=self.data_centre_of(vm),
            roles=(schema.Role.GATEWAY, role),
            callers=any_port,
            peers=schema.Listener(HOST, self.ports[vm]),
            operators=schema.Listener(HOST, 0, key_file=key_file),
            cluster_key_file=key_file,
            peer_vms=peers,
            data_folder=str(self.folder / vm) if number < REPLICAS else None,
        )

    def data_centre_of(self, vm: ids.VmId) -> ids.DataCentreId:
        """Return the data centre of a daemon."""
        return fleet_declaration.data_centre_id(self.names.index(vm) % REPLICAS)

    async def start(self) -> None:
        """Start all daemons."""
        for vm in self.names:
            daemon = process.Daemon(self.settings(vm), random.Random(f"{SEED}/{vm}"))
            self.daemons.append(daemon)
        await asyncio.gather(*(each.start() for each in self.daemons))

    def bytes_exchanged(self) -> int:
        """Return the size of the message bodies of all calls so far, in bytes."""
        return sum(each.channel.bytes_exchanged for each in self.daemons)

    async def stop(self) -> None:
        """Stop all daemons."""
        await asyncio.gather(*(each.stop() for each in self.daemons))

    async def apply(
        self, base: ids.Revision, declaration: declared.Declaration
    ) -> ids.Revision:
        """Apply a declaration through a daemon that isn't a replica."""
        self.operations += 1
        known = self.daemons[-1].holder.find_declaration(base)
        command = declared_state.encode_apply_command(base, known, declaration, "bench")
        operation = ids.OperationId(f"bench-{self.operations}")
        proposer = self.daemons[-1].groups[groups.DECLARATION_GROUP]
        reply = await proposer.propose(declared_state.SESSION, operation, command)
        assert isinstance(reply, result.Success), reply
        outcome = msgspec.msgpack.decode(
            reply.unwrap(), type=declared_state.ApplyOutcome
        )
        assert outcome.accepted
        return outcome.revision

    async def wait_in_force(self, revision: ids.Revision) -> None:
        """Wait until a revision or a newer one is in force on all daemons."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while any(each.holder.revision() < revision for each in self.daemons):
                await asyncio.sleep(POLL_S)


async def measure(organisations: int, servers: int, quick: bool) -> PropagationFigures:
    """Measure nine daemons with a declaration of a given size.

    The engines are declared out of service, as the benchmark ``capacity`` measures the
    cost of probes.
    """
    declaration = fleet_declaration.make_declaration(organisations, servers)
    idle_state = declared.ServiceState.OUT_OF_SERVICE
    declaration = msgspec.structs.replace(
        declaration,
        vms=tuple(
            msgspec.structs.replace(each, state=idle_state) for each in declaration.vms
        ),
    )
    with tempfile.TemporaryDirectory() as folder:
        cluster = DaemonCluster(pathlib.Path(folder))
        await cluster.start()
        try:
            return await measure_cluster(cluster, declaration, quick)
        finally:
            await cluster.stop()


async def measure_cluster(
    cluster: DaemonCluster, declaration: declared.Declaration, quick: bool
) -> PropagationFigures:
    """Measure daemons that have been started."""
    changes = CHANGES_QUICK if quick else CHANGES
    revision = await cluster.apply(ids.Revision(0), declaration)
    await cluster.wait_in_force(revision)
    await asyncio.sleep(SETTLE_S)
    idle_duration_s = 3.0 if quick else 10.0
    idle_bytes = cluster.bytes_exchanged()
    idle_share = await measure_idle(idle_duration_s)
    before_changes = cluster.bytes_exchanged()
    idle_bytes_per_s = (before_changes - idle_bytes) / idle_duration_s
    changes_started_s = time.monotonic()
    slow_times_s, change_cpu_s = [], []
    for number in range(changes):
        changed = change_organisation(declaration, number)
        cpu_s = time.process_time()
        started_s = time.monotonic()
        revision = await cluster.apply(revision, changed)
        await cluster.wait_in_force(revision)
        slow_times_s.append(time.monotonic() - started_s)
        change_cpu_s.append(time.process_time() - cpu_s)
        await asyncio.sleep(CHANGE_PAUSE_S)
    change_bytes = cluster.bytes_exchanged() - before_changes
    change_bytes -= idle_bytes_per_s * (time.monotonic() - changes_started_s)
    fast_times_s = await measure_fast(cluster, declaration, revision, changes)
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return PropagationFigures(
        len(declaration.organisations),
        len(declaration.servers),
        percentile_99(slow_times_s),
        percentile_99(fast_times_s),
        idle_share / GATEWAYS,
        sum(change_cpu_s) / changes / GATEWAYS * 1e3,
        idle_bytes_per_s / GATEWAYS,
        change_bytes / changes / GATEWAYS,
        peak_mb / GATEWAYS,
    )


async def measure_idle(duration_s: float) -> float:
    """Return the share of a core that the process uses without changes."""
    started_s = time.process_time()
    await asyncio.sleep(duration_s)
    return (time.process_time() - started_s) / duration_s


async def measure_fast(
    cluster: DaemonCluster,
    declaration: declared.Declaration,
    revision: ids.Revision,
    changes: int,
) -> list[float]:
    """Return propagation times at a hundred times the usual rate of changes."""
    interval_s = DAY_S / (CHANGES_PER_DAY * FAST_FACTOR)
    waiting_tasks = []

    async def wait(started_s: float, accepted: ids.Revision) -> float:
        await cluster.wait_in_force(accepted)
        return time.monotonic() - started_s

    next_s = time.monotonic()
    for number in range(changes):
        next_s += interval_s
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
        started_s = time.monotonic()
        revision = await cluster.apply(
            revision, change_organisation(declaration, -number - 1)
        )
        waiting_tasks.append(asyncio.create_task(wait(started_s, revision)))
    return list(await asyncio.gather(*waiting_tasks))


def change_organisation(
    declaration: declared.Declaration, number: int
) -> declared.Declaration:
    """Return a declaration with one organisation changed."""
    organisations = list(declaration.organisations)
    index = number % len(organisations)
    organisations[index] = msgspec.structs.replace(
        organisations[index], weight=2.0 + abs(number)
    )
    return msgspec.structs.replace(declaration, organisations=tuple(organisations))


def percentile_99(values_s: list[float]) -> float:
    """Return the 99th percentile of some values."""
    ordered = sorted(values_s)
    return ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
