"""Waiting until a revision is in force, and formatting of a status as text."""

import asyncio

from returns import result

from quetzalpass import ids
from quetzalpass.cli import client, output
from quetzalpass.control import messages
from quetzalpass.results import codes, failures

DEFAULT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2


def all_vms(reply: messages.StatusReply) -> list[messages.VmStatus]:
    """Return the status of each VM once, starting with the VM that replied."""
    others = [vm for vm in reply.vms if vm.id != reply.vm.id]
    return [reply.vm, *others]


def vms_behind(
    reply: messages.StatusReply, revision: ids.Revision
) -> list[messages.VmStatus]:
    """Return the VMs on which neither a revision nor a later one is in force."""
    return [vm for vm in all_vms(reply) if vm.revision < revision]


async def wait_in_force(
    operators_client: client.OperatorsClient, revision: ids.Revision, timeout_s: float
) -> result.Result[messages.StatusReply, failures.Failure]:
    """Wait until a revision, or a later one, is in force on every VM.

    Parameters
    ----------
    operators_client : client.OperatorsClient
        Client of the operators' interface.
    revision : Revision
        An accepted revision.
    timeout_s : float
        Maximum wait, in seconds.

    Returns
    -------
    Result of StatusReply or Failure
        ``Code.NOT_IN_FORCE`` after the timeout, with the ids of the VMs that don't
        have the revision; the last failure if the status can't be read.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while True:
        outcome = await operators_client.status(rounds=1)
        if isinstance(outcome, result.Success) and not vms_behind(
            outcome.unwrap(), revision
        ):
            return outcome
        if loop.time() >= end_s:
            return result.Failure(not_in_force_failure(outcome, revision))
        await asyncio.sleep(POLL_INTERVAL_S)


def not_in_force_failure(
    outcome: result.Result[messages.StatusReply, failures.Failure],
    revision: ids.Revision,
) -> failures.Failure:
    """Return the failure to report when a wait times out."""
    if not isinstance(outcome, result.Success):
        return outcome.failure()
    behind = vms_behind(outcome.unwrap(), revision)
    if not behind:
        message = "every VM agrees, but the newest revision can't be read"
        return failures.Failure(codes.Code.NOT_IN_FORCE, message)
    names = ", ".join(f"{vm.id} (at {vm.revision})" for vm in behind)
    message = f"revision {revision} is accepted but not in force on: {names}"
    return failures.Failure(codes.Code.NOT_IN_FORCE, message)


def status_lines(reply: messages.StatusReply) -> list[str]:
    """Format a status as tables of VMs, backend servers and consensus groups."""
    rows = [("VM", "DATA CENTRE", "READY", "REVISION", "SINCE", "AGE", "REQUESTS")]
    rows += [vm_row(vm) for vm in all_vms(reply)]
    lines = output.table(rows)
    if reply.servers:
        rows = [("SERVER", "VM", "STATE", "ALIVE", "REQUESTS")]
        rows += [server_row(server) for server in reply.servers]
        lines += ["", *output.table(rows)]
    if reply.groups:
        lines += ["", *group_lines(reply.groups)]
    return [output.printable(line) for line in lines]


def group_lines(groups: tuple[messages.GroupStatus, ...]) -> list[str]:
    """Format consensus groups as a table."""
    rows = [("GROUP", "LEADER", "TERM", "APPLIED", "MEMBERS", "DISK")]
    rows += [group_row(group) for group in groups]
    return [output.printable(line) for line in output.table(rows)]


def vm_row(vm: messages.VmStatus) -> tuple[str, ...]:
    """Return the table row of a VM."""
    ready = "yes" if vm.ready else "no"
    return (
        vm.id,
        vm.data_centre,
        "draining" if vm.draining else ready,
        str(vm.revision),
        f"{vm.in_force_since_s:.1f}s" if vm.revision else "-",
        f"{vm.age_s:.1f}s",
        str(vm.requests),
    )


def server_row(server: messages.ServerStatus) -> tuple[str, ...]:
    """Return the table row of a backend server."""
    alive = "yes" if server.alive else "no"
    return (server.id, server.vm, server.state.value, alive, str(server.requests))


def group_row(group: messages.GroupStatus) -> tuple[str, ...]:
    """Return the table row of a consensus group."""
    members = ",".join(group.members)
    leader = group.leader or "none"
    disk = group.disk
    if group.disk_trouble_s > 0:
        disk += f" for {group.disk_trouble_s:.1f}s"
    return (group.group, leader, str(group.term), str(group.applied), members, disk)
