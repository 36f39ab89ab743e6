"""The consensus groups of one VM, which peers reach by the peer protocol."""

from collections import abc

from returns import result

from quetzalpass import ids
from quetzalpass.consensus import group as groups
from quetzalpass.consensus import messages
from quetzalpass.results import codes, failures
from quetzalpass.wire import handlers
from quetzalpass.wire import messages as wire_messages


class GroupRegistry:
    """Dispatches messages of peers to the groups that they name.

    Parameters
    ----------
    table : handlers.HandlerTable
        Handlers of the VM's peer server.
    """

    def __init__(self, table: handlers.HandlerTable) -> None:
        self.groups: dict[ids.GroupId, groups.Group] = {}
        table.add(messages.VoteRequest, self.make_handler(groups.Group.handle_vote))
        table.add(
            messages.HandOverRequest,
            self.make_handler(groups.Group.handle_leadership_transfer),
        )
        table.add(messages.AppendRequest, self.make_handler(groups.Group.handle_append))
        table.add(
            messages.SnapshotRequest, self.make_handler(groups.Group.handle_snapshot)
        )
        table.add(messages.StatusRequest, self.make_handler(groups.Group.handle_status))
        table.add(
            messages.VoteReleaseRequest,
            self.make_handler(groups.Group.handle_vote_release),
        )

    def add(self, group: groups.Group) -> groups.Group:
        """Make a group reachable and return it."""
        assert group.group_id not in self.groups, "a VM has one replica of a group"
        self.groups[group.group_id] = group
        return group

    def remove(self, group_id: ids.GroupId) -> None:
        """Make a group unreachable."""
        del self.groups[group_id]

    def make_handler(
        self, method: abc.Callable[..., abc.Awaitable[wire_messages.Reply]]
    ) -> handlers.Handler:
        """Return a handler that calls a method of the group that a message names."""

        async def handle(request: wire_messages.Request) -> handlers.Outcome:
            group = self.groups.get(request.group)
            if group is None or not group.replica.is_running:
                message = f"The group {request.group} doesn't run on this VM."
                failure = failures.Failure(codes.Code.UNREACHABLE, message)
                return result.Failure(failure)
            reply = await method(group, request)
            if group.replica.failure is not None:
                return result.Failure(group.replica.failure)
            return result.Success(reply)

        return handle
