"""Entry point of the operators' command-line tool."""

import sys

import defopt

from quetzalpass.cli import (
    connection,
    declared,
    exits,
    members,
    offline,
    tools,
    vms,
    watching,
)

OPERATORS_OPTION = "--operators"


def commands() -> dict:
    """Return the functions behind the subcommands, by name."""
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
        "storage": {"verify": tools.verify},
        "explain": tools.explain,
        "bench": tools.bench,
    }


def join_operators(argv: list[str]) -> list[str]:
    """Return the arguments with all operators' addresses in one option.

    The option may be repeated or followed by several addresses. argparse keeps only
    the last of repeated options, and a list option would swallow the positional
    arguments behind it.
    """
    kept: list[str] = []
    urls: list[str] = []
    collecting = False
    for argument in argv:
        if argument == OPERATORS_OPTION:
            collecting = True
        elif argument.startswith(f"{OPERATORS_OPTION}="):
            urls.append(argument.partition("=")[2])
        elif collecting and "://" in argument:
            urls.append(argument)
        else:
            collecting = False
            kept.append(argument)
    if not urls:
        return argv
    return [*kept, f"{OPERATORS_OPTION}={','.join(urls)}"]


def run(argv: list[str]) -> int:
    """Run one command and return its exit code.

    Parameters
    ----------
    argv : list of str
        Arguments after the program's name.

    Raises
    ------
    SystemExit
        For ``--help`` and for wrong usage, with code 2.
    """
    return defopt.run(
        commands(),
        argv=join_operators(argv),
        parsers={connection.Endpoints: connection.parse_endpoints},
        no_negated_flags=True,
        short={},
        argparse_kwargs={"prog": "quetzalpass", "allow_abbrev": False},
    )


def main() -> None:
    """Run the command that the process's arguments give and exit with its code."""
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
