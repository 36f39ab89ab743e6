"""Commands on single VMs: ``vm drain``, ``vm undrain`` and ``vm out``.

Each reads the declared state, changes one VM, and applies the whole on the revision
that it read. If another operator was faster it tries again on the new revision, but
only as long as nobody else changed the same VM.
"""

import asyncio
import datetime
import re
import uuid

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.cli import client, connection, declared, exits, output, waiting
from quetzalpass.control import messages
from quetzalpass.declarations import checks, schema
from quetzalpass.documents import problems
from quetzalpass.results import codes, failures

MAX_ATTEMPTS = 10
CONFLICT_PAUSE_S = 0.2
RELATIVE = re.compile(r"^\+(?P<count>\d{1,5})(?P<unit>[smhd])$")
UNITS = {"s": "seconds", "m": "minutes", "h": "hours", "d": "days"}

ApplyResult = result.Result[messages.ApplyReply, failures.Failure]


def drain(
    vm: str,
    *,
    deadline: str,
    operators: connection.Endpoints,
    key_file: str,
    wait: bool = False,
    wait_timeout: float = waiting.TIMEOUT_S,
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
    time = read_deadline(deadline, datetime.datetime.now(datetime.UTC))
    if not isinstance(time, result.Success):
        return output.fail(time.failure(), json)
    change = VmChange(
        ids.VmId(vm), schema.ServiceState.LEAVING, time.unwrap(), author()
    )
    return run(access, change, wait_timeout if wait else None)


def undrain(
    vm: str,
    *,
    operators: connection.Endpoints,
    key_file: str,
    wait: bool = False,
    wait_timeout: float = waiting.TIMEOUT_S,
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
    change = VmChange(ids.VmId(vm), schema.ServiceState.IN_SERVICE, None, author())
    return run(access, change, wait_timeout if wait else None)


def out(
    vm: str,
    *,
    operators: connection.Endpoints,
    key_file: str,
    wait: bool = False,
    wait_timeout: float = waiting.TIMEOUT_S,
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
    change = VmChange(ids.VmId(vm), state, None, author())
    return run(access, change, wait_timeout if wait else None)


class VmChange(msgspec.Struct, frozen=True):
    """The state that one VM should have.

    Attributes
    ----------
    vm : VmId
        The VM.
    state : ServiceState
        Its new state.
    deadline : str or None
        ISO 8601 time with zone for a leaving VM.
    author : str
        Who changes it.
    """

    vm: ids.VmId
    state: schema.ServiceState
    deadline: str | None
    author: str

    def changed(self, vm: schema.Vm) -> schema.Vm:
        """Return a VM in its new state."""
        return msgspec.structs.replace(vm, state=self.state, deadline=self.deadline)


def author() -> str:
    """Return who runs the command."""
    return declared.default_author()


def read_deadline(
    text: str, now: datetime.datetime
) -> result.Result[str, failures.Failure]:
    """Return a deadline as ISO 8601 time with zone.

    Parameters
    ----------
    text : str
        Such a time, or a time from now such as ``+30m``.
    now : datetime.datetime
        The present time, with zone.

    Returns
    -------
    Result of str or Failure
        ``Code.BAD_REQUEST`` if the text is neither, or past.
    """
    match = RELATIVE.match(text)
    if match:
        span = datetime.timedelta(**{UNITS[match["unit"]]: int(match["count"])})
        text = (now + span).isoformat(timespec="seconds")
    if not checks.is_deadline(text):
        return bad_deadline(
            f"'{text}' is neither an ISO 8601 time with a zone nor +30m"
        )
    if datetime.datetime.fromisoformat(text) < now:
        return bad_deadline(f"'{text}' is past")
    return result.Success(text)


def bad_deadline(message: str) -> result.Result[str, failures.Failure]:
    """Return the failure of a deadline that is not accepted."""
    failure = failures.Failure(codes.Code.BAD_REQUEST, f"--deadline: {message}")
    return result.Failure(failure)


def run(
    access: connection.Access, change: VmChange, wait_timeout_s: float | None
) -> int:
    """Make a change, print its outcome and return the exit code."""

    async def command(operators: client.OperatorsClient) -> exits.Exit:
        applied = await change_vm(operators, change)
        return await declared.show_applied(
            operators, applied, wait_timeout_s, access.as_json
        )

    return asyncio.run(connection.with_client(access, command))


async def change_vm(operators: client.OperatorsClient, change: VmChange) -> ApplyResult:
    """Change one VM in the declared state.

    Parameters
    ----------
    operators : client.OperatorsClient
        Whom to ask.
    change : VmChange
        The new state.

    Returns
    -------
    Result of ApplyReply or Failure
        ``Code.CONFLICT`` if somebody else changed the same VM in the meantime, or if
        others were faster every time.
    """
    read = await operators.declaration()
    if not isinstance(read, result.Success):
        return read
    base = read.unwrap()
    before = find_vm(base.declaration, change.vm)
    if before is None:
        return unknown_vm(base.declaration, change.vm)
    outcome = await apply_on(operators, base, change)
    for _ in range(MAX_ATTEMPTS):
        if not is_conflict(outcome):
            return outcome
        base = await read_newer(operators, base)
        present = find_vm(base.declaration, change.vm)
        if present != before:
            return changed_by_other(change.vm, present)
        outcome = await apply_on(operators, base, change)
    return outcome


def is_conflict(outcome: ApplyResult) -> bool:
    """Return whether another operator was faster."""
    if isinstance(outcome, result.Success):
        return False
    return outcome.failure().code is codes.Code.CONFLICT


async def apply_on(
    operators: client.OperatorsClient,
    base: messages.DeclarationReply,
    change: VmChange,
) -> ApplyResult:
    """Apply a change of one VM on the revision that it was read from.

    Each base has its own operation id: an outcome belongs to one request.
    """
    vms = tuple(
        change.changed(vm) if vm.id == change.vm else vm for vm in base.declaration.vms
    )
    request = messages.ApplyRequest(
        operation_id=ids.OperationId(uuid.uuid4().hex),
        base_revision=base.revision,
        declaration=msgspec.structs.replace(base.declaration, vms=vms),
        author=change.author,
    )
    return await operators.apply(request)


async def read_newer(
    operators: client.OperatorsClient, base: messages.DeclarationReply
) -> messages.DeclarationReply:
    """Return the declared state after a conflict.

    The VM that answers may lag behind the one that refused, so the state is read
    again for a while until it is newer than the base.
    """
    newest = base
    for _ in range(MAX_ATTEMPTS):
        read = await operators.declaration()
        if isinstance(read, result.Success):
            newest = read.unwrap()
        if newest.revision > base.revision:
            break
        await asyncio.sleep(CONFLICT_PAUSE_S)
    return newest


def find_vm(declaration: schema.Declaration, vm: ids.VmId) -> schema.Vm | None:
    """Return a declared VM."""
    return next((item for item in declaration.vms if item.id == vm), None)


def unknown_vm(declaration: schema.Declaration, vm: ids.VmId) -> ApplyResult:
    """Return the failure of a VM that is not declared."""
    advice = problems.near_name(vm, (item.id for item in declaration.vms))
    message = f"the VM '{vm}' is not declared"
    if advice:
        message += f"; {advice}"
    return result.Failure(failures.Failure(codes.Code.BAD_REQUEST, message))


def changed_by_other(vm: ids.VmId, present: schema.Vm | None) -> ApplyResult:
    """Return the failure of a VM that somebody else changed."""
    state = "no longer declared" if present is None else f"now {present.state.value}"
    message = f"another operator changed the VM '{vm}', which is {state}"
    return result.Failure(failures.Failure(codes.Code.CONFLICT, message))
