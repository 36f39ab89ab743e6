"""One consensus group as the rest of the system uses it."""

import asyncio
import random

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import (
    applying,
    elections,
    entries,
    following,
    joining,
    leading,
    machine,
    messages,
    upkeep,
)
from quetzalpass.consensus import replica as replicas
from quetzalpass.consensus import timing as timings
from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks
from quetzalpass.wire import transport as transports

MAX_COMMAND_BYTES = 4 * 1024 * 1024
STATIC_MEMBERS = replicas.MembershipRules()

log = logbook.Logger("consensus")


class Group:
    """The replica that this VM has of one consensus group.

    Parameters
    ----------
    group_id : ids.GroupId
        The group; also the name of its folder on the disk.
    vm : ids.VmId
        This VM.
    initial_members : list of ids.VmId
        VMs that form the group at its first start, this one included; a VM that is
        added later names those that it may ask.
    disk : disks.Disk
        The data folder, which groups share.
    transport : transports.PeerTransport
        Way to the peers.
    state_machine : machine.StateMachine
        What is replicated.
    rng : random.Random
        Source of the disk's id and of election timeouts.
    timing : timings.Timing
        Times, equal on all members.
    snapshot_every : int
        Entries after which a snapshot is taken.
    rules : replicas.MembershipRules
        Who may become a member.
    """

    def __init__(
        self,
        group_id: ids.GroupId,
        vm: ids.VmId,
        initial_members: list[ids.VmId],
        disk: disks.Disk,
        transport: transports.PeerTransport,
        state_machine: machine.StateMachine,
        rng: random.Random,
        timing: timings.Timing | None = None,
        snapshot_every: int = applying.SNAPSHOT_EVERY_ENTRIES,
        rules: replicas.MembershipRules = STATIC_MEMBERS,
    ) -> None:
        is_named = vm in initial_members
        assert is_named or not rules.may_form, "initial_members includes this VM"
        settings = replicas.Settings(
            group_id, vm, initial_members, timing or timings.Timing(), rules
        )
        folder = disk.folder(f"group-{group_id}")
        self.group_id = group_id
        self.replica = replicas.Replica(settings, folder, transport, state_machine, rng)
        self.applier = applying.Applier(self.replica, snapshot_every)
        self.following = following.Following(self.replica, self.applier)
        self.elections = elections.Elections(self.replica)
        self.joining = joining.Joining(self.replica)

    async def start(self) -> result.Result[None, failures.Failure]:
        """Read the disk and take part in the group.

        Returns
        -------
        returns.result.Result
            ``STORAGE_DAMAGED`` or ``STORAGE_FAILED`` where the disk can't be used.
        """
        opened = await self.replica.open()
        if isinstance(opened, result.Failure):
            self.replica.fail(opened.failure())
            return opened
        self.replica.spawn(self.applier.run())
        self.replica.spawn(self.elections.run())
        self.replica.spawn(self.joining.run())
        if self.replica.settings.rules.is_open:
            self.replica.spawn(upkeep.Upkeep(self.replica, self.joining).run())
        return result.Success(None)

    def set_seeds(self, vms: list[ids.VmId]) -> None:
        """Ask other VMs from now on, for as long as this disk is no member."""
        self.joining.seeds = vms

    async def stop(self) -> None:
        """Stop taking part; proposals that wait end as unknown."""
        self.applier.abandon()
        await self.replica.close()

    async def transfer_leadership(self) -> None:
        """Give leadership to another member, if this replica has it.

        For a planned stop: without it the group waits for an election timeout. Returns
        once another leads, or after two seconds at most.
        """
        if self.leadership is not None:
            await self.leadership.transfer_leadership()

    @property
    def term(self) -> ids.Term:
        """Return the highest term seen; with an index it makes a fencing number."""
        return self.replica.term

    @property
    def applied_index(self) -> ids.LogIndex:
        """Return the position of the last applied entry."""
        return self.replica.applied_index

    @property
    def leadership(self) -> leading.Leadership | None:
        """Return the present tenure if this replica leads."""
        leadership = self.replica.leadership
        return leadership if isinstance(leadership, leading.Leadership) else None

    def leader(self) -> ids.VmId | None:
        """Return the leader as far as this replica knows."""
        return self.replica.leader

    def members(self) -> entries.Configuration:
        """Return the newest configuration that this replica has seen."""
        return self.replica.log.configuration

    def is_leader_with_lease(self) -> bool:
        """Return whether no other leader can have been elected by now.

        The answer holds at the time of the call only: ask again after each await.
        """
        current = self.leadership
        return current is not None and current.has_lease()

    async def propose(
        self, session: str, operation: ids.OperationId, command: bytes
    ) -> applying.Outcome:
        """Have a command committed and applied, once for its operation id.

        Parameters
        ----------
        session : str
            Client session; the outcomes of a bounded number of operations are kept.
        operation : ids.OperationId
            Chosen by the client, the same when it sends the command again.
        command : bytes
            What the state machine is to apply.

        Returns
        -------
        returns.result.Result
            The state machine's outcome, the first one for a resend. ``NOT_LEADER``
            names the leader, and the command was not applied by this call.
            ``NO_QUORUM`` says that the outcome is unknown: send it again with the
            same operation id. ``STORAGE_FAILED`` where the disk here has failed.
        """
        refusal = self.refuse_proposal(command)
        if refusal is not None:
            return result.Failure(refusal)
        first = self.replica.sessions.find(session, operation)
        if first is not None:
            return result.Success(first)
        kind = entries.EntryKind.COMMAND
        entry = self.leadership.append(kind, session, operation, command)
        future = self.applier.wait_for(entry)
        timeout_s = self.replica.settings.timing.propose_timeout_s
        await asyncio.wait([future], timeout=timeout_s)
        if future.done() and not future.cancelled():
            return future.result()
        future.cancel()
        message = (
            "No majority answered in time, so the outcome is unknown. Send it again "
            "with the same operation id."
        )
        return result.Failure(failures.Failure(codes.Code.NO_QUORUM, message))

    def refuse_proposal(self, command: bytes) -> failures.Failure | None:
        """Return why a command can't be proposed here, None where it can."""
        if self.replica.failure is not None:
            return self.replica.failure
        if self.leadership is None:
            return self.not_leader()
        if len(command) > MAX_COMMAND_BYTES:
            message = f"A command may have {MAX_COMMAND_BYTES} bytes."
            return failures.Failure(codes.Code.BODY_TOO_LARGE, message)
        return None

    def not_leader(self) -> failures.Failure:
        """Return the failure that names the leader."""
        if self.replica.leader is None:
            message = "There is no leader at present; send it again in a second."
        else:
            message = f"The leader is {self.replica.leader}; send it there."
        return failures.Failure(codes.Code.NOT_LEADER, message)

    async def read_barrier(self) -> result.Result[ids.LogIndex, failures.Failure]:
        """Wait until the state here holds all that was committed before the call.

        Returns
        -------
        returns.result.Result
            The position up to which the state is applied at least; ``NOT_LEADER``;
            or ``NO_QUORUM`` where no majority confirms the leader in time.
        """
        if self.replica.failure is not None:
            return result.Failure(self.replica.failure)
        current = self.leadership
        if current is None:
            return result.Failure(self.not_leader())
        timeout_s = self.replica.settings.timing.propose_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await self.wait_applied(current.first_index)
                index = self.replica.commit_index
                is_confirmed = await current.confirm()
                await self.wait_applied(index)
        except TimeoutError:
            message = "No majority confirmed the leader in time; read again."
            return result.Failure(failures.Failure(codes.Code.NO_QUORUM, message))
        if not is_confirmed:
            return result.Failure(self.not_leader())
        return result.Success(index)

    async def wait_applied(self, index: ids.LogIndex) -> None:
        """Wait until the entry at a position is applied here."""
        while self.replica.applied_index < index:
            await self.replica.applied_changed.wait()

    async def add_member(self, vm: ids.VmId) -> result.Result[None, failures.Failure]:
        """Give a VM a place; its disk joins as a learner and then votes.

        Returns
        -------
        returns.result.Result
            ``NOT_LEADER``; ``CONFLICT`` where another change is open or the VM has a
            place; ``NO_QUORUM`` where the outcome is unknown.
        """
        if self.members().member_at(vm) is not None:
            return result.Failure(conflict(f"{vm} is a member already"))
        place = entries.Member(vm, entries.NO_REPLICA, False)
        return await self.change_members(self.members().with_member(place))

    async def remove_member(
        self, vm: ids.VmId
    ) -> result.Result[None, failures.Failure]:
        """Take a VM's place away; see ``add_member`` for the failures."""
        configuration = self.members().without(vm)
        if self.members().member_at(vm) is None or not configuration.voters:
            return result.Failure(conflict(f"{vm} is no member or the last voter"))
        return await self.change_members(configuration)

    async def change_members(
        self, configuration: entries.Configuration
    ) -> result.Result[None, failures.Failure]:
        """Have a configuration committed."""
        current = self.leadership
        if current is None:
            return result.Failure(self.not_leader())
        if not current.can_change_members():
            return result.Failure(conflict("another change of members is open"))
        entry = current.change_members(configuration)
        future = self.applier.wait_for(entry)
        timeout_s = self.replica.settings.timing.propose_timeout_s
        await asyncio.wait([future], timeout=timeout_s)
        if future.done() and not future.cancelled():
            return future.result().map(lambda _: None)
        message = "No majority answered in time; look at the members, then try again."
        return result.Failure(failures.Failure(codes.Code.NO_QUORUM, message))

    async def answer_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Answer a candidate."""
        return await self.elections.answer(request)

    async def answer_hand_over(
        self, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Answer a leader that gives up its lease."""
        return await self.elections.answer_hand_over(request)

    async def answer_append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Answer a leader's entries."""
        return await self.following.answer_append(request)

    async def answer_snapshot(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        """Answer a chunk of a leader's snapshot."""
        return await self.following.answer_snapshot(request)

    async def answer_status(
        self, request: messages.StatusRequest
    ) -> messages.StatusReply:
        """Answer who this replica is."""
        return await self.joining.answer(request)


def conflict(reason: str) -> failures.Failure:
    """Return the failure of a change of members that can't begin."""
    return failures.Failure(codes.Code.CONFLICT, f"No change of members: {reason}.")
