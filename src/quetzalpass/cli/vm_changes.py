"""Changes of one VM in the declared state.

The newest declaration is read, one VM is changed in it, and the whole is applied with
the revision that was read as its base. If that conflicts with another operator's
change, it is retried on the new revision, unless the same VM has been changed as well.
"""

import asyncio
import uuid

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.cli import client
from quetzalpass.control import messages
from quetzalpass.declarations import schema
from quetzalpass.documents import problems
from quetzalpass.results import codes, failures

MAX_ATTEMPTS = 10
CONFLICT_RETRY_DELAY_S = 0.2

ApplyResult = result.Result[messages.ApplyReply, failures.Failure]


class VmChange(msgspec.Struct, frozen=True):
    """Desired service state of one VM.

    Attributes
    ----------
    vm : VmId
        Id of the VM.
    state : ServiceState
        New state.
    deadline : str or None
        ISO 8601 time with zone, for a leaving VM only.
    author : str
        Author of the change.
    """

    vm: ids.VmId
    state: schema.ServiceState
    deadline: str | None
    author: str

    def apply_to(self, vm: schema.Vm) -> schema.Vm:
        """Return a copy of a VM with the new state."""
        return msgspec.structs.replace(vm, state=self.state, deadline=self.deadline)


async def change_vm(
    operators_client: client.OperatorsClient, change: VmChange
) -> ApplyResult:
    """Change one VM in the declared state.

    Parameters
    ----------
    operators_client : client.OperatorsClient
        Client of the operators' interface.
    change : VmChange
        VM and its new state.

    Returns
    -------
    Result of ApplyReply or Failure
        ``Code.CONFLICT`` if somebody else changed the same VM in the meantime, or if
        every attempt conflicted with another change.
    """
    declared = await operators_client.declaration()
    if not isinstance(declared, result.Success):
        return declared
    base = declared.unwrap()
    original = find_vm(base.declaration, change.vm)
    if original is None:
        return unknown_vm_failure(base.declaration, change.vm)
    outcome = await apply_to_base(operators_client, base, change)
    for _ in range(MAX_ATTEMPTS):
        if not is_conflict(outcome):
            return outcome
        base = await read_newer_declaration(operators_client, base)
        current = find_vm(base.declaration, change.vm)
        if current != original:
            return concurrent_change_failure(change.vm, current)
        outcome = await apply_to_base(operators_client, base, change)
    return outcome


def is_conflict(outcome: ApplyResult) -> bool:
    """Return whether the base was no longer the newest revision."""
    if isinstance(outcome, result.Success):
        return False
    return outcome.failure().code is codes.Code.CONFLICT


async def apply_to_base(
    operators_client: client.OperatorsClient,
    base: messages.DeclarationReply,
    change: VmChange,
) -> ApplyResult:
    """Apply a change of one VM to the declaration that was read.

    Each base gets a new operation id, since the outcome that is stored for an id
    belongs to one request.
    """
    vms = tuple(
        change.apply_to(vm) if vm.id == change.vm else vm for vm in base.declaration.vms
    )
    request = messages.ApplyRequest(
        operation_id=ids.OperationId(uuid.uuid4().hex),
        base_revision=base.revision,
        declaration=msgspec.structs.replace(base.declaration, vms=vms),
        author=change.author,
    )
    return await operators_client.apply(request)


async def read_newer_declaration(
    operators_client: client.OperatorsClient, base: messages.DeclarationReply
) -> messages.DeclarationReply:
    """Read the declared state after a conflict.

    The VM that responds may lag behind the one that reported the conflict, so the
    state is read up to ``MAX_ATTEMPTS`` times until it is newer than the base.
    """
    newest = base
    for _ in range(MAX_ATTEMPTS):
        declared = await operators_client.declaration()
        if isinstance(declared, result.Success):
            newest = declared.unwrap()
        if newest.revision > base.revision:
            break
        await asyncio.sleep(CONFLICT_RETRY_DELAY_S)
    return newest


def find_vm(declaration: schema.Declaration, vm: ids.VmId) -> schema.Vm | None:
    """Return a declared VM; ``None`` if there is none with this id."""
    return next(
        (candidate for candidate in declaration.vms if candidate.id == vm), None
    )


def unknown_vm_failure(declaration: schema.Declaration, vm: ids.VmId) -> ApplyResult:
    """Return the failure for a VM that is not declared."""
    advice = problems.suggest_name(vm, (candidate.id for candidate in declaration.vms))
    message = f"the VM '{vm}' is not declared"
    if advice:
        message += f"; {advice}"
    return result.Failure(failures.Failure(codes.Code.BAD_REQUEST, message))


def concurrent_change_failure(vm: ids.VmId, current: schema.Vm | None) -> ApplyResult:
    """Return the failure for a VM that somebody else changed meanwhile."""
    state = "no longer declared" if current is None else f"now {current.state.value}"
    message = f"another operator changed the VM '{vm}', which is {state}"
    return result.Failure(failures.Failure(codes.Code.CONFLICT, message))
