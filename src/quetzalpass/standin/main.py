"""Program ``quetzalpass-standin``: one backend server for tests and the demo."""

import os
import pathlib
import sys

import defopt
import msgspec
from aiohttp import web

from quetzalpass.standin import engine_server, service_server, settings

EXIT_INVALID_SETTINGS = 2
EXIT_CRASHED = 70


def crash_process() -> None:
    """End the process at once and without cleanup, like a crash."""
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
        raise SystemExit(EXIT_INVALID_SETTINGS) from None
    web.run_app(
        create_application(config), host=config.host, port=config.port, print=None
    )


def create_application(config: settings.StandinSettings) -> web.Application:
    """Create the application for the kind of server in the settings."""
    if config.kind is settings.StandinKind.ENGINE:
        return engine_server.EngineServer(config, crash_process).application()
    return service_server.ServiceServer(config, crash_process).application()


def main() -> None:
    """Run the program with the command-line arguments."""
    defopt.run(run)


if __name__ == "__main__":
    main()
