"""Commands on declaration folders: ``check`` and ``diff``."""

import asyncio

import msgspec
from returns import result

from quetzalpass.cli import client, connection, exits, output, reports
from quetzalpass.declarations import diff as differences
from quetzalpass.declarations import loader, schema
from quetzalpass.documents import problems
from quetzalpass.results import codes, failures


class Checked(msgspec.Struct, frozen=True):
    """Outcome of ``check``."""

    valid: bool
    problems: tuple[problems.Problem, ...]


def check(folder: str, *, json: bool = False) -> int:
    """Check a declaration and print every error with file, line and field.

    Parameters
    ----------
    folder : str
        Folder of YAML files, or one file.
    json : bool
        Print one JSON object.
    """
    report = loader.check_folder(folder)
    valid = report.declaration is not None
    lines = [output.printable(problem.text()) for problem in report.problems]
    lines.append(summary(report))
    output.print_result(Checked(valid, report.problems), lines, json)
    return exits.Exit.OK if valid else exits.Exit.INVALID


def summary(report: loader.Report) -> str:
    """Return the final line, with the numbers of errors and warnings."""
    count = len(report.problems)
    warnings = sum(
        problem.severity is problems.Severity.WARNING for problem in report.problems
    )
    if report.declaration is None:
        return f"invalid: {count - warnings} errors, {warnings} warnings"
    return f"valid, {warnings} warnings"


def diff(
    before: str,
    after: str | None = None,
    *,
    operators: connection.Endpoints | None = None,
    key_file: str | None = None,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Show what differs between two folders, or the declared state and a folder.

    Parameters
    ----------
    before : str
        The older folder; with ``--operators``, the folder to compare.
    after : str or None
        The newer folder; not allowed with --operators.
    operators : connection.Endpoints or None
        Addresses of operators' listeners, to compare the declared state with a folder.
    key_file : str or None
        File with the operators' key.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object.
    """
    if after is not None and operators is None:
        return diff_folders(before, after, json)
    if after is not None or operators is None or key_file is None:
        message = "give two folders, or one with --operators and --key-file"
        failure = failures.Failure(codes.Code.BAD_SETTINGS, message)
        return output.print_failure(failure, json)
    access = connection.Access(operators, key_file, ca_file, json)
    return asyncio.run(
        connection.run_with_client(
            access,
            lambda operators_client: diff_declared(operators_client, before, json),
        )
    )


def diff_folders(before: str, after: str, as_json: bool) -> exits.Exit:
    """Print the differences between two folders."""
    old = loader.load_folder(before)
    if not isinstance(old, result.Success):
        return reports.print_problems(old.failure(), as_json)
    new = loader.load_folder(after)
    if not isinstance(new, result.Success):
        return reports.print_problems(new.failure(), as_json)
    return print_diff(old.unwrap(), new.unwrap(), as_json)


async def diff_declared(
    operators_client: client.OperatorsClient, folder: str, as_json: bool
) -> exits.Exit:
    """Print what applying a folder would change."""
    new = loader.load_folder(folder)
    if not isinstance(new, result.Success):
        return reports.print_problems(new.failure(), as_json)
    old = await operators_client.declaration()
    if not isinstance(old, result.Success):
        return output.print_failure(old.failure(), as_json)
    return print_diff(old.unwrap().declaration, new.unwrap(), as_json)


def print_diff(
    before: schema.Declaration, after: schema.Declaration, as_json: bool
) -> exits.Exit:
    """Print the differences between two declarations."""
    found = differences.diff(before, after)
    lines = (output.printable(line) for line in found.lines())
    output.print_result(found, lines, as_json)
    return exits.Exit.OK
