"""Diagnostic commands: ``storage verify`` and ``explain``."""

import asyncio
import pathlib

from returns import result

from quetzalpass import ids
from quetzalpass.cli import client, connection, exits, output
from quetzalpass.results import codes, failures


def verify(folder: str, *, json: bool = False) -> int:
    """Check a data folder offline; nothing in it is changed.

    Parameters
    ----------
    folder : str
        Data folder of a replica that is not running.
    json : bool
        Print one JSON object.
    """
    # Imported here since no other command needs the storage code.
    from quetzalpass.storage import verify as storage_verify

    outcome = storage_verify.verify_folder(pathlib.Path(folder))
    if not isinstance(outcome, result.Success):
        return output.print_failure(outcome.failure(), json)
    report = outcome.unwrap()
    if not report.logs:
        message = f"{folder} holds no log; name the data folder of a replica"
        failure = failures.Failure(codes.Code.BAD_REQUEST, message)
        return output.print_failure(failure, json)
    output.print_result(report, (verification_line(log) for log in report.logs), json)
    if report.is_sound:
        return exits.Exit.OK
    return exits.exit_for_code(codes.Code.STORAGE_DAMAGED)


def verification_line(log) -> str:
    """Format the verification result of one log."""
    name = log.folder or "."
    if log.failure is not None:
        return output.printable(f"{name}: damaged: {log.failure.message}")
    line = f"{name}: sound, {log.segment_count} segments, {log.record_count} records"
    if log.snapshot_index is not None:
        line += f", snapshot at {log.snapshot_index}"
    if log.torn_bytes:
        line += (
            f", {log.torn_bytes} bytes of a torn tail that the next start will truncate"
        )
    return output.printable(line)


def explain(
    request_id: str,
    *,
    operators: connection.Endpoints,
    key_file: str,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Show why a request was sent to the server that ran it.

    Parameters
    ----------
    request_id : str
        Value of the response header Quetzalpass-Request-Id.
    operators : connection.Endpoints
        Addresses of operators' listeners of all gateways that may have placed it.
    key_file : str
        File with the operators' key.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    request = ids.RequestId(request_id)
    return asyncio.run(
        connection.run_with_client(
            access,
            lambda operators_client: print_explanation(operators_client, request, json),
        )
    )


async def print_explanation(
    operators_client: client.OperatorsClient, request_id: ids.RequestId, as_json: bool
) -> exits.Exit:
    """Print why a request was sent to the server that ran it."""
    outcome = await operators_client.explain(request_id)
    if not isinstance(outcome, result.Success):
        return output.print_failure(outcome.failure(), as_json)
    reply = outcome.unwrap()
    report = "no load report was used"
    if reply.report_age_s is not None:
        report = f"the load report was {reply.report_age_s:.2f} s old"
    lines = [
        f"{reply.request_id} went to {reply.server}, decided by {reply.vm}",
        f"reason: {reply.reason}",
        f"waited {reply.waited_s:.3f} s; {report}",
    ]
    output.print_result(reply, (output.printable(line) for line in lines), as_json)
    return exits.Exit.OK
