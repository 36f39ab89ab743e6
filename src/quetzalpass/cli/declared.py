"""Commands on the declared state: ``apply``, ``get`` and ``status``."""

import asyncio
import os
import uuid
from collections.abc import Iterator

import msgspec
import yaml
from returns import result

from quetzalpass import ids
from quetzalpass.cli import client, connection, exits, output, reports, waiting
from quetzalpass.control import messages
from quetzalpass.declarations import loader, schema
from quetzalpass.results import failures


def apply(
    folder: str,
    *,
    operators: connection.Endpoints,
    key_file: str,
    base: int | None = None,
    operation_id: str | None = None,
    author: str | None = None,
    wait: bool = False,
    wait_timeout: float = waiting.DEFAULT_TIMEOUT_S,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Replace the whole declared state with a folder's content, atomically.

    Parameters
    ----------
    folder : str
        Folder of YAML files, or one file.
    operators : connection.Endpoints
        Addresses of operators' listeners; the next is tried if one gives no answer.
    key_file : str
        File with the operators' key.
    base : int or None
        Revision that the change is based on; the newest if not given.
    operation_id : str or None
        Id of this change; if it is sent again, the first outcome is returned.
    author : str or None
        Author, shown to operators whose own changes conflict with this one.
    wait : bool
        Return only when the revision is in force on every VM.
    wait_timeout : float
        Longest wait, in seconds.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    loaded = loader.load_folder(folder)
    if not isinstance(loaded, result.Success):
        return reports.print_problems(loaded.failure(), json)
    change = Change(
        declaration=loaded.unwrap(),
        base=base,
        operation_id=ids.OperationId(operation_id or uuid.uuid4().hex),
        author=author or default_author(),
        wait_timeout_s=wait_timeout if wait else None,
    )
    return asyncio.run(
        connection.run_with_client(
            access,
            lambda operators_client: apply_and_print(operators_client, change, json),
        )
    )


def default_author() -> str:
    """Return the name of the user from the environment, or an empty text."""
    return os.environ.get("USER", "")


class Change(msgspec.Struct, frozen=True):
    """Change of the declared state by one ``apply``.

    Attributes
    ----------
    declaration : Declaration
        The whole new state.
    base : int or None
        Revision that the change is based on; the newest if ``None``.
    operation_id : OperationId
        Id of the change.
    author : str
        Author, shown to operators whose own changes conflict with this one.
    wait_timeout_s : float or None
        Maximum wait until it is in force on every VM; no wait if ``None``.
    """

    declaration: schema.Declaration
    base: int | None
    operation_id: ids.OperationId
    author: str
    wait_timeout_s: float | None


class Applied(msgspec.Struct, frozen=True):
    """Outcome of ``apply`` and of the commands on VMs.

    Attributes
    ----------
    revision : Revision
        The accepted revision.
    digest : str
        Digest of the declaration's canonical form.
    in_force_on : int or None
        Number of VMs that it is in force on; ``None`` without ``--wait``.
    """

    revision: ids.Revision
    digest: str
    in_force_on: int | None = None


async def apply_and_print(
    operators_client: client.OperatorsClient, change: Change, as_json: bool
) -> exits.Exit:
    """Apply a change and print the accepted revision."""
    applied = await apply_change(operators_client, change)
    return await print_applied(
        operators_client, applied, change.wait_timeout_s, as_json
    )


async def print_applied(
    operators_client: client.OperatorsClient,
    applied: result.Result[messages.ApplyReply, failures.Failure],
    wait_timeout_s: float | None,
    as_json: bool,
) -> exits.Exit:
    """Print the accepted revision; optionally wait until it is in force."""
    if not isinstance(applied, result.Success):
        return output.print_failure(applied.failure(), as_json)
    reply = applied.unwrap()
    line = f"revision {reply.revision} accepted"
    if wait_timeout_s is None:
        output.print_result(Applied(reply.revision, reply.digest), [line], as_json)
        return exits.Exit.OK
    if not as_json:
        print(line, flush=True)
    waited = await waiting.wait_in_force(
        operators_client, reply.revision, wait_timeout_s
    )
    if not isinstance(waited, result.Success):
        return output.print_failure(waited.failure(), as_json)
    count = len(waiting.all_vms(waited.unwrap()))
    outcome = Applied(reply.revision, reply.digest, count)
    output.print_result(outcome, [f"in force on {count} VMs"], as_json)
    return exits.Exit.OK


async def apply_change(
    operators_client: client.OperatorsClient, change: Change
) -> result.Result[messages.ApplyReply, failures.Failure]:
    """Send a change with its base revision, or the newest one if it has none."""
    base = change.base
    if base is None:
        newest = await operators_client.declaration()
        if not isinstance(newest, result.Success):
            return newest
        base = newest.unwrap().revision
    request = messages.ApplyRequest(
        operation_id=change.operation_id,
        base_revision=ids.Revision(base),
        declaration=change.declaration,
        author=change.author,
    )
    return (await operators_client.apply(request)).alt(
        lambda failure: add_resend_advice(failure, request)
    )


def add_resend_advice(
    failure: failures.Failure, request: messages.ApplyRequest
) -> failures.Failure:
    """Add how to resend the change if it is unknown whether it was accepted."""
    if failure.code not in client.RETRYABLE_CODES:
        return failure
    message = (
        f"{failure.message}; the change may have been accepted: send it again with "
        f"--operation-id {request.operation_id} --base {request.base_revision}"
    )
    return msgspec.structs.replace(failure, message=message)


def get(
    *,
    operators: connection.Endpoints,
    key_file: str,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Print the newest accepted declaration as YAML.

    Parameters
    ----------
    operators : connection.Endpoints
        Addresses of operators' listeners; the next is tried if one gives no answer.
    key_file : str
        File with the operators' key.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object with revision and digest.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    return asyncio.run(
        connection.run_with_client(
            access, lambda operators_client: print_declaration(operators_client, json)
        )
    )


async def print_declaration(
    operators_client: client.OperatorsClient, as_json: bool
) -> exits.Exit:
    """Print the newest accepted declaration."""
    outcome = await operators_client.declaration()
    if not isinstance(outcome, result.Success):
        return output.print_failure(outcome.failure(), as_json)
    reply = outcome.unwrap()
    output.print_result(reply, declaration_lines(reply), as_json)
    return exits.Exit.OK


def declaration_lines(reply: messages.DeclarationReply) -> Iterator[str]:
    """Yield a comment with the revision, then the declaration in YAML."""
    yield f"# revision {reply.revision}, digest {reply.digest}"
    value = msgspec.to_builtins(reply.declaration)
    yield yaml.safe_dump(value, sort_keys=False, allow_unicode=True).rstrip()


def status(
    *,
    operators: connection.Endpoints,
    key_file: str,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Print which revision is in force on each VM, and the backend servers.

    Parameters
    ----------
    operators : connection.Endpoints
        Addresses of operators' listeners; the next is tried if one gives no answer.
    key_file : str
        File with the operators' key.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    return asyncio.run(
        connection.run_with_client(
            access, lambda operators_client: print_status(operators_client, json)
        )
    )


async def print_status(
    operators_client: client.OperatorsClient, as_json: bool
) -> exits.Exit:
    """Print the status from the first VM that responds."""
    outcome = await operators_client.status()
    if not isinstance(outcome, result.Success):
        return output.print_failure(outcome.failure(), as_json)
    reply = outcome.unwrap()
    output.print_result(reply, waiting.status_lines(reply), as_json)
    return exits.Exit.OK
