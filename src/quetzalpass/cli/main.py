"""Entry point of the operators' command-line tool."""

import sys

import defopt

from quetzalpass.cli import (
    benchmarks,
    connection,
    declared,
    exits,
    generating,
    log_lines,
    members,
    offline,
    tools,
    vms,
    watching,
)

ADDRESS_OPTIONS = ("--operators", "--gateways")


def commands() -> dict:
    """Return the functions that implement the subcommands, by name."""
    return {
        "check": offline.check,
        "diff": offline.diff,
        "apply": declared.apply,
        "get": declared.get,
        "status": declared.status,
        "watch": watching.watch,
        "vm": {"drain": vms.drain, "undrain": vms.undrain, "out": vms.out},
        "members": {
            "list": members.list_members,
            "add": members.add,
            "remove": members.remove,
        },
        "generate": generating.generate,
        "storage": {"verify": tools.verify},
        "explain": tools.explain,
        "logs": log_lines.logs,
        "bench": benchmarks.bench,
    }


def join_addresses(argv: list[str]) -> list[str]:
    """Return the arguments with all addresses of an option joined by commas.

    Each option in ``ADDRESS_OPTIONS`` may be repeated or followed by several
    addresses. argparse keeps only the last of repeated options, and an option that
    takes a list would consume the positional arguments after it.
    """
    other_arguments: list[str] = []
    urls: dict[str, list[str]] = {option: [] for option in ADDRESS_OPTIONS}
    current_urls: list[str] | None = None
    for argument in argv:
        option, equals, value = argument.partition("=")
        if option in urls:
            current_urls = urls[option]
            current_urls += [value] if equals else []
        elif current_urls is not None and "://" in argument:
            current_urls.append(argument)
        else:
            current_urls = None
            other_arguments.append(argument)
    joined = [
        f"{option}={','.join(values)}" for option, values in urls.items() if values
    ]
    return [*other_arguments, *joined]


def run(argv: list[str]) -> int:
    """Run one command and return its exit code.

    Parameters
    ----------
    argv : list of str
        Command-line arguments without the program's name.

    Raises
    ------
    SystemExit
        With code 0 for ``--help`` and code 2 for incorrect usage.
    """
    return defopt.run(
        commands(),
        argv=join_addresses(argv),
        parsers={connection.Endpoints: connection.parse_endpoints},
        no_negated_flags=True,
        short={},
        argparse_kwargs={"prog": "quetzalpass", "allow_abbrev": False},
    )


def main() -> None:
    """Run the command given by the process's arguments and exit with its code."""
    try:
        code = run(sys.argv[1:])
    except KeyboardInterrupt:
        code = exits.Exit.INTERRUPTED
    except BrokenPipeError:
        sys.stderr.close()
        code = exits.Exit.FAILED
    sys.exit(int(code))


if __name__ == "__main__":
    main()
