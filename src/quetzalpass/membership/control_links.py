"""Keeps a gateway connected to the control nodes, which it learns from its seeds."""

import asyncio
import functools
import random
from collections.abc import Callable

import logbook
from returns import result

from quetzalpass import background, ids
from quetzalpass.backends import discovery
from quetzalpass.membership import (
    configuration,
    fleet_messages,
    fleet_view,
    peer_client,
    peer_values,
    propagation,
    suspect_reports,
)
from quetzalpass.routing import brittle_services, rate_limits
from quetzalpass.wire import transport

LOG = logbook.Logger("membership")

REVISION_WAIT_S = 1.0
REVISION_TIMEOUT_S = 0.6
RETRY_S = 0.25
# An election takes little time, and the new leader then reads the list.
LEADER_RETRY_S = 0.1
FLEET_WAIT_S = 0.25
FLEET_TIMEOUT_S = 0.8
# Without a reply for this time, a gateway reads the list of servers itself.
FLEET_SILENCE_S = 1.5
DIRECT_READ_INTERVAL_S = 1.5
DIRECT_READ_TIMEOUT_S = 1.0
# Most control nodes reply at once; an unreachable one must not delay the start.
FIRST_REPLIES_TIMEOUT_S = 1.0


class ControlLinks:
    """Follows the declaration at all control nodes and the fleet at the active one.

    The active control node is the leader, which reads the list of servers for all.

    Parameters
    ----------
    vm : VmId
        This gateway.
    seeds : tuple of VmId
        Control nodes to contact first; some may be out of date.
    holder : configuration.ConfigurationHolder
        Receives the revisions.
    view : fleet_view.FleetView
        Receives the list of servers.
    channel : transport.PeerTransport
        Transport to the control nodes.
    source : discovery.ServerSource
        The list, which is read directly while no control node can be reached.
    make_request : callable
        Returns a request for the fleet that reports this gateway's load.
    rng : random.Random
        Chooses the control node to try next, and adds jitter.

    Attributes
    ----------
    controls : set of VmId
        All known control nodes.
    replied : set of VmId
        Control nodes that have replied since the first revision arrived.
    version : int
        Version of the list of servers that this gateway has; 0 for none.
    active_control : VmId or None
        The control node that is taken to be the active one.
    failed_control : VmId or None
        The one that has just failed, which is not tried next.
    reply_observers : list of callable
        Called with each reply of the active control node.
    suspect_observers : list of callable
        Called with the suspects in each reply of any control node.
    limit_observers : list of callable
        Called with the limits of servers in each reply of any control node.
    brittle_observers : list of callable
        Called with the brittle services in each reply of any control node.
    """

    def __init__(
        self,
        vm: ids.VmId,
        seeds: tuple[ids.VmId, ...],
        holder: configuration.ConfigurationHolder,
        view: fleet_view.FleetView,
        channel: transport.PeerTransport,
        source: discovery.ServerSource,
        make_request: Callable[[int, float], fleet_messages.FleetRequest],
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.seeds = seeds
        self.holder = holder
        self.view = view
        self.channel = channel
        self.source = source
        self.make_request = make_request
        self.rng = rng
        self.controls: set[ids.VmId] = set(seeds)
        self.followers: dict[ids.VmId, asyncio.Task[None]] = {}
        self.replied: set[ids.VmId] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 0
        self.active_control: ids.VmId | None = None
        self.failed_control: ids.VmId | None = None
        self.last_reply_s = 0.0
        self.started_at_s = 0.0
        self.peer_values = peer_values.PeerValues()
        self.reply_observers: list[Callable[[fleet_messages.FleetReply], None]] = []
        self.suspect_observers: list[
            Callable[[suspect_reports.SuspectReports], None]
        ] = []
        self.limit_observers: list[
            Callable[[tuple[rate_limits.LimitReport, ...]], None]
        ] = []
        self.brittle_observers: list[
            Callable[[tuple[brittle_services.BrittleReport, ...]], None]
        ] = []

    def start(self) -> None:
        """Start following the control nodes."""
        self.started_at_s = self.last_reply_s = asyncio.get_running_loop().time()
        self.follow_controls()
        for name, work in (
            ("exchange", self.exchange),
            ("list", self.read_list_directly),
        ):
            self.tasks.append(background.start(name, work))

    def stop(self) -> None:
        """Stop all tasks."""
        for task in [*self.tasks, *self.followers.values()]:
            task.cancel()

    def is_up_to_date(self) -> bool:
        """Return whether this gateway has the newest revision, as far as is known.

        It must have a revision, and every control node must have replied, since the
        first one to reply may be behind the others. After a timeout the missing
        replies are ignored.
        """
        if self.holder.current is None:
            return False
        waited_s = asyncio.get_running_loop().time() - self.started_at_s
        return self.replied >= self.controls or waited_s > FIRST_REPLIES_TIMEOUT_S

    def adopt_seeds(self, seeds: tuple[ids.VmId, ...]) -> None:
        """Apply changed seeds from the settings."""
        if seeds != self.seeds:
            LOG.info("membership: Changed the seeds to {}.", ", ".join(seeds))
        self.seeds = seeds
        self.adopt_controls(self.controls | set(seeds))

    def adopt_controls(self, controls: set[ids.VmId]) -> None:
        """Follow the given control nodes, and no others."""
        if controls != self.controls:
            LOG.info("membership: Control nodes: {}.", ", ".join(sorted(controls)))
        self.controls = controls
        self.follow_controls()

    def follow_controls(self) -> None:
        """Start and cancel tasks so that each control node has one."""
        for vm in list(self.followers):
            if vm not in self.controls:
                self.followers.pop(vm).cancel()
        for vm in self.controls:
            if vm not in self.followers:
                follow = functools.partial(self.follow, vm)
                self.followers[vm] = background.start(f"following {vm}", follow)

    async def follow(self, vm: ids.VmId) -> None:
        """Long-poll one control node for revisions."""
        client = peer_client.PeerClient(vm, self.channel)
        while True:
            wait_s = REVISION_WAIT_S if self.holder.current is not None else 0.0
            has_replied = await propagation.pull_revision(
                self.holder, client, wait_s, wait_s + REVISION_TIMEOUT_S
            )
            if has_replied and self.holder.current is not None:
                self.replied.add(vm)
            if not has_replied or self.holder.current is None:
                await asyncio.sleep(RETRY_S)

    async def exchange(self) -> None:
        """Report the load to the active control node and receive the fleet from it."""
        while True:
            if not self.controls:
                await asyncio.sleep(RETRY_S)
                continue
            target = self.active_control or self.next_control()
            is_first = self.active_control is None
            request = self.make_request(self.version, 0.0 if is_first else FLEET_WAIT_S)
            reply = await self.channel.call(target, request, FLEET_TIMEOUT_S)
            if isinstance(reply, result.Failure) or not self.apply_reply(
                reply.unwrap()
            ):
                await self.find_active_control(reply)

    def next_control(self) -> ids.VmId:
        """Return a random control node other than the one that has just failed."""
        others = self.controls - {self.failed_control}
        return self.rng.choice(sorted(others or self.controls))

    async def find_active_control(
        self, reply: "result.Result[fleet_messages.FleetReply, object]"
    ) -> None:
        """Choose another control node after a failed exchange, and pause briefly."""
        failed_control = self.active_control
        self.active_control = None
        self.version = 0
        if isinstance(reply, result.Success):
            self.active_control = reply.unwrap().leader
        if failed_control is not None:
            LOG.warning(
                "membership: Control node {} no longer reports the fleet.",
                failed_control,
            )
        has_replied = isinstance(reply, result.Success)
        self.failed_control = None if has_replied else failed_control
        await asyncio.sleep(LEADER_RETRY_S if has_replied else RETRY_S)

    def apply_reply(self, reply: fleet_messages.FleetReply) -> bool:
        """Apply a reply; return whether it came from the active control node."""
        reply = self.peer_values.check_reply(reply)
        if reply.verdicts is not None:
            for observer in self.suspect_observers:
                observer(reply.verdicts)
        for limit_observer in self.limit_observers:
            limit_observer(reply.limits)
        for brittle_observer in self.brittle_observers:
            brittle_observer(reply.brittle)
        if reply.controls:
            controls = set(reply.controls) | set(self.seeds)
            if reply.leader is None:
                # It may be cut off or have lost its disk, and know none of the others.
                controls |= self.controls
            self.adopt_controls(controls)
        if not reply.is_watching:
            return False
        if self.active_control != reply.leader:
            LOG.info("membership: Control node {} reports the fleet.", reply.leader)
        self.active_control = reply.leader
        self.last_reply_s = asyncio.get_running_loop().time()
        self.version = reply.version
        if reply.servers is not None:
            self.view.replace_servers(reply.servers, reply.age_s)
        self.view.read_at_s = self.last_reply_s - reply.age_s
        self.view.replace_uses(reply.uses, reply.gateways)
        for observer in self.reply_observers:
            observer(reply)
        return True

    async def read_list_directly(self) -> None:
        """Read the list of servers while no control node reports the fleet."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(DIRECT_READ_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            if loop.time() - self.last_reply_s < FLEET_SILENCE_S:
                continue
            listed = await self.source.read(DIRECT_READ_TIMEOUT_S)
            if listed is None:
                continue
            LOG.info(
                "membership: Read the list of servers directly, without a control node."
            )
            self.version = 0
            self.view.replace_servers(listed, 0.0)
