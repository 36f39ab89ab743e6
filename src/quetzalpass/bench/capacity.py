"""Benchmark of the slopes on which docs/CAPACITY.md is based.

Each slope is the CPU time, memory or bytes for one more unit of something. Times are
CPU times of this process, so they can be added up; they hold only for the machine on
which they were measured.
"""

import asyncio
import gc
import json as json_library
import pathlib
import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from quetzalpass import ids
from quetzalpass.backends import engine_http
from quetzalpass.bench import (
    control_cluster,
    fleet_declaration,
    local_cluster,
    routing,
)
from quetzalpass.control import ledger, ledger_messages
from quetzalpass.declarations import delta, schema
from quetzalpass.membership import (
    configuration,
    inner_messages,
    opinions,
    server_views,
)
from quetzalpass.routing import factory, in_flight, servers
from quetzalpass.routing import settings as routing_settings
from quetzalpass.settings import schema as settings

FLEET_ORGANISATIONS, FLEET_SERVERS = 3_000, 7_500
REPEATS, REPEATS_QUICK = 9, 3
PROBES, PROBES_QUICK = 400, 100
CLAIMS, CLAIMS_QUICK = 20_000, 4_000
IDLE_S, IDLE_S_QUICK = 10.0, 3.0
SUMMARY_SERVERS = 400
DECISION_TARGET_US = 200.0
SEED = 1


class Slope(msgspec.Struct, frozen=True):
    """One measured slope.

    Attributes
    ----------
    name : str
        Name of the measured quantity.
    value : float
        Value in ``unit``.
    unit : str
        Unit, and what it is counted for.
    """

    name: str
    value: float
    unit: str


class CapacityReport(msgspec.Struct, frozen=True):
    """All slopes, and whether the decision time met its target."""

    slopes: tuple[Slope, ...]
    is_met: bool


