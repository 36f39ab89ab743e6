"""Public interface of one consensus group."""

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
    lifecycle,
    machine,
    messages,
    upkeep,
    vote_release,
)
from quetzalpass.consensus import replica as replicas
from quetzalpass.consensus import timing as timings
from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import health
from quetzalpass.wire import transport as transports

MAX_COMMAND_BYTES = 4 * 1024 * 1024
STATIC_MEMBERS = replicas.MembershipRules()

LOG = logbook.Logger("consensus")


class Group:
    """The replica of a consensus group on this VM.

    Parameters
    ----------
    group_id : ids.GroupId
        The group; also the name of its folder on the disk.
    vm : ids.VmId
        This VM.
    initial_members : list of ids.VmId
        VMs that form the group at its first start, including this one. On a VM that
        is added later, the VMs that it queries in order to join.
    disk : disks.Disk
        The data folder, shared by all groups.
    transport : transports.PeerTransport
        Calls the peers.
    state_machine : machine.StateMachine
        The replicated state machine.
    rng : random.Random
        Generates the replica id and the election timeouts.
    timing : timings.Timing
        Timeouts and intervals, equal on all members.
    snapshot_every : int
        Number of applied entries after which a snapshot is taken, even if they are
        small.
    rules : replicas.MembershipRules
        Rules for membership changes.
    data_centre : ids.DataCentreId
        Data centre of this VM; empty if unknown.
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
        data_centre: ids.DataCentreId = ids.UNKNOWN_DATA_CENTRE,
    ) -> None:
        is_initial = vm in initial_members
        assert is_initial or not rules.may_form, "initial_members includes this VM"
        settings = replicas.Settings(
            group_id,
            vm,
            initial_members,
            timing or timings.Timing(),
            rules,
            data_centre,
        )
        folder = disk.folder(f"group-{group_id}")
        self.group_id = group_id
        self.replica = replicas.Replica(settings, folder, transport, state_machine, rng)
        self.applier = applying.Applier(self.replica, snapshot_every)
        self.follower = following.Follower(self.replica, self.applier)
        self.elections = elections.Elections(self.replica)
        self.joiner = joining.Joiner(self.replica)
        self.vote_release = vote_release.VoteRelease(self.replica)
        self.lifecycle = lifecycle.Lifecycle(
            self.replica, self.applier, self.follower, self.run_tasks
        )

    async def start(self) -> result.Result[None, failures.Failure]:
        """Read the disk and start taking part in the group.

        Returns
        -------
        returns.result.Result
            ``STORAGE_DAMAGED`` if what the disk held can't be read any more. A disk
            that refuses is opened later, and the replica takes part from then on.
        """
        return await self.lifecycle.start()

    def run_tasks(self) -> None:
        """Start the tasks of a replica that is open."""
        self.replica.spawn(self.applier.run())
        self.applier.start_tidying()
        self.replica.spawn(self.elections.run())
        self.replica.spawn(self.joiner.run())
        if self.replica.settings.rules.is_open:
            self.replica.spawn(upkeep.Maintenance(self.replica, self.joiner).run())

    def set_seeds(self, vms: list[ids.VmId]) -> None:
        """Change the VMs that this replica queries while it is not a member."""
        self.joiner.seeds = vms

    async def stop(self) -> None:
        """Stop the replica; the outcomes of waiting proposals are unknown."""
        self.applier.cancel_waiters()
        await self.lifecycle.stop()

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another member if this replica leads.

        Called before a planned stop, as the group would otherwise wait for an election
        timeout. Returns once another replica leads, or after two seconds at most.
        """
        if self.leadership is not None:
            await self.leadership.transfer_leadership()

    async def release_vote(self) -> bool:
        """Let a learner of an open group take over this replica's vote.

        Called before a planned stop, after leadership was transferred: if the VM is
        removed for good, its vote would count until the others miss it. Returns whether
        the vote no longer counts, after a bounded time.
        """
        return await self.vote_release.run()

    @property
    def term(self) -> ids.Term:
        """Return the highest term seen, which with an index makes a fencing number."""
        return self.replica.term

    @property
    def applied_index(self) -> ids.LogIndex:
        """Return the index of the last applied entry."""
        return self.replica.applied_index

    @property
    def leadership(self) -> leading.Leadership | None:
        """Return the leadership if this replica leads, else None."""
        leadership = self.replica.leadership
        return leadership if isinstance(leadership, leading.Leadership) else None

    @property
    def health(self) -> health.DiskHealth:
        """Return the health of this replica's disk, the same object for good."""
        return self.replica.health

    def leader(self) -> ids.VmId | None:
        """Return the VM of the leader that this replica knows, if any."""
        return self.replica.leader

    def members(self) -> entries.Configuration:
        """Return the newest configuration that this replica has seen."""
        return self.replica.log.configuration

    def is_leader_with_lease(self) -> bool:
        """Return whether this replica leads and no other leader can have been elected.

        The result holds only at the time of the call: check again after each await.
        """
        current = self.leadership
        return current is not None and current.has_lease()

    async def propose(
        self, session: str, operation: ids.OperationId, command: bytes
    ) -> applying.Outcome:
        """Commit and apply a command, once for each operation id.

        A command that the state machine answers as a query is not appended.

        Parameters
        ----------
        session : str
            Client session; a bounded number of its outcomes is kept.
        operation : ids.OperationId
            Chosen by the client, and the same when it resends the command.
        command : bytes
            The command for the state machine.

        Returns
        -------
        returns.result.Result
            The state machine's outcome; for a resend, the first one. ``NOT_LEADER``
            names the leader, and the command was not applied by this call.
            ``NO_QUORUM`` means that the outcome is unknown: resend the command with
            the same operation id. ``STORAGE_FAILED`` if too few disks accept writes;
            the command was not applied by this call.
        """
        if self.replica.machine.query(command) is not None:
            return await self.query(command)
        failure = self.check_proposal(command)
        if failure is not None:
            return result.Failure(failure)
        first_outcome = self.replica.sessions.find(session, operation)
        if first_outcome is not None:
            return result.Success(first_outcome)
        failure = self.leadership.voter_disks.rejection()
        if failure is not None:
            return result.Failure(failure)
        kind = entries.EntryKind.COMMAND
        entry = self.leadership.append(kind, session, operation, command)
        future = self.applier.add_waiter(entry)
        timeout_s = self.replica.settings.timing.propose_timeout_s
        await asyncio.wait([future], timeout=timeout_s)
        if future.done() and not future.cancelled():
            return future.result()
        future.cancel()
        message = (
            "No majority replied in time, so the outcome is unknown. Resend the "
            "command with the same operation id."
        )
        return result.Failure(failures.Failure(codes.Code.NO_QUORUM, message))

    async def query(self, command: bytes) -> applying.Outcome:
        """Answer a command that changes nothing, for which no disk is needed.

        The answer covers all that was committed before the call.
        """
        confirmed = await self.read_barrier()
        return confirmed.map(lambda _: self.replica.machine.query(command))

    def check_proposal(self, command: bytes) -> failures.Failure | None:
        """Return why a command can't be proposed here, or None if it can."""
        if self.replica.failure is not None:
            return self.replica.failure
        if self.leadership is None:
            return self.not_leader_failure()
        if len(command) > MAX_COMMAND_BYTES:
            message = f"A command may have at most {MAX_COMMAND_BYTES} bytes."
            return failures.Failure(codes.Code.BODY_TOO_LARGE, message)
        return None

    def not_leader_failure(self) -> failures.Failure:
        """Return the failure that names the leader."""
        if self.replica.leader is None:
            message = "There is no leader at present; try again in a second."
        else:
            message = f"The leader is {self.replica.leader}; send the request there."
        return failures.Failure(codes.Code.NOT_LEADER, message)

    async def read_barrier(self) -> result.Result[ids.LogIndex, failures.Failure]:
        """Wait until all that was committed before the call is applied here.

        Returns
        -------
        returns.result.Result
            An index up to which the state is applied; ``NOT_LEADER``; or
            ``NO_QUORUM`` if no majority confirms the leader in time.
        """
        if self.replica.failure is not None:
            return result.Failure(self.replica.failure)
        current = self.leadership
        if current is None:
            return result.Failure(self.not_leader_failure())
        timeout_s = self.replica.settings.timing.propose_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await self.wait_applied(current.first_index)
                index = self.replica.commit_index
                is_confirmed = await current.confirm_leadership()
                await self.wait_applied(index)
        except TimeoutError:
            message = "No majority confirmed the leader in time; retry the read."
            return result.Failure(failures.Failure(codes.Code.NO_QUORUM, message))
        if not is_confirmed:
            return result.Failure(self.not_leader_failure())
        return result.Success(index)

    async def wait_applied(self, index: ids.LogIndex) -> None:
        """Wait until the entry at an index is applied here."""
        while self.replica.applied_index < index:
            await self.replica.applied_changed.wait()

    async def add_member(self, vm: ids.VmId) -> result.Result[None, failures.Failure]:
        """Add a VM; its replica joins as a learner and later becomes a voter.

        Returns
        -------
        returns.result.Result
            ``NOT_LEADER``; ``CONFLICT`` if another change is in progress or the VM
            is a member already; ``NO_QUORUM`` if the outcome is unknown.
        """
        if self.members().member_at(vm) is not None:
            return result.Failure(membership_conflict(f"{vm} is already a member"))
        member = entries.Member(vm, entries.NO_REPLICA, False)
        return await self.change_members(self.members().with_member(member))

    async def remove_member(
        self, vm: ids.VmId
    ) -> result.Result[None, failures.Failure]:
        """Remove a VM from the members; see ``add_member`` for the failures."""
        configuration = self.members().without(vm)
        if self.members().member_at(vm) is None or not configuration.voters:
            return result.Failure(
                membership_conflict(f"{vm} is not a member or is the last voter")
            )
        return await self.change_members(configuration)

    async def change_members(
        self, configuration: entries.Configuration
    ) -> result.Result[None, failures.Failure]:
        """Commit a configuration."""
        current = self.leadership
        if current is None:
            return result.Failure(self.not_leader_failure())
        if not current.can_change_members():
            return result.Failure(membership_conflict("another change is in progress"))
        entry = current.change_members(configuration)
        future = self.applier.add_waiter(entry)
        timeout_s = self.replica.settings.timing.propose_timeout_s
        await asyncio.wait([future], timeout=timeout_s)
        if future.done() and not future.cancelled():
            return future.result().map(lambda _: None)
        message = "No majority replied in time; check the members, then try again."
        return result.Failure(failures.Failure(codes.Code.NO_QUORUM, message))

    async def handle_vote(self, request: messages.VoteRequest) -> messages.VoteReply:
        """Handle a candidate's request for a vote."""
        self.joiner.learn_sender(request.vm, request.target)
        return await self.elections.handle_vote(request)

    async def handle_leadership_transfer(
        self, request: messages.HandOverRequest
    ) -> messages.HandOverReply:
        """Handle a leader's request to take over leadership."""
        return await self.elections.handle_leadership_transfer(request)

    async def handle_append(
        self, request: messages.AppendRequest
    ) -> messages.AppendReply:
        """Handle entries or a heartbeat of a leader."""
        self.joiner.learn_sender(request.vm, request.target)
        return await self.follower.handle_append(request)

    async def handle_snapshot(
        self, request: messages.SnapshotRequest
    ) -> messages.SnapshotReply:
        """Handle a chunk of a leader's snapshot."""
        self.joiner.learn_sender(request.vm, request.target)
        return await self.follower.handle_snapshot(request)

    async def handle_status(
        self, request: messages.StatusRequest
    ) -> messages.StatusReply:
        """Handle a peer's request for this replica's status."""
        return await self.joiner.handle_status(request)

    async def handle_vote_release(
        self, request: messages.VoteReleaseRequest
    ) -> messages.VoteReleaseReply:
        """Handle the request of a voter that is about to stop."""
        return self.vote_release.handle(request)


def membership_conflict(reason: str) -> failures.Failure:
    """Return the failure of a membership change that can't start."""
    return failures.Failure(codes.Code.CONFLICT, f"No membership change: {reason}.")
