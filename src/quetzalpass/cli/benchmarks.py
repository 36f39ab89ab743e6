"""The command ``bench``: runs one of the benchmarks."""

import importlib
import pathlib

from returns import result

from quetzalpass.cli import exits, output
from quetzalpass.results import codes, failures

BENCHMARKS = ("relay", "control", "outcomes", "routing", "capacity")


def bench(
    name: str,
    *,
    quick: bool = False,
    workers: int = 1,
    plot: str | None = None,
    json: bool = False,
) -> int:
    """Run a benchmark; the exit code is 8 if a target is missed.

    Parameters
    ----------
    name : str
        One of relay, control, outcomes, routing, capacity.
    quick : bool
        Run in under 40 s, with fewer sizes or seeds but the same checks.
    workers : int
        Number of worker processes of the routing benchmark.
    plot : str or None
        Folder for the table and the plot of the routing benchmark.
    json : bool
        Print one JSON object.
    """
    loaded = load_benchmark(name)
    if not isinstance(loaded, result.Success):
        return output.print_failure(loaded.failure(), json)
    # Benchmarks import the packages that they measure and their own helpers, so only
    # the benchmark that runs is imported.
    module = loaded.unwrap()
    if name == "routing":
        folder = None if plot is None else pathlib.Path(plot)
        code = module.main(quick=quick, json_output=json, plot=folder, workers=workers)
    else:
        code = getattr(module, name)(quick=quick, json=json)
    return exits.Exit.TARGET_MISSED if code else exits.Exit.OK


def load_benchmark(name: str) -> result.Result:
    """Import the module of a benchmark.

    Returns
    -------
    Result of module or Failure
        ``Code.BAD_REQUEST`` if there is no such benchmark or a library that it needs
        is missing.
    """
    if name not in BENCHMARKS:
        message = f"no benchmark '{name}'; there are: {', '.join(BENCHMARKS)}"
        return result.Failure(failures.Failure(codes.Code.BAD_REQUEST, message))
    try:
        return result.Success(importlib.import_module(f"quetzalpass.bench.{name}"))
    except ModuleNotFoundError as error:
        message = f"the benchmark '{name}' can't be loaded: {error}"
        return result.Failure(failures.Failure(codes.Code.BAD_REQUEST, message))