def median_cpu_ms(action: Callable[[], object], repeats: int) -> float:
    """Return the median CPU time of calls, in milliseconds."""
    times_ms = []
    for _ in range(repeats):
        gc.collect()
        started = time.process_time()
        action()
        times_ms.append((time.process_time() - started) * 1e3)
    return sorted(times_ms)[len(times_ms) // 2]


def memory_mb(make: Callable[[], object]) -> float:
    """Return the memory that a value uses, in megabytes."""
    gc.collect()
    tracemalloc.start()
    value = make()
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert value is not None
    return held_bytes / 1e6


def declaration_slopes(repeats: int) -> list[Slope]:
    """Measure a full-size revision, as a whole and as a difference."""
    before = fleet_declaration.make_declaration(FLEET_ORGANISATIONS, FLEET_SERVERS)
    data = schema.encode(before)
    digest = schema.digest_of(data)
    changed = msgspec.structs.replace(before.organisations[5], weight=2.0)
    after = msgspec.structs.replace(
        before,
        organisations=(*before.organisations[:5], changed, *before.organisations[6:]),
    )
    change = delta.delta_between(before, after)
    assert change is not None
    encoded_delta = delta.encode(change)
    whole_ms = median_cpu_ms(
        lambda: configuration.Configuration(ids.Revision(1), digest, data), repeats
    )
    hash_ms = median_cpu_ms(lambda: schema.digest_of(data), repeats)
    memory = memory_mb(lambda: configuration.Configuration(1, digest, data))
    return [
        Slope("revision, whole", len(data) / 1e6, "MB"),
        Slope("revision, one changed entry", len(encoded_delta), "bytes"),
        Slope("activate a whole revision", whole_ms + hash_ms, "ms CPU"),
        Slope(
            "activate a difference",
            median_cpu_ms(lambda: activate_difference(before, encoded_delta), repeats),
            "ms CPU",
        ),
        Slope("make a difference", difference_ms(before, after, repeats), "ms CPU"),
        Slope("configuration in memory", memory, "MB"),
        *routing_slopes(configuration.Configuration(1, digest, data), repeats),
    ]


def difference_ms(
    before: schema.Declaration, after: schema.Declaration, repeats: int
) -> float:
    """Return the CPU time of computing a difference, in milliseconds."""
    return median_cpu_ms(lambda: delta.delta_between(before, after), repeats)


def activate_difference(before: schema.Declaration, encoded_delta: bytes) -> None:
    """Activate a received difference in the same way as a daemon."""
    declaration = delta.apply_delta(before, delta.decode(encoded_delta))
    whole = schema.encode(declaration)
    digest = schema.digest_of(whole)
    configuration.Configuration(ids.Revision(2), digest, whole, declaration)


def routing_slopes(at: configuration.Configuration, repeats: int) -> list[Slope]:
    """Measure a routing table update, its memory, and one decision."""
    routing_rules = routing_settings.RoutingSettings()
    here = fleet_declaration.data_centre_id(0)
    dispatcher = factory.make_dispatcher(routing_rules, here, random.Random(SEED))
    dispatcher.table.update(server_views.make_views(at), 0.0)
    update_ms = median_cpu_ms(
        lambda: dispatcher.table.update(server_views.make_views(at), 0.0), repeats
    )
    memory = memory_mb(lambda: make_full_dispatcher(at))
    return [
        Slope("routing table, update", update_ms, "ms CPU"),
        Slope("routing table in memory", memory, "MB"),
        Slope("decision, 30 servers", routing.decision_p99_us(30), "us, p99"),
        Slope(
            "decision, 7,500 servers", routing.decision_p99_us(FLEET_SERVERS), "us, p99"
        ),
    ]


def make_full_dispatcher(at: configuration.Configuration) -> object:
    """Return a dispatcher whose table has all servers of a revision."""
    dispatcher = factory.make_dispatcher(
        routing_settings.RoutingSettings(),
        fleet_declaration.data_centre_id(0),
        random.Random(SEED),
    )
    dispatcher.table.update(server_views.make_views(at), 0.0)
    return dispatcher


def summary_slopes(repeats: int) -> list[Slope]:
    """Measure a gateway's summary per server in it."""
    names = [ids.ServerId(f"engine-{n:05}") for n in range(SUMMARY_SERVERS)]
    loads = tuple(servers.ServerLoad(name, in_flight.empty_demand()) for name in names)
    health_reports = tuple(
        opinions.ServerHealthReport(name, opinions.ObservedHealth.ALIVE)
        for name in names
    )
    vm = ids.VmId("entry-001")
    with_loads = inner_messages.GatewaySummary(vm, servers.PeerDispatches(vm, 1, loads))
    with_health_reports = inner_messages.GatewaySummary(
        vm, servers.PeerDispatches(vm, 1, ()), health_reports
    )
    encoded = msgspec.json.encode(with_loads)
    decode = msgspec.json.Decoder(inner_messages.GatewaySummary).decode
    codec_ms = median_cpu_ms(
        lambda: decode(msgspec.json.encode(with_loads)), 10 * repeats
    )
    health_report_bytes = (
        len(msgspec.json.encode(with_health_reports)) / SUMMARY_SERVERS
    )
    return [
        Slope("summary, a server with work", len(encoded) / SUMMARY_SERVERS, "bytes"),
        Slope("summary, a server probed", health_report_bytes, "bytes"),
        Slope("summary, codec", codec_ms * 1e3 / SUMMARY_SERVERS, "us CPU per server"),
    ]


def ledger_slopes(count: int) -> list[Slope]:
    """Measure the memory and CPU time of a claim in the ledger."""
    state = ledger.LedgerState()
    commands = [encoded_claim(number) for number in range(count)]
    gc.collect()
    tracemalloc.start()
    for index, command in enumerate(commands):
        state.apply(ids.LogIndex(index), command)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    timed_state = ledger.LedgerState()
    started = time.process_time()
    for index, command in enumerate(commands):
        timed_state.apply(ids.LogIndex(index), command)
    cpu_us = (time.process_time() - started) * 1e6
    return [
        Slope("claim in memory", held_bytes / count, "bytes"),
        Slope("claim, applied", cpu_us / count, "us CPU"),
    ]


def encoded_claim(number: int) -> bytes:
    """Return a batch with the command of one claim."""
    key = ledger_messages.ClaimKey(
        ids.OrganisationId(f"organisation-{number % FLEET_ORGANISATIONS:05}"),
        ids.IdempotencyKey(f"waiver-{number:012}"),
    )
    claim = ledger_messages.ClaimCommand(
        key, "0" * 32, f"op-{number:024x}", 86_400_000, 10_000_000
    )
    stamp = ledger_messages.Stamp(ids.VmId("entry-001"), 1, number)
    return msgspec.msgpack.encode(ledger_messages.Batch(stamp, (claim,)))


async def probe_slope(count: int) -> Slope:
    """Measure one probe; the figure includes the work of the stand-in."""
    cluster = local_cluster.LocalCluster(engines=1, services=0)
    await cluster.start()
    engine = engine_http.HttpEngine(cluster.engines[0].url, settings.Limits())
    await engine.load_report(1.0)
    started = time.process_time()
    for _ in range(count):
        await engine.load_report(1.0)
        await engine.state(1.0)
    cpu_us = (time.process_time() - started) * 1e6
    await engine.close()
    await cluster.stop()
    return Slope("probe, both ends", cpu_us / count, "us CPU")


async def idle_group_slope(duration_s: float) -> Slope:
    """Measure an idle group of three replicas: heartbeats, checks and timers."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = control_cluster.LocalCluster(3, pathlib.Path(folder), SEED)
        await cluster.start()
        await cluster.wait_for_leader()
        started = time.process_time()
        await asyncio.sleep(duration_s)
        spent = (time.process_time() - started) / duration_s
        await cluster.stop()
    return Slope("idle group, three replicas", spent * 100, "% of a core")


async def run(quick: bool) -> CapacityReport:
    """Measure all slopes."""
    repeats = REPEATS_QUICK if quick else REPEATS
    slopes = [
        *declaration_slopes(repeats),
        *summary_slopes(repeats),
        *ledger_slopes(CLAIMS_QUICK if quick else CLAIMS),
        await probe_slope(PROBES_QUICK if quick else PROBES),
        await idle_group_slope(IDLE_S_QUICK if quick else IDLE_S),
    ]
    decision = next(each for each in slopes if each.name.endswith("7,500 servers"))
    return CapacityReport(tuple(slopes), decision.value < DECISION_TARGET_US)


def capacity(*, quick: bool = False, json: bool = False) -> int:
    """Measure the slopes of docs/CAPACITY.md and print them.

    Parameters
    ----------
    quick : bool
        Take fewer repeats.
    json : bool
        Print one JSON object.

    Returns
    -------
    int
        0 if a decision at 7,500 servers stays below its target, else 1.
    """
    report = asyncio.run(run(quick))
    if json:
        print(json_library.dumps(msgspec.to_builtins(report)))
    else:
        for slope in report.slopes:
            print(f"{slope.name:<32} {slope.value:>12.3f} {slope.unit}")
    return 0 if report.is_met else 1
