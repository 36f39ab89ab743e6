"""Forming of a group, and joining of a replica that is not a member."""

import asyncio

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import entries, leading, messages
from quetzalpass.consensus import replica as replicas

FIRST_TERM = ids.Term(1)

LOG = logbook.Logger("consensus")


class Joiner:
    """Queries the peers while this replica is not a member of the group.

    A blank replica can't tell the first start of a group from the loss of its own disk.
    So only one VM, the first by name, may form the group, and only if all initial
    members report that they are blank too. If any of them is not blank, this replica
    waits to be added as a learner.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self.seeds = replica.settings.initial_members

    async def run(self) -> None:
        """Query the peers whenever this replica may not be a member."""
        replica = self.replica
        while replica.is_running:
            if self.may_need_to_join():
                await self.query_peers()
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

    async def query_peers(self) -> None:
        """Query the status of all peers; form the group if all are blank."""
        replica = self.replica
        known = [member.vm for member in replica.log.configuration.members]
        vms = sorted({*self.seeds, *known})
        others = [vm for vm in vms if vm != replica.settings.vm]
        replies = await asyncio.gather(*[self.query_status(vm) for vm in others])
        if not replica.is_running or not replica.log.is_blank:
            return
        if not replica.settings.rules.may_form:
            return
        if replica.settings.vm != min(replica.settings.initial_members):
            return
        if all(reply is not None and reply.is_blank for reply in replies):
            members = [entries.Member(replica.settings.vm, replica.replica_id, True)]
            for vm, reply in zip(others, replies, strict=True):
                members.append(entries.Member(vm, reply.replica, True))
            await self.form_group(entries.Configuration(members))

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
        """Reply with this replica's status; a leader also handles new replicas."""
        replica = self.replica
        replica.seen_replicas[request.vm] = request.replica
        configuration = replica.log.configuration
        if replica.leadership is not None and not configuration.has_replica(
            request.replica
        ):
            replica.spawn(self.handle_new_replica(request))
        return messages.StatusReply(
            replica.replica_id, replica.log.is_blank, replica.term, replica.leader
        )

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
