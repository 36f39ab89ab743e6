"""Routing benchmark: the predictive policy and the baselines with the same seeds.

``python -m quetzalpass.bench.routing --plot docs`` runs all cells, writes the table and
the plot, and exits with 1 if a target is missed.
"""

import collections
import concurrent.futures
import functools
import json
import pathlib
import random
import sys
import time

import defopt
import logbook
import msgspec

from quetzalpass import ids
from quetzalpass.bench import routing_driver as driver
from quetzalpass.bench import routing_figures as figures
from quetzalpass.bench import routing_workloads as workloads
from quetzalpass.routing import factory, servers, settings, work

SEEDS_FULL, SEEDS_QUICK = 20, 1
BASE_LOAD, BASE_GATEWAYS = 1.0, 3
FLEET_REPLICAS, DEPLOYMENT_REPLICAS = 7500, 30
FLEET_DATA_CENTRES = 8
FLEET_DECISIONS = 3000
FLEET_RUNNING_PER_REPLICA = 2


class RoutingReport(msgspec.Struct):
    """All cells, a comparison for each, the summary and the targets."""

    cells: list[dict]
    comparisons: list[figures.Comparison]
    summary: dict[str, object]
    targets: list[figures.Target]

    @property
    def met(self) -> bool:
        """Whether all targets were met."""
        return all(target.met for target in self.targets)


class Job(msgspec.Struct, frozen=True):
    """One run, to be executed by a worker process."""

    cell: int
    policy: settings.PolicyName
    seed: int
    quick: bool


def make_cells(quick: bool) -> list[driver.Cell]:
    """Return a base cell per deployment, and cells that differ from it in one field."""
    cells = []
    for deployment in workloads.DEPLOYMENTS:
        base = driver.Cell(
            deployment, BASE_LOAD, workloads.Condition.BASE, BASE_GATEWAYS
        )
        change = functools.partial(msgspec.structs.replace, base)
        cells.append(base)
        cells.append(change(load=1.3))
        if quick:
            continue
        cells += [change(load=load) for load in (0.6, 0.85)]
        cells += [change(gateways=gateways) for gateways in (1, 9)]
        cells += [
            change(condition=condition)
            for condition in workloads.Condition
            if condition is not workloads.Condition.BASE
        ]
    return cells


def run_job(job: Job) -> figures.Figures:
    """Execute one run; the result doesn't depend on the process."""
    logbook.NullHandler().push_application()
    cell = make_cells(job.quick)[job.cell]
    capacity = driver.capacity_per_s(cell.deployment)
    run = driver.Run(cell, job.policy, capacity, job.seed)
    run.run()
    return figures.compute_figures(run)


def run_jobs(jobs: list[Job], workers: int) -> list[figures.Figures]:
    """Execute all runs, in worker processes if there is more than one worker."""
    if workers <= 1:
        return [run_job(job) for job in jobs]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_job, jobs, chunksize=2))


def make_dispatcher(replicas: int) -> servers.ServerTable:
    """Return a dispatcher with a given number of replicas in its table."""
    generator = random.Random(1)
    routing_settings = settings.RoutingSettings(policy=settings.PolicyName.PREDICTIVE)
    dispatcher = factory.make_dispatcher(
        routing_settings, ids.DataCentreId("dc-0"), generator
    )
    views = [
        servers.ServerView(
            ids.ServerId(f"server-{index}"),
            ids.DataCentreId(f"dc-{index % FLEET_DATA_CENTRES}"),
            ids.VmId(f"vm-{index}"),
            ids.ModelName("model"),
        )
        for index in range(replicas)
    ]
    dispatcher.table.update(tuple(views), 0.0)
    return dispatcher


