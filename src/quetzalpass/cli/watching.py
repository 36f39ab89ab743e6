"""The command ``watch``: follows which revision is in force on each VM."""

import asyncio
from collections.abc import Iterator

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
    timeout: float = waiting.TIMEOUT_S,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Follow the VMs until each has the newest revision in force.

    Parameters
    ----------
    operators : connection.Endpoints
        Addresses of operators' listeners; the next is tried if one gives no answer.
    key_file : str
        File with the operators' key.
    revision : int or None
        Revision to wait for; the newest if not given.
    forever : bool
        Go on until interrupted, also through failures.
    timeout : float
        Longest wait, in seconds, unless for ever.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object for each change.
    """
    access = connection.Access(operators, key_file, ca_file, json)
    timeout_s = None if forever else timeout
    return asyncio.run(
        connection.with_client(
            access,
            lambda opened: Watch(opened, revision, json).run(timeout_s),
        )
    )


class Watch:
    """Prints each change of the VMs' revisions.

    Parameters
    ----------
    operators : client.OperatorsClient
        Whom to ask.
    revision : int or None
        Revision to wait for; the newest that is known if ``None``.
    as_json : bool
        Whether each change is printed as a JSON object.
    """

    def __init__(
        self, operators: client.OperatorsClient, revision: int | None, as_json: bool
    ) -> None:
        self.operators = operators
        self.revision = revision
        self.as_json = as_json
        self.shown: dict[ids.VmId, str] = {}

    async def run(self, timeout_s: float | None) -> exits.Exit:
        """Follow until every VM has the revision; for ever without a timeout."""
        loop = asyncio.get_running_loop()
        end = None if timeout_s is None else loop.time() + timeout_s
        while True:
            outcome = await self.operators.status(rounds=1)
            target = ids.Revision(0)
            if isinstance(outcome, result.Success):
                target = await self.target(outcome.unwrap())
                self.show_changes(outcome.unwrap(), target)
                if end is not None and not waiting.lacking(outcome.unwrap(), target):
                    return exits.Exit.OK
            elif end is None:
                self.show_failure(outcome.failure())
            if end is not None and loop.time() >= end:
                failure = waiting.not_in_force(outcome, target)
                return output.fail(failure, self.as_json)
            await asyncio.sleep(waiting.POLL_S)

    async def target(self, reply: messages.StatusReply) -> ids.Revision:
        """Return the revision that every VM should have."""
        if self.revision is not None:
            return ids.Revision(self.revision)
        known = [vm.revision for vm in waiting.all_vms(reply)]
        newest = await self.operators.declaration()
        if isinstance(newest, result.Success):
            known.append(newest.unwrap().revision)
        return ids.Revision(max(known))

    def show_changes(self, reply: messages.StatusReply, target: ids.Revision) -> None:
        """Print what is new since the last time."""
        lines = list(self.new_lines(reply, target))
        if lines:
            output.show(reply, lines, self.as_json)

    def new_lines(
        self, reply: messages.StatusReply, target: ids.Revision
    ) -> Iterator[str]:
        """Yield a line for each VM whose state is new."""
        for vm in waiting.all_vms(reply):
            ready = "ready" if vm.ready else "not ready"
            state = "draining" if vm.draining else ready
            mark = "" if vm.revision >= target else f", waiting for {target}"
            line = f"{vm.id} {vm.data_centre}: revision {vm.revision}, {state}{mark}"
            if self.shown.get(vm.id) != line:
                self.shown[vm.id] = line
                yield output.printable(line)

    def show_failure(self, failure: failures.Failure) -> None:
        """Print a failure and go on."""
        output.fail(failure, self.as_json)
