"""Exit codes of the command-line tool; they are stable across releases."""

import enum

from quetzalpass.results import codes


class Exit(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    NOT_IN_FORCE = 6
    REFUSED = 7
    TARGET_MISSED = 8
    INTERRUPTED = 130


EXIT_CODES: dict[codes.Code, Exit] = {
    codes.Code.OK: Exit.OK,
    codes.Code.REPLAYED: Exit.OK,
    codes.Code.BAD_SETTINGS: Exit.USAGE,
    codes.Code.BAD_REQUEST: Exit.USAGE,
    codes.Code.DECLARATION_INVALID: Exit.INVALID,
    codes.Code.CONFLICT: Exit.CONFLICT,
    codes.Code.OPERATION_EXPIRED: Exit.CONFLICT,
    codes.Code.UNREACHABLE: Exit.UNREACHABLE,
    codes.Code.NO_QUORUM: Exit.UNREACHABLE,
    codes.Code.NOT_LEADER: Exit.UNREACHABLE,
    codes.Code.NOT_READY: Exit.UNREACHABLE,
    codes.Code.DRAINING: Exit.UNREACHABLE,
    codes.Code.NOT_IN_FORCE: Exit.NOT_IN_FORCE,
    codes.Code.UNKNOWN_KEY: Exit.REFUSED,
    codes.Code.NOT_ALLOWED: Exit.REFUSED,
}


def exit_for_code(code: codes.Code) -> Exit:
    """Return the exit code for a result code."""
    return EXIT_CODES.get(code, Exit.FAILED)
