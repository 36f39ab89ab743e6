"""The role of a replica, which runs the consensus groups on this VM's disk."""

import asyncio
import pathlib
import random

from returns import result

from quetzalpass import ids
from quetzalpass.backends import base
from quetzalpass.consensus import group as consensus_group
from quetzalpass.consensus import machine, registry
from quetzalpass.control import declared_state, ledger, messages
from quetzalpass.daemon import activation, groups
from quetzalpass.membership import configuration, inner_messages
from quetzalpass.reconcile import leadership
from quetzalpass.results import codes, failures
from quetzalpass.settings import schema
from quetzalpass.storage import disk
from quetzalpass.wire import handlers, transport


class ReplicaRole:
    """Runs the replicas of all groups on one VM.

    Parameters
    ----------
    settings : schema.Settings
        Names the data folder and the other replicas.
    table : handlers.HandlerTable
        Table in which the groups register their message handlers.
    channel : transport.PeerTransport
        Transport to the other replicas.
    holder : configuration.ConfigurationHolder
        Puts accepted revisions in force.
    rng : random.Random
        Source of replica ids and election timeouts.

    Raises
    ------
    failures.FailureError
        If the data folder can't be used.
    """

    def __init__(
        self,
        settings: schema.Settings,
        table: handlers.HandlerTable,
        channel: transport.PeerTransport,
        holder: configuration.ConfigurationHolder,
        rng: random.Random,
    ) -> None:
        assert settings.data_folder is not None
        self.settings = settings
        self.holder = holder
        self.disk = value_or_raise(disk.open_folder(pathlib.Path(settings.data_folder)))
        self.channel = channel
        self.rng = rng
        self.registry = registry.GroupRegistry(table)
        self.declared = declared_state.DeclaredState()
        self.activation = activation.Activation(self.declared, self.holder)
        self.add(groups.DECLARATION_GROUP, self.declared)
        for group_id in groups.ledger_group_ids():
            self.add(group_id, ledger.LedgerState())

    def add(self, group_id: ids.GroupId, state: machine.StateMachine) -> None:
        """Add a group with its state machine."""
        peers = [each.id for each in self.settings.peer_vms if each.replica]
        members = sorted([self.settings.id, *peers])
        self.registry.add(
            consensus_group.Group(
                group_id,
                self.settings.id,
                members,
                self.disk,
                self.channel,
                state,
                self.rng,
            )
        )

    async def start(self) -> None:
        """Recover all groups from the disk and start them.

        Raises
        ------
        failures.FailureError
            If the disk is damaged or can't be read.
        """
        for group in self.registry.groups.values():
            value_or_raise(await group.start())

    async def stop(self) -> None:
        """Transfer leadership, stop all groups, and release the data folder."""
        running = self.registry.groups.values()
        await asyncio.gather(*(group.transfer_leadership() for group in running))
        for group in running:
            await group.stop()
        self.disk.close()

    async def handle_proposal(
        self, request: inner_messages.ProposeRequest
    ) -> handlers.Outcome:
        """Propose a command that a peer has forwarded."""
        group = self.registry.groups.get(request.group)
        if group is None:
            failure = failures.Failure(codes.Code.NOT_LEADER, "no such group here")
            return result.Success(inner_messages.ProposeReply(failure=failure))
        return result.Success(await groups.propose_locally(group, request))

    def statuses(self) -> tuple[messages.GroupStatus, ...]:
        """Return the status of each group."""
        return tuple(
            messages.GroupStatus(
                group.group_id,
                group.leader(),
                group.term,
                group.applied_index,
                tuple(each.vm for each in group.members().members),
                group.health.condition.value,
                round(group.health.failing_for_s(), 1),
            )
            for group in self.registry.groups.values()
        )

    async def change_members(
        self, request: messages.MembersRequest
    ) -> result.Result[messages.MembersReply, failures.Failure]:
        """Add or remove one member of a group that this replica leads."""
        group = self.registry.groups.get(request.group)
        if group is None:
            return result.Failure(
                failures.Failure(codes.Code.NOT_FOUND, "there is no such group")
            )
        change = group.remove_member
        if request.action is messages.MemberAction.ADD:
            change = group.add_member
        changed = await change(request.vm)
        members = tuple(each.vm for each in group.members().members)
        return changed.map(lambda _: messages.MembersReply(request.group, members))


class GroupLeadership(leadership.Leadership):
    """Leadership of the declaration's group, for the reconciler."""

    def __init__(self, group: consensus_group.Group) -> None:
        self.group = group
        self.known_term = ids.Term(0)
        self.leading_since_s = 0.0
        self.order_count = 0

    def holds_lease(self) -> bool:
        """Return whether this replica leads and its lease has not expired."""
        holds = self.group.is_leader_with_lease()
        if holds and self.group.term != self.known_term:
            self.known_term = self.group.term
            self.leading_since_s = asyncio.get_running_loop().time()
            self.order_count = 0
        return holds

    def leader_since_s(self) -> float:
        """Return the loop time at which this replica last became the leader."""
        return self.leading_since_s

    def next_fencing_number(self) -> base.FencingNumber:
        """Return a fencing number that is higher than all earlier ones.

        Each term has one leader, so that the term and a count of its orders suffice.
        """
        self.order_count += 1
        return base.FencingNumber(self.group.term, ids.LogIndex(self.order_count))


def value_or_raise(outcome: result.Result):
    """Return the value of a result.

    Raises
    ------
    failures.FailureError
        If it is a failure.
    """
    if isinstance(outcome, result.Failure):
        raise failures.FailureError(outcome.failure())
    return outcome.unwrap()
