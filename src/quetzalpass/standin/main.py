"""The program ``quetzalpass-standin``: one backend server for tests and the demo."""

import os
import pathlib
import sys

import defopt
import msgspec
from aiohttp import web

from quetzalpass.standin import engine_server, service_server, settings

EXIT_BAD_SETTINGS = 2
EXIT_CRASHED = 70


def crash_process() -> None:
    """End the process at once, as a crash would."""
    os._exit(EXIT_CRASHED)


def run(*, settings_file: pathlib.Path) -> None:
    """Serve one stand-in backend server until it is stopped.

    Parameters
    ----------
    settings_file : pathlib.Path
        YAML file with the stand-in's settings.
    """
    try:
        config = msgspec.yaml.decode(
            settings_file.read_bytes(), type=settings.StandinSettings
        )
    except (OSError, msgspec.MsgspecError) as error:
        print(f"quetzalpass-standin: {settings_file}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from None
    web.run_app(application_of(config), host=config.host, port=config.port, print=None)


def application_of(config: settings.StandinSettings) -> web.Application:
    """Return the application that the settings ask for."""
    if config.kind is settings.StandinKind.ENGINE:
        return engine_server.EngineServer(config, crash_process).application()
    return service_server.ServiceServer(config, crash_process).application()


def main() -> None:
    """Run the program with the arguments of the process."""
    defopt.run(run)


if __name__ == "__main__":
    main()