def decision_p99_us(replicas: int) -> float:
    """Return the p99 CPU time of a submit with a given number of replicas.

    It includes the queue, the choice and the records, not only the policy.
    """
    dispatcher = make_dispatcher(replicas)
    generator = workloads.Generator(workloads.HUEPFWERK, 1)
    cpu_s = []
    in_flight: collections.deque[ids.RequestId] = collections.deque()
    running = replicas * FLEET_RUNNING_PER_REPLICA
    for number in range(running + FLEET_DECISIONS):
        arrival = generator.draw_request(0.0)
        item = work.WorkItem(
            ids.RequestId(str(number)),
            ids.OrganisationId(arrival.organisation),
            ids.ClassName(arrival.work_class.name),
            ids.ModelName("model"),
            prompt_tokens=arrival.prompt_tokens,
            prefix_hashes=arrival.prefix_hashes,
            priority=arrival.work_class.priority,
        )
        now_s = number * 1e-4
        if number >= running:
            dispatcher.release(
                in_flight.popleft(), work.ReservationOutcome.COMPLETED, now_s
            )
        start = time.thread_time()
        dispatcher.submit(item, now_s)
        cpu_s.append(time.thread_time() - start)
        in_flight.append(item.request_id)
    return 1e6 * figures.quantile(cpu_s[running:], 0.99)


def run(
    quick: bool = False, workers: int = 1, seeds: int | None = None
) -> RoutingReport:
    """Run the benchmark.

    Parameters
    ----------
    quick : bool
        Run a few cells on one seed.
    workers : int
        Number of processes that execute the runs.
    seeds : int or None
        Number of seeds for each cell; ``None`` for the default.

    Returns
    -------
    RoutingReport
        Figures of all cells and whether the targets are met.
    """
    count = seeds or (SEEDS_QUICK if quick else SEEDS_FULL)
    cells = make_cells(quick)
    jobs = [
        Job(index, policy, seed, quick)
        for index in range(len(cells))
        for policy in settings.PolicyName
        for seed in range(count)
    ]
    results = run_jobs(jobs, workers)
    rows = []
    comparisons = []
    start = 0
    for cell in cells:
        cell_rows = []
        for policy in settings.PolicyName:
            cell_rows.append(
                figures.make_row(cell, policy, results[start : start + count])
            )
            start += count
        rows += cell_rows
        comparisons.append(figures.compare(cell_rows))
    return make_report(rows, comparisons)


def make_report(
    rows: list[dict], comparisons: list[figures.Comparison]
) -> RoutingReport:
    """Build the report, with the summary and the targets."""
    summary: dict[str, object] = {}
    targets = []
    for deployment in workloads.DEPLOYMENTS:
        name = deployment.name
        deployment_comparisons = [
            item for item in comparisons if item.deployment == name
        ]
        deployment_summary = figures.summarise(deployment_comparisons)
        summary[name] = deployment_summary
        targets += figures.check_targets(name, deployment.objective, deployment_summary)
    summary["decision_p99_us_30"] = decision_p99_us(DEPLOYMENT_REPLICAS)
    fleet_us = decision_p99_us(FLEET_REPLICAS)
    summary["decision_p99_us_7500"] = fleet_us
    bound = figures.DECISION_TARGET_US
    targets.append(
        figures.Target(
            "fleet", "decision_p99_us_7500", bound, fleet_us, fleet_us < bound
        )
    )
    return RoutingReport(rows, comparisons, summary, targets)


def main(
    *,
    quick: bool = False,
    json_output: bool = False,
    plot: pathlib.Path | None = None,
    workers: int = 1,
    seeds: int | None = None,
) -> int:
    """Measure the routing policies on a virtual clock.

    Parameters
    ----------
    quick : bool
        Run a few cells on one seed.
    json_output : bool
        Print one JSON object instead of a table.
    plot : pathlib.Path or None
        Folder for the table ``routing-bench.md`` and the plot ``routing-bench.png``.
    workers : int
        Processes that share the runs.
    seeds : int or None
        Seeds for each cell.
    """
    # routing_pages needs matplotlib only for plots, and matplotlib is slow to import.
    from quetzalpass.bench import routing_pages as pages

    report = run(quick, workers, seeds)
    if json_output:
        content = msgspec.to_builtins(report)
        print(json.dumps(content, indent=1))
    else:
        print(pages.table(report))
    if plot is not None:
        pages.write(report, plot)
    return 0 if report.met else 1


if __name__ == "__main__":
    sys.exit(defopt.run(main, argv=sys.argv[1:]))
