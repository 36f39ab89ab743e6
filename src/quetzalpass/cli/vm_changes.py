"""Changes of one VM in the declared state.

The newest revision is read, one VM changed in it, and the whole applied on that base.
If another operator was faster, the change is tried again on the new revision, but only
as long as nobody else changed the same VM.
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

    def apply_to(self, vm: schema.Vm) -> schema.Vm:
        """Return a VM in its new state."""
        return msgspec.structs.replace(vm, state=self.state, deadline=self.deadline)


async def change_vm(
    operators_client: client.OperatorsClient, change: VmChange
) -> ApplyResult:
    """Change one VM in the declared state.

    Parameters
    ----------
    operators_client : client.OperatorsClient
        Whom to ask.
    change : VmChange
        The new state.

    Returns
    -------
    Result of ApplyReply or Failure
        ``Code.CONFLICT`` if somebody else changed the same VM in the meantime, or if
        others were faster every time.
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
    """Return whether another operator was faster."""
    if isinstance(outcome, result.Success):
        return False
    return outcome.failure().code is codes.Code.CONFLICT


async def apply_to_base(
    operators_client: client.OperatorsClient,
    base: messages.DeclarationReply,
    change: VmChange,
) -> ApplyResult:
    """Apply a change of one VM on the revision that it was read from.

    Each base has its own operation id: an outcome belongs to one request.
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
    """Return the declared state after a conflict.

    The VM that answers may lag behind the one that refused, so the state is read
    again for a while until it is newer than the base.
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
    """Return a declared VM."""
    return next((item for item in declaration.vms if item.id == vm), None)


def unknown_vm_failure(declaration: schema.Declaration, vm: ids.VmId) -> ApplyResult:
    """Return the failure of a VM that is not declared."""
    advice = problems.near_name(vm, (item.id for item in declaration.vms))
    message = f"the VM '{vm}' is not declared"
    if advice:
        message += f"; {advice}"
    return result.Failure(failures.Failure(codes.Code.BAD_REQUEST, message))


def concurrent_change_failure(vm: ids.VmId, current: schema.Vm | None) -> ApplyResult:
    """Return the failure of a VM that somebody else changed."""
    state = "no longer declared" if current is None else f"now {current.state.value}"
    message = f"another operator changed the VM '{vm}', which is {state}"
    return result.Failure(failures.Failure(codes.Code.CONFLICT, message))
