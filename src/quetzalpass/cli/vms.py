"""Commands that change one VM: ``vm drain``, ``vm undrain`` and ``vm out``."""

import asyncio
import datetime
import re

from returns import result

from quetzalpass import ids
from quetzalpass.cli import (
    client,
    connection,
    declared,
    exits,
    output,
    vm_changes,
    waiting,
)
from quetzalpass.declarations import fleet_checks, schema
from quetzalpass.results import codes, failures

RELATIVE_TIME = re.compile(r"^\+(?P<count>\d{1,5})(?P<unit>[smhd])$")
TIME_UNITS = {"s": "seconds", "m": "minutes", "h": "hours", "d": "days"}


def drain(
    vm: str,
    *,
    deadline: str,
    operators: connection.Endpoints,
    key_file: str,
    wait: bool = False,
    wait_timeout: float = waiting.DEFAULT_TIMEOUT_S,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Declare a VM as leaving: it gets no new work and is empty by the deadline.

    Parameters
    ----------
    vm : str
        The VM.
    deadline : str
        ISO 8601 time with zone, or time from now such as +90s, +30m, +2h.
    operators : connection.Endpoints
        Addresses of operators' listeners; the next is tried if one gives no answer.
    key_file : str
        File with the operators' key.
    wait : bool
        Return only when the change is in force on every VM.
    wait_timeout : float
        Longest wait, in seconds.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    time = parse_deadline(deadline, datetime.datetime.now(datetime.UTC))
    if not isinstance(time, result.Success):
        return output.print_failure(time.failure(), json)
    change = vm_changes.VmChange(
        ids.VmId(vm), schema.ServiceState.LEAVING, time.unwrap(), author()
    )
    return run(access, change, wait_timeout if wait else None)


def undrain(
    vm: str,
    *,
    operators: connection.Endpoints,
    key_file: str,
    wait: bool = False,
    wait_timeout: float = waiting.DEFAULT_TIMEOUT_S,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Declare a VM as in service.

    Parameters
    ----------
    vm : str
        The VM.
    operators : connection.Endpoints
        Addresses of operators' listeners; the next is tried if one gives no answer.
    key_file : str
        File with the operators' key.
    wait : bool
        Return only when the change is in force on every VM.
    wait_timeout : float
        Longest wait, in seconds.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    change = vm_changes.VmChange(
        ids.VmId(vm), schema.ServiceState.IN_SERVICE, None, author()
    )
    return run(access, change, wait_timeout if wait else None)


def out(
    vm: str,
    *,
    operators: connection.Endpoints,
    key_file: str,
    wait: bool = False,
    wait_timeout: float = waiting.DEFAULT_TIMEOUT_S,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Declare a VM as out of service.

    Parameters
    ----------
    vm : str
        The VM.
    operators : connection.Endpoints
        Addresses of operators' listeners; the next is tried if one gives no answer.
    key_file : str
        File with the operators' key.
    wait : bool
        Return only when the change is in force on every VM.
    wait_timeout : float
        Longest wait, in seconds.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    state = schema.ServiceState.OUT_OF_SERVICE
    change = vm_changes.VmChange(ids.VmId(vm), state, None, author())
    return run(access, change, wait_timeout if wait else None)


def author() -> str:
    """Return the author of a change: the user who runs the command."""
    return declared.default_author()


def parse_deadline(
    text: str, now: datetime.datetime
) -> result.Result[str, failures.Failure]:
    """Parse a deadline and return it as ISO 8601 time with zone.

    Parameters
    ----------
    text : str
        ISO 8601 time with zone, or time from now such as ``+30m``.
    now : datetime.datetime
        Current time, with zone.

    Returns
    -------
    Result of str or Failure
        ``Code.BAD_REQUEST`` if the text is neither, or the time is in the past.
    """
    match = RELATIVE_TIME.match(text)
    if match:
        span = datetime.timedelta(**{TIME_UNITS[match["unit"]]: int(match["count"])})
        text = (now + span).isoformat(timespec="seconds")
    if not fleet_checks.is_deadline(text):
        return deadline_failure(
            f"'{text}' is neither an ISO 8601 time with a zone nor +30m"
        )
    if datetime.datetime.fromisoformat(text) < now:
        return deadline_failure(f"'{text}' is past")
    return result.Success(text)


def deadline_failure(message: str) -> result.Result[str, failures.Failure]:
    """Return the failure of an invalid deadline."""
    failure = failures.Failure(codes.Code.BAD_REQUEST, f"--deadline: {message}")
    return result.Failure(failure)


def run(
    access: connection.Access, change: vm_changes.VmChange, wait_timeout_s: float | None
) -> int:
    """Apply a change, print its outcome and return the exit code."""

    async def command(operators_client: client.OperatorsClient) -> exits.Exit:
        applied = await vm_changes.change_vm(operators_client, change)
        return await declared.print_applied(
            operators_client, applied, wait_timeout_s, access.as_json
        )

    return asyncio.run(connection.run_with_client(access, command))
