"""The joiner of the version before joiners followed the leader that a member names."""

import asyncio

from quetzalpass import ids
from quetzalpass.consensus import entries, joining, messages


class FormerJoiner(joining.Joiner):
    """Contacts its seeds and the members that it knows, and nobody else."""

    async def query_peers(self):
        replica = self.replica
        known = [member.vm for member in replica.log.configuration.members]
        others = sorted({*self.seeds, *known} - {replica.settings.vm})
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

    async def handle_status(self, request):
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

    def learn_vm(self, vm: ids.VmId):
        pass
