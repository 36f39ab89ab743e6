"""The program ``quetzalpassd``."""

import asyncio
import pathlib
import random
import signal
import sys

import defopt
from returns import result

from quetzalpass import logs
from quetzalpass.daemon import collector, process
from quetzalpass.results import failures
from quetzalpass.settings import loader, schema

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def run(*, settings: pathlib.Path, log_format: schema.LogFormat | None = None) -> int:
    """Run one daemon until it is told to stop.

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
    """Serve until a signal arrives, then drain."""
    daemon = process.Daemon(settings, random.Random())
    loop = asyncio.get_running_loop()
    drain_wanted = asyncio.Event()
    stop_wanted = asyncio.Event()

    def note_terminate() -> None:
        if drain_wanted.is_set():
            stop_wanted.set()
        drain_wanted.set()

    def note_interrupt() -> None:
        drain_wanted.set()
        stop_wanted.set()

    loop.add_signal_handler(signal.SIGTERM, note_terminate)
    loop.add_signal_handler(signal.SIGINT, note_interrupt)
    await daemon.start()
    collector.tune()
    await drain_wanted.wait()
    drained = asyncio.create_task(daemon.drain())
    stopped = asyncio.create_task(stop_wanted.wait())
    await asyncio.wait({drained, stopped}, return_when=asyncio.FIRST_COMPLETED)
    drained.cancel()
    stopped.cancel()
    await daemon.stop()
    return EXIT_OK


def main() -> None:
    """Run the program with the arguments of the process."""
    sys.exit(defopt.run(run))


if __name__ == "__main__":
    main()
