"""State of one replica that its tasks share."""

import abc
import asyncio
import enum
import random
from collections import abc as collections_abc

import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import entries, identity, machine, sessions
from quetzalpass.consensus import log as logs
from quetzalpass.consensus import timing as timings
from quetzalpass.results import codes, failures
from quetzalpass.storage import disk as disks
from quetzalpass.wire import transport as transports

GONE_AFTER_S = 3.0

log = logbook.Logger("consensus")


class Role(enum.Enum):
    """What a replica does at present."""

    STOPPED = "stopped"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class MembershipRules(msgspec.Struct, frozen=True):
    """Who may become a member of a group, and who decides it.

    Attributes
    ----------
    is_open : bool
        VMs that nobody named may join as learners; the leader then keeps the number of
        voters. Without it the members change only by an operator's order.
    may_form : bool
        This VM may take part in forming the group at its first start.
    wanted_voters : int
        Number of voters that the leader of an open group keeps.
    gone_after_s : float
        A voter that was not heard from for so long gives way to a learner.
    """

    is_open: bool = False
    may_form: bool = True
    wanted_voters: int = 0
    gone_after_s: float = GONE_AFTER_S


class Candidate(msgspec.Struct, frozen=True):
    """A disk that has asked to become a member.

    Attributes
    ----------
    replica : ids.ReplicaId
        Id of the disk.
    heard_at : float
        Loop time of its last question.
    """

    replica: ids.ReplicaId
    heard_at: float


class Settings(msgspec.Struct, frozen=True):
    """What does not change while a replica runs.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    vm : ids.VmId
        This VM.
    initial_members : list of ids.VmId
        VMs that form the group at its first start, and that a new one asks.
    timing : timings.Timing
        Times.
    rules : MembershipRules
        Who may become a member.
    """

    group: ids.GroupId
    vm: ids.VmId
    initial_members: list[ids.VmId]
    timing: timings.Timing
    rules: MembershipRules = MembershipRules()


