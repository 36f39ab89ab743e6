"""Forming of a group, and joining of a replica that is not a member."""

import asyncio

import logbook
import msgspec
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import entries, leading, messages
from quetzalpass.consensus import replica as replicas

FIRST_TERM = ids.Term(1)
MAX_LEARNED_VMS = 64

LOG = logbook.Logger("consensus")


class Joiner:
    """Queries the peers while this replica is not a member of the group.

    A blank replica can't tell the first start of a group from the loss of its own disk.
    So only one VM, the first by name, may form the group, and only if all initial
    members report that they are blank too. If any of them is not blank, this replica
    waits to be added as a learner.

    Only the leader adds members, and it need not be one of the seeds, which may also be
    out of date or lost. So a joining replica also queries each VM that a reply names as
    the leader or a member, and those that send messages for its former disk.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.

    Attributes
    ----------
    seeds : list of ids.VmId
        VMs that are queried first.
    learned : dict of ids.VmId to None
        Other VMs that may be members, the most recently learned ones last.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self.seeds = replica.settings.initial_members
        self.learned: dict[ids.VmId, None] = {}

    async def run(self) -> None:
        """Query the peers whenever this replica may not be a member."""
        replica = self.replica
        while replica.is_running:
            if self.may_need_to_join():
                await self.query_peers()
            else:
                self.learned.clear()
            await asyncio.sleep(replica.settings.timing.join_interval_s)

    def may_need_to_join(self) -> bool:
        """Return whether this replica is not a member, or may no longer be one.

        A member that was partitioned or paused for long may have been replaced. Its own
        log doesn't show this, and no leader contacts it any more.
        """
        replica = self.replica
        if not replica.log.configuration.has_replica(replica.replica_id):
            return True
        rules = replica.settings.rules
        if not rules.is_open or replica.role is replicas.Role.LEADER:
            return False
        return replica.now() - replica.leader_contact_at > rules.gone_after_s

    def learn_vm(self, vm: ids.VmId) -> None:
        """Remember a VM that may be a member, in place of the oldest of too many."""
        self.learned.pop(vm, None)
        self.learned[vm] = None
        if len(self.learned) > MAX_LEARNED_VMS:
            del self.learned[next(iter(self.learned))]

    def learn_sender(self, vm: ids.VmId, target: ids.ReplicaId) -> None:
        """Remember the sender of a message that is meant for a former disk here."""
        if target != self.replica.replica_id:
            self.learn_vm(vm)

    async def query_peers(self) -> None:
        """Query all known VMs; form the group if it has never been formed."""
        known = [member.vm for member in self.replica.log.configuration.members]
        replies: dict[ids.VmId, messages.StatusReply | None] = {}
        await self.query_all({*self.seeds, *known, *self.learned}, replies)
        if self.replica.is_running and self.may_form_group(replies):
            await self.form_group(self.initial_configuration(replies))

    async def query_all(
        self,
        vms: set[ids.VmId],
        replies: dict[ids.VmId, messages.StatusReply | None],
    ) -> None:
        """Query those of some VMs that have not been queried in this round."""
        new_vms = sorted(vms - replies.keys() - {self.replica.settings.vm})
        replies.update(dict.fromkeys(new_vms))
        await asyncio.gather(*[self.query_and_follow(vm, replies) for vm in new_vms])

    async def query_and_follow(
        self, vm: ids.VmId, replies: dict[ids.VmId, messages.StatusReply | None]
    ) -> None:
        """Query a VM, and then the leader and the members that it names."""
        reply = await self.query_status(vm)
        if reply is None:
            return
        replies[vm] = reply
        named = set(reply.members)
        if reply.leader is not None:
            named.add(reply.leader)
        for each in sorted(named):
            self.learn_vm(each)
        await self.query_all(named, replies)

    def may_form_group(
        self, replies: dict[ids.VmId, messages.StatusReply | None]
    ) -> bool:
        """Return whether this replica is to form the group, which never existed."""
        replica = self.replica
        settings = replica.settings
        if not replica.log.is_blank or not settings.rules.may_form:
            return False
        if settings.vm != min(settings.initial_members):
            return False
        seed_replies = [replies.get(vm) for vm in self.seeds if vm != settings.vm]
        if any(reply is None for reply in seed_replies):
            return False
        return all(reply is None or reply.is_blank for reply in replies.values())

    def initial_configuration(
        self, replies: dict[ids.VmId, messages.StatusReply | None]
    ) -> entries.Configuration:
        """Return the configuration of this replica and all seeds as voters."""
        replica = self.replica
        members = [entries.Member(replica.settings.vm, replica.replica_id, True)]
        for vm in sorted(set(self.seeds) & replies.keys()):
            members.append(entries.Member(vm, replies[vm].replica, True))
        return entries.Configuration(members)

    async def query_status(self, vm: ids.VmId) -> messages.StatusReply | None:
        """Return the status of the replica on a VM, or None if the call fails."""
        replica = self.replica
        request = messages.StatusRequest(
            replica.settings.group, replica.settings.vm, replica.replica_id
        )
        timeout_s = replica.settings.timing.call_timeout_s
        outcome = await replica.transport.call(vm, request, timeout_s)
        if isinstance(outcome, result.Failure):
            return None
        return outcome.unwrap()

    async def form_group(self, configuration: entries.Configuration) -> None:
        """Append the first entry, which holds the initial members."""
        replica = self.replica
        replica.log.set_hard_state(FIRST_TERM)
        data = entries.encode_configuration(configuration)
        kind = entries.EntryKind.CONFIGURATION
        entry = entries.Entry(ids.LogIndex(1), FIRST_TERM, kind, data=data)
        replica.log.append(entry)
        if await replica.persist():
            names = ", ".join(member.vm for member in configuration.members)
            LOG.info("consensus: Formed group {}: {}.", replica.settings.group, names)

    async def handle_status(
        self, request: messages.StatusRequest
    ) -> messages.StatusReply:
        """Reply with this replica's status; the leader gets to know new replicas."""
        replica = self.replica
        if not request.is_forwarded:
            replica.seen_replicas[request.vm] = request.replica
        configuration = replica.log.configuration
        if not configuration.has_replica(request.replica):
            if replica.leadership is not None:
                replica.spawn(self.handle_new_replica(request))
            elif not request.is_forwarded:
                replica.spawn(self.forward_to_leader(request))
        return messages.StatusReply(
            replica.replica_id,
            replica.log.is_blank,
            replica.term,
            replica.leader,
            [member.vm for member in configuration.members],
        )

    async def forward_to_leader(self, request: messages.StatusRequest) -> None:
        """Forward the request of a new replica, which may not reach the leader."""
        replica = self.replica
        leader = replica.leader
        if leader in (None, replica.settings.vm, request.vm):
            return
        forwarded = msgspec.structs.replace(request, is_forwarded=True)
        timeout_s = replica.settings.timing.call_timeout_s
        await replica.transport.call(leader, forwarded, timeout_s)

    async def handle_new_replica(self, request: messages.StatusRequest) -> None:
        """Replace a member's former replica, or record a new VM's request to join.

        Before a replacement, the status of the VM's replica is queried, as the request
        may be delayed and from a disk that has been replaced since.
        """
        if self.replica.log.configuration.member_at(request.vm) is None:
            self.record_join_request(request)
            return
        status = await self.query_status(request.vm)
        leadership = self.replica.leadership
        if status is None or status.replica != request.replica:
            return
        if isinstance(leadership, leading.Leadership):
            leadership.replace_replica(request.vm, request.replica)

    def record_join_request(self, request: messages.StatusRequest) -> None:
        """Record the request of a VM that is not a member, if the group is open."""
        if self.replica.settings.rules.is_open:
            heard_at = self.replica.now()
            join_request = replicas.JoinRequest(request.replica, heard_at)
            self.replica.join_requests[request.vm] = join_request
