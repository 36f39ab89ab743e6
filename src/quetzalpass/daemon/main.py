"""The command ``quetzalpassd``, which runs one daemon."""

import asyncio
import pathlib
import random
import signal
import sys

import defopt
from returns import result

from quetzalpass import background, logs
from quetzalpass.daemon import collector, process
from quetzalpass.results import failures
from quetzalpass.settings import loader, schema

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def run(*, settings: pathlib.Path, log_format: schema.LogFormat | None = None) -> int:
    """Run one daemon until a signal stops it.

    SIGTERM lets all running requests finish; a second one, or SIGINT, stops at once.

    Parameters
    ----------
    settings
        YAML file with the daemon's settings.
    log_format
        Overrides the format that the settings name.
    """
    loaded = loader.load_settings(settings)
    if isinstance(loaded, result.Failure):
        print(f"quetzalpassd: {loaded.failure().message}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    chosen_format = log_format or loaded.unwrap().log_format
    with logs.make_handler(chosen_format).applicationbound():
        try:
            return asyncio.run(serve(loaded.unwrap()))
        except (OSError, failures.FailureError) as error:
            print(f"quetzalpassd: {error}", file=sys.stderr)
            return EXIT_FAILED


async def serve(settings: schema.Settings) -> int:
    """Run the daemon until a signal arrives, then drain and stop it."""
    daemon = process.Daemon(settings, random.Random())
    loop = asyncio.get_running_loop()
    background.log_loop_errors(loop)
    drain_requested = asyncio.Event()
    stop_requested = asyncio.Event()

    def on_terminate() -> None:
        if drain_requested.is_set():
            stop_requested.set()
        drain_requested.set()

    def on_interrupt() -> None:
        drain_requested.set()
        stop_requested.set()

    loop.add_signal_handler(signal.SIGTERM, on_terminate)
    loop.add_signal_handler(signal.SIGINT, on_interrupt)
    await daemon.start()
    collector.tune()
    await drain_requested.wait()
    drained = asyncio.create_task(daemon.drain())
    stopped = asyncio.create_task(stop_requested.wait())
    await asyncio.wait({drained, stopped}, return_when=asyncio.FIRST_COMPLETED)
    drained.cancel()
    stopped.cancel()
    await daemon.stop()
    return EXIT_OK


def main() -> None:
    """Run the command with the arguments of the process."""
    sys.exit(defopt.run(run))


if __name__ == "__main__":
    main()
