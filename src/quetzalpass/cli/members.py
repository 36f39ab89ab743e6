"""Commands that list and change the members of consensus groups."""

import asyncio
import uuid

import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.cli import client, connection, exits, output, waiting
from quetzalpass.control import messages

DEFAULT_GROUP = "declaration"


class Groups(msgspec.Struct, frozen=True):
    """The consensus groups and their members."""

    groups: tuple[messages.GroupStatus, ...]


def list_members(
    *,
    operators: connection.Endpoints,
    key_file: str,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Print the members and the leader of each consensus group.

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
            access, lambda operators_client: print_groups(operators_client, json)
        )
    )


def add(
    vm: str,
    *,
    operators: connection.Endpoints,
    key_file: str,
    group: str = DEFAULT_GROUP,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Add a VM to a consensus group; it votes once it holds all committed state.

    Parameters
    ----------
    vm : str
        The VM, which must have a disk and the role replica.
    operators : connection.Endpoints
        Addresses of operators' listeners; the next is tried if one gives no answer.
    key_file : str
        File with the operators' key.
    group : str
        The consensus group.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    return change(access, vm, group, messages.MemberAction.ADD)


def remove(
    vm: str,
    *,
    operators: connection.Endpoints,
    key_file: str,
    group: str = DEFAULT_GROUP,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Remove a VM from a consensus group.

    Parameters
    ----------
    vm : str
        The VM.
    operators : connection.Endpoints
        Addresses of operators' listeners; the next is tried if one gives no answer.
    key_file : str
        File with the operators' key.
    group : str
        The consensus group.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    return change(access, vm, group, messages.MemberAction.REMOVE)


def change(
    access: connection.Access, vm: str, group: str, action: messages.MemberAction
) -> int:
    """Add or remove one member of a group and print the resulting members."""
    request = messages.MembersRequest(
        operation_id=ids.OperationId(uuid.uuid4().hex),
        group=ids.GroupId(group),
        vm=ids.VmId(vm),
        action=action,
    )
    return asyncio.run(
        connection.run_with_client(
            access,
            lambda operators_client: send_change(
                operators_client, request, access.as_json
            ),
        )
    )


async def send_change(
    operators_client: client.OperatorsClient,
    request: messages.MembersRequest,
    as_json: bool,
) -> exits.Exit:
    """Send a membership change and print the resulting members."""
    outcome = await operators_client.change_members(request)
    if not isinstance(outcome, result.Success):
        return output.print_failure(outcome.failure(), as_json)
    reply = outcome.unwrap()
    line = f"{reply.group}: {', '.join(reply.members)}"
    output.print_result(reply, [output.printable(line)], as_json)
    return exits.Exit.OK


async def print_groups(
    operators_client: client.OperatorsClient, as_json: bool
) -> exits.Exit:
    """Print the consensus groups that the first responding VM knows."""
    outcome = await operators_client.status()
    if not isinstance(outcome, result.Success):
        return output.print_failure(outcome.failure(), as_json)
    groups = outcome.unwrap().groups
    output.print_result(Groups(groups), waiting.group_lines(groups), as_json)
    return exits.Exit.OK
