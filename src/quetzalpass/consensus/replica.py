"""State of one replica, shared by its tasks."""

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
from quetzalpass.results import failures
from quetzalpass.storage import disk as disks
from quetzalpass.storage import health
from quetzalpass.wire import transport as transports

LOST_AFTER_S = 1.0
GONE_AFTER_S = 3.0

LOG = logbook.Logger("consensus")


class Role(enum.Enum):
    """Current role of a replica."""

    STOPPED = "stopped"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


class MembershipRules(msgspec.Struct, frozen=True):
    """Rules for membership changes of a group.

    Attributes
    ----------
    is_open : bool
        Whether VMs that aren't configured may join as learners; the leader then keeps
        the number of voters. Otherwise the members change only by an operator's order.
    may_form : bool
        Whether this VM may take part in forming the group at its first start.
    wanted_voters : int
        Number of voters that the leader of an open group maintains.
    lost_after_s : float
        Time without contact after which a voter's vote goes to a learner.
    gone_after_s : float
        Time without contact after which a learner is removed, and after which a replica
        asks whether it still is a member.
    """

    is_open: bool = False
    may_form: bool = True
    wanted_voters: int = 0
    lost_after_s: float = LOST_AFTER_S
    gone_after_s: float = GONE_AFTER_S


class JoinRequest(msgspec.Struct, frozen=True):
    """The newest request of a replica to become a member.

    Attributes
    ----------
    replica : ids.ReplicaId
        Id of the replica.
    heard_at : float
        Loop time at which the request was received.
    """

    replica: ids.ReplicaId
    heard_at: float


class Settings(msgspec.Struct, frozen=True):
    """Settings that don't change while a replica runs.

    Attributes
    ----------
    group : ids.GroupId
        The group.
    vm : ids.VmId
        This VM.
    initial_members : list of ids.VmId
        VMs that form the group at its first start, and that a new VM queries.
    timing : timings.Timing
        Timeouts and intervals.
    rules : MembershipRules
        Rules for membership changes.
    data_centre : ids.DataCentreId
        Data centre of this VM; empty if unknown.
    """

    group: ids.GroupId
    vm: ids.VmId
    initial_members: list[ids.VmId]
    timing: timings.Timing
    rules: MembershipRules = MembershipRules()
    data_centre: ids.DataCentreId = ids.UNKNOWN_DATA_CENTRE


class Signal:
    """Wakes all tasks that wait for something to change."""

    def __init__(self) -> None:
        self.waiters: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake all tasks that are waiting."""
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    async def wait(self, timeout_s: float | None = None) -> None:
        """Wait for the next ``notify``, or until the timeout in seconds has passed."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=timeout_s)
        finally:
            self.waiters.discard(waiter)


def no_restart(error: BaseException) -> None:
    """Log the exception of a task whose replica nothing starts anew."""
    LOG.error("consensus: A task failed: {!r}.", error)


class BaseLeadership(abc.ABC):
    """Interface of ``leading.Leadership``, for the replica that it belongs to."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Cancel the leader's tasks."""