class Signal:
    """Wakes all tasks that wait for something to change."""

    def __init__(self) -> None:
        self.waiters: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake all that wait now."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    async def wait(self, timeout_s: float | None = None) -> None:
        """Wait for the next ``notify``, or until the time in seconds is over."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=timeout_s)
        finally:
            self.waiters.discard(waiter)


class BaseLeadership(abc.ABC):
    """The time of a leader between winning an election and stepping down."""

    @abc.abstractmethod
    def end(self) -> None:
        """Stop all that only a leader does."""


class Replica:
    """State of one replica that its tasks share.

    Parameters
    ----------
    settings : Settings
        What does not change.
    disk : disks.Disk
        Folder of this replica.
    transport : transports.PeerTransport
        Way to the peers.
    state_machine : machine.StateMachine
        What is replicated.
    rng : random.Random
        Source of the disk's id and of election timeouts.
    """

    def __init__(
        self,
        settings: Settings,
        disk: disks.Disk,
        transport: transports.PeerTransport,
        state_machine: machine.StateMachine,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.disk = disk
        self.transport = transport
        self.machine = state_machine
        self.rng = rng
        self.log = logs.ReplicatedLog(disk)
        self.sessions = sessions.Sessions()
        self.replica_id = entries.NO_REPLICA
        self.role = Role.STOPPED
        self.leader: ids.VmId | None = None
        self.leadership: BaseLeadership | None = None
        self.failure: failures.Failure | None = None
        self.commit_index = ids.LogIndex(0)
        self.applied_index = ids.LogIndex(0)
        self.applied_changed = Signal()
        self.commit_changed = Signal()
        self.leader_contact_at = 0.0
        self.election_due_at = 0.0
        self.seen_replicas: dict[ids.VmId, ids.ReplicaId] = {}
        self.candidates: dict[ids.VmId, Candidate] = {}
        self.tasks: set[asyncio.Task] = set()

    @property
    def term(self) -> ids.Term:
        """Return the highest term seen."""
        return self.log.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Return whether this disk counts for majorities."""
        return self.log.configuration.has_voter(self.replica_id)

    @property
    def is_running(self) -> bool:
        """Return whether the replica may answer for its disk."""
        return self.role not in (Role.STOPPED, Role.FAILED)

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def spawn(
        self, work: collections_abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Start a task; should it fail, the replica stops acknowledging."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.reap)
        return task

    def reap(self, task: asyncio.Task[None]) -> None:
        """Forget a task that has ended and stop on what it could not handle."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log.error("consensus: a task failed: {!r}.", task.exception())
        message = f"A task of group {self.settings.group} failed; restart the VM."
        self.fail(failures.Failure(codes.Code.INTERNAL, message))

    def fail(self, failure: failures.Failure) -> None:
        """Stop acknowledging for good."""
        if self.failure is not None:
            return
        self.failure = failure
        self.end_leadership()
        self.role = Role.FAILED
        self.leader = None
        self.applied_changed.notify()
        log.error("consensus: group {} stopped here.", self.settings.group)

    async def persist(self) -> bool:
        """Wait until all that was queued is durable; False where the disk failed."""
        committed = await self.log.commit()
        if isinstance(committed, result.Failure):
            self.fail(committed.failure())
            return False
        return self.is_running

    async def open(self) -> result.Result[None, failures.Failure]:
        """Read the disk and become a follower."""
        identified = await identity.open_replica_id(self.disk, self.rng)
        if isinstance(identified, result.Failure):
            return identified
        opened = await self.log.open()
        if isinstance(opened, result.Failure):
            return opened
        self.replica_id = identified.unwrap()
        snapshot = opened.unwrap()
        if snapshot is not None:
            self.restore(snapshot)
        self.role = Role.FOLLOWER
        # A vote may have been refused for the sake of a lease just before a restart.
        self.leader_contact_at = self.now()
        self.reset_election()
        return result.Success(None)

    def restore(self, snapshot: logs.GroupSnapshot) -> None:
        """Replace the applied state by that of a snapshot."""
        self.machine.restore(snapshot.machine)
        self.sessions.restore(snapshot.sessions)
        self.applied_index = snapshot.index
        self.commit_index = max(self.commit_index, snapshot.index)
        self.applied_changed.notify()

    def reset_election(self) -> None:
        """Put the next election off by a random time."""
        factor = self.rng.uniform(
            timings.MIN_ELECTION_FACTOR, timings.MAX_ELECTION_FACTOR
        )
        timeout_s = self.settings.timing.election_timeout_s * factor
        self.election_due_at = self.now() + timeout_s

    def note_leader(self, vm: ids.VmId) -> None:
        """Note that the leader of this term was heard from."""
        if self.leader != vm:
            log.info("consensus: follows {} in term {}.", vm, self.term)
        self.leader = vm
        self.leader_contact_at = self.now()
        self.reset_election()

    def has_recent_leader(self) -> bool:
        """Return whether a leader may still hold a lease that counts on this one."""
        if self.role is Role.LEADER:
            return True
        elapsed_s = self.now() - self.leader_contact_at
        return elapsed_s < self.settings.timing.election_timeout_s

    def step_down(self, term: ids.Term) -> None:
        """Become a follower, in a newer term if the given one is newer."""
        assert term >= self.term, "terms never fall"
        if term > self.term:
            self.log.set_hard_state(term)
            self.leader = None
        self.end_leadership()
        self.role = Role.FOLLOWER

    def end_leadership(self) -> None:
        """Stop what only a leader does."""
        if self.leadership is None:
            return
        log.info("consensus: stepped down in term {}.", self.term)
        leadership, self.leadership = self.leadership, None
        self.leader = None
        leadership.end()
        self.reset_election()

    def advance_commit(self, index: ids.LogIndex) -> None:
        """Let the applier go on to a position that is known to be committed."""
        if index > self.commit_index:
            assert index <= self.log.last_index, "only what the log holds is committed"
            self.commit_index = index
            self.commit_changed.notify()

    def is_stray(self, vm: ids.VmId, replica: ids.ReplicaId) -> bool:
        """Return whether a message comes from a disk that was emptied since.

        Only a blank replica asks: what a former disk had decided may not have
        reached anybody, and the group may be forming anew.
        """
        return self.log.is_blank and self.seen_replicas.get(vm, replica) != replica

    async def close(self) -> None:
        """Stop all tasks and close the log."""
        self.end_leadership()
        if self.role is not Role.FAILED:
            self.role = Role.STOPPED
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.log.segments.close()
