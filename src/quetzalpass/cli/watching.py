"""The command ``watch``: shows changes of the revision in force on each VM."""

import asyncio
from collections.abc import Iterable, Iterator

from returns import result

from quetzalpass import ids
from quetzalpass.cli import client, connection, exits, output, waiting
from quetzalpass.control import messages
from quetzalpass.results import failures


def watch(
    *,
    operators: connection.Endpoints,
    key_file: str,
    revision: int | None = None,
    forever: bool = False,
    timeout: float = waiting.DEFAULT_TIMEOUT_S,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Print state changes of the VMs until each has the newest revision in force.

    Parameters
    ----------
    operators : connection.Endpoints
        Addresses of operators' listeners; the next is tried if one gives no answer.
    key_file : str
        File with the operators' key.
    revision : int or None
        Revision to wait for; the newest if not given.
    forever : bool
        Keep watching until interrupted, even if requests fail.
    timeout : float
        Maximum wait, in seconds; ignored with --forever.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object for each change.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    timeout_s = None if forever else timeout
    return asyncio.run(
        connection.run_with_client(
            access,
            lambda operators_client: Watch(operators_client, revision, json).run(
                timeout_s
            ),
        )
    )


class Watch:
    """Polls the status and prints each VM's line when it changes.

    Parameters
    ----------
    operators_client : client.OperatorsClient
        Client of the operators' interface.
    revision : int or None
        Revision to wait for; the newest known one if ``None``.
    as_json : bool
        Whether each change is printed as a JSON object.

    Attributes
    ----------
    target : Revision
        Revision to wait for; the newest seen so far if none was given.
    printed_lines : dict of VmId to str
        Last line printed for each VM.
    """

    def __init__(
        self,
        operators_client: client.OperatorsClient,
        revision: int | None,
        as_json: bool,
    ) -> None:
        self.operators_client = operators_client
        self.revision = revision
        self.as_json = as_json
        self.target = ids.Revision(revision or 0)
        self.printed_lines: dict[ids.VmId, str] = {}

    async def run(self, timeout_s: float | None) -> exits.Exit:
        """Watch until every VM has the revision; without end if no timeout is given."""
        loop = asyncio.get_running_loop()
        end_s = None if timeout_s is None else loop.time() + timeout_s
        while True:
            outcome = await self.operators_client.status(rounds=1)
            if isinstance(outcome, result.Success):
                reply = outcome.unwrap()
                self.raise_target(vm.revision for vm in waiting.all_vms(reply))
                self.print_changes(reply)
                if end_s is not None and await self.is_in_force_everywhere(reply):
                    return exits.Exit.OK
            elif end_s is None:
                self.print_poll_failure(outcome.failure())
            if end_s is not None and loop.time() >= end_s:
                failure = waiting.not_in_force_failure(outcome, self.target)
                return output.print_failure(failure, self.as_json)
            await asyncio.sleep(waiting.POLL_INTERVAL_S)

    async def is_in_force_everywhere(self, reply: messages.StatusReply) -> bool:
        """Return whether every VM has the revision to wait for.

        A newer revision may have been accepted that no VM has in force yet, so the
        declared state is read before the watch ends. It is not read at each poll,
        since it can be large.
        """
        if waiting.vms_behind(reply, self.target):
            return False
        if self.revision is not None:
            return True
        newest = await self.operators_client.declaration()
        if not isinstance(newest, result.Success):
            return False
        self.raise_target([newest.unwrap().revision])
        return not waiting.vms_behind(reply, self.target)

    def raise_target(self, revisions: Iterable[ids.Revision]) -> None:
        """Raise the target to the newest of some accepted revisions."""
        if self.revision is None:
            self.target = max(self.target, *revisions)

    def print_changes(self, reply: messages.StatusReply) -> None:
        """Print the VMs whose state has changed since the last poll."""
        lines = list(self.changed_lines(reply))
        if lines:
            output.print_result(reply, lines, self.as_json)

    def changed_lines(self, reply: messages.StatusReply) -> Iterator[str]:
        """Yield a line for each VM whose state has changed."""
        for vm in waiting.all_vms(reply):
            ready = "ready" if vm.ready else "not ready"
            state = "draining" if vm.draining else ready
            is_behind = vm.revision < self.target
            suffix = f", waiting for {self.target}" if is_behind else ""
            line = f"{vm.id} {vm.data_centre}: revision {vm.revision}, {state}{suffix}"
            if self.printed_lines.get(vm.id) != line:
                self.printed_lines[vm.id] = line
                yield output.printable(line)

    def print_poll_failure(self, failure: failures.Failure) -> None:
        """Print the failure of one poll; watching continues."""
        output.print_failure(failure, self.as_json)