class Replica:
    """State of one replica, shared by its tasks.

    Parameters
    ----------
    settings : Settings
        Settings of the replica.
    disk : disks.Disk
        Folder of this replica.
    transport : transports.PeerTransport
        Calls the peers.
    state_machine : machine.StateMachine
        The replicated state machine.
    rng : random.Random
        Generates the replica id and the election timeouts.

    Attributes
    ----------
    leader_contact_at : float
        Loop time of the last message from a leader, or of the start.
    last_leader : ids.VmId or None
        VM that sent this message.
    on_failure : callable
        Called with the exception of a task that failed.
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
        self.health = health.DiskHealth(settings.group)
        self.log = logs.ReplicatedLog(disk, self.health)
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
        self.last_leader: ids.VmId | None = None
        self.election_due_at = 0.0
        self.seen_replicas: dict[ids.VmId, ids.ReplicaId] = {}
        self.join_requests: dict[ids.VmId, JoinRequest] = {}
        self.tasks: set[asyncio.Task] = set()
        self.on_failure: collections_abc.Callable[[BaseException], None] = no_restart

    @property
    def term(self) -> ids.Term:
        """Return the highest term seen."""
        return self.log.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Return whether this replica counts for a majority."""
        return self.log.configuration.has_voter(self.replica_id)

    @property
    def is_running(self) -> bool:
        """Return whether the replica may handle messages."""
        return self.role not in (Role.STOPPED, Role.FAILED)

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def spawn(
        self, work: collections_abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Start a task; if it fails, the replica starts anew from its disk."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        """Remove a task that has ended; report an exception that it raised."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.on_failure(task.exception())

    def fail(self, failure: failures.Failure) -> None:
        """Stop acknowledging messages for good."""
        if self.failure is not None:
            return
        self.failure = failure
        self.end_leadership()
        self.role = Role.FAILED
        self.leader = None
        self.applied_changed.notify()
        LOG.error("consensus: This replica of group {} stopped.", self.settings.group)

    async def persist(self) -> bool:
        """Wait until all queued records are durable.

        Returns
        -------
        bool
            False if the replica was stopped or has started anew before.
        """
        log = self.log
        committed = await log.commit()
        if isinstance(committed, result.Failure):
            return False
        return self.is_running and self.log is log

    async def open(self) -> result.Result[None, failures.Failure]:
        """Read the disk and become a follower."""
        opened_id = await identity.open_replica_id(self.disk, self.rng, self.health)
        if isinstance(opened_id, result.Failure):
            return opened_id
        opened = await self.log.open()
        if isinstance(opened, result.Failure):
            return opened
        self.replica_id = opened_id.unwrap()
        snapshot = opened.unwrap()
        if snapshot is not None:
            self.restore(snapshot)
        self.role = Role.FOLLOWER
        # Before a restart, this replica may have acknowledged a lease that still holds.
        self.leader_contact_at = self.now()
        self.reset_election_timer()
        return result.Success(None)

    def forget(self) -> None:
        """Drop all state in memory but the state machine's, as a crash does."""
        self.log = logs.ReplicatedLog(self.disk, self.health)
        self.health.forget_write()
        self.sessions = sessions.Sessions()
        self.replica_id = entries.NO_REPLICA
        self.role = Role.STOPPED
        self.leader = None
        self.commit_index = ids.LogIndex(0)
        self.applied_index = ids.LogIndex(0)
        self.join_requests.clear()

    def restore(self, snapshot: logs.GroupSnapshot) -> None:
        """Replace the applied state by that of a snapshot."""
        self.machine.restore(snapshot.machine)
        self.sessions.restore(snapshot.sessions)
        self.applied_index = snapshot.index
        self.commit_index = max(self.commit_index, snapshot.index)
        self.applied_changed.notify()

    def reset_election_timer(self) -> None:
        """Restart the election timer with a random timeout."""
        factor = self.rng.uniform(
            timings.MIN_ELECTION_FACTOR, timings.MAX_ELECTION_FACTOR
        )
        timeout_s = self.settings.timing.election_timeout_s * factor
        self.election_due_at = self.now() + timeout_s

    def on_leader_contact(self, vm: ids.VmId) -> None:
        """Record contact from the leader of this term; restart the election timer."""
        if self.leader != vm:
            LOG.info("consensus: Following {} in term {}.", vm, self.term)
        self.leader = vm
        self.last_leader = vm
        self.leader_contact_at = self.now()
        self.reset_election_timer()

    def has_recent_leader(self) -> bool:
        """Return whether a leader may still hold a lease that this replica granted."""
        if self.role is Role.LEADER:
            return True
        elapsed_s = self.now() - self.leader_contact_at
        return elapsed_s < self.settings.timing.election_timeout_s

    def step_down(self, term: ids.Term) -> None:
        """Become a follower, in the given term if it is newer, unless stopped."""
        if not self.is_running:
            return
        assert term >= self.term, "terms never decrease"
        if term > self.term:
            self.log.set_hard_state(term)
            self.leader = None
        self.end_leadership()
        self.role = Role.FOLLOWER

    def end_leadership(self) -> None:
        """End the leadership, if this replica leads."""
        if self.leadership is None:
            return
        LOG.info("consensus: Stepped down in term {}.", self.term)
        leadership, self.leadership = self.leadership, None
        self.leader = None
        leadership.stop()
        self.reset_election_timer()

    def advance_commit(self, index: ids.LogIndex) -> None:
        """Advance the commit index and wake the applier."""
        if index > self.commit_index:
            assert index <= self.log.last_index, "the log holds all committed entries"
            self.commit_index = index
            self.commit_changed.notify()

    def is_from_former_replica(self, vm: ids.VmId, replica: ids.ReplicaId) -> bool:
        """Return whether a message is from a replica whose disk was wiped since.

        Checked only by blank replicas: what the former replica had decided may have
        reached no other, and the group may be forming again.
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
